package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// forgetExpired queues a record that drops the tasks that ended at least
// Settings.ResultRetention ago. A new owner counts the time from the beginning of its
// ownership, so results may be kept longer.
func (c *Controller) forgetExpired() {
	own := c.ownership
	var expired []vocab.TaskID
	for len(own.ended) > 0 && len(expired) < maxForgotten {
		if c.now.Sub(own.ended[0].at) < c.settings.ResultRetention {
			break
		}
		expired = append(expired, own.ended[0].task)
		own.ended = own.ended[1:]
	}
	if len(expired) > 0 {
		c.queueOwnerRecord(record.TasksForgotten{Epoch: own.epoch, Tasks: expired})
	}
}

// snapshotIfDue queues a snapshot if the last one is old enough or many records
// followed it. Snapshots are taken well before the log drops the records that
// they replace.
func (c *Controller) snapshotIfDue() {
	own := c.ownership
	ledger := c.loader.ledger
	if len(c.outbox.lanes[snapshotLane]) > 0 || own.snapshotID != "" && c.outbox.unconfirmed[own.snapshotID] {
		return
	}
	newRecords := ledger.offset - ledger.lastSnapshot
	interval := c.settings.LogRetention / snapshotsPerRetention
	due := newRecords > recordsPerSnapshot || interval > 0 && c.now.Sub(own.lastSnapshot) > interval
	if !due || c.log.failed || newRecords == 0 {
		return
	}
	own.lastSnapshot = c.now
	chunks, err := ledger.Snapshot()
	if err != nil {
		c.fail(err)
		return
	}
	for _, chunk := range chunks {
		c.queueRecord(snapshotLane, chunk)
	}
	own.snapshotID = c.queueRecord(snapshotLane, record.TaskSnapshotDone{Offset: ledger.offset, Parts: len(chunks)})
}

// Status returns a summary of the controller's state for operators.
func (c *Controller) Status() Status {
	s := Status{
		Shard:    c.settings.Shard,
		LogDown:  c.log.failed,
		Capacity: c.fleet.Total(),
		Pending:  len(c.outbox.lanes[ownerLane]) + len(c.outbox.lanes[callerLane]) + len(c.outbox.records),
		Appends:  c.outbox.appendCount,
		Records:  c.outbox.recordCount,
	}
	if c.fatalErr != nil {
		s.FatalError = c.fatalErr.Error()
	}
	if ledger := c.Ledger(); ledger != nil {
		s.Offset, s.Owner, s.Tasks, s.LastSnapshot = ledger.offset, ledger.owner, ledger.Len(), ledger.lastSnapshot
	}
	if c.ownership == nil {
		return s
	}
	s.Owns = true
	s.Waiting = c.ownership.waiting.Len()
	s.Started = len(c.ownership.attempts)
	s.MayStartFor = max(0, time.Duration(c.mayStartUntil-c.now))
	for _, a := range c.ownership.attempts {
		if a.attemptState == attemptUnknown {
			s.UnknownOutcome++
		}
	}
	return s
}

// Demand calls visit with the number of tasks that teams have waiting, placed or
// running, if this node owns the shard. It may call visit several times for a
// team.
func (c *Controller) Demand(visit func(team vocab.TeamID, tasks int)) {
	if c.ownership == nil {
		return
	}
	c.ownership.waiting.Backlog(visit)
	for _, a := range c.ownership.attempts {
		visit(a.task.Team, 1)
	}
}
