package capacity

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Report holds the figures of one size and seed.
type Report struct {
	Size string
	Seed uint64
	// Optimum is the optimum with the demand known in advance.
	Optimum PlanResult
	// Planner is the result of the planner.
	Planner PlanResult
	// Static is the result of pools that keep their initial VMs.
	Static PlanResult
	// SpikeMoves is the number of moves that the planner makes during short
	// spikes.
	SpikeMoves int
	Rollout    Rollout
}

// Run measures one size. The report depends only on the arguments.
func Run(seed uint64, size Size) Report {
	r := Report{Size: size.Name, Seed: seed}
	r.Planner, r.Static, r.Optimum = measureDemand(seed, size)
	r.SpikeMoves = measureSpikes(seed, size)
	r.Rollout = measureWave(seed, size)
	return r
}

// Table formats the reports as text, one block for each size.
func Table(reports []Report) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, r := range reports {
		r.write(w)
	}
	w.Flush()
	return text.String()
}

func (r Report) write(w *tabwriter.Writer) {
	fmt.Fprintf(w, "%s, seed %d\tours\tstatic pools\tone VM at a time\tbound\tours/bound\tgoal\n", r.Size, r.Seed)
	fmt.Fprintf(w, "buffer: idle slots / all slots\t%.4f\t%.4f\t\t%.4f\t%.3f\t<= 1.10\n",
		r.Planner.Surplus, r.Static.Surplus, r.Optimum.Surplus, ratio(r.Planner.Surplus, r.Optimum.Surplus))
	fmt.Fprintf(w, "lacking slots / all slots\t%.4f\t%.4f\t\t%.4f\t\t\n", r.Planner.Shortfall, r.Static.Shortfall, r.Optimum.Shortfall)
	fmt.Fprintf(w, "moves for lasting shifts\t%d\t%d\t\t%d\t%.3f\t<= 1.20\n",
		r.Planner.Moves, r.Static.Moves, r.Optimum.Moves, ratio(float64(r.Planner.Moves), float64(r.Optimum.Moves)))
	fmt.Fprintf(w, "moves for short spikes\t%d\t0\t\t0\t\t0\n", r.SpikeMoves)
	o := r.Rollout
	fmt.Fprintf(w, "roll-out\t%s\t\t%s\t%s\t%.3f\t<= 1.15\n",
		o.formatDuration(), o.OneAtATime.Round(time.Second), o.Bound.Round(time.Second), ratio(float64(o.Duration), float64(o.Bound)))
	fmt.Fprintf(w, "moves during the roll-out\t%d\t\t\t\t\t\n", o.Moves)
	fmt.Fprintf(w, "budget broken by own acts, VM-seconds\t%.0f\t\t\t0\t\t0\n", o.BudgetShortfall.FromOrders)
	fmt.Fprintf(w, "by a failure while VMs were out\t%.0f\t\t\t\t\t\n", o.BudgetShortfall.Combined)
	fmt.Fprintf(w, "by failures alone\t%.0f\t\t\t\t\t\n\n", o.BudgetShortfall.FromFailures)
}

// formatDuration formats the duration of the wave.
func (o Rollout) formatDuration() string {
	if !o.Completed {
		return "not done in " + o.Duration.String()
	}
	return o.Duration.String()
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
