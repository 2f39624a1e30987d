package maintenance

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// watched is what this process remembers of one VM beside its observed phase.
type watched struct {
	steady     bool // was ready at the last tick
	unreadyAt  vocab.Instant
	turns      int // times it turned unready by itself since firstTurn
	firstTurn  vocab.Instant
	stageSince vocab.Instant
	drain      sentOrder
	reboot     sentOrder
	assign     sentOrder
	assignTo   vocab.PoolID
}

// sentOrder is what became of one kind of order since the stage began.
type sentOrder struct {
	sent, done  bool
	first, last vocab.Instant
	doneAt      vocab.Instant
}

func (o *sentOrder) send(now vocab.Instant) {
	if !o.sent {
		o.first = now
	}
	o.sent = true
	o.last = now
}

func (o sentOrder) view(now vocab.Instant) Order {
	if !o.sent {
		return Order{}
	}
	v := Order{Sent: true, Done: o.done, First: now.Sub(o.first), Last: now.Sub(o.last)}
	if o.done {
		v.DoneFor = now.Sub(o.doneAt)
	}
	return v
}

func (o *sentOrder) confirm(now vocab.Instant) {
	if o.sent && !o.done {
		o.done = true
		o.doneAt = now
	}
}

// see takes in the VM's phase. A VM that turns unready with nothing under way
// turned by itself.
func (w *watched) see(now vocab.Instant, phase observe.Phase, busy bool) {
	ready := phase == observe.PhaseReady
	if !ready && (w.steady || w.unreadyAt == 0) {
		w.unreadyAt = now
	}
	if !ready && w.steady && !busy {
		w.countTurn(now)
	}
	w.steady = ready
}

func (w *watched) countTurn(now vocab.Instant) {
	if now.Sub(w.firstTurn) > flapWindow {
		w.firstTurn = now
		w.turns = 0
	}
	w.turns++
}

func (w *watched) flapping(now vocab.Instant) bool {
	return w.turns >= flapLimit && now.Sub(w.firstTurn) <= flapWindow
}

func (w *watched) unreadyFor(now vocab.Instant) time.Duration {
	if w.steady {
		return 0
	}
	return now.Sub(w.unreadyAt)
}

// restart forgets the orders of an earlier stage or epoch.
func (w *watched) restart(now vocab.Instant) {
	w.stageSince = now
	w.drain, w.reboot, w.assign, w.assignTo = sentOrder{}, sentOrder{}, sentOrder{}, ""
}
