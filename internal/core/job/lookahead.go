package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// What placement and the distribution of the machines know about the near future: when
// running tasks end, and how many waiting tasks have to run now.

// minExpectedRest is the remaining run time assumed for a task that has run for longer than
// expected.
const minExpectedRest = 200 * time.Millisecond

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
	end := startedAt.Add(o.estimates.runTime(t.step.job.acceptance.Queue, t.step.spec.EstimateMS))
	return max(end, o.s.now.Add(minExpectedRest))
}

// tasksWantedNow is the number of waiting tasks of a step that should start now for its job
// to meet its objective.
func (o *owner) tasksWantedNow(st *step) int { return st.waiting() }
