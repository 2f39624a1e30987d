package command

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/measure/bound"
	"github.com/sardinehead/sardinehead/internal/measure/capacity"
	"github.com/sardinehead/sardinehead/internal/measure/entry"
	"github.com/sardinehead/sardinehead/internal/measure/limits"
	"github.com/sardinehead/sardinehead/internal/measure/shares"
	"github.com/sardinehead/sardinehead/internal/measure/slopes"
	"github.com/sardinehead/sardinehead/internal/measure/tasks"
	"github.com/sardinehead/sardinehead/internal/spec"
)

// Measure measures scheduling decisions, each together with its baselines and
// bounds in the same run.
type Measure struct {
	Config string  `long:"config" default:"examples/duka-jaza" value-name:"DIR" description:"configuration for the measurement entry"`
	Seed   uint64  `long:"seed" default:"1" description:"seed of the random number generator"`
	Log    string  `long:"log" value-name:"FILE" description:"logs of all nodes for one day, for the measurement bound"`
	VMs    int     `long:"vms" value-name:"N" description:"VMs that may run jobs, for the measurement bound"`
	Cores  float64 `long:"cores" value-name:"N" description:"cores of one such VM, for the measurement bound"`
	Args   struct {
		Names []string `positional-arg-name:"NAME" description:"measurements to run; all but bound if none is named"`
	} `positional-args:"yes"`
}

// measurement is a named measurement that returns its report as text.
type measurement struct {
	name string
	run  func(seed uint64) (string, error)
	// named is set if the measurement runs only if it is named, since it needs further options.
	named bool
}

func (m *Measure) measurements() []measurement {
	return []measurement{
		{name: "shares", run: measureShares},
		{name: "limits", run: measureLimits},
		{name: "capacity", run: measureCapacity},
		{name: "tasks", run: measureTasks},
		{name: "slopes", run: measureSlopes},
		{name: boundName, run: func(uint64) (string, error) { return m.measureBound() }, named: true},
		{name: "entry", run: func(uint64) (string, error) { return measureEntry(m.Config) }},
	}
}

const boundName = "bound"

// measureBound compares what a recorded day served with what a scheduler with foreknowledge could have.
func (m *Measure) measureBound() (string, error) {
	if m.Log == "" || m.VMs <= 0 || m.Cores <= 0 {
		return "", withExitCode(errors.New("the measurement bound needs --log FILE, --vms N and --cores N"), ExitUsage)
	}
	file, err := os.Open(m.Log)
	if err != nil {
		return "", withExitCode(errors.Wrap(err, "opening the log"), ExitUsage)
	}
	day, err := bound.Read(file)
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return "", err
	}
	if len(day.Jobs) == 0 {
		return "", withExitCode(errors.Newf("%s has no line of a completed job (event 613)", m.Log), ExitUsage)
	}
	return bound.Compute(day, bound.Fleet{Machines: m.VMs, CoresPerMachine: m.Cores}).String(), nil
}

func measureShares(seed uint64) (string, error) {
	return shares.Run(seed).String(), nil
}

func measureLimits(seed uint64) (string, error) {
	return limits.Run(seed, limits.Sizes()).String(), nil
}

func measureEntry(config string) (string, error) {
	fleet, err := spec.Load(config)
	if err != nil {
		return "", err
	}
	report, err := entry.Run(fleet)
	return report.String(), err
}

func measureCapacity(seed uint64) (string, error) {
	var reports []capacity.Report
	for _, size := range capacity.Sizes() {
		reports = append(reports, capacity.Run(seed, size))
	}
	return capacity.Table(reports), nil
}

// taskWorkerCount is the number of workers in the measurement "tasks". Each of the
// first two deployments has as many.
const taskWorkerCount = 50

func measureTasks(seed uint64) (string, error) {
	return tasks.Run(seed, tasks.Options{
		Workers:        taskWorkerCount,
		Length:         10 * time.Minute,
		AppendInterval: task.AppendInterval(taskNodeCount, 1),
	}).String(), nil
}

// taskNodeCount is the number of entry nodes that share the fleet's append rate.
const taskNodeCount = 8

func measureSlopes(seed uint64) (string, error) {
	report, err := slopes.Run(seed)
	return report.String(), err
}

// Execute implements flags.Commander.
func (m *Measure) Execute([]string) error {
	all := m.measurements()
	for _, name := range m.Args.Names {
		if !slices.ContainsFunc(all, func(k measurement) bool { return k.name == name }) {
			return withExitCode(errors.Newf("unknown measurement %q; the measurements are %s", name, joinNames(all)), ExitUsage)
		}
	}
	for _, k := range all {
		if len(m.Args.Names) == 0 && !k.named || slices.Contains(m.Args.Names, k.name) {
			text, err := k.run(m.Seed)
			if err != nil {
				return errors.Wrapf(err, "measurement %s", k.name)
			}
			fmt.Printf("== %s, seed %d\n%s\n", k.name, m.Seed, text)
		}
	}
	return nil
}

// joinNames returns the names of the measurements, separated by commas.
func joinNames(measurements []measurement) string {
	names := make([]string, len(measurements))
	for i, m := range measurements {
		names[i] = m.name
	}
	return strings.Join(names, ", ")
}
