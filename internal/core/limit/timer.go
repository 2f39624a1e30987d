package limit

import (
	"container/heap"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// timers holds tokens to be released at an instant, the earliest first.
type timers struct {
	heap timerHeap
}

type timer struct {
	at    vocab.Instant
	token Token
}

func (t *timers) add(at vocab.Instant, token Token) {
	heap.Push(&t.heap, timer{at: at, token: token})
}

// due removes and returns the next timer if its instant has come.
func (t *timers) due(now vocab.Instant) (Token, bool) {
	if len(t.heap) == 0 || now.Before(t.heap[0].at) {
		return Token{}, false
	}
	next, _ := heap.Pop(&t.heap).(timer)
	return next.token, true
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].token.ID < h[j].token.ID
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok {
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
