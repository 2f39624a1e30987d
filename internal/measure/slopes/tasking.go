package slopes

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/measure/tasks"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

const (
	// ownerTime is the virtual time of a run of the owner of tasks.
	ownerTime = 70 * time.Second
	// taskBody is the bytes of a task's own body.
	taskBody = 256
)

// workerSizes are fewer than the design's workers: a run at 1,600 takes longer
// than a measurement may.
var workerSizes = []int{100, 200, 400, 800}

// ownerCosts returns slopes of the owner of the tasks, with all workers full
// and twice as many tasks offered, and the run at the most workers.
func ownerCosts(seed uint64) ([]Slope, tasks.Result) {
	cpu := Slope{Name: "owner-cpu", Title: "decisions of the owner of tasks for one second, twice the work offered", Axis: "workers", Unit: "µs", Timed: true, Design: designVMs}
	records := Slope{Name: "owner-records", Title: "records of tasks a second, one node, twice the work offered", Axis: "workers", Unit: "records/s", Design: designVMs}
	appends := Slope{Name: "owner-appends", Title: "appends of tasks a second, one node", Axis: "workers", Unit: "appends/s", Design: designVMs}
	urgent := Slope{Name: "urgent-wait", Title: "wait of urgent tasks until their start on the virtual clock, p99, twice the work offered", Axis: "workers", Unit: "ms", Design: designVMs}
	var last tasks.Result
	for _, n := range workerSizes {
		last = tasks.Measure(seed, tasks.Options{Workers: n, Length: ownerTime, AppendInterval: task.AppendInterval(designNodes, 1)}, tasks.Product)
		cpu.add(n, micros(last.StepTime))
		records.add(n, last.Records)
		appends.add(n, last.Appends)
		urgent.add(n, float64(last.UrgentP99.Milliseconds()))
	}
	return []Slope{cpu, records, appends, urgent}, last
}

// accepted returns the record of one task.
func accepted(i int) record.TaskAccepted {
	return record.TaskAccepted{
		Task: taskName(i), Queue: vocab.QueueID(poolName(i % designPools)), Team: teamName(i % designTeams),
		IdempotencyKey: "order-" + strconv.Itoa(i), Idempotent: true, Checkpoints: i%2 == 0,
		Size: taskSize(), RunTime: spec.Duration(meanRun), Body: make([]byte, taskBody),
	}
}

func taskName(i int) vocab.TaskID {
	return vocab.TaskID(fmt.Sprintf("%032x", i))
}

func taskSize() record.TaskSize {
	return record.TaskSize{MilliCPU: 1000 * coresPerTask, MemoryBytes: 3 << 30}
}

// taskSnapshotBytes returns the slope of a snapshot of the task stream.
func taskSnapshotBytes() Slope {
	s := Slope{Name: "task-snapshot-bytes", Title: "one snapshot of the task stream, all parts", Axis: "tasks", Unit: "bytes", Design: tasksRunning}
	for _, n := range []int{1000, 2000, 4000, 16000} {
		chunks, err := foldTasks(firstTasks(n)).Snapshot()
		if err != nil {
			panic(err) // ledgers built here always encode
		}
		sum := 0.0
		for _, c := range chunks {
			sum += wireBytes(c)
		}
		s.add(n, sum)
	}
	return s
}

// ledgerCosts returns slopes of what each node spends on following the tasks.
func ledgerCosts() []Slope {
	fold := Slope{Name: "task-fold", Title: "decode and fold accepted tasks", Axis: "records", Unit: "µs", Timed: true, Design: 1000}
	heap := Slope{Name: "task-heap", Title: "heap of a node that follows the tasks", Axis: "tasks", Unit: "bytes", Timed: true, Design: tasksRunning}
	for _, n := range []int{1000, 2000, 4000, 16000} {
		list := firstTasks(n)
		fold.add(n, micros(costOf(func() { foldTasks(list) })))
		heap.add(n, heapOf(func() any { return []any{foldTasks(list), list} }))
	}
	return []Slope{fold, heap}
}

// ownerHeap returns the slope of the heap of an owner with running tasks.
func ownerHeap() Slope {
	s := Slope{Name: "owner-heap", Title: "heap of the owner with running tasks", Axis: "running tasks", Unit: "bytes", Timed: true, Design: tasksRunning}
	for _, n := range []int{1000, 4000, 16000, 32000} {
		list := runningTasks(n)
		s.add(n, heapOf(func() any { return []any{ownerOf(list), list} }))
	}
	return s
}

// runningTasks returns the records of tasks that were started by the first node.
func runningTasks(n int) []record.Sequenced {
	bodies := []record.Body{record.TaskOwnerClaimed{Shard: core.TaskStream, Node: nodeName(0), Incarnation: incarnation(0)}}
	for i := range n {
		bodies = append(bodies, accepted(i), record.TaskStartIntended{
			Epoch: 1, Task: taskName(i), Attempt: 1, Worker: vmName(i / tasksPerWorker), Incarnation: 1, Size: taskSize(),
		})
	}
	return records(1, bodies...)
}

// ownerOf returns the controller of the first node after it read a stream.
func ownerOf(list []record.Sequenced) *task.Controller {
	c := task.NewController(task.Settings{
		Shard: core.TaskStream, Node: nodeName(0), Incarnation: incarnation(0), AppendInterval: task.AppendInterval(designNodes, 1),
		ResultRetention: day, LogRetention: day, MayOwn: true, Account: noLimits{}, Weight: func(vocab.TeamID) int { return 1 },
	})
	c.Step(1, task.RecordsRead{Records: list, Next: vocab.Offset(len(list) + 1)})
	return c
}

// noLimits lets each team run what it wants.
type noLimits struct{}

// TryAcquire implements placement.SlotAccount.
func (noLimits) TryAcquire(vocab.TeamID) bool { return true }

// AcquireOverLimit implements placement.SlotAccount.
func (noLimits) AcquireOverLimit(vocab.TeamID) {}

// Release implements placement.SlotAccount.
func (noLimits) Release(vocab.TeamID) {}

func firstTasks(n int) []record.Sequenced {
	bodies := make([]record.Body, 0, n)
	for i := range n {
		bodies = append(bodies, accepted(i))
	}
	return records(1, bodies...)
}

func foldTasks(list []record.Sequenced) *task.Ledger {
	ledger := task.NewLedger(core.TaskStream)
	for _, r := range list {
		if _, err := ledger.Fold(r); err != nil {
			panic(err) // records built here always fold
		}
	}
	return ledger
}

// jsonBytes returns the encoded size of a message.
func jsonBytes(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // messages built here always encode
	}
	return float64(len(raw))
}

func order(kind worker.Kind, attempts int) worker.Order {
	o := worker.Order{Kind: kind, Worker: vmName(1), Incarnation: 1, Shard: core.TaskStream, Epoch: 100_000, Lease: 30 * time.Second}
	for i := range attempts {
		o.Attempts = append(o.Attempts, worker.AttemptRef{Task: taskName(i), Attempt: 1})
	}
	if kind == worker.Start {
		a := accepted(1)
		o.Job = &worker.AttemptSpec{Queue: a.Queue, Team: a.Team, Size: a.Size, Body: a.Body}
	}
	return o
}

func ended(i int) worker.AttemptReport {
	return worker.AttemptReport{
		AttemptRef: worker.AttemptRef{Task: taskName(i), Attempt: 1}, Phase: worker.Succeeded, Peak: taskSize(), RunTime: meanRun,
	}
}

// workerBytes returns slopes of the messages between the owner and a worker.
func workerBytes() []Slope {
	renew := Slope{Name: "renew-bytes", Title: "one renewal of a worker's leases, order and answer", Axis: "attempts", Unit: "bytes", Design: tasksPerWorker}
	usage := Slope{Name: "usage-bytes", Title: "one report of a worker", Axis: "ended attempts", Unit: "bytes", Design: 1}
	list := Slope{Name: "worker-list-bytes", Title: "the list of workers in full", Axis: "workers", Unit: "bytes", Design: designVMs}
	for _, n := range []int{1, 4, 16, 64} {
		answer := worker.Answer{Code: worker.Done}
		u := worker.Usage{Sequence: 1000, Used: taskSize(), Lag: time.Second}
		for i := range n {
			running := ended(i)
			running.Phase = worker.Running
			answer.Attempts = append(answer.Attempts, running)
			u.Ended = append(u.Ended, ended(i))
		}
		renew.add(n, jsonBytes(order(worker.Renew, n))+jsonBytes(answer))
		usage.add(n, jsonBytes(u))
	}
	for _, n := range vmSizes {
		var infos []worker.Info
		for i := range n {
			infos = append(infos, worker.Info{
				Worker: vmName(i), Incarnation: 1, Region: "north", Zone: zoneName(i), Rack: "rack-001",
				Address: "10.1.100.100:8080", Capacity: record.TaskSize{MilliCPU: 1000 * coresPerWorker, MemoryBytes: 64 << 30},
			})
		}
		list.add(n, jsonBytes(infos))
	}
	return []Slope{renew, usage, list, taskSnapshotBytes()}
}
