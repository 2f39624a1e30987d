package observe

import "github.com/sardinehead/sardinehead/internal/vocab"

// observation holds all that is known about one VM. poolAndPhase derives the pool
// and the phase in vm from the other fields.
type observation struct {
	vm VM

	listed Row  // newest accepted row of the VM list
	inList bool // whether the newest reading of the VM list has the VM

	leavingIncarnation vocab.VMIncarnation // incarnation reported as leaving by its upstream, 0 for none
	leavingReportedAt  vocab.Instant

	failedProbes int  // consecutive failed probes of the current incarnation
	unresponsive bool // connections to the current incarnation got no response

	assignment  Assignment
	maintenance Maintenance
}

// Assignment is the pool of a VM according to the maintenance ledger. It takes
// precedence over the pool in the VM list.
type Assignment struct {
	// Known is false while the ledger has no entry for the VM.
	Known bool
	// Pool is empty while the VM is in transition between pools.
	Pool vocab.PoolID
}

// Maintenance is the maintenance of a VM according to the maintenance ledger.
type Maintenance struct {
	Stage MaintenanceStage
	// Incarnation is the incarnation to be rebooted. The stage no longer applies
	// once the VM list shows a later one.
	Incarnation vocab.VMIncarnation
}

// MaintenanceStage is the stage that the maintenance of a VM has reached.
type MaintenanceStage uint8

const (
	// MaintenanceNone means that no maintenance is in progress.
	MaintenanceNone MaintenanceStage = iota
	// MaintenanceDraining means that the VM is being drained.
	MaintenanceDraining
	// MaintenanceRebooting means that the VM was ordered to reboot.
	MaintenanceRebooting
	// MaintenanceFailed means that no later incarnation appeared in time after the
	// reboot order.
	MaintenanceFailed
)

// resetForNewIncarnation clears the leaving report and the health of the earlier
// incarnation.
func (o *observation) resetForNewIncarnation() {
	o.leavingIncarnation = 0
	o.failedProbes = 0
	o.unresponsive = false
}

// poolAndPhase derives the pool and the phase of the VM.
func (o *observation) poolAndPhase() (vocab.PoolID, Phase) {
	pool := o.listed.Pool
	if o.assignment.Known {
		pool = o.assignment.Pool
		if pool == "" {
			return "", PhaseInTransition
		}
	}
	return pool, o.phase(pool)
}

// phase derives the phase of the VM, given its pool.
func (o *observation) phase(pool vocab.PoolID) Phase {
	if stage := o.activeStage(); stage != MaintenanceNone {
		return phaseByStage[stage]
	}
	if !o.inList || o.listed.Phase == ListGone {
		return PhaseLost
	}
	if o.listed.Phase == ListLeaving || o.leavingIncarnation == o.vm.Incarnation {
		return PhaseDraining
	}
	if o.listed.Pool != pool {
		return PhaseUnknown // the VM list does not show the move to this pool yet
	}
	if o.unresponsive || o.failedProbes >= maxFailedProbes {
		return PhaseUnknown
	}
	return PhaseReady
}

var phaseByStage = map[MaintenanceStage]Phase{
	MaintenanceDraining:  PhaseDraining,
	MaintenanceRebooting: PhaseRebooting,
	MaintenanceFailed:    PhaseLost,
}

// activeStage returns the maintenance stage, or MaintenanceNone if the VM list shows a
// later incarnation than the one to be rebooted.
func (o *observation) activeStage() MaintenanceStage {
	if o.vm.Incarnation > o.maintenance.Incarnation {
		return MaintenanceNone
	}
	return o.maintenance.Stage
}
