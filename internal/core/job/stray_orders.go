package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A stray order is one that was meant for an earlier incarnation of a worker and is carried out by a
// later one. The clock of the later incarnation has started again, so that the reading at which the
// lease ends may lie far ahead: the lease is as long as workers allow, from the arrival of the order,
// and holds for all runs on the worker.
//
// Orders to an incarnation have a higher fence than those to the incarnations before it. A worker that
// has responded under that fence refuses stray orders. Until then they may arrive for as long as a
// call without a response may be carried out.

// orderDelivery is the time after which an order has reached its worker, or never will, unless the worker
// carries it out late: the connection takes a while to open and retransmits what is not acknowledged.
const orderDelivery = 2500 * time.Millisecond

// noteStrayOrders notes that orders with a lease may be carried out by a later incarnation than the
// one that they were meant for: those of this owner and of earlier ones, also to incarnations before
// the last, whose response bounds them no more.
func (o *owner) noteStrayOrders(w *worker) {
	if w.leaseSentAt != 0 {
		w.strayUntil = max(w.strayUntil, w.leaseSentAt.Add(o.s.strayLeaseSpan()))
		w.fenceDue = o.s.now < w.strayUntil
	}
	if o.s.now < o.earlierStrayUntil {
		w.strayUntil = max(w.strayUntil, o.earlierStrayUntil)
	}
	o.renewDue = o.renewDue || o.s.now < w.strayUntil
}

// highestFence returns the highest fence of orders that this owner may use. The offset up to which it has
// read the stream is below the fence of any later owner, which comes from the offset of a claim or an
// appointment that has not been read.
func (o *owner) highestFence() Fence {
	if o.resigned {
		return o.fence // The last record, which may appoint another owner, has perhaps been read.
	}
	return max(o.fence, Fence(o.readOffset))
}

// raiseFence raises the fence of orders to a worker if that is due, and reports whether it could.
func (o *owner) raiseFence(w *worker) bool {
	if !w.fenceDue || o.resigned {
		return false
	}
	raised := o.highestFence()
	if raised <= w.fence {
		o.renewDue = true
		return false
	}
	w.fence, w.fenceDue = raised, false
	return true
}

// boundStrayLeases bounds the leases from stray orders of a worker that has responded under the fence
// of its present incarnation.
func (o *owner) boundStrayLeases(w *worker, respondedAt vocab.Instant) {
	for _, t := range w.tasks {
		if o.restartedUnseen(t) {
			w.strayUntil = max(w.strayUntil, o.earlierStrayUntil)
		}
	}
	if until := o.strayLeasesUntil(w, w.info.Incarnation); until != 0 {
		w.strayUntil = min(until, respondedAt.Add(o.s.longestLeaseSpan()))
	}
}

// restartedUnseen reports whether the task's worker has restarted since an earlier owner intended the run:
// that owner's record may not name the worker.
func (o *owner) restartedUnseen(t *task) bool {
	return t.incarnation < t.worker.info.Incarnation && t.plannedAt < o.activeAt
}

// strayLeasesUntil returns the time by which leases from stray orders to the worker have expired, 0 if
// there are none. An earlier owner whose record does not say so may have sent orders to the incarnation
// before a recent one.
func (o *owner) strayLeasesUntil(w *worker, incarnation Millis) vocab.Instant {
	if w.strayUntil == 0 && !o.earlierNotesStrays && o.s.wall-incarnation < o.s.recentIncarnationAge() {
		return o.earlierStrayUntil
	}
	return w.strayUntil
}

// recentIncarnationAge is the age of an incarnation, by the clocks of the worker and this node, above
// which leases from stray orders to it have expired.
func (s *State) recentIncarnationAge() Millis {
	return Millis((leaseAuthority + s.strayLeaseSpan() + maxClockSkew).Milliseconds())
}

// strayRecord returns how long leases from stray orders may last, for the owner's record.
func (o *owner) strayRecord() map[WorkerID]int64 {
	left := map[WorkerID]int64{}
	for _, id := range o.workerIDs {
		w := o.workers[id]
		if until := o.strayLeasesUntil(w, w.info.Incarnation); until > o.s.now {
			left[id] = until.Sub(o.s.now).Milliseconds() + 1
		}
	}
	return left
}

// foldStrays applies what an owner's record says of stray orders. The time counts from the append, and so
// from the reading at the latest.
func (l *Ledger) foldStrays(now vocab.Instant, o *ownerRecord) {
	l.notesStrays, l.strayUntil = o.NotesStrays, make(map[WorkerID]vocab.Instant, len(o.StrayMS))
	for id, ms := range o.StrayMS {
		l.strayUntil[id] = now.Add(time.Duration(min(max(0, ms), maxLeaseMS)) * time.Millisecond)
	}
}

// runExpiresAt returns the time by which the run of an assigned task has ended if its worker does not
// respond. A run that was confirmed by an earlier incarnation has ended with it, unless a copy of its
// start is a stray order.
func (o *owner) runExpiresAt(t *task) vocab.Instant {
	w := t.worker
	until := w.leaseUntil
	if o.restartedUnseen(t) {
		until = max(until, o.earlierStrayUntil)
	}
	if t.incarnation < w.info.Incarnation && t.startSentAt != 0 && !t.startOpen(lateOrderEffect) {
		return until
	}
	until = max(until, o.strayLeasesUntil(w, max(t.incarnation, w.info.Incarnation)))
	if t.step.spec.LongRunning {
		return until // It may not be away for as long as that.
	}
	return max(until, o.openStartsUntil(t))
}

// startOpen reports whether a copy of the start may reach a later incarnation of the worker, if copies arrive
// within a time. The incarnation that has responded since has received them.
func (t *task) startOpen(within time.Duration) bool {
	return t.openStarts > 0 && t.worker.lastHeardAt < t.startSentAt.Add(within)
}

// openStartsUntil returns the time by which the run has ended if a later incarnation that nobody has seen
// has carried out its start, or 0 if none can have done so.
func (o *owner) openStartsUntil(t *task) vocab.Instant {
	switch {
	case t.startOpen(orderDelivery):
		// A later order extends the leases of all runs on the worker.
		return t.worker.leaseSentAt.Add(orderDelivery + o.s.longestLeaseSpan())
	case t.startSentAt == 0 && t.state != runPlanned:
		return t.worker.openUntil
	default:
		return 0
	}
}

// awaitEarlierLeases sets what is known of leases of earlier owners, the last of which renewed its
// ownership at the given time at the latest.
func (o *owner) awaitEarlierLeases(renewedAt vocab.Instant) {
	o.earlierLeasesUntil = renewedAt.Add(leaseAuthority + o.earlierLeaseSpan)
	if o.s.claim.previousOwner.Node != "" {
		o.earlierStrayUntil = renewedAt.Add(leaseAuthority + o.s.strayLeaseSpan())
	}
}

// strayLeaseSpan returns how long after the sending of a stray order its lease may last.
func (s *State) strayLeaseSpan() time.Duration { return lateOrderEffect + s.longestLeaseSpan() }
