package maintenance

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// vmTracker is the local state of one VM that observe.State does not hold.
type vmTracker struct {
	wasReady     bool // at the last observation
	unreadySince vocab.Instant
	flaps        int // times the VM became unready without a disruption since firstFlapAt
	firstFlapAt  vocab.Instant
	stageSince   vocab.Instant
	drain        orderTracker
	reboot       orderTracker
	assign       orderTracker
	assignTo     vocab.PoolID
}

// orderTracker is the state of one kind of order since the current stage began.
type orderTracker struct {
	sent, confirmed         bool
	firstSentAt, lastSentAt vocab.Instant
	confirmedAt             vocab.Instant
}

func (o *orderTracker) markSent(now vocab.Instant) {
	if !o.sent {
		o.firstSentAt = now
	}
	o.sent = true
	o.lastSentAt = now
}

func (o orderTracker) status(now vocab.Instant) OrderStatus {
	if !o.sent {
		return OrderStatus{}
	}
	v := OrderStatus{Sent: true, Confirmed: o.confirmed, SinceFirst: now.Sub(o.firstSentAt), SinceLast: now.Sub(o.lastSentAt)}
	if o.confirmed {
		v.SinceConfirmed = now.Sub(o.confirmedAt)
	}
	return v
}

func (o *orderTracker) markConfirmed(now vocab.Instant) {
	if o.sent && !o.confirmed {
		o.confirmed = true
		o.confirmedAt = now
	}
}

// observePhase updates the tracker for the VM's phase. A VM that becomes
// unready without a disruption in progress counts as flapping once.
func (t *vmTracker) observePhase(now vocab.Instant, phase observe.Phase, disrupted bool) {
	ready := phase == observe.PhaseReady
	if !ready && (t.wasReady || t.unreadySince == 0) {
		t.unreadySince = now
	}
	if !ready && t.wasReady && !disrupted {
		t.countFlap(now)
	}
	t.wasReady = ready
}

func (t *vmTracker) countFlap(now vocab.Instant) {
	if now.Sub(t.firstFlapAt) > flapWindow {
		t.firstFlapAt = now
		t.flaps = 0
	}
	t.flaps++
}

func (t *vmTracker) flapping(now vocab.Instant) bool {
	return t.flaps >= maxFlaps && now.Sub(t.firstFlapAt) <= flapWindow
}

func (t *vmTracker) unreadyFor(now vocab.Instant) time.Duration {
	if t.wasReady {
		return 0
	}
	return now.Sub(t.unreadySince)
}

// resetStage forgets the orders of an earlier stage or epoch.
func (t *vmTracker) resetStage(now vocab.Instant) {
	t.stageSince = now
	t.drain, t.reboot, t.assign, t.assignTo = orderTracker{}, orderTracker{}, orderTracker{}, ""
}
