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
		o.fencesDue = true
		return false
	}
	w.fence, w.fenceDue = raised, false
	return true
}

// boundStrayLeases bounds the leases from stray orders of a worker that has responded under the fence
// of its present incarnation.
func (o *owner) boundStrayLeases(w *worker, respondedAt vocab.Instant) {
	if until := o.strayLeasesUntil(w, w.info.Incarnation); until != 0 {
		w.strayUntil = min(until, respondedAt.Add(o.s.longestLeaseSpan()))
	}
}

// strayLeasesUntil returns the time by which leases from stray orders to the worker have expired, 0 if
// there are none. An earlier owner may have sent orders to the incarnation before a recent one.
func (o *owner) strayLeasesUntil(w *worker, incarnation Millis) vocab.Instant {
	if w.strayUntil == 0 && o.s.wall-incarnation < o.s.recentIncarnationAge() {
		return o.earlierStrayUntil
	}
	return w.strayUntil
}

// recentIncarnationAge is the age of an incarnation, by the clocks of the worker and this node, above
// which leases from stray orders to it have expired.
func (s *State) recentIncarnationAge() Millis {
	return Millis((leaseAuthority + s.strayLeaseSpan() + maxClockSkew).Milliseconds())
}

// runExpiresAt returns the time by which the run of an assigned task has ended if its worker does not
// respond. A run that was confirmed by an earlier incarnation has ended with it, unless a copy of its
// start is a stray order.
func (o *owner) runExpiresAt(t *task) vocab.Instant {
	w := t.worker
	if t.incarnation < w.info.Incarnation && t.startSentAt != 0 && t.openStarts == 0 {
		if t.plannedAt < o.activeAt {
			return max(w.leaseUntil, o.earlierStrayUntil)
		}
		return w.leaseUntil
	}
	until := max(w.leaseUntil, o.strayLeasesUntil(w, max(t.incarnation, w.info.Incarnation)))
	if t.step.spec.LongRunning {
		return until // It may not be away for as long as that.
	}
	return max(until, o.openStartsUntil(t))
}

// openStartsUntil returns the time by which the run has ended if a later incarnation that nobody has seen
// has carried out its start, or 0 if none can have done so.
func (o *owner) openStartsUntil(t *task) vocab.Instant {
	switch {
	case t.openStarts > 0:
		// A later order extends the leases of all runs on the worker.
		return t.worker.leaseSentAt.Add(orderDelivery + o.s.longestLeaseSpan())
	case t.state == runStartUnknown && t.startSentAt == 0:
		return o.earlierStartsUntil
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
		o.earlierStartsUntil = renewedAt.Add(orderAuthority + orderDelivery + o.s.longestLeaseSpan())
	}
}

// strayLeaseSpan returns how long after the sending of a stray order its lease may last.
func (s *State) strayLeaseSpan() time.Duration { return lateOrderEffect + s.longestLeaseSpan() }
