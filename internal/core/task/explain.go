package task

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Explain returns one or two sentences for operators on a task's state and the
// reason for it.
func (c *Controller) Explain(id vocab.TaskID) string {
	ledger := c.Ledger()
	if ledger == nil {
		return "The task stream has not been read yet; no task is known."
	}
	t, ok := ledger.Task(id)
	if !ok {
		return fmt.Sprintf("Task %s is not known; its result may have been dropped at the end of the retention time.", id)
	}
	switch t.State {
	case Waiting:
		return c.explainWaiting(t)
	case Started:
		return c.explainStarted(t)
	case Parked:
		return fmt.Sprintf("Parked: %s.", t.Reason)
	case NeedsOperator:
		return fmt.Sprintf("Needs an operator: %s. The last attempt was on %s; no other is made.", t.Reason, t.Worker)
	default:
		return fmt.Sprintf("Ended: %s, after %d attempts.", t.Result, t.Attempt)
	}
}

func (c *Controller) explainWaiting(t *Task) string {
	own := c.ownership
	if own == nil {
		return fmt.Sprintf("Waiting. The owner, %s, places the task; query that node for details.", c.loader.ledger.owner.Node)
	}
	if cand := own.candidates[t.Task]; cand != nil {
		return fmt.Sprintf("Waiting for %d attempts on %s to free capacity.", len(cand.victims), cand.worker)
	}
	if res, ok := own.reservations[t.Task]; ok {
		return fmt.Sprintf("Placed on %s; the record of the start is not on the log yet.", res.worker)
	}
	if c.log.failed {
		return "Waiting: the log is down, and no task is started without it."
	}
	if !c.mayStart() {
		return "Waiting: this node has not confirmed its ownership of the shard within the last seconds."
	}
	if !c.settings.Account.TryAcquire(t.Team) {
		return fmt.Sprintf("Waiting: team %s is at its upper limit.", t.Team)
	}
	c.settings.Account.Release(t.Team)
	e := c.estimator.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory)
	return fmt.Sprintf("Waiting: no worker has the free capacity for %s (estimated from %d observations of the queue), or other teams are further below their share.",
		placement.Describe(e.Size), e.Observations)
}

func (c *Controller) explainStarted(t *Task) string {
	text := fmt.Sprintf("Attempt %d was assigned to %s", t.Attempt, t.Worker)
	if c.ownership == nil || c.ownership.attempts[t.Task] == nil {
		return text + "."
	}
	switch a := c.ownership.attempts[t.Task]; a.attemptState {
	case attemptIntended:
		return text + "; its start is not confirmed yet."
	case attemptUnknown:
		return text + "; its state is unknown, and the worker is being queried."
	case attemptFinished:
		return text + "; it has finished, and the record of its end is not on the log yet."
	default:
		return text + " and is running."
	}
}
