package job

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/crash"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// activeJob is the owner's state of a job that has not finished.
type activeJob struct {
	record      *JobRecord
	acceptance  *Acceptance
	occurrences occurrences
	// waitingLogged is set once a log event has said that occurrences wait for others to complete.
	waitingLogged bool
	// assignedTasks counts the tasks that are assigned to a worker.
	assignedTasks int
	// started is set once a run of the job has started.
	started bool
	// overTeamRate is set if the job was submitted beyond its team's rate.
	overTeamRate  bool
	terminalPhase Phase // 0 until the job finishes
	dirty         bool
	// terminalPhaseWritten is set once the terminal phase was added to an append, which may still be
	// in progress.
	terminalPhaseWritten bool
	// stoppingWritten is set if the record of the terminal phase lists runs that are being stopped.
	stoppingWritten bool
	// firstSeenAt is the time when the owner first saw the job.
	firstSeenAt vocab.Instant
	// times is the position relative to the objective as of the time timesAt.
	times   jobTimes
	timesAt vocab.Instant
	// class is the service class in the last placement pass.
	class int
	// maxAttempts is the number of failed runs of a task after which the job fails; 0 as long as it is not
	// known.
	maxAttempts int
	// grants holds the workers on which tasks may start under a grant, inherited those on
	// which an earlier owner may have started some.
	grants, inherited []*grant
}

// step is the state of a step within an occurrence.
type step struct {
	job        *activeJob
	occurrence *occurrence
	number     int
	spec       *Step
	tasks      []*task
	completed  int
	assigned   int
	// failedRun is the last run of a gang that was counted as failed.
	failedRun Run
	advice    stepAdvice
	// obstacle is why tasks of the step wait, as of the last placement pass, loggedObstacle what the last log
	// event said, at the time obstacleLoggedAt.
	obstacle, loggedObstacle obstacle
	obstacleLoggedAt         vocab.Instant
	// runTime is the learned run time of a task, longestTime that of the longest task, as of the time
	// timesAt.
	runTime, longestTime time.Duration
	timesAt              vocab.Instant
	// observedRuns counts the runs that have completed under this owner, longestRun is the longest of them.
	observedRuns int
	longestRun   time.Duration
}

// runState is the state of the last run of an assigned task.
type runState int

const (
	// runPlanned means that the intent to start the run is not on the stream yet.
	runPlanned runState = iota
	// runStarting means that the start was sent and has no response yet.
	runStarting
	// runStartUnknown means that the outcome of the start is unknown, or an earlier owner sent it.
	runStartUnknown
	// runRunning means that the worker confirmed or listed the run.
	runRunning
	// runStopping means that a stop of the run was sent.
	runStopping
)

// task is the state of one task of a step.
type task struct {
	step      *step
	index     int
	completed bool
	failures  int
	// lastRun is the highest run number that was ever intended.
	lastRun Run
	// checkpoint is the newest known checkpoint.
	checkpoint string
	// worker is the worker that the task is assigned to, or nil; incarnation is that worker's
	// incarnation.
	worker      *worker
	incarnation Millis
	state       runState
	// startSentAt is the time when the start was sent, startedAt when it succeeded, stopSentAt when
	// a stop was last sent, and fencedOffAt when a stop succeeded, after which the run cannot start
	// any more.
	startSentAt, startedAt, stopSentAt, fencedOffAt vocab.Instant
	progressPercent                                 int
	// releasedAt is the time when the task was last released.
	releasedAt    vocab.Instant
	cpuPercent    int
	tailLatencyMS int64
	// startsSent counts the copies of the start that were sent, startsUnanswered those
	// without a response.
	startsSent, startsUnanswered int
	// openStarts counts the copies of the start that may still be carried out, or that a later incarnation
	// of the worker has carried out. clockAtStart is the reading that the worker's clock had reached for
	// certain when the first copy was sent.
	openStarts   int
	clockAtStart time.Duration
	// listed is set once the worker has listed the run. endUnread is set while the run is missing from the
	// worker's responses and its end may be among those that they leave out.
	listed, endUnread bool
	// failedOn is the worker on which a run of the task last failed.
	failedOn WorkerID
	// crash is what is known of the crashes of the task's workers, trial the condition under which
	// its run was started.
	crash crash.Record
	trial crash.Trial
	// plannedAt is the time when the run was intended, by whichever owner.
	plannedAt vocab.Instant
	// plannedWall is plannedAt as a time of day, for the record.
	plannedWall Millis
	// lostRuns holds the runs that were marked as lost and whose end is not known.
	lostRuns []Run
}

func (t *task) name() TaskName {
	return TaskName{t.step.job.record.ID, t.step.occurrence.number, t.step.number, t.index}
}

// newActiveJob builds the state of a job from its records and decodes its task rows.
func newActiveJob(now vocab.Instant, record *JobRecord) (*activeJob, []taskRow, error) {
	if reason := validateSpec(&record.Acceptance.Spec); reason != "" {
		return nil, nil, errors.Wrap(ErrBadRecord, reason)
	}
	j := &activeJob{record: record, acceptance: record.Acceptance, firstSeenAt: now, started: record.Phase != PhaseQueued}
	rows, err := decodeRows(record.progress)
	if err != nil {
		return nil, nil, err
	}
	return j, rows, nil
}

// findTask returns a task by name, or nil.
func (j *activeJob) findTask(n TaskName) *task {
	occ := j.findOccurrence(n.Occurrence)
	if occ == nil || n.Step >= len(occ.steps) || n.Index >= len(occ.steps[n.Step].tasks) {
		return nil
	}
	return occ.steps[n.Step].tasks[n.Index]
}

// ready reports whether all steps that the step depends on are completed.
func (st *step) ready() bool {
	for _, before := range st.spec.After {
		other := st.occurrence.steps[before]
		if other.completed < len(other.tasks) {
			return false
		}
	}
	return true
}

// waiting is the number of tasks that are neither completed nor assigned.
func (st *step) waiting() int { return len(st.tasks) - st.completed - st.assigned }

// taskRows returns the state to store of all tasks that have ever been placed.
func (j *activeJob) taskRows() []taskRow {
	rows := append(j.grantRows(), j.hostRows()...)
	for k, retired := range j.occurrences.retired {
		for i := range j.acceptance.Spec.Steps {
			if retired {
				rows = append(rows, taskRow{Occurrence: k, Step: i, StepCompleted: true})
			}
		}
	}
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.completed == len(st.tasks) {
				rows = append(rows, taskRow{Occurrence: occ.number, Step: st.number, StepCompleted: true})
				continue
			}
			for _, t := range st.tasks {
				if row, ok := t.row(); ok {
					rows = append(rows, row)
				}
			}
		}
	}
	return rows
}

// row returns the row to store for the task, and false for a task that was never placed.
func (t *task) row() (taskRow, bool) {
	row := taskRow{Occurrence: t.step.occurrence.number, Step: t.step.number, Index: t.index}
	if t.completed {
		row.Completed = true
		return row, true
	}
	if t.lastRun == 0 {
		return row, false
	}
	row.Run, row.Failed, row.Checkpoint = t.lastRun, t.failures, t.checkpoint
	row.FailedRun = t.step.failedRun
	row.Crashes, row.Possible, row.Suspected, row.Unexplained = t.crash.Crashes, t.crash.Possible, t.crash.Suspected, t.crash.Unexplained
	row.CentiLogRatio = int64(math.Round(t.crash.LogRatio * 100))
	if t.worker != nil {
		row.Worker, row.Incarnation, row.PlannedMS = t.worker.info.ID, t.incarnation, t.plannedWall-t.step.job.acceptance.At
	}
	return row, true
}

// phase is the phase of the job to store.
func (j *activeJob) phase() Phase {
	switch {
	case j.terminalPhase != 0:
		return j.terminalPhase
	case j.started:
		return PhaseRunning
	default:
		return PhaseQueued
	}
}
