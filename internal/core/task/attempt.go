package task

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// attemptState is the state of an attempt as known to the owner.
type attemptState int

const (
	// attemptIntended: announced on the log, but the worker has not yet answered
	// an order to start it.
	attemptIntended attemptState = iota
	// attemptRunning: the worker reported it as running.
	attemptRunning
	// attemptUnknown: it may be running, have ended, or never have started; the
	// worker is queried.
	attemptUnknown
	// attemptFinished: the record of its end is queued for the log.
	attemptFinished
)

// pendingAction is the action to be taken on an attempt before it ends by itself,
// with its cause. The values are in ascending order of precedence.
type pendingAction int

const (
	actionNone pendingAction = iota
	actionCheckpoint
	actionStop
	// actionStopHung: stop it because it hung.
	actionStopHung
	// actionStopCancelled: stop it because its task was cancelled.
	actionStopCancelled
)

// attempt is an attempt that the owner supervises.
type attempt struct {
	task   *Task
	ref    worker.AttemptRef
	worker *workerState
	attemptState
	pendingAction
	// orderPending means that an order for this attempt alone was not answered yet.
	orderPending bool
	// latestLeaseStart is the latest instant at which the worker may have begun a
	// lease of the attempt.
	latestLeaseStart vocab.Instant
	// runningSince is the time when the attempt was first reported as running; 0 if
	// never.
	runningSince vocab.Instant
	// start is the announcement of the attempt.
	start announcedStart
	// takenOver means that an earlier owner may have started the attempt.
	takenOver bool
	// hangTimeout is the run time after which the attempt counts as hung.
	hangTimeout time.Duration
	// unknownSince is the time when the state became attemptUnknown.
	unknownSince vocab.Instant
	// cpuPercent is the share of the reserved CPU time that the worker was last
	// known to give the attempt, and targetPercent the share that it is to give.
	cpuPercent    int
	targetPercent int
	// released means that the worker capacity and the team slot were released.
	released bool
}

// workerState is the owner's state of one worker incarnation and its attempts.
type workerState struct {
	id          vocab.VMID
	incarnation vocab.VMIncarnation
	attempts    []*attempt
	// forget lists the attempts that the next renewal lets the worker forget.
	forget    []worker.AttemptRef
	nextCheck vocab.Instant
	nextRenew vocab.Instant
	nextQuery vocab.Instant
	// suspectUntil is the time when the worker may get new tasks again; zero if it is not
	// suspect.
	suspectUntil vocab.Instant
	// crashSuspects holds the tasks that may have ended the incarnation, once it has ended.
	crashSuspects map[vocab.TaskID]bool
	// renewPending and queryPending mean that a Renew or Query order was not
	// answered yet.
	renewPending bool
	queryPending bool
}

// workerStates is sorted by worker ID and incarnation.
type workerStates []*workerState

// getOrAdd returns the state of a worker incarnation, and adds it if it is new.
func (s *workerStates) getOrAdd(id vocab.VMID, incarnation vocab.VMIncarnation) *workerState {
	i, found := slices.BinarySearchFunc(*s, id, func(w *workerState, id vocab.VMID) int {
		if c := cmp.Compare(w.id, id); c != 0 {
			return c
		}
		return cmp.Compare(w.incarnation, incarnation)
	})
	if !found {
		w := &workerState{id: id, incarnation: incarnation}
		*s = slices.Insert(*s, i, w)
	}
	return (*s)[i]
}

// syncTasks calls syncTask for each task if this node owns the shard.
func (c *Controller) syncTasks(tasks []*Task) {
	if c.ownership == nil {
		return
	}
	for _, t := range tasks {
		c.syncTask(t)
	}
}

// syncTask updates the ownership state to a task's state in the ledger.
func (c *Controller) syncTask(t *Task) {
	switch t.State {
	case Waiting:
		c.dropAttempt(t)
		c.syncWaiting(t)
	case Started:
		c.syncStarted(t)
	default:
		c.dropAttempt(t)
		c.cancelPlacement(t)
		c.syncInactive(t)
	}
}

func (c *Controller) syncWaiting(t *Task) {
	own := c.ownership
	delete(own.parked, t.Task)
	if _, ok := own.reservations[t.Task]; ok || own.candidates[t.Task] != nil || own.waiting.Has(t.Task) {
		return
	}
	if c.isPoison(t) {
		c.queueOwnerRecord(record.TaskParked{Epoch: own.epoch, Task: t.Task, LastChange: t.Changed, Reason: reasonPoison})
		return
	}
	if c.delayAfterLoss(t) {
		return
	}
	own.waiting.Add(waitingItem(c.now, t))
	own.needsPlacement = true
}

// waitingItem returns the placement input of a waiting task.
func waitingItem(now vocab.Instant, t *Task) placement.Item {
	return placement.Item{
		Task:     t.Task,
		Accepted: t.Accepted,
		Since:    now,
		Avoid:    t.FailedOn,
		Class: placement.Class{
			Queue:            t.Queue,
			Team:             t.Team,
			Urgent:           t.Urgent,
			Idempotent:       t.Idempotent,
			Checkpoints:      t.Checkpoints,
			Declared:         t.Size,
			DeclaredRun:      t.RunTime.D(),
			OutOfMemoryCount: t.OutOfMemory,
		},
	}
}

// isPoison reports whether a task failed on poisonWorkerThreshold workers that are not quarantined
// while others did not, or poisonFailureThreshold times in all, or crashes its workers.
func (c *Controller) isPoison(t *Task) bool {
	healthy := 0
	for _, name := range t.FailedOn {
		if _, quarantined := c.fleet.Quarantined(name); !quarantined {
			healthy++
		}
	}
	return healthy >= poisonWorkerThreshold && t.FailureEvidence >= poisonEvidence || t.Failures >= poisonFailureThreshold || t.crashesWorkers()
}

// crashesWorkers reports whether enough workers have crashed under the task, and too soon after its
// starts for crashes that have another cause.
func (t *Task) crashesWorkers() bool {
	return t.SuspectedCrashes >= poisonWorkerThreshold && t.SuspectedEvidence >= poisonEvidence ||
		t.Crashes >= poisonFailureThreshold && t.CrashEvidence >= poisonEvidence
}

func (c *Controller) syncStarted(t *Task) {
	own := c.ownership
	own.waiting.Remove(t.Task)
	a := own.attempts[t.Task]
	if a == nil || a.ref.Attempt != t.Attempt {
		a = c.trackAttempt(t)
	}
	if t.Cancelled {
		a.pendingAction = actionStopCancelled
		c.advance(a)
	}
}

// trackAttempt starts to supervise the current attempt of a started task. The
// attempt is started if this owner announced it, and otherwise taken over.
func (c *Controller) trackAttempt(t *Task) *attempt {
	own := c.ownership
	c.dropAttempt(t)
	w := own.workers.getOrAdd(t.Worker, t.Incarnation)
	a := &attempt{task: t, ref: t.Ref(), worker: w, latestLeaseStart: c.now, cpuPercent: 100, targetPercent: 100}
	if start := c.starts[t.Task]; start.attempt == t.Attempt {
		a.start = start
	}
	res, reserved := own.reservations[t.Task]
	if reserved && res.attempt == t.Attempt && t.Epoch == own.epoch {
		delete(own.reservations, t.Task)
		own.newAttempts = append(own.newAttempts, a)
	} else {
		c.cancelPlacement(t)
		c.takeOverAttempt(a)
	}
	own.attempts[t.Task] = a
	w.attempts = append(w.attempts, a)
	return a
}

// takeOverAttempt takes over an attempt that an earlier owner may have started.
func (c *Controller) takeOverAttempt(a *attempt) {
	t := a.task
	a.attemptState = attemptUnknown
	a.takenOver = true
	a.unknownSince = c.now
	c.settings.Account.AcquireOverLimit(t.Team)
	c.fleet.Reserve(t.Worker, placement.Run{
		Task: t.Task, Queue: t.Queue, Team: t.Team, Need: t.Reserved, ReservedAt: c.now,
		Urgent: t.Urgent, Idempotent: t.Idempotent, Checkpoints: t.Checkpoints,
	})
}

// dropAttempt stops supervising a task's attempt, and lets the worker forget it.
func (c *Controller) dropAttempt(t *Task) {
	a := c.ownership.attempts[t.Task]
	if a == nil {
		return
	}
	c.releaseAttempt(a)
	delete(c.ownership.attempts, t.Task)
	a.worker.attempts = slices.DeleteFunc(a.worker.attempts, func(o *attempt) bool { return o == a })
	a.worker.forget = append(a.worker.forget, a.ref)
}

// releaseAttempt releases the capacity of an attempt once.
func (c *Controller) releaseAttempt(a *attempt) {
	if a.released {
		return
	}
	a.released = true
	c.releaseCapacity(a.worker.id, a.task.Task)
}

// cancelPlacement removes a task from placement and releases the capacity that is
// reserved for it.
func (c *Controller) cancelPlacement(t *Task) {
	own := c.ownership
	own.waiting.Remove(t.Task)
	delete(own.delayed, t.Task)
	if res, ok := own.reservations[t.Task]; ok {
		delete(own.reservations, t.Task)
		c.releaseCapacity(res.worker, t.Task)
	}
	c.cancelCandidate(t.Task)
}

// syncInactive updates the ownership state to a task that is parked, has ended or
// needs an operator.
func (c *Controller) syncInactive(t *Task) {
	own := c.ownership
	delete(own.parked, t.Task)
	switch t.State {
	case Parked:
		own.parked[t.Task] = true
	case Ended:
		own.ended = append(own.ended, endedTask{task: t.Task, at: c.now})
	}
}

// finishAttempt queues the record of an attempt's end and releases its capacity.
func (c *Controller) finishAttempt(a *attempt, body record.Body) {
	a.attemptState = attemptFinished
	c.queueOwnerRecord(body)
	c.releaseAttempt(a)
}

// loseAttempt finishes an attempt that ended without a result.
func (c *Controller) loseAttempt(a *attempt, reason record.LossReason, checkpoint string) {
	lost := record.TaskAttemptLost{
		Epoch:      c.ownership.epoch,
		Task:       a.ref.Task,
		Attempt:    a.ref.Attempt,
		Reason:     reason,
		Checkpoint: checkpoint,
	}
	switch reason {
	case record.LossWorkerCrashed, record.LossWorkerCrashSuspected:
		lost.Evidence, lost.RanLong = c.crashEvidence(a)
	case record.LossFailed, record.LossHung:
		lost.Evidence = c.failureEvidence(a.task)
	}
	c.finishAttempt(a, lost)
}

// isHung reports whether an attempt has been running for longer than its hang
// timeout. The timeout of a throttled attempt is longer.
func (c *Controller) isHung(a *attempt) bool {
	return c.now.Sub(a.runningSince) > a.hangTimeout*time.Duration(100/max(1, a.cpuPercent))
}

// hangTimeout returns the run time after which an attempt of a task counts as hung.
func (c *Controller) hangTimeout(t *Task) time.Duration {
	e := c.estimator.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory)
	limit := hangDeclaredFactor * t.RunTime.D()
	if e.LongRunTime > 0 {
		limit = hangFactor * e.LongRunTime
	}
	return max(limit, minHangTimeout)
}
