package job

import "time"

// jobTimes is the position of a job relative to its latency objective.
type jobTimes struct {
	// known is false for a job without an objective: its queue is no longer configured, or
	// it runs until it is cancelled.
	known bool
	// age is the time since the job was accepted.
	age time.Duration
	// objective is the time after its acceptance within which the job should complete.
	objective time.Duration
	// remaining is the run time of the longest remaining chain of dependent steps, also of a
	// job without an objective.
	remaining time.Duration
}

// slack is the time by which the remaining work may start later and still meet the
// objective. It is negative for a job that will be late.
func (t jobTimes) slack() time.Duration { return t.objective - t.age - t.remaining }

// slackUntilOverdue is the time by which the remaining work may start later before the job
// has no value any more.
func (t jobTimes) slackUntilOverdue() time.Duration {
	return overdueFactor*t.objective - t.age - t.remaining
}

// timeliness says whether a job that ends now is on time, late or overdue.
func (t jobTimes) timeliness() string {
	switch {
	case t.age > overdueFactor*t.objective:
		return "overdue"
	case t.age > t.objective:
		return "late"
	default:
		return "on_time"
	}
}

// timesOf returns the position of a job as of now.
func (o *owner) timesOf(j *activeJob) jobTimes {
	if j.timesAt != o.s.now {
		_, _, remaining := o.workAmounts(j)
		j.times, j.timesAt = o.times(j, remaining), o.s.now
	}
	return j.times
}

// times returns the position of a job relative to its objective. remaining is the run time of
// its longest remaining chain, as workAmounts returns it.
func (o *owner) times(j *activeJob, remaining time.Duration) jobTimes {
	q := o.queueOf(j)
	if q == nil || j.hasLongRunningTasks() {
		return jobTimes{remaining: remaining}
	}
	return jobTimes{
		known:     true,
		age:       time.Duration(o.s.wall-j.acceptance.At) * time.Millisecond,
		objective: time.Duration(q.Stretch*float64(o.criticalPath(j))) + q.Latency,
		remaining: remaining,
	}
}
