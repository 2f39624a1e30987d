package task

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// checkWorkers checks the attempts of each worker for expired leases and hangs,
// renews leases and queries attempts with an unknown state.
func (c *Controller) checkWorkers() {
	for _, w := range c.ownership.workers {
		if c.now.Before(w.nextCheck) {
			continue
		}
		w.nextCheck = c.now.Add(checkInterval)
		for _, a := range append([]*attempt(nil), w.attempts...) {
			c.checkAttempt(a)
		}
		c.renewLeases(w)
		c.queryAttempts(w)
		if w.suspectUntil != 0 && !c.now.Before(w.suspectUntil) {
			c.setSuspect(w, false)
		}
	}
	c.ownership.workers = slices.DeleteFunc(c.ownership.workers, c.isObsolete)
}

// isObsolete reports whether a worker incarnation has no attempts and was
// replaced or removed from the list of workers.
func (c *Controller) isObsolete(w *workerState) bool {
	info, listed := c.fleet.Worker(w.id)
	return len(w.attempts) == 0 && (!listed || info.Incarnation != w.incarnation)
}

// checkAttempt checks an attempt for a hang or an expired lease, and sends its next
// order.
func (c *Controller) checkAttempt(a *attempt) {
	switch a.attemptState {
	case attemptRunning:
		if a.pendingAction == actionNone && c.isHung(a) {
			a.pendingAction = actionStopHung
		}
	case attemptUnknown:
		c.checkLeaseExpiry(a)
	}
	c.advance(a)
}

// checkLeaseExpiry handles an attempt with an unknown state once its lease has
// certainly expired. The attempt counts as lost if the task may run again or was
// cancelled. Otherwise an operator must act, but only when the worker is gone or
// did not answer for queryTimeout.
func (c *Controller) checkLeaseExpiry(a *attempt) {
	if a.orderPending || c.now.Sub(a.latestLeaseStart) <= leaseDuration+leaseGuard {
		return
	}
	info, listed := c.fleet.Worker(a.worker.id)
	ended := listed && info.Incarnation != a.worker.incarnation
	if a.task.Idempotent || a.task.Cancelled {
		reason := record.LossLeaseExpired
		if ended {
			reason = a.crashReason()
		}
		c.loseAttempt(a, reason, "")
		return
	}
	switch {
	case !listed || ended:
		c.requireOperator(a, "the worker is gone and the task may have run")
	case c.now.Sub(a.unknownSince) > queryTimeout:
		c.requireOperator(a, "the worker does not answer and the task may have run")
	}
}

// renewLeases renews the leases of a worker's running attempts, and lists the
// ended attempts whose results the worker may drop.
func (c *Controller) renewLeases(w *workerState) {
	if w.renewPending || c.now.Before(w.nextRenew) {
		return
	}
	var refs []worker.AttemptRef
	for _, a := range w.attempts {
		if a.attemptState == attemptRunning {
			refs = append(refs, a.ref)
		}
	}
	if len(refs) == 0 && len(w.forget) == 0 {
		return
	}
	w.renewPending = true
	forget := w.forget
	w.forget = nil
	c.sendOrder(w, worker.Order{Kind: worker.Renew, Attempts: refs, Forget: forget, Lease: leaseDuration}, c.now.Add(orderTimeout))
}

// queryAttempts queries a worker about its attempts with an unknown state.
func (c *Controller) queryAttempts(w *workerState) {
	if w.queryPending || c.now.Before(w.nextQuery) {
		return
	}
	var refs []worker.AttemptRef
	for _, a := range w.attempts {
		if a.attemptState == attemptUnknown && !a.orderPending {
			refs = append(refs, a.ref)
		}
	}
	if len(refs) == 0 {
		return
	}
	w.queryPending = true
	c.sendOrder(w, worker.Order{Kind: worker.Query, Attempts: refs}, c.now.Add(orderTimeout))
}
