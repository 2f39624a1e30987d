package spec

import (
	"cmp"
	"slices"
)

// Normalized returns a copy with its slices sorted by name and without nil
// slices, so that equal configurations encode to equal bytes, also after they
// went through JSON. The order of request rules has meaning and is kept.
func (f *Fleet) Normalized() Fleet {
	out := *f
	out.Regions = sortedBy(f.Regions, func(r Region) string { return string(r.Name) })
	for i := range out.Regions {
		out.Regions[i].Zones = sorted(out.Regions[i].Zones)
	}
	out.Teams = sortedBy(f.Teams, func(t Team) string { return string(t.Name) })
	out.Pools = sortedBy(f.Pools, func(p Pool) string { return string(p.Name) })
	for i := range out.Pools {
		out.Pools[i].Zones = sorted(out.Pools[i].Zones)
	}
	out.Services = sortedBy(f.Services, func(s Service) string { return string(s.Queue) })
	for i := range out.Services {
		normalizeService(&out.Services[i])
	}
	return out
}

func normalizeService(s *Service) {
	s.Teams = sorted(s.Teams)
	s.Requests = append([]RequestRule{}, s.Requests...)
	for i := range s.Requests {
		s.Requests[i].Methods = sorted(s.Requests[i].Methods)
	}
}

// sorted returns a sorted copy that is never nil.
func sorted[T cmp.Ordered](in []T) []T {
	out := append([]T{}, in...)
	slices.Sort(out)
	return out
}

// sortedBy returns a copy sorted by a name, never nil.
func sortedBy[T any](in []T, name func(T) string) []T {
	out := append([]T{}, in...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
