package job

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// candidate is a job with waiting tasks and its rank in the order of service.
type candidate struct {
	job   *activeJob
	pool  vocab.PoolID
	class int
	score float64
	// remaining is the work that is left, in core-seconds; 0 for a long-running job.
	remaining float64
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
	promoteStarving(list)
	slices.SortStableFunc(list, candidate.compare)
	return list
}

// compare orders candidates in the order of service.
func (c candidate) compare(other candidate) int {
	if byClass := cmp.Compare(c.class, other.class); byClass != 0 {
		return byClass
	}
	return cmp.Compare(other.score, c.score)
}

// starvationBound is the time after which an overdue job counts as starving: a caller that
// still waits after a lease and a change of owner has no other way to get its job done. One
// starving job of each pool at a time, the oldest one, is served before all others.
const starvationBound = 30 * time.Second

// starves reports whether an overdue job waits for longer than starvationBound.
func (t jobTimes) starves() bool { return t.known && t.slackUntilOverdue() < -starvationBound }

// promoteStarving moves the oldest starving job of each pool to the front.
func promoteStarving(list []candidate) {
	oldest := map[vocab.PoolID]int{}
	for i, c := range list {
		if c.class != classOverdue || !c.job.times.starves() {
			continue
		}
		if first, found := oldest[c.pool]; !found || c.job.acceptance.At < list[first].job.acceptance.At {
			oldest[c.pool] = i
		}
	}
	for _, i := range oldest {
		list[i].class, list[i].score = classOnTime, math.Inf(1)
	}
}

// hasWaitingTasks reports whether the job has tasks that could be placed now.
func (j *activeJob) hasWaitingTasks() bool {
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.waiting() > 0 && st.ready() {
				return true
			}
		}
	}
	return false
}

// Service classes, served in this order. A job that can wait is on time even if it starts
// only when more machines have come: jobs that cannot go first.
const (
	classLongRunning = iota
	classOnTime
	classCanWait
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
	bucket.refill(j.acceptance.At, team.Weight)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// wouldExceedRate reports whether a job that a team submits now would be beyond its rate.
func (o *owner) wouldExceedRate(name vocab.TeamID) bool {
	bucket := o.teamRates[name]
	if bucket == nil {
		return false
	}
	if team := o.s.config.teams[name]; team != nil {
		bucket.refill(o.s.wall, team.Weight)
	}
	return bucket.tokens < 1
}

// tokenBucket counts the jobs that a team may still submit within its rate.
type tokenBucket struct {
	tokens     float64
	refilledAt Millis
}

// refill adds the tokens of a team with this weight since the last refill.
func (b *tokenBucket) refill(now Millis, weight float64) {
	elapsed := max(0, float64(now-b.refilledAt)/1000)
	b.tokens = min(b.tokens+elapsed*weight, weight*rateBurstWindow.Seconds())
	b.refilledAt = max(b.refilledAt, now)
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
	c.class, c.remaining = classOnTime, remaining
	j.times, j.timesAt = o.times(j, remainingPath), o.s.now
	if t := j.times; t.known {
		switch {
		case t.slackUntilOverdue() < 0:
			c.class = classOverdue
		case t.slack() < 0:
			c.class = classLate
		case j.overTeamRate:
			c.class = classOverRate
		case o.policy.shortSlackFirst && t.slack() > machineLead:
			c.class = classCanWait
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
	for _, occ := range j.occurrences.live {
		finish := make([]time.Duration, len(occ.steps))
		for i, st := range occ.steps {
			runTime := o.runTimeOf(st)
			coreSeconds := float64(max(st.spec.Need.CPU, 1)) / 1000 * runTime.Seconds()
			total += coreSeconds * float64(len(st.tasks))
			remaining += coreSeconds * float64(len(st.tasks)-st.completed)
			for _, before := range st.spec.After {
				finish[i] = max(finish[i], finish[before])
			}
			if st.completed < len(st.tasks) {
				finish[i] += o.stepTime(st)
			}
			remainingPath = max(remainingPath, finish[i])
		}
	}
	if waiting, retired := j.occurrences.waiting(), j.occurrences.retiredCount; waiting+retired > 0 {
		each := o.workOf(j.modelOccurrence())
		total += each * float64(waiting+retired)
		remaining += each * float64(waiting)
		if waiting > 0 {
			remainingPath = max(remainingPath, o.criticalPath(j))
		}
	}
	return total, remaining, remainingPath
}

// workOf returns the work of all tasks of an occurrence, in core-seconds.
func (o *owner) workOf(occ *occurrence) float64 {
	work := 0.0
	for _, st := range occ.steps {
		work += float64(max(st.spec.Need.CPU, 1)) / 1000 * o.runTimeOf(st).Seconds() * float64(st.spec.Count)
	}
	return work
}

// criticalPath is the run time of the longest chain of dependent steps of the oldest live occurrence.
func (o *owner) criticalPath(j *activeJob) time.Duration {
	if j.occurrences.due == 0 {
		return 0 // Nothing of a recurring job is due yet.
	}
	steps := j.modelOccurrence().steps
	if len(j.occurrences.live) > 0 {
		steps = j.occurrences.live[0].steps
	}
	longest := make([]time.Duration, len(steps))
	var path time.Duration
	for i, st := range steps {
		for _, before := range st.spec.After {
			longest[i] = max(longest[i], longest[before])
		}
		longest[i] += o.stepTime(st)
		path = max(path, longest[i])
	}
	return path
}
