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

// crashReason returns the reason for the loss of an attempt whose worker incarnation has ended.
func (a *attempt) crashReason() record.LossReason {
	w := a.worker
	if w.crashSuspects == nil {
		runs := make([]crash.Run, len(w.attempts))
		for i, other := range w.attempts {
			runs[i] = crash.Run{StartedAt: other.runningSince, Unanswered: other.runningSince == 0, Unit: other.task.Task}
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

// delayAfterCrash delays the placement of a task that may have crashed a worker, and reports
// whether it has to wait. Tasks that were lost together start again apart, so that the next crash
// is attributed to one of them.
func (c *Controller) delayAfterCrash(t *Task) bool {
	own := c.ownership
	until, delayed := own.delayed[t.Task]
	if !delayed && t.SuspectedCrashes > 0 {
		until = c.now.Add(crashDelay(t))
		own.delayed[t.Task] = until
	}
	if c.now.Before(until) {
		return true
	}
	delete(own.delayed, t.Task)
	return false
}

// crashDelay returns the delay of a task's next attempt after a crash. It differs between tasks
// and crashes, and grows with the crashes.
func crashDelay(t *Task) time.Duration {
	const steps = 64
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", t.Task, t.Attempt))
	return time.Duration(t.SuspectedCrashes) * maxCrashDelay * time.Duration(hash%steps) / steps
}

// endCrashDelays lets the tasks be placed whose delay has passed.
func (c *Controller) endCrashDelays() {
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
