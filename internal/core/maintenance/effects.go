package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// VMOrder addresses one VM under the epoch of the order's giver.
type VMOrder struct {
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
	Epoch       vocab.Epoch
}

// OrderDrain tells the platform that the VM gets no more work.
type OrderDrain struct{ Order VMOrder }

// IsEffect implements event.Effect.
func (OrderDrain) IsEffect() {}

// OrderReboot tells the platform to restart the VM.
type OrderReboot struct{ Order VMOrder }

// IsEffect implements event.Effect.
func (OrderReboot) IsEffect() {}

// OrderAssign tells the platform to put the VM into the pool and to take a
// drain of it back.
type OrderAssign struct {
	Order VMOrder
	Pool  vocab.PoolID
}

// IsEffect implements event.Effect.
func (OrderAssign) IsEffect() {}

// AppendRecord adds a record to the stream that the ledger is folded from.
// After a lost answer it need not be repeated: the controller gives a new one.
type AppendRecord struct {
	ID   vocab.RecordID
	Body record.Body
}

// IsEffect implements event.Effect.
func (AppendRecord) IsEffect() {}

// Tick lets time pass. A controller wants one every second or so.
type Tick struct {
	// Unix is the wall clock in seconds since the Unix epoch. It serves
	// forecasts and deadlines of days, never leases.
	Unix int64
	// LogUp tells whether the log answers.
	LogUp bool
	// Demand is the running and queued slots per pool over the whole fleet.
	Demand []PoolDemand
	// Idle lists VMs that certainly run nothing for any node.
	Idle []vocab.VMID
	// Suspects lists nodes that are suspected or no longer members.
	Suspects []vocab.NodeID
}

// IsEvent implements event.Event.
func (Tick) IsEvent() {}

// PoolDemand is the demand on one pool.
type PoolDemand struct {
	Pool  vocab.PoolID
	Slots vocab.Slots
}

// RecordFolded brings one record of the stream, in the order of the offsets.
// Records of other parts are ignored.
type RecordFolded struct {
	Offset vocab.Offset
	Body   record.Body
}

// IsEvent implements event.Event.
func (RecordFolded) IsEvent() {}

// FleetChanged brings the configuration in force.
type FleetChanged struct{ Fleet *spec.Fleet }

// IsEvent implements event.Event.
func (FleetChanged) IsEvent() {}

// OrderKind tells orders apart.
type OrderKind uint8

const (
	// KindDrain stands for OrderDrain.
	KindDrain OrderKind = iota
	// KindReboot stands for OrderReboot.
	KindReboot
	// KindAssign stands for OrderAssign.
	KindAssign
)

// OrderResult is what became of an order.
type OrderResult uint8

const (
	// ResultUnknown means that the order may have taken effect.
	ResultUnknown OrderResult = iota
	// ResultDone means that the platform confirmed the order.
	ResultDone
	// ResultStale means that the platform has seen a later epoch.
	ResultStale
	// ResultRejected means that the order had no effect.
	ResultRejected
)

// OrderAnswered brings the outcome of an order.
type OrderAnswered struct {
	Kind  OrderKind
	Order VMOrder
	// Pool is set for KindAssign.
	Pool   vocab.PoolID
	Result OrderResult
}

// IsEvent implements event.Event.
func (OrderAnswered) IsEvent() {}
