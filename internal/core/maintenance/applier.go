package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Refusal is a planned step that no longer applied, and the reason.
type Refusal struct {
	Step   Step
	Reason string
}

// Outcome is the result of applying a plan. Records are appended in their
// order. They need no order relative to Orders: where a record has to precede
// an order, the order is a later step, planned after the record was folded.
type Outcome struct {
	Orders  []event.Effect
	Records []record.Body
	Applied []Step
	Refused []Refusal
}

// Apply checks each step against the newest snapshot and returns the orders and
// records of those that still apply. All steps that take VMs out of service
// share one record, so the fold accepts or refuses them together.
func Apply(steps []Step, newest *Snapshot) Outcome {
	a := applier{snapshot: newest, pools: newPoolStates(newest), vms: map[vocab.VMID]*VM{}}
	a.epoch = newest.Ledger.Owner.Epoch
	a.waveCapacity = waveCapacity(newest, a.pools)
	for i := range newest.VMs {
		a.vms[newest.VMs[i].Name] = &newest.VMs[i]
	}
	for _, step := range steps {
		if reason := a.apply(step); reason != "" {
			a.out.Refused = append(a.out.Refused, Refusal{Step: step, Reason: reason})
			continue
		}
		a.out.Applied = append(a.out.Applied, step)
	}
	a.addSharedRecords()
	return a.out
}

type applier struct {
	snapshot     *Snapshot
	pools        *poolStates
	vms          map[vocab.VMID]*VM
	epoch        vocab.Epoch
	waveCapacity int
	disruptions  record.DisruptionsStarted
	rebooted     []vocab.VMID // VMs ordered to reboot
	out          Outcome
}

// apply adds the orders and records of one step, or returns why it no longer
// applies.
func (a *applier) apply(step Step) string {
	if step.Kind.needsLog() && !a.snapshot.LogUp {
		return "the log is down"
	}
	switch step.Kind {
	case StepStartWave, StepPauseWave:
		return a.applyWave(step)
	}
	v, ok := a.vms[step.VM]
	if !ok || v.Incarnation != step.Incarnation {
		return "the VM is gone or has another incarnation than planned for"
	}
	switch step.Kind {
	case StepMaintain:
		return a.startMaintenance(step, v)
	case StepMove:
		return a.startMove(step, v)
	default:
		return a.continueDisruption(step, v)
	}
}

// needsLog reports whether the step is carried out by a record.
func (k StepKind) needsLog() bool {
	return k != StepDrain && k != StepReboot && k != StepAssign
}

func (a *applier) startMaintenance(step Step, v *VM) string {
	p := a.pools.byName[v.Pool]
	if p == nil || v.Pool != step.From || !isDue(a.snapshot, v) {
		return "the VM is no longer due in that pool"
	}
	if reason := checkMaintenance(a.snapshot, p, v, a.waveCapacity); reason != "" {
		return reason
	}
	p.markOutOfService(v)
	p.countMaintenance(v)
	a.waveCapacity--
	a.disruptions.Started = append(a.disruptions.Started, record.VMMaintenanceStarted{VM: v.Name, Incarnation: v.Incarnation})
	return ""
}

func (a *applier) startMove(step Step, v *VM) string {
	from, to := a.pools.byName[step.From], a.pools.byName[step.To]
	if from == nil || to == nil || v.Pool != step.From {
		return "the VM or the pool changed"
	}
	if reason := checkMove(a.snapshot, from, to, v); reason != "" {
		return reason
	}
	from.markOutOfService(v)
	a.disruptions.Left = append(a.disruptions.Left, record.VMLeftPool{
		VM: v.Name, Incarnation: v.Incarnation, From: step.From, To: step.To,
	})
	return ""
}

// continueDisruption applies the step if the planner would still plan the same
// one.
func (a *applier) continueDisruption(step Step, v *VM) string {
	current := Plan{}
	continueDisruption(a.snapshot, a.pools, &current, v)
	if len(current.Steps) != 1 || current.Steps[0].Kind != step.Kind || current.Steps[0].To != step.To {
		return "another step applies to the VM now"
	}
	order := VMOrder{VM: v.Name, Incarnation: v.Incarnation, Epoch: a.epoch}
	switch step.Kind {
	case StepDrain:
		a.addOrder(OrderDrain{Order: order})
	case StepReboot:
		a.addOrder(OrderReboot{Order: order})
		if a.snapshot.Ledger.VMs[v.Name].Maintenance.Stage == observe.MaintenanceDraining {
			a.rebooted = append(a.rebooted, v.Name)
		}
	case StepAssign:
		a.addOrder(OrderAssign{Order: order, Pool: step.To})
	case StepCancel:
		a.addOrder(OrderAssign{Order: order, Pool: step.From})
		a.addRecord(record.VMMaintenanceCancelled{Epoch: a.epoch, VM: v.Name})
	case StepJoin:
		a.addRecord(record.VMJoinedPool{Epoch: a.epoch, VM: v.Name, Pool: step.To})
	case StepFinish:
		a.addRecord(record.VMMaintenanceCompleted{Epoch: a.epoch, VM: v.Name, Incarnation: v.Incarnation, UnixSeconds: a.snapshot.Unix})
	case StepFail:
		a.addRecord(record.VMMaintenanceFailed{Epoch: a.epoch, VM: v.Name})
	}
	return ""
}

func (a *applier) applyWave(step Step) string {
	number := a.snapshot.Ledger.Wave.Number
	if step.Kind == StepPauseWave {
		a.addRecord(record.WavePaused{Epoch: a.epoch, Wave: number, Reason: step.Reason})
		return ""
	}
	if a.snapshot.HoldReason != "" {
		return a.snapshot.HoldReason
	}
	a.addRecord(record.WaveStarted{Epoch: a.epoch, Wave: number + 1, UnixSeconds: a.snapshot.Unix})
	return ""
}

func (a *applier) addOrder(e event.Effect) {
	a.out.Orders = append(a.out.Orders, e)
}

func (a *applier) addRecord(b record.Body) {
	a.out.Records = append(a.out.Records, b)
}

// addSharedRecords adds the records that several steps share.
func (a *applier) addSharedRecords() {
	if len(a.rebooted) > 0 && a.snapshot.LogUp {
		a.addRecord(record.VMsRebooting{Epoch: a.epoch, VMs: a.rebooted})
	}
	if len(a.disruptions.Started)+len(a.disruptions.Left) > 0 {
		a.disruptions.Epoch, a.disruptions.Base = a.epoch, a.snapshot.Ledger.DisruptionBase
		a.addRecord(a.disruptions)
	}
}
