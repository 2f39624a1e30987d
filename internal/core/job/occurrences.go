package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A caller may submit a job whose occurrences are all due at once, with far more tasks than all workers run at a time.
// Only some occurrences of a job are live, that is, have tasks in memory: those that have had runs, and after them the
// oldest ones that are due. The others wait as a number. What a placement pass, a record and the memory of the owner
// take depends on the live tasks, not on what was submitted.

// TaskBytes is the memory that a live task takes, in bytes.
const TaskBytes = 320

const (
	// defaultLiveTasks is the limit of the live tasks if the settings name none.
	defaultLiveTasks = 100_000
	// jobShareOfLiveTasks is the part of the limit that one job may have.
	jobShareOfLiveTasks = 1.0 / 8
	// guaranteedLiveTasks is the number of tasks up to which occurrences of a job are live whatever other jobs have.
	guaranteedLiveTasks = 200
	// acceptedTasksFactor times the limit is the limit of the tasks that are live whatever other jobs have.
	acceptedTasksFactor = 2
	// taskCountInterval is the time between two counts of the tasks of unfinished jobs.
	taskCountInterval = 500 * time.Millisecond
)

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number         int
	steps          []*step
	remainingSteps int // steps that are not completed
}

// occurrences are the occurrences of a job.
type occurrences struct {
	// live holds the occurrences that have tasks in memory, by number.
	live []*occurrence
	// due is the number of occurrences that are due; next is the lowest number that may be neither live nor
	// retired.
	due, next int
	// retired[k] is set if the k-th occurrence is completed and no longer live; retiredCount is their number.
	retired      []bool
	retiredCount int
	// model holds the steps of an occurrence without tasks, for estimates.
	model *occurrence
}

// isRetired reports whether the k-th occurrence is completed and no longer live.
func (os *occurrences) isRetired(k int) bool { return k < len(os.retired) && os.retired[k] }

func (os *occurrences) retire(k int) {
	for len(os.retired) <= k {
		os.retired = append(os.retired, false)
	}
	if !os.retired[k] {
		os.retired[k] = true
		os.retiredCount++
	}
	os.due = max(os.due, k+1)
}

// waiting is the number of occurrences that are due and have not been live.
func (os *occurrences) waiting() int { return os.due - len(os.live) - os.retiredCount }

// search returns the position of the k-th occurrence among the live ones.
func (os *occurrences) search(k int) (int, bool) {
	return slices.BinarySearchFunc(os.live, k, func(occ *occurrence, k int) int { return cmp.Compare(occ.number, k) })
}

// totalOccurrences is the number of occurrences that the job will have.
func (j *activeJob) totalOccurrences() int { return max(1, j.acceptance.Spec.Occurrences) }

// occurrenceDueAt is the time when the k-th occurrence may start.
func (j *activeJob) occurrenceDueAt(k int) Millis {
	if j.acceptance.Spec.Occurrences == 0 {
		return 0
	}
	return j.acceptance.Spec.FirstAt + Millis(int64(k)*j.acceptance.Spec.IntervalMS)
}

// noteDueOccurrences counts the occurrences that are due.
func (j *activeJob) noteDueOccurrences(wall Millis) {
	for j.occurrences.due < j.totalOccurrences() && j.occurrenceDueAt(j.occurrences.due) <= wall {
		j.occurrences.due++
	}
}

// tasksPerOccurrence is the number of tasks of each occurrence.
func (s *Spec) tasksPerOccurrence() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks
}

// leastLiveTasks is the number of tasks that are live whatever other jobs have: at least those of one occurrence.
func (s *Spec) leastLiveTasks() int {
	tasks := s.tasksPerOccurrence()
	return tasks * max(1, min(s.Occurrences, guaranteedLiveTasks/max(1, tasks)))
}

// liveTasks is the number of the job's tasks in memory.
func (j *activeJob) liveTasks() int {
	return len(j.occurrences.live) * j.acceptance.Spec.tasksPerOccurrence()
}

// modelOccurrence returns the steps of an occurrence without tasks.
func (j *activeJob) modelOccurrence() *occurrence {
	if j.occurrences.model == nil {
		j.occurrences.model = j.newOccurrence(0)
	}
	return j.occurrences.model
}

func (j *activeJob) newOccurrence(k int) *occurrence {
	occ := &occurrence{number: k, remainingSteps: len(j.acceptance.Spec.Steps)}
	for i := range j.acceptance.Spec.Steps {
		occ.steps = append(occ.steps, &step{job: j, occurrence: occ, number: i, spec: &j.acceptance.Spec.Steps[i]})
	}
	return occ
}

// ensureOccurrence returns the k-th occurrence, which must not be retired, and makes it live if it is not.
func (j *activeJob) ensureOccurrence(k int) *occurrence {
	at, found := j.occurrences.search(k)
	if found {
		return j.occurrences.live[at]
	}
	occ := j.newOccurrence(k)
	for _, st := range occ.steps {
		st.tasks = make([]*task, st.spec.Count)
		for n := range st.tasks {
			st.tasks[n] = &task{step: st, index: n, cpuPercent: 100}
		}
	}
	j.occurrences.live = slices.Insert(j.occurrences.live, at, occ)
	j.occurrences.due = max(j.occurrences.due, k+1)
	return occ
}

// findOccurrence returns the k-th occurrence if it is live, or nil.
func (j *activeJob) findOccurrence(k int) *occurrence {
	if at, found := j.occurrences.search(k); found {
		return j.occurrences.live[at]
	}
	return nil
}

// retireOccurrences removes the completed occurrences of a recurring job whose runs have all ended.
func (j *activeJob) retireOccurrences() {
	if j.totalOccurrences() == 1 {
		return
	}
	j.occurrences.live = slices.DeleteFunc(j.occurrences.live, func(occ *occurrence) bool {
		if occ.remainingSteps > 0 || slices.ContainsFunc(occ.steps, func(st *step) bool { return st.assigned > 0 }) {
			return false
		}
		j.occurrences.retire(occ.number)
		return true
	})
}

// isComplete reports whether all occurrences are completed.
func (j *activeJob) isComplete() bool {
	return j.occurrences.due == j.totalOccurrences() && j.occurrences.waiting() == 0 &&
		!slices.ContainsFunc(j.occurrences.live, func(occ *occurrence) bool { return occ.remainingSteps > 0 })
}

// liveTaskLimit is the limit of the live tasks of all jobs beyond those that are live in any case.
func (s *State) liveTaskLimit() int {
	if s.settings.MaxLiveTasks > 0 {
		return s.settings.MaxLiveTasks
	}
	return defaultLiveTasks
}

// mayAddOccurrence reports whether one more occurrence of the job may be live.
func (o *owner) mayAddOccurrence(j *activeJob) bool {
	tasks, limit := j.acceptance.Spec.tasksPerOccurrence(), o.s.liveTaskLimit()
	live := j.liveTasks() + tasks
	return live <= j.acceptance.Spec.leastLiveTasks() || live <= int(float64(limit)*jobShareOfLiveTasks) && o.liveTasks+tasks <= limit
}

// addDueOccurrences makes the oldest of the occurrences live that are due, as many as there is room for, and reports
// whether there were any.
func (o *owner) addDueOccurrences(j *activeJob) bool {
	j.noteDueOccurrences(o.s.wall)
	added := false
	for j.occurrences.next < j.occurrences.due && o.mayAddOccurrence(j) {
		k := j.occurrences.next
		j.occurrences.next++
		if j.occurrences.isRetired(k) || j.findOccurrence(k) != nil {
			continue
		}
		j.ensureOccurrence(k)
		o.liveTasks += j.acceptance.Spec.tasksPerOccurrence()
		added = true
	}
	if waiting := j.occurrences.waiting(); waiting > 0 && !j.waitingLogged {
		j.waitingLogged = true
		o.s.logEvent(LogOccurrencesWait, "job", j.record.ID, "team", j.acceptance.Team, "waiting", waiting, "live", len(j.occurrences.live),
			"tasks", j.acceptance.Spec.tasksPerOccurrence(), "live_tasks", o.liveTasks, "limit", o.s.liveTaskLimit())
	}
	return added
}

// updateOccurrences replaces the completed occurrences of all jobs by those that are due and have waited.
func (o *owner) updateOccurrences() {
	o.liveTasks = 0
	for _, j := range o.jobOrder {
		if j.terminalPhase == 0 {
			j.retireOccurrences()
		}
		o.liveTasks += j.liveTasks()
	}
	for _, j := range o.jobOrder {
		if j.terminalPhase == 0 && j.occurrences.next < j.totalOccurrences() && o.addDueOccurrences(j) {
			o.planDue = true
		}
	}
}

// restoreOccurrences restores the occurrences that the rows of a job's record describe.
func (o *owner) restoreOccurrences(j *activeJob, rows []taskRow) {
	steps, completedSteps := len(j.acceptance.Spec.Steps), map[int]int{}
	for _, row := range rows {
		if row.StepCompleted && row.Occurrence < j.totalOccurrences() && row.Step < steps {
			completedSteps[row.Occurrence]++
			if completedSteps[row.Occurrence] == steps && j.totalOccurrences() > 1 {
				j.occurrences.retire(row.Occurrence)
			}
		}
	}
	before := j.liveTasks()
	for _, row := range rows {
		if !j.occurrences.isRetired(row.Occurrence) {
			o.restoreTasks(j, row)
		}
	}
	o.liveTasks += j.liveTasks() - before
}

// taskCounts are the tasks that are live whatever other jobs have, by team, of the unfinished jobs on the stream.
type taskCounts struct {
	byTeam map[vocab.TeamID]int
	total  int
	// countedAt is the time of the last count; jobs that this node has accepted since are added.
	countedAt vocab.Instant
}

func (c *taskCounts) add(a *Acceptance) {
	tasks := a.Spec.leastLiveTasks()
	if c.byTeam == nil {
		c.byTeam = map[vocab.TeamID]int{}
	}
	c.byTeam[a.Team] += tasks
	c.total += tasks
}

// hasRoomForTasks reports whether an owner has the memory for one more job. A team may use as much as it leaves free, so
// that no number of teams fills the memory, and a team that uses little always finds some.
func (s *State) hasRoomForTasks(a *Acceptance) bool {
	if c := &s.liveTasks; c.countedAt == 0 || s.now.Sub(c.countedAt) >= taskCountInterval {
		*c = taskCounts{countedAt: s.now}
		for _, job := range s.ledger.Jobs {
			if job.Acceptance != nil && !job.VisiblePhase().Finished() {
				c.add(job.Acceptance)
			}
		}
	}
	free := acceptedTasksFactor*s.liveTaskLimit() - s.liveTasks.total
	return s.liveTasks.byTeam[a.Team]+a.Spec.leastLiveTasks() <= free
}
