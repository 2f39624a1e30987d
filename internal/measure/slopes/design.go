// Package slopes measures how the cost of each role grows with the size of the
// fleet, draws a line through the measured sizes and reads it off at the size
// to design for. It calls the product's own decisions and codecs; what depends
// on the machine is processor time and heap of this process. From the result
// it writes the tables and plots of the capacity page.
package slopes

import "time"

// The size to design for.
const (
	designVMs   = 1600
	designPools = 74
	designTeams = 570
	designZones = 8
	// designNodes is the most entry nodes that a user has today.
	designNodes = 8
	// configsPerDay is the number of changes of the configuration.
	configsPerDay = 570
	// maintainedPerDay is each VM once in 4 weeks.
	maintainedPerDay = float64(designVMs) / 28
	// failedPerDay and restartedPerDay are VMs that fail, and that are
	// restarted or replaced.
	failedPerDay    = 27
	restartedPerDay = 250
)

// What a node may spend for control.
const (
	budgetCore   = 0.015
	budgetMemory = 256 << 20
	budgetBytes  = 4 << 10
)

// The work of tasks that the page assumes, since no rate of tasks is given:
// that of the measure of tasks, with all workers full.
const (
	coresPerWorker = 32
	coresPerTask   = 2
	meanRun        = 30 * time.Second
	tasksPerWorker = coresPerWorker / coresPerTask
	// tasksRunning run at a time, and tasksPerSecond begin and end.
	tasksRunning   = designVMs * tasksPerWorker
	tasksPerSecond = float64(tasksRunning) / 30
	// recordsPerTask are accepted, start-intended and ended.
	recordsPerTask = 3
	// snapshotRecords is the records of tasks between two snapshots.
	snapshotRecords = 200_000
	// taskSnapshotsPerSecond follows from these.
	taskSnapshotsPerSecond = recordsPerTask * tasksPerSecond / snapshotRecords
	// recordsPerAppend is the mean with 200 appends a second of all nodes.
	recordsPerAppend = recordsPerTask * tasksPerSecond / 200
)

const (
	day             = 24 * time.Hour
	secondsPerDay   = 86400.0
	gossipFanout    = 2
	fleetReadEvery  = 2 * time.Second
	vmReadEvery     = 2 * time.Second
	taskReadEvery   = 250 * time.Millisecond
	snapshotEvery   = 10 * time.Minute
	heartbeatEvery  = 10 * time.Second
	leaseRenewEvery = 10 * time.Second
	planEvery       = 5 * time.Second
)

// vmSizes, teamSizes, nodeSizes and poolSizes are the sizes that are measured.
var (
	vmSizes   = []int{100, 400, 1600, 3200}
	teamSizes = []int{10, 100, 570, 1200}
	nodeSizes = []int{3, 8, 16, 32, 64}
	poolSizes = []int{10, 37, 74, 148}
)
