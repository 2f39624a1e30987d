package workers

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Advance simulates the running attempts up to now. If they use more CPU than the
// worker has, all are slowed by the same factor. If they use more memory, the
// attempts that started last fail.
func (w *Worker) Advance(now vocab.Instant) {
	step := now.Sub(w.now)
	w.now = now
	if step <= 0 {
		return
	}
	running := w.runningAttempts()
	w.failOutOfMemory(running)
	speed := w.speed(running)
	for _, a := range running {
		if a.phase == worker.Running {
			w.advanceAttempt(a, step, speed)
		}
	}
}

// speed returns the fraction of their CPU use that the running attempts get: 1 unless
// together they use more CPU than the worker has.
func (w *Worker) speed(running []*attempt) float64 {
	var milliCPU int64
	for _, a := range running {
		milliCPU += a.actual.Use.MilliCPU * int64(a.cpuPercent) / 100
	}
	if milliCPU <= w.Info.Capacity.MilliCPU {
		return 1
	}
	return float64(w.Info.Capacity.MilliCPU) / float64(milliCPU)
}

// failOutOfMemory fails the attempts, in the order of their start, whose memory use
// does not fit beside that of the attempts before them.
func (w *Worker) failOutOfMemory(running []*attempt) {
	var used int64
	for _, a := range slices.SortedStableFunc(slices.Values(running), func(a, b *attempt) int { return cmp.Compare(a.started, b.started) }) {
		used += a.actual.Use.MemoryBytes
		if used > w.Info.Capacity.MemoryBytes {
			used -= a.actual.Use.MemoryBytes
			w.finish(a, worker.OutOfMemory)
		}
	}
}

// advanceAttempt adds a step to the progress of an attempt and finishes it if its
// lease or its run time has ended.
func (w *Worker) advanceAttempt(a *attempt, step time.Duration, speed float64) {
	attemptSpeed := speed * float64(a.cpuPercent) / 100
	if w.Faults.HangAll {
		attemptSpeed = 0
	}
	a.progress += time.Duration(float64(step) * attemptSpeed)
	w.usedMilliCPUSeconds += step.Seconds() * attemptSpeed * float64(a.actual.Use.MilliCPU)
	switch {
	case w.now >= a.leaseEnd:
		w.finish(a, worker.Stopped)
	case w.Faults.FailAll && a.progress >= failAfter:
		w.finish(a, worker.Failed)
	case w.Faults.HangAll || a.actual.Hangs || a.progress < a.actual.RunTime:
	case a.actual.Fails:
		w.finish(a, worker.Failed)
	default:
		w.finish(a, worker.Succeeded)
	}
}
