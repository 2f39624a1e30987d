package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// serviceWindow is the time constant of the moving average of running items.
	serviceWindow = 2 * time.Second
	// refusalWindow is the time constant with which the count of refusals decays.
	refusalWindow = 10 * time.Second
	// sheddingPeriod is the time after a refusal in which the queue counts as
	// shedding load.
	sheddingPeriod = time.Second
	// minFinishedRuns is the number of finished runs from which on waits are
	// estimated.
	minFinishedRuns = 20
	// lateFactor is the ratio of the estimated wait to the time until expiry above
	// which an item is refused.
	lateFactor = 1.25
	// minRetryAfter and maxRetryAfter bound the result of RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// serviceStats holds the observations from which waits are estimated.
type serviceStats struct {
	running, waiting int
	// meanRunning is the mean number of running items while others wait, multiplied
	// by observedFraction. meanRunSeconds is the mean run time.
	meanRunning, meanRunSeconds float64
	// observedFraction is the total weight of the observations in meanRunning. It
	// approaches 1 with time.
	observedFraction float64
	finishedRuns     int
	refusals         float64
	// readyWeight is the sum of the weights of the teams with ready items.
	readyWeight float64
	updatedAt   vocab.Instant
	lastRefusal vocab.Instant
}

func newServiceStats() serviceStats {
	return serviceStats{meanRunSeconds: initialRunSeconds}
}

// countedWeight returns the contribution to readyWeight of a team with this weight.
func (r *serviceStats) countedWeight(t *team, weight float64) float64 {
	if t.ready() == 0 {
		return 0
	}
	return weight
}

// update averages the number of running items up to now. While nothing waits, that
// number reflects the demand and not the capacity; it is then averaged only if it
// raises the mean.
func (r *serviceStats) update(now vocab.Instant) {
	if now <= r.updatedAt {
		return
	}
	if r.waiting > 0 || float64(r.running) > r.concurrency() {
		factor := decay(now.Sub(r.updatedAt), serviceWindow)
		r.meanRunning = r.meanRunning*factor + float64(r.running)*(1-factor)
		r.observedFraction = r.observedFraction*factor + 1 - factor
	}
	r.updatedAt = now
}

// started counts an item that starts to run.
func (r *serviceStats) started(now vocab.Instant) {
	r.update(now)
	r.running++
}

// finished counts an item that finished after a run time in seconds.
func (r *serviceStats) finished(now vocab.Instant, seconds float64) {
	r.update(now)
	r.running--
	r.finishedRuns++
	r.meanRunSeconds += max(runSmoothing, 1/float64(r.finishedRuns)) * (seconds - r.meanRunSeconds)
}

// refused counts a refused, evicted or expired item.
func (r *serviceStats) refused(now vocab.Instant) {
	r.refusals = r.recentRefusals(now) + 1
	r.lastRefusal = now
}

// recentRefusals returns the decayed count of refusals, which approximates their
// number in the last refusalWindow.
func (r *serviceStats) recentRefusals(now vocab.Instant) float64 {
	return r.refusals * decay(now.Sub(r.lastRefusal), refusalWindow)
}

// Shedding reports whether an item was refused, evicted or expired within the last
// sheddingPeriod.
func (q *Queue) Shedding(now vocab.Instant) bool {
	return q.stats.refusals > 0 && now.Sub(q.stats.lastRefusal) < sheddingPeriod
}

// concurrency returns the mean number of concurrently running items. It is the mean
// over the observed time only, so that a new queue is not considered slow.
func (r *serviceStats) concurrency() float64 {
	if r.observedFraction == 0 {
		return 0
	}
	return r.meanRunning / r.observedFraction
}

// reliable reports whether there are enough observations to estimate waits.
func (r *serviceStats) reliable() bool {
	return r.finishedRuns >= minFinishedRuns && r.concurrency() > 0 && r.meanRunSeconds > 0
}

// decay returns the factor of exponential decay over d.
func decay(d, timeConstant time.Duration) float64 {
	return math.Exp(-float64(d) / float64(timeConstant))
}

// tooLate reports whether the item is expected to be still waiting when it expires.
func (q *Queue) tooLate(t *team, it Item, now vocab.Instant) bool {
	if !q.stats.reliable() {
		return false
	}
	ahead := t.ready()
	if it.Urgent {
		ahead = t.urgent.count
	}
	return q.estimateWait(t, ahead) > lateFactor*it.Expires.Sub(now).Seconds()
}

// estimateWait estimates the seconds until an item starts that has this number of its
// team's items ahead: the time in which the team's share of the observed service
// serves them, or the time to empty the whole queue if that is shorter.
func (q *Queue) estimateWait(t *team, ahead int) float64 {
	totalWeight := q.stats.readyWeight
	if t.ready() == 0 {
		totalWeight += t.weight
	}
	concurrency := q.stats.concurrency()
	startInterval := q.stats.meanRunSeconds / concurrency
	teamWait := float64(ahead) * t.meanRunSeconds * totalWeight / (t.weight * concurrency)
	return min(teamWait, float64(len(q.entries))*startInterval)
}

// RetryAfter returns the time after which a refused caller of a team should retry. It
// is the time to serve the team's waiting items plus a delay that is spread evenly
// over the time the service needs for all recently refused items. The seed determines
// the caller's position in that time; equal seeds give equal results.
func (q *Queue) RetryAfter(now vocab.Instant, id vocab.TeamID, seed uint64) time.Duration {
	wait, spread := minRetryAfter.Seconds(), minRetryAfter.Seconds()
	if q.stats.reliable() {
		t := q.team(id)
		wait = max(wait, q.estimateWait(t, t.waiting))
		spread = max(spread, q.stats.recentRefusals(now)*q.stats.meanRunSeconds/q.stats.concurrency())
	}
	maxWait := maxRetryAfter.Seconds()
	wait = min(wait, maxWait/2)
	spread = min(spread, maxWait-wait)
	position := rand.New(rand.NewPCG(seed, seed)).Float64()
	return time.Duration((wait + position*spread) * float64(time.Second))
}
