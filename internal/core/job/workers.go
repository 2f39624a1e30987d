package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// worker is the owner's view of a worker.
type worker struct {
	info WorkerInfo
	// listed is set while the platform lists the worker.
	listed bool
	// clock is a reading of the worker's clock, received at the time clockReadAt of this node's
	// clock; clockReadAt is 0 before the first response of the incarnation.
	clock       time.Duration
	clockReadAt vocab.Instant
	// leaseSentAt is the time of the last order with a lease, leaseClockAge the age of the
	// reading that it was based on.
	leaseSentAt   vocab.Instant
	leaseClockAge time.Duration
	// strayUntil is the time by which leases from stray orders have expired, or 0: see stray_orders.go.
	strayUntil vocab.Instant
	// openUntil is the time by which runs have ended whose start by an earlier owner has no result, if the
	// record of the silent worker says so, or 0.
	openUntil vocab.Instant
	// fence is the fence of orders to the worker's present incarnation; fenceDue is set while it has
	// to be raised.
	fence    Fence
	fenceDue bool
	// fenced is set once the present incarnation has responded under this fence. From then on its
	// list of runs is complete, because it refuses stray orders and those of earlier owners.
	fenced       bool
	pollInFlight bool
	nextPollAt   vocab.Instant
	failedPolls  int
	// The worker numbers the ends of its runs. lastEnd is the number of the last end that was
	// processed, ackedEnd of the last one that is on the stream and may be acknowledged, and
	// confirmedEnd of the last one whose acknowledgement the worker has received.
	ackedEnd, lastEnd, confirmedEnd int64
	// ackInFlight is the number that the poll in flight acknowledges; ackWithheld is set if it
	// does not acknowledge an end that is on the stream.
	ackInFlight int64
	ackWithheld bool
	// moreEnds is set if the last response may have left out ends.
	moreEnds bool
	tasks    []*task
	used     Resources
	// orphaned is the reservation of orphaned runs: runs on the worker that are not assigned
	// to it.
	orphaned Resources
	// leaseUntil is the time when the last lease that may have been granted to the worker has
	// expired.
	leaseUntil vocab.Instant
	// silent is set while the stream says that the worker's lease is not extended,
	// silenceEnding while the removal of that record is being written.
	silent, silenceEnding bool
	// inheritedBy holds the jobs of which an earlier owner may have started tasks on the worker
	// under a grant.
	inheritedBy []*activeJob
	// avoidUntil is the time before which the worker gets no new tasks after it refused a start.
	avoidUntil vocab.Instant
	// cordoned is set while the worker gets no new tasks so that its machine becomes idle.
	cordoned bool
	// evacuated is set while the worker's availability zone is being evacuated.
	evacuated bool
	// coldUntil is the time until which the worker is slow after its restart.
	coldUntil vocab.Instant
	// leaving is set while an order takes the machine away.
	leaving bool
	// endsAt is the expected end of the last task, as of the time endsKnownAt and with
	// endsTasks tasks; hold is what the current placement pass keeps free for a reservation.
	endsAt, endsKnownAt vocab.Instant
	endsTasks           int
	hold                *workerHold
	// lastHeardAt is the time of the worker's last response to a poll or an order.
	lastHeardAt vocab.Instant
	// drainingIncarnation is the incarnation that the platform last listed as draining.
	drainingIncarnation Millis
	// silentSince is the time when the first poll without a response after the last one with a
	// response failed, or 0.
	silentSince vocab.Instant
	// lossCounted is set while the loss of the silent worker has been attributed to its runs.
	lossCounted bool
	// lastStartAt is the time when this owner last sent a start to the worker.
	lastStartAt vocab.Instant
	// trial is the task that is on trial on the worker, or nil: see crashes.go.
	trial *task
	// outcomes counts the ends of runs.
	outcomes runOutcomes
	// resumeAt is the earliest time at which throttled tasks may resume.
	resumeAt vocab.Instant
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now vocab.Instant) bool {
	return w.listed && w.fenced && !w.info.Draining && !w.cordoned && !w.evacuated && !w.silent && w.failedPolls < unreachableAfterPolls && now >= w.avoidUntil
}

// free is the capacity that is neither reserved by tasks nor used by orphaned runs.
func (w *worker) free() Resources { return w.info.Capacity.Minus(w.used).Minus(w.orphaned) }

// overcommitted reports whether the worker has become too small for what is reserved on it.
func (w *worker) overcommitted() bool { return !w.free().Holds(Resources{}) }

// pollBy moves the next poll forward to the given time if it is due later.
func (w *worker) pollBy(at vocab.Instant) {
	if w.nextPollAt > at {
		w.nextPollAt = at
	}
}

// never is a time that is not reached.
const never = vocab.Instant(1<<63 - 1)

func (o *owner) handleWorkersListed(e WorkersListed) {
	o.planDue = true
	listed := map[WorkerID]bool{}
	for _, info := range e.Workers {
		listed[info.ID] = true
		o.updateWorker(info)
	}
	for _, id := range e.Removed {
		o.markUnlisted(id)
	}
	if e.Full {
		o.workersKnown = true
		for _, id := range o.workerIDs {
			if !listed[id] {
				o.markUnlisted(id)
			}
		}
	}
	o.checkWorkers()
}

// updateWorker applies an entry of the platform's list of workers, unless it describes an earlier
// incarnation.
func (o *owner) updateWorker(info WorkerInfo) {
	w := o.worker(info.ID)
	earlier := w.info.Incarnation
	if w.info.Incarnation > info.Incarnation && w.listed {
		return
	}
	o.noteLaterIncarnation(info)
	w.info, w.listed = info, true
	if info.Draining {
		w.drainingIncarnation = info.Incarnation
	}
	o.noteDrain(w)
	w.evacuated, w.coldUntil = o.s.evacuations.contains(info.Zone), o.s.now.Add(info.ColdLeft)
	o.workersByMachine[info.Machine] = w
	if earlier != 0 && info.Incarnation > earlier {
		o.handleRestart(w, earlier, info.Incarnation)
	}
	if !w.fenced || w.failedPolls > 0 && w.nextPollAt == never {
		w.pollBy(o.s.now)
	}
}

func (o *owner) markUnlisted(id WorkerID) {
	if w := o.workers[id]; w != nil {
		w.listed = false
	}
}

// handleRestart resets the state of a worker that has a new incarnation. Its tasks are marked
// as lost only when a poll does not list them, because a start may have reached the new
// incarnation before the restart was known.
func (o *owner) handleRestart(w *worker, earlier, incarnation Millis) {
	openStarts := 0
	for _, t := range w.tasks {
		openStarts += t.openStarts
	}
	orderAge := int64(-1)
	if w.leaseSentAt != 0 {
		orderAge = o.s.now.Sub(w.leaseSentAt).Milliseconds()
	}
	o.s.logEvent(LogWorkerRestarted, "worker", w.info.ID, "born", incarnation, "earlier", earlier, "order_ms_ago", orderAge, "open_starts", openStarts)
	w.info.Incarnation = incarnation
	w.outcomes = runOutcomes{}
	w.fenced, w.ackedEnd, w.lastEnd, w.confirmedEnd, w.orphaned = false, 0, 0, 0, Resources{}
	o.resetClock(w)
	// The response to a poll in flight says nothing about the ends of the new incarnation.
	w.ackInFlight, w.ackWithheld, w.moreEnds = 0, false, false
	w.pollBy(o.s.now)
}

// checkWorkers sends the polls, starts and stops that are due and marks the tasks of workers
// with expired leases as lost.
func (o *owner) checkWorkers() {
	inFlight := 0
	var due []*worker
	canLeaveZones := len(o.s.evacuations.zones) > 0 && o.canLeaveZones()
	for _, id := range o.workerIDs {
		w := o.workers[id]
		o.noteDrain(w)
		o.expireLease(w)
		o.resendStops(w)
		o.resendStarts(w)
		o.moveTasksOut(w, canLeaveZones)
		switch {
		case w.pollInFlight:
			inFlight++
		case w.info.Address == "" || o.s.now < w.nextPollAt:
		case len(w.tasks) > 0:
			inFlight++
			o.sendPoll(w)
		default:
			due = append(due, w)
		}
	}
	o.pollIdle(due, inFlight)
	o.removeGoneWorkers()
}

// maxPollsInFlight bounds the polls of workers without tasks. After a takeover all workers of
// a large fleet are due at once, and the owner must go on renewing its ownership meanwhile.
const maxPollsInFlight = 256

// pollIdle polls workers without tasks, as many as the polls in flight allow.
func (o *owner) pollIdle(due []*worker, inFlight int) {
	for _, w := range due {
		if inFlight >= maxPollsInFlight {
			return
		}
		inFlight++
		o.sendPoll(w)
	}
}

// removeGoneWorkers removes workers that are not listed, have no tasks and hold no lease. No stray order may
// be on its way to a worker that is forgotten.
func (o *owner) removeGoneWorkers() {
	var gone []*worker
	o.workerIDs = slices.DeleteFunc(o.workerIDs, func(id WorkerID) bool {
		w := o.workers[id]
		if w.listed || w.pollInFlight || len(w.tasks) > 0 || len(w.inheritedBy) > 0 || o.s.now < max(w.leaseUntil, w.strayUntil) ||
			w.leaseSentAt != 0 && o.s.now < w.leaseSentAt.Add(o.s.strayLeaseSpan()) {
			return false
		}
		delete(o.workers, id)
		if o.workersByMachine[w.info.Machine] == w {
			delete(o.workersByMachine, w.info.Machine)
		}
		gone = append(gone, w)
		return true
	})
	o.forgetVerdicts(gone)
}

// expireLease marks the tasks of an unreachable worker as lost once its lease has expired.
func (o *owner) expireLease(w *worker) {
	if (!w.fenced || w.failedPolls > 0) && o.s.now >= max(w.leaseUntil, o.strayLeasesUntil(w, w.info.Incarnation)) {
		o.resolveGrants(w)
	}
	if len(w.tasks) == 0 || o.s.now < w.leaseUntil || w.fenced && w.failedPolls == 0 && w.listed {
		return
	}
	var expired []*task
	for _, t := range w.tasks {
		if o.s.now >= o.runExpiresAt(t) {
			expired = append(expired, t)
		}
	}
	o.loseRuns(w, expired, lossLeaseExpired)
}

// resendStops repeats stops without a response and stops runs whose start outcome remains unknown.
func (o *owner) resendStops(w *worker) {
	for _, t := range slices.Clone(w.tasks) {
		switch {
		case t.state == runStopping && t.fencedOffAt == 0 && o.s.now.Sub(t.stopSentAt) > stopRetryDelay:
			o.stopTask(t)
		case t.state == runStartUnknown && t.startSentAt != 0 && t.fencedOffAt == 0 && o.s.now.Sub(t.startSentAt) > startFenceDelay && w.fenced:
			o.stopTask(t)
		}
	}
}

// handlePolled processes the response of a worker to a poll.
func (o *owner) handlePolled(e Polled) {
	w := o.workers[e.Worker]
	if w == nil || !w.pollInFlight {
		return
	}
	w.pollInFlight = false
	if len(w.tasks) > 0 {
		o.health.notePoll(e.Outcome == Unknown || e.Outcome == NotDone)
	}
	if e.Outcome != OK {
		o.handlePollFailure(w, e)
		return
	}
	if w.failedPolls >= unreachableAfterPolls {
		o.s.logEvent(LogWorkerReachable, "worker", w.info.ID)
		o.planDue = true
	}
	w.failedPolls = 0
	o.endSilence(w)
	w.confirmedEnd = max(w.confirmedEnd, w.ackInFlight)
	if e.Incarnation > w.info.Incarnation {
		o.handleRestart(w, w.info.Incarnation, e.Incarnation)
	}
	if e.Incarnation < w.info.Incarnation {
		w.nextPollAt = o.s.now.Add(pollRetryDelay)
		return
	}
	o.withdrawPresumedCrash(w)
	if w.fenceDue {
		// Stray orders may still arrive, so that neither the list of runs nor the leases are final.
		w.nextPollAt = o.s.now
		o.sendPoll(w)
		return
	}
	if !w.fenced {
		w.fenced = true
		// From now on neither an earlier owner nor a stray order can extend the lease.
		w.leaseUntil = e.ReceivedAt.Add(o.earlierLeaseSpan)
		o.boundStrayLeases(w, e.ReceivedAt)
		o.planDue = true
	}
	w.clock, w.clockReadAt = e.Clock, e.ReceivedAt
	o.noteMoreEnds(w, e)
	o.processEnds(w, e.Ended)
	o.reconcileRuns(w, e)
	// A later incarnation says nothing about the runs of the earlier one, which are lost by now.
	w.lastHeardAt, w.silentSince, w.lossCounted = max(w.lastHeardAt, e.ReceivedAt), 0, false
	if !w.moreEnds {
		o.resolveGrants(w)
	}
	o.schedulePoll(w)
}

// noteMoreEnds notes whether the response to a poll may have left out ends.
func (o *owner) noteMoreEnds(w *worker, e Polled) {
	if e.MoreEnds && !w.moreEnds {
		o.s.logEvent(LogMoreEnds, "worker", w.info.ID, "ends", len(e.Ended), "running", len(e.Running), "assigned", len(w.tasks),
			"unacknowledged", w.lastEnd-w.confirmedEnd)
	}
	w.moreEnds = e.MoreEnds
}

// handlePollFailure schedules the next poll after a failed one, with a longer delay after each failure.
func (o *owner) handlePollFailure(w *worker, e Polled) {
	if e.Outcome == Fenced && e.Fence == w.fence {
		o.s.loseOwnership("a worker has seen a later owner")
		return
	}
	if w.silentSince == 0 {
		w.silentSince = o.s.now
	}
	if e.Outcome == Gone {
		// A different worker responds at the address, so this one no longer exists.
		o.loseRuns(w, w.tasks, lossWorkerReplaced)
		o.resolveGrants(w)
	}
	w.failedPolls++
	if w.failedPolls == unreachableAfterPolls && (w.listed || len(w.tasks) > 0) {
		o.s.logEvent(LogWorkerUnreachable, "worker", w.info.ID, "tasks", len(w.tasks), "outcome", e.Outcome.String(),
			"lease_left_ms", w.leaseUntil.Sub(o.s.now).Milliseconds(), "error", errorText(e.Err))
		o.noteSilent(w)
	}
	if !w.listed && len(w.tasks) == 0 {
		w.nextPollAt = never
		return
	}
	w.nextPollAt = o.s.now.Add(pollRetryDelay * time.Duration(min(w.failedPolls, 4)))
	if w.failedPolls == 1 {
		w.nextPollAt = o.s.now.Add(firstPollRetryDelay)
	}
}

// processEnds processes the ends that are new. They are acknowledged to the worker only once
// they are on the stream.
func (o *owner) processEnds(w *worker, ends []EndReport) {
	last := w.lastEnd
	for _, e := range ends {
		if e.Number <= w.lastEnd {
			continue
		}
		o.handleRunEnd(w, e)
		last = max(last, e.Number)
	}
	if last == w.lastEnd {
		return
	}
	w.lastEnd = last
	incarnation := w.info.Incarnation
	o.afterWrite(func() {
		if w.info.Incarnation == incarnation {
			w.ackedEnd = max(w.ackedEnd, last)
			o.schedulePoll(w)
		}
	})
}

// reconcileRuns compares the runs that a worker lists with the tasks that are assigned to it. A run that is
// missing is lost only if its end cannot be among those that the response leaves out.
func (o *owner) reconcileRuns(w *worker, e Polled) {
	reported := make(map[*task]bool, len(e.Running))
	w.orphaned = Resources{}
	for _, r := range e.Running {
		if j := o.jobs[r.Task.Job]; j != nil && j.terminalPhase == 0 {
			o.adoptGranted(j.findTask(r.Task), w, r.Run)
		}
		t := o.assignedTask(w.info.ID, r.Task, r.Run)
		if t == nil {
			o.stopOrphan(w, r)
			continue
		}
		reported[t] = true
		o.updateRun(t, r)
	}
	var restarted, unlisted []*task
	for _, t := range w.tasks {
		isRestarted := t.incarnation < w.info.Incarnation && t.state != runPlanned
		missing := !reported[t] && (isRestarted || t.lostIfUnlisted(e.SentAt))
		t.endUnread = missing && e.MoreEnds
		switch {
		case !missing || t.endUnread:
		case isRestarted:
			// The worker refuses what is still under way to its earlier incarnation.
			restarted = append(restarted, t)
		case o.resumeStart(t):
		default:
			unlisted = append(unlisted, t)
		}
	}
	o.loseRuns(w, restarted, lossWorkerRestarted)
	o.loseRuns(w, unlisted, lossUnlisted)
	o.throttleBestEffort(w)
}

// updateRun applies a worker's report about a run.
func (o *owner) updateRun(t *task, r RunReport) {
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.listed = true
	o.clearIfHealthy(t)
	t.progressPercent, t.tailLatencyMS, t.incarnation = r.ProgressPercent, r.TailLatencyMS, t.worker.info.Incarnation
	if t.state == runStarting || t.state == runStartUnknown {
		if t.startSentAt == 0 {
			t.startSentAt = o.s.now
			if t.plannedAt != 0 {
				// An earlier owner has sent the start.
				t.startSentAt = min(t.startSentAt, t.plannedAt.Add(-maxClockSkew))
			}
		}
		o.markStarted(t)
	}
}

// lostIfUnlisted reports whether a run that is missing from the worker's response to a poll sent
// at polledAt cannot be running any more.
func (t *task) lostIfUnlisted(polledAt vocab.Instant) bool {
	switch t.state {
	case runRunning:
		return t.startedAt < polledAt
	case runStopping:
		return t.fencedOffAt != 0 && t.fencedOffAt < polledAt
	case runStartUnknown:
		// startSentAt 0: sent by an earlier owner, whose orders the worker refuses since it
		// has seen the new fence.
		return t.startSentAt == 0
	default:
		return false
	}
}

// stopOrphan stops a run that is not assigned to the worker.
func (o *owner) stopOrphan(w *worker, r RunReport) {
	// A run of a job that is not known any more may be of any size.
	size := w.info.Capacity
	if j := o.jobs[r.Task.Job]; j != nil && r.Task.Step < len(j.acceptance.Spec.Steps) {
		size = j.acceptance.Spec.Steps[r.Task.Step].Reserved()
	}
	w.orphaned = w.orphaned.Plus(size)
	o.s.logEvent(LogOrphanedRunStopped, "task", r.Task, "run", r.Run, "worker", w.info.ID)
	o.s.emit(Stop{Worker: w.info.ID, Address: w.info.Address, Fence: w.fence, Task: r.Task, Run: r.Run})
	w.pollBy(o.s.now.Add(stopRetryDelay))
}
