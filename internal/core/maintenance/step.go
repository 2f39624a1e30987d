package maintenance

import (
	"cmp"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// StepKind tells what a step does.
type StepKind uint8

const (
	// StepMaintain begins the maintenance of a ready VM.
	StepMaintain StepKind = iota
	// StepMove begins the move of a ready VM to another pool.
	StepMove
	// StepDrain orders the platform to drain a VM that the ledger has taken out.
	StepDrain
	// StepReboot orders a drained VM to reboot.
	StepReboot
	// StepFinish records that a VM came back.
	StepFinish
	// StepFail records that a VM did not come back in time.
	StepFail
	// StepCancel takes back a maintenance whose drain was not ordered.
	StepCancel
	// StepAssign orders the platform to put a VM that left its pool into another.
	StepAssign
	// StepJoin records that a VM arrived in its pool.
	StepJoin
	// StepStartWave records a new wave.
	StepStartWave
	// StepPauseWave records that too many VMs did not come back.
	StepPauseWave
)

var stepNames = [...]string{
	"maintain", "move", "drain", "reboot", "finish", "fail", "cancel", "assign", "join", "start-wave", "pause-wave",
}

// String returns the kind's name as used in dumps.
func (k StepKind) String() string {
	return stepNames[k]
}

// Step is one thing to do, with the reason for it.
type Step struct {
	Kind        StepKind
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
	// From is the VM's pool, To the pool that it joins; To is set for moves only.
	From, To vocab.PoolID
	Reason   string
}

// Wait tells why a VM is not maintained now.
type Wait struct {
	VM     vocab.VMID
	Reason string
}

// Shortage tells what a pool lacks and why it gets none.
type Shortage struct {
	Pool   vocab.PoolID
	Reason string
}

// Plan is what should happen next: steps in the order in which they are to be
// applied, the reasons of VMs that wait, and the shortages of pools.
type Plan struct {
	Steps     []Step
	Waits     []Wait
	Shortages []Shortage
}

func (p *Plan) step(s Step) {
	p.Steps = append(p.Steps, s)
}

func (p *Plan) wait(vm vocab.VMID, reason string) {
	p.Waits = append(p.Waits, Wait{VM: vm, Reason: reason})
}

// sortedKeys returns a map's keys in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
