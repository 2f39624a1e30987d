package tasks

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin/workers"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	gibibyte = 1 << 30
	// teamCount is the number of teams; team i has the share i+1.
	teamCount = 6
	// queueCount is the number of queues. Each has its own systematic error in the
	// declared sizes.
	queueCount = 12
	// overload is the offered load as a multiple of the capacity of the workers.
	overload = 2.0
	// urgentPercent is the percentage of urgent tasks.
	urgentPercent = 1
	// meanRun is the approximate mean run time of a task.
	meanRun = 30 * time.Second
	// meanMilliCPU is the approximate mean CPU use of a task.
	meanMilliCPU = 2000
)

// workload draws tasks with their declared and their actual resource needs.
type workload struct {
	rng *rand.Rand
	// bias is the ratio of declared to actual needs of each queue.
	bias    [queueCount]float64
	actual  map[vocab.TaskID]workers.Behavior
	tasks   map[vocab.TaskID]record.TaskAccepted
	arrived map[vocab.TaskID]vocab.Instant
	// dueTasks is the number of tasks that are due and not yet drawn; a fraction
	// remains between steps.
	dueTasks float64
}

func newWorkload(seed uint64) *workload {
	w := &workload{
		rng:     rand.New(rand.NewPCG(seed, 7)),
		actual:  map[vocab.TaskID]workers.Behavior{},
		tasks:   map[vocab.TaskID]record.TaskAccepted{},
		arrived: map[vocab.TaskID]vocab.Instant{},
	}
	for i := range w.bias {
		w.bias[i] = math.Exp2(w.rng.NormFloat64() * 1.5)
	}
	return w
}

// noise draws a log-normal factor with median 1 and the given standard
// deviation in octaves.
func (w *workload) noise(octaves float64) float64 {
	return math.Exp2(w.rng.NormFloat64() * octaves)
}

// due draws the tasks that arrive in one step. milliCPU is the total capacity
// of the workers.
func (w *workload) due(now vocab.Instant, step time.Duration, milliCPU int64) []record.TaskAccepted {
	perSecond := overload * float64(milliCPU) / (meanMilliCPU * meanRun.Seconds())
	w.dueTasks += perSecond * step.Seconds()
	var list []record.TaskAccepted
	for ; w.dueTasks >= 1; w.dueTasks-- {
		list = append(list, w.draw(now))
	}
	return list
}

// draw draws a task that arrives now.
func (w *workload) draw(now vocab.Instant) record.TaskAccepted {
	id := vocab.TaskID(fmt.Sprintf("t%08d", len(w.tasks)))
	queue := w.rng.IntN(queueCount)
	run := time.Duration(float64(meanRun) * w.rng.ExpFloat64())
	run = min(max(run, time.Second), 4*meanRun)
	use := record.TaskSize{
		MilliCPU:    int64(meanMilliCPU * w.noise(0.3)),
		MemoryBytes: int64(3 * gibibyte * w.noise(0.3)),
	}
	bias := w.bias[queue]
	declared := record.TaskSize{
		MilliCPU:    min(30_000, int64(float64(use.MilliCPU)*bias*w.noise(0.5))),
		MemoryBytes: min(60*gibibyte, int64(float64(use.MemoryBytes)*bias*w.noise(0.5))),
	}
	t := record.TaskAccepted{
		Task:        id,
		Queue:       vocab.QueueID(fmt.Sprint("queue-", queue)),
		Team:        vocab.TeamID(fmt.Sprint("team-", w.rng.IntN(teamCount))),
		Idempotent:  w.rng.IntN(100) < 70,
		Checkpoints: w.rng.IntN(100) < 50,
		Urgent:      w.rng.IntN(100) < urgentPercent,
		Size:        declared,
		RunTime:     spec.Duration(float64(run) * bias * w.noise(0.5)),
	}
	w.tasks[id] = t
	w.actual[id] = workers.Behavior{Use: use, RunTime: run, Fails: w.rng.IntN(100) == 0}
	w.arrived[id] = now
	return t
}
