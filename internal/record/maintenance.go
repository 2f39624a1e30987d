package record

import "github.com/sardinehead/sardinehead/internal/vocab"

func init() {
	register[MaintenanceClaimed]()
	register[MaintenanceHeartbeat]()
	register[DisruptionsStarted]()
	register[VMJoinedPool]()
	register[VMsRebooting]()
	register[VMMaintenanceCompleted]()
	register[VMMaintenanceFailed]()
	register[VMMaintenanceCancelled]()
	register[WaveStarted]()
	register[WavePaused]()
	register[WaveResumed]()
}

// MaintenanceClaimed claims ownership of planning VM moves and VM maintenance. It
// is accepted only if Previous is the epoch in force at the record's offset, which
// then becomes the new epoch.
type MaintenanceClaimed struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Previous    vocab.Epoch       `json:"previous"`
	// UnixSeconds is the claimer's wall clock, in seconds since the Unix epoch.
	UnixSeconds int64 `json:"at"`
}

// RecordKind implements Body.
func (MaintenanceClaimed) RecordKind() Kind { return "maintenance.claimed" }

// MaintenanceHeartbeat is the heartbeat of the maintenance owner.
type MaintenanceHeartbeat struct {
	Epoch vocab.Epoch `json:"epoch"`
	// Sequence numbers the heartbeats of one epoch.
	Sequence uint64 `json:"sequence"`
}

// RecordKind implements Body.
func (MaintenanceHeartbeat) RecordKind() Kind { return "maintenance.held" }

// DisruptionsStarted takes VMs out of service. No other record does. It is accepted
// only if Base is the offset of the last accepted record that its writer must have
// read: another DisruptionsStarted, a claim, a failed maintenance of a VM, or a
// start, pause or resumption of the wave. A delayed copy, or a decision made
// without such a record, therefore has no effect.
type DisruptionsStarted struct {
	Epoch   vocab.Epoch            `json:"epoch"`
	Base    vocab.Offset           `json:"base"`
	Left    []VMLeftPool           `json:"left,omitempty"`
	Started []VMMaintenanceStarted `json:"started,omitempty"`
}

// RecordKind implements Body.
func (DisruptionsStarted) RecordKind() Kind { return "maintenance.begun" }

// VMLeftPool takes a VM out of a pool. The VM belongs to no pool until its
// VMJoinedPool record.
type VMLeftPool struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	From        vocab.PoolID        `json:"from"`
	To          vocab.PoolID        `json:"to"`
}

// VMMaintenanceStarted starts to drain a VM, which is then rebooted.
type VMMaintenanceStarted struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
}

// VMJoinedPool completes a VM's move between pools. Pool is the pool that the VM
// moved to, or the one it left if the move was undone.
type VMJoinedPool struct {
	Epoch vocab.Epoch  `json:"epoch"`
	VM    vocab.VMID   `json:"vm"`
	Pool  vocab.PoolID `json:"pool"`
}

// RecordKind implements Body.
func (VMJoinedPool) RecordKind() Kind { return "maintenance.joined" }

// VMsRebooting records that drained VMs were ordered to reboot.
type VMsRebooting struct {
	Epoch vocab.Epoch  `json:"epoch"`
	VMs   []vocab.VMID `json:"vms"`
}

// RecordKind implements Body.
func (VMsRebooting) RecordKind() Kind { return "maintenance.rebooting" }

// VMMaintenanceCompleted records that a VM is ready again with a later incarnation.
type VMMaintenanceCompleted struct {
	Epoch       vocab.Epoch         `json:"epoch"`
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	// UnixSeconds is the owner's wall clock, in seconds since the Unix epoch.
	UnixSeconds int64 `json:"at"`
}

// RecordKind implements Body.
func (VMMaintenanceCompleted) RecordKind() Kind { return "maintenance.done" }

// VMMaintenanceFailed records that a VM was not ready again in time after its
// reboot.
type VMMaintenanceFailed struct {
	Epoch vocab.Epoch `json:"epoch"`
	VM    vocab.VMID  `json:"vm"`
}

// RecordKind implements Body.
func (VMMaintenanceFailed) RecordKind() Kind { return "maintenance.failed" }

// VMMaintenanceCancelled cancels the maintenance of a VM before its reboot.
type VMMaintenanceCancelled struct {
	Epoch vocab.Epoch `json:"epoch"`
	VM    vocab.VMID  `json:"vm"`
}

// RecordKind implements Body.
func (VMMaintenanceCancelled) RecordKind() Kind { return "maintenance.cancelled" }

// WaveStarted starts a maintenance wave, in which every VM is maintained once. It
// comes from the owner or from an operator, and is accepted only if Wave is one
// more than the number of the last wave. While a wave is paused, only an operator
// can start the next one.
type WaveStarted struct {
	Epoch    vocab.Epoch `json:"epoch,omitempty"`
	Operator string      `json:"operator,omitempty"`
	Wave     uint64      `json:"wave"`
	// UnixSeconds is the writer's wall clock, in seconds since the Unix epoch.
	UnixSeconds int64 `json:"at"`
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

// WaveResumed lets a paused wave continue, by order of an operator. Paused is the
// offset of the pause that the operator saw; a later pause stays in force.
type WaveResumed struct {
	Operator string       `json:"operator"`
	Wave     uint64       `json:"wave"`
	Paused   vocab.Offset `json:"paused"`
}

// RecordKind implements Body.
func (WaveResumed) RecordKind() Kind { return "wave.resumed" }
