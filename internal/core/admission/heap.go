package admission

import "container/heap"

// ordered is a heap whose elements know their index, so that any of them can
// be moved or removed in O(log n).
type ordered[T any] struct {
	items []T
	less  func(a, b T) bool
	// place tells an element its index; -1 once it is removed.
	place func(e T, i int)
}

// Len implements heap.Interface.
func (o *ordered[T]) Len() int { return len(o.items) }

// Less implements heap.Interface.
func (o *ordered[T]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

// Swap implements heap.Interface.
func (o *ordered[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.place(o.items[i], i)
	o.place(o.items[j], j)
}

// Push implements heap.Interface.
func (o *ordered[T]) Push(x any) {
	e := x.(T)
	o.place(e, len(o.items))
	o.items = append(o.items, e)
}

// Pop implements heap.Interface.
func (o *ordered[T]) Pop() any {
	last := len(o.items) - 1
	e := o.items[last]
	var none T
	o.items[last] = none
	o.items = o.items[:last]
	o.place(e, -1)
	return e
}

func (o *ordered[T]) add(e T) { heap.Push(o, e) }

func (o *ordered[T]) fix(i int) { heap.Fix(o, i) }

func (o *ordered[T]) removeAt(i int) { heap.Remove(o, i) }

// first returns the least element.
func (o *ordered[T]) first() (T, bool) {
	if len(o.items) == 0 {
		var none T
		return none, false
	}
	return o.items[0], true
}
