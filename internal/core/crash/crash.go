// Package crash attributes the crash of a worker to the runs that were on it, and decides when
// a task that crashes its workers is given up.
//
// A worker that crashes reports nothing about its runs, and most of them had no part in it. The
// usual culprit is what has started last. A task that may be the culprit is started again on
// trial: alone among the new runs of its worker, so that a second crash shows whether it was.
//
// Workers also crash by themselves, so that no number of crashes is evidence alone. Each one counts by
// how unlikely it was at the rate at which the pool's workers crash: see docs/design/crashes.md.
package crash

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Record is what is known of the crashes of workers that had a run of a task.
type Record struct {
	// Crashes is the number of workers that have crashed with a run of the task on them. Possible
	// is the number of those that may have had one: the outcome of a start is unknown, or the run may
	// have ended before.
	Crashes, Possible int
	// Suspected is the number of crashes that the task may have caused.
	Suspected int
	// Unexplained is the number of workers that went silent for good with a run of the task, of which
	// it is not known whether they crashed or were cut off.
	Unexplained int
	// LogRatio is the natural logarithm of the likelihood ratio of the suspected crashes: that the task
	// causes them over that its workers crash by themselves.
	LogRatio float64
}

// Trial is the condition under which a task may start.
type Trial int

const (
	// NoTrial: the task may start beside others.
	NoTrial Trial = iota
	// StartTrial: nothing else may start on the worker until the run has settled.
	StartTrial
	// RunTrial: nothing else may start on the worker until the run has ended.
	RunTrial
)

const (
	// runTrialCrashes is the number of crashes after which a task is on trial for whole runs: it
	// may crash its workers long after its starts. Unexplained losses count, since a trial fails
	// no job.
	runTrialCrashes = 3
	// guiltyCrashes is the least number of crashes under a task that is given up, guiltyLongRunning that of a
	// long-running one: it is started more often than others, and its job serves users.
	guiltyCrashes     = 2
	guiltyLongRunning = 4
	// guiltyRatio is the likelihood ratio from which a task is given up. The probability that a task
	// which causes no crash ever reaches it is at most its inverse.
	guiltyRatio = 10_000
	// manyCrashes is the number of crashes, possible ones included, from which a task that is not long-running is given up
	// for ratioAtMany, and after one more loss for ratioBeyondMany: one that does crash its workers must not go on.
	manyCrashes     = 4
	ratioAtMany     = 1_000
	ratioBeyondMany = 2
	// startSpread is the time within which starts on one worker cannot be told apart: an order
	// and the report of a broken connection take as long between nodes and workers.
	startSpread = 100 * time.Millisecond
	// shortestLife is the time within which crashes are equally strong evidence: the order and the report of
	// a broken connection take as long.
	shortestLife = 30 * time.Millisecond
)

// Trial returns the condition under which the task may start again.
func (r Record) Trial() Trial {
	switch {
	case r.Crashes+r.Possible+r.Unexplained >= runTrialCrashes:
		return RunTrial
	case r.Suspected > 0:
		return StartTrial
	default:
		return NoTrial
	}
}

// Count counts the crash of a worker that is known to have had a run of the task, or that may have
// had one.
func (r *Record) Count(known bool) {
	if known {
		r.Crashes++
	} else {
		r.Possible++
	}
}

// Observation describes a crash that a task may have caused.
type Observation struct {
	// Lived is the longest time for which the run can have been on the worker before the crash, Longest
	// the time for which it would have stayed there.
	Lived, Longest time.Duration
	// Rate is the rate at which the worker crashes without the task, in crashes a second.
	Rate float64
	// Candidates is the number of units that may have caused the crash, this one included.
	Candidates int
}

// bounds returns the time that the run has lived and the time that it could have, each within what can be measured.
func (o Observation) bounds() (lived, longest float64) {
	lived = max(o.Lived, shortestLife).Seconds()
	return lived, max(o.Longest.Seconds(), lived)
}

// The time at which a task crashes its worker is not known: with equal weight, every moment up to the longest life, or
// every order of magnitude of the time, is as likely as another. The expectation of the ratio of a run is 1 at
// most for a task that causes no crash, so that the product over successive runs bounds the probability of an error.

// LogRatio returns the natural logarithm of the likelihood ratio of a crash: that the task causes it over that the
// worker crashes by itself.
func (o Observation) LogRatio() float64 {
	lived, longest := o.bounds()
	within := func(seconds float64) float64 { return -math.Expm1(-o.Rate * seconds) }
	ratio := (1/within(longest) + 1/(magnitudes(longest)*within(lived))) / 2
	if o.Candidates > 1 {
		ratio = max(1, ratio/float64(o.Candidates))
	}
	return math.Log(ratio)
}

// magnitudes is the number of orders of magnitude, to the base e, from the shortest life to a time in seconds.
func magnitudes(seconds float64) float64 { return 1 + math.Log(seconds/shortestLife.Seconds()) }

// Survive adds the evidence of a run that has ended without a crash of its worker.
func (r *Record) Survive(o Observation) {
	lived, longest := o.bounds()
	crashed := (lived/longest + magnitudes(lived)/magnitudes(longest)) / 2
	if crashed >= 1 {
		r.LogRatio = 0
		return
	}
	r.LogRatio += math.Log1p(-crashed) + o.Rate*lived
}

// Guilty reports whether a task is given up after a crash. isolated is set if it is the only suspect.
func (r Record) Guilty(isolated, longRunning bool) bool {
	if longRunning {
		return isolated && r.Crashes >= guiltyLongRunning && r.LogRatio >= math.Log(guiltyRatio)
	}
	confirmed := r.Crashes + r.Possible
	switch {
	case confirmed >= manyCrashes && confirmed+r.Unexplained > manyCrashes:
		return r.LogRatio >= math.Log(ratioBeyondMany)
	case confirmed >= manyCrashes:
		return isolated && r.LogRatio >= math.Log(ratioAtMany)
	default:
		return isolated && r.Crashes >= guiltyCrashes && r.LogRatio >= math.Log(guiltyRatio)
	}
}

// Run is a run on a worker that has crashed.
type Run struct {
	// StartedAt is the time when the run was started.
	StartedAt vocab.Instant
	// Unanswered is set if the start was sent and the worker has not responded to it.
	Unanswered bool
	// Settled is set if the worker still responded a while after the start.
	Settled bool
	// Trial is the condition under which the run was started.
	Trial Trial
	// Unit is equal for runs that are started and judged together.
	Unit any
}

// Suspects returns the indexes of the runs that may have caused the crash, and whether they
// belong to one unit.
func Suspects(runs []Run) (suspects []int, isolated bool) {
	suspects = newest(runs)
	if len(suspects) == 0 {
		suspects = indexes(runs, func(r Run) bool { return r.Trial == RunTrial })
	}
	if len(suspects) == 0 && oneUnit(runs, indexes(runs, func(Run) bool { return true })) {
		suspects = indexes(runs, func(Run) bool { return true })
	}
	return suspects, oneUnit(runs, suspects)
}

// newest returns the runs that have not settled and started last. A start that the worker has
// not responded to may have been sent after the crash, so that the last one with a response
// counts, or the first one without.
func newest(runs []Run) []int {
	var reference vocab.Instant
	answered := false
	for _, r := range runs {
		if r.Settled {
			continue
		}
		switch {
		case !r.Unanswered:
			if !answered || r.StartedAt > reference {
				reference = r.StartedAt
			}
			answered = true
		case !answered && (reference == 0 || r.StartedAt < reference):
			reference = r.StartedAt
		}
	}
	if reference == 0 {
		return nil
	}
	return indexes(runs, func(r Run) bool {
		apart := r.StartedAt.Sub(reference)
		return !r.Settled && apart <= startSpread && apart >= -startSpread
	})
}

// Distinguishable reports whether a run that starts now is told apart from one that was started at
// an earlier time.
func Distinguishable(now, earlier vocab.Instant) bool { return now.Sub(earlier) > startSpread }

func indexes(runs []Run, match func(Run) bool) []int {
	var list []int
	for i, r := range runs {
		if match(r) {
			list = append(list, i)
		}
	}
	return list
}

// oneUnit reports whether the runs with the given indexes belong to one unit.
func oneUnit(runs []Run, list []int) bool {
	for _, i := range list {
		if runs[i].Unit != runs[list[0]].Unit {
			return false
		}
	}
	return len(list) > 0
}
