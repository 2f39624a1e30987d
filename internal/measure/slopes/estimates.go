package slopes

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/record"
)

const (
	// entryCores is the number of cores of an entry VM.
	entryCores = 4
	// entryPeakUtilization is the fraction of its cores that an entry node uses at
	// the peak. The rest is headroom for garbage collection and the loss of a zone.
	entryPeakUtilization = 0.6
	// slotsPerVM is the number of requests that a VM runs concurrently.
	slotsPerVM = 8
	// minEntryNodes puts one entry node into each zone.
	minEntryNodes = designZones
)

// EntryNodeEstimate is the number of entry nodes required while all slots of the
// fleet are busy, for one mean run time of requests.
type EntryNodeEstimate struct {
	MeanRunTime       time.Duration
	RequestsPerSecond float64
	// NodesByCPU is the number of nodes that the processor time of the requests
	// requires. Nodes is enough for NodesByCPU to remain after the loss of a zone,
	// and at least one for each zone.
	NodesByCPU, Nodes int
}

// entryNodeEstimates returns the estimates for several mean run times.
func (r Report) entryNodeEstimates() []EntryNodeEstimate {
	var out []EntryNodeEstimate
	for _, meanRunTime := range []time.Duration{3 * time.Second, time.Second, 300 * time.Millisecond, 100 * time.Millisecond} {
		out = append(out, r.entryNodeEstimate(meanRunTime))
	}
	return out
}

// entryNodeEstimate returns the estimate for one mean run time.
func (r Report) entryNodeEstimate(meanRunTime time.Duration) EntryNodeEstimate {
	cost, _ := r.Requests.CPUPerRequest()
	estimate := EntryNodeEstimate{MeanRunTime: meanRunTime, RequestsPerSecond: designVMs * slotsPerVM / meanRunTime.Seconds()}
	estimate.NodesByCPU = max(1, int(math.Ceil(estimate.RequestsPerSecond*cost.Seconds()/entryCores/entryPeakUtilization)))
	estimate.Nodes = max(minEntryNodes, int(math.Ceil(float64(estimate.NodesByCPU)*designZones/(designZones-1))))
	return estimate
}

// TaskRateLimit is the rate of tasks that uses up one budget of a node.
type TaskRateLimit struct {
	Budget string
	// TasksPerSecond is the rate over the whole fleet.
	TasksPerSecond float64
}

// taskRateLimits returns, for each budget, the highest rate of tasks whose records
// every node can follow.
func (r Report) taskRateLimits() []TaskRateLimit {
	bytesPerTask := 0.0
	for _, load := range taskRecordLoads() {
		bytesPerTask += perSecond(load.OrdinaryPerDay) * load.Bytes / tasksPerSecond
	}
	foldMicrosPerTask := recordsPerTask * r.slope("task-fold").Fit().PerUnit
	heapBytesPerRate := r.slope("task-heap").Fit().PerUnit * secondsPerDay
	snapshotBytesPerSquaredRate := r.slope("task-snapshot-bytes").Fit().PerUnit * secondsPerDay * recordsPerTask / recordsPerTaskSnapshot
	return []TaskRateLimit{
		{"4 KB/s received by each node", budgetBytesPerSecond / bytesPerTask},
		{"1.5% of a core of each node for folding", budgetCores * 1e6 / foldMicrosPerTask},
		{"256 MB of each node for the tasks of a day", budgetMemoryBytes / heapBytesPerRate},
		// The bytes of snapshots grow with the square of the rate: a higher rate
		// makes snapshots both larger and more frequent.
		{"4 KB/s received by each node for snapshots with the tasks of a day", math.Sqrt(budgetBytesPerSecond / snapshotBytesPerSquaredRate)},
	}
}

// minMeanRunTime returns the shortest mean run time at which the design's entry
// nodes without one of them can forward the requests that keep all slots busy.
func (r Report) minMeanRunTime() time.Duration {
	cost, _ := r.Requests.CPUPerRequest()
	return time.Duration(designVMs * slotsPerVM * float64(cost) / entryCores / entryPeakUtilization / (designNodes - 1))
}

// OutageBacklog is the backlog of task records that waits to be appended when the
// log becomes available again.
type OutageBacklog struct {
	// NodeAppendsPerSecond is the rate at which one node sends appends of tasks.
	NodeAppendsPerSecond float64
	// FinishedRecords is the number of task.ended records that the owner writes,
	// OwnerBytes the size of these and as many task.start-intended records, and
	// OwnerAppendSeconds the time that the owner takes to append them.
	FinishedRecords, OwnerBytes, OwnerAppendSeconds float64
	// AcceptAppendSeconds is the time that a node takes to append the accepted tasks
	// of its full queue.
	AcceptAppendSeconds float64
}

const (
	// maxAppendRecords and maxAppendBytes bound one append to the task stream.
	maxAppendRecords = 2000
	maxAppendBytes   = 1 << 20
)

// outageBacklog computes the backlog after an outage in which all running tasks
// finish and each node accepts tasks up to its bound.
func (r Report) outageBacklog() OutageBacklog {
	o := OutageBacklog{NodeAppendsPerSecond: float64(time.Second) / float64(task.AppendInterval(designNodes, 1)), FinishedRecords: designRunningTasks}
	var acceptedBytes float64
	for _, load := range taskRecordLoads() {
		switch load.Kind {
		case record.TaskFinished{}.RecordKind(), record.TaskStartIntended{}.RecordKind():
			o.OwnerBytes += load.Bytes * designRunningTasks
		case record.TaskAccepted{}.RecordKind():
			acceptedBytes = load.Bytes * maxWaitingAcceptsPerNode
		}
	}
	o.OwnerAppendSeconds = appendCount(2*designRunningTasks, o.OwnerBytes) / o.NodeAppendsPerSecond
	o.AcceptAppendSeconds = appendCount(maxWaitingAcceptsPerNode, acceptedBytes) / o.NodeAppendsPerSecond
	return o
}

// appendCount returns the number of appends for a number of records with a total
// size in bytes.
func appendCount(records, bytes float64) float64 {
	return math.Ceil(max(records/maxAppendRecords, bytes/maxAppendBytes))
}
