package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// memberVersion is the set of present members from an offset on.
type memberVersion struct {
	from    vocab.Offset
	present []vocab.Incarnation
	// nonDecreasing is set if the change to this set lowers the base quota of no
	// member that may have work running.
	nonDecreasing bool
}

// memberHistory holds the member sets of this node's window. It gives the base
// quotas of the whole window for an account that becomes known late.
type memberHistory struct {
	versions []memberVersion
}

func newMemberHistory() memberHistory {
	return memberHistory{versions: []memberVersion{{}}}
}

func (h *memberHistory) push(v memberVersion) {
	last := &h.versions[len(h.versions)-1]
	if last.from == v.from && v.from != 0 {
		v.nonDecreasing = v.nonDecreasing && last.nonDecreasing
		*last = v
		return
	}
	h.versions = append(h.versions, v)
}

// trim drops the sets that every other member has confirmed as replaced. A set
// that lowers no base quota needs no confirmation.
func (h *memberHistory) trim(confirmed vocab.Offset) {
	dropped := 0
	for dropped+1 < len(h.versions) {
		next := h.versions[dropped+1]
		if next.from > confirmed && !next.nonDecreasing {
			break
		}
		dropped++
	}
	h.versions = h.versions[dropped:]
}

// windowFor returns the window of an account as if its total had always been the
// current one.
func (h *memberHistory) windowFor(a *account, self vocab.Incarnation) quotaWindow {
	var w quotaWindow
	for _, v := range h.versions {
		slots := BaseQuota(a.id, a.total, v.present, self)
		w.versions = append(w.versions, quotaVersion{from: v.from, slots: slots, nonDecreasing: v.nonDecreasing})
	}
	w.updateMin()
	return w
}
