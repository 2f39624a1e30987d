package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Queue holds the waiting items of one service. The zero value is not usable;
// call New.
type Queue struct {
	bounds Bounds
	// teamBounds replaces Bounds.QueuedPerTeam for single teams.
	teamBounds map[vocab.TeamID]int
	teams      map[vocab.TeamID]*team
	order      []*team // in the order in which they came
	// active holds the teams with waiting or running items, and some others.
	active  []*team
	entries map[vocab.RequestID]*entry

	ready   ordered[*team]  // teams with items that may go, least served first
	urgent  ordered[*team]  // those with urgent items, least served first
	excess  ordered[*team]  // teams with waiting items, most for its weight first
	expiry  ordered[*entry] // all items, earliest Expires first
	delayed ordered[*entry] // items before their NotBefore, earliest first
	skipped []*team         // scratch space of Next

	advanced vocab.Instant // time of the last Advance

	clock   virtualClock
	reserve urgentReserve
	rate    serviceRate
}

// New returns an empty queue.
func New(bounds Bounds) *Queue {
	q := &Queue{
		bounds:     bounds,
		teamBounds: map[vocab.TeamID]int{},
		teams:      map[vocab.TeamID]*team{},
		entries:    map[vocab.RequestID]*entry{},
		rate:       newServiceRate(),
		reserve:    urgentReserve{seconds: 1},
	}
	q.ready = ordered[*team]{less: (*team).before, place: func(t *team, i int) { t.inReady = i }}
	q.urgent = ordered[*team]{less: (*team).before, place: func(t *team, i int) { t.inUrgent = i }}
	q.excess = ordered[*team]{less: (*team).exceeds, place: func(t *team, i int) { t.inExcess = i }}
	q.expiry = ordered[*entry]{
		less:  func(a, b *entry) bool { return earlier(a, b, a.item.Expires, b.item.Expires) },
		place: func(e *entry, i int) { e.expiry = i },
	}
	q.delayed = ordered[*entry]{
		less:  func(a, b *entry) bool { return earlier(a, b, a.item.NotBefore, b.item.NotBefore) },
		place: func(e *entry, i int) { e.delayed = i },
	}
	return q
}

func earlier(a, b *entry, at, bt vocab.Instant) bool {
	if at != bt {
		return at < bt
	}
	return a.item.Request < b.item.Request
}

// SetBounds replaces the bounds. Items that already wait stay.
func (q *Queue) SetBounds(b Bounds) {
	q.bounds = b
}

// SetTeamBound replaces the bound for one team; n below 0 takes the
// replacement back.
func (q *Queue) SetTeamBound(id vocab.TeamID, n int) {
	if n < 0 {
		delete(q.teamBounds, id)
		return
	}
	q.teamBounds[id] = n
}

// SetWeight sets the part that a team gets of the service, relative to others.
func (q *Queue) SetWeight(id vocab.TeamID, weight float64) {
	t := q.team(id)
	weight = max(weight, leastWeight)
	if t.weight == weight {
		return
	}
	q.rate.weights += q.rate.counted(t, weight) - q.rate.counted(t, t.weight)
	t.weight = weight
	t.key = t.served + float64(t.running)*t.advance()/t.weight
	q.reorder(t)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return len(q.entries)
}

// RunningAll returns the number of items of all teams that Next gave out and
// that have not ended.
func (q *Queue) RunningAll() int {
	return q.rate.running
}

// Present returns the number of waiting and running items.
func (q *Queue) Present() int {
	return len(q.entries) + q.rate.running
}

// Waiting returns the number of waiting items of one team.
func (q *Queue) Waiting(id vocab.TeamID) int {
	if t, ok := q.teams[id]; ok {
		return t.waiting
	}
	return 0
}

// Running returns the number of items of one team that Next gave out and that
// have not ended.
func (q *Queue) Running(id vocab.TeamID) int {
	if t, ok := q.teams[id]; ok {
		return t.running
	}
	return 0
}

// Push lets an item in or tells why not. A full queue evicts the newest item
// of the team that has the most waiting for its weight. Where a team's own bound
// is reached, its urgent items replace its newest normal ones.
func (q *Queue) Push(now vocab.Instant, it Item) Verdict {
	t := q.team(it.Team)
	q.activate(t)
	if !it.Again {
		t.offered += time.Duration(t.meanRun * float64(time.Second))
	}
	if !it.Again && q.tooLate(t, it, now) {
		return q.refused(now, TooLate)
	}
	var v Verdict
	full := Admitted
	var victim *entry
	switch {
	case t.waiting >= q.teamBound(it.Team):
		full, victim = TeamFull, t.replaceable(it)
	case len(q.entries) >= q.bounds.Queued:
		full, victim = QueueFull, q.victim(t, it)
	}
	if full != Admitted {
		if victim == nil {
			return q.refused(now, full)
		}
		q.remove(victim)
		q.rate.refused(now)
		v.Evicted, v.HasEvicted = victim.item, true
	}
	q.insert(now, t, it)
	return v
}

func (q *Queue) refused(now vocab.Instant, why Refusal) Verdict {
	q.rate.refused(now)
	return Verdict{Refusal: why}
}

func (q *Queue) teamBound(id vocab.TeamID) int {
	if n, ok := q.teamBounds[id]; ok {
		return n
	}
	return q.bounds.QueuedPerTeam
}

// replaceable returns the normal entry of the team that an urgent item of the
// team may replace, or nil.
func (t *team) replaceable(it Item) *entry {
	if !it.Urgent {
		return nil
	}
	return t.normal.tail
}

// victim returns the entry that makes room for an item, or nil if the item's
// own team has the most waiting and nothing that the item may replace.
func (q *Queue) victim(t *team, it Item) *entry {
	top, ok := q.excess.first()
	if !ok {
		return nil
	}
	if top != t && top.excess() > float64(t.waiting+1)/t.weight {
		if e := top.newest(); e != nil {
			return e
		}
	}
	return t.replaceable(it)
}

// newest returns the team's newest item, a normal one if there is one.
func (t *team) newest() *entry {
	if t.normal.tail != nil {
		return t.normal.tail
	}
	return t.urgent.tail
}

func (q *Queue) insert(now vocab.Instant, t *team, it Item) {
	e := &entry{item: it, team: t, delayed: -1}
	q.rate.advance(now)
	q.entries[it.Request] = e
	q.rate.waiting++
	q.expiry.add(e)
	t.waiting++
	if it.NotBefore > now {
		q.delayed.add(e)
	} else {
		q.release(now, e)
	}
	q.reorder(t)
}

// release puts an entry into its team's list.
func (q *Queue) release(now vocab.Instant, e *entry) {
	t := e.team
	if t.ready() == 0 {
		t.accrue(now)
		t.served += max(0, q.clock.now-t.key)
		t.accrue(now)
		q.rate.weights += t.weight
	}
	l := &t.normal
	if e.item.Urgent {
		l = &t.urgent
	}
	if e.item.Again {
		l.pushFront(e)
		return
	}
	l.pushBack(e)
}

// Remove takes one item out, if it waits. It costs O(log n).
func (q *Queue) Remove(request vocab.RequestID) bool {
	e, ok := q.entries[request]
	if ok {
		q.remove(e)
	}
	return ok
}

// RemoveIf takes out and returns all items that match, team by team in the
// order in which they go, delayed ones last.
func (q *Queue) RemoveIf(match func(Item) bool) []Item {
	var found []*entry
	for _, t := range q.order {
		for _, l := range []*list{&t.urgent, &t.normal} {
			for e := l.head; e != nil; e = e.next {
				if match(e.item) {
					found = append(found, e)
				}
			}
		}
	}
	for _, e := range q.delayed.items {
		if match(e.item) {
			found = append(found, e)
		}
	}
	out := make([]Item, len(found))
	for i, e := range found {
		out[i] = e.item
		q.remove(e)
	}
	return out
}

// Expire takes out and returns the items whose time is over, earliest first.
func (q *Queue) Expire(now vocab.Instant) []Item {
	var out []Item
	for {
		e, ok := q.expiry.first()
		if !ok || e.item.Expires > now {
			return out
		}
		q.remove(e)
		q.rate.refused(now)
		out = append(out, e.item)
	}
}

func (q *Queue) remove(e *entry) {
	t := e.team
	delete(q.entries, e.item.Request)
	q.rate.waiting--
	q.expiry.removeAt(e.expiry)
	if e.delayed >= 0 {
		q.delayed.removeAt(e.delayed)
	} else {
		e.list.remove(e)
		if t.ready() == 0 {
			q.rate.weights -= t.weight
		}
	}
	t.waiting--
	q.reorder(t)
}

func (q *Queue) team(id vocab.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		t = &team{id: id, serial: len(q.order), weight: 1, meanRun: firstRun, inReady: -1, inUrgent: -1, inExcess: -1}
		q.teams[id] = t
		q.order = append(q.order, t)
	}
	return t
}

// reorder brings the team's places in the heaps into line with its state.
func (q *Queue) reorder(t *team) {
	arrange(&q.ready, t, t.inReady, t.ready() > 0)
	arrange(&q.urgent, t, t.inUrgent, t.urgent.n > 0)
	arrange(&q.excess, t, t.inExcess, t.waiting > 0)
}

func arrange(h *ordered[*team], t *team, at int, member bool) {
	switch {
	case member && at < 0:
		h.add(t)
	case member:
		h.fix(at)
	case at >= 0:
		h.removeAt(at)
	}
}
