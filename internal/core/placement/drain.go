package placement

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// drainAfter is the time after which room is held for a task that others
	// keep from fitting, because they need less.
	drainAfter = 2 * time.Minute
	// workersPerDrain is the number of workers for each one on which room is
	// held at the same time.
	workersPerDrain = 50
	// drainPart is the least part of a worker that a task must need for room to
	// be held. Smaller tasks find room whenever an attempt ends.
	drainPart = 0.25
)

// drain holds room on a worker for a task that waited long. The worker gets no
// other work until enough of its attempts have ended.
func (p *planner) drain(q *classQueue, e entry, need Size) bool {
	if p.Now.Sub(e.since) < drainAfter || p.Drains >= max(1, len(p.Fleet.nodes)/workersPerDrain) {
		return false
	}
	if dominant(need, p.Fleet.typical()) < drainPart || !p.Account.Take(q.Team) {
		return false
	}
	i := p.nearest(need)
	if i < 0 {
		p.Account.Release(q.Team)
		return false
	}
	p.Drains++
	name := p.Fleet.nodes[i].info.Worker
	p.Fleet.Reserve(name, newRun(p.Now, q, e, need))
	p.Waiting.Remove(e.task)
	p.out.Preemptions = append(p.out.Preemptions, Preemption{Task: e.task, Worker: name, Need: need})
	return true
}

// nearest returns the worker that lacks the least room for a size.
func (p *planner) nearest(need Size) int {
	best, bestLack := -1, 0.0
	for i, n := range p.Fleet.nodes {
		if p.Fleet.free[i] == closed || !fits(need, n.info.Capacity) {
			continue
		}
		lack := dominant(sub(need, p.Fleet.free[i]), n.info.Capacity)
		if best < 0 || lack < bestLack {
			best, bestLack = i, lack
		}
	}
	return best
}

// HasRoom reports whether what is reserved on a worker is within what it has.
func (f *Fleet) HasRoom(name vocab.VMID) bool {
	i, ok := f.index[name]
	return ok && fits(Size{}, f.free[i])
}
