package admission

import "container/heap"

// indexedHeap is a heap that reports the index of each element, so that any of them
// can be moved or removed in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex records the index of an element; -1 once it is removed.
	setIndex func(e T, i int)
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	e := x.(T)
	h.setIndex(e, len(h.items))
	h.items = append(h.items, e)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(e, -1)
	return e
}

func (h *indexedHeap[T]) add(e T) { heap.Push(h, e) }

func (h *indexedHeap[T]) fix(i int) { heap.Fix(h, i) }

func (h *indexedHeap[T]) removeAt(i int) { heap.Remove(h, i) }

// first returns the least element.
func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}
