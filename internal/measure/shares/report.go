package shares

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Result holds the figures of one scenario under one policy.
type Result struct {
	Scenario string
	Policy   Policy
	// MaxDeviation is the maximum over all windows, and MeanDeviation the mean, of
	// the largest difference between a team's slot time and its weighted max-min
	// share, as a fraction of the slot time used by all teams. The theoretical
	// optimum is 0.
	MaxDeviation, MeanDeviation float64
	// MaxOfShare is the largest difference as a fraction of the team's own share,
	// among the teams with a higher demand than they got.
	MaxOfShare float64
	// Windows is the number of windows, and WindowsOverGoal the number of those
	// with a deviation above DeviationGoal.
	Windows, WindowsOverGoal int
	// Completed is the fraction of requests that were served, and Abandoned of
	// those that their callers abandoned after repeated refusals.
	Completed, Abandoned float64
	// Bound is the highest fraction of the demand that the pool can serve.
	Bound float64
	// Utilization is the mean fraction of the slots in use.
	Utilization float64
	// UrgentP50 and UrgentP99 are percentiles of the waits of urgent requests
	// until they started, and UrgentStarted is the fraction of them that started.
	UrgentP50, UrgentP99 time.Duration
	UrgentStarted        float64
}

// DeviationGoal is the highest deviation of a window that meets the goal, as a
// fraction of the slot time used by all teams.
const DeviationGoal = 0.02

// Report holds the results of all scenarios and policies.
type Report struct {
	Seed    uint64
	Results []Result
}

// Run measures all scenarios under all policies. The report depends only on the
// seed.
func Run(seed uint64) Report {
	r := Report{Seed: seed}
	for _, s := range scenarios() {
		for _, p := range []Policy{Fleet, PerNode, FirstComeFirstServed} {
			r.Results = append(r.Results, s.run(p, seed))
		}
	}
	return r
}

// run simulates the scenario under a policy.
func (s scenario) run(p Policy, seed uint64) Result {
	m := newModel(s, p, seed)
	m.run()
	return m.recorder.result(p)
}

// result summarizes the run.
func (r *recorder) result(p Policy) Result {
	out := Result{
		Scenario:      r.scenario.name,
		Policy:        p,
		Windows:       len(r.deviations),
		Completed:     float64(r.completed) / float64(r.requests),
		Abandoned:     float64(r.abandoned) / float64(r.requests),
		Bound:         r.scenario.bound(),
		Utilization:   r.totalSlotSeconds / (poolSlots * runLength.Seconds()),
		UrgentP50:     time.Duration(r.urgentWaits.ValueAtQuantile(50)) * time.Microsecond,
		UrgentP99:     time.Duration(r.urgentWaits.ValueAtQuantile(99)) * time.Microsecond,
		UrgentStarted: float64(r.urgentWaits.TotalCount()) / float64(max(1, r.urgentRequests)),
	}
	for _, d := range r.deviations {
		out.MaxDeviation = max(out.MaxDeviation, d.ofTotal)
		out.MeanDeviation += d.ofTotal / float64(len(r.deviations))
		out.MaxOfShare = max(out.MaxOfShare, d.ofShare)
		if d.ofTotal > DeviationGoal {
			out.WindowsOverGoal++
		}
	}
	return out
}

// bound returns the fraction of the demand, in slot time, that the pool can
// serve.
func (s scenario) bound() float64 {
	demand := 0.0
	for at := time.Duration(0); at < runLength; at += sampleInterval {
		for _, t := range s.teams {
			demand += t.meanSlots * s.demandFactor(at) * sampleInterval.Seconds()
		}
	}
	return min(1, poolSlots*runLength.Seconds()/demand)
}

// String returns the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d nodes, %d slots, windows of %v, theoretical weighted max-min deviates by 0%%\n", r.Seed, nodeCount, poolSlots, windowLength)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tpolicy\tmax dev\tmean dev\tmax of own\toff windows\tdone\tbound\trefused\tbusy\turgent p50\tp99\tstarted\t")
	for _, x := range r.Results {
		fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%d/%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%v\t%v\t%.1f%%\t\n",
			x.Scenario, x.Policy, 100*x.MaxDeviation, 100*x.MeanDeviation, 100*x.MaxOfShare, x.WindowsOverGoal, x.Windows,
			100*x.Completed, 100*x.Bound, 100*x.Abandoned, 100*x.Utilization,
			x.UrgentP50.Round(time.Millisecond), x.UrgentP99.Round(time.Millisecond), 100*x.UrgentStarted)
	}
	_ = w.Flush()
	return b.String()
}
