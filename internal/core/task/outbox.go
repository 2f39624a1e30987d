package task

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// lane is a priority class of queued records. A batch takes records of a lane
// only after all records of the lanes before it.
type lane int

const (
	// ownerLane holds claims and the owner's records.
	ownerLane lane = iota
	// callerLane holds the tasks that callers submit and the cancellations.
	callerLane
	// snapshotLane holds the parts of snapshots.
	snapshotLane
	laneCount
)

// batchState is the state of the current batch.
type batchState int

const (
	noBatch batchState = iota
	// batchSent: sent, outcome not yet reported.
	batchSent
	// batchAppended: on the stream, but not completely read back.
	batchAppended
	// batchUnknown: may or may not be on the stream.
	batchUnknown
	// batchUnsent: to be sent, for the first time or again. The last append, if
	// any, is taken not to be on the stream.
	batchUnsent
)

// outbox holds the queued records and the one batch that is being appended. A
// batch is finished when all its records were read back. Until then no other
// batch is sent. A batch that is sent again carries the same record IDs, so that
// records that are on the stream twice can be recognized.
type outbox struct {
	lanes        [laneCount][]record.Envelope
	lastSequence uint64
	batchID      uint64
	state        batchState
	records      []record.Envelope
	// unconfirmed holds the IDs of the batch's records that were not read back yet.
	unconfirmed map[vocab.RecordID]bool
	sentAt      vocab.Instant
	// stateSince is the time when the batch got its current state.
	stateSince vocab.Instant
	// nextAppend is the earliest instant of the next append.
	nextAppend vocab.Instant
	// appendCount and recordCount count the appends sent and the records in them.
	appendCount uint64
	recordCount uint64
}

// queueRecord queues a record and returns its ID.
func (c *Controller) queueRecord(l lane, body record.Body) vocab.RecordID {
	o := &c.outbox
	o.lastSequence++
	id := vocab.RecordID(fmt.Sprintf("%s/%x/%d", c.settings.Node, uint64(c.settings.Incarnation), o.lastSequence))
	envelope, err := record.Encode(id, body)
	if err != nil {
		c.fail(err)
		return id
	}
	o.lanes[l] = append(o.lanes[l], envelope)
	return id
}

// removeQueued removes a record that was never sent. It reports whether the
// record was still queued.
func (o *outbox) removeQueued(l lane, id vocab.RecordID) bool {
	for i, e := range o.lanes[l] {
		if e.ID == id {
			o.lanes[l] = append(o.lanes[l][:i:i], o.lanes[l][i+1:]...)
			return true
		}
	}
	return false
}

// sendBatch sends the next batch, or the current one again, if it is due.
func (c *Controller) sendBatch() {
	o := &c.outbox
	if c.fatalErr != nil || !c.loader.CaughtUp() || c.log.failed || c.now.Before(o.nextAppend) {
		return
	}
	c.retryUnknownBatch()
	if o.state == noBatch {
		c.fillBatch()
	}
	if o.state != batchUnsent || len(o.records) == 0 {
		return
	}
	o.batchID++
	o.appendCount++
	o.recordCount += uint64(len(o.records))
	o.state, o.stateSince, o.sentAt = batchSent, c.now, c.now
	o.nextAppend = c.now.Add(c.settings.AppendInterval)
	c.emit(AppendRecords{
		Batch:    o.batchID,
		Stream:   c.settings.Shard,
		Records:  o.records,
		NotAfter: c.now.Add(appendTimeout),
	})
}

// fillBatch takes queued records for the next batch, in the order of the lanes.
func (c *Controller) fillBatch() {
	o := &c.outbox
	var records []record.Envelope
	size := 0
	for l := range o.lanes {
		taken := 0
		for _, e := range o.lanes[l] {
			if len(records) > 0 && (len(records) >= maxBatchRecords || size+len(e.Body) > maxBatchBytes) {
				break
			}
			records = append(records, e)
			size += len(e.Body)
			taken++
		}
		o.lanes[l] = o.lanes[l][taken:]
		if len(o.lanes[l]) > 0 {
			break
		}
		o.lanes[l] = nil
	}
	if len(records) == 0 {
		return
	}
	o.records = records
	o.unconfirmed = make(map[vocab.RecordID]bool, len(records))
	for _, e := range records {
		o.unconfirmed[e.ID] = true
	}
	o.state = batchUnsent
	c.markSent(records)
}

// retryUnknownBatch makes a batch with an unknown outcome ready to be sent again,
// if the stream was read to its end at least appendOutcomeDelay after the append
// and the batch was not completely read back.
func (c *Controller) retryUnknownBatch() {
	o := &c.outbox
	if o.state != batchUnknown || !c.log.caughtUp {
		return
	}
	if c.log.lastRead.Before(o.stateSince.Add(appendOutcomeDelay)) {
		return
	}
	o.state = batchUnsent
}

// onAppendCompleted handles the outcome of an append.
func (c *Controller) onAppendCompleted(e AppendCompleted) {
	o := &c.outbox
	if e.Batch != o.batchID || o.state != batchSent {
		return
	}
	o.stateSince = c.now
	switch e.Code {
	case Appended:
		o.state = batchAppended
	case AppendNotSent:
		o.state = batchUnsent
	case AppendRejected:
		o.state = batchUnsent
		c.rejectBatch()
	default:
		o.state = batchUnknown
		c.markLogFailed()
	}
}

// rejectBatch refuses the calls whose records are in a batch that the log
// rejected, and keeps the other records for another append.
func (c *Controller) rejectBatch() {
	o := &c.outbox
	kept := o.records[:0:0]
	for _, e := range o.records {
		if c.refuseCall(e.ID, "the log rejected the record") {
			delete(o.unconfirmed, e.ID)
			continue
		}
		kept = append(kept, e)
	}
	o.records = kept
	if len(kept) == 0 {
		o.state = noBatch
	}
	o.nextAppend = c.now.Add(appendOutcomeDelay)
}

// confirm marks a record of the batch as read back. It reports whether the record
// is part of the batch and was not read back before.
func (o *outbox) confirm(id vocab.RecordID) bool {
	if !o.unconfirmed[id] {
		return false
	}
	delete(o.unconfirmed, id)
	return true
}

// finishBatch ends the batch when all its records were read back.
func (c *Controller) finishBatch() {
	o := &c.outbox
	if o.state == noBatch || len(o.unconfirmed) > 0 {
		return
	}
	records := o.records
	o.state, o.records = noBatch, nil
	for _, e := range records {
		c.releaseIgnoredStart(e)
	}
}

// abandonBatch drops the current batch. It is used when the part of the stream
// that would show the batch's outcome was trimmed.
func (c *Controller) abandonBatch() {
	o := &c.outbox
	for _, e := range o.records {
		if call, ok := c.pendingCalls.byRecord[e.ID]; ok {
			delete(c.pendingCalls.byRecord, e.ID)
			c.answerUnknown(call)
		}
	}
	o.state, o.records, o.unconfirmed = noBatch, nil, nil
}

func (c *Controller) emit(e event.Effect) {
	c.effects = append(c.effects, e)
}
