package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// rateMemory is the time over which observed service is averaged.
	rateMemory = 2 * time.Second
	// refusalMemory is the time over which refusals are counted.
	refusalMemory = 10 * time.Second
	// sheddingTime is how long after a refusal the queue counts as shedding.
	sheddingTime = time.Second
	// leastRuns is the number of ended runs from which on estimates are trusted.
	leastRuns = 20
	// lateSlack is by how much an estimated wait must exceed the time left
	// before an item is refused for it.
	lateSlack = 1.25
	// leastRetryAfter and mostRetryAfter bound what refused callers are told.
	leastRetryAfter = time.Second
	mostRetryAfter  = 60 * time.Second
)

// serviceRate observes what the queue gets served.
type serviceRate struct {
	running, waiting int
	// slots is the mean number of running items while others wait, and run the
	// mean run time in seconds.
	slots, run float64
	// covered is the part of rateMemory that slots has seen; 1 after long use.
	covered  float64
	runs     int
	refusals float64
	// weights is the sum over the teams with items that may go.
	weights   float64
	at        vocab.Instant
	refusedAt vocab.Instant
}

func newServiceRate() serviceRate {
	return serviceRate{run: firstRun}
}

// counted returns the weight with which a team counts in weights.
func (r *serviceRate) counted(t *team, weight float64) float64 {
	if t.ready() == 0 {
		return 0
	}
	return weight
}

// advance averages the number of running items up to now. While nothing waits
// it tells what is asked for and not what can be served, so that it then only
// raises the mean.
func (r *serviceRate) advance(now vocab.Instant) {
	if now <= r.at {
		return
	}
	if r.waiting > 0 || float64(r.running) > r.capacity() {
		keep := decay(now.Sub(r.at), rateMemory)
		r.slots = r.slots*keep + float64(r.running)*(1-keep)
		r.covered = r.covered*keep + 1 - keep
	}
	r.at = now
}

func (r *serviceRate) started(now vocab.Instant) {
	r.advance(now)
	r.running++
}

func (r *serviceRate) ended(now vocab.Instant, seconds float64) {
	r.advance(now)
	r.running--
	r.runs++
	r.run += max(runSmoothing, 1/float64(r.runs)) * (seconds - r.run)
}

func (r *serviceRate) refused(now vocab.Instant) {
	r.refusals = r.recentRefusals(now) + 1
	r.refusedAt = now
}

// recentRefusals returns the refusals of about the last refusalMemory.
func (r *serviceRate) recentRefusals(now vocab.Instant) float64 {
	return r.refusals * decay(now.Sub(r.refusedAt), refusalMemory)
}

// Shedding reports whether items were refused, evicted or expired lately.
func (q *Queue) Shedding(now vocab.Instant) bool {
	return q.rate.refusals > 0 && now.Sub(q.rate.refusedAt) < sheddingTime
}

// capacity returns how many items the queue gets run at the same time: the mean
// over what was seen, so that a queue that has just begun is not taken for slow.
func (r *serviceRate) capacity() float64 {
	if r.covered == 0 {
		return 0
	}
	return r.slots / r.covered
}

// known reports whether enough was observed to estimate waits.
func (r *serviceRate) known() bool {
	return r.runs >= leastRuns && r.capacity() > 0 && r.run > 0
}

func decay(d, memory time.Duration) float64 {
	return math.Exp(-float64(d) / float64(memory))
}

// tooLate reports whether the item would still wait when it expires.
func (q *Queue) tooLate(t *team, it Item, now vocab.Instant) bool {
	if !q.rate.known() {
		return false
	}
	ahead := t.ready()
	if it.Urgent {
		ahead = t.urgent.n
	}
	return q.wait(t, ahead) > lateSlack*it.Expires.Sub(now).Seconds()
}

// wait estimates the seconds until an item with so many of its team ahead
// starts: the team's part of the observed service, or the time to empty the
// whole queue if that is shorter.
func (q *Queue) wait(t *team, ahead int) float64 {
	weights := q.rate.weights
	if t.ready() == 0 {
		weights += t.weight
	}
	slots := q.rate.capacity()
	turn := q.rate.run / slots
	part := float64(ahead) * t.meanRun * weights / (t.weight * slots)
	return min(part, float64(len(q.entries))*turn)
}

// RetryAfter returns when a refused caller of a team should come back: not
// before what waits now is served, and then spread evenly over the time that
// the service needs for all it refused lately. The seed picks the caller's
// place in that time; equal seeds give equal answers.
func (q *Queue) RetryAfter(now vocab.Instant, id vocab.TeamID, seed uint64) time.Duration {
	wait, spread := leastRetryAfter.Seconds(), leastRetryAfter.Seconds()
	if q.rate.known() {
		t := q.team(id)
		wait = max(wait, q.wait(t, t.waiting))
		spread = max(spread, q.rate.recentRefusals(now)*q.rate.run/q.rate.capacity())
	}
	most := mostRetryAfter.Seconds()
	wait = min(wait, most/2)
	spread = min(spread, most-wait)
	place := rand.New(rand.NewPCG(seed, seed)).Float64()
	return time.Duration((wait + place*spread) * float64(time.Second))
}
