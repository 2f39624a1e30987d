package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Fold applies one record and tells what it changed.
func (l *Ledger) Fold(offset vocab.Offset, body record.Body) LedgerChanged {
	before := l.Owner.Epoch
	changed, accepted := l.Apply(offset, body)
	return LedgerChanged{Body: body, VMs: changed, Accepted: accepted, NewOwner: l.Owner.Epoch != before}
}

// Apply folds one record. It returns the VMs whose entries changed, in the
// order of the record, and whether the record was accepted. A record under
// another epoch than the one in force changes nothing.
func (l *Ledger) Apply(offset vocab.Offset, body record.Body) (changed []vocab.VMID, accepted bool) {
	switch b := body.(type) {
	case record.MaintenanceClaimed:
		return nil, l.claim(offset, b)
	case record.MaintenanceHeld:
		return nil, l.owns(b.Epoch)
	case record.DisruptionsBegun:
		return l.begin(offset, b)
	case record.VMJoinedPool:
		return l.change(b.Epoch, b.VM, func(e *Entry) bool { return e.join(b.Pool) })
	case record.VMsRebooting:
		return l.rebooting(b)
	case record.VMMaintained:
		return l.change(b.Epoch, b.VM, func(e *Entry) bool { return l.maintained(e, b) })
	case record.VMMaintenanceFailed:
		return l.change(b.Epoch, b.VM, func(e *Entry) bool { return l.failed(offset, e) })
	case record.VMMaintenanceCancelled:
		return l.change(b.Epoch, b.VM, (*Entry).cancel)
	default:
		ok := l.applyWave(offset, body)
		if ok {
			l.Begun = offset
		}
		return nil, ok
	}
}

func (l *Ledger) claim(offset vocab.Offset, b record.MaintenanceClaimed) bool {
	if b.Previous != l.Owner.Epoch {
		return false
	}
	l.Owner = Owner{Node: b.Node, Incarnation: b.Incarnation, Epoch: vocab.Epoch(offset)}
	l.Begun = offset
	if l.FirstClaim == 0 {
		l.FirstClaim = b.At
	}
	return true
}

func (l *Ledger) begin(offset vocab.Offset, b record.DisruptionsBegun) ([]vocab.VMID, bool) {
	if !l.owns(b.Epoch) || b.Base != l.Begun {
		return nil, false
	}
	l.Begun = offset
	var changed []vocab.VMID
	for _, m := range b.Left {
		if l.leave(m) {
			changed = append(changed, m.VM)
		}
	}
	for _, m := range b.Started {
		if l.start(m) {
			changed = append(changed, m.VM)
		}
	}
	return changed, true
}

func (l *Ledger) leave(m record.VMLeftPool) bool {
	e := l.VMs[m.VM]
	if e.busy() || m.From == m.To || (e.Pool != "" && e.Pool != m.From) {
		return false
	}
	e.Move = &Move{From: m.From, To: m.To, Incarnation: m.Incarnation}
	l.VMs[m.VM] = e
	return true
}

func (l *Ledger) start(m record.VMMaintenanceStarted) bool {
	e := l.VMs[m.VM]
	if e.busy() || l.Wave.Paused != 0 {
		return false
	}
	e.Upkeep = observe.Upkeep{Stage: observe.UpkeepDrain, Incarnation: m.Incarnation}
	l.VMs[m.VM] = e
	return true
}

func (l *Ledger) change(epoch vocab.Epoch, vm vocab.VMID, edit func(*Entry) bool) ([]vocab.VMID, bool) {
	e, ok := l.VMs[vm]
	if !ok || !l.owns(epoch) || !edit(&e) {
		return nil, false
	}
	l.VMs[vm] = e
	return []vocab.VMID{vm}, true
}

func (e *Entry) join(pool vocab.PoolID) bool {
	if e.Move == nil || pool == "" {
		return false
	}
	e.Pool = pool
	e.Move = nil
	return true
}

func (e *Entry) cancel() bool {
	if e.Upkeep.Stage != observe.UpkeepDrain {
		return false
	}
	e.Upkeep = observe.Upkeep{}
	return true
}

func (l *Ledger) rebooting(b record.VMsRebooting) (changed []vocab.VMID, accepted bool) {
	for _, vm := range b.VMs {
		one, ok := l.change(b.Epoch, vm, (*Entry).reboot)
		changed = append(changed, one...)
		accepted = accepted || ok
	}
	return changed, accepted
}

func (e *Entry) reboot() bool {
	if e.Upkeep.Stage != observe.UpkeepDrain {
		return false
	}
	e.Upkeep.Stage = observe.UpkeepReboot
	return true
}

func (l *Ledger) maintained(e *Entry, b record.VMMaintained) bool {
	if e.Upkeep.Stage == observe.UpkeepNone || b.Incarnation <= e.Upkeep.Incarnation {
		return false
	}
	if e.Upkeep.Stage != observe.UpkeepFailed {
		l.Wave.Returned++ // one that is back late proves nothing
	}
	e.Upkeep = observe.Upkeep{}
	e.Wave = l.Wave.Number
	e.MaintainedAt = b.At
	return true
}

func (l *Ledger) failed(offset vocab.Offset, e *Entry) bool {
	if e.Upkeep.Stage == observe.UpkeepNone || e.Upkeep.Stage == observe.UpkeepFailed {
		return false
	}
	e.Upkeep.Stage = observe.UpkeepFailed
	l.Wave.Failed++
	l.Wave.Returned = 0
	l.Begun = offset
	return true
}

func (l *Ledger) applyWave(offset vocab.Offset, body record.Body) bool {
	switch b := body.(type) {
	case record.WaveStarted:
		return l.startWave(b)
	case record.WavePaused:
		if b.Wave != l.Wave.Number || !l.mayDirect(b.Epoch, b.Operator) {
			return false
		}
		l.Wave.Paused, l.Wave.Reason = offset, b.Reason
		return true
	case record.WaveResumed:
		if b.Wave != l.Wave.Number || l.Wave.Paused == 0 || b.Paused != l.Wave.Paused {
			return false
		}
		l.Wave.Paused, l.Wave.Reason = 0, ""
		l.Wave.Failed, l.Wave.Returned = 0, 0
		return true
	default:
		return false
	}
}

func (l *Ledger) startWave(b record.WaveStarted) bool {
	if b.Wave != l.Wave.Number+1 || !l.mayDirect(b.Epoch, b.Operator) {
		return false
	}
	if l.Wave.Paused != 0 && b.Operator == "" {
		return false // only an operator ends a pause
	}
	l.Wave = Wave{Number: b.Wave, StartedAt: b.At}
	return true
}
