package job

// A job may fail while other runs of it go on. They use their workers' room and their team's limit
// until they have been stopped, so that the record of the failed job lists them: the next owner
// counts and stops them as well.

// stoppingRows returns the rows of the tasks that are still assigned to a worker.
func (j *activeJob) stoppingRows() []taskRow {
	if j.assignedTasks == 0 {
		return nil
	}
	rows := j.hostRows()
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if row, ok := t.row(); ok && t.worker != nil {
					rows = append(rows, row)
				}
			}
		}
	}
	return rows
}

// compactStopped replaces the records of a finished job by compact ones once its last run has been
// stopped.
func (o *owner) compactStopped(j *activeJob) {
	if !j.stoppingWritten || j.assignedTasks > 0 {
		return
	}
	j.stoppingWritten = false
	record, err := encodeProgress(j.record.ID, j.terminalPhase, nil)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "job", j.record.ID, "error", err.Error())
		return
	}
	o.extraRecords = append(o.extraRecords, record)
	o.extraRecords = append(o.extraRecords, o.compactAcceptance(j)...)
}

// resumeStopping stops the runs of a finished job that an earlier owner has not stopped.
func (o *owner) resumeStopping(job *JobRecord) {
	if len(job.progress) == 0 || job.Acceptance == nil || len(job.Acceptance.Spec.Steps) == 0 {
		return
	}
	active, rows, err := newActiveJob(o.s.now, job)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "job", job.ID, "error", err.Error())
		return
	}
	job.progress = nil
	active.terminalPhase, active.terminalPhaseWritten, active.stoppingWritten = job.Phase, true, true
	o.jobs[job.ID], o.jobOrder = active, append(o.jobOrder, active)
	o.restoreOccurrences(active, rows)
	o.inheritHosts(rows)
	o.stopRuns(active)
	o.compactStopped(active)
	o.removeIfIdle(active)
}
