// Package routing chooses the VM that serves an attempt.
package routing

import "github.com/sardinehead/sardinehead/internal/vocab"

// Candidate is a VM that may serve an attempt.
type Candidate struct {
	VM   vocab.VMID
	Zone vocab.ZoneID
	// Free is the number of slots that this node may still use on the VM.
	Free vocab.Slots
	// Avoided is set while the VM is out of favour, for instance after a
	// failed attempt. It is chosen only if no other VM has a free slot.
	Avoided bool
}

// Choose returns the candidate that should serve the next attempt of a node in
// zone: one that is not avoided, then one of the same zone, then the one with
// the most free slots, then the one that comes first counting from turn. The
// caller advances turn from call to call, so that equal VMs take turns. It
// returns false if no candidate has a free slot.
func Choose(candidates []Candidate, zone vocab.ZoneID, turn int) (int, bool) {
	best := -1
	for i := range candidates {
		at := (turn + i) % len(candidates)
		if candidates[at].Free <= 0 {
			continue
		}
		if best < 0 || better(&candidates[at], &candidates[best], zone) {
			best = at
		}
	}
	return best, best >= 0
}

func better(c, o *Candidate, zone vocab.ZoneID) bool {
	if c.Avoided != o.Avoided {
		return !c.Avoided
	}
	if near, oNear := c.Zone == zone, o.Zone == zone; near != oNear {
		return near
	}
	return c.Free > o.Free
}
