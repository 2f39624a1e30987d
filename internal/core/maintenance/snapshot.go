package maintenance

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Snapshot is everything that a plan depends on. It can be written as a
// literal; the planner and the applier change nothing in it.
type Snapshot struct {
	// Unix is the wall clock in seconds since the Unix epoch.
	Unix   int64
	Fleet  *spec.Fleet
	Ledger *Ledger
	// VMs is in the order of the names.
	VMs []VM
	// Needs is in the order of the pools' names.
	Needs []PoolNeed
	// LogUp is false while nothing can be recorded.
	LogUp bool
	// Hold tells why nothing new may be begun; empty if it may.
	Hold string
}

// VM is what the planner knows of one VM. Durations are by the clock of the
// process that made the Snapshot.
type VM struct {
	observe.VM
	// ListedPool is the pool in the platform's list, empty if it is not live there.
	ListedPool vocab.PoolID
	// Gone means that the platform's list lacks the VM.
	Gone bool
	// Idle means that the VM certainly runs nothing.
	Idle bool
	// Flapping means that the VM turned unready by itself too often to be counted.
	Flapping bool
	// UnreadyFor is the time since the VM was last ready; 0 if it is.
	UnreadyFor time.Duration
	// StageFor is the time since the current stage of its move or maintenance
	// was folded.
	StageFor time.Duration
	Drain    Order
	Reboot   Order
	Assign   Order
	// AssignTo is the pool that the last order to assign named.
	AssignTo vocab.PoolID
}

// Order is what this process did about one kind of order since the stage began.
type Order struct {
	Sent bool
	Done bool // the platform confirmed it
	// First and Last are the times since the first and the last sending.
	First, Last time.Duration
	// DoneFor is the time since the confirmation.
	DoneFor time.Duration
}

// due reports whether the order has to be sent now.
func (o Order) due() bool {
	return !o.Sent || (!o.Done && o.Last >= retryAfter)
}

// PoolNeed is what demand asks of a pool, in VMs, with the costs that have
// built up because the pool holds less or more.
type PoolNeed struct {
	Pool vocab.PoolID
	// Demand is the number of VMs that demand needs, now and soon.
	Demand int
	// Later is the most that demand is expected to need within the time for
	// which it is not worth giving a VM away.
	Later int
	// LackCost and IdleCost are in weighted VM-seconds; see MoveCost.
	LackCost float64
	IdleCost float64
}

// counted reports whether the VM counts towards its pool's budget.
func (v *VM) counted() bool {
	return v.Phase == observe.PhaseReady && !v.Flapping
}

// domain returns the VM's failure domain within a pool that spans the counted
// number of zones: its zone, or its rack if the pool has one zone only.
func (v *VM) domain(zones int) string {
	if zones > 1 {
		return "zone " + string(v.Zone)
	}
	return "rack " + string(v.Rack)
}
