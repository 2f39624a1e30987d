package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// MaxReadInterval is the maximum time between two reads of the stream by a node
	// while the log is available; a read that returns no records counts.
	MaxReadInterval = 500 * time.Millisecond
	// ownershipValidity is the time for which the owner may order starts after it
	// sent a record, provided that it has read the record back from the log.
	ownershipValidity = 2500 * time.Millisecond
	// ownerTimeout is the time without a record of the owner after which other
	// nodes claim the shard. It is longer than ownershipValidity, so that the old
	// owner no longer orders starts when another node claims.
	ownerTimeout = 3 * time.Second
	// maxClaimDelay is the time over which the claims of several nodes are spread.
	maxClaimDelay = 800 * time.Millisecond
	// ownerRenewInterval is the maximum time between two records of an owner.
	ownerRenewInterval = time.Second
	// appendTimeout is the time within which an append must be sent to the log.
	appendTimeout = 2 * time.Second
	// appendOutcomeDelay is the time after an append with an unknown outcome from
	// which on a read to the end of the stream shows whether it took effect. The
	// next append after a rejected one waits as long.
	appendOutcomeDelay = time.Second
	// leaseDuration is the time for which a worker runs an attempt without renewal
	// of its lease.
	leaseDuration = 30 * time.Second
	// leaseRenewInterval is the time between two renewals with one worker.
	leaseRenewInterval = 10 * time.Second
	// leaseGuard is the additional time after which a lease counts as expired. It
	// covers clocks that run at different rates and orders that arrive late.
	leaseGuard = 5 * time.Second
	// checkInterval is the time between two checks of a worker's attempts.
	checkInterval = 500 * time.Millisecond
	// queryInterval is the time between two queries to one worker.
	queryInterval = 2 * time.Second
	// queryTimeout is the time for which a worker is queried about an attempt of a
	// task that is not idempotent before the task needs an operator. It is longer
	// than the usual loss of the connection between regions.
	queryTimeout = 90 * time.Minute
	// hangFactor is the multiple of a queue's long run time after which an attempt
	// counts as hung. hangDeclaredFactor is the multiple of the declared run time
	// that is used while too few run times were observed.
	hangFactor         = 4
	hangDeclaredFactor = 20
	// minHangTimeout is the minimum run time before an attempt counts as hung.
	minHangTimeout = 30 * time.Second
	// poisonWorkerThreshold is the number of workers that are not quarantined on
	// which a task must have failed to be parked.
	poisonWorkerThreshold = 3
	// poisonFailureThreshold is the number of failed attempts on any workers after
	// which a task is parked.
	poisonFailureThreshold = 10
	// poisonEvidence is the evidence of crashes or of failures, in thousandths of the natural logarithm,
	// from which a task is parked. Of the series of successive crashes under tasks that have no part in
	// them, one in 10,000 reaches it.
	poisonEvidence = 9210
	thousandths    = 1000
	// minFailureDelay is the longest delay of a task that has failed on poisonWorkerThreshold workers
	// and is not parked, maxFailureDelay the longest after further failures.
	minFailureDelay = 4 * time.Second
	maxFailureDelay = 5 * time.Minute
	// maxCrashDelay bounds the delay of a task's next attempt after the first crash of a worker that
	// the task may have caused.
	maxCrashDelay = 4 * time.Second
	// checkpointTimeout is the time after which idempotent victims of a preemption
	// are stopped without a checkpoint, and preemptTimeout the time after which
	// the urgent task is placed anew.
	checkpointTimeout = 2 * time.Second
	preemptTimeout    = 4 * time.Second
	// drainTimeout is the maximum time for which a worker is drained for one task.
	drainTimeout = 10 * time.Minute
	// unparkInterval is the time between two checks of the parked tasks.
	unparkInterval = 30 * time.Second
	// placementInterval is the time between two passes of placement if nothing
	// changed.
	placementInterval = time.Second
	// maxBatchRecords and maxBatchBytes limit the size of one append.
	maxBatchRecords = 2000
	maxBatchBytes   = 1 << 20
	// maxQueuedCalls limits the records of callers that are queued for an append.
	maxQueuedCalls = 20000
	// maxForgotten limits the number of tasks in one TasksForgotten record.
	maxForgotten = 1000
	// recordsPerSnapshot is the number of records after which a new snapshot is due.
	recordsPerSnapshot = 200000
	// snapshotsPerRetention is the number of snapshots taken within the time for
	// which the log keeps records.
	snapshotsPerRetention = 4

	// fleetAppendsPerSecond is the fleet's budget of appends a second for tasks.
	fleetAppendsPerSecond = 200
	// minAppendInterval is the minimum time between two appends of one node.
	minAppendInterval = 100 * time.Millisecond
)

// AppendInterval returns the time that a node must leave between two appends to one
// shard, so that the fleet stays within its budget of 200 appends a second even
// if every node appends to every shard.
func AppendInterval(nodes, shards int) time.Duration {
	return max(minAppendInterval, time.Duration(nodes*shards)*time.Second/fleetAppendsPerSecond)
}

// Settings configures the controller of one shard on one node.
type Settings struct {
	Shard       vocab.StreamID
	Node        vocab.NodeID
	Incarnation vocab.Incarnation
	// AppendInterval is the minimum time between two appends; see the function
	// AppendInterval.
	AppendInterval time.Duration
	// ResultRetention is the minimum time for which results and idempotency keys are
	// kept after a task has ended.
	ResultRetention time.Duration
	// LogRetention is the time for which the log keeps records.
	LogRetention time.Duration
	// MayOwn allows the node to claim the shard.
	MayOwn bool
	// Account counts the slots of each team against its upper limit.
	Account placement.SlotAccount
	// Weight returns the share of a team.
	Weight func(vocab.TeamID) int
	// NoLearning disables learned task sizes, and NoQuarantine the quarantine of
	// failing workers, so that measurements can compare with and without them.
	NoLearning   bool
	NoQuarantine bool
}
