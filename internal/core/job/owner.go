package job

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/advice"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/poolplan"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ownerStage is the progress of an owner's takeover.
type ownerStage int

const (
	// stageFencing means that the first append with the new fence is in progress. After
	// it the stream refuses appends of earlier owners.
	stageFencing ownerStage = iota
	// stageReading means that the records up to that append are being read.
	stageReading
	// stageActive means that the takeover is complete and the owner gives orders.
	stageActive
)

// owner is the state of the node that gives orders to the workers. State that must
// survive the node is on the job stream before an order that depends on it is sent.
type owner struct {
	s     *State
	fence Fence
	stage ownerStage
	// readTo is the offset up to which the stream must be read to complete the takeover.
	readTo int64
	// seq is the sequence number of the owner's next append.
	seq uint64
	// pendingAppend is the append in progress, or nil; appendLatency is the latency of
	// the last successful one.
	pendingAppend *ownerAppend
	appendLatency time.Duration
	// joined holds the records for callers that the next append takes along, or is nil.
	joined *recordBatch
	// dirty lists the jobs whose state is not on the stream.
	dirty []*activeJob
	// changes is the number of the last change: it counts the jobs added to dirty.
	changes uint64
	// extraRecords holds other records for the next append.
	extraRecords []Record
	// actions holds the actions to run once changes are on the stream, in the order of
	// the changes.
	actions []deferredAction
	// ordersUntil is the time until which the owner may start runs, leasesUntil until
	// which it may extend leases. Each successful append moves both forward.
	ordersUntil, leasesUntil vocab.Instant
	// earlierLeasesUntil is the time by which all leases granted by earlier owners have
	// expired, earlierLeaseSpan the longest time that such a lease may last.
	earlierLeasesUntil vocab.Instant
	earlierLeaseSpan   time.Duration
	// earlierStrayUntil is the time by which leases from stray orders of earlier owners have expired.
	// earlierNotesStrays is set if the record of the last one has the workers that they may reach.
	earlierStrayUntil  vocab.Instant
	earlierNotesStrays bool
	// readOffset is the offset up to which this owner has read the stream.
	readOffset int64
	// renewDue is set while the owner's record has to be written: it has new stray orders, or moves the end
	// of the stream so that fences can be raised.
	renewDue bool
	// activeAt is the time when the takeover was completed.
	activeAt vocab.Instant
	// resigned is set once the owner resigns: from then on it gives no orders. overloaded is
	// set as well if it does so because of its own health.
	resigned, overloaded bool
	// handover is set once the owner hands the ownership over.
	handover *handover
	health   ownerHealth
	// awaitWorkersUntil is the time until which the first append may wait for the workers.
	awaitWorkersUntil vocab.Instant
	// pendingOrders holds the machines whose orders are sent once a record that lists them
	// is on the stream; orderLog builds these records.
	pendingOrders []*machine
	orderLog      orderLog
	// ordersWithdrawn is set once the owner sends no orders to machines any more because it hands over.
	ordersWithdrawn bool

	// liveTasks is the number of tasks of active jobs in memory, as of the last tick and with those added since.
	liveTasks int
	jobs      map[ID]*activeJob // active jobs
	jobOrder  []*activeJob      // values of jobs, in order of arrival
	workers   map[WorkerID]*worker
	workerIDs []WorkerID // keys of workers, sorted
	// workersByMachine holds the worker last listed on each machine.
	workersByMachine map[MachineID]*worker
	// presumedCrashes holds the last presumed crash of a worker on each machine.
	presumedCrashes map[MachineID]attributedCrash
	// crashRates holds how often workers crash, by pool, as of the time crashRatesAt.
	// machineCrashes holds how often workers have crashed on each machine under this owner.
	crashRates     map[vocab.PoolID]*crashRate
	machineCrashes map[MachineID]machineCrashes
	crashRatesAt   vocab.Instant
	workersKnown   bool                       // a full list of workers was received
	teamUsage      map[vocab.TeamID]Resources // demand of the assigned tasks
	planDue        bool                       // a placement pass is due
	plannedAt      vocab.Instant              // when the last placement pass ran
	grantsUsedAt   vocab.Instant              // when tasks were last started under grants
	heldUsage      map[vocab.TeamID]Resources // demand of the tasks that an earlier owner may have started
	finished       []*JobRecord               // kept until their retention has passed
	fleet          fleet
	demand         map[vocab.PoolID]poolDemand
	arrivals       map[vocab.PoolID]*arrivalRate
	poolsLoggedAt  vocab.Instant
	// evacuationsLoggedAt is the time when the state of the evacuations was last logged.
	evacuationsLoggedAt vocab.Instant
	door                *door
	estimates           *runTimeModel // run times of tasks
	stepTimes           *runTimeModel // run times of the longest task of a step
	// learnedQueues holds the queues of which something was learned since learnedWrittenAt.
	learnedQueues    map[vocab.QueueID]bool
	learnedWrittenAt vocab.Instant
	queueWork        *queueWork
	policy           lookaheadPolicy
	reservations     []*reservation
	// onTimeLackedAt is the time when a pool last lacked machines for work that can still be on time.
	onTimeLackedAt vocab.Instant
	// waitingPools holds the pools whose tasks with value wait as of the last placement pass.
	waitingPools map[vocab.PoolID]bool
	advisor      advisorCalls
	teamRates    map[vocab.TeamID]*tokenBucket
	// offeredAt is the time when the ownership was last offered, offers the number of
	// offers.
	offeredAt vocab.Instant
	offers    int
	// claimsRemovedAt is the time when claims were last removed from the
	// stream.
	claimsRemovedAt vocab.Instant
}

func newOwner(s *State, fence Fence) *owner {
	leaseSpan := s.earlierLeaseSpan()
	o := &owner{
		s: s, fence: fence, policy: defaultLookahead(),
		earlierLeaseSpan: leaseSpan, earlierNotesStrays: s.ledger.notesStrays,
		// A read takes about as long as an append where the store is slow.
		appendLatency: s.stream.readLatency,
		jobs:          map[ID]*activeJob{}, workers: map[WorkerID]*worker{}, workersByMachine: map[MachineID]*worker{}, presumedCrashes: map[MachineID]attributedCrash{}, crashRates: map[vocab.PoolID]*crashRate{}, machineCrashes: map[MachineID]machineCrashes{}, teamUsage: map[vocab.TeamID]Resources{}, heldUsage: map[vocab.TeamID]Resources{},
		demand: map[vocab.PoolID]poolDemand{}, arrivals: map[vocab.PoolID]*arrivalRate{}, estimates: newRunTimeModel(), stepTimes: newRunTimeModel(), learnedQueues: map[vocab.QueueID]bool{}, queueWork: newQueueWork(), door: newDoor(), advisor: advisorCalls{shares: map[vocab.QueueID]*advice.Share{}, pools: map[vocab.PoolID]poolGeneration{}}, teamRates: map[vocab.TeamID]*tokenBucket{},
		fleet: fleet{machines: map[MachineID]*machine{}, orderNotBefore: map[MachineID]vocab.Instant{}, unresolved: map[MachineID]unresolvedOrder{}, policy: poolplan.DefaultPolicy, shortages: map[vocab.PoolID]shortage{}},
	}
	o.awaitEarlierLeases(s.claim.heartbeatBeforeClaim)
	return o
}

// beginTakeover fences the stream against earlier owners.
func (o *owner) beginTakeover() { o.sendAppend(nil, nil) }

// inheritOrders notes the orders of earlier owners that may still be carried out, and blocks machines with a recent order of an earlier owner,
// because a minimum time must pass between the orders of two owners to one machine. An
// earlier owner that did not resign may still send its recorded orders until its
// authority to give orders has expired.
func (o *owner) inheritOrders() {
	previous := o.s.claim.previousOwner
	o.s.ledger.expireOrders(o.s.now, o.s.orderRetention())
	for id, order := range o.s.ledger.lastOrders {
		o.inheritUnresolved(id, order)
		if previous.Node == o.s.self.Node {
			continue
		}
		from := order.readAt
		if order.open && !previous.Resigned {
			from = from.Add(orderAuthority)
		}
		o.fleet.orderNotBefore[id] = from.Add(o.s.settings.MinOrderGap)
	}
}

// handleStreamRead processes a read of the stream.
func (o *owner) handleStreamRead(StreamRead) {
	o.readOffset = o.s.stream.nextOffset
	o.activateIfRead()
}

// activateIfRead completes the takeover if the stream is read up to the fencing append.
func (o *owner) activateIfRead() {
	if o.stage != stageReading || o.s.stream.nextOffset < o.readTo {
		return
	}
	o.stage, o.activeAt = stageActive, o.s.now
	if o.s.claim.lastHeartbeat > o.s.claim.heartbeatBeforeClaim {
		// The last owner renewed its ownership after the claim was sent, and may have
		// extended leases until now.
		o.awaitEarlierLeases(o.s.now)
	}
	o.inheritOrders()
	o.inheritLearned()
	o.inheritCrashRates()
	jobs := make([]*JobRecord, 0, len(o.s.ledger.Jobs))
	for _, job := range o.s.ledger.Jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *JobRecord) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, job := range jobs {
		if job.Phase.Finished() {
			o.finished = append(o.finished, job)
			o.resumeStopping(job)
			continue
		}
		o.jobChanged(job)
	}
	o.removeClaims()
	o.s.logEvent(LogOwnershipTakenOver, "fence", o.fence, "jobs", len(o.jobs), "offset", o.s.stream.nextOffset,
		"unresolved_orders", len(o.fleet.unresolved))
	o.planDue = true
	o.followWorkers()
}

// removeClaims removes all claims and expired records of orders that this node has read from
// the stream. None of the claims can take effect any more, and the owner record written in
// the same append keeps the fence.
func (o *owner) removeClaims() {
	o.claimsRemovedAt = o.s.now
	o.removeStaleSilence()
	keys := o.s.ledger.expiredOrderRecords(o.s.now, o.s.orderRetention())
	o.s.ledger.expireOrders(o.s.now, o.s.orderRetention())
	for key := range o.s.ledger.claims {
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	o.extraRecords = append(o.extraRecords, encodeOwner(o.ownerRecord()))
	for _, key := range keys {
		o.extraRecords = append(o.extraRecords, Record{Key: key})
	}
}

// wrote reports whether a record that was read was written by this owner.
func (o *owner) wrote(r Record) bool {
	return o.stage == stageActive && (strings.HasPrefix(r.Key, progressPrefix) || o.wroteLast(r))
}

// worker returns the worker with an ID, and adds it if it is unknown.
func (o *owner) worker(id WorkerID) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{info: WorkerInfo{ID: id}, fence: o.highestFence(), leaseUntil: o.earlierLeasesUntil, strayUntil: o.s.ledger.strayUntil[id]}
		o.inheritSilence(w)
		o.workers[id] = w
		at, _ := slices.BinarySearch(o.workerIDs, id)
		o.workerIDs = slices.Insert(o.workerIDs, at, id)
	}
	return w
}

func (o *owner) handle(ev event.Event) {
	if o.stage != stageActive {
		return
	}
	switch e := ev.(type) {
	case WorkersListed:
		o.handleWorkersListed(e)
	case Polled:
		if e.Fence >= o.fence {
			o.handlePolled(e)
		}
	case StartAnswered:
		if e.Fence >= o.fence {
			o.handleStartAnswered(e)
		}
	case StopAnswered:
		o.handleStopAnswered(e)
	case HandoverPrepared:
		o.handleHandoverPrepared(e)
	default:
		o.handleFleet(ev)
	}
}

func (o *owner) tick() {
	o.repeatAppend()
	o.answerOverdueCalls()
	if o.stage != stageActive {
		return
	}
	o.updateOccurrences()
	o.offerIfAppendsFail()
	o.checkHealth()
	o.writeLearnedIfDue()
	o.observeCrashRates()
	o.checkWorkers()
	o.logPools()
	o.logEvacuations()
	if o.s.now.Sub(o.claimsRemovedAt) > claimRemovalInterval {
		o.removeClaims()
	}
	o.tickFleet()
	if o.s.now.Sub(o.plannedAt) > planInterval {
		o.planDue = true
	}
}

// finishStep completes a step: it runs a placement pass if one is due, and sends an
// append if there are pending writes or the ownership must be renewed.
func (o *owner) finishStep() {
	if o.s.owner != o || o.stage != stageActive || o.awaitsWorkers() {
		return
	}
	if o.pendingAppend == nil {
		o.takeBatch()
	}
	o.startGranted()
	if o.planDue && o.pendingAppend == nil && o.workersKnown && o.mayStart() {
		o.planDue, o.plannedAt = false, o.s.now
		o.plan()
	}
	if o.pendingAppend != nil {
		return
	}
	o.resignIfPrepared()
	if o.renewDue {
		o.renewDue = false
		o.extraRecords = append(o.extraRecords, encodeOwner(o.ownerRecord()))
	}
	if o.hasPendingWrites() {
		o.flush()
		return
	}
	if o.s.now.Add(orderAuthority-ownerRenewInterval) > o.ordersUntil {
		o.renew()
	}
}

// mayOrder reports whether the owner may give orders.
func (o *owner) mayOrder() bool { return o.s.now < o.ordersUntil && !o.resigned }

// renew renews the ownership. Nothing else may be written for a while, so that the append takes the record of the
// orders along.
func (o *owner) renew() {
	records := []Record{encodeOwner(o.ownerRecord())}
	if o.orderLog.changed {
		records = append(records, o.orderLogRecord()...)
	}
	o.sendAppend(records, nil)
}

// ownerRecord returns the record that renews the ownership.
func (o *owner) ownerRecord() ownerRecord {
	return ownerRecord{
		Node: o.s.self.Node, Incarnation: o.s.self.Incarnation, Fence: o.fence, LeaseMS: o.longestLease().Milliseconds() + 1,
		StrayMS: o.strayRecord(), NotesStrays: true, CrashRates: o.crashRateRecord(),
	}
}

// handleStopping prepares for the end of the process; an owner resigns.
func (s *State) handleStopping() {
	s.stopping = true
	if s.owner != nil {
		s.owner.resign()
	}
}
