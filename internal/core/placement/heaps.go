package placement

import (
	"container/heap"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// teamCursor is the progress of one pass through a team's waiting tasks.
type teamCursor struct {
	backlog *teamBacklog
	id      vocab.TeamID
	// next is the index in backlog.classes of the next class to load.
	next int
	// misses counts the consecutive classes for which no worker had capacity.
	misses int
	// weightedShare is the team's dominant share of the fleet divided by its
	// weight.
	weightedShare float64
	// classes has the loaded classes, up to classWindow.
	classes classHeap
	// atLimit means that the team is at its upper limit.
	atLimit bool
}

// refill loads classes of the backlog until classWindow of them are loaded.
func (t *teamCursor) refill() {
	for t.classes.Len() < classWindow && t.next < len(t.backlog.classes) {
		if q := t.backlog.classes[t.next]; !q.dropped {
			heap.Push(&t.classes, q)
		}
		t.next++
	}
}

// teamHeap is a heap with the lowest weighted share first.
type teamHeap []*teamCursor

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].id < h[j].id
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamCursor)) }

func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// classHeap is a heap with the class whose first task was accepted earliest first.
type classHeap []*classQueue

func (h classHeap) Len() int { return len(h) }

func (h classHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	x, y := a.headAccepted(), b.headAccepted()
	if x != y {
		return x < y
	}
	return a.firstAccepted < b.firstAccepted
}

// headAccepted returns the acceptance offset of the first entry; 0 if there is none.
func (q *classQueue) headAccepted() vocab.Offset {
	if len(q.entries) == 0 {
		return 0
	}
	return q.entries[0].accepted
}

func (h classHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *classHeap) Push(x any) { *h = append(*h, x.(*classQueue)) }

func (h *classHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
