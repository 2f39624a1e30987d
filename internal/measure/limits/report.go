package limits

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Use holds the usable fractions of the limits in one scenario.
type Use struct {
	Scenario string
	// EvenSplit is the usable fraction with an even split, WithLoans that with
	// loans, and Bound the demand.
	EvenSplit, WithLoans, Bound float64
}

// Recovery holds the effects of the loss of one node.
type Recovery struct {
	// UsableMeanwhile is the fraction of the limits that remains usable.
	UsableMeanwhile float64
	// Duration is the time from the fold of the removal until the whole limit is
	// usable. Bound is the shortest safe time: a lease and the longest run limit.
	Duration, Bound time.Duration
}

// Cost is the cost of loans on one node per second.
type Cost struct {
	Nodes int
	// MessagesPerSecond and BytesPerSecond are those sent while all demands change every
	// demandInterval, with replies and headers.
	MessagesPerSecond, BytesPerSecond float64
	// SteadyBytesPerSecond are those sent while demands are constant.
	SteadyBytesPerSecond float64
	// CPUFraction is the processor time as a fraction of one core, on the machine of the
	// run.
	CPUFraction float64
}

const (
	// BytesPerSecondGoal is the maximum control traffic that a node may send, in bytes
	// per second.
	BytesPerSecondGoal = 4096
	// CPUFractionGoal is the maximum fraction of a core that a node may use for control.
	CPUFractionGoal = 0.015
)

// Report holds the results of all scenarios.
type Report struct {
	Seed     uint64
	Uses     []Use
	Recovery Recovery
	Costs    []Cost
}

// Sizes returns the numbers of nodes at which costs are measured.
func Sizes() []int {
	return []int{3, 8, 16, 32, 60}
}

// Run measures all scenarios, and costs at the given numbers of nodes. Apart
// from Cost.CPUFraction the report depends only on the arguments.
func Run(seed uint64, sizes []int) Report {
	r := Report{Seed: seed}
	r.Uses = append(r.Uses, measureSkew("all at one of 8", []int{1, 0, 0, 0, 0, 0, 0, 0}))
	r.Uses = append(r.Uses, measureSkew("3:1, 4 of 8", []int{3, 3, 3, 3, 1, 1, 1, 1}))
	r.Uses = append(r.Uses, measureSkew("even over 8", []int{1, 1, 1, 1, 1, 1, 1, 1}))
	r.Recovery = measureLoss()
	for _, n := range sizes {
		r.Costs = append(r.Costs, measureCost(n, seed))
	}
	return r
}

// String formats the report as text tables.
func (r Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d, limits of teams over entry nodes\n\n", r.Seed)
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "usable part of the limit\teven split\tloans\tbound")
	for _, u := range r.Uses {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\n", u.Scenario, u.EvenSplit, u.WithLoans, u.Bound)
	}
	fmt.Fprintln(w, "\none of 8 nodes lost\teven split\tloans\tbound")
	fmt.Fprintf(w, "usable part meanwhile\t%.3f\t%.3f\t%.3f\n", r.Recovery.UsableMeanwhile, r.Recovery.UsableMeanwhile, r.Recovery.UsableMeanwhile)
	fmt.Fprintf(w, "time until all is usable\tnever\t%v\t%v\n", r.Recovery.Duration, r.Recovery.Bound)
	fmt.Fprintln(w, "\nloans at 570 teams, 1600 VMs\tmessages/s\tbytes/s\tsteady bytes/s\tpart of a core")
	for _, c := range r.Costs {
		fmt.Fprintf(w, "%d nodes\t%.2f\t%.0f\t%.0f\t%.4f\n", c.Nodes, c.MessagesPerSecond, c.BytesPerSecond, c.SteadyBytesPerSecond, c.CPUFraction)
	}
	fmt.Fprintf(w, "goal\t\t%d\t%d\t%.4f\n", BytesPerSecondGoal, BytesPerSecondGoal, CPUFractionGoal)
	w.Flush()
	return out.String()
}
