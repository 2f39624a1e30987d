// Package workers stands in for the platform's workers: a state machine that
// keeps the rules of package worker, shares its processor time and memory among
// the attempts it runs, and shows faults on demand, and an HTTP handler that
// serves it.
package workers

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Actual is what an attempt really needs.
type Actual struct {
	Use     record.TaskSize
	RunTime time.Duration
	// Fails makes the attempt fail at its end.
	Fails bool
	// Hangs makes the attempt never end.
	Hangs bool
}

// Profile tells what an attempt really needs.
type Profile func(ref worker.AttemptRef, job worker.AttemptSpec) Actual

// Faults are the ways in which a worker misbehaves.
type Faults struct {
	// FailAll makes each attempt fail soon after its start.
	FailAll bool
	// HangAll makes no attempt get on or end.
	HangAll bool
	// Nonsense makes reports carry impossible figures.
	Nonsense bool
	// LoseOrders drops orders before they take effect, LoseAnswers after.
	LoseOrders, LoseAnswers bool
}

// failAfter is the run time of attempts on a worker that fails all of them.
const failAfter = 200 * time.Millisecond

// Worker is one worker. It is not safe for use by several goroutines.
type Worker struct {
	Info    worker.Info
	Faults  Faults
	Profile Profile
	// OnStart is called for each attempt that begins to run; it may be nil.
	OnStart func(worker.AttemptRef, worker.AttemptSpec)
	// OnEnd is called for each attempt that ends, with the time that it ran at
	// its full use; it may be nil.
	OnEnd func(ref worker.AttemptRef, actual Actual, phase worker.AttemptPhase, worked time.Duration)

	epochs   map[vocab.StreamID]vocab.Epoch
	attempts []*attempt
	fenced   map[worker.AttemptRef]bool
	now      vocab.Instant
	sequence uint64
	// busy is the useful processor time so far, in milli-CPU seconds.
	busy float64
}

type attempt struct {
	ref    worker.AttemptRef
	job    worker.AttemptSpec
	actual Actual
	phase  worker.AttemptPhase
	until  vocab.Instant
	began  vocab.Instant
	ended  vocab.Instant
	done   time.Duration
	// resumed is the part of done that a checkpoint brought.
	resumed time.Duration
	percent int
	mark    string
	// reported means that the end was handed out in a usage report.
	reported bool
}

// New returns an idle worker.
func New(info worker.Info, profile Profile) *Worker {
	return &Worker{
		Info:    info,
		Profile: profile,
		epochs:  map[vocab.StreamID]vocab.Epoch{},
		fenced:  map[worker.AttemptRef]bool{},
	}
}

// Restart gives the worker its next incarnation, with nothing running.
func (w *Worker) Restart() {
	w.Info.Incarnation++
	for _, a := range w.running() {
		w.end(a, worker.Stopped)
	}
	w.attempts = nil
	w.fenced = map[worker.AttemptRef]bool{}
	w.epochs = map[vocab.StreamID]vocab.Epoch{}
}

// Order carries out an order. It reports false if the answer is lost.
func (w *Worker) Order(now vocab.Instant, o worker.Order) (worker.Answer, bool) {
	w.Advance(now)
	if w.Faults.LoseOrders {
		return worker.Answer{}, false
	}
	answer := w.carryOut(o)
	return answer, !w.Faults.LoseAnswers
}

func (w *Worker) carryOut(o worker.Order) worker.Answer {
	if o.Incarnation != w.Info.Incarnation {
		return worker.Answer{Code: worker.WrongIncarnation}
	}
	if o.Epoch < w.epochs[o.Shard] {
		return worker.Answer{Code: worker.StaleEpoch}
	}
	w.epochs[o.Shard] = o.Epoch
	w.forget(o.Forget)
	answer := worker.Answer{Code: worker.Done}
	for _, ref := range o.Attempts {
		if o.Kind == worker.Start && !w.start(ref, o) {
			return worker.Answer{Code: worker.NoCapacity}
		}
		answer.Attempts = append(answer.Attempts, w.apply(ref, o))
	}
	return answer
}

func (w *Worker) find(ref worker.AttemptRef) *attempt {
	for _, a := range w.attempts {
		if a.ref == ref {
			return a
		}
	}
	return nil
}

func (w *Worker) forget(refs []worker.AttemptRef) {
	w.attempts = slices.DeleteFunc(w.attempts, func(a *attempt) bool {
		return a.phase != worker.Running && slices.Contains(refs, a.ref)
	})
}

// start begins an attempt; it reports false if there is no room.
func (w *Worker) start(ref worker.AttemptRef, o worker.Order) bool {
	if w.fenced[ref] || w.find(ref) != nil {
		return true
	}
	if !w.hasRoom(o.Job.Size) {
		w.fenced[ref] = true
		return false
	}
	a := &attempt{
		ref: ref, job: *o.Job, actual: w.Profile(ref, *o.Job), phase: worker.Running,
		until: w.now.Add(o.Lease), began: w.now, percent: 100,
	}
	a.resume()
	w.attempts = append(w.attempts, a)
	if w.OnStart != nil {
		w.OnStart(ref, a.job)
	}
	return true
}

// markPrefix begins the names of checkpoints; the time done follows.
const markPrefix = "saved-"

// resume takes the time done from the checkpoint to continue from.
func (a *attempt) resume() {
	text, ok := strings.CutPrefix(a.job.Checkpoint, markPrefix)
	if !ok {
		return
	}
	if done, err := time.ParseDuration(text); err == nil {
		a.done, a.resumed = done, done
	}
}

// hasRoom compares a new attempt with what the others really use.
func (w *Worker) hasRoom(size record.TaskSize) bool {
	memory, accelerators := size.MemoryBytes, size.Accelerators
	for _, a := range w.running() {
		memory += a.actual.Use.MemoryBytes
		accelerators += a.job.Size.Accelerators
	}
	return memory <= w.Info.Capacity.MemoryBytes && accelerators <= w.Info.Capacity.Accelerators
}

// apply carries out the part of an order that is about one attempt.
func (w *Worker) apply(ref worker.AttemptRef, o worker.Order) worker.AttemptReport {
	a := w.find(ref)
	if a == nil {
		if o.Kind == worker.Ask || o.Kind == worker.Stop {
			w.fenced[ref] = true
		}
		return worker.AttemptReport{AttemptRef: ref, Phase: worker.NeverSeen}
	}
	if a.phase == worker.Running {
		w.change(a, o)
	}
	return w.report(a)
}

func (w *Worker) change(a *attempt, o worker.Order) {
	switch o.Kind {
	case worker.Renew:
		a.until = w.now.Add(o.Lease)
	case worker.Stop:
		w.end(a, worker.Stopped)
	case worker.Checkpoint:
		a.mark = markPrefix + a.done.String()
		w.end(a, worker.Checkpointed)
	case worker.Throttle:
		a.percent = o.Percent
	}
}

func (w *Worker) end(a *attempt, p worker.AttemptPhase) {
	a.phase = p
	a.ended = w.now
	if w.OnEnd != nil {
		w.OnEnd(a.ref, a.actual, p, a.done-a.resumed)
	}
}

// Visit calls f for each attempt that runs.
func (w *Worker) Visit(f func(worker.AttemptRef, Actual)) {
	for _, a := range w.running() {
		f(a.ref, a.actual)
	}
}

func (w *Worker) report(a *attempt) worker.AttemptReport {
	end := w.now
	if a.phase != worker.Running {
		end = a.ended
	}
	r := worker.AttemptReport{
		AttemptRef: a.ref, Phase: a.phase, Peak: a.actual.Use, RunTime: end.Sub(a.began), Checkpoint: a.mark,
	}
	if w.Faults.Nonsense {
		r.Peak.MilliCPU = -1
	}
	return r
}

// Running returns the attempts that run.
func (w *Worker) Running() []worker.AttemptRef {
	var refs []worker.AttemptRef
	for _, a := range w.running() {
		refs = append(refs, a.ref)
	}
	return refs
}

func (w *Worker) running() []*attempt {
	var list []*attempt
	for _, a := range w.attempts {
		if a.phase == worker.Running {
			list = append(list, a)
		}
	}
	return list
}

// Usage returns a report with the use now and the ends not reported yet.
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

// Busy returns the processor time used so far, in milli-CPU seconds.
func (w *Worker) Busy() float64 { return w.busy }
