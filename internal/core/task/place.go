package task

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// reasonPoison is the reason of a task that is parked because it fails on whatever
// worker it runs. Such a task is not unparked automatically.
const reasonPoison = "failed on several workers"

// preemptionCandidate is a task for which capacity is being freed on a worker: by
// preempting victims or, without victims, by draining the worker until enough of
// its attempts have ended.
type preemptionCandidate struct {
	worker vocab.VMID
	since  vocab.Instant
	// victims are the attempts to throttle, checkpoint or stop.
	victims []placement.Victim
	need    placement.Size
	// victimsStopped means that the idempotent victims are stopped without
	// waiting for their checkpoints.
	victimsStopped bool
}

// placeWaiting runs a pass of placement and carries out its decisions. A pass
// starts and parks at most as many tasks as fit into the next batch.
func (c *Controller) placeWaiting() {
	own := c.ownership
	maxDecisions := maxBatchRecords - len(c.outbox.lanes[ownerLane])
	if own.waiting.Len() == 0 && !c.fleet.HasThrottled() || !c.mayStart() || c.log.failed || maxDecisions <= 0 {
		return
	}
	if !own.needsPlacement && c.now.Before(own.nextPlacement) {
		return
	}
	own.needsPlacement = false
	own.nextPlacement = c.now.Add(placementInterval)
	out := placement.Plan(placement.Input{
		Now:          c.now,
		Waiting:      own.waiting,
		Fleet:        c.fleet,
		Estimator:    c.estimator,
		Account:      c.settings.Account,
		Weight:       c.settings.Weight,
		MaxDecisions: maxDecisions,
		Reservations: c.drainCount(),
	})
	c.applyPlan(out)
}

// applyPlan carries out the decisions of a pass of placement.
func (c *Controller) applyPlan(out placement.Output) {
	for _, b := range out.Bindings {
		c.queueStart(b)
	}
	for _, p := range out.Parkings {
		c.queueParked(p)
	}
	for _, p := range out.Preemptions {
		c.addCandidate(p)
	}
	for _, v := range out.Restores {
		if a := c.ownership.attempts[v.Task]; a != nil {
			a.targetPercent = v.CPUPercent
			c.advance(a)
		}
	}
}

// queueStart queues the record that announces a start. If the task or the worker
// is no longer available, it releases the reserved capacity instead.
func (c *Controller) queueStart(b placement.Binding) {
	own := c.ownership
	t, ok := c.loader.ledger.Task(b.Task)
	info, listed := c.fleet.Worker(b.Worker)
	if !ok || !listed || t.State != Waiting {
		c.releaseCapacity(b.Worker, b.Task)
		if ok {
			c.syncTask(t)
		}
		return
	}
	own.reservations[b.Task] = reservation{attempt: t.Attempt + 1, worker: b.Worker}
	c.queueOwnerRecord(record.TaskStartIntended{
		Epoch:       own.epoch,
		Task:        b.Task,
		Attempt:     t.Attempt + 1,
		Worker:      b.Worker,
		Incarnation: info.Incarnation,
		Size:        b.Need,
	})
}

// releaseIgnoredStart releases the capacity reserved for an announced start if
// the fold ignored the announcement.
func (c *Controller) releaseIgnoredStart(e record.Envelope) {
	if c.ownership == nil || e.Kind != (record.TaskStartIntended{}).RecordKind() {
		return
	}
	body, err := record.Decode(e)
	if err != nil {
		return
	}
	intent := body.(record.TaskStartIntended)
	res, ok := c.ownership.reservations[intent.Task]
	if !ok || res.attempt != intent.Attempt {
		return
	}
	delete(c.ownership.reservations, intent.Task)
	c.releaseCapacity(res.worker, intent.Task)
	if t, ok := c.loader.ledger.Task(intent.Task); ok {
		c.syncTask(t)
	}
}

func (c *Controller) queueParked(p placement.Parking) {
	t, ok := c.loader.ledger.Task(p.Task)
	if !ok {
		return
	}
	c.queueOwnerRecord(record.TaskParked{Epoch: c.ownership.epoch, Task: p.Task, LastChange: t.Changed, Reason: p.Reason})
}

// unparkTasks queues records that unpark the tasks that fit on some worker now.
func (c *Controller) unparkTasks() {
	own := c.ownership
	if c.now.Before(own.nextUnparkCheck) || len(own.parked) == 0 {
		return
	}
	own.nextUnparkCheck = c.now.Add(unparkInterval)
	ids := make([]vocab.TaskID, 0, len(own.parked))
	for id := range own.parked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t, ok := c.loader.ledger.Task(id)
		if !ok || t.State != Parked || t.Reason == reasonPoison {
			continue
		}
		need := c.estimator.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory).Size
		if c.fleet.FitsEmptyWorker(need) {
			c.queueOwnerRecord(record.TaskUnparked{Epoch: own.epoch, Task: id, LastChange: t.Changed})
		}
	}
}

// addCandidate starts to free capacity for a task.
func (c *Controller) addCandidate(p placement.Preemption) {
	own := c.ownership
	own.candidates[p.Task] = &preemptionCandidate{worker: p.Worker, since: c.now, victims: p.Victims, need: p.Need}
	own.candidateOrder = append(own.candidateOrder, p.Task)
	for _, v := range p.Victims {
		c.preemptVictim(v)
	}
}

// preemptVictim throttles, checkpoints or stops a victim, unless another action
// on it is pending.
func (c *Controller) preemptVictim(v placement.Victim) {
	a := c.ownership.attempts[v.Task]
	if a == nil || a.pendingAction != actionNone {
		return
	}
	switch v.Method {
	case placement.Throttle:
		a.targetPercent = v.CPUPercent
	case placement.Checkpoint:
		a.pendingAction = actionCheckpoint
	case placement.Stop:
		a.pendingAction = actionStop
	}
	c.advance(a)
}

// checkCandidates starts the candidates for which enough capacity was freed, stops
// victims whose checkpoints take too long, and places candidates anew after a
// timeout.
func (c *Controller) checkCandidates() {
	for _, id := range slices.Clone(c.ownership.candidateOrder) {
		cand := c.ownership.candidates[id]
		for _, v := range cand.victims {
			c.preemptVictim(v)
		}
		age := c.now.Sub(cand.since)
		switch {
		case c.capacityFreed(cand):
			c.removeCandidate(id)
			c.queueStart(placement.Binding{Task: id, Worker: cand.worker, Need: cand.need})
		case age > cand.timeout():
			c.cancelCandidate(id)
			if t, ok := c.loader.ledger.Task(id); ok {
				c.syncTask(t)
			}
		case age > checkpointTimeout && !cand.victimsStopped:
			cand.victimsStopped = true
			c.stopVictims(cand)
		}
	}
}

// timeout returns the time after which the task is placed anew.
func (cand *preemptionCandidate) timeout() time.Duration {
	if len(cand.victims) == 0 {
		return drainTimeout
	}
	return preemptTimeout
}

// drainCount returns the number of workers that are being drained for a task.
func (c *Controller) drainCount() int {
	count := 0
	for _, cand := range c.ownership.candidates {
		if len(cand.victims) == 0 {
			count++
		}
	}
	return count
}

// capacityFreed reports whether the drained worker has enough free capacity, or
// all victims have freed theirs.
func (c *Controller) capacityFreed(cand *preemptionCandidate) bool {
	if len(cand.victims) == 0 {
		return c.fleet.WithinCapacity(cand.worker)
	}
	for _, v := range cand.victims {
		a := c.ownership.attempts[v.Task]
		_, reserved := c.ownership.reservations[v.Task]
		if a == nil && !reserved || a != nil && (a.released || a.worker.id != cand.worker) {
			continue
		}
		if a == nil || v.Method != placement.Throttle || a.cpuPercent != v.CPUPercent {
			return false
		}
	}
	return true
}

// stopVictims stops the idempotent victims that have not finished their
// checkpoint in time.
func (c *Controller) stopVictims(cand *preemptionCandidate) {
	for _, v := range cand.victims {
		a := c.ownership.attempts[v.Task]
		if a == nil || a.released || !a.task.Idempotent {
			continue
		}
		a.pendingAction = max(a.pendingAction, actionStop)
		c.advance(a)
	}
}

// removeCandidate removes a candidate but keeps its reserved capacity.
func (c *Controller) removeCandidate(id vocab.TaskID) {
	delete(c.ownership.candidates, id)
	c.ownership.candidateOrder = slices.DeleteFunc(c.ownership.candidateOrder, func(o vocab.TaskID) bool { return o == id })
}

// cancelCandidate removes a candidate, if there is one for the task, and releases
// its reserved capacity.
func (c *Controller) cancelCandidate(id vocab.TaskID) {
	cand := c.ownership.candidates[id]
	if cand == nil {
		return
	}
	c.removeCandidate(id)
	c.releaseCapacity(cand.worker, id)
}
