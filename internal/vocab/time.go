package vocab

import "time"

// Instant is a reading of this process's monotonic clock, in nanoseconds since an
// arbitrary origin. Instants of different processes must not be compared.
type Instant int64

// Add returns the instant d later than i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration from j to i, negative if i is before j.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i is before j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Earliest returns the earlier of two instants.
func Earliest(i, j Instant) Instant {
	if i < j {
		return i
	}
	return j
}
