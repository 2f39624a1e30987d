package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Fold applies one record and returns what it changed.
func (l *Ledger) Fold(offset vocab.Offset, body record.Body) LedgerChanged {
	before := l.Owner.Epoch
	changed, accepted := l.Apply(offset, body)
	return LedgerChanged{Body: body, VMs: changed, Accepted: accepted, NewOwner: l.Owner.Epoch != before}
}

// Apply folds one record. It returns the VMs whose entries changed, in the
// order of the record, and whether the record was accepted. A record under an
// epoch other than the current one changes nothing, unless it is an operator's.
func (l *Ledger) Apply(offset vocab.Offset, body record.Body) (changed []vocab.VMID, accepted bool) {
	switch b := body.(type) {
	case record.MaintenanceClaimed:
		return nil, l.applyClaim(offset, b)
	case record.MaintenanceHeartbeat:
		return nil, l.isOwnerEpoch(b.Epoch)
	case record.DisruptionsStarted:
		return l.applyDisruptions(offset, b)
	case record.VMJoinedPool:
		return l.updateVM(b.Epoch, b.VM, func(e *VMState) bool { return e.finishMove(b.Pool) })
	case record.VMsRebooting:
		return l.applyRebooting(b)
	case record.VMMaintenanceCompleted:
		return l.updateVM(b.Epoch, b.VM, func(e *VMState) bool { return l.applyMaintained(e, b) })
	case record.VMMaintenanceFailed:
		return l.updateVM(b.Epoch, b.VM, func(e *VMState) bool { return l.applyFailed(offset, e) })
	case record.VMMaintenanceCancelled:
		return l.updateVM(b.Epoch, b.VM, (*VMState).cancelMaintenance)
	default:
		ok := l.applyWaveRecord(offset, body)
		if ok {
			l.DisruptionBase = offset
		}
		return nil, ok
	}
}

func (l *Ledger) applyClaim(offset vocab.Offset, b record.MaintenanceClaimed) bool {
	if b.Previous != l.Owner.Epoch {
		return false
	}
	l.Owner = Owner{Node: b.Node, Incarnation: b.Incarnation, Epoch: vocab.Epoch(offset)}
	l.DisruptionBase = offset
	if l.FirstClaim == 0 {
		l.FirstClaim = b.UnixSeconds
	}
	return true
}

func (l *Ledger) applyDisruptions(offset vocab.Offset, b record.DisruptionsStarted) ([]vocab.VMID, bool) {
	if !l.isOwnerEpoch(b.Epoch) || b.Base != l.DisruptionBase {
		return nil, false
	}
	l.DisruptionBase = offset
	var changed []vocab.VMID
	for _, m := range b.Left {
		if l.startMove(m) {
			changed = append(changed, m.VM)
		}
	}
	for _, m := range b.Started {
		if l.startMaintenance(m) {
			changed = append(changed, m.VM)
		}
	}
	return changed, true
}

func (l *Ledger) startMove(m record.VMLeftPool) bool {
	e := l.VMs[m.VM]
	if e.disrupted() || m.From == m.To || (e.Pool != "" && e.Pool != m.From) {
		return false
	}
	e.Move = &Move{From: m.From, To: m.To, Incarnation: m.Incarnation}
	l.VMs[m.VM] = e
	return true
}

func (l *Ledger) startMaintenance(m record.VMMaintenanceStarted) bool {
	e := l.VMs[m.VM]
	if e.disrupted() || l.Wave.PauseOffset != 0 {
		return false
	}
	e.Maintenance = observe.Maintenance{Stage: observe.MaintenanceDraining, Incarnation: m.Incarnation}
	l.VMs[m.VM] = e
	return true
}

func (l *Ledger) updateVM(epoch vocab.Epoch, vm vocab.VMID, edit func(*VMState) bool) ([]vocab.VMID, bool) {
	e, ok := l.VMs[vm]
	if !ok || !l.isOwnerEpoch(epoch) || !edit(&e) {
		return nil, false
	}
	l.VMs[vm] = e
	return []vocab.VMID{vm}, true
}

func (e *VMState) finishMove(pool vocab.PoolID) bool {
	if e.Move == nil || pool == "" {
		return false
	}
	e.Pool = pool
	e.Move = nil
	return true
}

func (e *VMState) cancelMaintenance() bool {
	if e.Maintenance.Stage != observe.MaintenanceDraining {
		return false
	}
	e.Maintenance = observe.Maintenance{}
	return true
}

func (l *Ledger) applyRebooting(b record.VMsRebooting) (changed []vocab.VMID, accepted bool) {
	for _, vm := range b.VMs {
		one, ok := l.updateVM(b.Epoch, vm, (*VMState).markRebooting)
		changed = append(changed, one...)
		accepted = accepted || ok
	}
	return changed, accepted
}

func (e *VMState) markRebooting() bool {
	if e.Maintenance.Stage != observe.MaintenanceDraining {
		return false
	}
	e.Maintenance.Stage = observe.MaintenanceRebooting
	return true
}

func (l *Ledger) applyMaintained(e *VMState, b record.VMMaintenanceCompleted) bool {
	if e.Maintenance.Stage == observe.MaintenanceNone || b.Incarnation <= e.Maintenance.Incarnation {
		return false
	}
	if e.Maintenance.Stage != observe.MaintenanceFailed {
		l.Wave.Returned++ // a VM that became ready late is no evidence of a good image
	}
	e.Maintenance = observe.Maintenance{}
	e.LastWave = l.Wave.Number
	e.MaintainedAt = b.UnixSeconds
	return true
}

func (l *Ledger) applyFailed(offset vocab.Offset, e *VMState) bool {
	if e.Maintenance.Stage == observe.MaintenanceNone || e.Maintenance.Stage == observe.MaintenanceFailed {
		return false
	}
	e.Maintenance.Stage = observe.MaintenanceFailed
	l.Wave.Failed++
	l.Wave.Returned = 0
	l.DisruptionBase = offset
	return true
}

func (l *Ledger) applyWaveRecord(offset vocab.Offset, body record.Body) bool {
	switch b := body.(type) {
	case record.WaveStarted:
		return l.startWave(b)
	case record.WavePaused:
		if b.Wave != l.Wave.Number || !l.mayControlWave(b.Epoch, b.Operator) {
			return false
		}
		l.Wave.PauseOffset, l.Wave.PauseReason = offset, b.Reason
		return true
	case record.WaveResumed:
		if b.Wave != l.Wave.Number || l.Wave.PauseOffset == 0 || b.Paused != l.Wave.PauseOffset {
			return false
		}
		l.Wave.PauseOffset, l.Wave.PauseReason = 0, ""
		l.Wave.Failed, l.Wave.Returned = 0, 0
		return true
	default:
		return false
	}
}

func (l *Ledger) startWave(b record.WaveStarted) bool {
	if b.Wave != l.Wave.Number+1 || !l.mayControlWave(b.Epoch, b.Operator) {
		return false
	}
	if l.Wave.PauseOffset != 0 && b.Operator == "" {
		return false // only an operator may end a pause
	}
	l.Wave = Wave{Number: b.Wave, StartedAt: b.UnixSeconds}
	return true
}
