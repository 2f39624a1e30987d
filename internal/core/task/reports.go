package task

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// peakTolerance is the factor by which a plausible peak may exceed the
// capacity of its worker.
const peakTolerance = 2

// resizeObservations is the number of observations of a queue from which on the
// room of its running attempts is corrected.
const resizeObservations = 8

// report applies what a worker says of an attempt.
func (c *Controller) report(r *run, rep *worker.AttemptReport, kind worker.Kind) {
	if !c.plausible(r, rep) {
		c.nonsense(r.at.worker)
		rep.Peak, rep.RunTime = record.TaskSize{}, 0
	}
	switch rep.Phase {
	case worker.Running:
		if kind == worker.Renew {
			c.resize(r, rep)
		}
		c.reportRunning(r, kind)
	case worker.NeverSeen:
		c.reportNeverSeen(r, kind)
	case worker.Succeeded:
		c.end(r, record.TaskSucceeded, rep)
	case worker.Failed, worker.OutOfMemory:
		c.reportFailed(r, rep)
	case worker.Checkpointed:
		c.lose(r, record.LossCheckpointed, rep.Checkpoint)
	case worker.Stopped:
		c.reportStopped(r, rep)
	default:
		c.nonsense(r.at.worker)
		c.startAsking(r)
	}
}

func (c *Controller) reportRunning(r *run, kind worker.Kind) {
	if r.hangLimit == 0 || kind == worker.Renew {
		r.hangLimit = c.hangLimit(r.task)
	}
	if r.phase != running {
		r.phase = running
		r.at.nextRenew = vocab.Earliest(r.at.nextRenew, c.now.Add(renewEvery/2))
		if r.began == 0 {
			r.began = c.now
		}
	}
	if kind == worker.Start || kind == worker.Ask {
		c.drive(r)
	}
}

// resize corrects the room reserved for an attempt, which was started before
// its queue was known as it is now, by what was learned and what it uses.
func (c *Controller) resize(r *run, rep *worker.AttemptReport) {
	t := r.task
	e := c.learner.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory)
	if e.Observations < resizeObservations {
		return
	}
	need := e.Size
	need.MemoryBytes = max(need.MemoryBytes, rep.Peak.MemoryBytes)
	c.fleet.Resize(r.at.worker, r.ref.Task, need)
	c.held.changed = true
}

// reportNeverSeen handles an attempt of which the worker knows nothing. Only
// the answers to Ask and Stop bind the worker never to start it.
func (c *Controller) reportNeverSeen(r *run, kind worker.Kind) {
	if r.began != 0 {
		// The same worker incarnation said before that it runs.
		c.nonsense(r.at.worker)
		c.replaced(r, kind)
		return
	}
	if kind == worker.Ask || kind == worker.Stop {
		c.lose(r, record.LossNotStarted, "")
		return
	}
	c.startAsking(r)
}

func (c *Controller) reportFailed(r *run, rep *worker.AttemptReport) {
	switch {
	case !r.task.Idempotent && !r.task.Cancelled:
		c.end(r, record.TaskFailed, rep)
	case rep.Phase == worker.OutOfMemory:
		c.lose(r, record.LossOutOfMemory, "")
	default:
		c.lose(r, record.LossFailed, "")
	}
}

func (c *Controller) reportStopped(r *run, rep *worker.AttemptReport) {
	switch {
	case r.wish == wishHung && !r.task.Idempotent:
		c.end(r, record.TaskFailed, rep)
	case r.wish == wishHung:
		c.lose(r, record.LossHung, "")
	default:
		c.lose(r, record.LossStopped, "")
	}
}

func (c *Controller) end(r *run, result record.TaskResult, rep *worker.AttemptReport) {
	c.finish(r, record.TaskEnded{
		Epoch:   c.held.epoch,
		Task:    r.ref.Task,
		Attempt: r.ref.Attempt,
		Result:  result,
		Output:  rep.Output,
		Peak:    rep.Peak,
		RunTime: spec.Duration(rep.RunTime),
		Hung:    r.wish == wishHung && rep.Phase == worker.Stopped,
	})
}

// plausible reports whether the figures of a report can be true.
func (c *Controller) plausible(r *run, rep *worker.AttemptReport) bool {
	p := rep.Peak
	if p.MilliCPU < 0 || p.MemoryBytes < 0 || p.Accelerators < 0 || rep.RunTime < 0 {
		return false
	}
	info, ok := c.fleet.Worker(r.at.worker)
	if !ok {
		return true
	}
	return p.MilliCPU <= peakTolerance*info.Capacity.MilliCPU &&
		p.MemoryBytes <= peakTolerance*info.Capacity.MemoryBytes
}

func (c *Controller) nonsense(name vocab.VMID) {
	if c.fleet.NoteNonsense(c.now, name) {
		reason, _ := c.fleet.Aside(name)
		c.emit(SetAside{Worker: name, Reason: reason})
	}
}

// workerReported takes a worker's own report.
func (c *Controller) workerReported(e WorkerReported) {
	c.fleet.Observe(c.now, e.Worker, e.Usage.Used, e.Usage.Lag)
	if c.held == nil {
		return
	}
	c.held.changed = true
	for i := range e.Usage.Ended {
		c.reportedEnd(e, &e.Usage.Ended[i])
	}
}

func (c *Controller) reportedEnd(e WorkerReported, rep *worker.AttemptReport) {
	r := c.held.runs[rep.Task]
	if r != nil && r.ref == rep.Ref && r.at.worker == e.Worker && r.at.incarnation == e.Incarnation {
		c.reportedRun(r, rep)
		return
	}
	t, ok := c.loader.ledger.Task(rep.Task)
	if !ok {
		// Forgotten, or of another shard.
		return
	}
	at := c.held.holders.get(e.Worker, e.Incarnation)
	switch {
	case rep.Attempt < t.Attempt, r == nil && t.Worker == e.Worker && t.State != NeedsPerson:
		at.forget = append(at.forget, rep.Ref)
	case rep.Attempt == t.Attempt && t.Worker == e.Worker && t.Incarnation == e.Incarnation:
		c.settlePerson(t, rep)
	default:
		c.nonsense(e.Worker)
	}
}

func (c *Controller) reportedRun(r *run, rep *worker.AttemptReport) {
	if r.phase == over {
		return
	}
	if r.phase == intended && !r.busy {
		c.nonsense(r.at.worker)
		return
	}
	if rep.Phase == worker.Running || rep.Phase == worker.NeverSeen {
		return
	}
	r.busy = false
	c.report(r, rep, worker.Renew)
}

// settlePerson ends a task that waits for a person when its worker comes back
// with a result.
func (c *Controller) settlePerson(t *Task, rep *worker.AttemptReport) {
	var result record.TaskResult
	switch rep.Phase {
	case worker.Succeeded:
		result = record.TaskSucceeded
	case worker.Failed, worker.OutOfMemory:
		result = record.TaskFailed
	default:
		return
	}
	c.addOwned(record.TaskEnded{
		Epoch:   c.held.epoch,
		Task:    t.Task,
		Attempt: t.Attempt,
		Result:  result,
		Output:  rep.Output,
	})
}

// workersListed takes a reading of the list of workers.
func (c *Controller) workersListed(e WorkersListed) {
	if !c.fleet.Set(e.Workers) || c.held == nil {
		return
	}
	c.held.changed = true
	c.held.nextUnpark = c.now
}
