package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// orderTimeout is the time within which an order must be sent to the worker.
const orderTimeout = time.Second

// suspectDuration is the time for which a worker that did not answer an order
// gets no new tasks, unless it answers another order before.
const suspectDuration = 15 * time.Second

// pendingOrder is an order that the worker has not answered yet.
type pendingOrder struct {
	kind    worker.Kind
	worker  *workerState
	refs    []worker.AttemptRef
	forget  []worker.AttemptRef
	percent int
}

// sendOrder sends an order to a worker under the current epoch.
func (c *Controller) sendOrder(w *workerState, o worker.Order, notAfter vocab.Instant) {
	c.lastOrderID++
	c.pendingOrders[c.lastOrderID] = pendingOrder{kind: o.Kind, worker: w, refs: o.Attempts, forget: o.Forget, percent: o.Percent}
	o.Worker = w.id
	o.Incarnation = w.incarnation
	o.Shard = c.settings.Shard
	o.Epoch = c.ownership.epoch
	c.emit(OrderWorker{Order: c.lastOrderID, To: o, NotAfter: notAfter})
}

// sendAttemptOrder sends an order for one attempt, which gets no other order
// until this one is answered. Renewals are independent of it.
func (c *Controller) sendAttemptOrder(a *attempt, o worker.Order, notAfter vocab.Instant) {
	a.orderPending = true
	o.Attempts = []worker.AttemptRef{a.ref}
	c.sendOrder(a.worker, o, notAfter)
}

// startNewAttempts orders the starts that were announced by records of the last
// read. It runs after the whole read was folded, so that a cancellation in the
// same read prevents the start.
func (c *Controller) startNewAttempts() {
	if c.ownership == nil {
		return
	}
	attempts := c.ownership.newAttempts
	c.ownership.newAttempts = nil
	for _, a := range attempts {
		if c.ownership.attempts[a.ref.Task] == a {
			c.advance(a)
		}
	}
}

// advance sends the next order for an attempt, if one is due, or ends a cancelled
// attempt whose start was not ordered.
func (c *Controller) advance(a *attempt) {
	if a.orderPending {
		return
	}
	switch a.attemptState {
	case attemptIntended:
		c.advanceIntended(a)
	case attemptRunning:
		c.advanceRunning(a)
	}
}

func (c *Controller) advanceIntended(a *attempt) {
	if a.pendingAction == actionStopCancelled {
		c.loseAttempt(a, record.LossNotStarted, "")
		return
	}
	if !c.mayStart() {
		return
	}
	t := a.task
	spec := &worker.AttemptSpec{Queue: t.Queue, Team: t.Team, Size: t.Reserved, Body: t.Body, Checkpoint: t.Checkpoint}
	start := worker.Order{Kind: worker.Start, Lease: leaseDuration, Spec: spec}
	c.sendAttemptOrder(a, start, vocab.Earliest(c.mayStartUntil, c.now.Add(orderTimeout)))
}

func (c *Controller) advanceRunning(a *attempt) {
	notAfter := c.now.Add(orderTimeout)
	switch {
	case a.pendingAction == actionCheckpoint:
		c.sendAttemptOrder(a, worker.Order{Kind: worker.Checkpoint}, notAfter)
	case a.pendingAction != actionNone:
		c.sendAttemptOrder(a, worker.Order{Kind: worker.Stop}, notAfter)
	case a.targetPercent != a.cpuPercent:
		c.sendAttemptOrder(a, worker.Order{Kind: worker.Throttle, Percent: a.targetPercent}, notAfter)
	}
}

// onOrderCompleted handles the answer to an order.
func (c *Controller) onOrderCompleted(e OrderCompleted) {
	o, ok := c.pendingOrders[e.Order]
	if !ok || c.ownership == nil {
		return
	}
	delete(c.pendingOrders, e.Order)
	switch o.kind {
	case worker.Renew:
		o.worker.renewPending = false
		o.worker.nextRenew = c.now.Add(leaseRenewInterval)
		if e.Answer.Code != worker.Done {
			o.worker.forget = append(o.worker.forget, o.forget...)
		}
	case worker.Query:
		o.worker.queryPending = false
		o.worker.nextQuery = c.now.Add(queryInterval)
	}
	c.setSuspect(o.worker, e.Answer.Code == worker.NoAnswer)
	reports := reportsByRef(e.Answer.Attempts)
	for _, ref := range o.refs {
		a := c.ownership.attempts[ref.Task]
		if a == nil || a.ref != ref || a.attemptState == attemptFinished {
			continue
		}
		c.applyAnswer(a, o, e.Answer.Code, reports[ref])
	}
}

// setSuspect marks a worker that did not answer an order, so that it gets no new
// tasks, or removes the mark.
func (c *Controller) setSuspect(w *workerState, suspect bool) {
	if !suspect && w.suspectUntil == 0 {
		return
	}
	w.suspectUntil = 0
	if suspect {
		w.suspectUntil = c.now.Add(suspectDuration)
	}
	c.fleet.SetSuspect(w.id, suspect)
}

func reportsByRef(list []worker.AttemptReport) map[worker.AttemptRef]*worker.AttemptReport {
	byRef := make(map[worker.AttemptRef]*worker.AttemptReport, len(list))
	for i := range list {
		byRef[list[i].AttemptRef] = &list[i]
	}
	return byRef
}

// applyAnswer applies the answer to an order to one of the order's attempts.
func (c *Controller) applyAnswer(a *attempt, o pendingOrder, code worker.Code, rep *worker.AttemptReport) {
	if o.kind != worker.Renew && o.kind != worker.Query {
		a.orderPending = false
	}
	switch code {
	case worker.Done:
		c.applyDone(a, o, rep)
	case worker.NotSent:
		// The next check of the worker's attempts sends the order again.
	case worker.NoCapacity:
		if o.kind == worker.Start {
			c.loseAttempt(a, record.LossNotStarted, "")
		}
	case worker.WrongIncarnation:
		c.onWorkerReplaced(a, o.kind)
	case worker.StaleEpoch:
		c.markUnknown(a)
	default:
		if o.kind == worker.Start || o.kind == worker.Renew {
			a.latestLeaseStart = c.now
		}
		c.markUnknown(a)
	}
}

// applyDone applies the worker's report on an attempt after an order was carried
// out.
func (c *Controller) applyDone(a *attempt, o pendingOrder, rep *worker.AttemptReport) {
	if o.kind == worker.Start || o.kind == worker.Renew {
		a.latestLeaseStart = c.now
	}
	if rep == nil {
		c.recordInvalidReport(a.worker.id)
		c.markUnknown(a)
		return
	}
	if o.kind == worker.Throttle && rep.Phase == worker.Running {
		a.cpuPercent = o.percent
		c.fleet.SetCPUPercent(a.worker.id, a.ref.Task, o.percent)
		c.ownership.needsPlacement = true
	}
	c.applyReport(a, rep, o.kind)
}

// onWorkerReplaced handles an attempt whose worker incarnation no longer exists.
func (c *Controller) onWorkerReplaced(a *attempt, kind worker.Kind) {
	switch {
	case kind == worker.Start:
		// The only start of the attempt was refused.
		c.loseAttempt(a, record.LossNotStarted, "")
	case a.task.Idempotent || a.task.Cancelled:
		c.loseAttempt(a, a.crashReason(), "")
	default:
		c.requireOperator(a, "the worker was replaced while the task may have run")
	}
}

// requireOperator queues a record that leaves the task to an operator.
func (c *Controller) requireOperator(a *attempt, reason string) {
	c.finishAttempt(a, record.TaskNeedsOperator{
		Epoch:   c.ownership.epoch,
		Task:    a.ref.Task,
		Attempt: a.ref.Attempt,
		Reason:  reason,
	})
}

// markUnknown marks the state of an attempt as unknown, so that the worker is
// queried about it.
func (c *Controller) markUnknown(a *attempt) {
	if a.attemptState == attemptUnknown {
		return
	}
	a.attemptState = attemptUnknown
	a.unknownSince = c.now
}
