package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A run whose worker goes has no end that the worker reports. The owner gives it up once it
// cannot be running any more.

// lossCause is the reason why a run is given up without an end reported by its worker.
type lossCause int

const (
	// lossLeaseExpired: the worker has not responded until its lease expired. It may have crashed
	// or be cut off.
	lossLeaseExpired lossCause = iota
	// lossWorkerReplaced: another worker responds at the worker's address.
	lossWorkerReplaced
	// lossWorkerRestarted: a later incarnation of the worker does not list the run.
	lossWorkerRestarted
	// lossUnlisted: the same incarnation does not list the run.
	lossUnlisted
	// lossMachineOrdered: an order of this owner took the machine away.
	lossMachineOrdered
)

var lossTexts = map[lossCause]string{
	lossLeaseExpired: "the lease passed without an answer from the worker", lossWorkerReplaced: "another worker has the address",
	lossWorkerRestarted: "the worker has restarted", lossUnlisted: "the worker does not list the run",
	lossMachineOrdered: "an order took the machine away",
}

var lossLabels = map[lossCause]string{
	lossLeaseExpired: "lease_expired", lossWorkerReplaced: "worker_replaced", lossWorkerRestarted: "worker_restarted",
	lossUnlisted: "unlisted", lossMachineOrdered: "machine_ordered",
}

// String implements fmt.Stringer.
func (c lossCause) String() string { return lossTexts[c] }

// label returns the value of the cause label of sardinehead_job_runs_lost_total.
func (c lossCause) label() string { return lossLabels[c] }

// orderReadDelay is the time after which an order of an earlier owner has been read, even if the
// store is slow.
const orderReadDelay = time.Second

// lossPlanned reports whether the end of an incarnation of a worker was planned: it was draining, or an owner has
// ordered its machine since the worker was last known to be in use and before it went silent.
func (o *owner) lossPlanned(w *worker, incarnation Millis) bool {
	if w.info.Draining || w.leaving || o.switchedOff(w) {
		return true
	}
	if d, drained := o.s.ledger.drains[w.info.ID]; drained && incarnation <= d.incarnation {
		return true
	}
	order, ordered := o.s.ledger.orderTo(&w.info)
	switch {
	case !ordered || order.readAt < w.lastStartAt && !o.underWay(order, w):
		return false
	case w.silentSince != 0 && order.readAt > w.silentSince.Add(orderReadDelay):
		// The order was for the machine's next worker.
		return false
	case order.worker != "":
		return true
	case order.writtenAt != 0:
		// An order from before the worker's own start has brought the machine here.
		return order.writtenAt >= w.info.Incarnation
	default:
		return o.s.wall-Millis(o.s.now.Sub(order.readAt).Milliseconds()) >= w.info.Incarnation
	}
}

// drain is what is known of a worker that was draining with tasks, or that has ended as planned otherwise.
type drain struct {
	incarnation Millis
	notedAt     vocab.Instant
}

// noteDrain notes that a worker is draining, on the stream as well: its next entry may be that of its next incarnation,
// and a later owner may see none.
func (o *owner) noteDrain(w *worker) {
	if c, presumed := o.presumedCrashes[w.info.Machine]; presumed && w.info.Draining && c.incarnation == w.info.Incarnation {
		delete(o.presumedCrashes, w.info.Machine) // The drain explains the next worker on the machine.
	}
	d, noted := o.s.ledger.drains[w.info.ID]
	fresh := noted && o.s.now.Sub(d.notedAt) <= o.s.orderRetention()/2
	switch {
	case w.listed && !w.info.Draining:
		if d.incarnation == w.info.Incarnation {
			delete(o.s.ledger.drains, w.info.ID)
		}
	case len(w.tasks) == 0:
	case w.info.Draining:
		if !fresh || d.incarnation < w.drainingIncarnation {
			o.recordDrain(w, w.drainingIncarnation)
		}
	case !fresh && o.workersKnown:
		// The worker is gone. Its runs may be given up long after the drain or the order that has ended it.
		if incarnation := latestIncarnation(w.tasks); o.lossPlanned(w, incarnation) {
			o.recordDrain(w, incarnation)
		}
	}
}

func (o *owner) recordDrain(w *worker, incarnation Millis) {
	o.s.ledger.drains[w.info.ID] = drain{incarnation, o.s.now}
	o.orderLog.noteDrain(o.s.now, drainedWorker{w.info.ID, incarnation})
}

// latestIncarnation returns the incarnation of their worker that the runs are on.
func latestIncarnation(tasks []*task) Millis {
	incarnation := Millis(0)
	for _, t := range tasks {
		incarnation = max(incarnation, t.incarnation)
	}
	return incarnation
}

// cannotHaveCrashed reports whether the run has no part in the end of its worker that is being given up.
func (t *task) cannotHaveCrashed() bool { return t.endUnread || t.startedInSilence() }

// startedInSilence reports whether the run was started after its worker had stopped responding, and the worker has not responded to
// that either: the run came too late to have a part in the worker's end.
func (t *task) startedInSilence() bool {
	since := t.worker.silentSince
	return since != 0 && t.startSentAt > since && t.startedAt == 0
}

// switchedOff reports whether an operator's configuration has switched the worker's machine off: its pool is the spare
// pool, and no run was started on it since. The pool of a worker that the platform does not list is that of its tasks.
func (o *owner) switchedOff(w *worker) bool {
	pool := w.info.Pool
	if pool == "" && len(w.tasks) > 0 {
		pool = w.tasks[0].step.job.acceptance.Pool
	}
	return o.s.config != nil && o.isSparePool(pool) && w.lastStartAt <= o.s.configAppliedAt
}

// withdrawPresumedCrash takes back what was counted for the loss of a worker that responds again: it was cut off.
func (o *owner) withdrawPresumedCrash(w *worker) {
	c, presumed := o.presumedCrashes[w.info.Machine]
	if !presumed || c.incarnation != w.info.Incarnation {
		return
	}
	delete(o.presumedCrashes, w.info.Machine)
	w.lossCounted = false
	o.weighCrash(c, -1)
	for i, t := range c.tasks {
		t.crash.Unexplained = max(0, t.crash.Unexplained-1)
		if c.evidence[i].suspected {
			t.crash.Suspected = max(0, t.crash.Suspected-1)
		}
		o.markChanged(t.step.job)
	}
}

// lateOrderEffect is the time for which a call to the platform without a response may still be carried out.
const lateOrderEffect = 12 * time.Second

// underWay reports whether an order without a response may still have taken effect when the worker was last heard. A start
// on the worker then does not show that the order has no effect.
func (o *owner) underWay(order lastOrder, w *worker) bool {
	end := w.silentSince
	if end == 0 {
		end = o.s.now
	}
	return order.open && end.Sub(order.readAt) <= orderAuthority+lateOrderEffect
}

// loseRuns gives up runs of a worker.
func (o *owner) loseRuns(w *worker, tasks []*task, cause lossCause) {
	if len(tasks) == 0 {
		return
	}
	tasks = slices.Clone(tasks)
	planned, unsettled := o.lossPlanned(w, latestIncarnation(tasks)), 0
	for _, t := range tasks {
		if !t.settled() {
			unsettled++
		}
	}
	heardMS := int64(-1)
	if w.lastHeardAt != 0 {
		heardMS = o.s.now.Sub(w.lastHeardAt).Milliseconds()
	}
	o.s.logEvent(LogWorkerLost, "worker", w.info.ID, "machine", w.info.Machine, "pool", w.info.Pool, "cause", cause.label(), "planned", planned,
		"runs", len(tasks), "unsettled", unsettled, "heard_ms_ago", heardMS, "lease_clock_age_ms", w.leaseClockAge.Milliseconds())
	if !planned && !w.lossCounted {
		lost := tasks
		if cause == lossLeaseExpired {
			lost = w.tasks // Runs that are waited for longer are lost to the same crash.
		}
		o.recordCrash(w, slices.DeleteFunc(slices.Clone(lost), (*task).cannotHaveCrashed), cause)
	}
	w.lossCounted = cause == lossLeaseExpired
	for _, t := range tasks {
		if t.worker == w {
			o.markLost(t, cause, planned)
		}
	}
}
