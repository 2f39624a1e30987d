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

// Report holds the results of one run of all measurements.
type Report struct {
	Seed    uint64
	Machine Machine
	Slopes  []Slope
	// Platform and Peer are the overheads of an HTTP exchange with the platform
	// and with a peer, bodies excluded.
	Platform, Peer Exchange
	Requests       Requests
	Heartbeats     []HeartbeatResult
	// TaskOwner is the run of the task owner with the most workers.
	TaskOwner tasks.Result
	// Took is the wall time that the whole run took.
	Took time.Duration
}

// Machine describes the machine that ran the measurements.
type Machine struct {
	Cores int
	// LoadAverage is the load average over the minute before the run, or empty if
	// the system does not provide /proc/loadavg.
	LoadAverage string
	// Go is the version of the Go runtime.
	Go string
}

// currentMachine returns a description of the machine that runs this process.
func currentMachine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.LoadAverage, _, _ = strings.Cut(string(raw), " ")
	}
	return m
}

// EncodedSizes returns the slopes of encoded sizes in bytes. They are deterministic: the
// same program always returns the same slopes.
func EncodedSizes() []Slope {
	var out []Slope
	out = append(out, configurationBytes()...)
	out = append(out, gossipBytes()...)
	out = append(out, listBytes()...)
	return append(out, workerBytes()...)
}

// Run performs all measurements. The seed determines the simulated tasks and the
// simulated demand on limits.
func Run(seed uint64) (Report, error) {
	begin := time.Now()
	r := Report{Seed: seed, Machine: currentMachine(), Slopes: EncodedSizes(), Heartbeats: simulateHeartbeats()}
	steps := []func(*Report) error{measureWire, measureDecisions, measureRequests}
	for _, step := range steps {
		if err := step(&r); err != nil {
			return r, err
		}
	}
	r.Took = time.Since(begin)
	return r, nil
}

// measureWire adds the costs of HTTP exchanges and of appends to the report.
func measureWire(r *Report) (err error) {
	if r.Platform, err = platformExchange(); err != nil {
		return err
	}
	if r.Peer, err = peerExchange(); err != nil {
		return err
	}
	exchange, err := gossipExchangeCost()
	if err != nil {
		return err
	}
	appends, err := appendCost()
	r.Slopes = append(r.Slopes, exchange, appends)
	return err
}

// measureDecisions adds the costs of decisions, encoding and state to the report.
func measureDecisions(r *Report) error {
	r.Slopes = append(r.Slopes, configurationCosts()...)
	r.Slopes = append(r.Slopes, reducerCosts()...)
	r.Slopes = append(r.Slopes, gossipCosts()...)
	r.Slopes = append(r.Slopes, planningCosts()...)
	r.Slopes = append(r.Slopes, loanCosts(r.Seed)...)
	r.Slopes = append(r.Slopes, ledgerCosts()...)
	owner, largestRun := ownerCosts(r.Seed)
	r.Slopes = append(r.Slopes, owner...)
	r.Slopes = append(r.Slopes, ownerHeap())
	r.TaskOwner = largestRun
	return nil
}

// measureRequests adds the cost of forwarded requests to the report.
func measureRequests(r *Report) (err error) {
	r.Requests, err = requestCosts()
	r.Slopes = append(r.Slopes, r.Requests.Direct, r.Requests.Entry)
	return err
}

// slope returns the slope with the given name. It panics if there is none.
func (r Report) slope(name string) Slope {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s
		}
	}
	panic("no slope is named " + name) // callers pass constants of this package
}

// atDesignSize returns the fitted value of a slope at the design size, at least 0.
func (r Report) atDesignSize(name string) float64 {
	return max(0, r.slope(name).Fit().AtDesign)
}

// String returns the slopes as a text table.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %d cores, load average %s, %s, took %s\n", r.Seed, r.Machine.Cores, r.Machine.LoadAverage, r.Machine.Go, r.Took.Round(time.Second))
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "slope\tof\tunit\tmeasured\tfixed\teach\t± \tR²\tat design\tvalue\t±")
	for _, s := range r.Slopes {
		f := s.Fit()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%.0f\t%s\t%s\n", s.Name, s.Axis, s.Unit, formatPoints(s.Points),
			formatFigure(f.Intercept), formatFigure(f.PerUnit), formatFigure(f.PerUnitError), f.R2, s.DesignSize, formatFigure(f.AtDesign), formatFigure(f.AtDesignError))
	}
	_ = w.Flush()
	return text.String()
}

// formatPoints returns the points as "size: value" pairs.
func formatPoints(points []Point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%.0f: %s", p.Size, formatFigure(p.Value))
	}
	return strings.Join(texts, ", ")
}

// formatFigure formats a number with three significant digits.
func formatFigure(v float64) string {
	text := fmt.Sprintf("%.3g", v)
	if strings.Contains(text, "e+") {
		return fmt.Sprintf("%.0f", v)
	}
	return text
}
