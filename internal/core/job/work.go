package job

import (
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// work is what an owner keeps of a job that has not ended.
type work struct {
	entry       *JobRecord
	accepted    *Acceptance
	occurrences []*occurrence
	// due is the number of occurrences that exist; later ones are not due.
	due int
	// running counts the tasks that are assigned.
	running int
	// begun is set once a run was started.
	begun bool
	// excess is set if the job came beyond its team's rate.
	excess  bool
	ended   Phase // 0 while the job goes on
	dirty   bool
	written bool // the end is on the stream
	// seenAt is when the owner came to know the job.
	seenAt vocab.Instant
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	number int
	steps  []*step
	left   int // steps that are not done
}

// step is a step of an occurrence.
type step struct {
	work       *work
	occurrence *occurrence
	number     int
	spec       *Step
	tasks      []*task
	done       int
	assigned   int
	// tickets holds what the advisor granted, askedAt when it was last asked.
	tickets map[WorkerID]ticket
	askedAt vocab.Instant
}

// stage is where an assigned task stands.
type stage int

const (
	// planned: the intent is not on the stream yet.
	planned stage = iota
	// starting: the start was ordered and has no answer.
	starting
	// unclear: the start had no answer.
	unclear
	// running: the worker lists the run.
	running
	// stopping: the end was ordered.
	stopping
)

// task is one task.
type task struct {
	step   *step
	index  int
	done   bool
	failed int
	// lastRun is the highest run that was ever intended.
	lastRun Run
	// checkpoint is the newest one known.
	checkpoint string
	// worker is where the task is assigned, or nil.
	worker *worker
	born   Millis
	stage  stage
	// sentAt is when the start was ordered, answeredAt when it succeeded,
	// stopAt when a stop was last ordered, barredAt when it succeeded.
	sentAt, answeredAt, stopAt, barredAt vocab.Instant
	percent                              int
	// freeAt is when the task was last released.
	freeAt vocab.Instant
	pace   int
	tailMS int64
	// copies counts the copies of the start that were sent, unanswered those that have
	// no answer yet.
	copies, unanswered int
	// lost holds runs that were given up and whose end is not known.
	lost []Run
}

func (t *task) name() TaskName {
	return TaskName{t.step.work.entry.ID, t.step.occurrence.number, t.step.number, t.index}
}

// newWork builds the work of a job from its records.
func newWork(now vocab.Instant, e *JobRecord) (*work, []taskRow, error) {
	w := &work{entry: e, accepted: e.Acceptance, seenAt: now, begun: e.Phase != PhaseQueued}
	rows, err := decodeRows(e.progress)
	if err != nil {
		return nil, nil, err
	}
	return w, rows, nil
}

// total is the number of occurrences that the job will have.
func (w *work) total() int { return max(1, w.accepted.Spec.Occurrences) }

// extend adds the occurrences that are due.
func (w *work) extend(wall Millis) bool {
	grown := false
	for w.due < w.total() && w.dueAt(w.due) <= wall {
		w.occurrence(w.due)
		grown = true
	}
	return grown
}

// dueAt is when an occurrence may start.
func (w *work) dueAt(k int) Millis {
	if w.accepted.Spec.Occurrences == 0 {
		return 0
	}
	return w.accepted.Spec.FirstAt + Millis(int64(k)*w.accepted.Spec.IntervalMS)
}

// occurrence returns the k-th occurrence, and makes those up to it.
func (w *work) occurrence(k int) *occurrence {
	for len(w.occurrences) <= k {
		o := &occurrence{number: len(w.occurrences)}
		for i := range w.accepted.Spec.Steps {
			spec := &w.accepted.Spec.Steps[i]
			st := &step{work: w, occurrence: o, number: i, spec: spec, tasks: make([]*task, spec.Count)}
			for n := range st.tasks {
				st.tasks[n] = &task{step: st, index: n, pace: 100}
			}
			o.steps = append(o.steps, st)
		}
		o.left = len(o.steps)
		w.occurrences = append(w.occurrences, o)
	}
	w.due = max(w.due, k+1)
	return w.occurrences[k]
}

// find returns a task by name, or nil.
func (w *work) find(n TaskName) *task {
	if n.Occurrence >= len(w.occurrences) {
		return nil
	}
	o := w.occurrences[n.Occurrence]
	if n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return o.steps[n.Step].tasks[n.Index]
}

// ready reports whether all steps that the step waits for are done.
func (st *step) ready() bool {
	for _, before := range st.spec.After {
		other := st.occurrence.steps[before]
		if other.done < len(other.tasks) {
			return false
		}
	}
	return true
}

// waiting is the number of tasks that are neither done nor assigned.
func (st *step) waiting() int { return len(st.tasks) - st.done - st.assigned }

// complete reports whether all occurrences are done.
func (w *work) complete() bool {
	if w.due < w.total() {
		return false
	}
	for _, o := range w.occurrences {
		if o.left > 0 {
			return false
		}
	}
	return true
}

// rows returns the durable state of the tasks that were touched.
func (w *work) rows() []taskRow {
	var rows []taskRow
	for _, o := range w.occurrences {
		for _, st := range o.steps {
			if st.done == len(st.tasks) {
				rows = append(rows, taskRow{Occurrence: o.number, Step: st.number, StepCompleted: true})
				continue
			}
			for _, t := range st.tasks {
				if row, touched := t.row(); touched {
					rows = append(rows, row)
				}
			}
		}
	}
	return rows
}

func (t *task) row() (taskRow, bool) {
	row := taskRow{Occurrence: t.step.occurrence.number, Step: t.step.number, Index: t.index}
	if t.done {
		row.Completed = true
		return row, true
	}
	if t.lastRun == 0 {
		return row, false
	}
	row.Run, row.Failed, row.Checkpoint = t.lastRun, t.failed, t.checkpoint
	if t.worker != nil {
		row.Worker, row.Incarnation = t.worker.info.ID, t.born
	}
	return row, true
}

// phase is the state to write.
func (w *work) phase() Phase {
	switch {
	case w.ended != 0:
		return w.ended
	case w.begun:
		return PhaseRunning
	default:
		return PhaseQueued
	}
}
