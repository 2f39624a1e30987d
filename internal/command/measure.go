package command

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/measure/capacity"
	"github.com/sardinehead/sardinehead/internal/measure/entry"
	"github.com/sardinehead/sardinehead/internal/measure/limits"
	"github.com/sardinehead/sardinehead/internal/measure/shares"
	"github.com/sardinehead/sardinehead/internal/measure/slopes"
	"github.com/sardinehead/sardinehead/internal/measure/tasks"
	"github.com/sardinehead/sardinehead/internal/spec"
)

// Measure runs the measures of the decisions, each with its baselines and
// bounds in the same run.
type Measure struct {
	Config string `long:"config" default:"examples/duka-jaza" value-name:"DIR" description:"configuration for the measure entry"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the random events"`
	Args   struct {
		Names []string `positional-arg-name:"NAME" description:"measures to run; all without a name"`
	} `positional-args:"yes"`
}

// measure is one measure.
type measure struct {
	name string
	run  func(seed uint64) (string, error)
}

func (m *Measure) measures() []measure {
	return []measure{
		{name: "shares", run: measureShares},
		{name: "limits", run: measureLimits},
		{name: "capacity", run: measureCapacity},
		{name: "tasks", run: measureTasks},
		{name: "slopes", run: measureSlopes},
		{name: "entry", run: func(uint64) (string, error) { return measureEntry(m.Config) }},
	}
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

// taskWorkers is the number of workers of either first user.
const taskWorkers = 50

func measureTasks(seed uint64) (string, error) {
	return tasks.Run(seed, tasks.Options{
		Workers:     taskWorkers,
		Length:      10 * time.Minute,
		AppendEvery: task.AppendInterval(taskNodes, 1),
	}).String(), nil
}

// taskNodes is the number of entry nodes that share the log's appends.
const taskNodes = 8

func measureSlopes(seed uint64) (string, error) {
	report, err := slopes.Run(seed)
	return report.String(), err
}

// Execute implements flags.Commander.
func (m *Measure) Execute([]string) error {
	known := m.measures()
	for _, name := range m.Args.Names {
		if !slices.ContainsFunc(known, func(k measure) bool { return k.name == name }) {
			return withExitCode(errors.Newf("no measure is named %q; write one of %s", name, namesOf(known)), ExitUsage)
		}
	}
	for _, k := range known {
		if len(m.Args.Names) == 0 || slices.Contains(m.Args.Names, k.name) {
			text, err := k.run(m.Seed)
			if err != nil {
				return errors.Wrapf(err, "measure %s", k.name)
			}
			fmt.Printf("== %s, seed %d\n%s\n", k.name, m.Seed, text)
		}
	}
	return nil
}

func namesOf(known []measure) string {
	names := make([]string, len(known))
	for i, k := range known {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}
