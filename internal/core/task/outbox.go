package task

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// lane orders the records that wait for an append.
type lane int

const (
	// ownerLane has the owner's own records; they go first.
	ownerLane lane = iota
	// callerLane has what callers handed in.
	callerLane
	// snapshotLane has the parts of snapshots.
	snapshotLane
	laneCount
)

// batchState is the position of the append under way.
type batchState int

const (
	noBatch batchState = iota
	// batchSent: no outcome yet.
	batchSent
	// batchAppended: on the stream, and not yet read back.
	batchAppended
	// batchDoubtful: the outcome is unknown.
	batchDoubtful
	// batchUnsent: certainly not on the stream; to be sent again.
	batchUnsent
)

// outbox holds the records that wait for an append and the one append under
// way. A batch ends when all its records were read back. Until then no other is
// sent, and if it has to be sent again it carries the same record IDs.
type outbox struct {
	lanes    [laneCount][]record.Envelope
	sequence uint64
	batch    uint64
	state    batchState
	records  []record.Envelope
	// unread has the IDs of the batch that were not read back yet.
	unread  map[vocab.RecordID]bool
	sentAt  vocab.Instant
	stateAt vocab.Instant
	nextAt  vocab.Instant
	// appends and appended count what was sent, for the budget.
	appends  uint64
	appended uint64
}

// add queues a record and returns its ID.
func (c *Controller) add(l lane, body record.Body) vocab.RecordID {
	o := &c.out
	o.sequence++
	id := vocab.RecordID(fmt.Sprintf("%s/%x/%d", c.set.Node, uint64(c.set.Incarnation), o.sequence))
	envelope, err := record.Encode(id, body)
	if err != nil {
		c.giveUp(err)
		return id
	}
	o.lanes[l] = append(o.lanes[l], envelope)
	return id
}

// withdraw takes back a record that was not sent.
func (o *outbox) withdraw(l lane, id vocab.RecordID) bool {
	for i, e := range o.lanes[l] {
		if e.ID == id {
			o.lanes[l] = append(o.lanes[l][:i:i], o.lanes[l][i+1:]...)
			return true
		}
	}
	return false
}

// flush sends the next batch, if it is time.
func (c *Controller) flush() {
	o := &c.out
	if c.broken != nil || !c.loader.Done() || c.log.failed || c.now.Before(o.nextAt) {
		return
	}
	c.settleDoubt()
	if o.state == noBatch {
		c.fillBatch()
	}
	if o.state != batchUnsent || len(o.records) == 0 {
		return
	}
	o.batch++
	o.appends++
	o.appended += uint64(len(o.records))
	o.state, o.stateAt, o.sentAt = batchSent, c.now, c.now
	o.nextAt = c.now.Add(c.set.AppendEvery)
	c.emit(AppendRecords{
		Batch:    o.batch,
		Stream:   c.set.Shard,
		Records:  o.records,
		NotAfter: c.now.Add(appendTimeout),
	})
}

func (c *Controller) fillBatch() {
	o := &c.out
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
	o.unread = make(map[vocab.RecordID]bool, len(records))
	for _, e := range records {
		o.unread[e.ID] = true
	}
	o.state = batchUnsent
	c.markSent(records)
}

// settleDoubt sends a batch again that the stream does not show although it
// was read to its end well after the append.
func (c *Controller) settleDoubt() {
	o := &c.out
	if o.state != batchDoubtful || !c.log.caughtUp {
		return
	}
	if c.log.lastRead.Before(o.stateAt.Add(doubtWait)) {
		return
	}
	o.state = batchUnsent
}

// appendAnswered takes the outcome of an append.
func (c *Controller) appendAnswered(e AppendAnswered) {
	o := &c.out
	if e.Batch != o.batch || o.state != batchSent {
		return
	}
	o.stateAt = c.now
	switch e.Code {
	case Appended:
		o.state = batchAppended
	case AppendNotSent:
		o.state = batchUnsent
	case AppendRejected:
		o.state = batchUnsent
		c.refuseBatch()
	default:
		o.state = batchDoubtful
		c.logFailed()
	}
}

// refuseBatch answers the callers of a batch that the log rejected, and keeps
// the owner's records for another try.
func (c *Controller) refuseBatch() {
	o := &c.out
	kept := o.records[:0:0]
	for _, e := range o.records {
		if c.refuseRecord(e.ID, "the log rejected the record") {
			delete(o.unread, e.ID)
			continue
		}
		kept = append(kept, e)
	}
	o.records = kept
	if len(kept) == 0 {
		o.state = noBatch
	}
	o.nextAt = c.now.Add(doubtWait)
}

// readBack notes a record of the batch that was read. It reports whether the
// record was of the batch.
func (o *outbox) readBack(id vocab.RecordID) bool {
	if !o.unread[id] {
		return false
	}
	delete(o.unread, id)
	return true
}

// settleBatch ends the batch once all of it was read back.
func (c *Controller) settleBatch() {
	o := &c.out
	if o.state == noBatch || len(o.unread) > 0 {
		return
	}
	records := o.records
	o.state, o.records = noBatch, nil
	for _, e := range records {
		c.settleIntent(e)
	}
}

// abandonBatch drops the append under way, whose fate can't be read any more.
func (c *Controller) abandonBatch() {
	o := &c.out
	for _, e := range o.records {
		if k, ok := c.calls.byRecord[e.ID]; ok {
			delete(c.calls.byRecord, e.ID)
			c.answerUnknown(k)
		}
	}
	o.state, o.records, o.unread = noBatch, nil, nil
}

func (c *Controller) emit(e event.Effect) {
	c.effects = append(c.effects, e)
}
