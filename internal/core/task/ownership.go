package task

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ownership is the state that a node keeps while it owns the shard. It can be
// rebuilt from the ledger and from queries to the workers.
type ownership struct {
	epoch    vocab.Epoch
	waiting  *placement.Waiting
	attempts map[vocab.TaskID]*attempt
	// newAttempts are the attempts announced by records of the last read, which
	// are to be started.
	newAttempts []*attempt
	workers     workerStates
	// reservations holds the attempts whose announcement is queued for the log
	// and was not read back.
	reservations map[vocab.TaskID]reservation
	// candidates are the tasks for which capacity is being freed on a worker,
	// and candidateOrder their IDs, oldest first.
	candidates      map[vocab.TaskID]*preemptionCandidate
	candidateOrder  []vocab.TaskID
	parked          map[vocab.TaskID]bool
	nextUnparkCheck vocab.Instant
	// delayed holds the tasks that may have crashed a worker or have failed often and wait before they
	// are placed, and until when.
	delayed map[vocab.TaskID]vocab.Instant
	// ended lists the ended tasks whose results are kept, in the order in which
	// they expire.
	ended []endedTask
	// needsPlacement means that something changed since the last pass of
	// placement, so that another pass may place more.
	needsPlacement bool
	nextPlacement  vocab.Instant
	// lastRecordQueued is the time when a record of the owner was last queued.
	lastRecordQueued vocab.Instant
	lastSnapshot     vocab.Instant
	// snapshotID is the ID of the last record of the latest snapshot.
	snapshotID vocab.RecordID
}

// reservation is the capacity of a worker and the slot of a team that are taken
// for an attempt whose announcement was not read back from the log yet.
type reservation struct {
	attempt record.Attempt
	worker  vocab.VMID
}

// endedTask is an ended task and the instant from which its retention counts.
type endedTask struct {
	task vocab.TaskID
	at   vocab.Instant
}

// updateOwnership begins or ends this node's ownership to match the ledger.
func (c *Controller) updateOwnership() {
	owner := c.loader.ledger.Owner()
	owned := owner.Epoch != 0 && owner.Node == c.settings.Node && owner.Incarnation == c.settings.Incarnation
	if c.ownership != nil && (!owned || c.ownership.epoch != owner.Epoch) {
		c.endOwnership()
	}
	if owned && c.ownership == nil {
		c.beginOwnership(owner.Epoch)
	}
}

// beginOwnership sets up the ownership state from the ledger.
func (c *Controller) beginOwnership(epoch vocab.Epoch) {
	c.ownership = &ownership{
		epoch:            epoch,
		waiting:          placement.NewWaiting(),
		attempts:         map[vocab.TaskID]*attempt{},
		reservations:     map[vocab.TaskID]reservation{},
		candidates:       map[vocab.TaskID]*preemptionCandidate{},
		parked:           map[vocab.TaskID]bool{},
		delayed:          map[vocab.TaskID]vocab.Instant{},
		lastRecordQueued: c.now,
		lastSnapshot:     c.now,
	}
	c.syncTasks(c.loader.ledger.sortedTasks())
}

// endOwnership drops the ownership state, the unsent owner records and the pending
// orders, and releases all reserved capacity.
func (c *Controller) endOwnership() {
	own := c.ownership
	if own == nil {
		return
	}
	for _, a := range own.attempts {
		c.releaseAttempt(a)
	}
	for id, res := range own.reservations {
		c.releaseCapacity(res.worker, id)
	}
	for id, cand := range own.candidates {
		c.releaseCapacity(cand.worker, id)
	}
	c.ownership = nil
	c.mayStartUntil = 0
	c.pendingOrders = map[OrderID]pendingOrder{}
	c.outbox.lanes[ownerLane] = nil
	c.outbox.lanes[snapshotLane] = nil
	c.pendingClaim = ""
}

// releaseCapacity releases the worker capacity and the team slot of a task.
func (c *Controller) releaseCapacity(worker vocab.VMID, id vocab.TaskID) {
	c.fleet.Release(worker, id)
	if t, ok := c.loader.ledger.Task(id); ok {
		c.settings.Account.Release(t.Team)
	}
	if c.ownership != nil {
		c.ownership.needsPlacement = true
	}
}

// mayStart reports whether this node may order starts now.
func (c *Controller) mayStart() bool {
	return c.ownership != nil && c.now.Before(c.mayStartUntil)
}

// queueOwnerRecord queues a record that only the owner may append.
func (c *Controller) queueOwnerRecord(body record.Body) vocab.RecordID {
	c.ownership.lastRecordQueued = c.now
	return c.queueRecord(ownerLane, body)
}

// renewOwnership queues a heartbeat if no record of the owner was queued within the
// last ownerRenewInterval and none still waits to be sent.
func (c *Controller) renewOwnership() {
	own := c.ownership
	if c.now.Sub(own.lastRecordQueued) < ownerRenewInterval || len(c.outbox.lanes[ownerLane]) > 0 {
		return
	}
	c.queueOwnerRecord(record.TaskOwnerRenewed{Epoch: own.epoch})
}

// claimIfOwnerTimedOut claims the shard if no heartbeat of its owner was read for
// ownerTimeout. If several nodes claim, the first claim on the stream takes
// effect and the others change nothing.
func (c *Controller) claimIfOwnerTimedOut() {
	owner := c.loader.ledger.Owner()
	if !c.settings.MayOwn || c.ownership != nil || c.pendingClaim != "" || !c.streamIsCurrent() {
		return
	}
	timeout := c.claimDelay(owner.Epoch)
	if owner.Epoch != 0 {
		timeout += ownerTimeout
	}
	if c.now.Sub(max(c.lastOwnerHeartbeat, c.log.readableSince)) < timeout {
		return
	}
	c.pendingClaim = c.queueRecord(ownerLane, record.TaskOwnerClaimed{
		Shard:       c.settings.Shard,
		Node:        c.settings.Node,
		Incarnation: c.settings.Incarnation,
		Replaces:    owner.Epoch,
	})
}

// streamIsCurrent reports whether the stream was recently read to its end, so
// that missing heartbeats are due to the owner and not to the log.
func (c *Controller) streamIsCurrent() bool {
	return !c.log.failed && c.log.caughtUp && c.now.Sub(c.log.lastRead) <= 2*MaxReadInterval
}

// claimDelay returns the time by which this node delays its claim: a fraction of
// maxClaimDelay that differs between nodes and epochs.
func (c *Controller) claimDelay(epoch vocab.Epoch) time.Duration {
	hash := xxhash.Sum64String(string(c.settings.Node)+"/"+string(c.settings.Shard)) + uint64(epoch)
	const steps = 16
	return maxClaimDelay * time.Duration(hash%steps) / steps
}
