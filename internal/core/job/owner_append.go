package job

import "slices"

// The owner writes its state to the stream in appends of bounded size: the store
// refuses appends that are too large, and the owner could never continue after one.

// deferredAction is an action to run once the changes up to the change number are on
// the stream.
type deferredAction struct {
	changes uint64
	run     func()
}

// afterWrite defers an action until all changes made so far are on the stream.
func (o *owner) afterWrite(f func()) { o.actions = append(o.actions, deferredAction{o.changes, f}) }

// markChanged marks a job whose state must be written to the stream.
func (o *owner) markChanged(active *activeJob) {
	if active.dirty {
		return
	}
	active.dirty = true
	o.changes++
	o.dirty = append(o.dirty, active)
}

// hasPendingWrites reports whether anything waits for the next append.
func (o *owner) hasPendingWrites() bool {
	return len(o.dirty) > 0 || len(o.extraRecords) > 0 || len(o.actions) > 0 || len(o.pendingOrders) > 0 || o.joined != nil || o.resigned
}

// flush sends one append with as many of the changed jobs as it may hold. The others
// wait for the next append.
func (o *owner) flush() {
	batch := o.joined
	o.joined = nil
	var records []Record
	if batch != nil {
		records = slices.Clone(batch.records)
	}
	records = append(records, o.extraRecords...)
	o.extraRecords = nil
	size := recordBytes(records)
	count := 0
	var actions []func()
	var finished []*activeJob
	for _, active := range o.dirty {
		if count > 0 && size > maxAppendBytes {
			break
		}
		count++
		written := o.encodeJob(active)
		size += recordBytes(written)
		records = append(records, written...)
		if active.terminalPhaseWritten {
			finished = append(finished, active)
		} else if phase := active.phase(); phase != active.record.Phase {
			actions = append(actions, func() { active.record.Phase = phase })
		}
	}
	o.dirty = append(o.dirty[:0], o.dirty[count:]...)
	actions = append(o.takeDeferred(), actions...)
	if len(finished) > 0 {
		actions = append(actions, func() { o.finishWritten(finished) })
	}
	if o.orderLog.changed {
		records = append(records, o.orderLogRecord()...)
	}
	resigning := o.resigned && len(o.dirty) == 0
	if len(records) == 0 || resigning {
		records = append(records, o.newOwnerRecord(resigning))
	}
	if orders := o.pendingOrders; len(orders) > 0 {
		o.pendingOrders = nil
		actions = append(actions, func() { o.sendOrders(orders) })
	}
	if resigning {
		// The resignation is the owner's last record: the ownership ends here.
		actions = append(actions, func() { o.s.loseOwnership("resigned") })
	}
	o.sendAppend(records, actions)
	o.pendingAppend.batch = batch
}

// orderLogRecord returns the record of the orders since the last one.
func (o *owner) orderLogRecord() []Record {
	record, err := o.orderLog.record(o.fence)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "key", record.Key, "error", err.Error())
		return nil
	}
	return []Record{record}
}

// takeDeferred removes and returns the deferred actions whose changes are all written
// by the append being built or earlier ones.
func (o *owner) takeDeferred() []func() {
	written := o.changes - uint64(len(o.dirty))
	var actions []func()
	for len(o.actions) > 0 && o.actions[0].changes <= written {
		actions = append(actions, o.actions[0].run)
		o.actions = o.actions[1:]
	}
	return actions
}

// encodeJob returns the records of a changed job; none if its terminal phase has been
// written before.
func (o *owner) encodeJob(active *activeJob) []Record {
	active.dirty = false
	if active.terminalPhaseWritten {
		return nil
	}
	o.pruneGrants(active)
	record, err := encodeProgress(active.record.ID, active.phase(), active.taskRows())
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "job", active.record.ID, "error", err.Error())
		return nil
	}
	if active.terminalPhase == 0 {
		return []Record{record}
	}
	active.terminalPhaseWritten = true
	return append([]Record{record}, o.compactAcceptance(active)...)
}

// recordBytes returns the approximate size of records in an append, in bytes.
func recordBytes(records []Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}
