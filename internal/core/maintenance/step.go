package maintenance

import (
	"cmp"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// StepKind is the kind of action that a step takes.
type StepKind uint8

const (
	// StepMaintain starts the maintenance of a ready VM.
	StepMaintain StepKind = iota
	// StepMove starts the move of a ready VM to another pool.
	StepMove
	// StepDrain orders the platform to drain a VM whose disruption is recorded.
	StepDrain
	// StepReboot orders the platform to reboot a drained VM.
	StepReboot
	// StepFinish records that a VM is ready again after its reboot.
	StepFinish
	// StepFail records that a VM was not ready in time after its reboot.
	StepFail
	// StepCancel cancels a maintenance whose drain this owner did not order.
	StepCancel
	// StepAssign orders the platform to assign a VM that left its pool to
	// another pool.
	StepAssign
	// StepJoin records that a VM joined its pool.
	StepJoin
	// StepStartWave records a new wave.
	StepStartWave
	// StepPauseWave records that the wave is paused because too many VMs
	// failed.
	StepPauseWave
)

var stepNames = [...]string{
	"maintain", "move", "drain", "reboot", "finish", "fail", "cancel", "assign", "join", "start-wave", "pause-wave",
}

// String returns the kind's name as shown to operators.
func (k StepKind) String() string {
	return stepNames[k]
}

// Step is one planned action and the reason for it.
type Step struct {
	Kind        StepKind
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
	// From is the VM's pool. To is the pool that a move ends in and is empty
	// for other steps.
	From, To vocab.PoolID
	Reason   string
}

// PendingVM is a VM for which no step is planned now, and the reason.
type PendingVM struct {
	VM     vocab.VMID
	Reason string
}

// Shortfall is why a pool has fewer VMs than it needs. Status encodes its fields
// under their Go names.
type Shortfall struct {
	Pool   vocab.PoolID
	Reason string
}

// Plan holds the steps to take now, in the order in which they are to be
// applied, the VMs that have to wait and the pools that have too few VMs.
type Plan struct {
	Steps      []Step
	Pending    []PendingVM
	Shortfalls []Shortfall
}

func (p *Plan) addStep(s Step) {
	p.Steps = append(p.Steps, s)
}

func (p *Plan) addPending(vm vocab.VMID, reason string) {
	p.Pending = append(p.Pending, PendingVM{VM: vm, Reason: reason})
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
