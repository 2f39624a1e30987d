package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// forgetOld drops results that were kept for long enough. A new owner counts
// the time from its own start, so results are kept at least for ResultKeep.
func (c *Controller) forgetOld() {
	h := c.held
	var old []vocab.TaskID
	for len(h.ended) > 0 && len(old) < maxForgotten {
		if c.now.Sub(h.ended[0].at) < c.set.ResultKeep {
			break
		}
		old = append(old, h.ended[0].task)
		h.ended = h.ended[1:]
	}
	if len(old) > 0 {
		c.addOwned(record.TasksForgotten{Epoch: h.epoch, Tasks: old})
	}
}

// snapshotIfDue writes a snapshot well before the log drops the records that
// it replaces.
func (c *Controller) snapshotIfDue() {
	h := c.held
	ledger := c.loader.ledger
	if len(c.out.lanes[snapshotLane]) > 0 || h.snapshot != "" && c.out.unread[h.snapshot] {
		return
	}
	tail := ledger.offset - ledger.snapshotAt
	every := c.set.LogRetention / snapshotsPerRetention
	due := tail > snapshotRecords || every > 0 && c.now.Sub(h.snapshotAt) > every
	if !due || c.log.failed || tail == 0 {
		return
	}
	h.snapshotAt = c.now
	chunks, err := ledger.Snapshot()
	if err != nil {
		c.giveUp(err)
		return
	}
	for _, chunk := range chunks {
		c.add(snapshotLane, chunk)
	}
	h.snapshot = c.add(snapshotLane, record.TaskSnapshotDone{At: ledger.offset, Parts: len(chunks)})
}

// Status returns a summary for operators.
func (c *Controller) Status() Status {
	s := Status{
		Shard:    c.set.Shard,
		LogDown:  c.log.failed,
		Capacity: c.fleet.Total(),
		Pending:  len(c.out.lanes[ownerLane]) + len(c.out.lanes[callerLane]) + len(c.out.records),
		Appends:  c.out.appends,
		Records:  c.out.appended,
	}
	if c.broken != nil {
		s.Broken = c.broken.Error()
	}
	if ledger := c.Ledger(); ledger != nil {
		s.Offset, s.Owner, s.Known, s.LastSnap = ledger.offset, ledger.owner, ledger.Len(), ledger.snapshotAt
	}
	if c.held == nil {
		return s
	}
	s.Owns = true
	s.Waiting = c.held.waiting.Len()
	s.Started = len(c.held.runs)
	s.OwnerTill = max(0, time.Duration(c.heldUntil-c.now))
	for _, r := range c.held.runs {
		if r.phase == asking {
			s.AskedFor++
		}
	}
	return s
}

// Demand calls visit with what each team has waiting, placed or running while
// this node is the owner. A team may come up several times.
func (c *Controller) Demand(visit func(team vocab.TeamID, tasks int)) {
	if c.held == nil {
		return
	}
	c.held.waiting.Backlog(visit)
	for _, r := range c.held.runs {
		visit(r.task.Team, 1)
	}
}
