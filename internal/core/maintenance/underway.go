package maintenance

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planUnderWay continues what the ledger says is under way, whoever began it.
func planUnderWay(s *Snapshot, t *tallies, plan *Plan) {
	for i := range s.VMs {
		planVM(s, t, plan, &s.VMs[i])
	}
}

// planVM plans at most one step for a VM that is under way.
func planVM(s *Snapshot, t *tallies, plan *Plan, v *VM) {
	e := s.Ledger.VMs[v.Name]
	switch {
	case e.Move != nil:
		planMove(s, t, plan, v, e.Move)
	case e.Upkeep.Stage != observe.UpkeepNone:
		planUpkeep(s, t, plan, v, e.Upkeep)
	}
}

func planUpkeep(s *Snapshot, t *tallies, plan *Plan, v *VM, u observe.Upkeep) {
	step := Step{VM: v.Name, Incarnation: v.Incarnation, From: v.Pool}
	m := s.Fleet.Maintenance
	switch {
	case v.Incarnation > u.Incarnation && v.Phase == observe.PhaseReady:
		step.Kind, step.Reason = StepFinish, "ready under a later incarnation"
		plan.step(step)
	case v.Incarnation > u.Incarnation:
		planFailure(plan, v, u, step, v.StageFor >= drainLimit(s, v.Pool)+m.Reboot.D())
	case u.Stage == observe.UpkeepFailed:
		planAnotherReboot(plan, v, step, m.Reboot.D())
	case u.Stage == observe.UpkeepReboot || v.Reboot.Sent:
		planReboot(plan, v, u, step, m.Reboot.D())
	default:
		planDrain(s, t, plan, v, step)
	}
}

// planFailure records that the VM did not come back when its time is over.
func planFailure(plan *Plan, v *VM, u observe.Upkeep, step Step, late bool) {
	if late && u.Stage != observe.UpkeepFailed {
		step.Kind, step.Reason = StepFail, "not ready in time after its reboot"
		plan.step(step)
		return
	}
	plan.wait(v.Name, "waits to come back from its reboot")
}

// planReboot waits for the later incarnation and repeats an order whose answer
// was lost. The order is idempotent under its epoch and incarnation.
func planReboot(plan *Plan, v *VM, u observe.Upkeep, step Step, limit time.Duration) {
	since := v.StageFor
	if v.Reboot.Sent {
		since = v.Reboot.First
	}
	if since >= limit {
		planFailure(plan, v, u, step, true)
		return
	}
	lost := v.Reboot.Sent && v.Reboot.due()
	unsure := !v.Reboot.Sent && v.StageFor >= limit/2 // an earlier owner ordered it
	if lost || unsure {
		step.Kind, step.Reason = StepReboot, "no answer to the order to reboot"
		plan.step(step)
		return
	}
	plan.wait(v.Name, "waits to come back from its reboot")
}

// planAnotherReboot tries now and then to get back a VM that did not come back:
// the order may never have arrived.
func planAnotherReboot(plan *Plan, v *VM, step Step, limit time.Duration) {
	since := v.StageFor
	if v.Reboot.Sent {
		since = min(since, v.Reboot.Last)
	}
	if since >= limit {
		step.Kind, step.Reason = StepReboot, "did not come back from its reboot"
		plan.step(step)
		return
	}
	plan.wait(v.Name, "did not come back from its reboot")
}

func planDrain(s *Snapshot, t *tallies, plan *Plan, v *VM, step Step) {
	p := t.byName[v.Pool]
	broken := p != nil && p.withinBudget() != ""
	switch {
	case v.Gone:
		plan.wait(v.Name, "vanished while it drained")
		return
	case !v.Drain.Sent && (broken || v.Assign.Sent):
		planCancel(plan, v, step)
		return
	case v.Drain.due():
		step.Kind, step.Reason = StepDrain, "taken out for maintenance"
	case v.drained(drainLimit(s, v.Pool)):
		step.Kind, step.Reason = StepReboot, "runs nothing any more"
	default:
		plan.wait(v.Name, "drains")
		return
	}
	plan.step(step)
}

// planCancel puts a VM back that was not drained by this owner. An earlier owner
// may have ordered its drain; the order to assign takes that back.
func planCancel(plan *Plan, v *VM, step Step) {
	step.Reason = "its pool fell below its budget before the drain"
	switch {
	case v.Assign.Done:
		step.Kind = StepCancel
	case v.assignDue(v.Pool):
		step.Kind, step.To = StepAssign, v.Pool
	default:
		plan.wait(v.Name, "is put back into its pool")
		return
	}
	plan.step(step)
}

// drained reports whether the VM runs nothing any more: it is known to be idle,
// or the longest run has passed since the platform confirmed the drain. Until
// then a node that lags behind the log may still send it work.
func (v *VM) drained(limit time.Duration) bool {
	if !v.Drain.Done {
		return false
	}
	return v.Drain.DoneFor >= limit || (v.Idle && v.Drain.DoneFor >= settleTime)
}

// drainLimit returns the time after which nothing that was sent to a draining
// VM of the pool still runs there. It never cuts off a run: where the run limit
// exceeds the drain time the run limit counts.
func drainLimit(s *Snapshot, pool vocab.PoolID) time.Duration {
	limit := s.Fleet.Maintenance.Drain.D()
	if svc, ok := s.Fleet.ServiceOfPool(pool); ok {
		limit = max(limit, svc.Limits.Run.D()+settleTime)
	}
	return limit
}

func planMove(s *Snapshot, t *tallies, plan *Plan, v *VM, m *Move) {
	to := destination(s, t, v, m)
	step := Step{VM: v.Name, Incarnation: v.Incarnation, From: m.From, To: to}
	switch {
	case to == m.To && v.ListedPool == to:
		step.Kind, step.Reason = StepJoin, "the VM list has it in pool "+string(to)
	case v.ListedPool == to && v.AssignTo == to && v.Assign.Done:
		step.Kind, step.Reason = StepJoin, "the move was taken back"
	case to == m.To && v.Drain.due():
		step.Kind, step.Reason = StepDrain, "left pool "+string(m.From)
	case to == m.To && !v.drained(drainLimit(s, m.From)):
		plan.wait(v.Name, "drains before it joins pool "+string(to))
		return
	case v.assignDue(to):
		step.Kind, step.Reason = StepAssign, "is ready to join pool "+string(to)
	default:
		plan.wait(v.Name, "waits to appear in pool "+string(to))
		return
	}
	plan.step(step)
}

// destination returns the pool where the VM's move ends: its aim, or the pool
// it left if its drain was not ordered and that pool fell below its budget, or
// another one if these are no longer configured.
func destination(s *Snapshot, t *tallies, v *VM, m *Move) vocab.PoolID {
	from := t.byName[m.From]
	takenBack := v.AssignTo == m.From
	if from != nil && !v.Drain.Sent && (takenBack || from.withinBudget() != "") {
		return m.From
	}
	for _, pool := range []vocab.PoolID{m.To, m.From} {
		if _, ok := t.byName[pool]; ok {
			return pool
		}
	}
	if spare := t.spare(); spare != nil {
		return spare.spec.Name
	}
	return m.From
}

// assignDue reports whether the order to assign the VM to the pool must be sent.
func (v *VM) assignDue(pool vocab.PoolID) bool {
	return v.AssignTo != pool || v.Assign.due()
}

// outForMaintenance reports whether the VM was taken out for a maintenance that
// is neither over nor failed. A draining VM that the list lacks failed by itself.
func outForMaintenance(v *VM, e Entry) bool {
	switch {
	case v.Phase == observe.PhaseReady || v.Incarnation > e.Upkeep.Incarnation:
		return false
	case e.Upkeep.Stage == observe.UpkeepDrain:
		return !v.Gone
	default:
		return e.Upkeep.Stage == observe.UpkeepReboot
	}
}

// overdue reports whether a VM that is out for maintenance should not be waited
// for: the platform did not confirm its drain in time.
func overdue(s *Snapshot, v *VM, e Entry) bool {
	limit := drainLimit(s, v.Pool) + s.Fleet.Maintenance.Reboot.D()
	return e.Upkeep.Stage == observe.UpkeepDrain && v.StageFor >= limit
}
