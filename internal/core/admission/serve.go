package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// maxLag bounds how far a team's service can lag behind that of the other teams,
	// for example while the team is at its upper limit.
	maxLag = 2 * time.Second
	// clockInterval is the time between recorded readings of the virtual clock.
	clockInterval = 100 * time.Millisecond
	// reserveFraction is the fraction of the slot time that urgent items may use
	// before it is their team's turn. The team is charged for it as usual.
	reserveFraction = 0.2
	// maxReserveSeconds bounds the unused reserve, as slot seconds per slot.
	maxReserveSeconds = 2.0
)

// virtualClock is the virtual time of fair queueing: the highest orderKey of the teams
// that were served in order.
type virtualClock struct {
	now float64
	// readings has recent values of now, one per clockInterval, oldest first.
	readings    []float64
	lastReading vocab.Instant
}

// tick records a reading if one is due, and returns the reading of about maxLag ago.
func (c *virtualClock) tick(now vocab.Instant) float64 {
	if now.Sub(c.lastReading) >= clockInterval || len(c.readings) == 0 {
		c.lastReading = now
		c.readings = append(c.readings, c.now)
		if extra := len(c.readings) - int(maxLag/clockInterval); extra > 0 {
			c.readings = append(c.readings[:0], c.readings[extra:]...)
		}
	}
	return c.readings[0]
}

// urgentReserve is the slot time that urgent items may use before it is their team's
// turn.
type urgentReserve struct {
	slotSeconds float64
	filledAt    vocab.Instant
}

// fill adds the reserve for the time since the last call, for a mean number of used
// slots.
func (r *urgentReserve) fill(now vocab.Instant, slots float64) {
	r.slotSeconds += reserveFraction * slots * now.Sub(r.filledAt).Seconds()
	r.slotSeconds = min(r.slotSeconds, max(1, slots*maxReserveSeconds))
	r.filledAt = now
}

// Advance updates the queue to now: it charges running requests and makes delayed
// items ready whose NotBefore has passed. It is called several times a second.
func (q *Queue) Advance(now vocab.Instant) {
	q.stats.update(now)
	q.reserve.fill(now, q.stats.meanRunning)
	for {
		e, ok := q.delayed.first()
		if !ok || e.item.NotBefore > now {
			break
		}
		q.delayed.removeAt(e.delayedIndex)
		q.makeReady(now, e)
		q.updateHeaps(e.team)
	}
	minKey := q.virtualTime.tick(now)
	elapsed := now.Sub(q.advancedAt)
	q.advancedAt = now
	kept := q.active[:0]
	for _, t := range q.active {
		t.waitingTime += time.Duration(t.waiting) * elapsed
		if t.running == 0 && t.waiting == 0 && t.reportedIdle {
			t.active = false
			continue
		}
		kept = append(kept, t)
		t.accrue(now)
		if lag := minKey - t.orderKey; lag > 0 && t.readyIndex >= 0 {
			t.weightedService += lag
			t.accrue(now)
		}
		if t.readyIndex >= 0 {
			q.updateHeaps(t)
		}
	}
	clear(q.active[len(kept):])
	q.active = kept
}

// Usage is one team's use of a queue and its demand.
type Usage struct {
	Team vocab.TeamID
	// AccumulatedService is the slot time used since the queue was created.
	AccumulatedService time.Duration
	// Demand is the slot time that the team would have used since the last Report
	// without competition. It includes refused items, so that it depends
	// little on how many are admitted.
	Demand time.Duration
	// Outstanding is the number of running and waiting items.
	Outstanding int
}

// Report calls yield for each team with usage or demand since the last Report, and
// once more when it has become idle, in the order in which the teams became active.
func (q *Queue) Report(yield func(Usage)) {
	for _, t := range q.active {
		u := Usage{Team: t.id, AccumulatedService: t.service, Demand: t.demand(), Outstanding: t.running + t.waiting}
		t.reportedIdle = u.Demand == 0
		t.waitingTime, t.offeredTime, t.reportedService = 0, 0, t.service
		yield(u)
	}
}

// activate adds a team to the active ones.
func (q *Queue) activate(t *team) {
	t.reportedIdle = false
	if !t.active {
		t.active = true
		q.active = append(q.active, t)
	}
}

// Next removes and returns the next item to start among the teams that eligible
// accepts: an urgent item while the reserve for urgent items lasts, otherwise an item
// of the team with the least weighted service, urgent ones first. The item counts as
// running until Finished. Next costs O(log teams) for each team that eligible rejects.
func (q *Queue) Next(now vocab.Instant, eligible func(vocab.TeamID) bool) (Item, bool) {
	if q.reserve.slotSeconds > 0 {
		if t := q.firstEligible(&q.urgent, eligible); t != nil {
			if t != q.ready.items[0] {
				q.reserve.slotSeconds -= t.meanRunSeconds
				return q.start(now, t), true
			}
			q.virtualTime.now = max(q.virtualTime.now, t.orderKey)
			return q.start(now, t), true
		}
	}
	t := q.firstEligible(&q.ready, eligible)
	if t == nil {
		return Item{}, false
	}
	q.virtualTime.now = max(q.virtualTime.now, t.orderKey)
	return q.start(now, t), true
}

// firstEligible returns the first eligible team of a heap, or nil.
func (q *Queue) firstEligible(h *indexedHeap[*team], eligible func(vocab.TeamID) bool) *team {
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
		q.ineligible = append(q.ineligible, t)
	}
	for _, t := range q.ineligible {
		h.add(t)
	}
	q.ineligible = q.ineligible[:0]
	return found
}

// start removes the team's first item and counts it as running.
func (q *Queue) start(now vocab.Instant, t *team) Item {
	e := t.urgent.head
	if e == nil {
		e = t.normal.head
	}
	t.accrue(now)
	t.running++
	t.accrue(now)
	q.stats.started(now)
	q.remove(e)
	return e.item
}

// Finished records that an item, returned by Next at started, no longer runs.
func (q *Queue) Finished(now vocab.Instant, id vocab.TeamID, started vocab.Instant) {
	t := q.team(id)
	t.accrue(now)
	t.running--
	runTime := now.Sub(started)
	t.recordRun(runTime)
	t.accrue(now)
	q.stats.finished(now, runTime.Seconds())
	q.updateHeaps(t)
}
