package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// memberVersion is the set of present members from an offset on.
type memberVersion struct {
	from    vocab.Offset
	present []vocab.Incarnation
	// raise says that the change before it lowers nobody's part.
	raise bool
}

// history holds the member sets of this node's window, so that the parts of an
// account that becomes known late can be found for the whole window.
type history struct {
	versions []memberVersion
}

func newHistory() history {
	return history{versions: []memberVersion{{}}}
}

func (h *history) push(v memberVersion) {
	last := &h.versions[len(h.versions)-1]
	if last.from == v.from && v.from != 0 {
		v.raise = v.raise && last.raise
		*last = v
		return
	}
	h.versions = append(h.versions, v)
}

// trim drops the sets that the confirmed offset has overtaken.
func (h *history) trim(confirmed vocab.Offset) {
	cut := 0
	for cut+1 < len(h.versions) {
		next := h.versions[cut+1]
		if next.from > confirmed && !next.raise {
			break
		}
		cut++
	}
	h.versions = h.versions[cut:]
}

// windowFor returns the window of an account as if it had had its total all along.
func (h *history) windowFor(a *account, self vocab.Incarnation) window {
	var w window
	for _, v := range h.versions {
		slots := HomePart(a.id, a.total, v.present, self)
		w.parts = append(w.parts, partAt{from: v.from, slots: slots, raise: v.raise})
	}
	w.measure()
	return w
}
