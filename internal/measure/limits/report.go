package limits

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Use is how much of the limits can be used, as parts of them.
type Use struct {
	Scenario string
	// Even is what an even split allows, Lent what loans allow, and Bound what
	// the demand asks for.
	Even, Lent, Bound float64
}

// Recovery is what the loss of one node does.
type Recovery struct {
	// During is the part of the limits that stays usable.
	During float64
	// Time is from the fold of the removal until all is usable, and Bound the
	// least that is safe: a lease and the longest run limit.
	Time, Bound time.Duration
}

// Cost is what loans cost one node a second.
type Cost struct {
	Nodes int
	// Messages and Bytes are sent while all demands are drawn anew every ten
	// seconds, answers and headers included.
	Messages, Bytes float64
	// SteadyBytes are sent while no demand changes.
	SteadyBytes float64
	// CPU is processor time as a part of one core, on the machine of the run.
	CPU float64
}

const (
	// BytesGoal is the most bytes that a node may send a second for control.
	BytesGoal = 4096
	// CPUGoal is the most of a core that a node may use for control.
	CPUGoal = 0.015
)

// Report is the outcome of one Run.
type Report struct {
	Seed     uint64
	Uses     []Use
	Recovery Recovery
	Costs    []Cost
}

// Sizes lists the numbers of nodes at which costs are measured.
func Sizes() []int {
	return []int{3, 8, 16, 32, 60}
}

// Run measures everything. Equal seeds give equal reports but for CPU.
func Run(seed uint64, sizes []int) Report {
	r := Report{Seed: seed}
	r.Uses = append(r.Uses, playSkew("all at one of 8", []int{1, 0, 0, 0, 0, 0, 0, 0}))
	r.Uses = append(r.Uses, playSkew("3:1, 4 of 8", []int{3, 3, 3, 3, 1, 1, 1, 1}))
	r.Uses = append(r.Uses, playSkew("even over 8", []int{1, 1, 1, 1, 1, 1, 1, 1}))
	r.Recovery = playLoss()
	for _, n := range sizes {
		r.Costs = append(r.Costs, playCost(n, seed))
	}
	return r
}

// String returns the report as text tables.
func (r Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d, limits of teams over entry nodes\n\n", r.Seed)
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "usable part of the limit\teven split\tloans\tbound")
	for _, u := range r.Uses {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\n", u.Scenario, u.Even, u.Lent, u.Bound)
	}
	fmt.Fprintln(w, "\none of 8 nodes lost\teven split\tloans\tbound")
	fmt.Fprintf(w, "usable part meanwhile\t%.3f\t%.3f\t%.3f\n", r.Recovery.During, r.Recovery.During, r.Recovery.During)
	fmt.Fprintf(w, "time until all is usable\tnever\t%v\t%v\n", r.Recovery.Time, r.Recovery.Bound)
	fmt.Fprintln(w, "\nloans at 570 teams, 1600 VMs\tmessages/s\tbytes/s\tsteady bytes/s\tpart of a core")
	for _, c := range r.Costs {
		fmt.Fprintf(w, "%d nodes\t%.2f\t%.0f\t%.0f\t%.4f\n", c.Nodes, c.Messages, c.Bytes, c.SteadyBytes, c.CPU)
	}
	fmt.Fprintf(w, "goal\t\t%d\t%d\t%.4f\n", BytesGoal, BytesGoal, CPUGoal)
	w.Flush()
	return out.String()
}
