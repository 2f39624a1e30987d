package standin

import "sync"

// ConcurrencyCounter counts, by team, the requests that run at the same time on all
// upstreams that share it. A nil ConcurrencyCounter counts nothing.
type ConcurrencyCounter struct {
	mu         sync.Mutex
	running    map[string]int
	maxRunning map[string]int
}

// NewConcurrencyCounter returns a ConcurrencyCounter without running requests.
func NewConcurrencyCounter() *ConcurrencyCounter {
	return &ConcurrencyCounter{running: map[string]int{}, maxRunning: map[string]int{}}
}

// MaxRunning returns the maximum number of a team's requests that ran at the same
// time.
func (f *ConcurrencyCounter) MaxRunning(team string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxRunning[team]
}

func (f *ConcurrencyCounter) requestStarted(team string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[team]++
	f.maxRunning[team] = max(f.maxRunning[team], f.running[team])
}

func (f *ConcurrencyCounter) requestFinished(team string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[team]--
}
