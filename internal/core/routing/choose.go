// Package routing chooses the VM that serves an attempt, and judges from the
// ends of attempts which VMs to keep away from.
package routing

import "github.com/sardinehead/sardinehead/internal/vocab"

// zonePreference is by how much more of its slots a VM of the node's own zone
// may have in use than one of another zone and still be chosen.
const zonePreference = 0.25

// Candidate is a VM that may serve an attempt.
type Candidate struct {
	VM   vocab.VMID
	Zone vocab.ZoneID
	// Free is the number of slots that this node may still use on the VM.
	Free vocab.Slots
	// Load is the number of requests known to run on the VM, of this node and
	// of others.
	Load vocab.Slots
	// Slots is the number of requests that the VM runs at the same time.
	Slots vocab.Slots
	// Avoided is set while the VM is out of favour, for instance after a
	// failed attempt. It is chosen only if no other VM has a free slot.
	Avoided bool
}

// Choose returns the candidate that should serve the next attempt of a node in
// zone: one that is not avoided, and of these the one with the least part of
// its slots in use. VMs of other zones count as zonePreference more loaded, so
// that the own zone is preferred but not overloaded. Of equal ones the first
// from the place that turn gives is taken; the caller changes turn from call to
// call. It returns false if no candidate has a free slot. It does not allocate.
func Choose(candidates []Candidate, zone vocab.ZoneID, turn uint64) (int, bool) {
	n := len(candidates)
	best := -1
	for i := range n {
		at := int((turn%uint64(n) + uint64(i)) % uint64(n))
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
	return cost(c, zone) < cost(o, zone)
}

// cost returns the part of the VM's slots in use, raised in other zones.
func cost(c *Candidate, zone vocab.ZoneID) float64 {
	load := float64(c.Load) / float64(max(1, c.Slots))
	if c.Zone != zone {
		load += zonePreference
	}
	return load
}
