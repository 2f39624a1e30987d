package maintenance

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Snapshot holds all inputs of a plan. The planner and the applier do not
// modify it.
type Snapshot struct {
	// Unix is the wall clock in seconds since the Unix epoch.
	Unix   int64
	Fleet  *spec.Fleet
	Ledger *Ledger
	// VMs is sorted by name.
	VMs []VM
	// Needs is in the order of the fleet's pools.
	Needs []PoolNeed
	// LogUp is false while no record can be appended.
	LogUp bool
	// HoldReason is why no disruption may begin now; empty if one may.
	HoldReason string
}

// VM is the planner's view of one VM. Durations are measured on the clock of
// the process that made the Snapshot.
type VM struct {
	observe.VM
	// ListedPool is the VM's pool in the platform's list; empty if the list
	// does not have the VM as live.
	ListedPool vocab.PoolID
	// Gone reports whether the platform's list lacks the VM or has it as gone.
	Gone bool
	// Idle reports whether the VM is known to run no work.
	Idle bool
	// Flapping reports whether the VM became unready without a disruption too
	// often to count as ready.
	Flapping bool
	// UnreadyFor is the time since the VM was last ready; 0 if it is.
	UnreadyFor time.Duration
	// StageFor is the time since the current stage of the VM's move or
	// maintenance was folded.
	StageFor time.Duration
	Drain    OrderStatus
	Reboot   OrderStatus
	Assign   OrderStatus
	// AssignTo is the pool that the last order to assign named.
	AssignTo vocab.PoolID
}

// OrderStatus is the state of one kind of order that this process sent in the
// current stage.
type OrderStatus struct {
	Sent      bool
	Confirmed bool // the platform confirmed it
	// SinceFirst and SinceLast are the times since the order was first and last
	// sent.
	SinceFirst, SinceLast time.Duration
	// SinceConfirmed is the time since the confirmation.
	SinceConfirmed time.Duration
}

// due reports whether the order has to be sent now.
func (o OrderStatus) due() bool {
	return !o.Sent || (!o.Confirmed && o.SinceLast >= retryInterval)
}

// PoolNeed is the number of VMs that demand requires of a pool, and the
// accumulated costs of the pool's holding fewer or more.
type PoolNeed struct {
	Pool vocab.PoolID
	// Demand is the number of VMs that demand needs now or within
	// acquireHorizon.
	Demand int
	// RetainDemand is the largest number of VMs that demand is expected to need
	// within retainHorizon.
	RetainDemand int
	// ShortfallCost and SurplusCost are in weighted VM-seconds; see MoveCost.
	ShortfallCost float64
	SurplusCost   float64
}

// countsAsReady reports whether the VM counts towards its pool's budget.
func (v *VM) countsAsReady() bool {
	return v.Phase == observe.PhaseReady && !v.Flapping
}

// failureDomain returns the VM's failure domain within a pool that spans that
// many zones: its zone, or its rack if the pool has only one zone.
func (v *VM) failureDomain(zones int) string {
	if zones > 1 {
		return "zone " + string(v.Zone)
	}
	return "rack " + string(v.Rack)
}
