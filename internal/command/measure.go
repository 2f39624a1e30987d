package command

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/measure/capacity"
	"github.com/sardinehead/sardinehead/internal/measure/shares"
	"github.com/sardinehead/sardinehead/internal/measure/tasks"
)

// Measure runs the measures of the decisions, each with its baselines and
// bounds in the same run.
type Measure struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the random events"`
	Args struct {
		Names []string `positional-arg-name:"NAME" description:"measures to run; all without a name"`
	} `positional-args:"yes"`
}

// measure is one measure.
type measure struct {
	name string
	run  func(seed uint64) string
}

func measures() []measure {
	return []measure{
		{name: "shares", run: func(seed uint64) string { return shares.Run(seed).String() }},
		{name: "capacity", run: measureCapacity},
		{name: "tasks", run: measureTasks},
	}
}

func measureCapacity(seed uint64) string {
	var reports []capacity.Report
	for _, size := range capacity.Sizes() {
		reports = append(reports, capacity.Run(seed, size))
	}
	return capacity.Table(reports)
}

// taskWorkers is the number of workers of either first user.
const taskWorkers = 50

func measureTasks(seed uint64) string {
	return tasks.Run(seed, tasks.Options{
		Workers:     taskWorkers,
		Length:      10 * time.Minute,
		AppendEvery: task.AppendEvery(taskNodes, 1),
	}).String()
}

// taskNodes is the number of entry nodes that share the log's appends.
const taskNodes = 8

// Execute implements flags.Commander.
func (m *Measure) Execute([]string) error {
	known := measures()
	for _, name := range m.Args.Names {
		if !slices.ContainsFunc(known, func(k measure) bool { return k.name == name }) {
			return withExitCode(errors.Newf("no measure is named %q; write one of %s", name, namesOf(known)), ExitUsage)
		}
	}
	for _, k := range known {
		if len(m.Args.Names) == 0 || slices.Contains(m.Args.Names, k.name) {
			fmt.Printf("== %s, seed %d\n%s\n", k.name, m.Seed, k.run(m.Seed))
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
