package job

import "time"

// TickInterval is the longest time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Settings are the limits configured for a deployment.
type Settings struct {
	// MaxLease is the maximum lease that workers grant.
	MaxLease time.Duration
	// MinOrderGap is the minimum time between orders of two owners to the same machine.
	MinOrderGap time.Duration
	// MaxOrdersPerSecond is the rate limit of the platform for orders to machines.
	MaxOrdersPerSecond float64
	// EvacuationLimit is the time from the acknowledgement of an evacuation of an availability
	// zone after which nothing may start there; 0 means that operators evacuate no zones.
	EvacuationLimit time.Duration
	// Directory is set if the platform keeps a directory of the nodes.
	Directory bool
	// KeepFinished is the time for which the state of a finished job can be
	// queried.
	KeepFinished time.Duration
	// MaxRecordBytes and MaxAppendBytes are the sizes of the largest record and append that the store
	// takes; 0 means defaultRecordBytes and defaultAppendBytes.
	MaxRecordBytes, MaxAppendBytes int
	// MaxLiveTasks is the number of tasks for which the process has memory; 0 means defaultLiveTasks.
	MaxLiveTasks int
	// RefuseWorthless is set if a job is refused when it certainly cannot complete while it
	// has a value.
	RefuseWorthless bool
}

const (
	// minClockRate is the rate of the slowest clock that a worker may have.
	minClockRate = 0.98
	// leaseMargin is added to the time by which a lease has expired.
	leaseMargin = 300 * time.Millisecond
	// clockReadInterval is the maximum time between two readings of the clock of a worker that
	// may get tasks. The lower bound of the clock falls behind by 2 % of this time.
	clockReadInterval = 15 * time.Second
	// clockReadJitter is the time by which this interval is shorter at most.
	clockReadJitter = 5 * time.Second
	// preferredLease is the lease that an owner requests, unless workers grant less. It
	// is longer than a change of owner takes; the tasks of a crashed worker start again
	// only after it.
	preferredLease = 5 * time.Second
	// orderAuthority is the time for which an owner may give orders after sending a
	// successful append. This time may overlap with the next owner's: workers refuse
	// orders with the lower fence, and the next owner reads the intent of every run from
	// the stream.
	orderAuthority = 2 * time.Second
	// ownerRenewInterval is the maximum time between two appends of an owner.
	ownerRenewInterval = 250 * time.Millisecond
	// ownerTimeout is the time without a heartbeat of the owner on the stream after
	// which other nodes claim: two renewals and two reads of a follower, plus an
	// allowance for their delays.
	ownerTimeout = 2*(ownerRenewInterval+followerReadInterval) + 150*time.Millisecond
	// ownerTimeoutReads times the read latency is added to ownerTimeout: a slow store
	// delays the owner's appends as well.
	ownerTimeoutReads = 4
	// leaseAuthority is the time for which an owner may extend leases of runs after
	// sending a successful append. A later owner waits for this time before it marks the
	// runs of an unreachable worker as lost.
	leaseAuthority = 3 * time.Second
	// latencyDecay is the factor by which the smoothed read latency falls at each read.
	latencyDecay = 0.8
	// claimJitter is the maximum jitter of a node's claim.
	claimJitter = 250 * time.Millisecond
	// successorHeadStart and successorReads times the read latency are the additional claim
	// delay of the nodes that a resigned owner did not name as its successor.
	successorHeadStart = followerReadInterval
	successorReads     = 3
	// claimRemovalInterval is the minimum time between two removals of claims from the stream.
	claimRemovalInterval = 2 * time.Second
	// claimJitterReads times the read latency is added to claimJitter.
	claimJitterReads = 6
	// lowShareRatio is the ratio to another node's CPU share below which a node's share
	// counts as much lower. A node requests the ownership from an owner with a much
	// lower share; a change of owner stops starts for about a second.
	lowShareRatio = 0.6
	// ownershipRequestInterval is the time between two such requests, minOwnership the
	// time for which an owner ignores them after its takeover.
	ownershipRequestInterval = 2 * time.Second
	minOwnership             = 3 * time.Second
	// ownershipOfferDelay is the time without a successful append after which an owner
	// offers the ownership to another node, ownershipOfferInterval the time between two
	// offers.
	ownershipOfferDelay    = 450 * time.Millisecond
	ownershipOfferInterval = 250 * time.Millisecond
	// offerValidity is the time for which an offer is valid. Afterwards the owner's appends
	// may succeed again.
	offerValidity = time.Second
	// freshReadAge is the maximum age of the last read with which a node accepts an
	// offer of the ownership: two read intervals.
	freshReadAge = 2 * followerReadInterval
	// appendRepeatDelay is the time without a response after which an append of the owner
	// is repeated. If the store is slow, it is appendRepeatFactor times the latency of
	// the last append.
	appendRepeatDelay  = 300 * time.Millisecond
	appendRepeatFactor = 3
	// appendOverdueAfter is the time after which an append for callers is overdue and
	// its calls are also forwarded to another node.
	appendOverdueAfter = 300 * time.Millisecond
	// maxAppendAttempts bounds the unanswered attempts of one append.
	maxAppendAttempts = 3
	// slowAppendLatency is the latency of an append above which the store counts as
	// slow. The next batch then waits as long again, so that one append holds more
	// records.
	slowAppendLatency = 100 * time.Millisecond
	// firstClaimDelay is the time for which nodes wait for the member records of the
	// other nodes before they claim where there has never been an owner.
	firstClaimDelay = 700 * time.Millisecond
	// lowShareClaimDelay is the additional claim delay of a node with no CPU share; nodes
	// with a share below the highest wait for a proportional part of it.
	// lowShareClaimReads times the read latency is added to it: if the store is slow,
	// the delay must cover the jitter of the claims of the nodes with the highest share
	// and the latency of their appends.
	lowShareClaimDelay = 1500 * time.Millisecond
	lowShareClaimReads = 12
	// pollPausePerWorker times the number of workers is the pause between two polls of
	// a worker, so that one poll returns several ends.
	pollPausePerWorker = 200 * time.Microsecond
	// ownerReadWait is the long-poll timeout of the owner's reads.
	ownerReadWait = time.Second
	// ownerReadInterval is the time between two reads of an owner, so that one read
	// returns several records.
	ownerReadInterval = 10 * time.Millisecond
	// followerReadInterval is the time between two reads of a node that is likely to be
	// the next owner, lowShareReadInterval that of a node with a much lower CPU share
	// than the highest.
	followerReadInterval = 200 * time.Millisecond
	lowShareReadInterval = 500 * time.Millisecond
	// streamRetryDelay is the delay before a failed call to the stream is retried.
	streamRetryDelay = 150 * time.Millisecond
	// maxRetryDelay bounds the delay before a failed read is retried on a node with a much
	// lower CPU share than the highest; the delay doubles with each failure. Together with
	// smaller reads it ends the overload of a store whose reads all time out.
	maxRetryDelay = 1200 * time.Millisecond
	// maxReadBytes is the maximum size of one read: more than the largest record (256 KiB),
	// and a third of what the slowest link (10 Mbit/s) transfers within the timeout of a
	// read, because the reads of other topics share the link. After a failed read the next
	// one is smaller, down to minReadBytes: a read returns at least one record.
	maxReadBytes = 288 << 10
	minReadBytes = 32 << 10
	// maxReadAge is the age of the last read above which a node doesn't count as caught
	// up with the stream, and doesn't claim the ownership.
	maxReadAge = 2 * time.Second
	// pollWait is the long-poll timeout for a worker with runs. It is short because
	// no ends are received until it times out if a response is lost.
	pollWait = 400 * time.Millisecond
	// firstPollRetryDelay is the delay before the first retry of a failed poll,
	// pollRetryDelay times the number of failures the delay before later ones.
	firstPollRetryDelay = 50 * time.Millisecond
	pollRetryDelay      = 250 * time.Millisecond
	// unackedPollInterval is the time between two polls of a worker with runs and with ends
	// that are not on the stream yet, while the store is slow: such a worker responds at once.
	unackedPollInterval = 100 * time.Millisecond
	// stopRetryDelay is the delay before a stop is repeated.
	stopRetryDelay = 400 * time.Millisecond
	// startRepeatDelay is the time without a response after which a start is repeated:
	// workers respond within milliseconds, and start a run at most once.
	startRepeatDelay = 150 * time.Millisecond
	// startFenceDelay is the time without a response after which a start is fenced off by
	// a stop of the run, in case it still arrives.
	startFenceDelay = 800 * time.Millisecond
	// unreachableAfterPolls is the number of consecutive failed polls after which a
	// worker gets no new work: one or two responses may be lost.
	unreachableAfterPolls = 3
	// refusalBackoff is the time for which a worker that refused a start gets no new
	// work.
	refusalBackoff = 500 * time.Millisecond
	// planInterval is the maximum time between two placement passes.
	planInterval = 200 * time.Millisecond
	// maxAppendBytes bounds an append of the owner, apart from its last job, and a quarter of the
	// store's limit if that is less. The store writes 20 MB a second.
	maxAppendBytes = 512 << 10
	// maxBatchBytes, and half of the store's limit if that is less, bounds the records that wait for
	// the next append for callers.
	maxBatchBytes = 1 << 20
	// maxTasks bounds the tasks of one occurrence of a job.
	maxTasks = 2000
	// MaxSteps bounds the steps of all occurrences of a job: a completed step takes a row of the
	// job's record.
	MaxSteps = 2000
	// maxIntervalMS and maxFirstAt bound the times of a recurring job, in milliseconds: the product of
	// interval and occurrences must not overflow.
	maxIntervalMS = 100 * 365 * 24 * 3600 * 1000
	maxFirstAt    = 130 * 365 * 24 * 3600 * 1000
	// maxRemovedJobs bounds the finished jobs that are removed in one append, each with three records of
	// about 25 bytes.
	maxRemovedJobs = 500
)
