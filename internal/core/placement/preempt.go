package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Method is a way to make an attempt give room.
type Method string

const (
	// Throttle leaves the attempt a small part of its processor time.
	Throttle Method = "throttle"
	// Checkpoint saves the attempt and stops it.
	Checkpoint Method = "checkpoint"
	// Stop stops an idempotent attempt; its work is lost.
	Stop Method = "stop"
)

const (
	// throttledPercent is the processor time left to a throttled attempt.
	throttledPercent = 10
	// maxPreemptions bounds the urgent tasks served by preemption in one pass.
	maxPreemptions = 64

	throttleCost   = 1.0
	checkpointCost = 3.0
	stopCost       = 30.0
)

// Victim is an attempt that gives room, or gets it back.
type Victim struct {
	Task    vocab.TaskID
	Worker  vocab.VMID
	Method  Method
	Percent int
}

// Preemption holds room on a worker for an urgent task. The slot is taken and
// the room reserved, and the task left Waiting; it may start when the victims
// have given theirs, or without victims when the worker has room.
type Preemption struct {
	Task    vocab.TaskID
	Worker  vocab.VMID
	Need    Size
	Victims []Victim
}

func (p *planner) preempt() {
	for _, s := range p.short {
		for head, ok := s.entry, true; ok; head, ok = p.Waiting.head(s.class) {
			if len(p.out.Preemptions) >= maxPreemptions || p.full() || !p.preemptFor(s, head) {
				break
			}
		}
	}
}

func (p *planner) preemptFor(s shortage, e entry) bool {
	if !p.Account.Take(s.class.Team) {
		return false
	}
	node, victims := p.cheapest(s.need)
	if node < 0 {
		p.Account.Release(s.class.Team)
		return false
	}
	name := p.Fleet.nodes[node].info.Worker
	for _, v := range victims {
		p.Fleet.MarkLeaving(name, v.Task)
	}
	p.Fleet.Reserve(name, newRun(p.Now, s.class, e, s.need))
	p.Waiting.Remove(e.task)
	p.out.Preemptions = append(p.out.Preemptions, Preemption{
		Task: e.task, Worker: name, Need: s.need, Victims: victims,
	})
	return true
}

// cheapest returns the worker where the room costs least, with its victims.
func (p *planner) cheapest(need Size) (int, []Victim) {
	best, bestCost := -1, math.Inf(1)
	var bestVictims []Victim
	for i, n := range p.Fleet.nodes {
		if p.Fleet.free[i] == closed || !fits(need, n.info.Capacity) {
			continue
		}
		victims, cost := n.victims(need, p.Fleet.free[i], bestCost)
		if cost < bestCost {
			best, bestCost, bestVictims = i, cost, victims
		}
	}
	return best, bestVictims
}

// victims returns the attempts that make room for need, and what that costs;
// the cost is infinite if there are not enough.
func (n *node) victims(need, free Size, limit float64) ([]Victim, float64) {
	short := sub(need, free)
	if short.MemoryBytes <= 0 && short.Accelerators <= 0 {
		if list, cost := n.throttleFor(short.MilliCPU, limit); list != nil {
			return list, cost
		}
	}
	return n.stopFor(need, free, limit)
}

func (n *node) throttleFor(short int64, limit float64) ([]Victim, float64) {
	var list []Victim
	cost := 0.0
	for _, r := range n.runs {
		if r.Urgent || r.Leaving || r.Percent < fullPercent {
			continue
		}
		short -= r.Need.MilliCPU * (fullPercent - throttledPercent) / fullPercent
		cost += throttleCost
		list = append(list, Victim{Task: r.Task, Worker: n.info.Worker, Method: Throttle, Percent: throttledPercent})
		if short <= 0 {
			return list, cost
		}
		if cost >= limit {
			break
		}
	}
	return nil, math.Inf(1)
}

func (n *node) stopFor(need, free Size, limit float64) ([]Victim, float64) {
	var list []Victim
	cost := 0.0
	for _, r := range n.stoppable() {
		method, price := Stop, stopCost
		if r.Checkpoints {
			method, price = Checkpoint, checkpointCost
		}
		cost += price
		if cost >= limit {
			break
		}
		free = add(free, r.holds())
		list = append(list, Victim{Task: r.Task, Worker: n.info.Worker, Method: method})
		if fits(need, free) {
			return list, cost
		}
	}
	return nil, math.Inf(1)
}

// stoppable returns the attempts that may be ended early, those that can be
// saved first, and of each kind the latest started first.
func (n *node) stoppable() []Run {
	var runs []Run
	for _, r := range n.runs {
		if !r.Urgent && !r.Leaving && (r.Checkpoints || r.Idempotent) {
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
		return cmp.Compare(b.Since, a.Since)
	})
	return runs
}

// restore gives throttled attempts their processor time back where it is free.
func (p *planner) restore() {
	if p.Fleet.throttled == 0 {
		return
	}
	for i, n := range p.Fleet.nodes {
		room := p.Fleet.free[i].MilliCPU
		for _, r := range n.runs {
			if r.Percent == fullPercent || r.Leaving {
				continue
			}
			room -= r.Need.MilliCPU * int64(fullPercent-r.Percent) / fullPercent
			if room < 0 {
				break
			}
			p.out.Restores = append(p.out.Restores, Victim{
				Task: r.Task, Worker: n.info.Worker, Method: Throttle, Percent: fullPercent,
			})
		}
	}
}
