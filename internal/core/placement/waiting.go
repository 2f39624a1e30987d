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
	// Since is the time when the task began to wait, by the clock of this
	// owner.
	Since vocab.Instant
	// Avoid lists workers on which the task failed.
	Avoid []vocab.VMID
	Class
}

// Class holds the properties by which placement distinguishes tasks. Tasks of a class
// differ only in their age and in the workers to avoid.
type Class struct {
	Queue       vocab.QueueID
	Team        vocab.TeamID
	Urgent      bool
	Idempotent  bool
	Checkpoints bool
	Declared    Size
	DeclaredRun time.Duration
	// OutOfMemoryCount is the number of attempts that ran out of memory.
	OutOfMemoryCount int
}

// Waiting holds the tasks that wait for placement, by team and class, each
// class in the order of acceptance. Adding in that order and removing are O(1).
type Waiting struct {
	classes  map[Class]*classQueue
	backlogs map[backlogKey]*teamBacklog
	// order has the backlogs in the order of their first task.
	order []*teamBacklog
	// entries has the sequence number of each task's valid entry.
	entries  map[vocab.TaskID]uint64
	sequence uint64
}

// backlogKey identifies the urgent or the non-urgent tasks of a team.
type backlogKey struct {
	team   vocab.TeamID
	urgent bool
}

// teamBacklog has the classes of a team's urgent or non-urgent tasks, sorted by
// firstAccepted.
type teamBacklog struct {
	backlogKey
	classes []*classQueue
}

// classQueue has the waiting tasks of a class, sorted by acceptance.
type classQueue struct {
	Class
	// firstAccepted is the acceptance offset of the task with which the class was
	// created.
	firstAccepted vocab.Offset
	entries       []entry
	// dropped means that the class is no longer in Waiting.classes.
	dropped bool
}

// entry is a task in a classQueue. It is valid while Waiting.entries has its sequence
// number; otherwise the task was removed or added anew.
type entry struct {
	task     vocab.TaskID
	accepted vocab.Offset
	sequence uint64
	since    vocab.Instant
	avoid    []vocab.VMID
}

// NewWaiting returns an empty Waiting.
func NewWaiting() *Waiting {
	return &Waiting{
		classes:  map[Class]*classQueue{},
		backlogs: map[backlogKey]*teamBacklog{},
		entries:  map[vocab.TaskID]uint64{},
	}
}

// Len returns the number of waiting tasks.
func (w *Waiting) Len() int { return len(w.entries) }

// Backlog calls visit with the number of waiting tasks of each class. Tasks that
// were removed recently may still count.
func (w *Waiting) Backlog(visit func(team vocab.TeamID, tasks int)) {
	for _, b := range w.order {
		for _, q := range b.classes {
			visit(b.team, len(q.entries))
		}
	}
}

// Has reports whether the task is waiting.
func (w *Waiting) Has(task vocab.TaskID) bool {
	_, ok := w.entries[task]
	return ok
}

// Add inserts a task by its acceptance offset.
func (w *Waiting) Add(it Item) {
	w.sequence++
	q, ok := w.classes[it.Class]
	if !ok {
		q = &classQueue{Class: it.Class, firstAccepted: it.Accepted}
		w.classes[it.Class] = q
		w.backlog(backlogKey{team: it.Team, urgent: it.Urgent}).add(q)
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

// Remove removes a task. Its entry becomes invalid and is dropped by head.
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

// backlog returns the backlog of a key, adding it if there is none.
func (w *Waiting) backlog(key backlogKey) *teamBacklog {
	b, ok := w.backlogs[key]
	if !ok {
		b = &teamBacklog{backlogKey: key}
		w.backlogs[key] = b
		w.order = append(w.order, b)
	}
	return b
}

// add inserts a class by firstAccepted.
func (b *teamBacklog) add(q *classQueue) {
	last := len(b.classes) - 1
	if last < 0 || b.classes[last].firstAccepted <= q.firstAccepted {
		b.classes = append(b.classes, q)
		return
	}
	at, _ := slices.BinarySearchFunc(b.classes, q, func(x, y *classQueue) int {
		return cmp.Compare(x.firstAccepted, y.firstAccepted)
	})
	b.classes = slices.Insert(b.classes, at, q)
}

// dropClass removes a class without valid entries. It stays in its backlog until
// removeDropped.
func (w *Waiting) dropClass(q *classQueue) {
	q.dropped = true
	delete(w.classes, q.Class)
}

// removeDropped removes the dropped classes that precede the count-th remaining
// class. The others are removed by later calls.
func (b *teamBacklog) removeDropped(count int) {
	remaining, visited := 0, 0
	for visited < len(b.classes) && remaining < count {
		if !b.classes[visited].dropped {
			remaining++
		}
		visited++
	}
	start := visited
	for i := visited - 1; i >= 0; i-- {
		if q := b.classes[i]; !q.dropped {
			start--
			b.classes[start] = q
		}
	}
	b.classes = b.classes[start:]
}
