package placement

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// reserveAfter is the waiting time after which a worker is reserved for a
	// task that would otherwise starve because smaller tasks take all capacity
	// that becomes free.
	reserveAfter = 2 * time.Minute
	// workersPerReservation limits the reserved workers to one in this many.
	workersPerReservation = 50
	// minReservedFraction is the share of a worker's capacity that a task must
	// need to get a reservation. Smaller tasks fit whenever an attempt ends.
	minReservedFraction = 0.25
)

// reserveWorker reserves capacity on a worker for a task that has waited for
// reserveAfter. The worker gets no other tasks until enough of its attempts have
// ended for the task to fit.
func (p *planner) reserveWorker(q *classQueue, e entry, need Size) bool {
	if p.Now.Sub(e.since) < reserveAfter || p.Reservations >= max(1, len(p.Fleet.nodes)/workersPerReservation) {
		return false
	}
	if dominantShare(need, p.Fleet.meanCapacity()) < minReservedFraction || !p.Account.TryAcquire(q.Team) {
		return false
	}
	i := p.leastShortfall(need)
	if i < 0 {
		p.Account.Release(q.Team)
		return false
	}
	p.Reservations++
	name := p.Fleet.nodes[i].info.Worker
	p.Fleet.Reserve(name, newRun(p.Now, q, e, need))
	p.Waiting.Remove(e.task)
	p.out.Preemptions = append(p.out.Preemptions, Preemption{Task: e.task, Worker: name, Need: need})
	return true
}

// leastShortfall returns the index of the worker that needs the least additional
// free capacity, relative to its total, to fit need; -1 if none is large enough.
func (p *planner) leastShortfall(need Size) int {
	best, bestShortfall := -1, 0.0
	for i, n := range p.Fleet.nodes {
		if p.Fleet.free[i] == noCapacity || !fits(need, n.info.Capacity) {
			continue
		}
		shortfall := dominantShare(sub(need, p.Fleet.free[i]), n.info.Capacity)
		if best < 0 || shortfall < bestShortfall {
			best, bestShortfall = i, shortfall
		}
	}
	return best
}

// WithinCapacity reports whether the reservations on a worker are within its capacity.
func (f *Fleet) WithinCapacity(name vocab.VMID) bool {
	i, ok := f.index[name]
	return ok && fits(Size{}, f.free[i])
}
