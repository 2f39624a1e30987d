package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Kind is what the log gets of one kind of record.
type Kind struct {
	Kind record.Kind
	// Bytes is the size of one record on the log.
	Bytes float64
	// Ordinary, Zone and Outage are records: per day on an ordinary day, in the
	// minute in which a zone is lost, and in the minute after an outage of an hour.
	Ordinary, Zone, Outage float64
	// Source tells where the numbers come from.
	Source string
}

const (
	minutesPerDay = secondsPerDay / 60
	// zoneVMs and zoneAttempts are lost with one zone.
	zoneVMs      = designVMs / designZones
	zoneAttempts = zoneVMs * tasksPerWorker
	// configsPerHour wait for the log after an outage of an hour.
	configsPerHour = configsPerDay / 24.0
)

// steady returns the records of a minute of an ordinary day.
func (k Kind) steady() float64 {
	return k.Ordinary / minutesPerDay
}

// kinds returns the records of all kinds that are not written once only.
func (r Report) kinds() []Kind {
	out := append(r.fleetKinds(), taskKinds()...)
	out = append(out, r.snapshotKind())
	for i := range out {
		out[i].Zone += out[i].steady()
		out[i].Outage += out[i].steady()
	}
	return out
}

// fleetKinds returns the kinds of the fleet stream. Zone and Outage are what
// comes on top of a minute of an ordinary day.
func (r Report) fleetKinds() []Kind {
	beats := secondsPerDay / heartbeatEvery.Seconds()
	disrupted := maintainedPerDay
	return []Kind{
		{"config.published", r.at("config-bytes-teams"), configsPerDay, 0, configsPerHour, "design; after an outage at most all that waited"},
		{"key.given", wireBytes(design().bodies()[designNodes+1]), 2, 0, 0, "assumed: a key of each team once a year"},
		{"key.withdrawn", wireBytes(record.KeyWithdrawn{Key: "0123456789abcdef", Operator: "operator"}), 2, 0, 1, "as given"},
		{"snapshot.taken", r.at("snapshot-bytes-teams"), secondsPerDay / snapshotEvery.Seconds(), 0, 1, "one in 10 minutes"},
		{"node.joined", wireBytes(design().bodies()[1]), designNodes, 0, 0, "assumed: each node restarts once a day"},
		{"node.removed", wireBytes(record.NodeRemoved{Node: nodeName(1), Incarnation: incarnation(1), Reason: record.RemovalGone}), designNodes, 1, 0, "as joined; one node in a lost zone"},
		{"maintenance.claimed", wireBytes(record.MaintenanceClaimed{Node: nodeName(1), Incarnation: incarnation(1), Previous: 1, UnixSeconds: 1 << 30}), 1, designNodes - 1, designNodes, "each node may claim once"},
		{"maintenance.held", wireBytes(record.MaintenanceHeartbeat{Epoch: 100_000, Sequence: 1000}), beats, 0, 0, "one in 10 s"},
		{"maintenance.begun", wireBytes(begun()), disrupted, zoneVMs, 0, "one VM in each at most"},
		{"maintenance.rebooting", wireBytes(record.VMsRebooting{Epoch: 100_000, VMs: []vocab.VMID{vmName(1)}}), disrupted, 0, 0, "each VM in 4 weeks"},
		{"maintenance.done", wireBytes(record.VMMaintenanceCompleted{Epoch: 100_000, VM: vmName(1), Incarnation: 2, UnixSeconds: 1 << 30}), disrupted, 0, 0, "each VM in 4 weeks"},
		{"maintenance.joined", wireBytes(record.VMJoinedPool{Epoch: 100_000, VM: vmName(1), Pool: poolName(1)}), disrupted, zoneVMs, 0, "as many moves as maintained VMs, assumed; one for each VM lost with a zone at most"},
	}
}

func begun() record.DisruptionsStarted {
	return record.DisruptionsStarted{Epoch: 100_000, Base: 100_000, Started: []record.VMMaintenanceStarted{{VM: vmName(1), Incarnation: 1}}}
}

// taskKinds returns the kinds of the task stream with all workers full.
func taskKinds() []Kind {
	daily := tasksPerSecond * secondsPerDay
	lost := float64(failedPerDay+restartedPerDay) * tasksPerWorker
	lostBody := record.TaskAttemptLost{Epoch: 100_000, Task: taskName(1), Attempt: 1, Reason: record.LossLeaseExpired}
	endBody := record.TaskFinished{Epoch: 100_000, Task: taskName(1), Attempt: 1, Result: record.TaskSucceeded, Peak: taskSize(), RunTime: accepted(1).RunTime}
	startBody := record.TaskStartIntended{Epoch: 100_000, Task: taskName(1), Attempt: 1, Worker: vmName(1), Incarnation: 1, Size: taskSize()}
	claim := record.TaskOwnerClaimed{Shard: "tasks", Node: nodeName(1), Incarnation: incarnation(1), Replaces: 1}
	forgotten := record.TasksForgotten{Epoch: 100_000}
	for i := range 1000 {
		forgotten.Tasks = append(forgotten.Tasks, taskName(i))
	}
	return []Kind{
		{"task.accepted", wireBytes(accepted(1)), daily, 0, maxAccepts, "all workers full; after an outage each node may have 20,000 waiting"},
		{"task.start-intended", wireBytes(startBody), daily + lost, zoneAttempts, tasksRunning, "one for each attempt"},
		{"task.ended", wireBytes(endBody), daily, 0, tasksRunning, "one for each task; after an outage all that ran"},
		{"task.attempt-lost", wireBytes(lostBody), lost, zoneAttempts, 0, "attempts on VMs that fail or are restarted"},
		{"task.owner-renewed", wireBytes(record.TaskOwnerRenewed{Epoch: 100_000}), 0, 0, 0, "only when the owner has nothing else to write"},
		{"task.owner-claimed", wireBytes(claim), 1, designNodes - 1, designNodes, "each node may claim once"},
		{"task.forgotten", wireBytes(forgotten), daily / 1000, 0, 0, "1,000 tasks in each"},
	}
}

// snapshotKind returns the parts of the snapshots of the running tasks. One
// record stands for a whole snapshot.
func (r Report) snapshotKind() Kind {
	return Kind{
		"task.snapshot-chunk", r.at("task-snapshot-bytes"), taskSnapshotsPerSecond * secondsPerDay, 0, 0,
		"one snapshot in 200,000 records, its parts as one; of the running tasks only",
	}
}

const (
	// acceptsPerNode is the most accepted tasks that a node holds for the log.
	acceptsPerNode = 20_000
	// maxAccepts is what the nodes may hold for the log at its return.
	maxAccepts = designNodes * acceptsPerNode
)

// appendsPerSecond returns the most appends that the nodes send for tasks, and
// those for the fleet stream on an ordinary day.
func (r Report) appendsPerSecond() (tasks, fleet float64) {
	tasks = designNodes * float64(time.Second) / float64(task.AppendInterval(designNodes, 1))
	for _, k := range r.fleetKinds() {
		fleet += k.Ordinary / secondsPerDay
	}
	return tasks, fleet
}
