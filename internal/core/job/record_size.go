package job

import (
	"slices"
	"strconv"
)

// The store refuses records above a size, for good. The record of a job has a row for each task that
// was placed in a step which is not complete, so that the size of the record bounds how many tasks of a
// job may be placed. Steps open in order: a step gets its first tasks only if the rows of all its tasks
// fit beside those of the steps before it.

const (
	// defaultRecordBytes and defaultAppendBytes are the limits of a store for which the settings
	// name none, in bytes.
	defaultRecordBytes = 256 << 10
	defaultAppendBytes = 2 << 20
	// recordGrowthShare is the part of a record that is kept free when a step opens, for what its rows gain
	// later: checkpoints, failures and crashes. recordMarginShare is kept free at all times.
	recordGrowthShare = 1.0 / 8
	recordMarginShare = 1.0 / 64
	// completedRowBytes is the maximum size of the row of a completed task or step, placedRowBytes that of
	// an assigned task on a worker with a short ID, in bytes.
	completedRowBytes = 40
	placedRowBytes    = 100
	// checkpointBytes is the size of a checkpoint that is expected of a task without one, in bytes.
	checkpointBytes = 24
	// hostBytes is the size of a worker in the rows with the hosts and the grants of a job, in bytes.
	hostBytes = 80
	// maxRowBytes is more than any row has, in bytes. A job whose record holds so much for each of its
	// tasks needs no exact count.
	maxRowBytes = 200
)

// recordLimit is the size of the largest record that the store takes, in bytes.
func (s *State) recordLimit() int {
	if s.settings.MaxRecordBytes > 0 {
		return s.settings.MaxRecordBytes
	}
	return defaultRecordBytes
}

// appendLimit is the size of the largest append that the store takes, in bytes.
func (s *State) appendLimit() int {
	if s.settings.MaxAppendBytes > 0 {
		return s.settings.MaxAppendBytes
	}
	return defaultAppendBytes
}

// recordOverhead is what a store counts in a record in addition to its key and value: the length of
// the key, in bytes.
const recordOverhead = 1

func (r Record) size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// validateSubmission returns the reason why a job could never be written or completed, or an empty
// string. It is not applied to jobs that were accepted before.
func (s *State) validateSubmission(spec *Spec, acceptance Record) string {
	if spec.IntervalMS < 0 || spec.IntervalMS > maxIntervalMS || spec.FirstAt > maxFirstAt {
		return "the interval of a recurring job is 0 to 100 years, and its first time is before 2100"
	}
	limit := s.recordLimit()
	if acceptance.size() > limit {
		return "the job has " + strconv.Itoa(acceptance.size()) + " bytes as a record, and the store takes " + strconv.Itoa(limit)
	}
	for i := range spec.Steps {
		rowBytes := completedRowBytes
		if spec.Steps[i].Gang {
			rowBytes = placedRowBytes + checkpointBytes
		}
		if size := spec.Steps[i].Count * rowBytes; size > limit {
			return "the tasks of one step take " + strconv.Itoa(size) + " bytes of a record, and the store takes " + strconv.Itoa(limit)
		}
	}
	return ""
}

// bytes returns the size of a row of a task as JSON, with the comma after it.
func (r *taskRow) bytes() int {
	size := len(`{},`)
	for _, field := range []struct {
		name  string
		value int64
	}{
		{"k", int64(r.Occurrence)},
		{"s", int64(r.Step)},
		{"i", int64(r.Index)},
		{"r", int64(r.Run)},
		{"f", int64(r.Failed)},
		{"fr", int64(r.FailedRun)},
		{"b", int64(r.Incarnation)},
		{"m", int64(r.PlannedMS)},
		{"x", int64(r.Crashes)},
		{"z", int64(r.Possible)},
		{"y", int64(r.Suspected)},
		{"u", int64(r.Unexplained)},
		{"v", r.CentiLogRatio},
	} {
		if field.value != 0 {
			size += len(`"":,`) + len(field.name) + digits(field.value)
		}
	}
	if r.Completed {
		size += len(`"d":true,`)
	}
	if r.Worker != "" {
		size += len(`"w":"",`) + len(r.Worker)
	}
	if r.Checkpoint != "" {
		size += len(`"c":"",`) + len(r.Checkpoint)
	}
	return size
}

// digits returns the number of characters of a number.
func digits(n int64) int {
	count := 1
	if n < 0 {
		count++
	}
	for n /= 10; n != 0; n /= 10 {
		count++
	}
	return count
}

// rowBytes returns the size of the task's row, in bytes.
func (t *task) rowBytes() int {
	if t.lastRun == 0 && !t.completed {
		return 0
	}
	row, _ := t.row()
	return row.bytes()
}

// placedBytes returns the size that the task's row has once it is assigned to a worker whose ID has a
// length, in bytes.
func (t *task) placedBytes(idBytes int) int {
	row, _ := t.row()
	row.Run, row.Worker, row.Checkpoint = t.lastRun+1, "", t.checkpoint
	row.Incarnation, row.PlannedMS = maxRowMillis, maxRowMillis
	size := row.bytes() + len(`"w":"",`) + idBytes
	if t.checkpoint == "" && t.step.spec.Checkpoints {
		size += checkpointBytes
	}
	return size
}

// maxRowMillis is a time with as many digits as the times in rows have at most.
const maxRowMillis = Millis(9_999_999_999_999)

// isOpen reports whether a task of the step was placed and the step is not complete.
func (st *step) isOpen() bool {
	return st.completed < len(st.tasks) && slices.ContainsFunc(st.tasks, func(t *task) bool { return t.completed || t.lastRun > 0 })
}

// recordRoom is the room in a job's record during a placement pass.
type recordRoom struct {
	job *activeJob
	// idBytes is the length of the longest ID of a worker, in bytes.
	idBytes int
	// used is the size of the rows, reserved what those of the steps that were opened may grow by, and
	// forSteps and forTasks are the limits for opening steps and for placing tasks, in bytes.
	used, reserved, forSteps, forTasks int
	// closed is set once a step has to wait, exhausted once a task of an open step has to.
	closed, exhausted bool
}

// recordRoomOf returns the room in a job's record, or nil if the rows of all its tasks fit.
func (o *owner) recordRoomOf(j *activeJob, workers []*worker) *recordRoom {
	limit := float64(o.s.recordLimit())
	room := &recordRoom{job: j, forSteps: int(limit * (1 - recordGrowthShare)), forTasks: int(limit * (1 - recordMarginShare))}
	tasks := 0
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.completed < len(st.tasks) {
				tasks += len(st.tasks)
			}
		}
	}
	retired := j.occurrences.retiredCount * len(j.acceptance.Spec.Steps)
	if tasks*maxRowBytes+retired*completedRowBytes <= room.forSteps {
		return nil
	}
	for _, w := range workers {
		room.idBytes = max(room.idBytes, len(w.info.ID))
	}
	room.used = (maxHosts+maxGrants)*hostBytes + retired*completedRowBytes
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.completed == len(st.tasks) {
				room.used += completedRowBytes
				continue
			}
			for _, t := range st.tasks {
				room.used += t.rowBytes()
			}
		}
	}
	return room
}

// open reports whether tasks of a step may be placed. A job without assigned tasks may always place some:
// nothing else would make room.
func (r *recordRoom) open(st *step) bool {
	if r == nil {
		return true
	}
	isOpen := st.isOpen()
	if r.closed && !isOpen {
		return false
	}
	growth := 0
	for _, t := range st.tasks {
		if !t.completed && t.worker == nil {
			growth += t.placedBytes(r.idBytes) - t.rowBytes()
		}
	}
	if !isOpen && r.used+r.reserved+growth > r.forSteps && r.job.assignedTasks > 0 {
		r.closed = true
		return false
	}
	r.reserved += growth
	return true
}

// take takes the room for the rows of tasks that are about to be placed, and reports whether there is any.
func (r *recordRoom) take(tasks ...*task) bool {
	if r == nil {
		return true
	}
	growth := r.growth(tasks)
	if !r.fits(tasks...) {
		r.exhausted = true
		return false
	}
	r.used += growth
	r.reserved -= growth
	return true
}

// fits reports whether there is room for the rows of tasks.
func (r *recordRoom) fits(tasks ...*task) bool {
	return r == nil || r.used+r.growth(tasks) <= r.forTasks || r.job.assignedTasks == 0
}

// growth is the size by which the rows of tasks grow when they are placed, in bytes.
func (r *recordRoom) growth(tasks []*task) int {
	growth := 0
	for _, t := range tasks {
		growth += t.placedBytes(r.idBytes) - t.rowBytes()
	}
	return growth
}

// full reports whether tasks wait for room in the job's record.
func (r *recordRoom) full() bool { return r != nil && r.exhausted }

// encodeRows encodes the state of a job. If the record is above the limit, what has not been started
// is released, and then the checkpoints are left out: a run without one starts from the beginning.
func (o *owner) encodeRows(active *activeJob) (Record, []taskRow, error) {
	rowsOf := active.taskRows
	if active.terminalPhase != 0 {
		rowsOf = active.stoppingRows
	}
	rows := rowsOf()
	record, err := encodeProgress(active.record.ID, active.phase(), rows)
	if err != nil || record.size() <= o.s.recordLimit() {
		return record, rows, err
	}
	size := record.size()
	o.releaseUnstarted(active)
	rows = rowsOf()
	if record, err = encodeProgress(active.record.ID, active.phase(), rows); err != nil {
		return record, rows, err
	}
	released := record.size()
	if record.size() > o.s.recordLimit() {
		for i := range rows {
			rows[i].Checkpoint = ""
		}
		record, err = encodeProgress(active.record.ID, active.phase(), rows)
	}
	o.s.logEvent(LogRecordTooLarge, "key", record.Key, "bytes", size, "limit", o.s.recordLimit(), "released_bytes", released, "written_bytes", record.size())
	return record, rows, err
}

// releaseUnstarted releases all tasks of a job whose start was not sent yet.
func (o *owner) releaseUnstarted(active *activeJob) {
	for _, occ := range active.occurrences.live {
		for _, st := range occ.steps {
			o.releasePlanned(st)
		}
	}
}
