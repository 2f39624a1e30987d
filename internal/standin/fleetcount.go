package standin

import "sync"

// FleetCount counts the requests that run on several upstreams, by team. A nil
// FleetCount counts nothing.
type FleetCount struct {
	mu      sync.Mutex
	running map[string]int
	most    map[string]int
}

// NewFleetCount returns a count of nothing.
func NewFleetCount() *FleetCount {
	return &FleetCount{running: map[string]int{}, most: map[string]int{}}
}

// Most returns the highest number of a team's requests that ran at one time.
func (f *FleetCount) Most(team string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most[team]
}

func (f *FleetCount) begin(team string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[team]++
	f.most[team] = max(f.most[team], f.running[team])
}

func (f *FleetCount) end(team string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[team]--
}
