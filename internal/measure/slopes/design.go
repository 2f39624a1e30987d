// Package slopes measures how the cost of each role grows with the size of the
// fleet, fits a line to the measured sizes and evaluates it at the design size. It
// runs the production code of decisions and codecs. Only processor time and heap of
// this process depend on the machine; encoded sizes do not. The package writes the
// results to the tables and plots of the capacity page.
package slopes

import "time"

// The design size: the largest installation that the system is designed for, and the
// rate of its events.
const (
	designVMs   = 1600
	designPools = 74
	designTeams = 570
	designZones = 8
	// designNodes is the largest number of entry nodes that a user runs today.
	designNodes = 8
	// configChangesPerDay is the number of published configurations.
	configChangesPerDay = 570
	// maintainedVMsPerDay maintains each VM once in 4 weeks.
	maintainedVMsPerDay = float64(designVMs) / 28
	// failedVMsPerDay is the number of VMs that fail, and restartedVMsPerDay the
	// number that are restarted or replaced.
	failedVMsPerDay    = 27
	restartedVMsPerDay = 250
)

// The budget of a node for control.
const (
	budgetCores          = 0.015
	budgetMemoryBytes    = 256 << 20
	budgetBytesPerSecond = 4 << 10
)

// The assumed tasks. The design size gives no rate of tasks, so these are the tasks of
// package tasks, with all workers full.
const (
	coresPerWorker  = 32
	coresPerTask    = 2
	meanTaskRunTime = 30 * time.Second
	tasksPerWorker  = coresPerWorker / coresPerTask
	// designRunningTasks is the number of tasks that run at a time, and tasksPerSecond
	// the number that start and finish in each second.
	designRunningTasks = designVMs * tasksPerWorker
	tasksPerSecond     = float64(designRunningTasks) / 30 // meanTaskRunTime in seconds
	// recordsPerTask counts task.accepted, task.start-intended and task.ended.
	recordsPerTask = 3
	// recordsPerTaskSnapshot is the number of records between two snapshots of the
	// task stream.
	recordsPerTaskSnapshot = 200_000
	// taskSnapshotsPerSecond is the rate of snapshots of the task stream.
	taskSnapshotsPerSecond = recordsPerTask * tasksPerSecond / recordsPerTaskSnapshot
	// taskRecordsPerAppend is the mean number of records in an append, at the budget of
	// 200 appends per second over all nodes.
	taskRecordsPerAppend = recordsPerTask * tasksPerSecond / 200
)

// The intervals and the gossip fanout of a node at its default settings.
const (
	day                      = 24 * time.Hour
	secondsPerDay            = 86400.0
	gossipFanout             = 2
	fleetReadInterval        = 2 * time.Second
	vmReadInterval           = 2 * time.Second
	taskReadInterval         = 250 * time.Millisecond
	snapshotInterval         = 10 * time.Minute
	plannerHeartbeatInterval = 10 * time.Second
	leaseRenewInterval       = 10 * time.Second
	planInterval             = 5 * time.Second
)

// vmCounts, teamCounts, nodeCounts and poolCounts are the measured sizes.
var (
	vmCounts   = []int{100, 400, 1600, 3200}
	teamCounts = []int{10, 100, 570, 1200}
	nodeCounts = []int{3, 8, 16, 32, 64}
	poolCounts = []int{10, 37, 74, 148}
)
