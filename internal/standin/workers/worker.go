// Package workers contains a stand-in for the platform's workers. Worker is a
// state machine that follows the protocol of package worker and simulates how
// attempts share its CPU and memory. Service serves several workers over HTTP.
// Faults can be injected into a worker.
package workers

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Behavior is the behavior of an attempt, which may differ from the size that its
// job reserves.
type Behavior struct {
	// Use is the CPU, memory and accelerators that the attempt uses while it runs.
	Use record.TaskSize
	// RunTime is the time that the attempt takes at its full CPU use.
	RunTime time.Duration
	// Fails makes the attempt fail after RunTime.
	Fails bool
	// Hangs makes the attempt run until it is stopped.
	Hangs bool
}

// BehaviorFunc returns the behavior of an attempt.
type BehaviorFunc func(ref worker.AttemptRef, job worker.AttemptSpec) Behavior

// Faults are the faults that can be injected into a Worker.
type Faults struct {
	// FailAll makes each attempt fail after failAfter.
	FailAll bool
	// HangAll makes all attempts run without progress until they are stopped.
	HangAll bool
	// InvalidReports puts a negative CPU use into the reports on attempts.
	InvalidReports bool
	// LoseOrders drops orders without effect. LoseAnswers carries them out and
	// drops the answers.
	LoseOrders, LoseAnswers bool
}

// failAfter is the run time of attempts on a worker with the fault FailAll.
const failAfter = 200 * time.Millisecond

// Worker is a simulated worker. It is not safe for use by several goroutines.
// Its time advances only with the instants that are passed to its methods.
type Worker struct {
	Info   worker.Info
	Faults Faults
	// Behavior returns the behavior of each attempt that starts.
	Behavior BehaviorFunc
	// OnStart, if set, is called for each attempt that starts.
	OnStart func(worker.AttemptRef, worker.AttemptSpec)
	// OnEnd, if set, is called for each attempt that finishes, with the run time
	// at full CPU use that the attempt completed since its start.
	OnEnd func(ref worker.AttemptRef, actual Behavior, phase worker.AttemptPhase, progress time.Duration)

	// highestEpochs is the highest epoch of the orders of each shard.
	highestEpochs map[vocab.StreamID]vocab.Epoch
	// attempts are the running attempts, and the finished ones until an order lists
	// them under Forget.
	attempts []*attempt
	// fenced holds the attempts of which the worker refuses a later start.
	fenced map[worker.AttemptRef]bool
	now    vocab.Instant
	// sequence is the number of the last usage report.
	sequence uint64
	// usedMilliCPUSeconds is the CPU time used so far. Time under the fault HangAll
	// does not count.
	usedMilliCPUSeconds float64
}

// attempt is an attempt of a task on the worker.
type attempt struct {
	ref      worker.AttemptRef
	job      worker.AttemptSpec
	actual   Behavior
	phase    worker.AttemptPhase
	leaseEnd vocab.Instant
	started  vocab.Instant
	// finished is set once phase is no longer Running.
	finished vocab.Instant
	// progress is the completed run time at full CPU use.
	progress time.Duration
	// restored is the part of progress that came from the checkpoint of an earlier
	// attempt.
	restored time.Duration
	// cpuPercent is the share of its CPU use that the attempt may take.
	cpuPercent int
	// checkpoint is the name of the state that the attempt saved.
	checkpoint string
	// reported means that a usage report contained the finished attempt.
	reported bool
}

// New returns a worker without attempts.
func New(info worker.Info, behavior BehaviorFunc) *Worker {
	return &Worker{
		Info:          info,
		Behavior:      behavior,
		highestEpochs: map[vocab.StreamID]vocab.Epoch{},
		fenced:        map[worker.AttemptRef]bool{},
	}
}

// Restart stops all attempts and gives the worker its next incarnation.
func (w *Worker) Restart() {
	w.Info.Incarnation++
	for _, a := range w.runningAttempts() {
		w.finish(a, worker.Stopped)
	}
	w.attempts = nil
	w.fenced = map[worker.AttemptRef]bool{}
	w.highestEpochs = map[vocab.StreamID]vocab.Epoch{}
}

// Order carries out an order. It reports false if the order or the answer is
// lost.
func (w *Worker) Order(now vocab.Instant, o worker.Order) (worker.Answer, bool) {
	w.Advance(now)
	if w.Faults.LoseOrders {
		return worker.Answer{}, false
	}
	answer := w.carryOut(o)
	return answer, !w.Faults.LoseAnswers
}

// carryOut checks the incarnation and epoch of an order and applies it to its
// attempts.
func (w *Worker) carryOut(o worker.Order) worker.Answer {
	if o.Incarnation != w.Info.Incarnation {
		return worker.Answer{Code: worker.WrongIncarnation}
	}
	if o.Epoch < w.highestEpochs[o.Shard] {
		return worker.Answer{Code: worker.StaleEpoch}
	}
	w.highestEpochs[o.Shard] = o.Epoch
	w.forget(o.Forget)
	answer := worker.Answer{Code: worker.Done}
	for _, ref := range o.Attempts {
		if o.Kind == worker.Start && !w.start(ref, o) {
			return worker.Answer{Code: worker.NoCapacity}
		}
		answer.Attempts = append(answer.Attempts, w.applyToAttempt(ref, o))
	}
	return answer
}

// find returns an attempt, or nil if the worker does not have it.
func (w *Worker) find(ref worker.AttemptRef) *attempt {
	for _, a := range w.attempts {
		if a.ref == ref {
			return a
		}
	}
	return nil
}

// forget removes those of the attempts that are finished.
func (w *Worker) forget(refs []worker.AttemptRef) {
	w.attempts = slices.DeleteFunc(w.attempts, func(a *attempt) bool {
		return a.phase != worker.Running && slices.Contains(refs, a.ref)
	})
}

// start starts an attempt, unless it is fenced or known. It reports false, and
// fences the attempt, if the worker lacks the free capacity.
func (w *Worker) start(ref worker.AttemptRef, o worker.Order) bool {
	if w.fenced[ref] || w.find(ref) != nil {
		return true
	}
	if !w.hasFreeCapacity(o.Spec.Size) {
		w.fenced[ref] = true
		return false
	}
	a := &attempt{
		ref: ref, job: *o.Spec, actual: w.Behavior(ref, *o.Spec), phase: worker.Running,
		leaseEnd: w.now.Add(o.Lease), started: w.now, cpuPercent: 100,
	}
	a.restore()
	w.attempts = append(w.attempts, a)
	if w.OnStart != nil {
		w.OnStart(ref, a.job)
	}
	return true
}

// checkpointPrefix is the start of the name of a checkpoint. The progress of the
// attempt follows.
const checkpointPrefix = "saved-"

// restore sets the progress to that of the checkpoint to continue from, if there
// is one.
func (a *attempt) restore() {
	text, ok := strings.CutPrefix(a.job.Checkpoint, checkpointPrefix)
	if !ok {
		return
	}
	if progress, err := time.ParseDuration(text); err == nil {
		a.progress, a.restored = progress, progress
	}
}

// hasFreeCapacity reports whether the worker has the memory and accelerators for a
// new attempt of a size. Memory counts as the running attempts use it, not as they
// reserve it. CPU does not count: attempts share it.
func (w *Worker) hasFreeCapacity(size record.TaskSize) bool {
	memory, accelerators := size.MemoryBytes, size.Accelerators
	for _, a := range w.runningAttempts() {
		memory += a.actual.Use.MemoryBytes
		accelerators += a.job.Size.Accelerators
	}
	return memory <= w.Info.Capacity.MemoryBytes && accelerators <= w.Info.Capacity.Accelerators
}

// applyToAttempt applies an order to one attempt, which start has handled if the
// order is a Start, and returns the report on it. Query and Stop fence an attempt
// that the worker has not seen.
func (w *Worker) applyToAttempt(ref worker.AttemptRef, o worker.Order) worker.AttemptReport {
	a := w.find(ref)
	if a == nil {
		if o.Kind == worker.Query || o.Kind == worker.Stop {
			w.fenced[ref] = true
		}
		return worker.AttemptReport{AttemptRef: ref, Phase: worker.NeverSeen}
	}
	if a.phase == worker.Running {
		w.applyToRunning(a, o)
	}
	return w.report(a)
}

// applyToRunning applies an order to a running attempt.
func (w *Worker) applyToRunning(a *attempt, o worker.Order) {
	switch o.Kind {
	case worker.Renew:
		a.leaseEnd = w.now.Add(o.Lease)
	case worker.Stop:
		w.finish(a, worker.Stopped)
	case worker.Checkpoint:
		a.checkpoint = checkpointPrefix + a.progress.String()
		w.finish(a, worker.Checkpointed)
	case worker.Throttle:
		a.cpuPercent = o.Percent
	}
}

// finish moves a running attempt to a terminal phase.
func (w *Worker) finish(a *attempt, phase worker.AttemptPhase) {
	a.phase = phase
	a.finished = w.now
	if w.OnEnd != nil {
		w.OnEnd(a.ref, a.actual, phase, a.progress-a.restored)
	}
}

// Visit calls f for each running attempt.
func (w *Worker) Visit(f func(worker.AttemptRef, Behavior)) {
	for _, a := range w.runningAttempts() {
		f(a.ref, a.actual)
	}
}

// report returns the report on an attempt. Its run time is the time since the
// start, not the progress.
func (w *Worker) report(a *attempt) worker.AttemptReport {
	end := w.now
	if a.phase != worker.Running {
		end = a.finished
	}
	r := worker.AttemptReport{
		AttemptRef: a.ref, Phase: a.phase, Peak: a.actual.Use, RunTime: end.Sub(a.started), Checkpoint: a.checkpoint,
	}
	if w.Faults.InvalidReports {
		r.Peak.MilliCPU = -1
	}
	return r
}

// Running returns the running attempts.
func (w *Worker) Running() []worker.AttemptRef {
	var refs []worker.AttemptRef
	for _, a := range w.runningAttempts() {
		refs = append(refs, a.ref)
	}
	return refs
}

func (w *Worker) runningAttempts() []*attempt {
	var running []*attempt
	for _, a := range w.attempts {
		if a.phase == worker.Running {
			running = append(running, a)
		}
	}
	return running
}

// Usage returns the next usage report: the current use, and the finished attempts
// that no report contained yet.
func (w *Worker) Usage(now vocab.Instant) worker.Usage {
	w.Advance(now)
	w.sequence++
	u := worker.Usage{Sequence: w.sequence}
	for _, a := range w.attempts {
		if a.phase == worker.Running {
			u.Used.MilliCPU += a.actual.Use.MilliCPU
			u.Used.MemoryBytes += a.actual.Use.MemoryBytes
			u.Used.Accelerators += a.actual.Use.Accelerators
			continue
		}
		if !a.reported {
			a.reported = true
			u.Ended = append(u.Ended, w.report(a))
		}
	}
	return u
}

// UsedMilliCPUSeconds returns the CPU time used so far. Time under the fault
// HangAll does not count.
func (w *Worker) UsedMilliCPUSeconds() float64 { return w.usedMilliCPUSeconds }
