package slopes

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sardinehead/sardinehead/internal/measure/tasks"
)

// Report holds all slopes of one run.
type Report struct {
	Seed    uint64
	Machine Machine
	Slopes  []Slope
	// Platform and Peer are exchanges without bodies.
	Platform, Peer Exchange
	Requests       Requests
	Hearings       []Hearing
	// Owner is the run of the owner of tasks at the most workers.
	Owner tasks.Result
	// Took is the wall time of the run.
	Took time.Duration
}

// Machine is where a run took place.
type Machine struct {
	Cores int
	// Load is the load average over one minute before the run; empty if the
	// system does not tell.
	Load string
	Go   string
}

func thisMachine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.Load, _, _ = strings.Cut(string(raw), " ")
	}
	return m
}

// Bytes returns the slopes of bytes alone. Equal programs give equal slopes.
func Bytes() []Slope {
	var out []Slope
	out = append(out, configurationBytes()...)
	out = append(out, gossipBytes()...)
	out = append(out, listBytes()...)
	return append(out, workerBytes()...)
}

// Run measures everything. The seed draws the work of tasks and the demands of
// limits.
func Run(seed uint64) (Report, error) {
	begin := time.Now()
	r := Report{Seed: seed, Machine: thisMachine(), Slopes: Bytes(), Hearings: hearings()}
	steps := []func(*Report) error{measureWire, measureDecisions, measureRequests}
	for _, step := range steps {
		if err := step(&r); err != nil {
			return r, err
		}
	}
	r.Took = time.Since(begin)
	return r, nil
}

func measureWire(r *Report) (err error) {
	if r.Platform, err = platformExchange(); err != nil {
		return err
	}
	if r.Peer, err = peerExchange(); err != nil {
		return err
	}
	exchange, err := exchangeCost()
	if err != nil {
		return err
	}
	appends, err := appendCost()
	r.Slopes = append(r.Slopes, exchange, appends)
	return err
}

func measureDecisions(r *Report) error {
	r.Slopes = append(r.Slopes, configurationCosts()...)
	r.Slopes = append(r.Slopes, reducerCosts()...)
	r.Slopes = append(r.Slopes, gossipCosts()...)
	r.Slopes = append(r.Slopes, planningCosts()...)
	r.Slopes = append(r.Slopes, loanCosts(r.Seed)...)
	r.Slopes = append(r.Slopes, ledgerCosts()...)
	owner, last := ownerCosts(r.Seed)
	r.Slopes = append(r.Slopes, owner...)
	r.Slopes = append(r.Slopes, ownerHeap())
	r.Owner = last
	return nil
}

func measureRequests(r *Report) (err error) {
	r.Requests, err = requestCosts()
	r.Slopes = append(r.Slopes, r.Requests.Direct, r.Requests.Entry)
	return err
}

// slope returns a slope by its name.
func (r Report) slope(name string) Slope {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s
		}
	}
	panic("no slope is named " + name) // names are written in this package
}

// at returns the value of a slope at the design size.
func (r Report) at(name string) float64 {
	return max(0, r.slope(name).Fit().AtDesign)
}

// String returns the slopes as a table.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %d cores, load average %s, %s, took %s\n", r.Seed, r.Machine.Cores, r.Machine.Load, r.Machine.Go, r.Took.Round(time.Second))
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "slope\tof\tunit\tmeasured\tfixed\teach\t± \tR²\tat design\tvalue\t±")
	for _, s := range r.Slopes {
		f := s.Fit()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%.0f\t%s\t%s\n", s.Name, s.Axis, s.Unit, pointsText(s.Points),
			figure(f.Fixed), figure(f.Each), figure(f.EachError), f.R2, s.Design, figure(f.AtDesign), figure(f.AtDesignError))
	}
	_ = w.Flush()
	return text.String()
}

func pointsText(points []Point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%.0f: %s", p.Size, figure(p.Value))
	}
	return strings.Join(texts, ", ")
}

// figure writes a number with three significant digits.
func figure(v float64) string {
	text := fmt.Sprintf("%.3g", v)
	if strings.Contains(text, "e+") {
		return fmt.Sprintf("%.0f", v)
	}
	return text
}
