package capacity

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Report holds the figures of one size and seed.
type Report struct {
	Size  string
	Seed  uint64
	Known Holding // with foreknowledge
	Ours  Holding
	// Static is pools that keep their first VMs.
	Static Holding
	// SpikeMoves is the number of moves during short spikes.
	SpikeMoves int
	Rollout    Rollout
}

// Run measures one size. Equal arguments give equal reports.
func Run(seed uint64, size Size) Report {
	r := Report{Size: size.Name, Seed: seed}
	r.Ours, r.Static, r.Known = demandRun(seed, size)
	r.SpikeMoves = spikeRun(seed, size)
	r.Rollout = waveRun(seed, size)
	return r
}

// Table returns the reports as text, one block per size.
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
		r.Ours.Idle, r.Static.Idle, r.Known.Idle, ratio(r.Ours.Idle, r.Known.Idle))
	fmt.Fprintf(w, "lacking slots / all slots\t%.4f\t%.4f\t\t%.4f\t\t\n", r.Ours.Lack, r.Static.Lack, r.Known.Lack)
	fmt.Fprintf(w, "moves for lasting shifts\t%d\t%d\t\t%d\t%.3f\t<= 1.20\n",
		r.Ours.Moves, r.Static.Moves, r.Known.Moves, ratio(float64(r.Ours.Moves), float64(r.Known.Moves)))
	fmt.Fprintf(w, "moves for short spikes\t%d\t0\t\t0\t\t0\n", r.SpikeMoves)
	o := r.Rollout
	fmt.Fprintf(w, "roll-out\t%s\t\t%s\t%s\t%.3f\t<= 1.15\n",
		o.outcome(), o.Single.Round(time.Second), o.Bound.Round(time.Second), ratio(float64(o.Time), float64(o.Bound)))
	fmt.Fprintf(w, "moves during the roll-out\t%d\t\t\t\t\t\n", o.Moves)
	fmt.Fprintf(w, "budget broken by own acts, VM-seconds\t%.0f\t\t\t0\t\t0\n", o.Broken.Own)
	fmt.Fprintf(w, "by a failure while VMs were out\t%.0f\t\t\t\t\t\n", o.Broken.Joint)
	fmt.Fprintf(w, "by failures alone\t%.0f\t\t\t\t\t\n\n", o.Broken.Failure)
}

func (o Rollout) outcome() string {
	if !o.Done {
		return "not done in " + o.Time.String()
	}
	return o.Time.String()
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
