// Package routing chooses the VM that serves an attempt, and detects unhealthy
// VMs from the outcomes of attempts.
package routing

import "github.com/sardinehead/sardinehead/internal/vocab"

// otherZonePenalty is added to the load of VMs in other zones, as a fraction of
// their slots. A VM of the node's own zone is preferred unless its load is
// higher by more than this.
const otherZonePenalty = 0.25

// Candidate is a VM that may serve an attempt.
type Candidate struct {
	VM   vocab.VMID
	Zone vocab.ZoneID
	// Free is the number of slots that this node may still use on the VM.
	Free vocab.Slots
	// Load is the number of requests known to run on the VM.
	Load vocab.Slots
	// Slots is the number of requests that the VM can run at the same time.
	Slots vocab.Slots
	// Avoided is set for a while after a failed attempt on the VM. The VM is
	// chosen only if no VM that is not avoided has a free slot.
	Avoided bool
}

// Choose returns the index of the candidate that should serve the next attempt
// of a node in zone. Candidates that are not avoided come first, and among these
// the one with the smallest fraction of its slots in use. VMs of other zones
// count as otherZonePenalty more loaded, so that the node's own zone is
// preferred but not overloaded. Ties go to the first candidate from index
// rotation on; a caller that varies rotation spreads them. Choose returns false
// if no candidate has a free slot. It does not allocate.
func Choose(candidates []Candidate, zone vocab.ZoneID, rotation uint64) (int, bool) {
	n := len(candidates)
	best := -1
	for i := range n {
		index := int((rotation%uint64(n) + uint64(i)) % uint64(n))
		if candidates[index].Free <= 0 {
			continue
		}
		if best < 0 || isBetter(&candidates[index], &candidates[best], zone) {
			best = index
		}
	}
	return best, best >= 0
}

// isBetter reports whether c is preferred to other.
func isBetter(c, other *Candidate, zone vocab.ZoneID) bool {
	if c.Avoided != other.Avoided {
		return !c.Avoided
	}
	return weightedLoad(c, zone) < weightedLoad(other, zone)
}

// weightedLoad returns the fraction of the VM's slots in use, plus
// otherZonePenalty for a VM of another zone.
func weightedLoad(c *Candidate, zone vocab.ZoneID) float64 {
	load := float64(c.Load) / float64(max(1, c.Slots))
	if c.Zone != zone {
		load += otherZonePenalty
	}
	return load
}
