package capacity

import (
	"math"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
)

// foresight finds the cheapest numbers of VMs for one pool over a run, with the
// need of every minute known in advance and the planner's own costs of moves,
// lack and idleness.
type foresight struct {
	floor, most int
	need        []int // VMs per minute
}

// secondsPerStep is the length of one entry of need.
const secondsPerStep = 60

// best returns the VMs to hold in each minute.
func (f *foresight) best() []int {
	width := f.most - f.floor + 1
	cost := make([]float64, width)
	from := make([][]int, len(f.need))
	for step, need := range f.need {
		next := make([]float64, width)
		from[step] = make([]int, width)
		for i := range next {
			cheapest, at := math.Inf(1), 0
			for j := range cost {
				if c := cost[j] + f.moveCost(i, j, step); c < cheapest {
					cheapest, at = c, j
				}
			}
			next[i] = cheapest + f.holdCost(f.floor+i, need)
			from[step][i] = at
		}
		cost = next
	}
	return f.trace(cost, from)
}

func (f *foresight) moveCost(i, j, step int) float64 {
	if step == 0 {
		return 0
	}
	return maintenance.MoveCost * math.Abs(float64(i-j))
}

func (f *foresight) holdCost(held, need int) float64 {
	if held < need {
		return maintenance.ShortfallWeight * float64(need-held) * secondsPerStep
	}
	return maintenance.SurplusWeight * float64(held-need) * secondsPerStep
}

func (f *foresight) trace(cost []float64, from [][]int) []int {
	at := 0
	for i := range cost {
		if cost[i] < cost[at] {
			at = i
		}
	}
	held := make([]int, len(f.need))
	for step := len(f.need) - 1; step >= 0; step-- {
		held[step] = f.floor + at
		at = from[step][at]
	}
	return held
}

// changes returns the number of VMs moved in or out.
func changes(held []int) int {
	n := 0
	for i := 1; i < len(held); i++ {
		n += max(held[i]-held[i-1], held[i-1]-held[i])
	}
	return n
}
