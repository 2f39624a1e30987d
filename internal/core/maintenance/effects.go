package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// VMOrder identifies the VM of an order and the epoch under which it is sent.
type VMOrder struct {
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
	Epoch       vocab.Epoch
}

// OrderDrain orders the platform to drain the VM, which gets no new work.
type OrderDrain struct{ Order VMOrder }

// IsEffect implements event.Effect.
func (OrderDrain) IsEffect() {}

// OrderReboot orders the platform to reboot the VM.
type OrderReboot struct{ Order VMOrder }

// IsEffect implements event.Effect.
func (OrderReboot) IsEffect() {}

// OrderAssign orders the platform to assign the VM to the pool and to end a
// drain of it.
type OrderAssign struct {
	Order VMOrder
	Pool  vocab.PoolID
}

// IsEffect implements event.Effect.
func (OrderAssign) IsEffect() {}

// AppendRecord appends a record to the stream that the ledger is folded from.
// If the reply is lost the caller need not retry: the controller issues a new
// append.
type AppendRecord struct {
	ID   vocab.RecordID
	Body record.Body
}

// IsEffect implements event.Effect.
func (AppendRecord) IsEffect() {}

// Tick advances the controller's time. It is expected about once a second.
type Tick struct {
	// Unix is the wall clock in seconds since the Unix epoch. It is used for
	// forecasts and for deadlines of days, never for leases.
	Unix int64
	// LogUp reports whether the log responds.
	LogUp bool
	// Demand is the running and queued slots per pool over the whole fleet.
	Demand []PoolDemand
	// Idle lists the VMs that are known to run no work for any node.
	Idle []vocab.VMID
	// Suspects lists nodes that are suspected of failure or no longer members.
	Suspects []vocab.NodeID
}

// IsEvent implements event.Event.
func (Tick) IsEvent() {}

// PoolDemand is the demand on one pool.
type PoolDemand struct {
	Pool  vocab.PoolID
	Slots vocab.Slots
}

// RecordFolded delivers one record of the stream. Records arrive in the order
// of their offsets; those that do not concern the ledger are ignored.
type RecordFolded struct {
	Offset vocab.Offset
	Body   record.Body
}

// IsEvent implements event.Event.
func (RecordFolded) IsEvent() {}

// LedgerChanged reports what one record changed in the ledger, where the caller
// applied the record.
type LedgerChanged struct {
	Body record.Body
	// VMs lists the VMs whose entries changed.
	VMs []vocab.VMID
	// Accepted reports whether the record had an effect.
	Accepted bool
	// NewOwner reports whether the record made another process the owner.
	NewOwner bool
}

// IsEvent implements event.Event.
func (LedgerChanged) IsEvent() {}

// FleetChanged delivers a new configuration.
type FleetChanged struct{ Fleet *spec.Fleet }

// IsEvent implements event.Event.
func (FleetChanged) IsEvent() {}

// OrderKind is the kind of an order to the platform.
type OrderKind uint8

const (
	// KindDrain is the kind of OrderDrain.
	KindDrain OrderKind = iota
	// KindReboot is the kind of OrderReboot.
	KindReboot
	// KindAssign is the kind of OrderAssign.
	KindAssign
)

// OrderResult is the result of an order.
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

// OrderCompleted delivers the result of an order.
type OrderCompleted struct {
	Kind  OrderKind
	Order VMOrder
	// Pool is set for KindAssign.
	Pool   vocab.PoolID
	Result OrderResult
}

// IsEvent implements event.Event.
func (OrderCompleted) IsEvent() {}
