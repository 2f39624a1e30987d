package placement

import (
	"container/heap"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// teamWork is a team with the classes of its waiting tasks.
type teamWork struct {
	lane *lane
	name vocab.TeamID
	// next is the position in the lane of the next class to look at.
	next int
	// misses counts the classes in a row that found no room.
	misses int
	// use is the team's dominant part of the fleet, divided by its share.
	use     float64
	classes classHeap
	// blocked means that the team is at its upper limit.
	blocked bool
}

// refill looks at further classes of the lane, up to a window of them.
func (t *teamWork) refill() {
	for t.classes.Len() < classWindow && t.next < len(t.lane.classes) {
		if q := t.lane.classes[t.next]; !q.empty {
			heap.Push(&t.classes, q)
		}
		t.next++
	}
}

// teamHeap has the team with the least weighted use first.
type teamHeap []*teamWork

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].use != h[j].use {
		return h[i].use < h[j].use
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamWork)) }

func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// classHeap has the class with the oldest first entry first.
type classHeap []*classQueue

func (h classHeap) Len() int { return len(h) }

func (h classHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	x, y := a.oldest(), b.oldest()
	if x != y {
		return x < y
	}
	return a.first < b.first
}

func (q *classQueue) oldest() vocab.Offset {
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
