package job

import "slices"

// bind assigns a task to a worker and reserves its resources there.
func (o *owner) bind(t *task, w *worker, incarnation Millis) {
	t.worker, t.incarnation = w, incarnation
	t.startSentAt, t.startedAt, t.stopSentAt, t.fencedOffAt = 0, 0, 0, 0
	t.progressPercent, t.tailLatencyMS, t.cpuPercent = 0, 0, 100
	t.startsSent, t.startsUnanswered, t.listed, t.endUnread = 0, 0, false, false
	t.openStarts, t.clockAtStart = 0, 0
	w.tasks = append(w.tasks, t)
	w.used = w.used.Plus(t.step.spec.Reserved())
	t.step.assigned++
	t.step.job.assignedTasks++
	team := t.step.job.acceptance.Team
	o.teamUsage[team] = o.teamUsage[team].Plus(t.step.spec.Need)
}

// release removes a task from its worker and frees its resources.
func (o *owner) release(t *task) {
	w := t.worker
	t.worker, t.releasedAt = nil, o.s.now
	if i := slices.Index(w.tasks, t); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
	w.used = w.used.Minus(t.step.spec.Reserved())
	t.step.assigned--
	t.step.job.assignedTasks--
	team := t.step.job.acceptance.Team
	o.teamUsage[team] = o.teamUsage[team].Minus(t.step.spec.Need)
	o.planDue = true
	o.markReleased(t.step.job)
}

// markReleased marks a job for writing after one of its tasks was released. A cancelled job
// is written only once none of its tasks is assigned.
func (o *owner) markReleased(j *activeJob) {
	if j.terminalPhase == 0 || j.assignedTasks == 0 && !j.terminalPhaseWritten {
		o.markChanged(j)
	}
	o.compactStopped(j)
	o.removeIfIdle(j)
}

// assign places a task on a worker. The start is sent once the intent is on the stream.
func (o *owner) assign(t *task, w *worker) {
	o.bind(t, w, w.info.Incarnation)
	t.lastRun++
	t.state = runPlanned
	run := t.lastRun
	t.plannedAt, t.plannedWall = o.s.now, o.s.wall
	o.beginTrial(t)
	o.markChanged(t.step.job)
	o.afterWrite(func() { o.sendStart(t, run) })
}

// sendStart sends the start of an intended run, unless the run is no longer wanted.
func (o *owner) sendStart(t *task, run Run) {
	if t.worker == nil || t.lastRun != run || t.state != runPlanned || o.resigned {
		return // The next owner starts the runs that an owner which has resigned did not.
	}
	w := t.worker
	if t.step.job.terminalPhase != 0 || !o.mayStart() || w.info.Draining || !w.usable(o.s.now) || w.overcommitted() || t.incarnation != w.info.Incarnation {
		o.release(t)
		return
	}
	t.state, t.startSentAt = runStarting, o.s.now
	o.emitStart(t)
}

// resendStarts sends each unanswered start once more, under the same run number.
func (o *owner) resendStarts(w *worker) {
	for _, t := range slices.Clone(w.tasks) {
		if w.evacuated {
			o.fenceStart(t)
		}
		if t.state == runStarting && t.startsSent == 1 && o.s.now.Sub(t.startSentAt) > startRepeatDelay && o.mayStart() &&
			t.step.job.terminalPhase == 0 && !w.info.Draining && !w.overcommitted() && t.incarnation == w.info.Incarnation {
			o.emitStart(t)
		}
	}
}

// emitStart sends the start of a run and extends the worker's lease accordingly.
func (o *owner) emitStart(t *task) {
	w := t.worker
	t.startsSent++
	t.startsUnanswered++
	t.openStarts++
	if t.startsSent == 1 {
		t.clockAtStart = w.clockAtLeast(o.s.now)
	}
	ticket, _ := t.step.ticketFor(w, o.s.now)
	w.lastStartAt, w.lossCounted = o.s.now, false
	o.s.emit(Start{
		Worker: w.info.ID, Address: w.info.Address, Fence: w.fence, Task: t.name(), Run: t.lastRun,
		Payload: t.step.job.acceptance.Spec.Payload, Checkpoint: t.checkpoint, Ticket: ticket,
		Lease: o.grantLease(w), Until: o.ordersUntil,
	})
}

// assignedTask returns the task if this run of it is assigned to the worker, otherwise nil.
func (o *owner) assignedTask(id WorkerID, name TaskName, run Run) *task {
	j := o.jobs[name.Job]
	if j == nil {
		return nil
	}
	t := j.findTask(name)
	if t == nil || t.worker == nil || t.worker.info.ID != id || t.lastRun != run {
		return nil
	}
	return t
}

func (o *owner) handleStartAnswered(e StartAnswered) {
	t := o.assignedTask(e.Worker, e.Task, e.Run)
	if t == nil {
		return
	}
	o.closeStart(t, e)
	if t.state != runStarting {
		return
	}
	w := t.worker
	t.startsUnanswered--
	if e.Outcome == OK || e.Refusal != RefusalNone {
		w.lastHeardAt = max(w.lastHeardAt, o.s.now)
	}
	switch e.Outcome {
	case OK:
		o.health.noteStart(o.s.now.Sub(e.SentAt))
		o.markStarted(t)
	case Unknown:
		if t.startsUnanswered > 0 {
			return
		}
		o.s.logEvent(LogStartFailed, "task", e.Task, "run", e.Run, "worker", e.Worker, "outcome", e.Outcome.String(), "error", errorText(e.Err))
		t.state = runStartUnknown
		w.pollBy(o.s.now)
	default:
		o.s.logEvent(LogStartFailed, "task", e.Task, "run", e.Run, "worker", e.Worker, "outcome", e.Outcome.String(),
			"refusal", e.Refusal, "error", errorText(e.Err))
		if e.Refusal == RefusalTicket {
			t.step.dropTicket(w)
		} else {
			w.avoidUntil = o.s.now.Add(refusalBackoff)
		}
		if t.startsSent > 1 {
			// The other copy may still be carried out, or was carried out: the worker's next
			// list of runs shows it.
			t.state = runStartUnknown
			w.pollBy(o.s.now)
			return
		}
		o.release(t)
		o.stopGang(t.step)
	}
}

// closeStart notes the result of a copy of the start. A clock of the worker that reads less than when the
// copy was sent shows that a later incarnation has received it: the lease may be as long as workers
// allow, also that of a start which is refused.
func (o *owner) closeStart(t *task, e StartAnswered) {
	if e.Outcome == Unknown {
		return
	}
	restarted := e.Clock > 0 && e.Clock < t.clockAtStart
	if restarted {
		o.s.logEvent(LogStartInLaterIncarnation, "task", e.Task, "run", e.Run, "worker", e.Worker, "outcome", e.Outcome.String(),
			"clock_ms", e.Clock.Milliseconds(), "earlier_clock_ms", t.clockAtStart.Milliseconds(), "sent_ms_ago", o.s.now.Sub(e.SentAt).Milliseconds())
		o.noteStrayOrders(t.worker)
		t.worker.fenced = false
		t.worker.pollBy(o.s.now)
	}
	if !restarted || e.Outcome != OK {
		t.openStarts--
	}
}

// markStarted records that a run has started, and stops the run if its job has finished meanwhile.
func (o *owner) markStarted(t *task) {
	t.state, t.startedAt = runRunning, o.s.now
	t.step.noteTicketUsed()
	j := t.step.job
	if !j.started {
		j.started = true
		o.markChanged(j)
	}
	o.s.logEvent(LogRunStarted, "task", t.name(), "run", t.lastRun, "worker", t.worker.info.ID,
		"wait_ms", o.s.now.Sub(j.firstSeenAt).Milliseconds())
	if j.terminalPhase != 0 {
		o.stopTask(t)
	}
	t.worker.pollBy(o.s.now)
}

// stopTask stops a run. A run whose start was not sent yet is only released.
func (o *owner) stopTask(t *task) {
	if t.state == runPlanned {
		o.release(t)
		return
	}
	if t.state != runStopping {
		t.fencedOffAt = 0
	}
	t.state, t.stopSentAt = runStopping, o.s.now
	if t.worker.info.Address == "" {
		return
	}
	o.s.emit(Stop{
		Worker: t.worker.info.ID, Address: t.worker.info.Address, Fence: t.worker.fence, Task: t.name(), Run: t.lastRun,
	})
}

func (o *owner) handleStopAnswered(e StopAnswered) {
	t := o.assignedTask(e.Worker, e.Task, e.Run)
	if t == nil {
		return
	}
	switch e.Outcome {
	case OK:
		t.fencedOffAt = o.s.now
		t.worker.pollBy(o.s.now)
	case Gone:
		// The worker has restarted, and its new incarnation does not have the run.
		o.release(t)
	default:
		// checkWorkers sends the stop again.
	}
}

// handleRunEnd processes the end of a run as reported by its worker.
func (o *owner) handleRunEnd(w *worker, e EndReport) {
	j := o.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.findTask(e.Task)
	if t == nil || t.completed {
		return
	}
	o.adoptGranted(t, w, e.Run)
	if t.worker != w || t.lastRun != e.Run {
		o.handleLateEnd(t, e)
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	o.s.logEvent(LogRunEnded, "task", e.Task, "run", e.Run, "worker", w.info.ID, "how", int(e.End), "failed", t.failures, "estimate_ms", t.step.spec.EstimateMS,
		"queue", j.acceptance.Queue,
		"after_ms", o.s.now.Sub(max(t.startSentAt, j.firstSeenAt)).Milliseconds())
	switch e.End {
	case EndCompleted:
		o.noteRunTime(t)
		o.noteOutcome(t, w, false)
		o.completeTask(t)
	case EndFailed:
		o.noteOutcome(t, w, true)
		o.noteSurvival(t, w)
		o.release(t)
		o.failTask(t, e.Run)
	default:
		o.noteSurvival(t, w)
		o.release(t)
	}
	o.stopGang(t.step)
}

// stopGang stops the other members of a gang after one of them ended or could not start,
// since a gang can only run with all its members.
func (o *owner) stopGang(st *step) {
	if !st.spec.Gang || st.completed == len(st.tasks) {
		return
	}
	for _, t := range st.tasks {
		if t.worker != nil && t.state != runStopping {
			o.stopTask(t)
		}
	}
}

// handleLateEnd processes the end of a run that had been marked as lost.
func (o *owner) handleLateEnd(t *task, e EndReport) {
	i := slices.Index(t.lostRuns, e.Run)
	if i < 0 {
		return
	}
	t.lostRuns = slices.Delete(t.lostRuns, i, i+1)
	switch e.End {
	case EndCompleted:
		o.s.logEvent(LogRunEnded, "task", e.Task, "run", e.Run, "how", int(e.End), "late", true)
		if t.worker != nil {
			o.stopTask(t)
		}
		o.completeTask(t)
	case EndFailed:
		o.failTask(t, e.Run)
	}
}

// completeTask marks a task as completed, and the job if it was the last task.
func (o *owner) completeTask(t *task) {
	j := t.step.job
	if t.worker != nil && t.state != runStopping {
		o.release(t)
	}
	t.completed = true
	t.step.completed++
	if t.step.spec.Gang {
		o.completeGang(t.step)
	}
	if t.step.completed == len(t.step.tasks) {
		t.step.occurrence.remainingSteps--
	}
	o.markChanged(j)
	if j.terminalPhase == 0 && j.isComplete() {
		j.terminalPhase = PhaseCompleted
	}
}

// completeGang completes the other members of a gang: the first completed member completes
// the gang.
func (o *owner) completeGang(st *step) {
	for _, t := range st.tasks {
		if t.completed {
			continue
		}
		if t.worker != nil {
			o.release(t)
		}
		t.completed = true
		st.completed++
	}
}

// failTask counts a failed run, and fails the job once the task has no attempts left. A run of a gang
// counts once, however many of its members report that it failed.
func (o *owner) failTask(t *task, run Run) {
	j := t.step.job
	if t.step.spec.Gang && run <= t.step.failedRun {
		return
	}
	t.failures++
	if t.step.spec.Gang {
		t.step.failedRun = run
		for _, other := range t.step.tasks {
			other.failures = t.failures
		}
	}
	o.markChanged(j)
	o.failIfExhausted(t)
}

// markLost releases a run that its worker cannot be running any more.
func (o *owner) markLost(t *task, cause lossCause, planned bool) {
	ranMS := int64(-1)
	if t.startSentAt != 0 {
		ranMS = o.s.now.Sub(t.startSentAt).Milliseconds()
	}
	o.s.logEvent(LogRunLost, "task", t.name(), "run", t.lastRun, "worker", t.worker.info.ID, "why", cause.String(),
		"cause", cause.label(), "planned", planned, "since_start_ms", ranMS, "age_ms", o.s.now.Sub(t.plannedAt).Milliseconds(),
		"lived_ms", o.lived(t).Milliseconds(), "open_starts", t.openStarts)
	if t.state != runPlanned {
		t.lostRuns = append(t.lostRuns, t.lastRun)
	}
	o.release(t)
}
