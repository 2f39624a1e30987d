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
	// ownerRunTime is the virtual duration of a simulation of the task owner.
	ownerRunTime = 70 * time.Second
	// taskBodyBytes is the size of a task's body.
	taskBodyBytes = 256
)

// workerCounts stay below the design's 1,600 workers, since a simulation of that
// many takes too long.
var workerCounts = []int{100, 200, 400, 800}

// ownerCosts returns slopes of the task owner while all workers are full and twice as
// many tasks are submitted, and the result of the run with the most workers.
func ownerCosts(seed uint64) ([]Slope, tasks.Result) {
	cpu := Slope{Name: "owner-cpu", Title: "decisions of the owner of tasks for one second, twice the work offered", Axis: "workers", Unit: "µs", MachineDependent: true, DesignSize: designVMs}
	records := Slope{Name: "owner-records", Title: "records of tasks a second, one node, twice the work offered", Axis: "workers", Unit: "records/s", DesignSize: designVMs}
	appends := Slope{Name: "owner-appends", Title: "appends of tasks a second, one node", Axis: "workers", Unit: "appends/s", DesignSize: designVMs}
	urgent := Slope{Name: "urgent-wait", Title: "wait of urgent tasks until their start on the virtual clock, p99, twice the work offered", Axis: "workers", Unit: "ms", DesignSize: designVMs}
	var largestRun tasks.Result
	for _, n := range workerCounts {
		largestRun = tasks.Measure(seed, tasks.Options{Workers: n, Length: ownerRunTime, AppendInterval: task.AppendInterval(designNodes, 1)}, tasks.Product)
		cpu.add(n, toMicroseconds(largestRun.StepTimePerSecond))
		records.add(n, largestRun.RecordsPerSecond)
		appends.add(n, largestRun.AppendsPerSecond)
		urgent.add(n, float64(largestRun.UrgentP99.Milliseconds()))
	}
	return []Slope{cpu, records, appends, urgent}, largestRun
}

// taskAccepted returns the accepted record of task i.
func taskAccepted(i int) record.TaskAccepted {
	return record.TaskAccepted{
		Task: taskName(i), Queue: vocab.QueueID(poolName(i % designPools)), Team: teamName(i % designTeams),
		IdempotencyKey: "order-" + strconv.Itoa(i), Idempotent: true, Checkpoints: i%2 == 0,
		Size: taskSize(), RunTime: spec.Duration(meanTaskRunTime), Body: make([]byte, taskBodyBytes),
	}
}

func taskName(i int) vocab.TaskID {
	return vocab.TaskID(fmt.Sprintf("%032x", i))
}

// taskSize returns the resources of each task.
func taskSize() record.TaskSize {
	return record.TaskSize{MilliCPU: 1000 * coresPerTask, MemoryBytes: 3 << 30}
}

// taskSnapshotBytes returns the slope of the encoded size of a snapshot of the task
// stream.
func taskSnapshotBytes() Slope {
	s := Slope{Name: "task-snapshot-bytes", Title: "one snapshot of the task stream, all parts", Axis: "tasks", Unit: "bytes", DesignSize: designRunningTasks}
	for _, n := range []int{1000, 2000, 4000, 16000} {
		chunks, err := foldTaskLedger(acceptedTasks(n)).Snapshot()
		if err != nil {
			panic(err) // ledgers built here always encode
		}
		sum := 0.0
		for _, c := range chunks {
			sum += encodedRecordBytes(c)
		}
		s.add(n, sum)
	}
	return s
}

// ledgerCosts returns slopes of the processor time and heap that each node spends on
// folding the task stream.
func ledgerCosts() []Slope {
	fold := Slope{Name: "task-fold", Title: "decode and fold accepted tasks", Axis: "records", Unit: "µs", MachineDependent: true, DesignSize: 1000}
	heap := Slope{Name: "task-heap", Title: "heap of a node that follows the tasks", Axis: "tasks", Unit: "bytes", MachineDependent: true, DesignSize: designRunningTasks}
	for _, n := range []int{1000, 2000, 4000, 16000} {
		taskRecords := acceptedTasks(n)
		fold.add(n, toMicroseconds(cpuTimePerCall(func() { foldTaskLedger(taskRecords) })))
		heap.add(n, retainedHeapBytes(func() any { return []any{foldTaskLedger(taskRecords), taskRecords} }))
	}
	return []Slope{fold, heap}
}

// ownerHeap returns the slope of the heap of a task owner with running tasks.
func ownerHeap() Slope {
	s := Slope{Name: "owner-heap", Title: "heap of the owner with running tasks", Axis: "running tasks", Unit: "bytes", MachineDependent: true, DesignSize: designRunningTasks}
	for _, n := range []int{1000, 4000, 16000, 32000} {
		taskRecords := runningTasks(n)
		s.add(n, retainedHeapBytes(func() any { return []any{taskOwnerController(taskRecords), taskRecords} }))
	}
	return s
}

// runningTasks returns the records of n tasks that the first node has accepted and
// started as the owner.
func runningTasks(n int) []record.Sequenced {
	bodies := []record.Body{record.TaskOwnerClaimed{Shard: core.TaskStream, Node: nodeName(0), Incarnation: incarnation(0)}}
	for i := range n {
		bodies = append(bodies, taskAccepted(i), record.TaskStartIntended{
			Epoch: 1, Task: taskName(i), Attempt: 1, Worker: vmName(i / tasksPerWorker), Incarnation: 1, Size: taskSize(),
		})
	}
	return sequencedRecords(1, bodies...)
}

// taskOwnerController returns the task controller of the first node after it has read
// the records of a stream.
func taskOwnerController(taskRecords []record.Sequenced) *task.Controller {
	c := task.NewController(task.Settings{
		Shard: core.TaskStream, Node: nodeName(0), Incarnation: incarnation(0), AppendInterval: task.AppendInterval(designNodes, 1),
		ResultRetention: day, LogRetention: day, MayOwn: true, Account: unlimitedAccount{}, Weight: func(vocab.TeamID) int { return 1 },
	})
	c.Step(1, task.RecordsRead{Records: taskRecords, Next: vocab.Offset(len(taskRecords) + 1)})
	return c
}

// unlimitedAccount is a placement.SlotAccount without upper limits.
type unlimitedAccount struct{}

// TryAcquire implements placement.SlotAccount.
func (unlimitedAccount) TryAcquire(vocab.TeamID) bool { return true }

// AcquireOverLimit implements placement.SlotAccount.
func (unlimitedAccount) AcquireOverLimit(vocab.TeamID) {}

// Release implements placement.SlotAccount.
func (unlimitedAccount) Release(vocab.TeamID) {}

// acceptedTasks returns the records of n accepted tasks.
func acceptedTasks(n int) []record.Sequenced {
	bodies := make([]record.Body, 0, n)
	for i := range n {
		bodies = append(bodies, taskAccepted(i))
	}
	return sequencedRecords(1, bodies...)
}

// foldTaskLedger returns the ledger after folding the records of a task stream.
func foldTaskLedger(taskRecords []record.Sequenced) *task.Ledger {
	ledger := task.NewLedger(core.TaskStream)
	for _, r := range taskRecords {
		if _, err := ledger.Fold(r); err != nil {
			panic(err) // records built here always fold
		}
	}
	return ledger
}

// jsonBytes returns the size of a message encoded as JSON.
func jsonBytes(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // messages built here always encode
	}
	return float64(len(raw))
}

// workerOrder returns an order to a worker about a number of attempts.
func workerOrder(kind worker.Kind, attempts int) worker.Order {
	order := worker.Order{Kind: kind, Worker: vmName(1), Incarnation: 1, Shard: core.TaskStream, Epoch: 100_000, Lease: 30 * time.Second}
	for i := range attempts {
		order.Attempts = append(order.Attempts, worker.AttemptRef{Task: taskName(i), Attempt: 1})
	}
	if kind == worker.Start {
		accepted := taskAccepted(1)
		order.Spec = &worker.AttemptSpec{Queue: accepted.Queue, Team: accepted.Team, Size: accepted.Size, Body: accepted.Body}
	}
	return order
}

// succeededReport returns a worker's report of a successful attempt of task i.
func succeededReport(i int) worker.AttemptReport {
	return worker.AttemptReport{
		AttemptRef: worker.AttemptRef{Task: taskName(i), Attempt: 1}, Phase: worker.Succeeded, Peak: taskSize(), RunTime: meanTaskRunTime,
	}
}

// workerBytes returns slopes of the encoded sizes of the messages between the task
// owner and workers, of the list of workers and of task snapshots.
func workerBytes() []Slope {
	renew := Slope{Name: "renew-bytes", Title: "one renewal of a worker's leases, order and answer", Axis: "attempts", Unit: "bytes", DesignSize: tasksPerWorker}
	usage := Slope{Name: "usage-bytes", Title: "one report of a worker", Axis: "ended attempts", Unit: "bytes", DesignSize: 1}
	workerList := Slope{Name: "worker-list-bytes", Title: "the list of workers in full", Axis: "workers", Unit: "bytes", DesignSize: designVMs}
	for _, n := range []int{1, 4, 16, 64} {
		answer := worker.Answer{Code: worker.Done}
		usageReport := worker.Usage{Sequence: 1000, Used: taskSize(), Lag: time.Second}
		for i := range n {
			running := succeededReport(i)
			running.Phase = worker.Running
			answer.Attempts = append(answer.Attempts, running)
			usageReport.Ended = append(usageReport.Ended, succeededReport(i))
		}
		renew.add(n, jsonBytes(workerOrder(worker.Renew, n))+jsonBytes(answer))
		usage.add(n, jsonBytes(usageReport))
	}
	for _, n := range vmCounts {
		var workers []worker.Info
		for i := range n {
			workers = append(workers, worker.Info{
				Worker: vmName(i), Incarnation: 1, Region: "north", Zone: zoneName(i), Rack: "rack-001",
				Address: "10.1.100.100:8080", Capacity: record.TaskSize{MilliCPU: 1000 * coresPerWorker, MemoryBytes: 64 << 30},
			})
		}
		workerList.add(n, jsonBytes(workers))
	}
	return []Slope{renew, usage, workerList, taskSnapshotBytes()}
}
