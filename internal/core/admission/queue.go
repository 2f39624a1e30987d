package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Queue holds the waiting items of one service. The zero value is not usable;
// call New.
type Queue struct {
	bounds Bounds
	// teamBounds overrides Bounds.QueuedPerTeam for single teams.
	teamBounds map[vocab.TeamID]int
	teams      map[vocab.TeamID]*team
	teamList   []*team // in the order of their first use
	// active has the teams with waiting or running items, and those that Report
	// has not yet reported as idle.
	active  []*team
	entries map[vocab.RequestID]*entry

	ready      indexedHeap[*team]  // teams with ready items, least weighted service first
	urgent     indexedHeap[*team]  // teams with ready urgent items, least weighted service first
	backlogged indexedHeap[*team]  // teams with waiting items, most per weight first
	expiry     indexedHeap[*entry] // all items, earliest Expires first
	delayed    indexedHeap[*entry] // items before their NotBefore, earliest first
	ineligible []*team             // scratch space of firstEligible

	advancedAt vocab.Instant // time of the last Advance

	virtualTime virtualClock
	reserve     urgentReserve
	stats       serviceStats
}

// New returns an empty queue.
func New(bounds Bounds) *Queue {
	q := &Queue{
		bounds:     bounds,
		teamBounds: map[vocab.TeamID]int{},
		teams:      map[vocab.TeamID]*team{},
		entries:    map[vocab.RequestID]*entry{},
		stats:      newServiceStats(),
		reserve:    urgentReserve{slotSeconds: 1},
	}
	q.ready = indexedHeap[*team]{less: (*team).servedLessThan, setIndex: func(t *team, i int) { t.readyIndex = i }}
	q.urgent = indexedHeap[*team]{less: (*team).servedLessThan, setIndex: func(t *team, i int) { t.urgentIndex = i }}
	q.backlogged = indexedHeap[*team]{less: (*team).backlogExceeds, setIndex: func(t *team, i int) { t.backlogIndex = i }}
	q.expiry = indexedHeap[*entry]{
		less:     func(a, b *entry) bool { return precedes(a, b, a.item.Expires, b.item.Expires) },
		setIndex: func(e *entry, i int) { e.expiryIndex = i },
	}
	q.delayed = indexedHeap[*entry]{
		less:     func(a, b *entry) bool { return precedes(a, b, a.item.NotBefore, b.item.NotBefore) },
		setIndex: func(e *entry, i int) { e.delayedIndex = i },
	}
	return q
}

// precedes orders entries by an instant of each, and by request if these are equal.
func precedes(a, b *entry, aTime, bTime vocab.Instant) bool {
	if aTime != bTime {
		return aTime < bTime
	}
	return a.item.Request < b.item.Request
}

// SetBounds replaces the bounds. Items that are already waiting stay.
func (q *Queue) SetBounds(b Bounds) {
	q.bounds = b
}

// SetTeamBound overrides Bounds.QueuedPerTeam for one team; a negative n removes the
// override.
func (q *Queue) SetTeamBound(id vocab.TeamID, n int) {
	if n < 0 {
		delete(q.teamBounds, id)
		return
	}
	q.teamBounds[id] = n
}

// SetWeight sets a team's weight. The teams' shares of the service are in proportion
// to their weights.
func (q *Queue) SetWeight(id vocab.TeamID, weight float64) {
	t := q.team(id)
	weight = max(weight, minWeight)
	if t.weight == weight {
		return
	}
	q.stats.readyWeight += q.stats.countedWeight(t, weight) - q.stats.countedWeight(t, t.weight)
	t.weight = weight
	t.orderKey = t.weightedService + float64(t.running)*t.initialCharge()/t.weight
	q.updateHeaps(t)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return len(q.entries)
}

// RunningTotal returns the number of running items of all teams: those that Next
// returned and that have not ended.
func (q *Queue) RunningTotal() int {
	return q.stats.running
}

// Outstanding returns the number of waiting and running items.
func (q *Queue) Outstanding() int {
	return len(q.entries) + q.stats.running
}

// Waiting returns the number of waiting items of one team.
func (q *Queue) Waiting(id vocab.TeamID) int {
	if t, ok := q.teams[id]; ok {
		return t.waiting
	}
	return 0
}

// Running returns the number of running items of one team.
func (q *Queue) Running(id vocab.TeamID) int {
	if t, ok := q.teams[id]; ok {
		return t.running
	}
	return 0
}

// Push admits or refuses an item. If the queue is full, it evicts the newest item of
// the team with the most waiting items per weight. If the team's own bound is reached,
// an urgent item replaces the team's newest normal item.
func (q *Queue) Push(now vocab.Instant, it Item) PushResult {
	t := q.team(it.Team)
	q.activate(t)
	if !it.Redispatched {
		t.offeredTime += time.Duration(t.meanRunSeconds * float64(time.Second))
	}
	if !it.Redispatched && q.tooLate(t, it, now) {
		return q.refuse(now, TooLate)
	}
	var result PushResult
	reason := Admitted
	var victim *entry
	switch {
	case t.waiting >= q.teamBound(it.Team):
		reason, victim = TeamFull, t.replaceable(it)
	case len(q.entries) >= q.bounds.Queued:
		reason, victim = QueueFull, q.victim(t, it)
	}
	if reason != Admitted {
		if victim == nil {
			return q.refuse(now, reason)
		}
		q.remove(victim)
		q.stats.refused(now)
		result.Evicted, result.HasEvicted = victim.item, true
	}
	q.insert(now, t, it)
	return result
}

// refuse counts a refusal and returns it.
func (q *Queue) refuse(now vocab.Instant, reason Refusal) PushResult {
	q.stats.refused(now)
	return PushResult{Refusal: reason}
}

// teamBound returns the maximum number of waiting items of a team.
func (q *Queue) teamBound(id vocab.TeamID) int {
	if n, ok := q.teamBounds[id]; ok {
		return n
	}
	return q.bounds.QueuedPerTeam
}

// replaceable returns the entry of the team that an item of the same team may
// replace: the newest normal entry if the item is urgent, otherwise nil.
func (t *team) replaceable(it Item) *entry {
	if !it.Urgent {
		return nil
	}
	return t.normal.tail
}

// victim returns the entry to evict from a full queue for an item: one of the team with
// the most waiting items per weight. If that is the item's own team, counting the item,
// it returns what the item may replace, or nil.
func (q *Queue) victim(t *team, it Item) *entry {
	top, ok := q.backlogged.first()
	if !ok {
		return nil
	}
	if top != t && top.weightedBacklog() > float64(t.waiting+1)/t.weight {
		if e := top.newest(); e != nil {
			return e
		}
	}
	return t.replaceable(it)
}

// newest returns the team's newest normal entry or, if there is none, its newest
// urgent one; nil if no item is ready.
func (t *team) newest() *entry {
	if t.normal.tail != nil {
		return t.normal.tail
	}
	return t.urgent.tail
}

// insert adds an item to the queue.
func (q *Queue) insert(now vocab.Instant, t *team, it Item) {
	e := &entry{item: it, team: t, delayedIndex: -1}
	q.stats.update(now)
	q.entries[it.Request] = e
	q.stats.waiting++
	q.expiry.add(e)
	t.waiting++
	if it.NotBefore > now {
		q.delayed.add(e)
	} else {
		q.makeReady(now, e)
	}
	q.updateHeaps(t)
}

// makeReady adds an entry to its team's list. A team without ready items is first
// brought up to the current virtual time, so that idle time earns no service.
func (q *Queue) makeReady(now vocab.Instant, e *entry) {
	t := e.team
	if t.ready() == 0 {
		t.accrue(now)
		t.weightedService += max(0, q.virtualTime.now-t.orderKey)
		t.accrue(now)
		q.stats.readyWeight += t.weight
	}
	l := &t.normal
	if e.item.Urgent {
		l = &t.urgent
	}
	if e.item.Redispatched {
		l.pushFront(e)
		return
	}
	l.pushBack(e)
}

// Remove removes a waiting item and reports whether there was one. It costs O(log n).
func (q *Queue) Remove(request vocab.RequestID) bool {
	e, ok := q.entries[request]
	if ok {
		q.remove(e)
	}
	return ok
}

// RemoveIf removes and returns all items that match, team by team in the order in
// which they would start, delayed ones last.
func (q *Queue) RemoveIf(match func(Item) bool) []Item {
	var found []*entry
	for _, t := range q.teamList {
		for _, l := range []*entryList{&t.urgent, &t.normal} {
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

// Expire removes and returns the items that have expired, earliest first.
func (q *Queue) Expire(now vocab.Instant) []Item {
	var out []Item
	for {
		e, ok := q.expiry.first()
		if !ok || e.item.Expires > now {
			return out
		}
		q.remove(e)
		q.stats.refused(now)
		out = append(out, e.item)
	}
}

// remove removes an entry from the queue.
func (q *Queue) remove(e *entry) {
	t := e.team
	delete(q.entries, e.item.Request)
	q.stats.waiting--
	q.expiry.removeAt(e.expiryIndex)
	if e.delayedIndex >= 0 {
		q.delayed.removeAt(e.delayedIndex)
	} else {
		e.list.remove(e)
		if t.ready() == 0 {
			q.stats.readyWeight -= t.weight
		}
	}
	t.waiting--
	q.updateHeaps(t)
}

// team returns a team's state, adding it if there is none.
func (q *Queue) team(id vocab.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		t = &team{id: id, serial: len(q.teamList), weight: 1, meanRunSeconds: initialRunSeconds, readyIndex: -1, urgentIndex: -1, backlogIndex: -1}
		q.teams[id] = t
		q.teamList = append(q.teamList, t)
	}
	return t
}

// updateHeaps updates the team's positions in the heaps after its state changed.
func (q *Queue) updateHeaps(t *team) {
	updateHeap(&q.ready, t, t.readyIndex, t.ready() > 0)
	updateHeap(&q.urgent, t, t.urgentIndex, t.urgent.count > 0)
	updateHeap(&q.backlogged, t, t.backlogIndex, t.waiting > 0)
}

// updateHeap adds, moves or removes a team that is at an index of a heap, or at -1 if
// it is outside.
func updateHeap(h *indexedHeap[*team], t *team, index int, belongs bool) {
	switch {
	case belongs && index < 0:
		h.add(t)
	case belongs:
		h.fix(index)
	case index >= 0:
		h.removeAt(index)
	}
}
