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
	// queueCount is the number of queues; each has its own error of declaration.
	queueCount = 12
	// overload is the offered work as a multiple of what the workers can do.
	overload = 2.0
	// urgentPercent of the tasks are urgent.
	urgentPercent = 1
	// meanRun is the mean run time of a task.
	meanRun = 30 * time.Second
	// meanMilliCPU is the mean processor use of a task.
	meanMilliCPU = 2000
)

// workload draws tasks with their declared and real needs.
type workload struct {
	rnd *rand.Rand
	// bias is each queue's factor between declared and real needs.
	bias    [queueCount]float64
	actual  map[vocab.TaskID]workers.Behavior
	tasks   map[vocab.TaskID]record.TaskAccepted
	arrived map[vocab.TaskID]vocab.Instant
	// owed is the fraction of a task that is due.
	owed float64
}

func newWorkload(seed uint64) *workload {
	w := &workload{
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		actual:  map[vocab.TaskID]workers.Behavior{},
		tasks:   map[vocab.TaskID]record.TaskAccepted{},
		arrived: map[vocab.TaskID]vocab.Instant{},
	}
	for i := range w.bias {
		w.bias[i] = math.Exp2(w.rnd.NormFloat64() * 1.5)
	}
	return w
}

// noise returns a factor around 1.
func (w *workload) noise(octaves float64) float64 {
	return math.Exp2(w.rnd.NormFloat64() * octaves)
}

// due returns the tasks that arrive within one step on workers of the given
// total processor time.
func (w *workload) due(now vocab.Instant, step time.Duration, milliCPU int64) []record.TaskAccepted {
	perSecond := overload * float64(milliCPU) / (meanMilliCPU * meanRun.Seconds())
	w.owed += perSecond * step.Seconds()
	var list []record.TaskAccepted
	for ; w.owed >= 1; w.owed-- {
		list = append(list, w.draw(now))
	}
	return list
}

func (w *workload) draw(now vocab.Instant) record.TaskAccepted {
	id := vocab.TaskID(fmt.Sprintf("t%08d", len(w.tasks)))
	queue := w.rnd.IntN(queueCount)
	run := time.Duration(float64(meanRun) * w.rnd.ExpFloat64())
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
		Team:        vocab.TeamID(fmt.Sprint("team-", w.rnd.IntN(teamCount))),
		Idempotent:  w.rnd.IntN(100) < 70,
		Checkpoints: w.rnd.IntN(100) < 50,
		Urgent:      w.rnd.IntN(100) < urgentPercent,
		Size:        declared,
		RunTime:     spec.Duration(float64(run) * bias * w.noise(0.5)),
	}
	w.tasks[id] = t
	w.actual[id] = workers.Behavior{Use: use, RunTime: run, Fails: w.rnd.IntN(100) == 0}
	w.arrived[id] = now
	return t
}
