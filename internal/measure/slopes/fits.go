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
	// entryUse is the part of its cores that a node uses at the peak, so that
	// garbage collection and a lost zone find room.
	entryUse = 0.6
	// vmSlots is the number of requests that a VM runs at a time.
	vmSlots = 8
	// leastNodes lets one node of each zone be lost.
	leastNodes = designZones
)

// EntryNeed is the number of entry nodes for a mean run time with all slots busy.
type EntryNeed struct {
	Run      time.Duration
	Requests float64
	// ByCost is what the cost of requests asks for, and Nodes what is left of
	// that after a zone was lost, and at least one in each zone.
	ByCost, Nodes int
}

// entryNeeds returns the needs of several mean run times.
func (r Report) entryNeeds() []EntryNeed {
	var out []EntryNeed
	for _, run := range []time.Duration{3 * time.Second, time.Second, 300 * time.Millisecond, 100 * time.Millisecond} {
		out = append(out, r.entryNeed(run))
	}
	return out
}

func (r Report) entryNeed(run time.Duration) EntryNeed {
	cost, _ := r.Requests.Cost()
	n := EntryNeed{Run: run, Requests: designVMs * vmSlots / run.Seconds()}
	n.ByCost = max(1, int(math.Ceil(n.Requests*cost.Seconds()/entryCores/entryUse)))
	n.Nodes = max(leastNodes, int(math.Ceil(float64(n.ByCost)*designZones/(designZones-1))))
	return n
}

// TaskLimit is the rate of tasks at which a node meets one budget.
type TaskLimit struct {
	Budget string
	// PerSecond counts tasks of the whole fleet.
	PerSecond float64
}

// taskLimits returns the rates that every node can follow.
func (r Report) taskLimits() []TaskLimit {
	bytes := 0.0
	for _, k := range taskKinds() {
		bytes += perSecond(k.Ordinary) * k.Bytes / tasksPerSecond
	}
	fold := recordsPerTask * r.slope("task-fold").Fit().Each
	kept := r.slope("task-heap").Fit().Each * secondsPerDay
	written := r.slope("task-snapshot-bytes").Fit().Each * secondsPerDay * recordsPerTask / snapshotRecords
	return []TaskLimit{
		{"4 KB/s received by each node", budgetBytes / bytes},
		{"1.5% of a core of each node for folding", budgetCore * 1e6 / fold},
		{"256 MB of each node for the tasks of a day", budgetMemory / kept},
		// The bytes of snapshots grow with the square of the rate: more tasks to
		// write, more often.
		{"4 KB/s received by each node for snapshots with the tasks of a day", math.Sqrt(budgetBytes / written)},
	}
}

// leastRun returns the shortest mean run time at which all nodes but one carry
// the requests of a full fleet.
func (r Report) leastRun() time.Duration {
	cost, _ := r.Requests.Cost()
	return time.Duration(designVMs * vmSlots * float64(cost) / entryCores / entryUse / (designNodes - 1))
}

// Outage is what waits for the log at the end of an outage.
type Outage struct {
	// NodeAppends is the appends of one node a second.
	NodeAppends float64
	// OutageOwner is the ends that the owner writes, OutageBytes the bytes of
	// these and as many starts, and OutageSeconds what its appends take.
	OutageOwner, OutageBytes, OutageSeconds float64
	// AcceptSeconds is what the appends of a full node's accepted tasks take.
	AcceptSeconds float64
}

const (
	// batchRecords and batchBytes bound one append of tasks.
	batchRecords = 2000
	batchBytes   = 1 << 20
)

func (r Report) outage() Outage {
	o := Outage{NodeAppends: float64(time.Second) / float64(task.AppendInterval(designNodes, 1)), OutageOwner: tasksRunning}
	var accept float64
	for _, k := range taskKinds() {
		switch k.Kind {
		case record.TaskFinished{}.RecordKind(), record.TaskStartIntended{}.RecordKind():
			o.OutageBytes += k.Bytes * tasksRunning
		case record.TaskAccepted{}.RecordKind():
			accept = k.Bytes * acceptsPerNode
		}
	}
	o.OutageSeconds = batches(2*tasksRunning, o.OutageBytes) / o.NodeAppends
	o.AcceptSeconds = batches(acceptsPerNode, accept) / o.NodeAppends
	return o
}

// batches returns the number of appends for records of a size in all.
func batches(records, bytes float64) float64 {
	return math.Ceil(max(records/batchRecords, bytes/batchBytes))
}
