package job

import (
	"math"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/crash"
)

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
	if job.Cancelled && active.terminalPhase == 0 {
		o.finishJob(active, PhaseCancelled)
	}
}

// addJob adds an active job with the progress that its records have.
func (o *owner) addJob(job *JobRecord) *activeJob {
	active, rows, err := newActiveJob(o.s.now, job)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "job", job.ID, "error", err.Error())
		return nil
	}
	job.progress = nil
	o.jobs[job.ID] = active
	o.resolveTerms(active)
	active.overTeamRate = !o.takeRateToken(active)
	o.jobOrder = append(o.jobOrder, active)
	o.restoreOccurrences(active, rows)
	if !job.Cancelled {
		o.addDueOccurrences(active)
	}
	o.inheritHosts(rows)
	o.inheritGrants(active, rows)
	o.recordArrival(active)
	if total, _, _ := o.workAmounts(active); !active.hasLongRunningTasks() {
		o.queueWork.observe(active.acceptance.Queue, total)
	}
	o.planDue = true
	return active
}

// restoreTasks restores the task that a row describes, or all tasks of a completed step.
func (o *owner) restoreTasks(active *activeJob, row taskRow) {
	if row.Occurrence >= active.totalOccurrences() || row.Step >= len(active.acceptance.Spec.Steps) {
		return
	}
	occ := active.ensureOccurrence(row.Occurrence)
	st := occ.steps[row.Step]
	if row.StepCompleted {
		for _, t := range st.tasks {
			t.completed = true
		}
		st.completed = len(st.tasks)
		occ.remainingSteps--
		return
	}
	if row.Index >= len(st.tasks) {
		return
	}
	t := st.tasks[row.Index]
	t.lastRun, t.failures, t.checkpoint = row.Run, row.Failed, row.Checkpoint
	st.failedRun = max(st.failedRun, row.FailedRun)
	t.crash = crash.Record{
		Crashes: row.Crashes, Possible: row.Possible, Suspected: row.Suspected, Unexplained: row.Unexplained,
		LogRatio: float64(row.CentiLogRatio) / 100,
	}
	switch {
	case row.Completed:
		t.completed = true
		st.completed++
		if st.completed == len(st.tasks) {
			occ.remainingSteps--
		}
	case row.Worker != "":
		host := o.worker(row.Worker)
		o.bind(t, host, row.Incarnation)
		t.state = runStartUnknown
		t.plannedWall = active.acceptance.At + row.PlannedMS
		t.plannedAt = o.s.now.Add(-time.Duration(o.s.wall-t.plannedWall) * time.Millisecond)
		o.beginTrial(t)
	}
}

// finishJob moves a job to a terminal phase and stops its runs. A cancelled job is
// written to the stream once none of its tasks runs.
func (o *owner) finishJob(active *activeJob, phase Phase) {
	if active.terminalPhase != 0 {
		return
	}
	active.terminalPhase = phase
	o.stopRuns(active)
	if phase != PhaseCancelled || active.assignedTasks == 0 {
		o.markChanged(active)
	}
}

// stopRuns stops all runs of a job.
func (o *owner) stopRuns(active *activeJob) {
	for _, occ := range active.occurrences.live {
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
func (o *owner) removeIfIdle(active *activeJob) {
	if active.assignedTasks > 0 || !active.terminalPhaseWritten || !active.record.Phase.Finished() {
		return
	}
	delete(o.jobs, active.record.ID)
	if i := slices.Index(o.jobOrder, active); i >= 0 {
		o.jobOrder = slices.Delete(o.jobOrder, i, i+1)
	}
}

// finishWritten makes the terminal phases of jobs visible to callers, once they are on
// the stream.
func (o *owner) finishWritten(finished []*activeJob) {
	for _, active := range finished {
		active.record.Phase, active.record.finishedAt = active.terminalPhase, o.s.now
		o.finished = append(o.finished, active.record)
		o.logFinished(active)
		o.removeIfIdle(active)
	}
}

// logFinished logs the end of a job, with what a bound on the service of a day is computed from.
func (o *owner) logFinished(j *activeJob) {
	fields := []any{
		"job", j.record.ID, "state", string(j.terminalPhase), "ms", int64(o.s.wall - j.acceptance.At),
		"queue", j.acceptance.Queue, "pool", o.poolOf(j), "team", j.acceptance.Team,
	}
	if times := o.timesOf(j); times.known {
		work, _, _ := o.workAmounts(j)
		fields = append(fields, "core_s", roundTenth(work), "value", roundTenth(o.queueWork.value(j.acceptance.Queue, work)),
			"chain_ms", o.criticalPath(j).Milliseconds(), "objective_ms", times.objective.Milliseconds(), "timeliness", times.timeliness())
	}
	o.s.logEvent(LogJobFinished, fields...)
}

func roundTenth(x float64) float64 { return math.Round(x*10) / 10 }

// removeExpiredJobs removes finished jobs whose retention has passed from the ledger
// and from the stream.
func (o *owner) removeExpiredJobs() {
	for len(o.finished) > 0 && len(o.extraRecords) < 3*maxRemovedJobs && o.s.now.Sub(o.finished[0].finishedAt) > o.s.settings.KeepFinished {
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
func (o *owner) compactAcceptance(active *activeJob) []Record {
	compact := *active.acceptance
	compact.Spec, compact.Terms = Spec{}, Terms{}
	record, err := encodeAcceptance(active.record.ID, &compact)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "job", active.record.ID, "error", err.Error())
		return nil
	}
	return []Record{record}
}
