package placement

import (
	"math"
	"slices"
)

const (
	// maxCandidates is the number of workers with room that are scored.
	maxCandidates = 16
	// spreadWeight weighs an uneven spread over zones and racks against room
	// left unused.
	spreadWeight = 0.5
	// acceleratorWeight keeps tasks without accelerators off such workers.
	acceleratorWeight = 2
	// avoidedParts is the least number of workers, as a multiple of those to
	// avoid, for which avoiding them is worth a wait.
	avoidedParts = 2
)

// choose returns the best of the first workers with room, starting where the
// last search ended.
func (p *planner) choose(q *classQueue, e entry, need Size) (int, bool) {
	for _, s := range p.unfit {
		if fits(s, need) {
			return 0, false
		}
	}
	f := p.Fleet
	avoid := e.avoid
	if len(f.nodes) < len(avoid)*avoidedParts {
		avoid = nil
	}
	best, bestScore := -1, math.Inf(1)
	found := 0
	for step := range f.free {
		i := f.cursor + step
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
			f.cursor = i
			break
		}
	}
	if best < 0 && len(avoid) == 0 {
		p.unfit = append(p.unfit, need)
	}
	return best, best >= 0
}

// score rates a worker for a task; lower is better. It prefers the worker on
// which the least is left over, and an even spread of the queue.
func (p *planner) score(q *classQueue, need Size, i int) float64 {
	f := p.Fleet
	info := &f.nodes[i].info
	score := dominant(sub(f.free[i], need), info.Capacity)
	if need.Accelerators == 0 && info.Capacity.Accelerators > 0 {
		score += acceleratorWeight
	}
	counts := f.spread[q.Queue]
	all := counts[domain{}]
	if all == 0 {
		return score
	}
	zone := float64(counts[domain{zone: info.Zone}]) / float64(all)
	rack := float64(counts[domain{zone: info.Zone, rack: info.Rack}]) / float64(all)
	return score + spreadWeight*(zone+rack)
}
