package job

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ownerStage is how far a new owner has come.
type ownerStage int

const (
	// stageFencing: the stream is told of the new fence, so that no append of
	// an earlier owner can follow.
	stageFencing ownerStage = iota
	// stageReading: what was written up to the fence is read.
	stageReading
	// stageActive: the owner decides.
	stageActive
)

// owner is the state of the node that gives orders to the workers. All of it
// that must outlast the node is on the job stream before an order leaves.
type owner struct {
	s     *State
	fence Fence
	stage ownerStage
	// readTo is the offset that must be read before the owner acts.
	readTo int64
	seq    uint64
	// sent is the append under way, took the time of the last one that succeeded.
	sent *ownAppend
	took time.Duration
	// dirty lists the jobs whose state is not on the stream.
	dirty []*activeJob
	// marks counts how often a job was marked as changed.
	marks uint64
	extra []Record
	// after is what is to be done once changes are on the stream, in their order.
	after []afterAppend
	// ordersUntil ends the right to start runs, leasesUntil that to extend
	// leases. Both move on with each append that was carried out.
	ordersUntil, leasesUntil vocab.Instant
	// leaseBound is when a lease granted by an earlier owner has passed.
	leaseBound vocab.Instant
	activeAt   vocab.Instant
	// resigned is set once the owner hands over: it gives no orders any more.
	resigned bool
	// waiting holds the orders to machines that leave once the stream names them.
	waiting []*machine

	works      map[ID]*activeJob
	order      []*activeJob // in order of arrival
	workers    map[WorkerID]*worker
	ids        []WorkerID // keys of workers, sorted
	listed     bool
	usage      map[vocab.TeamID]Resources
	planDue    bool
	planned    vocab.Instant
	ended      []*Entry
	fleet      fleet
	demand     map[vocab.PoolID]poolDemand
	arriving   map[vocab.PoolID]*arrivalRate
	poolsNoted vocab.Instant
	estimates  *runTimeModel
	advising   bool
	rates      map[vocab.TeamID]*tokenBucket
	// offeredAt is when the ownership was last offered, offers how often.
	offeredAt vocab.Instant
	offers    int
	// claimsDropped is when decided claims were last taken off the stream.
	claimsDropped vocab.Instant
}

// ownAppend is an append of the owner. It is repeated under the same number
// until its outcome is known.
type ownAppend struct {
	id      uint64
	records []Record
	after   []func()
	retryAt vocab.Instant
	// attempts counts those that have no answer yet; the last one left at sentAt.
	attempts int
	sentAt   vocab.Instant
	// firstAt is when the first attempt left.
	firstAt vocab.Instant
}

func newOwner(s *State, fence Fence) *owner {
	return &owner{
		s: s, fence: fence,
		works: map[ID]*activeJob{}, workers: map[WorkerID]*worker{}, usage: map[vocab.TeamID]Resources{},
		demand: map[vocab.PoolID]poolDemand{}, arriving: map[vocab.PoolID]*arrivalRate{}, estimates: newRunTimeModel(), rates: map[vocab.TeamID]*tokenBucket{},
		fleet: fleet{machines: map[MachineID]*machine{}, orderNotBefore: map[MachineID]vocab.Instant{}},
	}
}

// begin fences the stream against earlier owners.
func (o *owner) begin() {
	o.leaseBound = o.s.claim.lastSign.Add(ownerLeaseHold + o.s.leaseSpan())
	o.send(nil, nil)
}

// leaveOrdered has the machines wait that an earlier owner ordered lately: the
// orders of two owners to one machine must lie apart. One that did not resign may
// give the orders that it wrote down for as long as it holds on to the ownership.
func (o *owner) leaveOrdered() {
	before := o.s.claim.before
	if before.Node == o.s.self.Node {
		return
	}
	for _, m := range o.s.ledger.ordered {
		from := o.s.ledger.orderedAt.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		if m.Open && !before.Resigned {
			from = o.s.now.Add(ownerHold)
		}
		o.fleet.orderNotBefore[m.Machine] = from.Add(o.s.set.OrderGap)
	}
}

// lease is the lease that is asked for.
func (s *State) lease() time.Duration { return min(s.set.LeaseMost, leaseWanted) }

// leaseSpan is how long after the last order a lease may last, by this node's
// clock.
func (s *State) leaseSpan() time.Duration {
	return time.Duration(float64(s.lease())*clockDrift) + leaseGuard
}

// send appends records under the owner's fence.
func (o *owner) send(records []Record, after []func()) {
	o.sent = &ownAppend{id: o.s.nextAppend(), records: records, after: after, firstAt: o.s.now}
	o.emitAppend()
}

func (o *owner) emitAppend() {
	o.sent.retryAt, o.sent.sentAt = 0, o.s.now
	o.sent.attempts++
	o.s.emit(Append{ID: o.sent.id, Records: o.sent.records, At: -1, Fence: o.fence, Seq: o.seq})
}

// appended takes the answer to the owner's append.
func (o *owner) appended(e Appended) {
	if o.sent == nil || e.ID != o.sent.id {
		return
	}
	switch e.Outcome {
	case OK:
		o.appendDone(e)
	case Fenced:
		o.s.loseOwnership("the stream has seen a later owner")
	default:
		o.sent.attempts--
		o.sent.retryAt = o.s.now.Add(retryPause)
	}
}

// repeatAppend sends the append under way once more, after a failure or if its
// answer is overdue. The stream takes it once, by its number, so that a lost answer
// does not hold the owner up until the call times out.
func (o *owner) repeatAppend() {
	if o.sent == nil || o.sent.attempts >= mostAttempts {
		return
	}
	overdue := o.s.now.Sub(o.sent.sentAt) > max(repeatAppendAfter, repeatPerAppend*o.took)
	if o.sent.retryAt != 0 && o.s.now >= o.sent.retryAt || overdue {
		o.emitAppend()
	}
}

func (o *owner) appendDone(e Appended) {
	sent := o.sent
	o.sent, o.took = nil, o.s.now.Sub(e.SentAt)
	o.seq++
	o.ordersUntil = max(o.ordersUntil, e.SentAt.Add(ownerHold))
	o.leasesUntil = max(o.leasesUntil, e.SentAt.Add(ownerLeaseHold))
	if o.stage == stageFencing {
		o.stage, o.readTo = stageReading, e.End
		o.s.readSoon()
		o.takeOverIfRead()
		return
	}
	for _, do := range sent.after {
		if o.s.owner != o {
			return
		}
		do()
	}
}

// streamRead goes on once everything before the fence was read.
func (o *owner) streamRead(StreamRead) { o.takeOverIfRead() }

func (o *owner) takeOverIfRead() {
	if o.stage != stageReading || o.s.stream.next < o.readTo {
		return
	}
	o.stage, o.activeAt = stageActive, o.s.now
	if o.s.claim.signAt > o.s.claim.lastSign {
		// The last owner wrote once more after the claim was sent, and may have
		// extended leases as late as that.
		o.leaseBound = o.s.now.Add(ownerLeaseHold + o.s.leaseSpan())
	}
	o.leaveOrdered()
	entries := make([]*Entry, 0, len(o.s.ledger.Jobs))
	for _, e := range o.s.ledger.Jobs {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, e := range entries {
		if e.Phase.Ended() {
			o.ended = append(o.ended, e)
			continue
		}
		o.jobChanged(e)
	}
	o.dropClaims()
	o.s.note(NoteOwning, "fence", o.fence, "jobs", len(o.works), "offset", o.s.stream.next)
	o.s.emit(FollowWorkers{On: true})
	o.planDue = true
}

// dropClaims takes the claims off the stream that are decided. The owner's own
// record, written with them, names the fence from then on.
func (o *owner) dropClaims() {
	o.claimsDropped = o.s.now
	keys := make([]string, 0, len(o.s.ledger.claims))
	for key := range o.s.ledger.claims {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	o.extra = append(o.extra, o.ownRecord(false))
	for _, key := range keys {
		o.extra = append(o.extra, Record{Key: key})
	}
}

// wrote reports whether a record that was read is the owner's own.
func (o *owner) wrote(r Record) bool {
	return o.stage == stageActive && strings.HasPrefix(r.Key, progressPrefix)
}

// worker returns the worker of an ID, known or not.
func (o *owner) worker(id WorkerID) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{info: WorkerInfo{ID: id}, leaseUntil: o.leaseBound}
		o.workers[id] = w
		at, _ := slices.BinarySearch(o.ids, id)
		o.ids = slices.Insert(o.ids, at, id)
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
		o.handlePolled(e)
	case StartAnswered:
		o.handleStartAnswered(e)
	case StopAnswered:
		o.handleStopAnswered(e)
	default:
		o.handleFleet(ev)
	}
}

func (o *owner) tick() {
	o.repeatAppend()
	if o.stage != stageActive {
		return
	}
	for _, w := range o.order {
		if w.dueOccurrences < w.totalOccurrences() && w.terminalPhase == 0 && w.addDueOccurrences(o.s.wall) {
			o.planDue = true
		}
	}
	o.offerIfCutOff()
	o.checkWorkers()
	o.logPools()
	if len(o.s.ledger.claims) > 0 && o.s.now.Sub(o.claimsDropped) > dropClaimsEvery {
		o.dropClaims()
	}
	o.tickFleet()
	if o.s.now.Sub(o.planned) > planEvery {
		o.planDue = true
	}
}

// settle ends a step: it plans if something changed, writes what changed and
// renews the ownership.
func (o *owner) settle() {
	if o.s.owner != o || o.stage != stageActive {
		return
	}
	if o.planDue && o.sent == nil && o.listed && o.mayOrder() {
		o.planDue, o.planned = false, o.s.now
		o.plan()
	}
	if o.sent != nil {
		return
	}
	if o.toWrite() {
		o.flush()
		return
	}
	if o.s.now.Add(ownerHold-ownerRenew) > o.ordersUntil {
		o.renew()
	}
}

// mayOrder reports whether the node may start runs.
func (o *owner) mayOrder() bool { return o.s.now < o.ordersUntil && !o.resigned }

func (o *owner) renew() { o.send([]Record{o.ownRecord(false)}, nil) }

// ownRecord is the owner's record as of now.
func (o *owner) ownRecord(resigned bool) Record {
	return encodeOwner(ownerRecord{
		Node: o.s.self.Node, Incarnation: o.s.self.Incarnation, Fence: o.fence, Resigned: resigned,
		Ordered: o.recentOrders(),
	})
}

// stop hands the ownership over at a planned stop.
func (s *State) stop() {
	s.stopping = true
	if s.owner != nil {
		s.owner.resign()
	}
}

// resign hands the ownership over, once all that changed is on the stream.
func (o *owner) resign() {
	if o.resigned {
		return
	}
	o.resigned = true
	o.s.note(NoteResigned, "fence", o.fence)
}
