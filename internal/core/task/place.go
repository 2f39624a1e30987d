package task

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// reasonPoison is the reason of a task that fails wherever it runs. Such a
// task is not tried again by itself.
const reasonPoison = "failed on several workers"

// nomination is a task for which room is being made on a worker.
type nomination struct {
	worker  vocab.VMID
	since   vocab.Instant
	victims []placement.Victim
	need    placement.Size
	// stopping means that the victims are no longer given time to be saved.
	stopping bool
}

// place runs a pass of placement and queues its decisions.
func (c *Controller) place() {
	h := c.held
	room := maxBatchRecords - len(c.out.lanes[ownerLane])
	if h.waiting.Len() == 0 && !c.fleet.Throttled() || !c.mayStart() || c.log.failed || room <= 0 {
		return
	}
	if !h.changed && c.now.Before(h.nextPlace) {
		return
	}
	h.changed = false
	h.nextPlace = c.now.Add(placeEvery)
	out := placement.Plan(placement.Input{
		Now:     c.now,
		Waiting: h.waiting,
		Fleet:   c.fleet,
		Learner: c.learner,
		Account: c.set.Account,
		Weight:  c.set.Weight,
		Limit:   room,
		Drains:  c.drains(),
	})
	c.carryOut(out)
}

func (c *Controller) carryOut(out placement.Output) {
	for _, b := range out.Bindings {
		c.intend(b)
	}
	for _, p := range out.Parkings {
		c.park(p)
	}
	for _, p := range out.Preemptions {
		c.nominate(p)
	}
	for _, v := range out.Restores {
		if r := c.held.runs[v.Task]; r != nil {
			r.wishPercent = v.Percent
			c.drive(r)
		}
	}
}

// intend queues the announcement of a start.
func (c *Controller) intend(b placement.Binding) {
	h := c.held
	t, ok := c.loader.ledger.Task(b.Task)
	info, listed := c.fleet.Worker(b.Worker)
	if !ok || !listed || t.State != Waiting {
		c.releaseRoom(b.Worker, b.Task)
		if ok {
			c.sync(t)
		}
		return
	}
	h.bound[b.Task] = reservation{attempt: t.Attempt + 1, worker: b.Worker}
	c.addOwned(record.TaskStartIntended{
		Epoch:       h.epoch,
		Task:        b.Task,
		Attempt:     t.Attempt + 1,
		Worker:      b.Worker,
		Incarnation: info.Incarnation,
		Size:        b.Need,
	})
}

// settleIntent gives back the room of an intent that the fold ignored.
func (c *Controller) settleIntent(e record.Envelope) {
	if c.held == nil || e.Kind != (record.TaskStartIntended{}).RecordKind() {
		return
	}
	body, err := record.Decode(e)
	if err != nil {
		return
	}
	intent := body.(record.TaskStartIntended)
	b, ok := c.held.bound[intent.Task]
	if !ok || b.attempt != intent.Attempt {
		return
	}
	delete(c.held.bound, intent.Task)
	c.releaseRoom(b.worker, intent.Task)
	if t, ok := c.loader.ledger.Task(intent.Task); ok {
		c.sync(t)
	}
}

func (c *Controller) park(p placement.Parking) {
	t, ok := c.loader.ledger.Task(p.Task)
	if !ok {
		return
	}
	c.addOwned(record.TaskParked{Epoch: c.held.epoch, Task: p.Task, Seen: t.Changed, Reason: p.Reason})
}

// checkParked lets tasks wait again that a worker could run now.
func (c *Controller) checkParked() {
	h := c.held
	if c.now.Before(h.nextUnpark) || len(h.parked) == 0 {
		return
	}
	h.nextUnpark = c.now.Add(unparkEvery)
	ids := make([]vocab.TaskID, 0, len(h.parked))
	for id := range h.parked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t, ok := c.loader.ledger.Task(id)
		if !ok || t.State != Parked || t.Reason == reasonPoison {
			continue
		}
		need := c.learner.Estimate(t.Queue, t.Size, t.RunTime.D(), t.OutOfMemory).Size
		if c.fleet.Fits(need) {
			c.addOwned(record.TaskUnparked{Epoch: h.epoch, Task: id, Seen: t.Changed})
		}
	}
}

func (c *Controller) nominate(p placement.Preemption) {
	h := c.held
	h.nominated[p.Task] = &nomination{worker: p.Worker, since: c.now, victims: p.Victims, need: p.Need}
	h.nominees = append(h.nominees, p.Task)
	for _, v := range p.Victims {
		c.wishVictim(v)
	}
}

func (c *Controller) wishVictim(v placement.Victim) {
	r := c.held.runs[v.Task]
	if r == nil || r.wish != wishNone {
		return
	}
	switch v.Method {
	case placement.Throttle:
		r.wishPercent = v.Percent
	case placement.Checkpoint:
		r.wish = wishCheckpoint
	case placement.Stop:
		r.wish = wishStop
	}
	c.drive(r)
}

// checkNominations starts urgent tasks whose room is there.
func (c *Controller) checkNominations() {
	for _, id := range slices.Clone(c.held.nominees) {
		n := c.held.nominated[id]
		for _, v := range n.victims {
			c.wishVictim(v)
		}
		age := c.now.Sub(n.since)
		switch {
		case c.roomMade(n):
			c.removeNominee(id)
			c.intend(placement.Binding{Task: id, Worker: n.worker, Need: n.need})
		case age > n.limit():
			c.dropNomination(id)
			if t, ok := c.loader.ledger.Task(id); ok {
				c.sync(t)
			}
		case age > preemptPatience && !n.stopping:
			n.stopping = true
			c.stopVictims(n)
		}
	}
}

// limit returns the time after which the task is placed anew.
func (n *nomination) limit() time.Duration {
	if len(n.victims) == 0 {
		return drainLimit
	}
	return preemptLimit
}

// drains returns the number of workers that make room by letting attempts end.
func (c *Controller) drains() int {
	count := 0
	for _, n := range c.held.nominated {
		if len(n.victims) == 0 {
			count++
		}
	}
	return count
}

// roomMade reports whether no victim holds its room any more.
func (c *Controller) roomMade(n *nomination) bool {
	if len(n.victims) == 0 {
		return c.fleet.HasRoom(n.worker)
	}
	for _, v := range n.victims {
		r := c.held.runs[v.Task]
		_, planned := c.held.bound[v.Task]
		if r == nil && !planned || r != nil && (r.released || r.at.worker != n.worker) {
			continue
		}
		if r == nil || v.Method != placement.Throttle || r.percent != v.Percent {
			return false
		}
	}
	return true
}

// stopVictims stops idempotent victims that were not saved in time.
func (c *Controller) stopVictims(n *nomination) {
	for _, v := range n.victims {
		r := c.held.runs[v.Task]
		if r == nil || r.released || !r.task.Idempotent {
			continue
		}
		r.wish = max(r.wish, wishStop)
		c.drive(r)
	}
}

func (c *Controller) removeNominee(id vocab.TaskID) {
	delete(c.held.nominated, id)
	c.held.nominees = slices.DeleteFunc(c.held.nominees, func(o vocab.TaskID) bool { return o == id })
}

func (c *Controller) dropNomination(id vocab.TaskID) {
	n := c.held.nominated[id]
	if n == nil {
		return
	}
	c.removeNominee(id)
	c.releaseRoom(n.worker, id)
}
