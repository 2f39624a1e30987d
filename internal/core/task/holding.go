package task

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// holding is what a node keeps while it owns the shard. All of it can be built
// again from the ledger and by asking workers.
type holding struct {
	epoch   vocab.Epoch
	waiting *placement.Waiting
	runs    map[vocab.TaskID]*run
	// fresh has runs that were intended by the last read.
	fresh   []*run
	holders holders
	bound   map[vocab.TaskID]reservation
	// nominated has the urgent tasks that wait for room to be made.
	nominated  map[vocab.TaskID]*nomination
	nominees   []vocab.TaskID
	parked     map[vocab.TaskID]bool
	nextUnpark vocab.Instant
	ended      []endedTask
	// changed means that a pass of placement may find something new.
	changed   bool
	nextPlace vocab.Instant
	// spokeAt is when the last record of the owner was queued.
	spokeAt    vocab.Instant
	snapshotAt vocab.Instant
	snapshot   vocab.RecordID
}

// reservation is room and a slot taken for an attempt that is not on the log yet.
type reservation struct {
	attempt record.Attempt
	worker  vocab.VMID
}

type endedTask struct {
	task vocab.TaskID
	at   vocab.Instant
}

// followOwnership begins or ends the holding as the ledger says.
func (c *Controller) followOwnership() {
	owner := c.loader.ledger.Owner()
	mine := owner.Epoch != 0 && owner.Node == c.set.Node && owner.Incarnation == c.set.Incarnation
	if c.held != nil && (!mine || c.held.epoch != owner.Epoch) {
		c.endHolding()
	}
	if mine && c.held == nil {
		c.beginHolding(owner.Epoch)
	}
}

func (c *Controller) beginHolding(epoch vocab.Epoch) {
	c.held = &holding{
		epoch:      epoch,
		waiting:    placement.NewWaiting(),
		runs:       map[vocab.TaskID]*run{},
		bound:      map[vocab.TaskID]reservation{},
		nominated:  map[vocab.TaskID]*nomination{},
		parked:     map[vocab.TaskID]bool{},
		spokeAt:    c.now,
		snapshotAt: c.now,
	}
	c.syncAll(c.loader.ledger.sorted())
}

func (c *Controller) endHolding() {
	h := c.held
	if h == nil {
		return
	}
	for _, r := range h.runs {
		c.releaseRun(r)
	}
	for id, b := range h.bound {
		c.releaseRoom(b.worker, id)
	}
	for id, n := range h.nominated {
		c.releaseRoom(n.worker, id)
	}
	c.held = nil
	c.heldUntil = 0
	c.orders = map[OrderID]sentOrder{}
	c.out.lanes[ownerLane] = nil
	c.out.lanes[snapshotLane] = nil
	c.claimID = ""
}

// releaseRoom gives back the room and the slot of a task.
func (c *Controller) releaseRoom(worker vocab.VMID, id vocab.TaskID) {
	c.fleet.Release(worker, id)
	if t, ok := c.loader.ledger.Task(id); ok {
		c.set.Account.Release(t.Team)
	}
	if c.held != nil {
		c.held.changed = true
	}
}

// mayStart reports whether the node may order starts now.
func (c *Controller) mayStart() bool {
	return c.held != nil && c.now.Before(c.heldUntil)
}

// addOwned queues a record of the owner.
func (c *Controller) addOwned(body record.Body) vocab.RecordID {
	c.held.spokeAt = c.now
	return c.add(ownerLane, body)
}

func (c *Controller) renewOwnership() {
	h := c.held
	if c.now.Sub(h.spokeAt) < ownerRenewEvery || len(c.out.lanes[ownerLane]) > 0 {
		return
	}
	c.addOwned(record.TaskOwnerRenewed{Epoch: h.epoch})
}

// claimIfSilent claims the shard if its owner was not heard of. A claim that
// loses against another changes nothing.
func (c *Controller) claimIfSilent() {
	owner := c.loader.ledger.Owner()
	if !c.set.MayOwn || c.held != nil || c.claimID != "" || !c.readsFlow() {
		return
	}
	patience := c.stagger(owner.Epoch)
	if owner.Epoch != 0 {
		patience += ownerSilence
	}
	if c.now.Sub(max(c.signAt, c.log.resumed)) < patience {
		return
	}
	c.claimID = c.add(ownerLane, record.TaskOwnerClaimed{
		Shard:       c.set.Shard,
		Node:        c.set.Node,
		Incarnation: c.set.Incarnation,
		Replaces:    owner.Epoch,
	})
}

// readsFlow reports whether silence on the stream is the owner's.
func (c *Controller) readsFlow() bool {
	return !c.log.failed && c.log.caughtUp && c.now.Sub(c.log.lastRead) <= 2*ReadEvery
}

// stagger returns this node's part of claimStagger for an epoch.
func (c *Controller) stagger(epoch vocab.Epoch) time.Duration {
	hash := xxhash.Sum64String(string(c.set.Node)+"/"+string(c.set.Shard)) + uint64(epoch)
	const steps = 16
	return claimStagger * time.Duration(hash%steps) / steps
}
