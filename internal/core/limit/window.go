package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// partAt is a home part from an offset on.
type partAt struct {
	from  vocab.Offset
	slots vocab.Slots
	// raise says that no member's part is lower than just before this offset.
	raise bool
}

// window holds a node's home parts of one account, by offset, from the
// confirmed offset to the folded one. It is never empty once used.
type window struct {
	parts []partAt
	least vocab.Slots
}

// push adds the home part from an offset on. Two parts at one offset count as
// one change: the later one replaces the earlier.
func (w *window) push(p partAt) {
	if len(w.parts) == 0 {
		w.parts = append(w.parts, partAt{})
	}
	last := &w.parts[len(w.parts)-1]
	switch {
	case last.from == p.from && p.from != 0:
		p.raise = p.raise && last.raise
		*last = p
	case last.slots == p.slots && p.raise:
		// Nothing changes for this node, and others need not confirm.
	default:
		w.parts = append(w.parts, p)
	}
	w.measure()
}

// trim drops the parts that the confirmed offset has overtaken. A raise needs
// no confirmation: who is within its earlier part is within the later one.
func (w *window) trim(confirmed vocab.Offset) {
	cut := 0
	for cut+1 < len(w.parts) {
		next := w.parts[cut+1]
		if next.from > confirmed && !next.raise {
			break
		}
		cut++
	}
	if cut == 0 {
		return
	}
	w.parts = append(w.parts[:0], w.parts[cut:]...)
	w.measure()
}

// measure finds the smallest part of the window.
func (w *window) measure() {
	w.least = w.parts[0].slots
	for _, p := range w.parts[1:] {
		w.least = min(w.least, p.slots)
	}
}

// empty reports whether the window holds no part at any offset.
func (w *window) empty() bool {
	for _, p := range w.parts {
		if p.slots > 0 {
			return false
		}
	}
	return true
}

// settledTo returns the last offset up to folded at which used is within the
// home part.
func (w *window) settledTo(used vocab.Slots, folded vocab.Offset) vocab.Offset {
	for _, p := range w.parts {
		if p.slots < used && p.from > 0 {
			return min(folded, p.from-1)
		}
	}
	return folded
}

// home returns the home part at the folded offset.
func (w *window) home() vocab.Slots {
	if len(w.parts) == 0 {
		return 0
	}
	return w.parts[len(w.parts)-1].slots
}
