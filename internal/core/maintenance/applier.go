package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Refusal tells why a planned step was not carried out.
type Refusal struct {
	Step   Step
	Reason string
}

// Outcome is what applying a plan gives. Bodies are appended in their order,
// before or after the orders alike: an order whose record is required before it
// is a step of its own, planned after the record was folded.
type Outcome struct {
	Orders  []event.Effect
	Bodies  []record.Body
	Done    []Step
	Refused []Refusal
}

// Apply checks each step against the newest snapshot and returns what carries
// out those that still hold. All steps that take VMs out of service share one
// record, so the fold takes them together or not at all.
func Apply(steps []Step, newest *Snapshot) Outcome {
	a := applier{s: newest, t: newTallies(newest), vms: map[vocab.VMID]*VM{}}
	a.epoch = newest.Ledger.Owner.Epoch
	a.room = waveRoom(newest, a.t)
	for i := range newest.VMs {
		a.vms[newest.VMs[i].Name] = &newest.VMs[i]
	}
	for _, step := range steps {
		if reason := a.apply(step); reason != "" {
			a.out.Refused = append(a.out.Refused, Refusal{Step: step, Reason: reason})
			continue
		}
		a.out.Done = append(a.out.Done, step)
	}
	a.finish()
	return a.out
}

type applier struct {
	s     *Snapshot
	t     *tallies
	vms   map[vocab.VMID]*VM
	epoch vocab.Epoch
	room  int
	begun record.DisruptionsBegun
	reset []vocab.VMID // VMs ordered to reboot
	out   Outcome
}

// apply takes one step in and returns "", or why it does not hold.
func (a *applier) apply(step Step) string {
	if step.Kind.needsLog() && !a.s.LogUp {
		return "the log is down"
	}
	switch step.Kind {
	case StepStartWave, StepPauseWave:
		return a.applyWave(step)
	}
	v, ok := a.vms[step.VM]
	if !ok || v.Incarnation != step.Incarnation {
		return "the VM is not the one that the step was planned for"
	}
	switch step.Kind {
	case StepMaintain:
		return a.maintain(step, v)
	case StepMove:
		return a.move(step, v)
	default:
		return a.continueVM(step, v)
	}
}

// needsLog reports whether the step is a record.
func (k StepKind) needsLog() bool {
	return k != StepDrain && k != StepReboot && k != StepAssign
}

func (a *applier) maintain(step Step, v *VM) string {
	p := a.t.byName[v.Pool]
	if p == nil || v.Pool != step.From || !due(a.s, v) {
		return "the VM is no longer due in that pool"
	}
	if reason := refuseMaintenance(a.s, p, v, a.room); reason != "" {
		return reason
	}
	p.take(v)
	p.occupy(v)
	a.room--
	a.begun.Started = append(a.begun.Started, record.VMMaintenanceStarted{VM: v.Name, Incarnation: v.Incarnation})
	return ""
}

func (a *applier) move(step Step, v *VM) string {
	from, to := a.t.byName[step.From], a.t.byName[step.To]
	if from == nil || to == nil || v.Pool != step.From {
		return "the VM or the pool changed"
	}
	if reason := refuseMove(a.s, from, to, v); reason != "" {
		return reason
	}
	from.take(v)
	a.begun.Left = append(a.begun.Left, record.VMLeftPool{
		VM: v.Name, Incarnation: v.Incarnation, From: step.From, To: step.To,
	})
	return ""
}

// continueVM carries on what is under way if the planner would do the same now.
func (a *applier) continueVM(step Step, v *VM) string {
	again := Plan{}
	planVM(a.s, a.t, &again, v)
	if len(again.Steps) != 1 || again.Steps[0].Kind != step.Kind || again.Steps[0].To != step.To {
		return "the VM went on meanwhile"
	}
	order := VMOrder{VM: v.Name, Incarnation: v.Incarnation, Epoch: a.epoch}
	switch step.Kind {
	case StepDrain:
		a.order(OrderDrain{Order: order})
	case StepReboot:
		a.order(OrderReboot{Order: order})
		if a.s.Ledger.VMs[v.Name].Upkeep.Stage == observe.UpkeepDrain {
			a.reset = append(a.reset, v.Name)
		}
	case StepAssign:
		a.order(OrderAssign{Order: order, Pool: step.To})
	case StepCancel:
		a.order(OrderAssign{Order: order, Pool: step.From})
		a.record(record.VMMaintenanceCancelled{Epoch: a.epoch, VM: v.Name})
	case StepJoin:
		a.record(record.VMJoinedPool{Epoch: a.epoch, VM: v.Name, Pool: step.To})
	case StepFinish:
		a.record(record.VMMaintained{Epoch: a.epoch, VM: v.Name, Incarnation: v.Incarnation, At: a.s.Unix})
	case StepFail:
		a.record(record.VMMaintenanceFailed{Epoch: a.epoch, VM: v.Name})
	}
	return ""
}

func (a *applier) applyWave(step Step) string {
	number := a.s.Ledger.Wave.Number
	if step.Kind == StepPauseWave {
		a.record(record.WavePaused{Epoch: a.epoch, Wave: number, Reason: step.Reason})
		return ""
	}
	if a.s.Hold != "" {
		return a.s.Hold
	}
	a.record(record.WaveStarted{Epoch: a.epoch, Wave: number + 1, At: a.s.Unix})
	return ""
}

func (a *applier) order(e event.Effect) {
	a.out.Orders = append(a.out.Orders, e)
}

func (a *applier) record(b record.Body) {
	a.out.Bodies = append(a.out.Bodies, b)
}

func (a *applier) finish() {
	if len(a.reset) > 0 && a.s.LogUp {
		a.record(record.VMsRebooting{Epoch: a.epoch, VMs: a.reset})
	}
	if len(a.begun.Started)+len(a.begun.Left) > 0 {
		a.begun.Epoch, a.begun.Base = a.epoch, a.s.Ledger.Begun
		a.record(a.begun)
	}
}
