package task

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// checkHolders renews leases, asks about attempts and finds lapses and hangs.
func (c *Controller) checkHolders() {
	for _, h := range c.held.holders {
		if c.now.Before(h.nextCheck) {
			continue
		}
		h.nextCheck = c.now.Add(checkEvery)
		for _, r := range append([]*run(nil), h.runs...) {
			c.checkRun(r)
		}
		c.renewLeases(h)
		c.ask(h)
		if h.suspectUntil != 0 && !c.now.Before(h.suspectUntil) {
			c.suspect(h, false)
		}
	}
	c.held.holders = slices.DeleteFunc(c.held.holders, c.holderDone)
}

// holderDone reports whether a worker incarnation is over and has no attempts.
func (c *Controller) holderDone(h *holder) bool {
	info, listed := c.fleet.Worker(h.worker)
	return len(h.runs) == 0 && (!listed || info.Incarnation != h.incarnation)
}

func (c *Controller) checkRun(r *run) {
	switch r.phase {
	case running:
		if r.wish == wishNone && c.overdue(r) {
			r.wish = wishHung
		}
	case asking:
		c.checkLapse(r)
	}
	c.drive(r)
}

func (c *Controller) checkLapse(r *run) {
	if r.busy || c.now.Sub(r.contact) <= leaseTime+leaseGuard {
		return
	}
	if r.task.Idempotent || r.task.Cancelled {
		c.lose(r, record.LossLapsed, "")
		return
	}
	info, listed := c.fleet.Worker(r.at.worker)
	switch {
	case !listed || info.Incarnation != r.at.incarnation:
		c.callPerson(r, "the worker is gone and the task may have run")
	case c.now.Sub(r.askingSince) > askLimit:
		c.callPerson(r, "the worker does not answer and the task may have run")
	}
}

func (c *Controller) renewLeases(h *holder) {
	if h.renewing || c.now.Before(h.nextRenew) {
		return
	}
	var refs []worker.Ref
	for _, r := range h.runs {
		if r.phase == running {
			refs = append(refs, r.ref)
		}
	}
	if len(refs) == 0 && len(h.forget) == 0 {
		return
	}
	h.renewing = true
	forget := h.forget
	h.forget = nil
	c.order(h, worker.Order{Kind: worker.Renew, Attempts: refs, Forget: forget, Lease: leaseTime}, c.now.Add(orderTimeout))
}

func (c *Controller) ask(h *holder) {
	if h.asking || c.now.Before(h.nextAsk) {
		return
	}
	var refs []worker.Ref
	for _, r := range h.runs {
		if r.phase == asking && !r.busy {
			refs = append(refs, r.ref)
		}
	}
	if len(refs) == 0 {
		return
	}
	h.asking = true
	c.order(h, worker.Order{Kind: worker.Ask, Attempts: refs}, c.now.Add(orderTimeout))
}
