package job

import "time"

// The objective of a job counts from the run time of its longest chain of dependent steps, and a step
// takes as long as its longest task. Callers declare one run time for all tasks of a step, whose run
// times differ: the longest of a dozen takes half as long again as the mean. An objective from mean run
// times is too short, so that jobs are taken for late, or for worthless, that are in time for their callers.

// maxStepTimeRatio bounds the measured time of a step, in expected times: a task on a slow worker
// does not make the objective longer.
const maxStepTimeRatio = 2

// noteRunTime learns from a run that has completed.
func (o *owner) noteRunTime(t *task) {
	if t.startedAt == 0 {
		return
	}
	st, ran := t.step, o.s.now.Sub(t.startedAt)
	queue := st.job.acceptance.Queue
	if t.lastRun == 1 {
		o.estimates.observe(queue, st.spec.EstimateMS, ran)
	}
	o.learnedQueues[queue] = true
	st.observedRuns++
	st.longestRun = max(st.longestRun, ran)
	if st.observedRuns == len(st.tasks) && !st.spec.LongRunning {
		o.stepTimes.observe(queue, st.spec.EstimateMS, st.longestRun)
	}
}

// stepTime is the time that the longest task of a step takes, as far as it is known.
func (o *owner) stepTime(st *step) time.Duration {
	o.refreshTimes(st)
	expected := st.longestTime
	measured := min(st.longestRun, maxStepTimeRatio*expected)
	if st.observedRuns == st.spec.Count {
		return measured
	}
	return max(expected, measured)
}
