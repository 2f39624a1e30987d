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

// phase is what the owner knows of an attempt.
type phase int

const (
	// intended: on the log, and no start was ordered.
	intended phase = iota
	// running: the worker said so.
	running
	// asking: it is not known what became of it.
	asking
	// over: its end is queued for the log.
	over
)

// wish is why the owner wants an attempt to end early.
type wish int

const (
	wishNone wish = iota
	wishCheckpoint
	wishStop
	wishHung
	wishCancel
)

// run is an attempt that the owner looks after.
type run struct {
	task *Task
	ref  worker.Ref
	at   *holder
	phase
	wish
	// busy means that an order for this attempt has no answer yet.
	busy bool
	// contact is the latest instant at which the worker may have begun a lease.
	contact vocab.Instant
	// began is when the attempt was first known to run.
	began vocab.Instant
	// hangLimit is the run time after which the attempt counts as hung.
	hangLimit   time.Duration
	askingSince vocab.Instant
	percent     int
	wishPercent int
	released    bool
}

// holder is a worker incarnation with the attempts that it has.
type holder struct {
	worker      vocab.VMID
	incarnation vocab.VMIncarnation
	runs        []*run
	forget      []worker.Ref
	nextCheck   vocab.Instant
	nextRenew   vocab.Instant
	nextAsk     vocab.Instant
	// suspectUntil is when the worker may get work again; zero if it may now.
	suspectUntil vocab.Instant
	renewing     bool
	asking       bool
}

// holders is sorted by worker and incarnation.
type holders []*holder

func (s *holders) get(name vocab.VMID, incarnation vocab.VMIncarnation) *holder {
	at, found := slices.BinarySearchFunc(*s, name, func(h *holder, name vocab.VMID) int {
		if c := cmp.Compare(h.worker, name); c != 0 {
			return c
		}
		return cmp.Compare(h.incarnation, incarnation)
	})
	if !found {
		h := &holder{worker: name, incarnation: incarnation}
		*s = slices.Insert(*s, at, h)
	}
	return (*s)[at]
}

func (c *Controller) syncAll(tasks []*Task) {
	if c.held == nil {
		return
	}
	for _, t := range tasks {
		c.sync(t)
	}
}

// sync brings the owner's local state in line with a task of the ledger.
func (c *Controller) sync(t *Task) {
	switch t.State {
	case Waiting:
		c.dropRun(t)
		c.syncWaiting(t)
	case Started:
		c.syncStarted(t)
	default:
		c.dropRun(t)
		c.dropPlan(t)
		c.syncOver(t)
	}
}

func (c *Controller) syncWaiting(t *Task) {
	h := c.held
	delete(h.parked, t.Task)
	if _, ok := h.bound[t.Task]; ok || h.nominated[t.Task] != nil || h.waiting.Has(t.Task) {
		return
	}
	if c.isPoison(t) {
		c.addOwned(record.TaskParked{Epoch: h.epoch, Task: t.Task, Seen: t.Changed, Reason: reasonPoison})
		return
	}
	h.waiting.Add(itemOf(c.now, t))
	h.changed = true
}

func itemOf(now vocab.Instant, t *Task) placement.Item {
	return placement.Item{
		Task:     t.Task,
		Accepted: t.Accepted,
		Since:    now,
		Avoid:    t.FailedOn,
		Class: placement.Class{
			Queue:       t.Queue,
			Team:        t.Team,
			Urgent:      t.Urgent,
			Idempotent:  t.Idempotent,
			Checkpoints: t.Checkpoints,
			Declared:    t.Size,
			DeclaredRun: t.RunTime.D(),
			Lacks:       t.OutOfMemory,
		},
	}
}

// isPoison reports whether a task failed on several workers that are not known
// to be at fault, or too often altogether.
func (c *Controller) isPoison(t *Task) bool {
	good := 0
	for _, name := range t.FailedOn {
		if _, aside := c.fleet.Aside(name); !aside {
			good++
		}
	}
	return good >= poisonWorkers || t.Failures >= poisonFailures
}

func (c *Controller) syncStarted(t *Task) {
	h := c.held
	h.waiting.Remove(t.Task)
	r := h.runs[t.Task]
	if r == nil || r.ref.Attempt != t.Attempt {
		r = c.newRun(t)
	}
	if t.Cancelled {
		r.wish = wishCancel
		c.drive(r)
	}
}

func (c *Controller) newRun(t *Task) *run {
	h := c.held
	c.dropRun(t)
	at := h.holders.get(t.Worker, t.Incarnation)
	r := &run{task: t, ref: t.Ref(), at: at, contact: c.now, percent: 100, wishPercent: 100}
	b, planned := h.bound[t.Task]
	if planned && b.attempt == t.Attempt && t.Epoch == h.epoch {
		delete(h.bound, t.Task)
		h.fresh = append(h.fresh, r)
	} else {
		c.dropPlan(t)
		c.adopt(r)
	}
	h.runs[t.Task] = r
	at.runs = append(at.runs, r)
	return r
}

// adopt takes over an attempt that an earlier owner may have started.
func (c *Controller) adopt(r *run) {
	t := r.task
	r.phase = asking
	r.askingSince = c.now
	c.set.Account.Adopt(t.Team)
	c.fleet.Reserve(t.Worker, placement.Run{
		Task: t.Task, Queue: t.Queue, Team: t.Team, Need: t.Reserved, Since: c.now,
		Urgent: t.Urgent, Idempotent: t.Idempotent, Checkpoints: t.Checkpoints,
	})
}

// dropRun ends the care for a task's attempt.
func (c *Controller) dropRun(t *Task) {
	r := c.held.runs[t.Task]
	if r == nil {
		return
	}
	c.releaseRun(r)
	delete(c.held.runs, t.Task)
	r.at.runs = slices.DeleteFunc(r.at.runs, func(o *run) bool { return o == r })
	r.at.forget = append(r.at.forget, r.ref)
}

func (c *Controller) releaseRun(r *run) {
	if r.released {
		return
	}
	r.released = true
	c.releaseRoom(r.at.worker, r.task.Task)
}

// dropPlan gives back what was planned for a task that is not to be started.
func (c *Controller) dropPlan(t *Task) {
	h := c.held
	h.waiting.Remove(t.Task)
	if b, ok := h.bound[t.Task]; ok {
		delete(h.bound, t.Task)
		c.releaseRoom(b.worker, t.Task)
	}
	c.dropNomination(t.Task)
}

func (c *Controller) syncOver(t *Task) {
	h := c.held
	delete(h.parked, t.Task)
	switch t.State {
	case Parked:
		h.parked[t.Task] = true
	case Ended:
		h.ended = append(h.ended, endedTask{task: t.Task, at: c.now})
	}
}

// finish queues the end of an attempt and gives back its room.
func (c *Controller) finish(r *run, body record.Body) {
	r.phase = over
	c.addOwned(body)
	c.releaseRun(r)
}

func (c *Controller) lose(r *run, reason record.LossReason, checkpoint string) {
	c.finish(r, record.TaskAttemptLost{
		Epoch:      c.held.epoch,
		Task:       r.ref.Task,
		Attempt:    r.ref.Attempt,
		Reason:     reason,
		Checkpoint: checkpoint,
	})
}

// overdue reports whether an attempt runs so long that it must be hung. A
// throttled attempt has more time.
func (c *Controller) overdue(r *run) bool {
	return c.now.Sub(r.began) > r.hangLimit*time.Duration(100/max(1, r.percent))
}

// hangLimit returns the time after which an attempt of a task counts as hung.
func (c *Controller) hangLimit(t *Task) time.Duration {
	e := c.learner.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory)
	limit := hangDeclaredFactor * t.RunTime.D()
	if e.Long > 0 {
		limit = hangFactor * e.Long
	}
	return max(limit, hangFloor)
}
