package job

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A worker that fails whatever it starts is free again at once, so that best fit chooses it
// again, also for the task that has just failed there: within 0.1 s the task uses up its
// attempts and its job fails. Placement prefers workers that did not fail the task and do not
// fail most of their runs. Where all workers fail, nothing changes.

const (
	// outcomeWindow is the time constant with which the ends of runs are forgotten.
	outcomeWindow = 10 * time.Second
	// minFailures is the number of failed runs from which a worker may count as failing: one
	// failure may be the task's own fault.
	minFailures = 1.5
	// maxFailedRuns is the fraction of failed runs above which a worker counts as failing.
	maxFailedRuns = 0.5
	// failurePenalty is added to the score of a worker that fails the task or most of its runs.
	// It is above that of a wrong rack, which makes a task slower.
	failurePenalty = 10 * wrongRackPenalty
)

// runOutcomes counts the recent ends of the finite runs of one incarnation of a worker.
type runOutcomes struct {
	failed, completed float64
	updatedAt         vocab.Instant
}

// note counts the end of a run.
func (r *runOutcomes) note(now vocab.Instant, failed bool) {
	factor := math.Exp(-float64(now.Sub(r.updatedAt)) / float64(outcomeWindow))
	r.failed, r.completed, r.updatedAt = r.failed*factor, r.completed*factor, now
	if failed {
		r.failed++
	} else {
		r.completed++
	}
}

// failing reports whether most of the recent runs failed.
func (r *runOutcomes) failing(now vocab.Instant) bool {
	factor := math.Exp(-float64(now.Sub(r.updatedAt)) / float64(outcomeWindow))
	return r.failed*factor >= minFailures && r.failed > maxFailedRuns*(r.failed+r.completed)
}

// noteOutcome counts the end of a task's run on a worker.
func (o *owner) noteOutcome(t *task, w *worker, failed bool) {
	if failed {
		t.failedOn = w.info.ID
	}
	if !t.step.spec.LongRunning {
		w.outcomes.note(o.s.now, failed)
	}
}

// outcomePenalty returns the addition to a worker's score for a placement of a task.
func (o *owner) outcomePenalty(t *task, w *worker) float64 {
	if t.failedOn == w.info.ID || w.outcomes.failing(o.s.now) {
		return failurePenalty
	}
	return 0
}
