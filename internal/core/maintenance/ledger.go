package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Ledger is the shared state of moves and maintenance, folded from the log
// only. It is equal on all nodes at an equal offset. Its JSON form is the same
// for equal ledgers and serves as snapshot and for a digest.
type Ledger struct {
	Owner Owner `json:"owner"`
	// Begun is the offset that the next DisruptionsBegun must name as its base:
	// that of the last record that a decision to begin something must know.
	Begun vocab.Offset `json:"begun"`
	// FirstClaim is when planning first began, in seconds since the Unix epoch.
	FirstClaim int64                `json:"first_claim"`
	Wave       Wave                 `json:"wave"`
	VMs        map[vocab.VMID]Entry `json:"vms"`
}

// Owner is the node that may plan. The zero value means that nobody does.
type Owner struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Epoch       vocab.Epoch       `json:"epoch"`
}

// Wave is the newest round of maintenance.
type Wave struct {
	// Number is 0 before the first wave.
	Number uint64 `json:"number"`
	// StartedAt is in seconds since the Unix epoch.
	StartedAt int64 `json:"started_at"`
	// Returned counts VMs that came back in time since the wave began or was
	// resumed, or since the last one that did not.
	Returned int `json:"returned"`
	// Failed counts VMs that did not come back since the wave was last resumed.
	Failed int `json:"failed"`
	// Paused is the offset of the pause in force, 0 if there is none.
	Paused vocab.Offset `json:"paused"`
	// Reason tells why the wave is paused.
	Reason string `json:"reason,omitempty"`
}

// Entry is the ledger's word on one VM.
type Entry struct {
	// Pool is the VM's pool by its last move; empty if it was never moved.
	Pool vocab.PoolID `json:"pool,omitempty"`
	// Move is the move under way, if any.
	Move *Move `json:"move,omitempty"`
	// Upkeep is the maintenance under way, if any.
	Upkeep observe.Upkeep `json:"upkeep"`
	// Wave is the number of the last wave that maintained the VM.
	Wave uint64 `json:"wave,omitempty"`
	// MaintainedAt is in seconds since the Unix epoch.
	MaintainedAt int64 `json:"maintained_at,omitempty"`
}

// Move is a VM's way from one pool to another.
type Move struct {
	From        vocab.PoolID        `json:"from"`
	To          vocab.PoolID        `json:"to"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
}

// busy reports whether a move or a maintenance of the VM is under way.
func (e Entry) busy() bool {
	return e.Move != nil || e.Upkeep.Stage != observe.UpkeepNone
}

// assignment returns the ledger's word on the VM's pool.
func (e Entry) assignment() observe.Assignment {
	if e.Move != nil {
		return observe.Assignment{Known: true}
	}
	return observe.Assignment{Known: e.Pool != "", Pool: e.Pool}
}

// NewLedger returns the ledger of an empty log.
func NewLedger() *Ledger {
	return &Ledger{VMs: map[vocab.VMID]Entry{}}
}

func (l *Ledger) owns(epoch vocab.Epoch) bool {
	return epoch != 0 && epoch == l.Owner.Epoch
}

// mayDirect reports whether a wave record comes from the owner or an operator.
func (l *Ledger) mayDirect(epoch vocab.Epoch, operator string) bool {
	return operator != "" || l.owns(epoch)
}
