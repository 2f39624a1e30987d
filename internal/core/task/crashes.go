package task

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinehead/sardinehead/internal/core/crash"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// announcedStart is the start of an attempt as this node read its announcement. It is zero if the node
// has read it with the history, so that the attempt may have been running for any time.
type announcedStart struct {
	attempt record.Attempt
	// readAt is the time when the announcement was read, and notBefore that of the read before.
	readAt, notBefore vocab.Instant
}

// noteStarts notes the start that a record announces, and forgets those of attempts that have ended.
func (c *Controller) noteStarts(change Change) {
	for _, t := range change.Tasks {
		if t.State != Started {
			delete(c.starts, t.Task)
		}
	}
	if start, ok := change.Body.(record.TaskStartIntended); ok && len(change.Tasks) > 0 && c.log.lastEnd != 0 {
		c.starts[start.Task] = announcedStart{attempt: start.Attempt, readAt: c.now, notBefore: c.log.lastEnd}
	}
}

// crashRun returns what is known of the attempt's start. Of one that was taken over, it is only the
// announcement: when it was first reported to this node says nothing about its start.
func (a *attempt) crashRun() crash.Run {
	if a.takenOver {
		return crash.Run{StartedAt: a.start.readAt, Settled: a.start.readAt == 0, Unit: a.task.Task}
	}
	return crash.Run{StartedAt: a.runningSince, Unanswered: a.runningSince == 0, Unit: a.task.Task}
}

// crashReason returns the reason for the loss of an attempt whose worker incarnation has ended.
func (a *attempt) crashReason() record.LossReason {
	w := a.worker
	if w.crashSuspects == nil {
		runs := make([]crash.Run, len(w.attempts))
		for i, other := range w.attempts {
			runs[i] = other.crashRun()
		}
		suspects, _ := crash.Suspects(runs)
		w.crashSuspects = map[vocab.TaskID]bool{}
		for _, i := range suspects {
			w.crashSuspects[w.attempts[i].task.Task] = true
		}
	}
	if w.crashSuspects[a.task.Task] {
		return record.LossWorkerCrashSuspected
	}
	return record.LossWorkerCrashed
}

// crashEvidence returns the evidence of a crash that the attempt caused it, in thousandths of the
// natural logarithm, and whether the attempt had been running for long.
func (c *Controller) crashEvidence(a *attempt) (evidence int, ranLong bool) {
	ended, counted := c.crashRates.endedBy(c.now, a.worker.id, a.worker.incarnation)
	if a.runningSince != 0 && ended.Sub(a.runningSince) > maxCrashTime {
		return 0, true
	}
	if a.start.readAt == 0 {
		// It may have been running for any time.
		return 0, false
	}
	ran := ended.Sub(a.start.notBefore)
	if ran > maxCrashTime {
		return 0, true
	}
	own := 0.0
	if counts := c.ownCounts[a.task.Task]; counts != nil {
		own = counts.crashes.at(c.now, crashHalfLife)
	}
	if counted {
		own++
	}
	return int(thousandths * c.crashRates.logEvidence(c.now, a.worker.id, own, ran)), false
}

// noteOwnCrashes counts the crash of a worker under a task.
func (c *Controller) noteOwnCrashes(change Change) {
	for _, t := range change.Tasks {
		if t.State == Ended {
			delete(c.ownCounts, t.Task)
		}
	}
	lost, ok := change.Body.(record.TaskAttemptLost)
	if !ok || len(change.Tasks) == 0 || change.Tasks[0].State == Ended || c.log.lastEnd == 0 {
		return
	}
	if lost.Reason != record.LossWorkerCrashed && lost.Reason != record.LossWorkerCrashSuspected {
		return
	}
	c.countsOf(lost.Task).crashes.add(c.now, crashHalfLife)
}

// delayAfterLoss delays the placement of a task that may have crashed a worker or has failed often, and
// reports whether it has to wait. Tasks that were lost together start again apart, so that the next
// crash is attributed to one of them.
func (c *Controller) delayAfterLoss(t *Task) bool {
	own := c.ownership
	until, delayed := own.delayed[t.Task]
	if delay := max(crashDelay(t), failureDelay(t)); !delayed && delay > 0 {
		until = c.now.Add(delay)
		own.delayed[t.Task] = until
	}
	if c.now.Before(until) {
		return true
	}
	delete(own.delayed, t.Task)
	return false
}

// crashDelay returns the delay of a task's next attempt after a crash. It differs between tasks
// and crashes, and grows with the first crashes.
func crashDelay(t *Task) time.Duration {
	const steps = 64
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", t.Task, t.Attempt))
	return time.Duration(min(t.SuspectedCrashes, poisonWorkerThreshold)) * maxCrashDelay * time.Duration(hash%steps) / steps
}

// failureDelay returns the delay of a task's next attempt after failures that were not enough to park it:
// what the task needs may be away. It doubles with each further one.
func failureDelay(t *Task) time.Duration {
	if t.Failures < poisonWorkerThreshold {
		return 0
	}
	delay := min(maxFailureDelay, minFailureDelay<<min(t.Failures-poisonWorkerThreshold, poisonFailureThreshold))
	const steps = 64
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", t.Task, t.Attempt))
	return delay * time.Duration(steps+hash%steps) / (2 * steps)
}

// endDelays lets the tasks be placed whose delay has passed.
func (c *Controller) endDelays() {
	var due []vocab.TaskID
	for id, until := range c.ownership.delayed {
		if !c.now.Before(until) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		if t, ok := c.loader.ledger.Task(id); ok && t.State == Waiting {
			c.syncWaiting(t)
			continue
		}
		delete(c.ownership.delayed, id)
	}
}
