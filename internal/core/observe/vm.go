// Package observe keeps what this process knows of each VM. It folds readings
// of the lagging VM list, signs from the upstream itself and facts of the
// maintenance ledger into one phase per VM. A VM is identified by its name and
// incarnation; knowledge of a later incarnation is never replaced by knowledge
// of an earlier one.
//
// The package is pure: time arrives as an argument, and equal calls give equal
// results.
package observe

import "github.com/sardinehead/sardinehead/internal/vocab"

// Phase is what this process concludes about a VM.
type Phase uint8

const (
	// PhaseUnknown means that the VM is listed but its health is in doubt.
	PhaseUnknown Phase = iota
	// PhaseReady means that the VM may get new work.
	PhaseReady
	// PhaseDraining means that the VM finishes what it runs and gets no new work.
	PhaseDraining
	// PhaseRebooting means that a reboot was begun and no later incarnation was seen.
	PhaseRebooting
	// PhaseBetween means that the VM has left one pool and not yet joined another.
	PhaseBetween
	// PhaseLost means that the VM is gone, or did not come back from a reboot.
	PhaseLost
)

// String returns the phase's name as used in dumps.
func (p Phase) String() string {
	switch p {
	case PhaseReady:
		return "ready"
	case PhaseDraining:
		return "draining"
	case PhaseRebooting:
		return "rebooting"
	case PhaseBetween:
		return "between"
	case PhaseLost:
		return "lost"
	default:
		return "unknown"
	}
}

// VM is the conclusion about one VM. Callers must not change it.
type VM struct {
	Name        vocab.VMID
	Incarnation vocab.VMIncarnation
	// Pool is the pool that counts the VM; empty while it is between pools.
	Pool    vocab.PoolID
	Region  vocab.RegionID
	Zone    vocab.ZoneID
	Rack    vocab.RackID
	Address string
	Phase   Phase
}

// ListPhase is what the VM list says of a VM, spelled as the platform does.
type ListPhase string

const (
	// ListLive means that the VM runs.
	ListLive ListPhase = "live"
	// ListLeaving means that the VM is about to stop.
	ListLeaving ListPhase = "leaving"
	// ListGone means that the VM no longer exists.
	ListGone ListPhase = "gone"
)

// Row is one row of a reading of the VM list. Its fields are those of the
// platform's protocol.
type Row struct {
	Name        vocab.VMID
	Incarnation vocab.VMIncarnation
	Pool        vocab.PoolID
	Region      vocab.RegionID
	Zone        vocab.ZoneID
	Rack        vocab.RackID
	Address     string
	Phase       ListPhase
}
