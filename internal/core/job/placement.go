package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// plan places waiting tasks on workers. The demand of a pool may temporarily exceed its
// capacity: jobs are then served by value per remaining work, and tasks are packed so that
// large ones fit.
func (o *owner) plan() {
	pools := map[vocab.PoolID][]*worker{}
	for _, id := range o.workerIDs {
		w := o.workers[id]
		if w.usable(o.s.now) {
			pools[w.info.Pool] = append(pools[w.info.Pool], w)
		}
	}
	d := newDemandCollector(o)
	waiting := maxWaitingGranted
	for _, c := range o.candidates() {
		o.placeJob(c.job, pools[c.pool])
		o.extendGrants(c.job, pools[c.pool], &waiting)
		d.addJob(c.pool, c.job)
	}
	o.recordDemand(d.pools)
}

// candidate is a job with waiting tasks and its rank in the order of service.
type candidate struct {
	job   *activeJob
	pool  vocab.PoolID
	class int
	score float64
}

// candidates lists the jobs with waiting tasks in the order of service.
func (o *owner) candidates() []candidate {
	var list []candidate
	for _, j := range o.jobOrder {
		if j.terminalPhase != 0 || !j.hasWaitingTasks() {
			continue
		}
		list = append(list, o.rank(j))
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.class, b.class); c != 0 {
			return c
		}
		return cmp.Compare(b.score, a.score)
	})
	return list
}

// hasWaitingTasks reports whether the job has tasks that could be placed now.
func (j *activeJob) hasWaitingTasks() bool {
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if st.waiting() > 0 && st.ready() {
				return true
			}
		}
	}
	return false
}

// Service classes, served in this order.
const (
	classLongRunning = iota
	classOnTime
	classOverRate
	classLate
	classOverdue
)

// takeRateToken takes a token for a new job from its team's bucket and reports whether there
// was one. The bucket is refilled with as many tokens per second as the team's weight, so
// that a team that submits many times its usual load does not delay the other teams.
func (o *owner) takeRateToken(j *activeJob) bool {
	if o.s.config == nil {
		return true
	}
	team := o.s.config.teams[j.acceptance.Team]
	if team == nil || team.Weight <= 0 {
		return true
	}
	bucket := o.teamRates[team.Name]
	if bucket == nil {
		bucket = &tokenBucket{tokens: team.Weight * rateBurstWindow.Seconds(), refilledAt: j.acceptance.At}
		o.teamRates[team.Name] = bucket
	}
	elapsed := max(0, float64(j.acceptance.At-bucket.refilledAt)/1000)
	bucket.tokens = min(bucket.tokens+elapsed*team.Weight, team.Weight*rateBurstWindow.Seconds())
	bucket.refilledAt = max(bucket.refilledAt, j.acceptance.At)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// tokenBucket counts the jobs that a team may still submit within its rate.
type tokenBucket struct {
	tokens     float64
	refilledAt Millis
}

// rateBurstWindow is the time for which unused tokens accumulate.
const rateBurstWindow = 2 * time.Second

// queueOf returns the queue of a job, or nil if it is no longer configured.
func (o *owner) queueOf(j *activeJob) *Queue {
	if o.s.config == nil {
		return nil
	}
	return o.s.config.queues[j.acceptance.Queue]
}

// poolOf returns the pool that runs a job: the pool of its queue, or the pool recorded at
// acceptance if the queue is no longer configured.
func (o *owner) poolOf(j *activeJob) vocab.PoolID {
	if q := o.queueOf(j); q != nil {
		return q.Pool
	}
	return j.acceptance.Pool
}

// rank determines the position of a job in the order of service.
func (o *owner) rank(j *activeJob) candidate {
	c := candidate{job: j, pool: o.poolOf(j)}
	if j.hasLongRunningTasks() {
		c.class = classLongRunning
		c.score = -float64(j.acceptance.At)
		return c
	}
	total, remaining, remainingPath := o.workAmounts(j)
	c.class = classOnTime
	if t := o.times(j, remainingPath); t.known {
		switch {
		case t.slackUntilOverdue() < 0:
			c.class = classOverdue
		case t.slack() < 0:
			c.class = classLate
		case j.overTeamRate:
			c.class = classOverRate
		}
	}
	c.score = o.queueWork.value(j.acceptance.Queue, total) / max(remaining, minRemainingCoreSeconds)
	return c
}

const (
	// overdueFactor times the latency objective is the age at which a job has no value any
	// more.
	overdueFactor = 3
	// minRemainingCoreSeconds bounds the score of a job that is nearly complete, in core-seconds.
	minRemainingCoreSeconds = 0.05
)

// hasLongRunningTasks reports whether the job has long-running tasks.
func (j *activeJob) hasLongRunningTasks() bool {
	for i := range j.acceptance.Spec.Steps {
		if j.acceptance.Spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// workAmounts returns the total and the remaining work of the job, in core-seconds, and the
// run time of its longest remaining chain of dependent steps.
func (o *owner) workAmounts(j *activeJob) (total, remaining float64, remainingPath time.Duration) {
	for _, occ := range j.occurrences {
		finish := make([]time.Duration, len(occ.steps))
		for i, st := range occ.steps {
			runTime := o.estimates.runTime(j.acceptance.Queue, st.spec.EstimateMS)
			coreSeconds := float64(max(st.spec.Need.CPU, 1)) / 1000 * runTime.Seconds()
			total += coreSeconds * float64(len(st.tasks))
			remaining += coreSeconds * float64(len(st.tasks)-st.completed)
			for _, before := range st.spec.After {
				finish[i] = max(finish[i], finish[before])
			}
			if st.completed < len(st.tasks) {
				finish[i] += runTime
			}
			remainingPath = max(remainingPath, finish[i])
		}
	}
	return total, remaining, remainingPath
}

// criticalPath is the run time of the longest chain of dependent steps of one occurrence.
func (o *owner) criticalPath(j *activeJob) time.Duration {
	longest := make([]time.Duration, len(j.acceptance.Spec.Steps))
	var path time.Duration
	for i := range j.acceptance.Spec.Steps {
		st := &j.acceptance.Spec.Steps[i]
		for _, before := range st.After {
			longest[i] = max(longest[i], longest[before])
		}
		longest[i] += o.estimates.runTime(j.acceptance.Queue, st.EstimateMS)
		path = max(path, longest[i])
	}
	return path
}

// placeJob places as many of a job's waiting tasks as fit.
func (o *owner) placeJob(j *activeJob, workers []*worker) {
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if st.waiting() <= 0 || !st.ready() {
				continue
			}
			if st.spec.Gang {
				o.placeGang(st, workers)
				continue
			}
			for _, t := range st.tasks {
				if t.completed || t.worker != nil || t.held() {
					continue
				}
				best := o.chooseWorker(t, workers)
				if best == nil {
					o.requestAdvice(st, workers)
					break
				}
				o.assign(t, best)
			}
		}
	}
}

// chooseWorker selects the worker for a task by best fit: among the eligible workers with
// enough free capacity, the one with the least capacity left.
func (o *owner) chooseWorker(t *task, workers []*worker) *worker {
	st := t.step
	if !o.withinTeamLimit(st) {
		return nil
	}
	need := st.spec.Reserved()
	hasAdvisor := o.advisorOf(st.job) != nil
	rack := st.commonRack(workers)
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if !w.free().Holds(need) || !o.isEligible(t, w) {
			continue
		}
		if _, valid := st.ticketFor(w, o.s.now); hasAdvisor && !valid {
			continue
		}
		score := placementScore(st.spec, w)
		if rack != "" && w.info.Rack != rack {
			score += wrongRackPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// withinTeamLimit reports whether the team's limit allows one more running task of the step.
func (o *owner) withinTeamLimit(st *step) bool {
	if o.s.config == nil {
		return false
	}
	team := o.s.config.teams[st.job.acceptance.Team]
	if team == nil {
		return true
	}
	use := o.teamUsage[team.Name].Plus(o.heldUsage[team.Name]).Plus(st.spec.Need)
	limit := team.Limit
	return (limit.CPU == 0 || use.CPU <= limit.CPU) && (limit.Memory == 0 || use.Memory <= limit.Memory) &&
		(limit.GPU == 0 || use.GPU <= limit.GPU)
}

// isEligible reports whether a worker may run a task, apart from its free capacity.
func (o *owner) isEligible(t *task, w *worker) bool {
	spec := t.step.spec
	if spec.Label != "" && !w.info.HasLabel(spec.Label) {
		return false
	}
	if limit := t.maxPerWorker(o.s.now); limit > 0 {
		sameStep := 0
		for _, other := range w.tasks {
			if other.step == t.step {
				sameStep++
			}
		}
		if sameStep >= limit {
			return false
		}
	}
	return true
}

// spreadTimeout is the time for which a long-running task waits for a worker with few tasks of its
// step before it accepts any worker that the step allows.
const spreadTimeout = 500 * time.Millisecond

// maxPerWorker is the maximum number of tasks of the step on one worker, or 0 for no limit.
// After spreadTimeout only the step's own limit applies to a long-running task.
func (t *task) maxPerWorker(now vocab.Instant) int {
	if t.step.spec.LongRunning && now.Sub(max(t.releasedAt, t.step.job.firstSeenAt)) > spreadTimeout {
		return t.step.spec.MaxPerWorker
	}
	return t.step.preferredMaxPerWorker()
}

// wrongRackPenalty is added to the score of a worker outside the rack of the data or of the
// other tasks.
const wrongRackPenalty = 1e6

// commonRack returns the rack for the tasks of a step that should share one: the rack of a
// task that is assigned already, otherwise the rack with the most free CPU.
func (st *step) commonRack(workers []*worker) vocab.RackID {
	if !st.spec.SameRack {
		return ""
	}
	for _, t := range st.tasks {
		if t.worker != nil {
			return t.worker.info.Rack
		}
	}
	freeCPU := map[vocab.RackID]int64{}
	var best vocab.RackID
	for _, w := range workers {
		rack := w.info.Rack
		freeCPU[rack] += max(0, w.free().CPU)
		if freeCPU[rack] > freeCPU[best] || freeCPU[rack] == freeCPU[best] && rack < best {
			best = rack
		}
	}
	return best
}

// placementScore rates a worker for a task of the step. The lowest score is the best: it
// belongs to the worker with the least free capacity left.
func placementScore(spec *Step, w *worker) float64 {
	free := w.free().Minus(spec.Reserved())
	score := float64(free.CPU) / float64(max(w.info.Capacity.CPU, 1))
	score += float64(free.Memory) / float64(max(w.info.Capacity.Memory, 1)) / 4
	if spec.DataRack != "" && !w.info.HasLabel(spec.DataRack) {
		score += wrongRackPenalty
	}
	return score
}

// placeGang places all tasks of a gang at once, or none of them. All members have the same
// run number and checkpoint.
func (o *owner) placeGang(st *step, workers []*worker) {
	if st.assigned > 0 || st.completed > 0 {
		return
	}
	var run Run
	checkpoint := ""
	for _, t := range st.tasks {
		run = max(run, t.lastRun)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for _, t := range st.tasks {
		t.lastRun, t.checkpoint = run, checkpoint
		best := o.chooseWorker(t, workers)
		if best == nil {
			o.requestAdvice(st, workers)
			o.releasePlanned(st)
			return
		}
		o.assign(t, best)
	}
}

// releasePlanned releases the tasks of a step whose start was not sent yet.
func (o *owner) releasePlanned(st *step) {
	for _, t := range st.tasks {
		if t.worker != nil && t.state == runPlanned {
			o.release(t)
		}
	}
	o.planDue = false
}
