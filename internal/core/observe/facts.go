package observe

import "github.com/sardinehead/sardinehead/internal/vocab"

// facts holds everything known of one VM, from which conclude derives its phase.
type facts struct {
	vm VM

	listed  Row
	present bool // in the newest reading of the list

	leaving   vocab.VMIncarnation // incarnation that said it is leaving, 0 for none
	leavingAt vocab.Instant

	failedProbes int // in a row, for the current incarnation
	silent       bool

	assignment Assignment
	upkeep     Upkeep
}

// Assignment is the ledger's word on a VM's pool. It outranks the VM list.
type Assignment struct {
	// Known is false while the ledger has no word on the VM.
	Known bool
	// Pool is empty while the VM is between pools.
	Pool vocab.PoolID
}

// Upkeep is the ledger's word on a VM's maintenance.
type Upkeep struct {
	Stage UpkeepStage
	// Incarnation is the one that was to be rebooted. The stage ends when a
	// later incarnation is seen.
	Incarnation vocab.VMIncarnation
}

// UpkeepStage tells how far the maintenance of a VM has come.
type UpkeepStage uint8

const (
	// UpkeepNone means that no maintenance is under way.
	UpkeepNone UpkeepStage = iota
	// UpkeepDrain means that the VM is being drained.
	UpkeepDrain
	// UpkeepReboot means that the VM was ordered to reboot.
	UpkeepReboot
	// UpkeepFailed means that the VM did not come back in time.
	UpkeepFailed
)

// resetSigns forgets what was seen of an earlier incarnation.
func (f *facts) resetSigns() {
	f.leaving = 0
	f.failedProbes = 0
	f.silent = false
}

// conclude derives the pool and the phase.
func (f *facts) conclude() (vocab.PoolID, Phase) {
	pool := f.listed.Pool
	if f.assignment.Known {
		pool = f.assignment.Pool
		if pool == "" {
			return "", PhaseBetween
		}
	}
	return pool, f.phase(pool)
}

func (f *facts) phase(pool vocab.PoolID) Phase {
	if stage := f.openStage(); stage != UpkeepNone {
		return phaseOfStage[stage]
	}
	if !f.present || f.listed.Phase == ListGone {
		return PhaseLost
	}
	if f.listed.Phase == ListLeaving || f.leaving == f.vm.Incarnation {
		return PhaseDraining
	}
	if f.listed.Pool != pool {
		return PhaseUnknown // the platform has not carried the move out yet
	}
	if f.silent || f.failedProbes >= maxFailedProbes {
		return PhaseUnknown
	}
	return PhaseReady
}

var phaseOfStage = map[UpkeepStage]Phase{
	UpkeepDrain:  PhaseDraining,
	UpkeepReboot: PhaseRebooting,
	UpkeepFailed: PhaseLost,
}

// openStage returns the maintenance stage unless a later incarnation ended it.
func (f *facts) openStage() UpkeepStage {
	if f.vm.Incarnation > f.upkeep.Incarnation {
		return UpkeepNone
	}
	return f.upkeep.Stage
}
