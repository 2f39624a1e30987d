package limit

import (
	"container/heap"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// releaseTimers holds tokens to be released at a given instant, earliest first.
type releaseTimers struct {
	heap timerHeap
}

type releaseTimer struct {
	at    vocab.Instant
	token Token
}

func (t *releaseTimers) add(at vocab.Instant, token Token) {
	heap.Push(&t.heap, releaseTimer{at: at, token: token})
}

// popDue removes and returns the earliest token if its instant has come.
func (t *releaseTimers) popDue(now vocab.Instant) (Token, bool) {
	if len(t.heap) == 0 || now.Before(t.heap[0].at) {
		return Token{}, false
	}
	next, _ := heap.Pop(&t.heap).(releaseTimer)
	return next.token, true
}

// timerHeap implements heap.Interface.
type timerHeap []releaseTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].token.ID < h[j].token.ID
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) {
	if t, ok := x.(releaseTimer); ok {
		*h = append(*h, t)
	}
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	*h = old[:last]
	return t
}
