package standin

import "sync"

// FleetCount counts, by team, the requests that run at the same time on all
// upstreams that share it. A nil FleetCount counts nothing.
type FleetCount struct {
	mu         sync.Mutex
	running    map[string]int
	maxRunning map[string]int
}

// NewFleetCount returns a FleetCount without running requests.
func NewFleetCount() *FleetCount {
	return &FleetCount{running: map[string]int{}, maxRunning: map[string]int{}}
}

// Most returns the maximum number of a team's requests that ran at the same
// time.
func (f *FleetCount) Most(team string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxRunning[team]
}

func (f *FleetCount) requestStarted(team string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[team]++
	f.maxRunning[team] = max(f.maxRunning[team], f.running[team])
}

func (f *FleetCount) requestFinished(team string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[team]--
}
