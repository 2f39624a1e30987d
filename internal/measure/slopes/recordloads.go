package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// RecordLoad is the size and number of the records of one kind on the log.
type RecordLoad struct {
	Kind record.Kind
	// Bytes is the encoded size of one record on the log.
	Bytes float64
	// OrdinaryPerDay is the number of records on an ordinary day, ZoneLossMinute the
	// number in the minute in which a zone is lost, and AfterOutageMinute the number
	// in the minute after the log was unavailable for an hour.
	OrdinaryPerDay, ZoneLossMinute, AfterOutageMinute float64
	// Source states where the numbers come from.
	Source string
}

const (
	minutesPerDay = secondsPerDay / 60
	// vmsPerZone and attemptsPerZone are the VMs and task attempts that are lost with
	// one zone.
	vmsPerZone      = designVMs / designZones
	attemptsPerZone = vmsPerZone * tasksPerWorker
	// configChangesPerHour is the number of changes that wait to be appended after
	// the log was unavailable for an hour.
	configChangesPerHour = configChangesPerDay / 24.0
)

// ordinaryPerMinute returns the number of records in a minute of an ordinary day.
func (load RecordLoad) ordinaryPerMinute() float64 {
	return load.OrdinaryPerDay / minutesPerDay
}

// recordLoads returns the loads of all kinds that are written regularly.
func (r Report) recordLoads() []RecordLoad {
	out := append(r.fleetRecordLoads(), taskRecordLoads()...)
	out = append(out, r.taskSnapshotLoad())
	for i := range out {
		out[i].ZoneLossMinute += out[i].ordinaryPerMinute()
		out[i].AfterOutageMinute += out[i].ordinaryPerMinute()
	}
	return out
}

// fleetRecordLoads returns the loads of the fleet stream. ZoneLossMinute and
// AfterOutageMinute exclude the records of a minute of an ordinary day.
func (r Report) fleetRecordLoads() []RecordLoad {
	heartbeats := secondsPerDay / plannerHeartbeatInterval.Seconds()
	disruptions := maintainedVMsPerDay
	return []RecordLoad{
		{"config.published", r.atDesignSize("config-bytes-teams"), configChangesPerDay, 0, configChangesPerHour, "design; after an outage at most all that waited"},
		{"key.given", encodedRecordBytes(designSize().recordBodies()[designNodes+1]), 2, 0, 0, "assumed: a key of each team once a year"},
		{"key.withdrawn", encodedRecordBytes(record.KeyWithdrawn{Key: "0123456789abcdef", Operator: "operator"}), 2, 0, 1, "as given"},
		{"snapshot.taken", r.atDesignSize("snapshot-bytes-teams"), secondsPerDay / snapshotInterval.Seconds(), 0, 1, "one in 10 minutes"},
		{"node.joined", encodedRecordBytes(designSize().recordBodies()[1]), designNodes, 0, 0, "assumed: each node restarts once a day"},
		{"node.removed", encodedRecordBytes(record.NodeRemoved{Node: nodeName(1), Incarnation: incarnation(1), Reason: record.RemovalGone}), designNodes, 1, 0, "as joined; one node in a lost zone"},
		{"maintenance.claimed", encodedRecordBytes(record.MaintenanceClaimed{Node: nodeName(1), Incarnation: incarnation(1), Previous: 1, UnixSeconds: 1 << 30}), 1, designNodes - 1, designNodes, "each node may claim once"},
		{"maintenance.held", encodedRecordBytes(record.MaintenanceHeartbeat{Epoch: 100_000, Sequence: 1000}), heartbeats, 0, 0, "one in 10 s"},
		{"maintenance.begun", encodedRecordBytes(disruptionsStarted()), disruptions, vmsPerZone, 0, "one VM in each at most"},
		{"maintenance.rebooting", encodedRecordBytes(record.VMsRebooting{Epoch: 100_000, VMs: []vocab.VMID{vmName(1)}}), disruptions, 0, 0, "each VM in 4 weeks"},
		{"maintenance.done", encodedRecordBytes(record.VMMaintenanceCompleted{Epoch: 100_000, VM: vmName(1), Incarnation: 2, UnixSeconds: 1 << 30}), disruptions, 0, 0, "each VM in 4 weeks"},
		{"maintenance.joined", encodedRecordBytes(record.VMJoinedPool{Epoch: 100_000, VM: vmName(1), Pool: poolName(1)}), disruptions, vmsPerZone, 0, "as many moves as maintained VMs, assumed; one for each VM lost with a zone at most"},
	}
}

// disruptionsStarted returns a record of the start of one VM's maintenance.
func disruptionsStarted() record.DisruptionsStarted {
	return record.DisruptionsStarted{Epoch: 100_000, Base: 100_000, Started: []record.VMMaintenanceStarted{{VM: vmName(1), Incarnation: 1}}}
}

// taskRecordLoads returns the loads of the task stream with all workers full,
// without snapshots. ZoneLossMinute and AfterOutageMinute exclude the records of a
// minute of an ordinary day.
func taskRecordLoads() []RecordLoad {
	daily := tasksPerSecond * secondsPerDay
	lostAttempts := float64(failedVMsPerDay+restartedVMsPerDay) * tasksPerWorker
	attemptLost := record.TaskAttemptLost{Epoch: 100_000, Task: taskName(1), Attempt: 1, Reason: record.LossLeaseExpired}
	taskFinished := record.TaskFinished{Epoch: 100_000, Task: taskName(1), Attempt: 1, Result: record.TaskSucceeded, Peak: taskSize(), RunTime: taskAccepted(1).RunTime}
	startIntended := record.TaskStartIntended{Epoch: 100_000, Task: taskName(1), Attempt: 1, Worker: vmName(1), Incarnation: 1, Size: taskSize()}
	claim := record.TaskOwnerClaimed{Shard: "tasks", Node: nodeName(1), Incarnation: incarnation(1), Replaces: 1}
	forgotten := record.TasksForgotten{Epoch: 100_000}
	for i := range 1000 {
		forgotten.Tasks = append(forgotten.Tasks, taskName(i))
	}
	return []RecordLoad{
		{"task.accepted", encodedRecordBytes(taskAccepted(1)), daily, 0, maxWaitingAccepts, "all workers full; after an outage each node may have 20,000 waiting"},
		{"task.start-intended", encodedRecordBytes(startIntended), daily + lostAttempts, attemptsPerZone, designRunningTasks, "one for each attempt"},
		{"task.ended", encodedRecordBytes(taskFinished), daily, 0, designRunningTasks, "one for each task; after an outage all that ran"},
		{"task.attempt-lost", encodedRecordBytes(attemptLost), lostAttempts, attemptsPerZone, 0, "attempts on VMs that fail or are restarted"},
		{"task.owner-renewed", encodedRecordBytes(record.TaskOwnerRenewed{Epoch: 100_000}), 0, 0, 0, "only when the owner has nothing else to write"},
		{"task.owner-claimed", encodedRecordBytes(claim), 1, designNodes - 1, designNodes, "each node may claim once"},
		{"task.forgotten", encodedRecordBytes(forgotten), daily / 1000, 0, 0, "1,000 tasks in each"},
	}
}

// taskSnapshotLoad returns the load of the snapshots of the task stream. It counts
// all chunks of a snapshot as one record.
func (r Report) taskSnapshotLoad() RecordLoad {
	return RecordLoad{
		"task.snapshot-chunk", r.atDesignSize("task-snapshot-bytes"), taskSnapshotsPerSecond * secondsPerDay, 0, 0,
		"one snapshot in 200,000 records, its parts as one; of the running tasks only",
	}
}

const (
	// maxWaitingAcceptsPerNode is the maximum number of accepted tasks that a node
	// queues for the log.
	maxWaitingAcceptsPerNode = 20_000
	// maxWaitingAccepts is the maximum over all nodes when the log becomes available
	// again.
	maxWaitingAccepts = designNodes * maxWaitingAcceptsPerNode
)

// appendsPerSecond returns the maximum rate of appends to the task stream by all
// nodes, and the mean rate to the fleet stream on an ordinary day.
func (r Report) appendsPerSecond() (tasks, fleet float64) {
	tasks = designNodes * float64(time.Second) / float64(task.AppendInterval(designNodes, 1))
	for _, load := range r.fleetRecordLoads() {
		fleet += load.OrdinaryPerDay / secondsPerDay
	}
	return tasks, fleet
}
