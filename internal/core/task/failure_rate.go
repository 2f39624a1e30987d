package task

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Attempts also fail because something is away that all tasks need. A failure speaks against a task by
// how seldom the attempts of others fail.

const (
	// failureHalfLife is the time after which an ended attempt counts half.
	failureHalfLife = 2 * time.Minute
	// priorAttempts is the number of attempts, one of them failed, that are assumed before any was seen.
	priorAttempts = 25
)

// decayedCount is a count in which what is long ago counts less.
type decayedCount struct {
	count     float64
	updatedAt vocab.Instant
}

// at returns the count at a time.
func (d *decayedCount) at(now vocab.Instant, halfLife time.Duration) float64 {
	d.count *= math.Exp2(-now.Sub(d.updatedAt).Seconds() / halfLife.Seconds())
	d.updatedAt = now
	return d.count
}

func (d *decayedCount) add(now vocab.Instant, halfLife time.Duration) {
	d.at(now, halfLife)
	d.count++
}

// ownCounts counts the crashes of workers under one task and its failures, as they count in the rates.
type ownCounts struct {
	crashes, failures decayedCount
}

// countsOf returns the counts of a task, adding them if there are none.
func (c *Controller) countsOf(id vocab.TaskID) *ownCounts {
	own := c.ownCounts[id]
	if own == nil {
		own = &ownCounts{}
		c.ownCounts[id] = own
	}
	return own
}

// failureRate counts the recent ends of attempts.
type failureRate struct {
	ended, failed decayedCount
}

func (r *failureRate) add(now vocab.Instant, failed bool) {
	r.ended.add(now, failureHalfLife)
	if failed {
		r.failed.add(now, failureHalfLife)
	}
}

// withoutOwn returns the rate without own of the failures.
func (r *failureRate) withoutOwn(now vocab.Instant, own float64) float64 {
	failed := 1 + max(0, r.failed.at(now, failureHalfLife)-own)
	return failed / (priorAttempts + max(0, r.ended.at(now, failureHalfLife)-own))
}

// noteFailures counts an attempt that succeeded or failed in the rates.
func (c *Controller) noteFailures(change Change) {
	if len(change.Tasks) == 0 || c.log.lastEnd == 0 {
		// The record changed nothing, or was read with the history.
		return
	}
	t := change.Tasks[0]
	switch b := change.Body.(type) {
	case record.TaskFinished:
		if b.Result == record.TaskSucceeded || b.Result == record.TaskFailed {
			c.addOutcome(t, b.Result == record.TaskFailed)
		}
	case record.TaskAttemptLost:
		if b.Reason == record.LossFailed || b.Reason == record.LossHung {
			c.addOutcome(t, true)
		}
	}
}

func (c *Controller) addOutcome(t *Task, failed bool) {
	queue := c.queueFailures[t.Queue]
	if queue == nil {
		queue = &failureRate{}
		c.queueFailures[t.Queue] = queue
	}
	queue.add(c.now, failed)
	c.failures.add(c.now, failed)
	if failed && t.State != Ended {
		c.countsOf(t.Task).failures.add(c.now, failureHalfLife)
	}
}

// failureEvidence returns the evidence of a failure that the task is at fault, in thousandths of the
// natural logarithm, by the rate of its queue or of all tasks, whichever explains it best.
func (c *Controller) failureEvidence(t *Task) int {
	own := 0.0
	if counts := c.ownCounts[t.Task]; counts != nil {
		own = counts.failures.at(c.now, failureHalfLife)
	}
	rate := c.failures.withoutOwn(c.now, own)
	if queue := c.queueFailures[t.Queue]; queue != nil {
		rate = max(rate, queue.withoutOwn(c.now, own))
	}
	return int(-thousandths * math.Log(rate))
}
