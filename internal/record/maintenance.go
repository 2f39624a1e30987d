package record

import "github.com/sardinehead/sardinehead/internal/vocab"

func init() {
	register[MaintenanceClaimed]()
	register[MaintenanceHeld]()
	register[DisruptionsBegun]()
	register[VMJoinedPool]()
	register[VMsRebooting]()
	register[VMMaintained]()
	register[VMMaintenanceFailed]()
	register[VMMaintenanceCancelled]()
	register[WaveStarted]()
	register[WavePaused]()
	register[WaveResumed]()
}

// MaintenanceClaimed asks to own the planning of moves and maintenance. The
// fold accepts it only if Previous is the epoch in force at that point; the
// claim's own offset is then the new epoch.
type MaintenanceClaimed struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Previous    vocab.Epoch       `json:"previous"`
	// At is the claimer's wall clock, in seconds since the Unix epoch.
	At int64 `json:"at"`
}

// RecordKind implements Body.
func (MaintenanceClaimed) RecordKind() Kind { return "maintenance.claimed" }

// MaintenanceHeld is the owner's heartbeat.
type MaintenanceHeld struct {
	Epoch vocab.Epoch `json:"epoch"`
	// Sequence numbers the heartbeats of one epoch.
	Sequence uint64 `json:"sequence"`
}

// RecordKind implements Body.
func (MaintenanceHeld) RecordKind() Kind { return "maintenance.held" }

// DisruptionsBegun takes VMs out of service. It is the only record that does.
// The fold accepts it only if Base is the offset of the last accepted record
// that its maker had to know: another one, a claim, a VM that did not come back,
// or a start, pause or resumption of the wave. So a copy that was delayed, or one
// decided without that knowledge, has no effect.
type DisruptionsBegun struct {
	Epoch   vocab.Epoch            `json:"epoch"`
	Base    vocab.Offset           `json:"base"`
	Left    []VMLeftPool           `json:"left,omitempty"`
	Started []VMMaintenanceStarted `json:"started,omitempty"`
}

// RecordKind implements Body.
func (DisruptionsBegun) RecordKind() Kind { return "maintenance.begun" }

// VMLeftPool takes a VM out of a pool. From here to VMJoinedPool it belongs to
// no pool.
type VMLeftPool struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	From        vocab.PoolID        `json:"from"`
	To          vocab.PoolID        `json:"to"`
}

// VMMaintenanceStarted begins a VM's drain, which ends in a reboot.
type VMMaintenanceStarted struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
}

// VMJoinedPool ends a move, in the pool it was meant for or in the one it left.
type VMJoinedPool struct {
	Epoch vocab.Epoch  `json:"epoch"`
	VM    vocab.VMID   `json:"vm"`
	Pool  vocab.PoolID `json:"pool"`
}

// RecordKind implements Body.
func (VMJoinedPool) RecordKind() Kind { return "maintenance.joined" }

// VMsRebooting says that drained VMs were ordered to reboot.
type VMsRebooting struct {
	Epoch vocab.Epoch  `json:"epoch"`
	VMs   []vocab.VMID `json:"vms"`
}

// RecordKind implements Body.
func (VMsRebooting) RecordKind() Kind { return "maintenance.rebooting" }

// VMMaintained says that a VM is ready again under a later incarnation.
type VMMaintained struct {
	Epoch       vocab.Epoch         `json:"epoch"`
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	// At is the owner's wall clock, in seconds since the Unix epoch.
	At int64 `json:"at"`
}

// RecordKind implements Body.
func (VMMaintained) RecordKind() Kind { return "maintenance.done" }

// VMMaintenanceFailed says that a VM did not come back from its reboot in time.
type VMMaintenanceFailed struct {
	Epoch vocab.Epoch `json:"epoch"`
	VM    vocab.VMID  `json:"vm"`
}

// RecordKind implements Body.
func (VMMaintenanceFailed) RecordKind() Kind { return "maintenance.failed" }

// VMMaintenanceCancelled takes a drain back before the reboot.
type VMMaintenanceCancelled struct {
	Epoch vocab.Epoch `json:"epoch"`
	VM    vocab.VMID  `json:"vm"`
}

// RecordKind implements Body.
func (VMMaintenanceCancelled) RecordKind() Kind { return "maintenance.cancelled" }

// WaveStarted opens a wave: every VM is due once. The fold accepts it from the
// owner or an operator if Wave is one more than the last wave's number.
type WaveStarted struct {
	Epoch    vocab.Epoch `json:"epoch,omitempty"`
	Operator string      `json:"operator,omitempty"`
	Wave     uint64      `json:"wave"`
	// At is the writer's wall clock, in seconds since the Unix epoch.
	At int64 `json:"at"`
}

// RecordKind implements Body.
func (WaveStarted) RecordKind() Kind { return "wave.started" }

// WavePaused stops new maintenance until an operator resumes it. It comes from
// the owner or from an operator.
type WavePaused struct {
	Epoch    vocab.Epoch `json:"epoch,omitempty"`
	Operator string      `json:"operator,omitempty"`
	Wave     uint64      `json:"wave"`
	Reason   string      `json:"reason"`
}

// RecordKind implements Body.
func (WavePaused) RecordKind() Kind { return "wave.paused" }

// WaveResumed is an operator's word that a paused wave may go on. Paused is the
// offset of the pause that the operator saw; a later pause stays in force.
type WaveResumed struct {
	Operator string       `json:"operator"`
	Wave     uint64       `json:"wave"`
	Paused   vocab.Offset `json:"paused"`
}

// RecordKind implements Body.
func (WaveResumed) RecordKind() Kind { return "wave.resumed" }
