package job

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The owner writes its state to the stream in appends of bounded size: the store
// refuses appends that are too large, and the owner could never continue after one.

// ownerAppend is an append of the owner. It is repeated with the same ID and sequence
// number until its outcome is known.
type ownerAppend struct {
	id      uint64
	records []Record
	actions []func()
	// batch holds the records for callers in the append, its first ones, or is nil.
	batch   *recordBatch
	retryAt vocab.Instant
	// unanswered counts the attempts without a response; sentAt is the time when the last one was
	// sent.
	unanswered int
	sentAt     vocab.Instant
	// refused counts the attempts that were certainly not carried out.
	refused int
	// firstSentAt is the time when the first attempt was sent.
	firstSentAt vocab.Instant
	// last is set if its last record ends the ownership.
	last bool
}

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
	if o.resigned {
		o.writeLearned()
	}
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
		if count > 0 && size > min(maxAppendBytes, o.s.appendLimit()/4) {
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
	switch {
	case resigning:
		records = append(records, o.lastRecord())
	case len(records) == 0:
		records = append(records, encodeOwner(o.ownerRecord()))
	}
	if orders := o.pendingOrders; len(orders) > 0 {
		o.pendingOrders = nil
		actions = append(actions, func() { o.sendOrders(orders) })
	}
	o.sendAppend(records, actions)
	o.pendingAppend.batch, o.pendingAppend.last = batch, resigning
}

// orderLogRecord returns the record of the orders since the last one.
func (o *owner) orderLogRecord() []Record {
	record, err := o.orderLog.record(o.fence, o.s.wall)
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
	record, rows, err := o.encodeRows(active)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "job", active.record.ID, "error", err.Error())
		return nil
	}
	if active.terminalPhase == 0 {
		return []Record{record}
	}
	active.terminalPhaseWritten, active.stoppingWritten = true, len(rows) > 0
	if active.stoppingWritten {
		return []Record{record}
	}
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

// sendAppend sends an append with the owner's fence. The actions run once it has
// succeeded.
func (o *owner) sendAppend(records []Record, actions []func()) {
	o.pendingAppend = &ownerAppend{id: o.s.newAppendID(), records: records, actions: actions, firstSentAt: o.s.now}
	o.emitAppend()
}

func (o *owner) emitAppend() {
	o.pendingAppend.retryAt, o.pendingAppend.sentAt = 0, o.s.now
	o.pendingAppend.unanswered++
	o.s.emit(Append{ID: o.pendingAppend.id, Records: o.pendingAppend.records, At: -1, Fence: o.fence, Seq: o.seq})
}

// handleAppended processes the response to the owner's append.
func (o *owner) handleAppended(e Appended) {
	if o.pendingAppend == nil || e.ID != o.pendingAppend.id {
		return
	}
	switch e.Outcome {
	case OK:
		o.appendSucceeded(e)
	case Fenced:
		o.s.loseOwnership("the stream has seen a later owner")
	default:
		o.pendingAppend.unanswered--
		o.pendingAppend.retryAt = o.s.now.Add(streamRetryDelay)
		o.pendingAppend.refused++
		o.logRefused(e)
	}
}

// logRefused logs that the append in progress was not carried out: the first time, and at each doubling
// of the number of times.
func (o *owner) logRefused(e Appended) {
	p := o.pendingAppend
	if p.refused&(p.refused-1) != 0 || e.Outcome != NotDone {
		return
	}
	var largest Record
	for _, r := range p.records {
		if r.size() > largest.size() {
			largest = r
		}
	}
	o.s.logEvent(LogAppendRefused, "times", p.refused, "since_ms", o.s.now.Sub(p.firstSentAt).Milliseconds(), "records", len(p.records),
		"bytes", recordBytes(p.records), "largest_key", largest.Key, "largest_bytes", largest.size(), "error", errorText(e.Err))
}

// repeatAppend repeats the append in progress after a failure, or if its response is
// overdue: the owner should not wait for the timeout of the call when a response is
// lost. The stream applies repeated appends only once, by their sequence number.
func (o *owner) repeatAppend() {
	if o.pendingAppend == nil || o.pendingAppend.unanswered >= maxAppendAttempts {
		return
	}
	overdue := o.s.now.Sub(o.pendingAppend.sentAt) > max(appendRepeatDelay, appendRepeatFactor*o.appendLatency)
	if o.pendingAppend.retryAt != 0 && o.s.now >= o.pendingAppend.retryAt || overdue {
		o.emitAppend()
	}
}

// appendSucceeded extends the owner's authority, continues the takeover after the fencing
// append, and runs the actions of the append.
func (o *owner) appendSucceeded(e Appended) {
	sent := o.pendingAppend
	o.pendingAppend, o.appendLatency = nil, o.s.now.Sub(e.SentAt)
	o.seq++
	o.ordersUntil = max(o.ordersUntil, e.SentAt.Add(orderAuthority))
	o.leasesUntil = max(o.leasesUntil, e.SentAt.Add(leaseAuthority))
	if o.stage == stageFencing {
		o.stage, o.readTo = stageReading, e.End
		o.s.readNow()
		o.activateIfRead()
		return
	}
	if sent.batch != nil {
		o.s.batchAppended(sent.batch, e)
	}
	if sent.last {
		o.completeHandover(sent, e)
		return
	}
	for _, run := range sent.actions {
		if o.s.owner != o {
			return
		}
		run()
	}
}
