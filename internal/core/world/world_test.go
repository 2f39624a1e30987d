package world

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

// world is everything that surrounds the nodes, and the truth about it.
type world struct {
	fail  func(format string, args ...any)
	rng   *rand.Rand
	now   time.Duration // since the start of the world
	queue agenda
	seq   uint64

	fleet   spec.Fleet // the newest that was published
	log     fakeLog
	vms     fakeVMs
	net     network
	nodes   []*entryNode // living and dead processes, in the order of their starts
	calls   []*call      // all requests
	trouble bool         // random small faults: loss, duplicates, long delays
	lastInc vocab.Incarnation
	// notices holds what the nodes told since the last look.
	notices    []notice
	dispatched int
	// keys holds the newest key of each team, teams the team of each key.
	keys  map[vocab.TeamID]vocab.KeyID
	teams map[vocab.KeyID]vocab.TeamID
	given map[vocab.TeamID]int
	// most is the most that ever ran of each team.
	most map[vocab.TeamID]int
	// rates holds the mean arrivals a second of each queue.
	rates map[vocab.QueueID]float64
}

// notice is one numbered event of a node.
type notice struct {
	at   time.Duration
	node vocab.NodeID
	text string
}

// happening is something that the world will do.
type happening struct {
	at  time.Duration
	seq uint64
	do  func()
}

// agenda orders what will happen by time, then by when it was planned.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// newWorld returns a world with a published configuration, a key for each team,
// all VMs of the pools and no node.
func newWorld(fail func(string, ...any), seed uint64, fleet spec.Fleet) *world {
	w := &world{fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), log: newFakeLog()}
	w.given = map[vocab.TeamID]int{}
	w.most, w.rates = map[vocab.TeamID]int{}, map[vocab.QueueID]float64{}
	w.net.cut = map[[2]vocab.NodeID]bool{}
	w.keys, w.teams = map[vocab.TeamID]vocab.KeyID{}, map[vocab.KeyID]vocab.TeamID{}
	w.vms = newFakeVMs(w, &fleet)
	w.publish(0, fleet)
	for _, t := range fleet.Teams {
		w.giveKey(t.Name)
	}
	return w
}

func secretOf(key vocab.KeyID) []byte { return []byte("hash of " + key) }

// after plans something.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, happening{at: w.now + d, seq: w.seq, do: do})
}

// run lets d pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		h := heap.Pop(&w.queue).(happening)
		w.now = h.at
		h.do()
	}
	w.now = end
}

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// unix is the wall clock.
func (w *world) unix() int64 { return 1_700_000_000 + int64(w.now/time.Second) }

// publish appends a configuration on a base.
func (w *world) publish(base vocab.Revision, fleet spec.Fleet) {
	w.operatorAppend(record.ConfigPublished{Base: base, Operator: "operator", Fleet: fleet})
	if rev := w.log.truth.Revision; rev == vocab.Revision(w.log.end()-1) {
		w.fleet = fleet
	}
}

// operatorAppend appends a record of an operator, which the log takes at once.
func (w *world) operatorAppend(body record.Body) {
	w.seq++
	w.log.take(w, encode(w, vocab.RecordID(fmt.Sprint("operator-", w.seq)), body))
}

func encode(w *world, id vocab.RecordID, body record.Body) record.Envelope {
	envelope, err := record.Encode(id, body)
	if err != nil {
		w.fail("encoding: %v", err)
	}
	return envelope
}

// fakeLog is one stream, and what folding all of it gives.
type fakeLog struct {
	records     []record.Sequenced
	earliest    vocab.Offset
	down        bool
	loseAnswers int
	truth       *shared.State
	digests     map[vocab.Offset]string
	// configs holds, by offset, the configurations that came into force.
	configs map[vocab.Offset]*spec.Fleet
}

func newFakeLog() fakeLog {
	return fakeLog{earliest: 1, truth: shared.New(), digests: map[vocab.Offset]string{}, configs: map[vocab.Offset]*spec.Fleet{}}
}

// end is the offset of the next record.
func (l *fakeLog) end() vocab.Offset { return l.earliest + vocab.Offset(len(l.records)) }

// take adds a record and folds it into the truth.
func (l *fakeLog) take(w *world, envelope record.Envelope) {
	rec := record.Sequenced{Offset: l.end(), Envelope: envelope}
	l.records = append(l.records, rec)
	change, err := l.truth.Apply(rec)
	if err != nil {
		w.fail("truth: %v", err)
	}
	l.digests[rec.Offset] = l.truth.Digest()
	if change.ConfigChanged {
		l.configs[rec.Offset] = l.truth.Fleet
	}
}

// append is the service's call. It reports whether the caller got an answer.
func (l *fakeLog) append(w *world, envelopes []record.Envelope) bool {
	if l.down {
		return false
	}
	for _, e := range envelopes {
		l.take(w, e)
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return false
	}
	return true
}

// trim forgets all records but the last few, as retention does. It keeps the
// last snapshot and what follows it, since its owner wrote it in time.
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
