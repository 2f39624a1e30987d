package task

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// maxPeakFactor is the multiple of its worker's capacity up to which a reported
// peak usage is plausible.
const maxPeakFactor = 2

// minResizeObservations is the number of observations of a queue from which on the
// reservations of its running attempts are adjusted.
const minResizeObservations = 8

// applyReport applies a worker's report on an attempt. kind is the order that the
// report answers; worker.Renew stands for a report without an order.
func (c *Controller) applyReport(a *attempt, rep *worker.AttemptReport, kind worker.Kind) {
	if !c.isPlausible(a, rep) {
		c.recordInvalidReport(a.worker.id)
		rep.Peak, rep.RunTime = record.TaskSize{}, 0
	}
	switch rep.Phase {
	case worker.Running:
		if kind == worker.Renew {
			c.resizeReservation(a, rep)
		}
		c.applyRunning(a, kind)
	case worker.NeverSeen:
		c.applyNeverSeen(a, kind)
	case worker.Succeeded:
		c.endTask(a, record.TaskSucceeded, rep)
	case worker.Failed, worker.OutOfMemory:
		c.applyFailed(a, rep)
	case worker.Checkpointed:
		c.loseAttempt(a, record.LossCheckpointed, rep.Checkpoint)
	case worker.Stopped:
		c.applyStopped(a, rep)
	default:
		c.recordInvalidReport(a.worker.id)
		c.markUnknown(a)
	}
}

// applyRunning applies the report that an attempt is running.
func (c *Controller) applyRunning(a *attempt, kind worker.Kind) {
	if a.hangTimeout == 0 || kind == worker.Renew {
		a.hangTimeout = c.hangTimeout(a.task)
	}
	if a.attemptState != attemptRunning {
		a.attemptState = attemptRunning
		a.worker.nextRenew = vocab.Earliest(a.worker.nextRenew, c.now.Add(leaseRenewInterval/2))
		if a.runningSince == 0 {
			a.runningSince = c.now
		}
	}
	if kind == worker.Start || kind == worker.Query {
		c.advance(a)
	}
}

// resizeReservation adjusts the capacity reserved for a running attempt to the
// current estimate for its queue, which may have changed since the attempt
// started, and to the peak memory that the attempt has used.
func (c *Controller) resizeReservation(a *attempt, rep *worker.AttemptReport) {
	t := a.task
	e := c.estimator.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory)
	if e.Observations < minResizeObservations {
		return
	}
	need := e.Size
	need.MemoryBytes = max(need.MemoryBytes, rep.Peak.MemoryBytes)
	c.fleet.Resize(a.worker.id, a.ref.Task, need)
	c.ownership.needsPlacement = true
}

// applyNeverSeen applies the report that the worker does not know the attempt.
// Only in its answers to Query and Stop does the worker commit itself never to start
// it.
func (c *Controller) applyNeverSeen(a *attempt, kind worker.Kind) {
	if a.runningSince != 0 {
		// The same worker incarnation reported the attempt as running before.
		c.recordInvalidReport(a.worker.id)
		c.onWorkerReplaced(a, kind)
		return
	}
	if kind == worker.Query || kind == worker.Stop {
		c.loseAttempt(a, record.LossNotStarted, "")
		return
	}
	c.markUnknown(a)
}

// applyFailed applies the report that an attempt failed. The task ends as failed
// if it is not idempotent. Otherwise, or if it was cancelled, only the attempt is
// lost, and the fold decides whether the task waits again.
func (c *Controller) applyFailed(a *attempt, rep *worker.AttemptReport) {
	switch {
	case !a.task.Idempotent && !a.task.Cancelled:
		c.endTask(a, record.TaskFailed, rep)
	case rep.Phase == worker.OutOfMemory:
		c.loseAttempt(a, record.LossOutOfMemory, "")
	default:
		c.loseAttempt(a, record.LossFailed, "")
	}
}

// applyStopped applies the report that an attempt was stopped part-way.
func (c *Controller) applyStopped(a *attempt, rep *worker.AttemptReport) {
	switch {
	case a.pendingAction == actionStopHung && !a.task.Idempotent:
		c.endTask(a, record.TaskFailed, rep)
	case a.pendingAction == actionStopHung:
		c.loseAttempt(a, record.LossHung, "")
	default:
		c.loseAttempt(a, record.LossStopped, "")
	}
}

// endTask queues the record that ends the attempt's task with a result.
func (c *Controller) endTask(a *attempt, result record.TaskResult, rep *worker.AttemptReport) {
	c.finishAttempt(a, record.TaskFinished{
		Epoch:   c.ownership.epoch,
		Task:    a.ref.Task,
		Attempt: a.ref.Attempt,
		Result:  result,
		Output:  rep.Output,
		Peak:    rep.Peak,
		RunTime: spec.Duration(rep.RunTime),
		Hung:    a.pendingAction == actionStopHung && rep.Phase == worker.Stopped,
	})
}

// isPlausible reports whether the figures of a report are possible for its worker.
func (c *Controller) isPlausible(a *attempt, rep *worker.AttemptReport) bool {
	p := rep.Peak
	if p.MilliCPU < 0 || p.MemoryBytes < 0 || p.Accelerators < 0 || rep.RunTime < 0 {
		return false
	}
	info, ok := c.fleet.Worker(a.worker.id)
	if !ok {
		return true
	}
	return p.MilliCPU <= maxPeakFactor*info.Capacity.MilliCPU &&
		p.MemoryBytes <= maxPeakFactor*info.Capacity.MemoryBytes
}

// recordInvalidReport counts a report that contradicts earlier reports or orders,
// or has impossible figures. Too many of them quarantine the worker.
func (c *Controller) recordInvalidReport(id vocab.VMID) {
	if c.fleet.RecordInvalidReport(c.now, id) {
		reason, _ := c.fleet.Quarantined(id)
		c.emit(WorkerQuarantined{Worker: id, Reason: reason})
	}
}

// onWorkerReported handles a periodic report of a worker.
func (c *Controller) onWorkerReported(e WorkerReported) {
	c.fleet.ObserveUsage(c.now, e.Worker, e.Usage.Used, e.Usage.Lag)
	if c.ownership == nil {
		return
	}
	c.ownership.needsPlacement = true
	for i := range e.Usage.Ended {
		c.onEndReported(e, &e.Usage.Ended[i])
	}
}

// onEndReported handles one ended attempt in a worker's periodic report. If the
// attempt is not supervised and its end needs no record, the worker may forget it.
func (c *Controller) onEndReported(e WorkerReported, rep *worker.AttemptReport) {
	a := c.ownership.attempts[rep.Task]
	if a != nil && a.ref == rep.AttemptRef && a.worker.id == e.Worker && a.worker.incarnation == e.Incarnation {
		c.onSupervisedEndReported(a, rep)
		return
	}
	t, ok := c.loader.ledger.Task(rep.Task)
	if !ok {
		// The task was dropped from the ledger or belongs to another shard.
		return
	}
	w := c.ownership.workers.getOrAdd(e.Worker, e.Incarnation)
	switch {
	case rep.Attempt < t.Attempt, a == nil && t.Worker == e.Worker && t.State != NeedsOperator:
		w.forget = append(w.forget, rep.AttemptRef)
	case rep.Attempt == t.Attempt && t.Worker == e.Worker && t.Incarnation == e.Incarnation:
		c.resolveNeedsOperator(t, rep)
	case rep.Attempt > t.Attempt && !c.mayStart():
		// A later owner may have announced the attempt.
	default:
		c.recordInvalidReport(e.Worker)
	}
}

// onSupervisedEndReported handles the reported end of an attempt that the owner
// supervises.
func (c *Controller) onSupervisedEndReported(a *attempt, rep *worker.AttemptReport) {
	if a.attemptState == attemptFinished {
		return
	}
	if a.attemptState == attemptIntended && !a.orderPending {
		c.recordInvalidReport(a.worker.id)
		return
	}
	if rep.Phase == worker.Running || rep.Phase == worker.NeverSeen {
		return
	}
	a.orderPending = false
	c.applyReport(a, rep, worker.Renew)
}

// resolveNeedsOperator ends a task that needs an operator if its worker is back
// and reports the result.
func (c *Controller) resolveNeedsOperator(t *Task, rep *worker.AttemptReport) {
	var result record.TaskResult
	switch rep.Phase {
	case worker.Succeeded:
		result = record.TaskSucceeded
	case worker.Failed, worker.OutOfMemory:
		result = record.TaskFailed
	default:
		return
	}
	c.queueOwnerRecord(record.TaskFinished{
		Epoch:   c.ownership.epoch,
		Task:    t.Task,
		Attempt: t.Attempt,
		Result:  result,
		Output:  rep.Output,
	})
}

// onWorkersListed replaces the list of workers.
func (c *Controller) onWorkersListed(e WorkersListed) {
	c.crashRates.observe(c.now, e.Workers)
	if !c.fleet.SetWorkers(e.Workers) || c.ownership == nil {
		return
	}
	c.ownership.needsPlacement = true
	c.ownership.nextUnparkCheck = c.now
}
