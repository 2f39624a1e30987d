package lookahead

import (
	"math"
	"time"
)

// Pace is a step whose tasks may be spread over the time until they are due.
type Pace struct {
	// Waiting and Running are the numbers of its tasks that wait and that run.
	Waiting, Running int
	// RunTime is the expected run time of one task, Sigma the spread of its logarithm.
	RunTime time.Duration
	Sigma   float64
	// Slack is the time by which the step may start later and still be on time, less the time
	// that it takes to get room for the tasks that have to wait.
	Slack time.Duration
}

// TasksWantedNow is the number of waiting tasks that should start now. The tasks of a step
// that starts at once take one run time; with slack, the same work is done on fewer machines
// in one run time and the slack. What it leaves for later is asked for again as the slack
// shrinks.
func (p Pace) TasksWantedNow() int {
	spare := p.Slack - p.lateness()
	if spare <= 0 || p.RunTime <= 0 || p.Waiting <= 0 {
		return p.Waiting
	}
	width := math.Ceil(float64(p.Waiting+p.Running) * float64(p.RunTime) / float64(p.RunTime+spare))
	return min(p.Waiting, max(0, int(width)-p.Running))
}

// lateness is the time by which a task ends later than expected in one of six cases.
func (p Pace) lateness() time.Duration {
	return time.Duration(float64(p.RunTime) * math.Expm1(p.Sigma))
}
