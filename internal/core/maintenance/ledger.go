package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Ledger is the replicated state of moves and maintenance, folded from the log
// alone, so all nodes at the same offset have equal ledgers. Equal ledgers have
// the same JSON encoding, which is used for snapshots and digests.
type Ledger struct {
	Owner Owner `json:"owner"`
	// DisruptionBase is the offset that the next DisruptionsStarted must name as
	// its base. It is that of the last record that affects whether a disruption
	// may begin, so a record decided without knowledge of it is refused.
	DisruptionBase vocab.Offset `json:"begun"`
	// FirstClaim is the time of the first accepted claim of ownership, in
	// seconds since the Unix epoch.
	FirstClaim int64                  `json:"first_claim"`
	Wave       Wave                   `json:"wave"`
	VMs        map[vocab.VMID]VMState `json:"vms"`
}

// Owner is the node that may plan. The zero value means that there is none.
type Owner struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Epoch       vocab.Epoch       `json:"epoch"`
}

// Wave is the state of the newest wave, in which each VM is maintained once.
type Wave struct {
	// Number is 0 before the first wave.
	Number uint64 `json:"number"`
	// StartedAt is in seconds since the Unix epoch.
	StartedAt int64 `json:"started_at"`
	// Returned counts the VMs that became ready in time after their reboot,
	// since the latest of these: the start of the wave, its last resumption,
	// and the last VM that failed to.
	Returned int `json:"returned"`
	// Failed counts the VMs that did not become ready in time after their
	// reboot, since the start of the wave or its last resumption.
	Failed int `json:"failed"`
	// PauseOffset is the offset of the pause in force, 0 if there is none.
	PauseOffset vocab.Offset `json:"paused"`
	// PauseReason is why the wave is paused.
	PauseReason string `json:"reason,omitempty"`
}

// VMState is the ledger's state of one VM.
type VMState struct {
	// Pool is the pool that the VM last joined; empty if it was never moved.
	Pool vocab.PoolID `json:"pool,omitempty"`
	// Move is the move in progress, nil if there is none.
	Move *Move `json:"move,omitempty"`
	// Maintenance is the maintenance in progress, if any.
	Maintenance observe.Maintenance `json:"upkeep"`
	// LastWave is the number of the last wave in which the VM was maintained.
	LastWave uint64 `json:"wave,omitempty"`
	// MaintainedAt is the time when the last maintenance ended, in seconds
	// since the Unix epoch; 0 if there was none.
	MaintainedAt int64 `json:"maintained_at,omitempty"`
}

// Move is the move of a VM from one pool to another.
type Move struct {
	From        vocab.PoolID        `json:"from"`
	To          vocab.PoolID        `json:"to"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
}

// disrupted reports whether a move or a maintenance of the VM is in progress.
func (e VMState) disrupted() bool {
	return e.Move != nil || e.Maintenance.Stage != observe.MaintenanceNone
}

// assignment returns the VM's pool as far as the ledger determines it. A VM
// that is being moved belongs to no pool.
func (e VMState) assignment() observe.Assignment {
	if e.Move != nil {
		return observe.Assignment{Known: true}
	}
	return observe.Assignment{Known: e.Pool != "", Pool: e.Pool}
}

// NewLedger returns the ledger of an empty log.
func NewLedger() *Ledger {
	return &Ledger{VMs: map[vocab.VMID]VMState{}}
}

// isOwnerEpoch reports whether the epoch is that of the current owner.
func (l *Ledger) isOwnerEpoch(epoch vocab.Epoch) bool {
	return epoch != 0 && epoch == l.Owner.Epoch
}

// mayControlWave reports whether a wave record comes from the owner or an
// operator.
func (l *Ledger) mayControlWave(epoch vocab.Epoch, operator string) bool {
	return operator != "" || l.isOwnerEpoch(epoch)
}
