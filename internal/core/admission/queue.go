// Package admission decides which requests wait, which are refused at once and
// which team's request goes next. One Queue stands for one service on one
// entry node.
package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Item is one waiting request.
type Item struct {
	Request vocab.RequestID
	Team    vocab.TeamID
	Key     vocab.KeyID
	Urgent  bool
	// Expires is the instant at which waiting ends with a refusal.
	Expires vocab.Instant
}

// Bounds limits one queue on one node.
type Bounds struct {
	// Queued is the most items that wait.
	Queued int
	// QueuedPerTeam is the most items of one team that wait.
	QueuedPerTeam int
}

// Refusal tells why an item was not let in.
type Refusal int

const (
	// Admitted means that the item waits.
	Admitted Refusal = iota
	// QueueFull means that the queue's own bound is reached.
	QueueFull
	// TeamFull means that the team's bound in this queue is reached.
	TeamFull
)

// Queue holds the waiting items of one service. The zero value is not usable;
// call New.
type Queue struct {
	bounds Bounds
	teams  map[vocab.TeamID]*team
	// order holds the teams in the order of their first item, for iteration
	// that does not depend on map order.
	order   []*team
	waiting int
	// floor is the virtual time of the service last given, which a team that
	// comes back from idleness starts from: idleness earns no credit.
	floor float64
}

type team struct {
	id     vocab.TeamID
	weight float64
	urgent []Item
	normal []Item
	// served is the weighted slot time that the team received.
	served float64
}

// New returns an empty queue.
func New(bounds Bounds) *Queue {
	return &Queue{bounds: bounds, teams: map[vocab.TeamID]*team{}}
}

// SetBounds replaces the bounds. Items that already wait stay.
func (q *Queue) SetBounds(b Bounds) {
	q.bounds = b
}

// SetWeight sets the share of a team.
func (q *Queue) SetWeight(id vocab.TeamID, weight int) {
	q.team(id).weight = float64(max(weight, 1))
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.waiting
}

// Waiting returns the number of waiting items of one team.
func (q *Queue) Waiting(id vocab.TeamID) int {
	t, ok := q.teams[id]
	if !ok {
		return 0
	}
	return t.len()
}

// Push lets an item in or tells why not.
func (q *Queue) Push(it Item) Refusal {
	t := q.team(it.Team)
	if q.waiting >= q.bounds.Queued {
		return QueueFull
	}
	if t.len() >= q.bounds.QueuedPerTeam {
		return TeamFull
	}
	if t.len() == 0 {
		t.served = max(t.served, q.floor)
	}
	t.push(it)
	q.waiting++
	return Admitted
}

// Next removes and returns the item that goes next among the teams that
// eligible accepts: urgent items first, then the team with the least weighted
// slot time.
func (q *Queue) Next(eligible func(vocab.TeamID) bool) (Item, bool) {
	var best *team
	for _, t := range q.order {
		if t.len() == 0 || !eligible(t.id) {
			continue
		}
		if best == nil || t.before(best) {
			best = t
		}
	}
	if best == nil {
		return Item{}, false
	}
	q.floor = max(q.floor, best.served)
	q.waiting--
	return best.pop(), true
}

// Charge adds slot time to what a team received.
func (q *Queue) Charge(id vocab.TeamID, d time.Duration) {
	t := q.team(id)
	t.served += d.Seconds() / t.weight
}

// Remove takes one item out, if it waits.
func (q *Queue) Remove(id vocab.TeamID, request vocab.RequestID) bool {
	t, ok := q.teams[id]
	if !ok {
		return false
	}
	removed := t.remove(func(it Item) bool { return it.Request == request })
	q.waiting -= len(removed)
	return len(removed) > 0
}

// RemoveIf takes out and returns all items that match, team by team in the
// order in which they came.
func (q *Queue) RemoveIf(match func(Item) bool) []Item {
	var all []Item
	for _, t := range q.order {
		all = append(all, t.remove(match)...)
	}
	q.waiting -= len(all)
	return all
}

func (q *Queue) team(id vocab.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		t = &team{id: id, weight: 1}
		q.teams[id] = t
		q.order = append(q.order, t)
	}
	return t
}

func (t *team) len() int {
	return len(t.urgent) + len(t.normal)
}

func (t *team) push(it Item) {
	if it.Urgent {
		t.urgent = append(t.urgent, it)
		return
	}
	t.normal = append(t.normal, it)
}

func (t *team) pop() Item {
	list := &t.normal
	if len(t.urgent) > 0 {
		list = &t.urgent
	}
	it := (*list)[0]
	*list = (*list)[1:]
	return it
}

func (t *team) before(o *team) bool {
	if (len(t.urgent) > 0) != (len(o.urgent) > 0) {
		return len(t.urgent) > 0
	}
	return t.served < o.served
}

func (t *team) remove(match func(Item) bool) []Item {
	var removed []Item
	for _, list := range []*[]Item{&t.urgent, &t.normal} {
		kept := (*list)[:0]
		for _, it := range *list {
			if match(it) {
				removed = append(removed, it)
			} else {
				kept = append(kept, it)
			}
		}
		*list = kept
	}
	return removed
}
