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
func (c *ConcurrencyCounter) MaxRunning(team string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxRunning[team]
}

func (c *ConcurrencyCounter) requestStarted(team string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[team]++
	c.maxRunning[team] = max(c.maxRunning[team], c.running[team])
}

func (c *ConcurrencyCounter) requestFinished(team string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[team]--
}
