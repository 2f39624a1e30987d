package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/lookahead"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// What placement and the distribution of the machines know about the near future: when
// running tasks end, and how many waiting tasks have to run now.

// lookaheadPolicy selects the parts of placement that look ahead; tests turn them off one by
// one.
type lookaheadPolicy struct {
	// shortSlackFirst serves jobs that cannot wait before those that can.
	shortSlackFirst bool
	// pacing asks for machines only for the tasks that have to run now.
	pacing bool
	// learnedEnds derives expected ends from the age of a run and the spread of run times.
	learnedEnds bool
	// alignedEnds prefers workers whose other tasks end as late as the new one.
	alignedEnds bool
	// reservations gives tasks that are too large for the free room a date on named workers.
	reservations bool
}

func defaultLookahead() lookaheadPolicy {
	return lookaheadPolicy{shortSlackFirst: true, pacing: true, learnedEnds: true, alignedEnds: true, reservations: true}
}

const (
	// minExpectedRest is the remaining run time assumed for a task that has run for longer than
	// expected.
	minExpectedRest = 200 * time.Millisecond
	// machineLead is the time that a machine takes to come from another pool: the order, the
	// move and the first response.
	machineLead = 2 * time.Second
	// endWeight is the weight of aligned ends beside the free part of the worker: less than
	// the part of a worker that a typical task takes, so that packing decides first.
	endWeight = 0.1
	// learnedValidity is the time for which a step keeps its learned run time.
	learnedValidity = time.Second
)

// runTimeOf is the learned run time of the tasks of a step.
func (o *owner) runTimeOf(st *step) time.Duration {
	o.refreshTimes(st)
	return st.runTime
}

// refreshTimes looks the learned times of a step up from time to time: each placement pass needs those of all
// steps.
func (o *owner) refreshTimes(st *step) {
	if st.runTime != 0 && o.s.now.Sub(st.timesAt) <= learnedValidity {
		return
	}
	queue := st.job.acceptance.Queue
	st.runTime, st.longestTime = o.estimates.runTime(queue, st.spec.EstimateMS), o.stepTimes.runTime(queue, st.spec.EstimateMS)
	st.timesAt = o.s.now
}

// expectedEnd is the time at which the run of an assigned task is expected to end; never for
// a long-running task.
func (o *owner) expectedEnd(t *task) vocab.Instant {
	if t.step.spec.LongRunning {
		return never
	}
	startedAt := t.startedAt
	if startedAt == 0 {
		startedAt = o.s.now
	}
	runTime, age := o.runTimeOf(t.step), o.s.now.Sub(startedAt)
	rest := runTime - age
	if o.policy.learnedEnds && 2*age > runTime {
		rest = lookahead.Remaining(runTime, age, o.estimates.spread(t.step.job.acceptance.Queue))
	}
	if age >= runTime {
		rest = max(rest, minExpectedRest)
	}
	return o.s.now.Add(rest)
}

// endAfterStart is the time at which a task is expected to end if it starts now.
func (o *owner) endAfterStart(t *task) vocab.Instant {
	if t.step.spec.LongRunning {
		return never
	}
	return o.s.now.Add(max(o.runTimeOf(t.step), minExpectedRest))
}

// endOf is the time at which the last task of a worker is expected to end, now if it has none.
func (o *owner) endOf(w *worker) vocab.Instant {
	if w.endsKnownAt == o.s.now && w.endsTasks == len(w.tasks) {
		return w.endsAt
	}
	end := o.s.now
	for _, t := range w.tasks {
		end = max(end, o.expectedEnd(t))
	}
	w.endsAt, w.endsKnownAt, w.endsTasks = end, o.s.now, len(w.tasks)
	return end
}

// endScore rates a worker by the time for which a task keeps it in use beyond its other
// tasks, relative to the time for which the task runs.
func (o *owner) endScore(end vocab.Instant, w *worker) float64 {
	if !o.policy.alignedEnds || end == never {
		return 0
	}
	extension := end.Sub(o.endOf(w))
	if extension <= 0 {
		return 0
	}
	return endWeight * float64(extension) / float64(end.Sub(o.s.now))
}

// tasksWantedNow is the number of waiting tasks of a step that should start now for its job
// to meet its objective. While other pools wait for machines, a job that has no value any
// more gets none for itself, until it starves, and one with slack gets fewer.
func (o *owner) tasksWantedNow(st *step) int {
	if !o.policy.pacing || st.spec.LongRunning || !o.otherPoolsWait(o.poolOf(st.job)) {
		return st.waiting()
	}
	t := o.timesOf(st.job)
	switch {
	case !t.known || t.remaining <= 0 || t.starves():
		return st.waiting()
	case t.slackUntilOverdue() < 0:
		return 0
	case st.spec.Gang:
		return st.waiting()
	}
	runTime := o.runTimeOf(st)
	share := float64(runTime) / float64(max(t.remaining, runTime))
	return lookahead.Pace{
		Waiting: st.waiting(), Running: st.assigned, RunTime: runTime, Sigma: o.estimates.spread(st.job.acceptance.Queue),
		Slack: time.Duration(float64(t.slack()-machineLead) * share),
	}.TasksWantedNow()
}

// otherPoolsWait reports whether tasks of another pool that have value waited after the last
// placement pass.
func (o *owner) otherPoolsWait(pool vocab.PoolID) bool {
	return len(o.waitingPools) > 1 || len(o.waitingPools) == 1 && !o.waitingPools[pool]
}

// sizeOf converts resources for package lookahead.
func sizeOf(r Resources) lookahead.Size { return lookahead.Size(r) }
