package task

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Controller is one node's part in one shard of tasks. It is not safe for use
// by several goroutines.
type Controller struct {
	set     Settings
	now     vocab.Instant
	effects []event.Effect
	loader  *Loader
	// broken is why the controller gave up; nil while it works.
	broken error
	log    logView
	out    outbox
	calls  calls
	// signAt is when the last record of the shard's owner was read.
	signAt vocab.Instant
	// claimID is the record of the claim under way; empty for none.
	claimID vocab.RecordID
	fleet   *placement.Fleet
	learner *placement.Learner
	// held is the state of the owner; nil on other nodes.
	held *holding
	// heldUntil is when the owner's right to order starts ends. Each record of
	// the owner that is read back extends it, counted from its sending.
	heldUntil vocab.Instant
	orders    map[OrderID]sentOrder
	lastOrder OrderID
}

// logView is what is known of the log's availability.
type logView struct {
	// failed means that the last call had no answer.
	failed   bool
	caughtUp bool
	lastRead vocab.Instant
	// resumed is when reads began to succeed without a break.
	resumed vocab.Instant
}

// NewController returns a controller that has read nothing.
func NewController(set Settings) *Controller {
	c := &Controller{
		set:     set,
		loader:  NewLoader(set.Shard),
		calls:   newCalls(),
		fleet:   placement.NewFleet(),
		learner: placement.NewLearner(),
		orders:  map[OrderID]sentOrder{},
	}
	c.fleet.HealthOff = set.NoSettingAside
	c.learner.Off = set.NoLearning
	return c
}

// ReadFrom returns the offset from which the stream is to be read next.
func (c *Controller) ReadFrom() vocab.Offset { return c.loader.From() }

// Ledger returns the fold of the stream, or nil before it is complete.
func (c *Controller) Ledger() *Ledger {
	if !c.loader.Done() {
		return nil
	}
	return c.loader.ledger
}

// Step takes one event and returns what is to be done.
func (c *Controller) Step(now vocab.Instant, e event.Event) []event.Effect {
	c.now = now
	c.effects = nil
	if c.broken == nil {
		c.handle(e)
		c.flush()
	} else {
		c.refuseBroken(e)
	}
	return c.effects
}

func (c *Controller) handle(e event.Event) {
	switch e := e.(type) {
	case Submitted:
		c.submitted(e)
	case CancelRequested:
		c.cancelRequested(e)
	case WaitRequested:
		c.waitRequested(e)
	case RecordsRead:
		c.recordsRead(e)
	case ReadFailed:
		c.logFailed()
	case LogTrimmed:
		c.logTrimmed(e)
	case AppendAnswered:
		c.appendAnswered(e)
	case WorkerAnswered:
		c.workerAnswered(e)
	case WorkerReported:
		c.workerReported(e)
	case WorkersListed:
		c.workersListed(e)
	case Tick:
		c.tick()
	}
}

func (c *Controller) tick() {
	c.expireCalls()
	if !c.loader.Done() {
		return
	}
	c.claimIfSilent()
	if c.held == nil {
		return
	}
	c.renewOwnership()
	c.checkHolders()
	c.checkNominations()
	c.place()
	c.checkParked()
	c.forgetOld()
	c.snapshotIfDue()
}

// recordsRead folds what was read and acts on it.
func (c *Controller) recordsRead(e RecordsRead) {
	if c.log.failed || c.now.Sub(c.log.lastRead) > 2*ReadEvery {
		c.log.resumed = c.now
	}
	c.log.failed = false
	c.log.lastRead = c.now
	changes, err := c.loader.Read(e.Records, e.Next)
	if err != nil {
		c.giveUp(err)
		return
	}
	c.log.caughtUp = c.loader.Done()
	for _, change := range changes {
		c.noteChange(change)
	}
	if c.loader.Done() {
		c.followOwnership()
	}
	for _, change := range changes {
		c.syncAll(change.Tasks)
	}
	c.settleBatch()
	c.driveNew()
}

// noteChange takes from one folded record what does not depend on the order in
// which this node acts.
func (c *Controller) noteChange(change Change) {
	if change.Owner {
		c.signAt = c.now
	}
	if c.out.readBack(change.ID) && change.Owner {
		c.heldUntil = c.out.sentAt.Add(ownerHold)
	}
	if change.ID == c.claimID {
		c.claimID = ""
	}
	c.learn(change)
	c.answerChange(change)
}

// learn takes sizes and failures from the ends of attempts, on every node, so
// that a new owner knows them.
func (c *Controller) learn(change Change) {
	if len(change.Tasks) == 0 {
		return
	}
	t := change.Tasks[0]
	switch b := change.Body.(type) {
	case record.TaskEnded:
		if b.RunTime > 0 && b.Result == record.TaskSucceeded {
			c.learner.Observe(t.Queue, t.Size, b.Peak, t.RunTime.D(), b.RunTime.D())
		}
		verdict := placement.VerdictGood
		switch {
		case b.Hung:
			verdict = placement.VerdictHung
		case b.Result == record.TaskFailed:
			verdict = placement.VerdictFailed
		}
		c.noteEnd(t, verdict)
	case record.TaskAttemptLost:
		switch b.Reason {
		case record.LossFailed:
			c.noteEnd(t, placement.VerdictFailed)
		case record.LossHung, record.LossLapsed:
			c.noteEnd(t, placement.VerdictHung)
		}
	}
}

func (c *Controller) noteEnd(t *Task, v placement.Verdict) {
	info, listed := c.fleet.Worker(t.Worker)
	if !listed || info.Incarnation != t.Incarnation {
		// A replaced worker is not judged by what came before.
		return
	}
	if c.fleet.NoteAttempt(c.now, t.Worker, t.Queue, v) {
		reason, _ := c.fleet.Aside(t.Worker)
		c.emit(SetAside{Worker: t.Worker, Reason: reason})
	}
}

func (c *Controller) logFailed() {
	c.log.failed = true
	c.log.caughtUp = false
	c.refusePending("the log is down")
}

// logTrimmed starts anew from the earliest kept record.
func (c *Controller) logTrimmed(LogTrimmed) {
	c.endHolding()
	c.abandonBatch()
	c.loader = NewLoader(c.set.Shard)
	c.log.caughtUp = false
}

func (c *Controller) giveUp(err error) {
	c.broken = err
	c.endHolding()
	c.refusePending(err.Error())
	c.emit(GaveUp{Err: err})
}
