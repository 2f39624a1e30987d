package job

import "slices"

// jobChanged starts to schedule a job that was accepted, and finishes one that was
// cancelled.
func (o *owner) jobChanged(job *JobRecord) {
	if o.stage != stageActive || job == nil || job.Acceptance == nil || job.Phase.Finished() {
		return
	}
	active := o.jobs[job.ID]
	if active == nil {
		active = o.addJob(job)
		if active == nil {
			return
		}
	}
	if job.Cancelled && active.ended == 0 {
		o.finishJob(active, PhaseCancelled)
	}
}

// addJob adds an active job with the progress that its records have.
func (o *owner) addJob(job *JobRecord) *work {
	active, rows, err := newWork(o.s.now, job)
	if err != nil {
		o.s.logEvent(NoteRecordBad, "job", job.ID, "error", err.Error())
		return nil
	}
	job.progress = nil
	o.jobs[job.ID] = active
	active.excess = !o.withinRate(active)
	o.jobOrder = append(o.jobOrder, active)
	active.extend(o.s.wall)
	for _, row := range rows {
		o.restoreTasks(active, row)
	}
	o.expectWork(active)
	o.planDue = true
	return active
}

// restoreTasks restores the task that a row describes, or all tasks of a completed step.
func (o *owner) restoreTasks(active *work, row taskRow) {
	if row.Occurrence >= active.total() || row.Step >= len(active.accepted.Spec.Steps) {
		return
	}
	occ := active.occurrence(row.Occurrence)
	st := occ.steps[row.Step]
	if row.StepCompleted {
		for _, t := range st.tasks {
			t.done = true
		}
		st.done = len(st.tasks)
		occ.left--
		return
	}
	if row.Index >= len(st.tasks) {
		return
	}
	t := st.tasks[row.Index]
	t.lastRun, t.failed, t.checkpoint = row.Run, row.Failed, row.Checkpoint
	switch {
	case row.Completed:
		t.done = true
		st.done++
		if st.done == len(st.tasks) {
			occ.left--
		}
	case row.Worker != "":
		host := o.worker(row.Worker)
		o.bind(t, host, row.Incarnation)
		t.stage = unclear
	}
}

// finishJob moves a job to a terminal phase and stops its runs. A cancelled job is
// written to the stream once none of its tasks runs.
func (o *owner) finishJob(active *work, phase Phase) {
	if active.ended != 0 {
		return
	}
	active.ended = phase
	o.stopRuns(active)
	if phase != PhaseCancelled || active.running == 0 {
		o.markChanged(active)
	}
}

// stopRuns stops all runs of a job.
func (o *owner) stopRuns(active *work) {
	for _, occ := range active.occurrences {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.worker != nil {
					o.stopTask(t)
				}
			}
		}
	}
}

// removeIfIdle removes a job from the active jobs once its terminal phase is on the
// stream and none of its tasks runs.
func (o *owner) removeIfIdle(active *work) {
	if active.running > 0 || !active.written || !active.entry.Phase.Finished() {
		return
	}
	delete(o.jobs, active.entry.ID)
	if i := slices.Index(o.jobOrder, active); i >= 0 {
		o.jobOrder = slices.Delete(o.jobOrder, i, i+1)
	}
}

// finishWritten makes the terminal phases of jobs visible to callers, once they are on
// the stream.
func (o *owner) finishWritten(finished []*work) {
	for _, active := range finished {
		active.entry.Phase, active.entry.finishedAt = active.ended, o.s.now
		o.finished = append(o.finished, active.entry)
		o.s.logEvent(LogJobFinished, "job", active.entry.ID, "state", string(active.ended),
			"ms", int64(o.s.wall-active.accepted.At))
		o.removeIfIdle(active)
	}
}

// removeExpiredJobs removes finished jobs whose retention has passed from the ledger
// and from the stream.
func (o *owner) removeExpiredJobs() {
	for len(o.finished) > 0 && o.s.now.Sub(o.finished[0].finishedAt) > o.s.settings.KeepEnded {
		job := o.finished[0]
		o.finished = o.finished[1:]
		for _, prefix := range []string{acceptedPrefix, progressPrefix, cancelledPrefix} {
			o.extraRecords = append(o.extraRecords, Record{Key: prefix + string(job.ID)})
		}
		delete(o.s.ledger.Jobs, job.ID)
	}
}

// compactAcceptance returns a record that replaces the acceptance of a finished job by
// one without its spec, so that a starting process has less to load.
func (o *owner) compactAcceptance(active *work) []Record {
	compact := *active.accepted
	compact.Spec = Spec{}
	record, err := encodeAcceptance(active.entry.ID, &compact)
	if err != nil {
		o.s.logEvent(NoteRecordBad, "job", active.entry.ID, "error", err.Error())
		return nil
	}
	return []Record{record}
}
