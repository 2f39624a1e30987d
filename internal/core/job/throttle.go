package job

import "time"

const (
	// throttleTailFraction is the fraction of its latency target at which the tail latency of
	// a latency-sensitive task makes the best-effort tasks beside it stop.
	throttleTailFraction = 0.85
	// resumeTailFraction is the fraction of the latency target below which best-effort tasks
	// resume.
	resumeTailFraction = 0.5
	// minThrottleTime is the minimum time for which stopped best-effort tasks stay stopped.
	minThrottleTime = 2 * time.Second
	// resumeStepPercent is the CPU share that a best-effort task regains per step.
	resumeStepPercent = 25
)

// throttleBestEffort stops the best-effort tasks of a worker when a latency-sensitive task
// approaches its latency target, and lets them resume in steps once the tail latency is well
// below the target.
func (o *owner) throttleBestEffort(w *worker) {
	worstTailRatio := 0.0
	for _, t := range w.tasks {
		if t.step.spec.TailTargetMS > 0 && t.state == runRunning {
			worstTailRatio = max(worstTailRatio, float64(t.tailLatencyMS)/float64(t.step.spec.TailTargetMS))
		}
	}
	for _, t := range w.tasks {
		if !t.step.spec.BestEffort || t.state != runRunning {
			continue
		}
		switch {
		case worstTailRatio > throttleTailFraction && t.cpuPercent > 0:
			w.resumeAt = o.s.now.Add(minThrottleTime)
			o.setCPUShare(t, 0)
		case worstTailRatio < resumeTailFraction && t.cpuPercent < 100 && o.s.now >= w.resumeAt:
			o.setCPUShare(t, min(100, t.cpuPercent+resumeStepPercent))
		}
	}
	if worstTailRatio < resumeTailFraction && o.s.now >= w.resumeAt {
		w.resumeAt = o.s.now.Add(minThrottleTime / 4)
	}
}

// setCPUShare sets the CPU share of a task's run, in percent.
func (o *owner) setCPUShare(t *task, percent int) {
	t.cpuPercent = percent
	o.s.logEvent(LogRunThrottled, "task", t.name(), "run", t.lastRun, "worker", t.worker.info.ID, "percent", percent)
	o.s.emit(Throttle{
		Worker: t.worker.info.ID, Address: t.worker.info.Address, Fence: t.worker.fence, Task: t.name(), Run: t.lastRun,
		Percent: percent,
	})
}
