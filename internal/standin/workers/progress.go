package workers

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Advance lets the attempts run up to now. Attempts share the processors in
// proportion to their use; the latest attempt fails if memory runs out.
func (w *Worker) Advance(now vocab.Instant) {
	step := now.Sub(w.now)
	w.now = now
	if step <= 0 {
		return
	}
	list := w.running()
	w.lackMemory(list)
	rate := w.rate(list)
	for _, a := range list {
		if a.phase == worker.Running {
			w.progress(a, step, rate)
		}
	}
}

func (w *Worker) rate(list []*attempt) float64 {
	var cpu int64
	for _, a := range list {
		cpu += a.actual.Use.MilliCPU * int64(a.percent) / 100
	}
	if cpu <= w.Info.Capacity.MilliCPU {
		return 1
	}
	return float64(w.Info.Capacity.MilliCPU) / float64(cpu)
}

func (w *Worker) lackMemory(list []*attempt) {
	var used int64
	for _, a := range slices.SortedStableFunc(slices.Values(list), func(a, b *attempt) int { return cmp.Compare(a.began, b.began) }) {
		used += a.actual.Use.MemoryBytes
		if used > w.Info.Capacity.MemoryBytes {
			used -= a.actual.Use.MemoryBytes
			w.end(a, worker.OutOfMemory)
		}
	}
}

func (w *Worker) progress(a *attempt, step time.Duration, rate float64) {
	part := rate * float64(a.percent) / 100
	if w.Faults.HangAll {
		part = 0
	}
	a.done += time.Duration(float64(step) * part)
	w.busy += step.Seconds() * part * float64(a.actual.Use.MilliCPU)
	switch {
	case w.now >= a.until:
		w.end(a, worker.Stopped)
	case w.Faults.FailAll && a.done >= failAfter:
		w.end(a, worker.Failed)
	case w.Faults.HangAll || a.actual.Hangs || a.done < a.actual.RunTime:
	case a.actual.Fails:
		w.end(a, worker.Failed)
	default:
		w.end(a, worker.Succeeded)
	}
}
