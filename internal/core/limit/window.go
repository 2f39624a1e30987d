package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// quotaVersion is a base quota from an offset on.
type quotaVersion struct {
	from  vocab.Offset
	slots vocab.Slots
	// nonDecreasing is set if the change at this offset lowers the base quota of
	// no member that may have work running.
	nonDecreasing bool
}

// quotaWindow holds a node's base quotas of one account, by offset, from the
// confirmed offset to the folded one. It is never empty once used.
type quotaWindow struct {
	versions []quotaVersion
	minQuota vocab.Slots
}

// push adds the base quota from an offset on. Two quotas at one offset count as
// one change: the later one replaces the earlier.
func (w *quotaWindow) push(v quotaVersion) {
	if len(w.versions) == 0 {
		w.versions = append(w.versions, quotaVersion{})
	}
	last := &w.versions[len(w.versions)-1]
	switch {
	case last.from == v.from && v.from != 0:
		v.nonDecreasing = v.nonDecreasing && last.nonDecreasing
		*last = v
	case last.slots == v.slots && v.nonDecreasing:
		// This node's quota does not change, and no other member has to confirm.
	default:
		w.versions = append(w.versions, v)
	}
	w.updateMin()
}

// trim drops the quotas that every other member has confirmed as replaced. A
// change that lowers no base quota needs no confirmation: a node that keeps to
// its earlier quota also keeps to the later one.
func (w *quotaWindow) trim(confirmed vocab.Offset) {
	dropped := 0
	for dropped+1 < len(w.versions) {
		next := w.versions[dropped+1]
		if next.from > confirmed && !next.nonDecreasing {
			break
		}
		dropped++
	}
	if dropped == 0 {
		return
	}
	w.versions = append(w.versions[:0], w.versions[dropped:]...)
	w.updateMin()
}

// updateMin recomputes the smallest quota of the window.
func (w *quotaWindow) updateMin() {
	w.minQuota = w.versions[0].slots
	for _, v := range w.versions[1:] {
		w.minQuota = min(w.minQuota, v.slots)
	}
}

// alwaysZero reports whether the quota is 0 at all offsets of the window.
func (w *quotaWindow) alwaysZero() bool {
	for _, v := range w.versions {
		if v.slots > 0 {
			return false
		}
	}
	return true
}

// settledTo returns the last offset, at most folded, up to which used is within
// the base quota.
func (w *quotaWindow) settledTo(used vocab.Slots, folded vocab.Offset) vocab.Offset {
	for _, v := range w.versions {
		if v.slots < used && v.from > 0 {
			return min(folded, v.from-1)
		}
	}
	return folded
}

// latest returns the base quota at the folded offset.
func (w *quotaWindow) latest() vocab.Slots {
	if len(w.versions) == 0 {
		return 0
	}
	return w.versions[len(w.versions)-1].slots
}
