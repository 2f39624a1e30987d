package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Preemption answers the begin of a pool's turn while another pool's longer tasks, whose jobs
// have time left, hold the machines: a stopped task resumes from the checkpoint that its worker
// reports with the end of the run.

const (
	// maxPreemptions bounds the preemptions of one task.
	maxPreemptions = 1
	// maxPreemptFraction is the fraction of all machines whose tasks may be stopped within a
	// second; stops and the starts that follow pass through the store as other changes do.
	maxPreemptFraction = 0.2
	// minPreemptSlack is the slack that a job must have for a preemption: a task waits about
	// as long until the tasks before it end.
	minPreemptSlack = 1500 * time.Millisecond
	// minPreemptSlackBelow is the slack that suffices below the best priority.
	minPreemptSlackBelow = 500 * time.Millisecond
)

// mayPreempt reports whether all tasks on a worker may be stopped for another pool.
func (o *owner) mayPreempt(w *worker) bool {
	for _, t := range w.tasks {
		if !o.mayPreemptTask(t) {
			return false
		}
	}
	return o.mayOrder() && len(w.tasks) > 0
}

func (o *owner) mayPreemptTask(t *task) bool {
	j, spec := t.step.job, t.step.spec
	if !spec.Checkpoints || spec.Gang || spec.LongRunning || t.state != runRunning || t.preemptions >= maxPreemptions || j.terminalPhase != 0 {
		return false
	}
	times := o.timesOf(j)
	if !times.known {
		return false
	}
	needed := minPreemptSlack
	if o.queueOf(j).Priority > 0 {
		needed = minPreemptSlackBelow
	}
	return times.slack()+o.ranFor(t) > needed
}

// ranFor is the time for which the current run of a task has run.
func (o *owner) ranFor(t *task) time.Duration {
	if t.startedAt == 0 {
		return 0
	}
	return o.s.now.Sub(t.startedAt)
}

// preempt stops the tasks on a machine, which moves to another pool once they have ended.
func (o *owner) preempt(m *machine, to vocab.PoolID) {
	w := o.workerOf(m)
	o.fleet.preemptTokens--
	o.s.logEvent(LogTasksPreempted, "machine", m.info.ID, "worker", w.info.ID, "pool", m.info.Pool, "to", to, "tasks", len(w.tasks),
		"rest_ms", o.emptyIn(w).Milliseconds())
	for _, t := range w.tasks {
		t.preemptions++
		o.stopTask(t)
	}
}

// emptyIn is the time until the last task on a worker is expected to end.
func (o *owner) emptyIn(w *worker) time.Duration {
	end := o.s.now.Add(minExpectedRest)
	for _, t := range w.tasks {
		if t.state != runStopping {
			end = max(end, o.expectedEnd(t))
		}
	}
	return end.Sub(o.s.now)
}
