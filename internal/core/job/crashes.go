package job

import (
	"math"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/crash"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A task may crash every worker that starts it. Its runs have no end that counts as a failed
// attempt, so that the crashes are counted instead: on the stream, in the record that releases
// the lost run, which precedes the record of the next start.

const (
	// settleTime is the time after its start for which a run counts as new on its worker: an owner
	// hears from a worker with runs at least once within it.
	settleTime = pollWait + 100*time.Millisecond
	// maxTrial bounds a trial for a whole run.
	maxTrial = 5 * time.Second
	// trialFraction is the fraction of a busy pool's workers on which tasks may be on trial: a task
	// that does crash its worker takes the worker out for seconds. A pool is busy while more than
	// busyFraction of its processors is in use.
	trialFraction = 0.34
	busyFraction  = 0.4
	// trialPatience is the time for which a task waits for the conditions of its trial: a caller
	// would rather have it run, and the worker's next crash is attributed all the same. It is
	// shorter for long-running tasks, whose users notice.
	trialPatience            = 10 * time.Second
	trialPatienceLongRunning = 300 * time.Millisecond
	// clearedAfter is the time after which a long-running task is no longer suspected: a task that crashes
	// its workers does so with each run.
	clearedAfter = 10 * time.Second
	// unnoticedTime is the time for which an owner may send starts to a worker that has crashed.
	unnoticedTime = 2 * time.Second
	// maxClockSkew bounds the difference between the times of day of two nodes. The time of a start that an earlier
	// owner has sent is known by its clock.
	maxClockSkew = 5 * time.Second
	// presumedRetention is the time for which a crash that is presumed may still be confirmed.
	presumedRetention = time.Minute
	// trialLoadPenalty is added to the score of a worker for each run that a crash would end.
	trialLoadPenalty = 100
)

// attributedCrash is the loss of a worker with the runs that were on it. The loss of one that did
// not respond until its lease expired is a presumed crash: a later incarnation on its machine shows
// that it has crashed.
type attributedCrash struct {
	at          vocab.Instant
	incarnation Millis
	pool        vocab.PoolID
	machine     MachineID
	tasks       []*task
	// known[i] is set if the worker is known to have had the run of tasks[i].
	known []bool
	// evidence[i] is what the crash says against tasks[i].
	evidence []evidence
}

// evidence is what a crash says against a task.
type evidence struct {
	// suspected is set if the task is among those that may have caused the crash, isolated if no other unit is.
	suspected, isolated bool
	// observation is nil if others are suspected, and this task is not.
	observation *crash.Observation
}

// unit is what is started and judged together with the task: its gang, or the task alone.
func (t *task) unit() any {
	if t.step.spec.Gang {
		return t.step
	}
	return t
}

// settled reports whether the worker was still responding settleTime after the start of the run.
func (t *task) settled() bool {
	return t.startSentAt != 0 && t.worker.lastHeardAt.Sub(t.startSentAt) >= settleTime
}

// settledEarlier reports whether a run of an earlier owner had settled before the takeover. That owner would
// have lost the run if the worker had not responded since before its first lease ended.
func (o *owner) settledEarlier(t *task) bool {
	return t.startSentAt == 0 && o.activeAt.Sub(t.plannedAt) >= o.earlierLeaseSpan+settleTime
}

// lived returns the longest time for which the run can have been on its worker before that stopped
// responding.
func (o *owner) lived(t *task) time.Duration {
	w := t.worker
	from, until := t.startSentAt, o.s.now
	if from == 0 {
		// An earlier owner has sent the start, perhaps to a worker that had crashed.
		from = t.plannedAt.Add(-unnoticedTime - maxClockSkew)
	}
	if t.startedAt == 0 && w.lastHeardAt != 0 {
		// The worker may have crashed before the start.
		from = min(from, w.lastHeardAt)
	}
	if w.silentSince != 0 {
		until = w.silentSince
	}
	return max(0, until.Sub(from))
}

// longestLife returns the time for which a run of the task would stay on its worker.
func (o *owner) longestLife(t *task) time.Duration {
	if t.step.spec.LongRunning {
		return clearedAfter
	}
	return o.runTimeOf(t.step)
}

// recordCrash attributes the unplanned loss of a worker to the runs that may have been on it.
func (o *owner) recordCrash(w *worker, tasks []*task, cause lossCause) {
	proven := cause == lossWorkerReplaced || cause == lossWorkerRestarted
	if !proven && cause != lossLeaseExpired {
		return
	}
	c := attributedCrash{at: o.s.now, incarnation: w.info.Incarnation, pool: o.poolOfLost(w, tasks), machine: w.info.Machine}
	var runs []crash.Run
	for _, t := range tasks {
		if t.state == runPlanned {
			continue
		}
		c.tasks, c.known = append(c.tasks, t), append(c.known, o.ranUntilSilence(t))
		runs = append(runs, crash.Run{
			StartedAt: t.plannedAt, Unanswered: t.startedAt == 0 && t.startSentAt != 0, Settled: t.settled() || o.settledEarlier(t),
			Trial: t.trial, Unit: t.unit(),
		})
	}
	indexes, isolated := crash.Suspects(runs)
	var candidates []*task
	for _, i := range indexes {
		candidates = append(candidates, c.tasks[i])
	}
	if len(candidates) == 0 {
		candidates = c.tasks
	}
	units, rate := countUnits(candidates), o.crashesPerSecond(w, c.pool)
	c.evidence = make([]evidence, len(c.tasks))
	for i, t := range c.tasks {
		if !slices.Contains(candidates, t) {
			continue
		}
		suspected := len(indexes) > 0
		lived := o.lived(t)
		if t.step.spec.LongRunning && lived > clearedAfter && (t.startedAt != 0 || o.settledEarlier(t)) {
			continue // A task that crashes its workers would not have run for so long.
		}
		c.evidence[i] = evidence{suspected, suspected && isolated, &crash.Observation{
			Lived: lived, Longest: o.longestLife(t), Rate: rate, Candidates: units,
		}}
		if suspected {
			o.suspect(t)
		}
	}
	o.weighCrash(c, 1)
	if proven {
		o.confirmCrash(c)
		return
	}
	for i, t := range c.tasks {
		t.crash.Unexplained++
		o.markChanged(t.step.job)
		if !t.step.spec.LongRunning && t.crash.Guilty(c.evidence[i].isolated, false) {
			o.giveUp(t, c.pool)
		}
	}
	if w.info.Machine != "" && len(c.tasks) > 0 {
		o.presumedCrashes[w.info.Machine] = c
	}
}

// countUnits returns the number of units that the tasks belong to.
func countUnits(tasks []*task) int {
	units := map[any]bool{}
	for _, t := range tasks {
		units[t.unit()] = true
	}
	return len(units)
}

// ranUntilSilence reports whether the run was certainly on its worker when the worker stopped
// responding: it was confirmed, and cannot have ended in between without a report. Run times are
// estimates, so that half of one counts.
func (o *owner) ranUntilSilence(t *task) bool {
	if t.startedAt == 0 || t.step.spec.LongRunning {
		return t.startedAt != 0
	}
	since := t.worker.silentSince
	if since == 0 {
		since = o.s.now
	}
	return since.Sub(t.startedAt) < o.runTimeOf(t.step)/2
}

// suspect counts a crash that the task may have caused.
func (o *owner) suspect(t *task) {
	t.crash.Suspected++
	o.markChanged(t.step.job)
}

// weighCrash adds what a crash says against its tasks, and counts it, or takes that back with a weight of -1. A presumed
// crash is weighed as well: its confirmation may come after the next start of the task.
func (o *owner) weighCrash(c attributedCrash, weight float64) {
	if len(c.tasks) > 0 {
		o.countCrash(c.pool, c.machine, weight)
	}
	for i, t := range c.tasks {
		if e := c.evidence[i]; e.observation != nil && !t.completed {
			t.crash.LogRatio += weight * e.observation.LogRatio()
			o.markChanged(t.step.job)
		}
	}
}

// confirmCrash counts a crash that is known, and gives up a task that has caused it.
func (o *owner) confirmCrash(c attributedCrash) {
	for i, t := range c.tasks {
		if t.completed {
			continue
		}
		t.crash.Count(c.known[i])
		o.markChanged(t.step.job)
		if t.crash.Guilty(c.evidence[i].isolated, t.step.spec.LongRunning) {
			o.giveUp(t, c.pool)
		}
	}
}

// noteSurvival counts a run that has ended without a crash as evidence for its task.
func (o *owner) noteSurvival(t *task, w *worker) {
	if t.crash.LogRatio == 0 || t.startedAt == 0 {
		return
	}
	t.crash.Survive(crash.Observation{
		Lived: o.s.now.Sub(t.startedAt), Longest: o.longestLife(t), Rate: o.crashesPerSecond(w, o.poolOfLost(w, []*task{t})),
	})
}

// giveUp fails the job of a task that crashes its workers.
func (o *owner) giveUp(t *task, pool vocab.PoolID) {
	j := t.step.job
	if j.terminalPhase != 0 {
		return
	}
	rate := o.poolCrashRate(pool, 0)
	o.s.logEvent(LogTaskGivenUp, "task", t.name(), "queue", j.acceptance.Queue, "crashes", t.crash.Crashes,
		"possible", t.crash.Possible, "suspected", t.crash.Suspected, "unexplained", t.crash.Unexplained, "runs", t.lastRun,
		"age_ms", o.s.now.Sub(t.plannedAt).Milliseconds(), "log_ratio", roundTenth(t.crash.LogRatio),
		"worker_crashes_per_hour", roundTenth(rate*time.Hour.Seconds()))
	o.finishJob(j, PhaseFailed)
	o.forgetCrashes(pool, min(t.crash.Suspected, t.crash.Crashes+t.crash.Possible))
}

// noteLaterIncarnation confirms the presumed crash of a worker when the list of workers has a
// later incarnation on its machine.
func (o *owner) noteLaterIncarnation(info WorkerInfo) {
	c, presumed := o.presumedCrashes[info.Machine]
	if !presumed {
		return
	}
	if info.Incarnation > c.incarnation || o.s.now.Sub(c.at) > presumedRetention {
		delete(o.presumedCrashes, info.Machine)
	}
	if info.Incarnation > c.incarnation {
		for _, t := range c.tasks {
			t.crash.Unexplained = max(0, t.crash.Unexplained-1)
		}
		o.confirmCrash(c)
	}
}

// beginTrial starts the trial of an assigned task, if it needs one.
func (o *owner) beginTrial(t *task) {
	t.trial = t.crash.Trial()
	if t.trial != crash.NoTrial {
		t.worker.trial = t
	}
}

// trialTask returns the task that is on trial on the worker, or nil.
func (o *owner) trialTask(w *worker) *task {
	t := w.trial
	if t == nil {
		return nil
	}
	over := t.worker != w || t.completed
	if !over && t.startSentAt != 0 {
		over = t.trial == crash.StartTrial && t.settled() || w.lastHeardAt.Sub(t.startSentAt) >= maxTrial
	}
	if over {
		w.trial = nil
		return nil
	}
	return t
}

// allowsTrials reports whether a worker may start the task as far as trials are concerned: nothing
// starts beside a task on trial, and a trial begins only where no other run is as new.
func (o *owner) allowsTrials(t *task, w *worker) bool {
	if other := o.trialTask(w); other != nil && other.unit() != t.unit() {
		return false
	}
	if !o.waitsForTrial(t) {
		return true
	}
	for _, other := range w.tasks {
		if other.unit() == t.unit() {
			continue
		}
		if other.state == runPlanned || other.state == runStarting || !crash.Distinguishable(o.s.now, other.startSentAt) {
			return false
		}
	}
	return true
}

// waitsForTrial reports whether the task starts only under the conditions of its trial.
func (o *owner) waitsForTrial(t *task) bool {
	waited := o.s.now.Sub(max(t.releasedAt, t.step.job.firstSeenAt))
	switch {
	case t.crash.Trial() == crash.NoTrial:
		return false
	case t.step.spec.LongRunning:
		return waited < trialPatienceLongRunning
	default:
		return t.crash.Trial() == crash.RunTrial || waited < trialPatience
	}
}

// trialsExhausted reports whether a task that needs a trial has to wait for the trials of others in
// its pool.
func (o *owner) trialsExhausted(t *task, p *poolRoom) bool {
	if !o.waitsForTrial(t) {
		return false
	}
	trials := 0
	var used, capacity int64
	for _, w := range p.workers {
		if other := o.trialTask(w); other != nil && other.unit() != t.unit() {
			trials++
		}
		used, capacity = used+w.used.CPU, capacity+w.info.Capacity.CPU
	}
	busy := float64(used) > busyFraction*float64(capacity)
	return busy && trials >= int(math.Ceil(trialFraction*float64(len(p.workers))))
}

// trialPenalty returns the addition to a worker's score for a task that may crash it.
func trialPenalty(t *task, w *worker) float64 {
	if t.crash.Trial() == crash.NoTrial {
		return 0
	}
	return trialLoadPenalty * float64(len(w.tasks))
}

// clearIfHealthy ends the suspicion of a long-running task that has been running for long.
func (o *owner) clearIfHealthy(t *task) {
	if t.step.spec.LongRunning && t.crash != (crash.Record{}) && t.startedAt != 0 && o.s.now.Sub(t.startedAt) > clearedAfter {
		t.crash, t.trial = crash.Record{}, crash.NoTrial
		o.markChanged(t.step.job)
	}
}

// suspectedTasks counts the tasks that may have crashed a worker.
func (o *owner) suspectedTasks() int {
	n := 0
	for _, j := range o.jobOrder {
		for _, occ := range j.occurrences.live {
			for _, st := range occ.steps {
				for _, t := range st.tasks {
					if !t.completed && t.crash.Suspected > 0 {
						n++
					}
				}
			}
		}
	}
	return n
}
