package job

import "slices"

// bind assigns a task to a worker.
func (o *owner) bind(t *task, w *worker, born Millis) {
	t.worker, t.born = w, born
	t.sentAt, t.answeredAt, t.stopAt, t.barredAt = 0, 0, 0, 0
	t.percent, t.tailMS, t.pace = 0, 0, 100
	t.copies, t.unanswered = 0, 0
	w.tasks = append(w.tasks, t)
	w.used = w.used.Plus(t.step.spec.Reserved())
	t.step.assigned++
	t.step.work.running++
	team := t.step.work.accepted.Team
	o.teamUsage[team] = o.teamUsage[team].Plus(t.step.spec.Need)
}

// release takes a task from its worker.
func (o *owner) release(t *task) {
	w := t.worker
	t.worker, t.freeAt = nil, o.s.now
	if i := slices.Index(w.tasks, t); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
	w.used = w.used.Minus(t.step.spec.Reserved())
	t.step.assigned--
	t.step.work.running--
	team := t.step.work.accepted.Team
	o.teamUsage[team] = o.teamUsage[team].Minus(t.step.spec.Need)
	o.planDue = true
	o.touchReleased(t.step.work)
}

// touchReleased writes a job of which a task was released. A cancelled job is
// written once nothing of it runs.
func (o *owner) touchReleased(w *work) {
	if w.ended == 0 || w.running == 0 && !w.written {
		o.markChanged(w)
	}
	o.removeIfIdle(w)
}

// assign places a task on a worker. The start follows once the intent is on
// the stream.
func (o *owner) assign(t *task, w *worker) {
	o.bind(t, w, w.info.Born)
	t.lastRun++
	t.stage = planned
	run := t.lastRun
	o.markChanged(t.step.work)
	o.afterWrite(func() { o.orderStart(t, run) })
}

// orderStart orders the start of an intended run, unless it is no longer wanted.
func (o *owner) orderStart(t *task, run Run) {
	if t.worker == nil || t.lastRun != run || t.stage != planned {
		return
	}
	w := t.worker
	if t.step.work.ended != 0 || !o.mayOrder() || w.info.Draining || !w.usable(o.s.now) || t.born != w.info.Born {
		o.release(t)
		return
	}
	t.stage, t.sentAt = starting, o.s.now
	o.emitStart(t)
}

// repeatStarts sends starts that have no answer once more, under the same run.
func (o *owner) repeatStarts(w *worker) {
	for _, t := range w.tasks {
		if t.stage == starting && t.copies == 1 && o.s.now.Sub(t.sentAt) > startRepeatDelay && o.mayOrder() &&
			t.step.work.ended == 0 && !w.info.Draining && t.born == w.info.Born {
			o.emitStart(t)
		}
	}
}

func (o *owner) emitStart(t *task) {
	w := t.worker
	t.copies++
	t.unanswered++
	ticket, _ := t.step.ticketFor(w, o.s.now)
	w.leaseUntil = max(w.leaseUntil, o.s.now.Add(o.s.maxLeaseSpan()))
	o.s.emit(Start{
		Worker: w.info.ID, Address: w.info.Address, Fence: o.fence, Task: t.name(), Run: t.lastRun,
		Payload: t.step.work.accepted.Spec.Payload, Checkpoint: t.checkpoint, Ticket: ticket,
		Lease: w.clockAt(o.s.now) + o.s.lease(), Until: o.ordersUntil,
	})
}

// assigned returns the task if this run of it is assigned to the worker.
func (o *owner) assigned(id WorkerID, name TaskName, run Run) *task {
	w := o.jobs[name.Job]
	if w == nil {
		return nil
	}
	t := w.find(name)
	if t == nil || t.worker == nil || t.worker.info.ID != id || t.lastRun != run {
		return nil
	}
	return t
}

func (o *owner) startAnswered(e StartAnswered) {
	t := o.assigned(e.Worker, e.Task, e.Run)
	if t == nil || t.stage != starting {
		return
	}
	w := t.worker
	t.unanswered--
	switch e.Outcome {
	case OK:
		o.started(t)
	case Unknown:
		if t.unanswered > 0 {
			return
		}
		o.s.logEvent(LogStartFailed, "task", e.Task, "run", e.Run, "worker", e.Worker, "outcome", e.Outcome.String(), "error", errorText(e.Err))
		t.stage = unclear
		w.pollSoon(o.s.now)
	default:
		o.s.logEvent(LogStartFailed, "task", e.Task, "run", e.Run, "worker", e.Worker, "outcome", e.Outcome.String(),
			"refusal", e.Refusal, "error", errorText(e.Err))
		w.avoidUntil = o.s.now.Add(refusalBackoff)
		if e.Refusal == RefusalTicket {
			delete(t.step.tickets, w.info.ID)
			w.avoidUntil = 0
		}
		if t.copies > 1 {
			// The other copy may be carried out, or was: the worker's list tells.
			t.stage = unclear
			w.pollSoon(o.s.now)
			return
		}
		o.release(t)
		o.stopGang(t.step)
	}
}

func (o *owner) started(t *task) {
	t.stage, t.answeredAt = running, o.s.now
	w := t.step.work
	if !w.begun {
		w.begun = true
		o.markChanged(w)
	}
	o.s.logEvent(NoteStarted, "task", t.name(), "run", t.lastRun, "worker", t.worker.info.ID,
		"wait_ms", o.s.now.Sub(w.seenAt).Milliseconds())
	if w.ended != 0 {
		o.stopTask(t)
	}
	t.worker.pollSoon(o.s.now)
}

// stopTask ends a run. One that was not ordered yet is only released.
func (o *owner) stopTask(t *task) {
	if t.stage == planned {
		o.release(t)
		return
	}
	if t.stage != stopping {
		t.barredAt = 0
	}
	t.stage, t.stopAt = stopping, o.s.now
	if t.worker.info.Address == "" {
		return
	}
	o.s.emit(Stop{
		Worker: t.worker.info.ID, Address: t.worker.info.Address, Fence: o.fence, Task: t.name(), Run: t.lastRun,
	})
}

func (o *owner) stopAnswered(e StopAnswered) {
	t := o.assigned(e.Worker, e.Task, e.Run)
	if t == nil {
		return
	}
	switch e.Outcome {
	case OK:
		t.barredAt = o.s.now
		t.worker.pollSoon(o.s.now)
	case Gone:
		// The worker has a later life, which knows nothing of the run.
		o.release(t)
	default:
		// checkWorkers repeats the stop.
	}
}

// runEnded takes the end of a run as the worker lists it.
func (o *owner) runEnded(w *worker, e EndReport) {
	job := o.jobs[e.Task.Job]
	if job == nil {
		return
	}
	t := job.find(e.Task)
	if t == nil || t.done {
		return
	}
	if t.worker != w || t.lastRun != e.Run {
		o.lateEnd(t, e)
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	o.s.logEvent(NoteEnded, "task", e.Task, "run", e.Run, "worker", w.info.ID, "how", int(e.End), "failed", t.failed, "estimate_ms", t.step.spec.EstimateMS,
		"queue", job.accepted.Queue,
		"after_ms", o.s.now.Sub(max(t.sentAt, job.seenAt)).Milliseconds())
	switch e.End {
	case EndDone:
		if t.lastRun == 1 && t.answeredAt != 0 {
			o.estimates.observe(job.accepted.Queue, t.step.spec.EstimateMS, o.s.now.Sub(t.answeredAt))
		}
		o.taskDone(t)
	case EndFailed:
		o.release(t)
		o.taskFailed(t)
	default:
		o.release(t)
	}
	o.stopGang(t.step)
}

// stopGang stops the other members of a gang of which one ended or could not
// start: they work only together.
func (o *owner) stopGang(st *step) {
	if !st.spec.Gang || st.done == len(st.tasks) {
		return
	}
	for _, t := range st.tasks {
		if t.worker != nil && t.stage != stopping {
			o.stopTask(t)
		}
	}
}

// lateEnd takes the end of a run that had been given up as lost.
func (o *owner) lateEnd(t *task, e EndReport) {
	i := slices.Index(t.lost, e.Run)
	if i < 0 {
		return
	}
	t.lost = slices.Delete(t.lost, i, i+1)
	switch e.End {
	case EndDone:
		o.s.logEvent(NoteEnded, "task", e.Task, "run", e.Run, "how", int(e.End), "late", true)
		if t.worker != nil {
			o.stopTask(t)
		}
		o.taskDone(t)
	case EndFailed:
		o.taskFailed(t)
	}
}

func (o *owner) taskDone(t *task) {
	w := t.step.work
	if t.worker != nil && t.stage != stopping {
		o.release(t)
	}
	t.done = true
	t.step.done++
	if t.step.spec.Gang {
		o.gangDone(t.step)
	}
	if t.step.done == len(t.step.tasks) {
		t.step.occurrence.left--
	}
	o.markChanged(w)
	if w.ended == 0 && w.complete() {
		w.ended = PhaseCompleted
	}
}

// gangDone ends the other members of a gang: one end stands for all.
func (o *owner) gangDone(st *step) {
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		if t.worker != nil {
			o.release(t)
		}
		t.done = true
		st.done++
	}
}

func (o *owner) taskFailed(t *task) {
	w := t.step.work
	t.failed++
	if t.step.spec.Gang {
		for _, other := range t.step.tasks {
			other.failed = t.failed
		}
	}
	o.markChanged(w)
	if t.step.spec.LongRunning || w.ended != 0 {
		return
	}
	most := 1
	if q := o.queueOf(w); q != nil {
		most = max(1, q.MaxAttempts)
	}
	if t.failed >= most {
		o.finishJob(w, PhaseFailed)
	}
}

// lose gives a run up whose worker cannot have it any more.
func (o *owner) lose(t *task, why string) {
	o.s.logEvent(NoteLost, "task", t.name(), "run", t.lastRun, "worker", t.worker.info.ID, "why", why)
	if t.stage != planned {
		t.lost = append(t.lost, t.lastRun)
	}
	o.release(t)
}
