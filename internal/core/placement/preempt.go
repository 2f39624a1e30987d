package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// PreemptionMethod is a way to free capacity that an attempt occupies.
type PreemptionMethod string

const (
	// Throttle lowers the CPU share of the attempt.
	Throttle PreemptionMethod = "throttle"
	// Checkpoint saves the progress of the attempt and stops it.
	Checkpoint PreemptionMethod = "checkpoint"
	// Stop stops an idempotent attempt; its progress is lost.
	Stop PreemptionMethod = "stop"
)

const (
	// throttledPercent is the CPU share of a throttled attempt.
	throttledPercent = 10
	// maxPreemptions bounds the number of preemptions in one pass.
	maxPreemptions = 64

	// Relative costs of the methods, per victim.
	throttleCost   = 1.0
	checkpointCost = 3.0
	stopCost       = 30.0
)

// Victim is an attempt that frees capacity for an urgent task, or a throttled one
// whose CPU share is restored.
type Victim struct {
	Task   vocab.TaskID
	Worker vocab.VMID
	Method PreemptionMethod
	// CPUPercent is the new CPU share; it is set for Throttle only.
	CPUPercent int
}

// Preemption reserves capacity on a worker for a task that has to wait until the
// capacity is free: for an urgent task, until the victims have freed it; without
// victims, until enough attempts have ended. Its slot is acquired, its capacity is
// reserved, and it has been removed from Waiting.
type Preemption struct {
	Task    vocab.TaskID
	Worker  vocab.VMID
	Need    Size
	Victims []Victim
}

// preempt finds victims for the urgent tasks for which no worker had capacity, and
// for the tasks behind them in their classes.
func (p *planner) preempt() {
	for _, s := range p.unplacedUrgent {
		for head, ok := s.entry, true; ok; head, ok = p.Waiting.head(s.class) {
			if len(p.out.Preemptions) >= maxPreemptions || p.limitReached() || !p.preemptFor(s, head) {
				break
			}
		}
	}
}

// preemptFor reserves a worker and chooses victims for one urgent task. It returns
// false if the team is at its upper limit or no worker has enough victims.
func (p *planner) preemptFor(s unplacedTask, e entry) bool {
	if !p.Account.TryAcquire(s.class.Team) {
		return false
	}
	node, victims := p.cheapestWorker(s.need)
	if node < 0 {
		p.Account.Release(s.class.Team)
		return false
	}
	name := p.Fleet.nodes[node].info.Worker
	for _, v := range victims {
		p.Fleet.MarkPreempted(name, v.Task)
	}
	p.Fleet.Reserve(name, newRun(p.Now, s.class, e, s.need))
	p.Waiting.Remove(e.task)
	p.out.Preemptions = append(p.out.Preemptions, Preemption{
		Task: e.task, Worker: name, Need: s.need, Victims: victims,
	})
	return true
}

// cheapestWorker returns the index of the worker on which need can be freed at the
// lowest cost, with the victims; -1 if there is none.
func (p *planner) cheapestWorker(need Size) (int, []Victim) {
	best, bestCost := -1, math.Inf(1)
	var bestVictims []Victim
	for i, n := range p.Fleet.nodes {
		if p.Fleet.free[i] == noCapacity || !fits(need, n.info.Capacity) {
			continue
		}
		victims, cost := n.victims(need, p.Fleet.free[i], bestCost)
		if cost < bestCost {
			best, bestCost, bestVictims = i, cost, victims
		}
	}
	return best, bestVictims
}

// victims returns the attempts that have to free capacity for need, and their cost.
// It prefers throttling, which frees CPU only. The cost is infinite if the attempts
// cannot free enough, or not at a lower cost than maxCost.
func (n *node) victims(need, free Size, maxCost float64) ([]Victim, float64) {
	shortfall := sub(need, free)
	if shortfall.MemoryBytes <= 0 && shortfall.Accelerators <= 0 {
		if list, cost := n.throttleVictims(shortfall.MilliCPU, maxCost); list != nil {
			return list, cost
		}
	}
	return n.stopVictims(need, free, maxCost)
}

// throttleVictims returns the attempts to throttle so that shortfall milli-CPUs
// become free, and their cost.
func (n *node) throttleVictims(shortfall int64, maxCost float64) ([]Victim, float64) {
	var list []Victim
	cost := 0.0
	for _, r := range n.runs {
		if r.Urgent || r.Preempted || r.CPUPercent < fullPercent {
			continue
		}
		shortfall -= r.Need.MilliCPU * (fullPercent - throttledPercent) / fullPercent
		cost += throttleCost
		list = append(list, Victim{Task: r.Task, Worker: n.info.Worker, Method: Throttle, CPUPercent: throttledPercent})
		if shortfall <= 0 {
			return list, cost
		}
		if cost >= maxCost {
			break
		}
	}
	return nil, math.Inf(1)
}

// stopVictims returns the attempts to checkpoint or stop so that need fits, and
// their cost.
func (n *node) stopVictims(need, free Size, maxCost float64) ([]Victim, float64) {
	var list []Victim
	cost := 0.0
	for _, r := range n.stoppableRuns() {
		method, victimCost := Stop, stopCost
		if r.Checkpoints {
			method, victimCost = Checkpoint, checkpointCost
		}
		cost += victimCost
		if cost >= maxCost {
			break
		}
		free = add(free, r.reserved())
		list = append(list, Victim{Task: r.Task, Worker: n.info.Worker, Method: method})
		if fits(need, free) {
			return list, cost
		}
	}
	return nil, math.Inf(1)
}

// stoppableRuns returns the attempts that may be checkpointed or stopped: those that
// support checkpoints first, and each kind in order of start, latest first.
func (n *node) stoppableRuns() []Run {
	var runs []Run
	for _, r := range n.runs {
		if !r.Urgent && !r.Preempted && (r.Checkpoints || r.Idempotent) {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int {
		if a.Checkpoints != b.Checkpoints {
			if a.Checkpoints {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.ReservedAt, a.ReservedAt)
	})
	return runs
}

// restoreCPU restores the full CPU share of throttled attempts on workers where it
// is free.
func (p *planner) restoreCPU() {
	if p.Fleet.throttled == 0 {
		return
	}
	for i, n := range p.Fleet.nodes {
		free := p.Fleet.free[i].MilliCPU
		for _, r := range n.runs {
			if r.CPUPercent == fullPercent || r.Preempted {
				continue
			}
			free -= r.Need.MilliCPU * int64(fullPercent-r.CPUPercent) / fullPercent
			if free < 0 {
				break
			}
			p.out.Restores = append(p.out.Restores, Victim{
				Task: r.Task, Worker: n.info.Worker, Method: Throttle, CPUPercent: fullPercent,
			})
		}
	}
}
