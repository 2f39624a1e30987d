// Package observe tracks the state of each VM as this process sees it. It derives
// one phase per VM from readings of the VM list, which lags behind, from reports
// and probes of the upstream on the VM, and from the maintenance ledger. A VM is
// identified by its name and incarnation; information about an earlier
// incarnation never replaces information about a later one.
//
// The package reads no clock and does no I/O: callers pass the time, and the same
// sequence of calls gives the same results.
package observe

import "github.com/sardinehead/sardinehead/internal/vocab"

// Phase is the state of a VM as this process sees it.
type Phase uint8

const (
	// PhaseUnknown means that the VM is listed but is not known to be healthy, or
	// is not yet listed in the pool that the ledger assigns to it.
	PhaseUnknown Phase = iota
	// PhaseReady means that the VM may get new work.
	PhaseReady
	// PhaseDraining means that the VM completes its running work and gets no new
	// work.
	PhaseDraining
	// PhaseRebooting means that the VM was ordered to reboot and the VM list shows
	// no later incarnation yet.
	PhaseRebooting
	// PhaseInTransition means that the VM has left one pool and not yet joined another.
	PhaseInTransition
	// PhaseLost means that the VM is gone, is missing in the VM list, or failed to
	// reboot in time.
	PhaseLost
)

// String returns the name of the phase in dumps.
func (p Phase) String() string {
	switch p {
	case PhaseReady:
		return "ready"
	case PhaseDraining:
		return "draining"
	case PhaseRebooting:
		return "rebooting"
	case PhaseInTransition:
		return "between"
	case PhaseLost:
		return "lost"
	default:
		return "unknown"
	}
}

// VM is the state of one VM, derived from all that is known about it. Callers
// must not change it.
type VM struct {
	Name        vocab.VMID
	Incarnation vocab.VMIncarnation
	// Pool is the pool that the VM belongs to; empty while it is in transition
	// between pools.
	Pool    vocab.PoolID
	Region  vocab.RegionID
	Zone    vocab.ZoneID
	Rack    vocab.RackID
	Address string
	Phase   Phase
}

// ListPhase is the phase of a VM in the platform's VM list.
type ListPhase string

const (
	// ListLive means that the VM runs.
	ListLive ListPhase = "live"
	// ListLeaving means that the VM is about to stop.
	ListLeaving ListPhase = "leaving"
	// ListGone means that the VM no longer exists.
	ListGone ListPhase = "gone"
)

// Row is one row of a reading of the VM list, with the fields of the platform's
// protocol.
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
