package job

import (
	"hash/fnv"
	"time"
)

// When a refused call may be sent again. While the store is away, every caller comes back
// after the time that its refusal named: with the same second for all, the calls of an
// outage of some seconds come back together each second, and use up their attempts before
// the store is back if it stays away for long.

const (
	// minRetryAfter and maxRetryAfter bound the delay.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// retryAfterSpread is the fraction of the delay by which the delays of calls differ.
	retryAfterSpread = 0.5
)

// retryAfter returns the delay after which a refused call may be sent again. An outage has
// no known end: one that has lasted for some time is expected to last as long again. The
// calls of different jobs get different delays.
func (s *State) retryAfter(id ID) time.Duration {
	delay := minRetryAfter
	if s.stream.failedSince != 0 {
		delay = max(delay, s.now.Sub(s.stream.failedSince))
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := retryAfterSpread * float64(h.Sum32()%1024) / 1024
	return min(time.Duration(float64(delay)*(1+spread)), maxRetryAfter)
}
