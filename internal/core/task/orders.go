package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// orderTimeout is the time within which an order must be sent.
const orderTimeout = time.Second

// suspectFor is the time for which a worker that left an order without an
// answer gets no new work, unless it answers before.
const suspectFor = 15 * time.Second

// sentOrder is an order without an answer.
type sentOrder struct {
	kind    worker.Kind
	at      *holder
	refs    []worker.Ref
	forget  []worker.Ref
	percent int
}

func (c *Controller) order(at *holder, o worker.Order, notAfter vocab.Instant) {
	c.lastOrder++
	c.orders[c.lastOrder] = sentOrder{kind: o.Kind, at: at, refs: o.Attempts, forget: o.Forget, percent: o.Percent}
	o.Worker = at.worker
	o.Incarnation = at.incarnation
	o.Shard = c.set.Shard
	o.Epoch = c.held.epoch
	c.emit(OrderWorker{Order: c.lastOrder, To: o, NotAfter: notAfter})
}

func (c *Controller) orderOne(r *run, o worker.Order, notAfter vocab.Instant) {
	r.busy = true
	o.Attempts = []worker.Ref{r.ref}
	c.order(r.at, o, notAfter)
}

// driveNew orders the starts that the last read put on the log. It comes after
// the fold of the whole read, so that cancellations in it are heeded.
func (c *Controller) driveNew() {
	if c.held == nil {
		return
	}
	fresh := c.held.fresh
	c.held.fresh = nil
	for _, r := range fresh {
		if c.held.runs[r.ref.Task] == r {
			c.drive(r)
		}
	}
}

// drive orders what is next for an attempt.
func (c *Controller) drive(r *run) {
	if r.busy {
		return
	}
	switch r.phase {
	case intended:
		c.driveIntended(r)
	case running:
		c.driveRunning(r)
	}
}

func (c *Controller) driveIntended(r *run) {
	if r.wish == wishCancel {
		c.lose(r, record.LossNotStarted, "")
		return
	}
	if !c.mayStart() {
		return
	}
	t := r.task
	job := &worker.Job{Queue: t.Queue, Team: t.Team, Size: t.Reserved, Body: t.Body, Checkpoint: t.Checkpoint}
	start := worker.Order{Kind: worker.Start, Lease: leaseTime, Job: job}
	c.orderOne(r, start, vocab.Earliest(c.heldUntil, c.now.Add(orderTimeout)))
}

func (c *Controller) driveRunning(r *run) {
	notAfter := c.now.Add(orderTimeout)
	switch {
	case r.wish == wishCheckpoint:
		c.orderOne(r, worker.Order{Kind: worker.Checkpoint}, notAfter)
	case r.wish != wishNone:
		c.orderOne(r, worker.Order{Kind: worker.Stop}, notAfter)
	case r.wishPercent != r.percent:
		c.orderOne(r, worker.Order{Kind: worker.Throttle, Percent: r.wishPercent}, notAfter)
	}
}

// workerAnswered takes the answer to an order.
func (c *Controller) workerAnswered(e WorkerAnswered) {
	o, ok := c.orders[e.Order]
	if !ok || c.held == nil {
		return
	}
	delete(c.orders, e.Order)
	switch o.kind {
	case worker.Renew:
		o.at.renewing = false
		o.at.nextRenew = c.now.Add(renewEvery)
		if e.Answer.Code != worker.Done {
			o.at.forget = append(o.at.forget, o.forget...)
		}
	case worker.Ask:
		o.at.asking = false
		o.at.nextAsk = c.now.Add(askEvery)
	}
	c.suspect(o.at, e.Answer.Code == worker.NoAnswer)
	reports := reportsByRef(e.Answer.Attempts)
	for _, ref := range o.refs {
		r := c.held.runs[ref.Task]
		if r == nil || r.ref != ref || r.phase == over {
			continue
		}
		c.answerRun(r, o, e.Answer.Code, reports[ref])
	}
}

// suspect keeps new work from a worker that left an order without an answer.
func (c *Controller) suspect(at *holder, silent bool) {
	if !silent && at.suspectUntil == 0 {
		return
	}
	at.suspectUntil = 0
	if silent {
		at.suspectUntil = c.now.Add(suspectFor)
	}
	c.fleet.SetSuspect(at.worker, silent)
}

func reportsByRef(list []worker.AttemptReport) map[worker.Ref]*worker.AttemptReport {
	byRef := make(map[worker.Ref]*worker.AttemptReport, len(list))
	for i := range list {
		byRef[list[i].Ref] = &list[i]
	}
	return byRef
}

// answerRun applies an answer to one attempt that the order was about.
func (c *Controller) answerRun(r *run, o sentOrder, code worker.Code, rep *worker.AttemptReport) {
	if o.kind != worker.Renew && o.kind != worker.Ask {
		r.busy = false
	}
	switch code {
	case worker.Done:
		c.done(r, o, rep)
	case worker.NotSent:
		// The next check of the worker's attempts orders it again.
	case worker.NoRoom:
		if o.kind == worker.Start {
			c.lose(r, record.LossNotStarted, "")
		}
	case worker.WrongIncarnation:
		c.replaced(r, o.kind)
	case worker.StaleEpoch:
		c.startAsking(r)
	default:
		if o.kind == worker.Start || o.kind == worker.Renew {
			r.contact = c.now
		}
		c.startAsking(r)
	}
}

func (c *Controller) done(r *run, o sentOrder, rep *worker.AttemptReport) {
	if o.kind == worker.Start || o.kind == worker.Renew {
		r.contact = c.now
	}
	if rep == nil {
		c.nonsense(r.at.worker)
		c.startAsking(r)
		return
	}
	if o.kind == worker.Throttle && rep.Phase == worker.Running {
		r.percent = o.percent
		c.fleet.SetPercent(r.at.worker, r.ref.Task, o.percent)
		c.held.changed = true
	}
	c.report(r, rep, o.kind)
}

// replaced handles an attempt whose worker incarnation is over.
func (c *Controller) replaced(r *run, kind worker.Kind) {
	switch {
	case kind == worker.Start:
		// The only start of the attempt was refused.
		c.lose(r, record.LossNotStarted, "")
	case r.task.Idempotent || r.task.Cancelled:
		c.lose(r, record.LossLapsed, "")
	default:
		c.callPerson(r, "the worker was replaced while the task may have run")
	}
}

func (c *Controller) callPerson(r *run, reason string) {
	c.finish(r, record.TaskNeedsPerson{
		Epoch:   c.held.epoch,
		Task:    r.ref.Task,
		Attempt: r.ref.Attempt,
		Reason:  reason,
	})
}

func (c *Controller) startAsking(r *run) {
	if r.phase == asking {
		return
	}
	r.phase = asking
	r.askingSince = c.now
}
