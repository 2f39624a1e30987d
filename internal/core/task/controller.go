package task

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Controller manages one shard of tasks on one node. It answers callers on every
// node, and places and supervises tasks on the node that owns the shard. It is
// not safe for concurrent use.
type Controller struct {
	settings Settings
	now      vocab.Instant
	effects  []event.Effect
	loader   *Loader
	// fatalErr is the error that stopped the controller; nil while it works.
	fatalErr     error
	log          logStatus
	outbox       outbox
	pendingCalls pendingCalls
	// lastOwnerHeartbeat is the time when a record of the shard's owner was
	// last read. Every record of the owner is a heartbeat.
	lastOwnerHeartbeat vocab.Instant
	// pendingClaim is the ID of this node's claim until it is read back; empty
	// for none.
	pendingClaim vocab.RecordID
	fleet        *placement.Fleet
	estimator    *placement.Estimator
	// ownership is nil unless this node owns the shard.
	ownership *ownership
	// mayStartUntil is the instant until which the owner may order starts. Each
	// of its records that is read back extends it to ownershipValidity after
	// the record was sent.
	mayStartUntil vocab.Instant
	pendingOrders map[OrderID]pendingOrder
	lastOrderID   OrderID
	// starts holds the starts of the tasks' current attempts that this node has read as they were
	// announced. Every node follows the stream, so that a new owner knows them.
	starts map[vocab.TaskID]announcedStart
	// crashRates are the rates at which workers crash, failures and queueFailures those at which
	// attempts fail, and ownCounts the share of each task in them that has not ended. Every node keeps
	// them, so that a new owner has them.
	crashRates    crashRates
	failures      failureRate
	queueFailures map[vocab.QueueID]*failureRate
	ownCounts     map[vocab.TaskID]*ownCounts
}

// logStatus is the availability of the log as this node sees it.
type logStatus struct {
	// failed means that the last read failed or that an append since had an
	// unknown outcome.
	failed bool
	// caughtUp means that the last read reached the end of the stream.
	caughtUp bool
	lastRead vocab.Instant
	// readableSince is the start of the current run of successful reads without
	// a gap of more than 2*MaxReadInterval.
	readableSince vocab.Instant
	// lastEnd is the time of the last read that reached the end of the stream; 0 before the first.
	lastEnd vocab.Instant
}

// NewController returns a controller for the start of the stream.
func NewController(settings Settings) *Controller {
	c := &Controller{
		settings:      settings,
		loader:        NewLoader(settings.Shard),
		pendingCalls:  newPendingCalls(),
		fleet:         placement.NewFleet(),
		estimator:     placement.NewEstimator(),
		pendingOrders: map[OrderID]pendingOrder{},
		starts:        map[vocab.TaskID]announcedStart{},
		crashRates:    newCrashRates(),
		queueFailures: map[vocab.QueueID]*failureRate{},
		ownCounts:     map[vocab.TaskID]*ownCounts{},
	}
	c.fleet.QuarantineDisabled = settings.NoQuarantine
	c.estimator.Disabled = settings.NoLearning
	return c
}

// NextOffset returns the offset at which the next read of the stream must start.
func (c *Controller) NextOffset() vocab.Offset { return c.loader.NextOffset() }

// Ledger returns the ledger of the stream, or nil until the stream was read to
// its end.
func (c *Controller) Ledger() *Ledger {
	if !c.loader.CaughtUp() {
		return nil
	}
	return c.loader.ledger
}

// Step handles one event and returns the effects to carry out.
func (c *Controller) Step(now vocab.Instant, e event.Event) []event.Effect {
	c.now = now
	c.effects = nil
	if c.fatalErr == nil {
		c.dispatch(e)
		c.sendBatch()
	} else {
		c.refuseAfterFailure(e)
	}
	return c.effects
}

func (c *Controller) dispatch(e event.Event) {
	switch e := e.(type) {
	case SubmitRequested:
		c.onSubmitRequested(e)
	case CancelRequested:
		c.onCancelRequested(e)
	case WaitRequested:
		c.onWaitRequested(e)
	case RecordsRead:
		c.onRecordsRead(e)
	case ReadFailed:
		c.markLogFailed()
	case LogTrimmed:
		c.onLogTrimmed(e)
	case AppendCompleted:
		c.onAppendCompleted(e)
	case OrderCompleted:
		c.onOrderCompleted(e)
	case WorkerReported:
		c.onWorkerReported(e)
	case WorkersListed:
		c.onWorkersListed(e)
	case Tick:
		c.onTick()
	}
}

// onTick answers expired calls and, on the owner, does the time-driven work.
func (c *Controller) onTick() {
	c.expireCalls()
	if !c.loader.CaughtUp() {
		return
	}
	c.claimIfOwnerTimedOut()
	if c.ownership == nil {
		return
	}
	c.renewOwnership()
	c.checkWorkers()
	c.checkCandidates()
	c.placeWaiting()
	c.unparkTasks()
	c.endDelays()
	c.forgetExpired()
	c.snapshotIfDue()
}

// onRecordsRead folds the records of a read and acts on what they changed.
func (c *Controller) onRecordsRead(e RecordsRead) {
	if c.log.failed || c.now.Sub(c.log.lastRead) > 2*MaxReadInterval {
		c.log.readableSince = c.now
	}
	c.log.failed = false
	c.log.lastRead = c.now
	changes, err := c.loader.AddRecords(e.Records, e.Next)
	if err != nil {
		c.fail(err)
		return
	}
	c.log.caughtUp = c.loader.CaughtUp()
	for _, change := range changes {
		c.processChange(change)
	}
	if c.log.caughtUp {
		c.log.lastEnd = c.now
	}
	if c.loader.CaughtUp() {
		c.updateOwnership()
	}
	for _, change := range changes {
		c.syncTasks(change.Tasks)
	}
	c.finishBatch()
	c.startNewAttempts()
}

// processChange handles the consequences of one folded record that don't depend on
// this node's ownership state: heartbeats, confirmed records, outcomes of attempts
// and answers to callers.
func (c *Controller) processChange(change Change) {
	if change.FromOwner {
		c.lastOwnerHeartbeat = c.now
	}
	if c.outbox.confirm(change.ID) && change.FromOwner {
		c.mayStartUntil = c.outbox.sentAt.Add(ownershipValidity)
	}
	if change.ID == c.pendingClaim {
		c.pendingClaim = ""
	}
	c.recordOutcome(change)
	c.noteStarts(change)
	c.noteOwnCrashes(change)
	c.noteFailures(change)
	c.answerAffectedCalls(change)
}

// recordOutcome feeds the sizes, run times and failures of ended attempts to the
// estimator and to the workers' health. Every node does so, so that a new owner
// has these figures.
func (c *Controller) recordOutcome(change Change) {
	if len(change.Tasks) == 0 {
		return
	}
	t := change.Tasks[0]
	switch b := change.Body.(type) {
	case record.TaskFinished:
		if b.RunTime > 0 && b.Result == record.TaskSucceeded {
			c.estimator.Observe(t.Queue, t.Size, b.Peak, t.RunTime.D(), b.RunTime.D())
		}
		outcome := placement.OutcomeGood
		switch {
		case b.Hung:
			outcome = placement.OutcomeHung
		case b.Result == record.TaskFailed:
			outcome = placement.OutcomeFailed
		}
		c.recordWorkerOutcome(t, outcome)
	case record.TaskAttemptLost:
		switch b.Reason {
		case record.LossFailed:
			c.recordWorkerOutcome(t, placement.OutcomeFailed)
		case record.LossHung, record.LossLeaseExpired:
			c.recordWorkerOutcome(t, placement.OutcomeHung)
		}
	}
}

// recordWorkerOutcome counts the end of an attempt for or against its worker.
func (c *Controller) recordWorkerOutcome(t *Task, outcome placement.Outcome) {
	info, listed := c.fleet.Worker(t.Worker)
	if !listed || info.Incarnation != t.Incarnation {
		// Attempts on an earlier incarnation don't count against the worker.
		return
	}
	if c.fleet.RecordOutcome(c.now, t.Worker, t.Queue, outcome) {
		reason, _ := c.fleet.Quarantined(t.Worker)
		c.emit(WorkerQuarantined{Worker: t.Worker, Reason: reason})
	}
}

// markLogFailed marks the log as unavailable and refuses the calls whose records
// were not sent.
func (c *Controller) markLogFailed() {
	c.log.failed = true
	c.log.caughtUp = false
	c.refuseUnsent("the log is down")
}

// onLogTrimmed restarts loading from the earliest record that the log keeps.
func (c *Controller) onLogTrimmed(LogTrimmed) {
	c.endOwnership()
	c.abandonBatch()
	c.loader = NewLoader(c.settings.Shard)
	c.log.caughtUp = false
	clear(c.starts)
}

// fail stops the controller after an error from which it can't recover.
func (c *Controller) fail(err error) {
	c.fatalErr = err
	c.endOwnership()
	c.refuseUnsent(err.Error())
	c.emit(ControllerFailed{Err: err})
}
