package placement

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// minFailures is the least number of failures to set a worker aside.
	minFailures = 3
	// chanceOfFailures is how unlikely a worker's failures must be, were it like
	// the other workers on the same queues. It is small because some thousand
	// workers are compared all day.
	chanceOfFailures = 3e-5
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 10 * time.Minute
	// maxNonsense is the number of contradictory reports that a worker may make.
	maxNonsense = 3
	// probationFirst is the time until the first probe of a worker set aside.
	probationFirst = 30 * time.Second
	// probationLongest bounds the time between probes.
	probationLongest = 30 * time.Minute
	// probesToReturn is the number of probes that must succeed in a row.
	probesToReturn = 2
	// maxAsidePercent bounds the part of the workers that is set aside. Beyond
	// it the fault is more likely to be elsewhere.
	maxAsidePercent = 20
)

// failureCount counts attempts and failures, newer ones more.
type failureCount struct {
	attempts float64
	failures float64
	at       vocab.Instant
}

func (c *failureCount) decay(now vocab.Instant) {
	age := now.Sub(c.at)
	if age <= 0 {
		return
	}
	factor := math.Exp2(-age.Seconds() / failureHalfLife.Seconds())
	c.attempts *= factor
	c.failures *= factor
	c.at = now
}

func (c *failureCount) note(now vocab.Instant, failed bool) {
	c.decay(now)
	c.attempts++
	if failed {
		c.failures++
	}
}

// Verdict is how an attempt ended, as far as its worker is to be judged by it.
type Verdict int

const (
	// VerdictGood: the worker did its part.
	VerdictGood Verdict = iota - 1
	// VerdictFailed: the attempt failed.
	VerdictFailed
	// VerdictHung: the attempt did not end, or its worker fell silent.
	VerdictHung
	// badVerdicts is the number of ways to fail, which are counted apart.
	badVerdicts = iota - 1
)

// failures counts the attempts of a queue, for each way to fail.
type failures [badVerdicts]failureCount

func (c *failures) note(now vocab.Instant, v Verdict) {
	for kind := range c {
		c[kind].note(now, Verdict(kind) == v)
	}
}

type workerHealth struct {
	queues   []queueFailures
	nonsense int
	// aside means that the worker gets probes only.
	aside     bool
	reason    string
	nextProbe vocab.Instant
	wait      time.Duration
	succeeded int
}

type queueFailures struct {
	queue vocab.QueueID
	failures
}

func (h *workerHealth) of(queue vocab.QueueID) *failures {
	for i := range h.queues {
		if h.queues[i].queue == queue {
			return &h.queues[i].failures
		}
	}
	h.queues = append(h.queues, queueFailures{queue: queue})
	return &h.queues[len(h.queues)-1].failures
}

// NoteAttempt takes the end of an attempt. It reports whether the worker was
// set aside by it.
func (f *Fleet) NoteAttempt(now vocab.Instant, name vocab.VMID, queue vocab.QueueID, v Verdict) bool {
	i, ok := f.index[name]
	if !ok {
		return false
	}
	q, ok := f.queues[queue]
	if !ok {
		q = &failures{}
		f.queues[queue] = q
	}
	q.note(now, v)
	h := &f.nodes[i].health
	h.of(queue).note(now, v)
	if h.aside {
		f.noteProbe(now, i, v != VerdictGood)
		return false
	}
	if v == VerdictGood || !f.failsMore(now, h, v) {
		return false
	}
	return f.setAside(now, i, "fails more than other workers on the same queues")
}

// NoteNonsense takes a report that contradicts what the worker was told.
func (f *Fleet) NoteNonsense(now vocab.Instant, name vocab.VMID) bool {
	i, ok := f.index[name]
	if !ok {
		return false
	}
	h := &f.nodes[i].health
	h.nonsense++
	if h.aside || h.nonsense < maxNonsense {
		return false
	}
	return f.setAside(now, i, "reports contradict its orders")
}

// failsMore compares a worker with all others, queue by queue, in one way to
// fail.
func (f *Fleet) failsMore(now vocab.Instant, h *workerHealth, v Verdict) bool {
	failed := 0.0
	groups := make([]trials, 0, len(h.queues))
	for i := range h.queues {
		own := &h.queues[i].failures[v]
		own.decay(now)
		all := &f.queues[h.queues[i].queue][v]
		all.decay(now)
		others := max(0, all.attempts-own.attempts)
		rate := (max(0, all.failures-own.failures) + 1) / (others + 2)
		failed += own.failures
		groups = append(groups, trials{count: own.attempts, rate: rate})
	}
	// A decayed count is slightly below the whole number.
	if failed < minFailures-0.5 {
		return false
	}
	return chanceOfMore(failed, groups) < chanceOfFailures
}

// trials is a number of attempts with an equal chance to fail.
type trials struct {
	count, rate float64
}

// chanceOfMore returns an upper bound of the chance of at least so many
// failures among independent trials (Chernoff bound).
func chanceOfMore(failed float64, groups []trials) float64 {
	const steps, stepSize = 60, 0.15
	least := 0.0
	for step := 1; step <= steps; step++ {
		t := stepSize * float64(step)
		exponent := -t * failed
		for _, g := range groups {
			exponent += g.count * math.Log1p(g.rate*(math.Exp(t)-1))
		}
		least = min(least, exponent)
	}
	return math.Exp(least)
}

func (f *Fleet) setAside(now vocab.Instant, i int, reason string) bool {
	if f.HealthOff || (f.aside+1)*100 > len(f.nodes)*maxAsidePercent {
		return false
	}
	h := &f.nodes[i].health
	h.aside = true
	h.reason = reason
	h.succeeded = 0
	h.wait = max(probationFirst, min(h.wait*2, probationLongest))
	h.nextProbe = now.Add(h.wait)
	f.aside++
	f.refresh(i)
	return true
}

func (f *Fleet) noteProbe(now vocab.Instant, i int, failed bool) {
	h := &f.nodes[i].health
	if failed {
		h.succeeded = 0
		h.wait = min(h.wait*2, probationLongest)
		h.nextProbe = now.Add(h.wait)
		return
	}
	h.succeeded++
	h.nextProbe = now
	if h.succeeded < probesToReturn {
		return
	}
	h.aside = false
	h.nonsense = 0
	h.queues = nil
	f.aside--
	f.refresh(i)
}

// Aside reports whether a worker is set aside, and why.
func (f *Fleet) Aside(name vocab.VMID) (string, bool) {
	i, ok := f.index[name]
	if !ok || !f.nodes[i].health.aside {
		return "", false
	}
	return f.nodes[i].health.reason, true
}

// probe returns the room of a worker that is set aside and due for a probe.
func (f *Fleet) probe(now vocab.Instant) (int, bool) {
	if f.aside == 0 {
		return 0, false
	}
	for i, n := range f.nodes {
		if !n.health.aside || n.gone || n.suspect || n.info.Leaving || len(n.runs) > 0 {
			continue
		}
		if !now.Before(n.health.nextProbe) {
			return i, true
		}
	}
	return 0, false
}
