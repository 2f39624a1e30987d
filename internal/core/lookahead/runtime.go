// Package lookahead answers what placement has to know about the near future: when running
// tasks end, how many tasks of a step have to run now for its job to be on time, and when
// and where there will be room for what is too large for the room that is free now.
//
// The load that it answers: short jobs leave gaps that large ones cannot use, long steps
// take all machines of a fleet although they are due much later, and machines of a queue
// whose turn is over stay up for a single late task. It knows no jobs and no workers, reads
// no clock, and its results depend on its arguments only.
package lookahead

import (
	"math"
	"time"
)

const (
	// priorSpread is the standard deviation of log(actual/expected) assumed before runs are
	// observed, with the weight of priorRuns: run times differ by a quarter from what the
	// callers declare.
	priorSpread = 0.25
	priorRuns   = 8
)

// Spread learns how far run times are from the expected ones.
type Spread struct{ n, sum, sumSquares float64 }

// Observe adds the run time of a completed task and the one that was expected.
func (s *Spread) Observe(expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	x := math.Log(float64(actual) / float64(expected))
	s.n++
	s.sum += x
	s.sumSquares += x * x
}

// Sums returns the sums that the spread consists of.
func (s Spread) Sums() (n, sum, sumSquares float64) { return s.n, s.sum, s.sumSquares }

// SpreadOf returns the spread with the sums that Sums returns.
func SpreadOf(n, sum, sumSquares float64) Spread { return Spread{max(0, n), sum, sumSquares} }

// Sigma is the standard deviation of log(actual/expected).
func (s Spread) Sigma() float64 {
	variance := priorSpread * priorSpread * priorRuns
	if s.n > 0 {
		variance += s.sumSquares - s.sum*s.sum/s.n
	}
	return math.Sqrt(max(variance, 0) / (s.n + priorRuns))
}

// minTail is the probability of an age below which a run is not modelled any more: it is
// stuck or much larger than declared, and is assumed to go on for half as long again.
const minTail = 1e-6

// Remaining is the median of the remaining run time of a task that has run for age already,
// where the logarithm of run times is normally distributed around the expected one. A run
// that is older than expected goes on for some time, the longer the wider run times spread.
func Remaining(expected, age time.Duration, sigma float64) time.Duration {
	if age <= 0 || expected <= 0 || sigma <= 0 {
		return max(0, expected-age)
	}
	tail := 0.5 * math.Erfc(math.Log(float64(age)/float64(expected))/(sigma*math.Sqrt2))
	if tail < minTail {
		return age / 2
	}
	z := math.Sqrt2 * math.Erfcinv(tail)
	return max(0, time.Duration(float64(expected)*math.Exp(sigma*z))-age)
}
