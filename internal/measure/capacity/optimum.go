package capacity

import (
	"math"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
)

// optimum computes the cheapest number of VMs of one pool for each minute of a
// run by dynamic programming. The demand of every minute is known in advance;
// the costs of moves, shortfall and surplus are those of the planner.
type optimum struct {
	minVMs, maxVMs int
	needed         []int // VMs needed in each minute
}

// secondsPerStep is the time that one element of optimum.needed covers.
const secondsPerStep = 60

// vmsPerMinute returns the optimal number of VMs in each minute.
func (o *optimum) vmsPerMinute() []int {
	width := o.maxVMs - o.minVMs + 1
	cost := make([]float64, width)
	previous := make([][]int, len(o.needed)) // cheapest predecessor of each state
	for step, needed := range o.needed {
		next := make([]float64, width)
		previous[step] = make([]int, width)
		for i := range next {
			cheapest, predecessor := math.Inf(1), 0
			for j := range cost {
				if c := cost[j] + o.moveCost(i, j, step); c < cheapest {
					cheapest, predecessor = c, j
				}
			}
			next[i] = cheapest + o.holdCost(o.minVMs+i, needed)
			previous[step][i] = predecessor
		}
		cost = next
	}
	return o.backtrack(cost, previous)
}

// moveCost returns the cost of changing the number of VMs from state j to i.
// The initial number of VMs is free.
func (o *optimum) moveCost(i, j, step int) float64 {
	if step == 0 {
		return 0
	}
	return maintenance.MoveCost * math.Abs(float64(i-j))
}

// holdCost returns the cost of the shortfall or surplus of one step.
func (o *optimum) holdCost(vms, needed int) float64 {
	if vms < needed {
		return maintenance.ShortfallWeight * float64(needed-vms) * secondsPerStep
	}
	return maintenance.SurplusWeight * float64(vms-needed) * secondsPerStep
}

// backtrack follows the predecessors from the cheapest final state and returns
// the number of VMs in each step.
func (o *optimum) backtrack(cost []float64, previous [][]int) []int {
	state := 0
	for i := range cost {
		if cost[i] < cost[state] {
			state = i
		}
	}
	vms := make([]int, len(o.needed))
	for step := len(o.needed) - 1; step >= 0; step-- {
		vms[step] = o.minVMs + state
		state = previous[step][state]
	}
	return vms
}

// countMoves returns the number of VMs that join or leave the pool over a run.
func countMoves(vms []int) int {
	n := 0
	for i := 1; i < len(vms); i++ {
		n += max(vms[i]-vms[i-1], vms[i-1]-vms[i])
	}
	return n
}
