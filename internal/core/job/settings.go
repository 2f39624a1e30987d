package job

import "time"

// TickInterval is the longest time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Settings are the bounds that a deployment sets.
type Settings struct {
	// LeaseMost is the longest lease that a worker grants.
	LeaseMost time.Duration
	// OrderGap is the least time between orders of two owners to one machine.
	OrderGap time.Duration
	// OrdersPerSecond is the most orders to machines that the platform takes.
	OrdersPerSecond float64
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
}

const (
	// clockDrift is the most that a worker's clock may run slow: 2 in 100.
	clockDrift = 1.02
	// leaseGuard covers the time between reading the clock and the write.
	leaseGuard = 300 * time.Millisecond
	// leaseWanted is the lease that an owner asks for: it outlasts the change to
	// another owner, and what a crashed worker ran starts again after it.
	leaseWanted = 5 * time.Second
	// ownerHold is how long an owner gives orders after it sent an append
	// that was carried out. It may overlap with the next owner: a worker
	// refuses the lower fence, and what was intended before the claim is known
	// to the next owner.
	ownerHold = 2 * time.Second
	// ownerRenew is the longest time between two appends of an owner.
	ownerRenew = 250 * time.Millisecond
	// ownerSilence is how long the stream must be without a sign of the owner
	// before another node claims: two renewals and two reads of a follower, and what
	// delays them.
	ownerSilence = 2*(ownerRenew+followPause) + 150*time.Millisecond
	// silencePerRead times a read's time is added to it: a slow store delays
	// the owner's appends as well.
	silencePerRead = 4
	// ownerLeaseHold is how long an owner without appends extends the leases
	// of what runs. A later owner waits for it where a worker is silent.
	ownerLeaseHold = 3 * time.Second
	// tookKept is the part of the time of slow reads that counts on at each read.
	tookKept = 0.8
	// claimSpread is the most by which nodes' claims are spread.
	claimSpread = 250 * time.Millisecond
	// dropClaimsEvery is the time between two removals of decided claims.
	dropClaimsEvery = 2 * time.Second
	// spreadPerRead times a read's time is added to it.
	spreadPerRead = 6
	// clearlyWeaker times its own strength is the strength of an owner below which
	// a node offers to take over. A change of owner costs about a second of starts.
	clearlyWeaker = 0.6
	// volunteerEvery is the time between two such offers, and keepOwning how long an
	// owner keeps the ownership before it heeds one.
	volunteerEvery = 2 * time.Second
	keepOwning     = 3 * time.Second
	// offerAfter is how long an owner's append is without success before the owner
	// offers the ownership to another node, offerAgain the time before the next one.
	offerAfter = 450 * time.Millisecond
	offerAgain = 250 * time.Millisecond
	// freshRead is the age of the last read up to which a node takes an offer: two
	// pauses between reads.
	freshRead = 2 * followPause
	// repeatAppendAfter is the time without an answer after which an append of the
	// owner is sent once more; over a slow store it is repeatPerAppend times the
	// time of the last one.
	repeatAppendAfter = 300 * time.Millisecond
	repeatPerAppend   = 3
	// overdueAppend is the time of an append for callers after which their calls go to
	// another node as well.
	overdueAppend = 300 * time.Millisecond
	// mostAttempts bounds the attempts of one append that are under way.
	mostAttempts = 3
	// slowAppend is the time of an append above which the store is slow: the
	// next acceptances wait as long again, so that one append takes more.
	slowAppend = 100 * time.Millisecond
	// firstClaim is how long nodes wait for each other's announcements where
	// there was never an owner.
	firstClaim = 700 * time.Millisecond
	// weakWait is how much longer a node with no strength at all would wait, and
	// weakPerRead times a read's time is added to it: over a slow store the spread
	// of the strong nodes' claims and an append's way to the stream come first.
	weakWait    = 1500 * time.Millisecond
	weakPerRead = 12
	// pollPausePerWorker is the pause before the next poll at a worker, for
	// each worker of the fleet, so that one poll takes several ends.
	pollPausePerWorker = 200 * time.Microsecond
	// readWait is the long poll of an owner's reads.
	readWait = time.Second
	// ownerReadPause is the time between two reads of an owner, so that one
	// read takes several records.
	ownerReadPause = 10 * time.Millisecond
	// followPause is the time between two reads of nodes that may well be the next
	// owner, weakPause that of nodes which are clearly weaker than the strongest.
	followPause = 200 * time.Millisecond
	weakPause   = 500 * time.Millisecond
	// retryPause is the time before a failed call to the stream is repeated.
	retryPause = 150 * time.Millisecond
	// staleAfter is the age of the last read above which a node no longer
	// says that a job does not exist.
	staleAfter = 2 * time.Second
	// pollWait is the long poll of a poll at a worker with runs. While an answer is
	// lost nothing is known of the ends there, so it is short.
	pollWait = 400 * time.Millisecond
	// firstPollRetry is the time before a failed poll is repeated, pollRetry that,
	// times the failures, before the ones after it.
	firstPollRetry = 50 * time.Millisecond
	pollRetry      = 250 * time.Millisecond
	// stopRetry is the time before a stop is repeated.
	stopRetry = 400 * time.Millisecond
	// repeatStart is the time without an answer after which a start is sent once
	// more: a worker answers within milliseconds, and starts a run once.
	repeatStart = 150 * time.Millisecond
	// barAfter is how long a start without an answer may still arrive before
	// it is barred by a stop.
	barAfter = 800 * time.Millisecond
	// silentAfter is the number of failed polls in a row after which a worker gets no
	// new work: a single answer may be lost, or two.
	silentAfter = 3
	// avoidFor is how long a worker that refused a start gets no new work.
	avoidFor = 500 * time.Millisecond
	// planEvery is the longest time between two passes of placement while
	// work waits.
	planEvery = 200 * time.Millisecond
	// mostAppend bounds an append of the owner, in bytes, but for its last record. The
	// store takes 2 MiB and writes 20 MB a second.
	mostAppend = 512 << 10
	// mostBatch bounds the acceptances that wait for one append, in bytes.
	mostBatch = 1 << 20
	// maxTasks bounds the tasks of one job, so that its record, about 110 bytes a task
	// that is not done, is one that the store takes: 256 KiB.
	maxTasks = 2000
	// maxSteps bounds the steps of all occurrences of one job, for the same reason.
	maxSteps = 2000
)
