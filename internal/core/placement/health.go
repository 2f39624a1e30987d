package placement

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// minFailures is the number of failures below which no worker is quarantined.
	minFailures = 3
	// maxFailureProbability is the significance level of the test: a worker is
	// quarantined if a worker with the failure rate of the others would fail as
	// often with a lower probability. It is small because some thousand workers
	// are tested all day.
	maxFailureProbability = 3e-5
	// failureHalfLife is the time after which an attempt counts half.
	failureHalfLife = 10 * time.Minute
	// maxInvalidReports is the number of invalid reports at which a worker is
	// quarantined.
	maxInvalidReports = 3
	// minProbeDelay is the time from the first quarantine of a worker to its first
	// probe. The delay doubles with each failed probe and each later quarantine.
	minProbeDelay = 30 * time.Second
	// maxProbeDelay is the upper bound of that delay.
	maxProbeDelay = 30 * time.Minute
	// probesToRelease is the number of consecutive successful probes that end a
	// quarantine.
	probesToRelease = 2
	// maxQuarantinedPercent bounds the share of workers in quarantine. If more
	// workers fail, the cause is more likely elsewhere.
	maxQuarantinedPercent = 20
)

// decayingCount counts attempts and failures with exponential decay.
type decayingCount struct {
	attempts  float64
	failures  float64
	updatedAt vocab.Instant
}

func (c *decayingCount) decay(now vocab.Instant) {
	age := now.Sub(c.updatedAt)
	if age <= 0 {
		return
	}
	factor := math.Exp2(-age.Seconds() / failureHalfLife.Seconds())
	c.attempts *= factor
	c.failures *= factor
	c.updatedAt = now
}

func (c *decayingCount) add(now vocab.Instant, failed bool) {
	c.decay(now)
	c.attempts++
	if failed {
		c.failures++
	}
}

// Outcome is the outcome of an attempt as evidence for or against its worker.
type Outcome int

const (
	// OutcomeGood: nothing in the outcome speaks against the worker.
	OutcomeGood Outcome = iota - 1
	// OutcomeFailed: the attempt failed.
	OutcomeFailed
	// OutcomeHung: the attempt did not end, or its worker stopped answering.
	OutcomeHung
	// failureKinds is the number of outcomes that are failures. Each is counted
	// separately.
	failureKinds = iota - 1
)

// outcomeCounts counts the attempts of a queue, indexed by the kind of
// failure.
type outcomeCounts [failureKinds]decayingCount

func (c *outcomeCounts) add(now vocab.Instant, v Outcome) {
	for kind := range c {
		c[kind].add(now, Outcome(kind) == v)
	}
}

// workerHealth holds the outcomes of a worker's attempts and its quarantine.
type workerHealth struct {
	queues         []queueOutcomes
	invalidReports int
	// quarantined means that the worker gets probes only.
	quarantined bool
	// reason says why the worker is quarantined.
	reason          string
	nextProbe       vocab.Instant
	probeDelay      time.Duration
	succeededProbes int
}

// queueOutcomes has the outcomes of one queue's attempts on one worker.
type queueOutcomes struct {
	queue vocab.QueueID
	outcomeCounts
}

// countsFor returns the counts of a queue, adding them if there are none.
func (h *workerHealth) countsFor(queue vocab.QueueID) *outcomeCounts {
	for i := range h.queues {
		if h.queues[i].queue == queue {
			return &h.queues[i].outcomeCounts
		}
	}
	h.queues = append(h.queues, queueOutcomes{queue: queue})
	return &h.queues[len(h.queues)-1].outcomeCounts
}

// RecordOutcome records the outcome of an attempt. It reports whether the worker
// was quarantined because of it.
func (f *Fleet) RecordOutcome(now vocab.Instant, name vocab.VMID, queue vocab.QueueID, v Outcome) bool {
	i, ok := f.index[name]
	if !ok {
		return false
	}
	q, ok := f.queueOutcomes[queue]
	if !ok {
		q = &outcomeCounts{}
		f.queueOutcomes[queue] = q
	}
	q.add(now, v)
	h := &f.nodes[i].health
	h.countsFor(queue).add(now, v)
	if h.quarantined {
		f.recordProbe(now, i, v != OutcomeGood)
		return false
	}
	if v == OutcomeGood || !f.failsMoreThanOthers(now, h, v) {
		return false
	}
	return f.quarantine(now, i, "fails more than other workers on the same queues")
}

// RecordInvalidReport records a worker's report that contradicts its orders. It reports
// whether the worker was quarantined because of it.
func (f *Fleet) RecordInvalidReport(now vocab.Instant, name vocab.VMID) bool {
	i, ok := f.index[name]
	if !ok {
		return false
	}
	h := &f.nodes[i].health
	h.invalidReports++
	if h.quarantined || h.invalidReports < maxInvalidReports {
		return false
	}
	return f.quarantine(now, i, "reports contradict its orders")
}

// failsMoreThanOthers tests whether a worker fails in one way significantly more
// often than the other workers do on the same queues.
func (f *Fleet) failsMoreThanOthers(now vocab.Instant, h *workerHealth, v Outcome) bool {
	failures := 0.0
	groups := make([]trials, 0, len(h.queues))
	for i := range h.queues {
		workerCount := &h.queues[i].outcomeCounts[v]
		workerCount.decay(now)
		fleetCount := &f.queueOutcomes[h.queues[i].queue][v]
		fleetCount.decay(now)
		others := max(0, fleetCount.attempts-workerCount.attempts)
		rate := (max(0, fleetCount.failures-workerCount.failures) + 1) / (others + 2)
		failures += workerCount.failures
		groups = append(groups, trials{attempts: workerCount.attempts, failureRate: rate})
	}
	// Decay leaves the count slightly below the number of failures.
	if failures < minFailures-0.5 {
		return false
	}
	return maxTailProbability(failures, groups) < maxFailureProbability
}

// trials is a number of attempts with the same probability of failure.
type trials struct {
	attempts, failureRate float64
}

// maxTailProbability returns the Chernoff bound: an upper bound of the probability
// of at least this many failures in independent trials. The exponent is minimised
// over a grid.
func maxTailProbability(failures float64, groups []trials) float64 {
	const steps, stepSize = 60, 0.15
	minExponent := 0.0
	for step := 1; step <= steps; step++ {
		t := stepSize * float64(step)
		exponent := -t * failures
		for _, g := range groups {
			exponent += g.attempts * math.Log1p(g.failureRate*(math.Exp(t)-1))
		}
		minExponent = min(minExponent, exponent)
	}
	return math.Exp(minExponent)
}

// quarantine limits a worker to probes, unless too many workers are in quarantine.
// It reports whether it did.
func (f *Fleet) quarantine(now vocab.Instant, i int, reason string) bool {
	if f.QuarantineDisabled || (f.quarantined+1)*100 > len(f.nodes)*maxQuarantinedPercent {
		return false
	}
	h := &f.nodes[i].health
	h.quarantined = true
	h.reason = reason
	h.succeededProbes = 0
	h.probeDelay = max(minProbeDelay, min(h.probeDelay*2, maxProbeDelay))
	h.nextProbe = now.Add(h.probeDelay)
	f.quarantined++
	f.updateFree(i)
	return true
}

// recordProbe records the result of a probe and ends the quarantine after
// probesToRelease successes.
func (f *Fleet) recordProbe(now vocab.Instant, i int, failed bool) {
	h := &f.nodes[i].health
	if failed {
		h.succeededProbes = 0
		h.probeDelay = min(h.probeDelay*2, maxProbeDelay)
		h.nextProbe = now.Add(h.probeDelay)
		return
	}
	h.succeededProbes++
	h.nextProbe = now
	if h.succeededProbes < probesToRelease {
		return
	}
	h.quarantined = false
	h.invalidReports = 0
	h.queues = nil
	f.quarantined--
	f.updateFree(i)
}

// Quarantined reports whether a worker is quarantined, and the reason.
func (f *Fleet) Quarantined(name vocab.VMID) (string, bool) {
	i, ok := f.index[name]
	if !ok || !f.nodes[i].health.quarantined {
		return "", false
	}
	return f.nodes[i].health.reason, true
}

// dueProbe returns the index of an idle quarantined worker that is due for a probe.
func (f *Fleet) dueProbe(now vocab.Instant) (int, bool) {
	if f.quarantined == 0 {
		return 0, false
	}
	for i, n := range f.nodes {
		if !n.health.quarantined || n.delisted || n.suspect || n.info.Leaving || len(n.runs) > 0 {
			continue
		}
		if !now.Before(n.health.nextProbe) {
			return i, true
		}
	}
	return 0, false
}
