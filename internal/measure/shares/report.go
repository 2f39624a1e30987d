package shares

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Result is what was measured in one scenario under one policy.
type Result struct {
	Scenario string
	Policy   Policy
	// MaxDeviation and MeanDeviation are the largest and the mean difference in
	// a window between a team's slot time and its weighted max-min part, as
	// parts of the slot time used by all. The theoretical optimum is 0.
	MaxDeviation, MeanDeviation float64
	// MaxOfOwn is the largest difference as a part of the team's own part, of
	// teams that asked for more than they got.
	MaxOfOwn float64
	// Windows is the number of windows and Off how many of them were off by
	// more than Goal.
	Windows, Off int
	// Done and Refused are the parts of the callers' requests that were served
	// and that their callers gave up after being refused.
	Done, Refused float64
	// Bound is the part of the requests that the pool could serve at most.
	Bound float64
	// Busy is the mean part of the slots in use.
	Busy float64
	// UrgentP50 and UrgentP99 are waits of urgent requests that started, and
	// UrgentStarted the part of them that did.
	UrgentP50, UrgentP99 time.Duration
	UrgentStarted        float64
}

// Goal is the deviation that the project aims at.
const Goal = 0.02

// Report is the outcome of one Run.
type Report struct {
	Seed    uint64
	Results []Result
}

// Run plays all scenarios under all policies. Equal seeds give equal reports.
func Run(seed uint64) Report {
	r := Report{Seed: seed}
	for _, s := range scenarios() {
		for _, p := range []Policy{Fleet, PerNode, Arrival} {
			r.Results = append(r.Results, s.play(p, seed))
		}
	}
	return r
}

// play runs the scenario under a policy.
func (s scenario) play(p Policy, seed uint64) Result {
	m := newModel(s, p, seed)
	m.run()
	return m.record.result(p)
}

func (r *recorder) result(p Policy) Result {
	out := Result{
		Scenario:      r.scenario.name,
		Policy:        p,
		Windows:       len(r.deviations),
		Done:          float64(r.done) / float64(r.calls),
		Refused:       float64(r.given) / float64(r.calls),
		Bound:         r.scenario.bound(),
		Busy:          r.busy / (poolSlots * length.Seconds()),
		UrgentP50:     time.Duration(r.urgent.ValueAtQuantile(50)) * time.Microsecond,
		UrgentP99:     time.Duration(r.urgent.ValueAtQuantile(99)) * time.Microsecond,
		UrgentStarted: float64(r.urgent.TotalCount()) / float64(max(1, r.urgentCalls)),
	}
	for _, d := range r.deviations {
		out.MaxDeviation = max(out.MaxDeviation, d.ofUsed)
		out.MeanDeviation += d.ofUsed / float64(len(r.deviations))
		out.MaxOfOwn = max(out.MaxOfOwn, d.ofOwn)
		if d.ofUsed > Goal {
			out.Off++
		}
	}
	return out
}

// bound returns the part of the demand, in slot time, that the pool can serve.
func (s scenario) bound() float64 {
	demand := 0.0
	for at := time.Duration(0); at < length; at += sampleEvery {
		for _, t := range s.teams {
			demand += t.slots * s.factor(at) * sampleEvery.Seconds()
		}
	}
	return min(1, poolSlots*length.Seconds()/demand)
}

// String returns the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d nodes, %d slots, windows of %v, theoretical weighted max-min deviates by 0%%\n", r.Seed, nodes, poolSlots, window)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tpolicy\tmax dev\tmean dev\tmax of own\toff windows\tdone\tbound\trefused\tbusy\turgent p50\tp99\tstarted\t")
	for _, x := range r.Results {
		fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%d/%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%v\t%v\t%.1f%%\t\n",
			x.Scenario, x.Policy, 100*x.MaxDeviation, 100*x.MeanDeviation, 100*x.MaxOfOwn, x.Off, x.Windows,
			100*x.Done, 100*x.Bound, 100*x.Refused, 100*x.Busy,
			x.UrgentP50.Round(time.Millisecond), x.UrgentP99.Round(time.Millisecond), 100*x.UrgentStarted)
	}
	_ = w.Flush()
	return b.String()
}
