package spec

import (
	"slices"
	"strings"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Team returns the team with the given name.
func (f *Fleet) Team(name vocab.TeamID) (Team, bool) {
	for _, t := range f.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Pool returns the pool with the given name.
func (f *Fleet) Pool(name vocab.PoolID) (Pool, bool) {
	for _, p := range f.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Service returns the service whose queue has the given name.
func (f *Fleet) Service(queue vocab.QueueID) (Service, bool) {
	for _, s := range f.Services {
		if s.Queue == queue {
			return s, true
		}
	}
	return Service{}, false
}

// ServiceOfPool returns the service that uses the pool, if there is one.
func (f *Fleet) ServiceOfPool(pool vocab.PoolID) (Service, bool) {
	for _, s := range f.Services {
		if s.Pool == pool {
			return s, true
		}
	}
	return Service{}, false
}

// Admits reports whether the team may send requests and tasks to this service.
func (s *Service) Admits(team vocab.TeamID) bool {
	return s.Open || slices.Contains(s.Teams, team)
}

// Rule returns the first rule that matches a request to this service, or a
// zero rule if none does.
func (s *Service) Rule(method, path string) RequestRule {
	for _, r := range s.Requests {
		if r.matches(method, path) {
			return r
		}
	}
	return RequestRule{}
}

func (r *RequestRule) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// MaxRunTime returns the longest run limit of all services. Every request that
// an entry node started before it failed has ended after this time.
func (f *Fleet) MaxRunTime() Duration {
	var longest Duration
	for _, s := range f.Services {
		longest = max(longest, s.TimeLimits.Run)
	}
	return longest
}
