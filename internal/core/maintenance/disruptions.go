package maintenance

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// continueDisruptions continues the disruptions in the ledger, including those
// begun by earlier owners.
func continueDisruptions(s *Snapshot, pools *poolStates, plan *Plan) {
	for i := range s.VMs {
		continueDisruption(s, pools, plan, &s.VMs[i])
	}
}

// continueDisruption plans at most one step for a VM with a disruption in
// progress.
func continueDisruption(s *Snapshot, pools *poolStates, plan *Plan, v *VM) {
	e := s.Ledger.VMs[v.Name]
	switch {
	case e.Move != nil:
		continueMove(s, pools, plan, v, e.Move)
	case e.Maintenance.Stage != observe.MaintenanceNone:
		continueMaintenance(s, pools, plan, v, e.Maintenance)
	}
}

func continueMaintenance(s *Snapshot, pools *poolStates, plan *Plan, v *VM, u observe.Maintenance) {
	step := Step{VM: v.Name, Incarnation: v.Incarnation, From: v.Pool}
	m := s.Fleet.Maintenance
	switch {
	case v.Incarnation > u.Incarnation && v.Phase == observe.PhaseReady:
		step.Kind, step.Reason = StepFinish, "ready under a later incarnation"
		plan.addStep(step)
	case v.Incarnation > u.Incarnation:
		planFailure(plan, v, u, step, v.StageFor >= maxDrainTime(s, v.Pool)+m.RebootTimeout.D())
	case u.Stage == observe.MaintenanceFailed:
		retryReboot(plan, v, step, m.RebootTimeout.D())
	case u.Stage == observe.MaintenanceRebooting || v.Reboot.Sent:
		awaitReboot(plan, v, u, step, m.RebootTimeout.D())
	default:
		continueDrain(s, pools, plan, v, step)
	}
}

// planFailure records that the VM did not become ready if it is late, else
// waits.
func planFailure(plan *Plan, v *VM, u observe.Maintenance, step Step, late bool) {
	if late && u.Stage != observe.MaintenanceFailed {
		step.Kind, step.Reason = StepFail, "not ready in time after its reboot"
		plan.addStep(step)
		return
	}
	plan.addPending(v.Name, "not yet ready after its reboot")
}

// awaitReboot waits for a later incarnation of the VM and repeats the order to
// reboot if the reply was lost. After the time limit it plans to record a
// failure. The order is idempotent under its epoch and incarnation.
func awaitReboot(plan *Plan, v *VM, u observe.Maintenance, step Step, limit time.Duration) {
	since := v.StageFor
	if v.Reboot.Sent {
		since = v.Reboot.SinceFirst
	}
	if since >= limit {
		planFailure(plan, v, u, step, true)
		return
	}
	replyLost := v.Reboot.Sent && v.Reboot.due()
	outcomeUnknown := !v.Reboot.Sent && v.StageFor >= limit/2 // an earlier owner may have ordered it
	if replyLost || outcomeUnknown {
		step.Kind, step.Reason = StepReboot, "no reply to the order to reboot"
		plan.addStep(step)
		return
	}
	plan.addPending(v.Name, "not yet ready after its reboot")
}

// retryReboot repeats at intervals the reboot of a VM that failed to become
// ready, because the order may never have arrived.
func retryReboot(plan *Plan, v *VM, step Step, limit time.Duration) {
	since := v.StageFor
	if v.Reboot.Sent {
		since = min(since, v.Reboot.SinceLast)
	}
	if since >= limit {
		step.Kind, step.Reason = StepReboot, "not ready in time after its reboot"
		plan.addStep(step)
		return
	}
	plan.addPending(v.Name, "not ready in time after its reboot")
}

func continueDrain(s *Snapshot, pools *poolStates, plan *Plan, v *VM, step Step) {
	p := pools.byName[v.Pool]
	belowBudget := p != nil && p.budgetViolation() != ""
	switch {
	case v.Gone:
		plan.addPending(v.Name, "missing from the VM list while draining")
		return
	case !v.Drain.Sent && (belowBudget || v.Assign.Sent):
		cancelMaintenance(plan, v, step)
		return
	case v.Drain.due():
		step.Kind, step.Reason = StepDrain, "taken out for maintenance"
	case v.isDrained(maxDrainTime(s, v.Pool)):
		step.Kind, step.Reason = StepReboot, "drained, runs no work"
	default:
		plan.addPending(v.Name, "drains")
		return
	}
	plan.addStep(step)
}

// cancelMaintenance returns a VM to its pool if this owner did not order its
// drain. An earlier owner may have done so; the order to assign ends that
// drain.
func cancelMaintenance(plan *Plan, v *VM, step Step) {
	step.Reason = "its pool fell below its budget before the drain"
	switch {
	case v.Assign.Confirmed:
		step.Kind = StepCancel
	case v.assignDue(v.Pool):
		step.Kind, step.To = StepAssign, v.Pool
	default:
		plan.addPending(v.Name, "being returned to its pool")
		return
	}
	plan.addStep(step)
}

// isDrained reports whether the VM has no work left: after the drain was
// confirmed, all nodes had time to stop sending it work and it is known to be
// idle, or the longest possible run has ended. A node that lags behind the log
// may still send it work within drainPropagationTime.
func (v *VM) isDrained(limit time.Duration) bool {
	if !v.Drain.Confirmed {
		return false
	}
	return v.Drain.SinceConfirmed >= limit || (v.Idle && v.Drain.SinceConfirmed >= drainPropagationTime)
}

// maxDrainTime returns the time after which no work sent to a draining VM of
// the pool still runs. It never cuts a run short: if the run limit exceeds the
// configured drain time, the run limit applies.
func maxDrainTime(s *Snapshot, pool vocab.PoolID) time.Duration {
	limit := s.Fleet.Maintenance.DrainTimeout.D()
	if svc, ok := s.Fleet.ServiceOfPool(pool); ok {
		limit = max(limit, svc.TimeLimits.Run.D()+drainPropagationTime)
	}
	return limit
}

func continueMove(s *Snapshot, pools *poolStates, plan *Plan, v *VM, m *Move) {
	to := destination(s, pools, v, m)
	step := Step{VM: v.Name, Incarnation: v.Incarnation, From: m.From, To: to}
	switch {
	case to == m.To && v.ListedPool == to:
		step.Kind, step.Reason = StepJoin, "the VM list has it in pool "+string(to)
	case v.ListedPool == to && v.AssignTo == to && v.Assign.Confirmed:
		step.Kind, step.Reason = StepJoin, "the move was cancelled"
	case to == m.To && v.Drain.due():
		step.Kind, step.Reason = StepDrain, "left pool "+string(m.From)
	case to == m.To && !v.isDrained(maxDrainTime(s, m.From)):
		plan.addPending(v.Name, "draining before it joins pool "+string(to))
		return
	case v.assignDue(to):
		step.Kind, step.Reason = StepAssign, "drained, can join pool "+string(to)
	default:
		plan.addPending(v.Name, "not yet listed in pool "+string(to))
		return
	}
	plan.addStep(step)
}

// destination returns the pool in which the VM's move ends. That is the
// intended pool, or the former pool if the drain was not ordered and that pool
// fell below its budget, or the spare pool if neither is configured any more.
func destination(s *Snapshot, pools *poolStates, v *VM, m *Move) vocab.PoolID {
	from := pools.byName[m.From]
	returning := v.AssignTo == m.From
	if from != nil && !v.Drain.Sent && (returning || from.budgetViolation() != "") {
		return m.From
	}
	for _, pool := range []vocab.PoolID{m.To, m.From} {
		if _, ok := pools.byName[pool]; ok {
			return pool
		}
	}
	if spare := pools.sparePool(); spare != nil {
		return spare.spec.Name
	}
	return m.From
}

// assignDue reports whether the order to assign the VM to the pool must be sent
// now.
func (v *VM) assignDue(pool vocab.PoolID) bool {
	return v.AssignTo != pool || v.Assign.due()
}

// outForMaintenance reports whether the VM is out of service for a maintenance
// that has neither finished nor failed. A draining VM that the VM list lacks
// counts as failed.
func outForMaintenance(v *VM, e VMState) bool {
	switch {
	case v.Phase == observe.PhaseReady || v.Incarnation > e.Maintenance.Incarnation:
		return false
	case e.Maintenance.Stage == observe.MaintenanceDraining:
		return !v.Gone
	default:
		return e.Maintenance.Stage == observe.MaintenanceRebooting
	}
}

// drainOverdue reports whether the drain of a VM in maintenance has taken so
// long that its pool should not count on the VM.
func drainOverdue(s *Snapshot, v *VM, e VMState) bool {
	limit := maxDrainTime(s, v.Pool) + s.Fleet.Maintenance.RebootTimeout.D()
	return e.Maintenance.Stage == observe.MaintenanceDraining && v.StageFor >= limit
}
