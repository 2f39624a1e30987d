package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Item is a task that waits for placement.
type Item struct {
	Task     vocab.TaskID
	Accepted vocab.Offset
	// Since is when the task began to wait, as this owner saw it.
	Since vocab.Instant
	// Avoid lists workers on which the task failed.
	Avoid []vocab.VMID
	Class
}

// Class is what tasks have in common that are alike for placement.
type Class struct {
	Queue       vocab.QueueID
	Team        vocab.TeamID
	Urgent      bool
	Idempotent  bool
	Checkpoints bool
	Declared    Size
	DeclaredRun time.Duration
	// Lacks counts the attempts that lacked memory.
	Lacks int
}

// Waiting holds the tasks that wait for placement, by team and class, each
// class in the order of acceptance. Adding in that order and removing are O(1).
type Waiting struct {
	classes map[Class]*classQueue
	lanes   map[laneKey]*lane
	// order has the lanes in the order in which they came up.
	order []*lane
	// entries has the sequence number of each task's valid entry.
	entries  map[vocab.TaskID]uint64
	sequence uint64
}

// laneKey names the urgent or the other tasks of a team.
type laneKey struct {
	team   vocab.TeamID
	urgent bool
}

// lane has the classes of a team in the order of their oldest tasks.
type lane struct {
	laneKey
	classes []*classQueue
}

type classQueue struct {
	Class
	// first is the acceptance of the class's first entry; it orders classes.
	first   vocab.Offset
	entries []entry
	// empty means that the class was dropped.
	empty bool
}

type entry struct {
	task     vocab.TaskID
	accepted vocab.Offset
	sequence uint64
	since    vocab.Instant
	avoid    []vocab.VMID
}

// NewWaiting returns an empty index.
func NewWaiting() *Waiting {
	return &Waiting{
		classes: map[Class]*classQueue{},
		lanes:   map[laneKey]*lane{},
		entries: map[vocab.TaskID]uint64{},
	}
}

// Len returns the number of waiting tasks.
func (w *Waiting) Len() int { return len(w.entries) }

// Backlog calls visit with the number of waiting tasks of each class. Tasks
// that were taken out lately may still count.
func (w *Waiting) Backlog(visit func(team vocab.TeamID, tasks int)) {
	for _, l := range w.order {
		for _, q := range l.classes {
			visit(l.team, len(q.entries))
		}
	}
}

// Has reports whether the task waits.
func (w *Waiting) Has(task vocab.TaskID) bool {
	_, ok := w.entries[task]
	return ok
}

// Add puts a task in its place by acceptance.
func (w *Waiting) Add(it Item) {
	w.sequence++
	q, ok := w.classes[it.Class]
	if !ok {
		q = &classQueue{Class: it.Class, first: it.Accepted}
		w.classes[it.Class] = q
		w.lane(laneKey{team: it.Team, urgent: it.Urgent}).add(q)
	}
	w.entries[it.Task] = w.sequence
	e := entry{task: it.Task, accepted: it.Accepted, sequence: w.sequence, since: it.Since, avoid: it.Avoid}
	last := len(q.entries) - 1
	if last < 0 || q.entries[last].accepted <= e.accepted {
		q.entries = append(q.entries, e)
		return
	}
	at, _ := slices.BinarySearchFunc(q.entries, e, func(a, b entry) int {
		return cmp.Compare(a.accepted, b.accepted)
	})
	q.entries = slices.Insert(q.entries, at, e)
}

// Remove takes a task out. The entry itself is dropped when it is reached.
func (w *Waiting) Remove(task vocab.TaskID) {
	delete(w.entries, task)
}

// head returns the first valid entry of a class and drops those before it.
func (w *Waiting) head(q *classQueue) (entry, bool) {
	for len(q.entries) > 0 {
		e := q.entries[0]
		if w.entries[e.task] == e.sequence {
			return e, true
		}
		q.entries = q.entries[1:]
	}
	return entry{}, false
}

func (w *Waiting) lane(key laneKey) *lane {
	l, ok := w.lanes[key]
	if !ok {
		l = &lane{laneKey: key}
		w.lanes[key] = l
		w.order = append(w.order, l)
	}
	return l
}

func (l *lane) add(q *classQueue) {
	last := len(l.classes) - 1
	if last < 0 || l.classes[last].first <= q.first {
		l.classes = append(l.classes, q)
		return
	}
	at, _ := slices.BinarySearchFunc(l.classes, q, func(a, b *classQueue) int {
		return cmp.Compare(a.first, b.first)
	})
	l.classes = slices.Insert(l.classes, at, q)
}

// drop takes out a class without valid entries.
func (w *Waiting) drop(q *classQueue) {
	q.empty = true
	delete(w.classes, q.Class)
}

// trim drops the empty classes at the beginning of a lane, and those among the
// classes before the given number of others.
func (l *lane) trim(count int) {
	live, visited := 0, 0
	for visited < len(l.classes) && live < count {
		if !l.classes[visited].empty {
			live++
		}
		visited++
	}
	keep := visited
	for i := visited - 1; i >= 0; i-- {
		if q := l.classes[i]; !q.empty {
			keep--
			l.classes[keep] = q
		}
	}
	l.classes = l.classes[keep:]
}
