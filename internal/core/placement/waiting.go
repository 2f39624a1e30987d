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
	// order has the classes in the order in which they came up.
	order []*classQueue
	// entries has the sequence number of each task's valid entry.
	entries  map[vocab.TaskID]uint64
	sequence uint64
}

type classQueue struct {
	Class
	// first is the sequence of the class's first entry; it orders classes.
	first   uint64
	entries []entry
}

type entry struct {
	task     vocab.TaskID
	accepted vocab.Offset
	sequence uint64
	avoid    []vocab.VMID
}

// NewWaiting returns an empty index.
func NewWaiting() *Waiting {
	return &Waiting{
		classes: map[Class]*classQueue{},
		entries: map[vocab.TaskID]uint64{},
	}
}

// Len returns the number of waiting tasks.
func (w *Waiting) Len() int { return len(w.entries) }

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
		q = &classQueue{Class: it.Class, first: w.sequence}
		w.classes[it.Class] = q
		w.order = append(w.order, q)
	}
	w.entries[it.Task] = w.sequence
	e := entry{task: it.Task, accepted: it.Accepted, sequence: w.sequence, avoid: it.Avoid}
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

// compact drops the classes without valid entries.
func (w *Waiting) compact() {
	w.order = slices.DeleteFunc(w.order, func(q *classQueue) bool {
		if _, ok := w.head(q); ok {
			return false
		}
		delete(w.classes, q.Class)
		return true
	})
}
