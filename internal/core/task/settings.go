package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// ReadEvery is the longest time between two reads of the stream that a node
	// may leave while the log answers; a read without records counts.
	ReadEvery = 500 * time.Millisecond
	// ownerHold is the time after the sending of a record for which an owner
	// that sees the record on the log may order starts.
	ownerHold = 2500 * time.Millisecond
	// ownerSilence is the time without a record of the owner after which other
	// nodes claim the shard. It is longer than ownerHold.
	ownerSilence = 3 * time.Second
	// claimStagger spreads the claims of several nodes over this time.
	claimStagger = 800 * time.Millisecond
	// ownerRenewEvery is the longest time that an owner leaves without a record.
	ownerRenewEvery = time.Second
	// appendTimeout is the time within which an append must be sent.
	appendTimeout = 2 * time.Second
	// doubtWait is the time after an append without an answer until the stream
	// is taken to show whether the append took effect.
	doubtWait = time.Second
	// leaseTime is the time for which a worker runs an attempt without renewal.
	leaseTime = 30 * time.Second
	// renewEvery is the time between two renewals with one worker.
	renewEvery = 10 * time.Second
	// leaseGuard is added by those who wait for a lease to end. It covers clocks
	// that run at different rates and orders that arrive late.
	leaseGuard = 5 * time.Second
	// checkEvery is the time between two checks of a worker's attempts.
	checkEvery = 500 * time.Millisecond
	// askEvery is the time between two asks of one worker.
	askEvery = 2 * time.Second
	// askLimit is the longest time for which a worker is asked about an attempt
	// of a task that is not idempotent before a person is called. It is longer
	// than regions usually lose each other.
	askLimit = 90 * time.Minute
	// hangFactor is the multiple of a long run time after which an attempt is
	// stopped, and hangDeclaredFactor the multiple of the declared run time if
	// too little was observed.
	hangFactor         = 4
	hangDeclaredFactor = 20
	// hangFloor is the least time before an attempt counts as hung.
	hangFloor = 30 * time.Second
	// poisonWorkers is the number of good workers on which a task may fail.
	poisonWorkers = 3
	// poisonFailures is the number of attempts that may fail in all.
	poisonFailures = 10
	// preemptPatience is the time that a checkpoint may take before idempotent
	// attempts are stopped instead, and preemptLimit the time after which the
	// urgent task is placed anew.
	preemptPatience = 2 * time.Second
	preemptLimit    = 4 * time.Second
	// drainLimit is the time for which a worker holds room for one task.
	drainLimit = 10 * time.Minute
	// unparkEvery is the time between two checks of parked tasks.
	unparkEvery = 30 * time.Second
	// placeEvery is the time between two passes of placement without a change.
	placeEvery = time.Second
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 2000
	maxBatchBytes   = 1 << 20
	// maxPendingAccepts bounds the accepted records that wait for an append.
	maxPendingAccepts = 20000
	// maxForgotten bounds the tasks of one forgotten record.
	maxForgotten = 1000
	// snapshotRecords is the number of records after which a new snapshot is due.
	snapshotRecords = 200000
	// snapshotsPerRetention is the number of snapshots within the log's retention.
	snapshotsPerRetention = 4

	// fleetAppends is the number of appends a second for tasks in the fleet.
	fleetAppends = 200
	// leastAppendEvery bounds the time between appends from below.
	leastAppendEvery = 100 * time.Millisecond
)

// AppendEvery returns the time that one node leaves between two appends to one
// shard, so that the fleet stays within its budget of 200 appends a second
// when every node appends to every shard.
func AppendEvery(nodes, shards int) time.Duration {
	return max(leastAppendEvery, time.Duration(nodes*shards)*time.Second/fleetAppends)
}

// Settings describes one node's part in one shard.
type Settings struct {
	Shard       vocab.StreamID
	Node        vocab.NodeID
	Incarnation vocab.Incarnation
	// AppendEvery is the least time between two appends; see AppendEvery.
	AppendEvery time.Duration
	// ResultKeep is the least time for which results and idempotency keys are
	// known after a task's end.
	ResultKeep time.Duration
	// LogRetention is the time for which the log keeps records.
	LogRetention time.Duration
	// MayOwn allows the node to claim the shard.
	MayOwn  bool
	Account placement.Account
	// Weight returns a team's share.
	Weight func(vocab.TeamID) int
	// NoLearning and NoSettingAside turn decisions off, for comparison.
	NoLearning     bool
	NoSettingAside bool
}
