package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// simulation is a simulated cluster: entry nodes, the fakes that they use, and the actual
// state that the checks compare the nodes with.
type simulation struct {
	fail    func(format string, args ...any)
	rng     *rand.Rand
	now     time.Duration // since the start of the simulation
	events  eventQueue
	lastSeq uint64

	fleet           spec.Fleet // the configuration in force
	log             fakeLog
	vms             fakeVMs
	net             network
	nodes           []*entryNode // running and ended processes, in the order of their starts
	requests        []*request   // in the order in which they were sent
	messageFaults   bool         // messages are randomly lost, duplicated or delayed for long
	lastIncarnation vocab.Incarnation
	// logEvents holds the log events of all nodes.
	logEvents     []logEvent
	dispatchCount int
	// keys holds the newest key of each team, teams the team of each key, keysIssued the
	// number of keys issued to each team.
	keys       map[vocab.TeamID]vocab.KeyID
	teams      map[vocab.KeyID]vocab.TeamID
	keysIssued map[vocab.TeamID]int
	// maxRunning holds the highest number of requests of each team that ran at once.
	maxRunning map[vocab.TeamID]int
	// arrivalRates holds the mean number of requests per second for each queue.
	arrivalRates map[vocab.QueueID]float64
}

// logEvent is a log event of a node.
type logEvent struct {
	at   time.Duration
	node vocab.NodeID
	text string
}

// scheduledEvent is an action of the simulation at a time.
type scheduledEvent struct {
	at     time.Duration
	seq    uint64
	action func()
}

// eventQueue is a heap of scheduled events, ordered by time and then by the order of
// scheduling.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation returns a simulation with a published configuration, a key for each team,
// all VMs of the pools and no node.
func newSimulation(fail func(string, ...any), seed uint64, fleet spec.Fleet) *simulation {
	sim := &simulation{fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), log: newFakeLog()}
	sim.keysIssued = map[vocab.TeamID]int{}
	sim.maxRunning, sim.arrivalRates = map[vocab.TeamID]int{}, map[vocab.QueueID]float64{}
	sim.net.partitioned = map[[2]vocab.NodeID]bool{}
	sim.keys, sim.teams = map[vocab.TeamID]vocab.KeyID{}, map[vocab.KeyID]vocab.TeamID{}
	sim.vms = newFakeVMs(sim, &fleet)
	sim.publish(0, fleet)
	for _, t := range fleet.Teams {
		sim.issueKey(t.Name)
	}
	return sim
}

func secretHash(key vocab.KeyID) []byte { return []byte("hash of " + key) }

// schedule schedules an action after a delay.
func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.lastSeq++
	heap.Push(&sim.events, scheduledEvent{at: sim.now + delay, seq: sim.lastSeq, action: action})
}

// advance runs the scheduled events of the next d and advances the time by d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.action()
	}
	sim.now = end
}

// randomDuration returns a random duration from low to high, both included.
func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

// chance reports true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// unixTime returns the wall clock in seconds since the Unix epoch.
func (sim *simulation) unixTime() int64 { return 1_700_000_000 + int64(sim.now/time.Second) }

// publish appends a configuration that is based on a revision. If that is the revision in
// force, the configuration comes into force.
func (sim *simulation) publish(base vocab.Revision, fleet spec.Fleet) {
	sim.operatorAppend(record.ConfigPublished{Base: base, Operator: "operator", Fleet: fleet})
	if rev := sim.log.state.Revision; rev == vocab.Revision(sim.log.endOffset()-1) {
		sim.fleet = fleet
	}
}

// operatorAppend appends a record of an operator to the log immediately.
func (sim *simulation) operatorAppend(body record.Body) {
	sim.lastSeq++
	sim.log.add(sim, encode(sim, vocab.RecordID(fmt.Sprint("operator-", sim.lastSeq)), body))
}

func encode(sim *simulation, id vocab.RecordID, body record.Body) record.Envelope {
	envelope, err := record.Encode(id, body)
	if err != nil {
		sim.fail("encoding a record: %v", err)
	}
	return envelope
}

// fakeLog is a stream, and the state that results from folding all of its records.
type fakeLog struct {
	records       []record.Sequenced
	earliest      vocab.Offset
	down          bool
	answersToLose int // number of appends to carry out without an answer
	state         *shared.State
	// digests holds the digest of the state after the record at each offset.
	digests map[vocab.Offset]string
	// configsInForce holds the configurations that came into force, by offset.
	configsInForce map[vocab.Offset]*spec.Fleet
}

func newFakeLog() fakeLog {
	return fakeLog{earliest: 1, state: shared.New(), digests: map[vocab.Offset]string{}, configsInForce: map[vocab.Offset]*spec.Fleet{}}
}

// endOffset is the offset of the next record.
func (l *fakeLog) endOffset() vocab.Offset { return l.earliest + vocab.Offset(len(l.records)) }

// add adds a record and folds it into the state.
func (l *fakeLog) add(sim *simulation, envelope record.Envelope) {
	rec := record.Sequenced{Offset: l.endOffset(), Envelope: envelope}
	l.records = append(l.records, rec)
	change, err := l.state.Apply(rec)
	if err != nil {
		sim.fail("folding a record: %v", err)
	}
	l.digests[rec.Offset] = l.state.Digest()
	if change.ConfigChanged {
		l.configsInForce[rec.Offset] = l.state.Fleet
	}
}

// append is the append call of the log service. It reports whether the caller gets an
// answer.
func (l *fakeLog) append(sim *simulation, envelopes []record.Envelope) bool {
	if l.down {
		return false
	}
	for _, e := range envelopes {
		l.add(sim, e)
	}
	if l.answersToLose > 0 {
		l.answersToLose--
		return false
	}
	return true
}

// trim removes old records as the log's retention does. It keeps the last snapshot and
// the records after it, since its writer takes it before the retention removes the records
// that it covers.
func (l *fakeLog) trim() {
	for i := len(l.records) - 1; i >= 0; i-- {
		body, _ := record.Decode(l.records[i].Envelope)
		snap, ok := body.(record.SnapshotTaken)
		if !ok || snap.Offset < l.earliest {
			continue
		}
		cut := int(snap.Offset + 1 - l.earliest)
		l.records = l.records[cut:]
		l.earliest += vocab.Offset(cut)
		return
	}
}
