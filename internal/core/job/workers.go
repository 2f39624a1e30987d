package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// worker is what an owner knows of a worker.
type worker struct {
	info WorkerInfo
	// listed is set while the platform lists the worker.
	listed bool
	// clock is the worker's clock as of clockFrom on this node's clock.
	clock     time.Duration
	clockFrom vocab.Instant
	// fenced is set once the worker answered under the owner's fence: what it
	// lists then is all that runs there.
	fenced   bool
	polling  bool
	pollDue  vocab.Instant
	failures int
	// acked is the last end that is safe on the stream, seen the last one that
	// was taken, confirmed the last acknowledged one that the worker knows of.
	acked, seen, confirmed int64
	// acking is what the poll under way acknowledges.
	acking int64
	tasks  []*task
	used   Resources
	// strays is what runs there and should not.
	strays Resources
	// leaseUntil is when the last lease that may have been granted has passed.
	leaseUntil vocab.Instant
	avoidUntil vocab.Instant
	// cordoned is set while the machine is to be emptied.
	cordoned bool
	// leaving is set while an order takes the machine away.
	leaving bool
	// paceUpAt is when held tasks may go on.
	paceUpAt vocab.Instant
}

// usable reports whether the worker may get new work.
func (w *worker) usable(now vocab.Instant) bool {
	return w.listed && w.fenced && !w.info.Draining && !w.cordoned && w.failures < unreachableAfterPolls && now >= w.avoidUntil
}

// free is the room that is left.
func (w *worker) free() Resources { return w.info.Room.Minus(w.used).Minus(w.strays) }

// clockAt estimates the worker's clock.
func (w *worker) clockAt(now vocab.Instant) time.Duration {
	return w.clock + now.Sub(w.clockFrom)
}

func (w *worker) pollSoon(now vocab.Instant) {
	if w.pollDue > now {
		w.pollDue = now
	}
}

const never = vocab.Instant(1<<63 - 1)

func (o *owner) workersListed(e WorkersListed) {
	o.planDue = true
	seen := map[WorkerID]bool{}
	for _, info := range e.Workers {
		seen[info.ID] = true
		o.workerListed(info)
	}
	for _, id := range e.Removed {
		o.workerRemoved(id)
	}
	if e.Full {
		o.workersKnown = true
		for _, id := range o.workerIDs {
			if !seen[id] {
				o.workerRemoved(id)
			}
		}
	}
	o.checkWorkers()
}

func (o *owner) workerListed(info WorkerInfo) {
	w := o.worker(info.ID)
	reborn := w.info.Born != 0 && info.Born > w.info.Born
	if w.info.Born > info.Born && w.listed {
		return
	}
	w.info, w.listed = info, true
	if reborn {
		o.reborn(w, info.Born)
	}
	if !w.fenced {
		w.pollSoon(o.s.now)
	}
}

func (o *owner) workerRemoved(id WorkerID) {
	if w := o.workers[id]; w != nil {
		w.listed = false
	}
}

// reborn takes note of a later life of a worker. What the earlier one had is
// given up when a poll does not list it: a start may have reached the later one
// before it was known.
func (o *owner) reborn(w *worker, born Millis) {
	o.s.logEvent(LogWorkerRestarted, "worker", w.info.ID, "born", born)
	w.info.Born = born
	w.fenced, w.acked, w.seen, w.confirmed, w.strays = false, 0, 0, 0, Resources{}
	w.pollSoon(o.s.now)
}

// checkWorkers sends the polls and stops that are due and gives up what ran on
// workers whose leases have passed.
func (o *owner) checkWorkers() {
	for _, id := range o.workerIDs {
		w := o.workers[id]
		o.expire(w)
		o.repeatStops(w)
		o.repeatStarts(w)
		if w.info.Draining {
			o.evacuate(w)
		}
		if !w.polling && w.info.Address != "" && o.s.now >= w.pollDue {
			o.poll(w)
		}
	}
	o.dropWorkers()
}

// dropWorkers forgets workers that are gone and have nothing left.
func (o *owner) dropWorkers() {
	o.workerIDs = slices.DeleteFunc(o.workerIDs, func(id WorkerID) bool {
		w := o.workers[id]
		if w.listed || w.polling || len(w.tasks) > 0 || o.s.now < w.leaseUntil {
			return false
		}
		delete(o.workers, id)
		return true
	})
}

func (o *owner) expire(w *worker) {
	if len(w.tasks) == 0 || o.s.now < w.leaseUntil || w.fenced && w.failures == 0 && w.listed {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		o.lose(t, "the lease passed without an answer from the worker")
	}
}

func (o *owner) repeatStops(w *worker) {
	for _, t := range slices.Clone(w.tasks) {
		switch {
		case t.stage == stopping && t.barredAt == 0 && o.s.now.Sub(t.stopAt) > stopRetryDelay:
			o.stopTask(t)
		case t.stage == unclear && t.sentAt != 0 && t.barredAt == 0 && o.s.now.Sub(t.sentAt) > startFenceDelay && w.fenced:
			o.stopTask(t)
		}
	}
}

func (o *owner) poll(w *worker) {
	poll := Poll{
		Worker: w.info.ID, Address: w.info.Address, Incarnation: w.info.Born, Fence: o.fence, Until: o.leasesUntil,
	}
	if w.fenced && w.failures == 0 && w.acked > w.confirmed {
		// A later life numbers its ends anew: one that is not known of yet must
		// not forget ends for what its predecessor was told. So each number is
		// sent until it is answered, and not after a failure.
		poll.Acked = w.acked
	}
	w.acking = poll.Acked
	busy := len(w.tasks) > 0
	if busy && w.fenced && w.failures == 0 && o.s.now < o.leasesUntil {
		poll.Lease = w.clockAt(o.s.now) + o.s.lease()
		w.leaseUntil = max(w.leaseUntil, o.s.now.Add(o.s.maxLeaseSpan()))
	}
	if busy && w.fenced && w.failures == 0 && w.seen == w.acked {
		poll.Wait = pollWait
	}
	w.polling = true
	o.s.emit(poll)
}

func (o *owner) polled(e Polled) {
	w := o.workers[e.Worker]
	if w == nil || !w.polling {
		return
	}
	w.polling = false
	if e.Outcome != OK {
		o.pollFailed(w, e)
		return
	}
	if w.failures >= unreachableAfterPolls {
		o.s.logEvent(LogWorkerReachable, "worker", w.info.ID)
		o.planDue = true
	}
	w.failures = 0
	w.confirmed = max(w.confirmed, w.acking)
	if e.Born > w.info.Born {
		o.reborn(w, e.Born)
	}
	if e.Born < w.info.Born {
		w.pollDue = o.s.now.Add(pollRetryDelay)
		return
	}
	if !w.fenced {
		w.fenced = true
		// No earlier owner can extend the lease any more.
		w.leaseUntil = e.GotAt.Add(o.s.maxLeaseSpan())
		o.planDue = true
	}
	w.clock, w.clockFrom = e.Clock, e.GotAt
	o.takeEnds(w, e.Ended)
	o.takeRuns(w, e)
	o.schedulePoll(w)
}

func (o *owner) pollFailed(w *worker, e Polled) {
	if e.Outcome == Fenced {
		o.s.loseOwnership("a worker has seen a later owner")
		return
	}
	if e.Outcome == Gone {
		// Another life answers at the address: this one has ended.
		for _, t := range slices.Clone(w.tasks) {
			o.lose(t, "another worker has the address")
		}
	}
	w.failures++
	if w.failures == unreachableAfterPolls && (w.listed || len(w.tasks) > 0) {
		o.s.logEvent(LogWorkerUnreachable, "worker", w.info.ID, "tasks", len(w.tasks), "outcome", e.Outcome.String(),
			"lease_left_ms", w.leaseUntil.Sub(o.s.now).Milliseconds(), "error", errorText(e.Err))
	}
	if !w.listed && len(w.tasks) == 0 {
		w.pollDue = never
		return
	}
	w.pollDue = o.s.now.Add(pollRetryDelay * time.Duration(min(w.failures, 4)))
	if w.failures == 1 {
		w.pollDue = o.s.now.Add(firstPollRetryDelay)
	}
}

// takeEnds takes the ends that are new. They are acknowledged to the worker only
// after the stream has them.
func (o *owner) takeEnds(w *worker, ends []EndReport) {
	last := w.seen
	for _, e := range ends {
		if e.Number <= w.seen {
			continue
		}
		o.runEnded(w, e)
		last = max(last, e.Number)
	}
	if last == w.seen {
		return
	}
	w.seen = last
	born := w.info.Born
	o.afterWrite(func() {
		if w.info.Born == born {
			w.acked = max(w.acked, last)
			o.schedulePoll(w)
		}
	})
}

// takeRuns compares what a worker lists with what is assigned to it.
func (o *owner) takeRuns(w *worker, e Polled) {
	present := make(map[*task]bool, len(e.Running))
	w.strays = Resources{}
	for _, r := range e.Running {
		t := o.assigned(w.info.ID, r.Task, r.Run)
		if t == nil {
			o.stray(w, r)
			continue
		}
		present[t] = true
		o.takeRun(t, r)
	}
	for _, t := range slices.Clone(w.tasks) {
		if !present[t] && t.absentSince(e.SentAt) {
			o.lose(t, "the worker does not list it")
		}
	}
	o.paceFillers(w)
}

func (o *owner) takeRun(t *task, r RunReport) {
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.percent, t.tailMS, t.born = r.Percent, r.TailMS, t.worker.info.Born
	if t.stage == starting || t.stage == unclear {
		if t.sentAt == 0 {
			t.sentAt = o.s.now
		}
		o.started(t)
	}
}

// absentSince reports whether a worker that does not list the run when asked
// at sentAt cannot run it any more.
func (t *task) absentSince(sentAt vocab.Instant) bool {
	switch t.stage {
	case running:
		return t.answeredAt < sentAt
	case stopping:
		return t.barredAt != 0 && t.barredAt < sentAt
	case unclear:
		// sentAt 0: ordered by an earlier owner, whose orders the worker
		// refuses since it has seen the new fence.
		return t.sentAt == 0
	default:
		return false
	}
}

// stray stops a run that is assigned nowhere, or elsewhere.
func (o *owner) stray(w *worker, r RunReport) {
	if job := o.jobs[r.Task.Job]; job != nil {
		if t := job.find(r.Task); t != nil {
			w.strays = w.strays.Plus(t.step.spec.Reserved())
		}
	}
	o.s.logEvent(LogOrphanedRunStopped, "task", r.Task, "run", r.Run, "worker", w.info.ID)
	o.s.emit(Stop{Worker: w.info.ID, Address: w.info.Address, Fence: o.fence, Task: r.Task, Run: r.Run})
	w.pollSoon(o.s.now.Add(stopRetryDelay))
}

// pollPause is the pause before the next poll at a busy worker. A small fleet
// needs none.
func (o *owner) pollPause() time.Duration {
	pause := time.Duration(len(o.workerIDs)) * pollPausePerWorker
	if pause < TickInterval/2 {
		return 0
	}
	return pause
}

// schedulePoll sets when the next poll is due.
func (o *owner) schedulePoll(w *worker) {
	switch {
	case w.seen != w.acked:
		// The stream has to have the ends first; the lease must not suffer.
		w.pollDue = o.s.now.Add(pollWait)
	case len(w.tasks) > 0:
		w.pollDue = o.s.now.Add(o.pollPause())
	case w.strays != Resources{}:
		w.pollDue = o.s.now.Add(stopRetryDelay)
	default:
		w.pollDue = never
	}
	if !w.polling && o.s.now >= w.pollDue {
		o.poll(w)
	}
}
