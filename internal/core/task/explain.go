package task

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Explain tells an operator in one or two sentences why a task is where it is.
func (c *Controller) Explain(id vocab.TaskID) string {
	ledger := c.Ledger()
	if ledger == nil {
		return "The task stream is not read yet; nothing is known."
	}
	t, ok := ledger.Task(id)
	if !ok {
		return fmt.Sprintf("No task %s is known; its result may have been dropped after the time for which results are kept.", id)
	}
	switch t.State {
	case Waiting:
		return c.explainWaiting(t)
	case Started:
		return c.explainStarted(t)
	case Parked:
		return fmt.Sprintf("Parked: %s.", t.Reason)
	case NeedsPerson:
		return fmt.Sprintf("Needs a person: %s. It was last started on %s; it is not run again.", t.Reason, t.Worker)
	default:
		return fmt.Sprintf("Ended: %s, after %d attempts.", t.Result, t.Attempt)
	}
}

func (c *Controller) explainWaiting(t *Task) string {
	h := c.held
	if h == nil {
		return fmt.Sprintf("Waiting; the owner %s decides. Ask that node for more.", c.loader.ledger.owner.Node)
	}
	if n := h.nominated[t.Task]; n != nil {
		return fmt.Sprintf("Waiting for %d attempts on %s to make room.", len(n.victims), n.worker)
	}
	if b, ok := h.bound[t.Task]; ok {
		return fmt.Sprintf("Placed on %s; the start is not on the log yet.", b.worker)
	}
	if c.log.failed {
		return "Waiting: the log is down, and nothing is started without it."
	}
	if !c.mayStart() {
		return "Waiting: this node has not proven its ownership within the last seconds."
	}
	if !c.set.Account.Take(t.Team) {
		return fmt.Sprintf("Waiting: team %s is at its upper limit.", t.Team)
	}
	c.set.Account.Release(t.Team)
	e := c.learner.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory)
	return fmt.Sprintf("Waiting: no worker has room for %s (from %d observations of the queue), or other teams are further below their share.",
		placement.Describe(e.Size), e.Observations)
}

func (c *Controller) explainStarted(t *Task) string {
	text := fmt.Sprintf("Attempt %d was given to %s", t.Attempt, t.Worker)
	if c.held == nil || c.held.runs[t.Task] == nil {
		return text + "."
	}
	switch r := c.held.runs[t.Task]; r.phase {
	case intended:
		return text + "; the start was not confirmed yet."
	case asking:
		return text + "; the worker is asked what became of it."
	case over:
		return text + "; it is over, and its end waits for the log."
	default:
		return text + " and runs."
	}
}
