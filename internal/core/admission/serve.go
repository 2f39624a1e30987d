package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// creditTime bounds how far a team's service can fall behind that of the
	// others, for instance while its upper limit holds it back.
	creditTime = 2 * time.Second
	// clockStep is the time between two recorded readings of the virtual clock.
	clockStep = 100 * time.Millisecond
	// reservePart is the part of the slot time that urgent items may use before
	// their team's turn. The team is charged for it all the same.
	reservePart = 0.2
	// reserveBound is the most reserve that is saved up, in seconds of all slots.
	reserveBound = 2.0
)

// virtualClock follows the weighted service of the teams that are served.
type virtualClock struct {
	now float64
	// past holds readings, one each clockStep, oldest first.
	past []float64
	read vocab.Instant
}

// tick records readings and returns the reading of about creditTime ago.
func (c *virtualClock) tick(now vocab.Instant) float64 {
	if now.Sub(c.read) >= clockStep || len(c.past) == 0 {
		c.read = now
		c.past = append(c.past, c.now)
		if extra := len(c.past) - int(creditTime/clockStep); extra > 0 {
			c.past = append(c.past[:0], c.past[extra:]...)
		}
	}
	return c.past[0]
}

// urgentReserve is the slot time that urgent items may use before their turn.
type urgentReserve struct {
	seconds float64
	filled  vocab.Instant
}

func (r *urgentReserve) fill(now vocab.Instant, slots float64) {
	r.seconds += reservePart * slots * now.Sub(r.filled).Seconds()
	r.seconds = min(r.seconds, max(1, slots*reserveBound))
	r.filled = now
}

// Advance makes time pass: it charges running requests and lets delayed items
// go whose time has come. It is called several times a second.
func (q *Queue) Advance(now vocab.Instant) {
	q.rate.advance(now)
	q.reserve.fill(now, q.rate.slots)
	for {
		e, ok := q.delayed.first()
		if !ok || e.item.NotBefore > now {
			break
		}
		q.delayed.removeAt(e.delayed)
		q.release(now, e)
		q.reorder(e.team)
	}
	floor := q.clock.tick(now)
	elapsed := now.Sub(q.advanced)
	q.advanced = now
	kept := q.active[:0]
	for _, t := range q.active {
		t.waited += time.Duration(t.waiting) * elapsed
		if t.running == 0 && t.waiting == 0 && t.quiet {
			t.active = false
			continue
		}
		kept = append(kept, t)
		t.accrue(now)
		if behind := floor - t.key; behind > 0 && t.inReady >= 0 {
			t.served += behind
			t.accrue(now)
		}
		if t.inReady >= 0 {
			q.reorder(t)
		}
	}
	clear(q.active[len(kept):])
	q.active = kept
}

// Usage is what one team used and wanted of a queue.
type Usage struct {
	Team vocab.TeamID
	// Attained is the slot time used since the queue was made.
	Attained time.Duration
	// Wanted is the slot time that the team would have used since the last
	// Report. It counts what was refused too, and so depends little on how much
	// is let in.
	Wanted time.Duration
	// Present is the number of running and waiting items.
	Present int
}

// Report calls yield for each team that used or wanted something since the
// last Report, and once more when it no longer does, in the order in which they
// became active.
func (q *Queue) Report(yield func(Usage)) {
	for _, t := range q.active {
		u := Usage{Team: t.id, Attained: t.attained, Wanted: t.wanted(), Present: t.running + t.waiting}
		t.quiet = u.Wanted == 0
		t.waited, t.offered, t.reported = 0, 0, t.attained
		yield(u)
	}
}

// activate puts a team among those that Advance looks at.
func (q *Queue) activate(t *team) {
	t.quiet = false
	if !t.active {
		t.active = true
		q.active = append(q.active, t)
	}
}

// Next takes out and returns the item that goes next among the teams that
// eligible accepts: an urgent item while the reserve for urgent items lasts,
// else one of the team with the least weighted service, its urgent ones first.
// The item counts as running until Ended. Next costs O(log teams) for each team
// that it has to pass over.
func (q *Queue) Next(now vocab.Instant, eligible func(vocab.TeamID) bool) (Item, bool) {
	if q.reserve.seconds > 0 {
		if t := q.pick(&q.urgent, eligible); t != nil {
			if t != q.ready.items[0] {
				q.reserve.seconds -= t.meanRun
				return q.take(now, t), true
			}
			q.clock.now = max(q.clock.now, t.key)
			return q.take(now, t), true
		}
	}
	t := q.pick(&q.ready, eligible)
	if t == nil {
		return Item{}, false
	}
	q.clock.now = max(q.clock.now, t.key)
	return q.take(now, t), true
}

// pick returns the first eligible team of a heap, or nil.
func (q *Queue) pick(h *ordered[*team], eligible func(vocab.TeamID) bool) *team {
	var found *team
	for found == nil {
		t, ok := h.first()
		if !ok {
			break
		}
		if eligible(t.id) {
			found = t
			break
		}
		h.removeAt(0)
		q.skipped = append(q.skipped, t)
	}
	for _, t := range q.skipped {
		h.add(t)
	}
	q.skipped = q.skipped[:0]
	return found
}

// take removes the team's first item and counts it as running.
func (q *Queue) take(now vocab.Instant, t *team) Item {
	e := t.urgent.head
	if e == nil {
		e = t.normal.head
	}
	t.accrue(now)
	t.running++
	t.accrue(now)
	q.rate.started(now)
	q.remove(e)
	return e.item
}

// Ended tells that an item given out by Next, started then, no longer runs.
func (q *Queue) Ended(now vocab.Instant, id vocab.TeamID, started vocab.Instant) {
	t := q.team(id)
	t.accrue(now)
	t.running--
	ran := now.Sub(started)
	t.observeRun(ran)
	t.accrue(now)
	q.rate.ended(now, ran.Seconds())
	q.reorder(t)
}
