package placement

import (
	"math"
	"slices"
)

const (
	// maxCandidates is the number of workers with enough free capacity that are
	// scored for one task.
	maxCandidates = 16
	// spreadWeight is the weight of an uneven spread over availability zones and
	// racks relative to the share of a worker's capacity that stays unused.
	spreadWeight = 0.5
	// acceleratorPenalty is added to the score of a worker with accelerators for
	// a task that needs none.
	acceleratorPenalty = 2
	// minWorkersPerAvoided is the number of workers per avoided worker below which
	// a task may return to a worker on which it failed, rather than wait.
	minWorkersPerAvoided = 2
)

// chooseWorker returns the index of the worker with the lowest score among the
// first maxCandidates that have capacity for need. The search starts where the
// last one ended.
func (p *planner) chooseWorker(q *classQueue, e entry, need Size) (int, bool) {
	for _, s := range p.unplaceable {
		if fits(s, need) {
			return 0, false
		}
	}
	f := p.Fleet
	avoid := e.avoid
	if len(f.nodes) < len(avoid)*minWorkersPerAvoided {
		avoid = nil
	}
	best, bestScore := -1, math.Inf(1)
	found := 0
	for step := range f.free {
		i := f.searchStart + step
		if i >= len(f.free) {
			i -= len(f.free)
		}
		if !fits(need, f.free[i]) || slices.Contains(avoid, f.nodes[i].info.Worker) {
			continue
		}
		if score := p.score(q, need, i); score < bestScore {
			best, bestScore = i, score
		}
		found++
		if found == maxCandidates {
			f.searchStart = i
			break
		}
	}
	if best < 0 && len(avoid) == 0 {
		p.unplaceable = append(p.unplaceable, need)
	}
	return best, best >= 0
}

// score rates a worker for a task; lower is better. It prefers the worker with
// the least capacity left over (best fit) and an even spread of the queue's
// attempts over availability zones and racks.
func (p *planner) score(q *classQueue, need Size, i int) float64 {
	f := p.Fleet
	info := &f.nodes[i].info
	score := dominantShare(sub(f.free[i], need), info.Capacity)
	if need.Accelerators == 0 && info.Capacity.Accelerators > 0 {
		score += acceleratorPenalty
	}
	runs := f.runsByDomain[q.Queue]
	total := runs[failureDomain{}]
	if total == 0 {
		return score
	}
	zone := float64(runs[failureDomain{zone: info.Zone}]) / float64(total)
	rack := float64(runs[failureDomain{zone: info.Zone, rack: info.Rack}]) / float64(total)
	return score + spreadWeight*(zone+rack)
}
