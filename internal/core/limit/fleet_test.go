package limit

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	testRun   = 10 * time.Second
	testLease = 5 * time.Second
	testGuard = time.Second
	testPool  = vocab.PoolID("pool")
)

var testAccounts = []Account{TeamAccount("team"), VMAccount("vm-1"), VMAccount("vm-2")}

// version is the state of the log after a record.
type version struct {
	members []Member
	totals  map[Account]vocab.Slots
	// run is the longest run limit.
	run time.Duration
}

// job is work that the upstream runs.
type job struct {
	account Account
	node    *node
	token   Token
	ends    time.Duration
	// seen says whether the node sees the end, or has to wait for the run limit.
	seen bool
}

// node is one process with its own clock.
type node struct {
	id      vocab.Incarnation
	state   *State
	offset  time.Duration
	rate    float64
	dead    bool
	paused  bool
	leaving bool
	removed bool
	// learned says that the VM list has shown the last VM.
	learned bool
	// ended is when all work that the node started or lent for has ended.
	ended  time.Duration
	tokens []Token // taken and not dispatched yet
	next   vocab.Offset
}

// packet is a message on its way.
type packet struct {
	to      vocab.Incarnation
	deliver func(*node)
}

// fleet is a fake log, a fake network and the truth of what runs upstream.
type fleet struct {
	r       *rapid.T
	now     time.Duration
	log     []version
	nodes   []*node
	packets []packet
	jobs    []*job
	logDown bool
	healed  bool
	// fixed means that the totals never change.
	fixed   bool
	started int
}

func (n *node) clock(now time.Duration) vocab.Instant {
	return vocab.Instant(float64(now)*n.rate) + vocab.Instant(n.offset)
}

func (f *fleet) last() version { return f.log[len(f.log)-1] }

func (f *fleet) appendVersion(change func(*version)) {
	v := version{totals: map[Account]vocab.Slots{}, run: f.last().run}
	for a, n := range f.last().totals {
		v.totals[a] = n
	}
	v.members = append(v.members, f.last().members...)
	change(&v)
	f.log = append(f.log, v)
}

// list returns the totals, without the last VM if the node has not seen it.
func (v version) list(n *node) []Total {
	var totals []Total
	for i, a := range testAccounts {
		if i == len(testAccounts)-1 && !n.learned {
			continue
		}
		t := Total{Account: a, Slots: v.totals[a]}
		if a.Kind == KindVM {
			t.Pool = testPool
		}
		totals = append(totals, t)
	}
	return totals
}

// start starts a process; it joins if the log is up.
func (f *fleet) start() {
	f.started++
	n := &node{
		id:     vocab.Incarnation(f.started),
		offset: time.Duration(rapid.IntRange(0, 1000).Draw(f.r, "clock")) * time.Hour,
		rate:   rapid.Float64Range(0.99, 1.01).Draw(f.r, "rate"),
	}
	n.state = New(Config{Self: n.id, Lease: testLease, Guard: testGuard})
	if rapid.Bool().Draw(f.r, "snapshot") && len(f.log) > 1 {
		n.learned = rapid.Bool().Draw(f.r, "learned")
		n.next = vocab.Offset(len(f.log) - 1)
		v := f.last()
		n.state.FoldSnapshot(n.clock(f.now), n.next, v.members, v.list(n), v.run)
	}
	f.nodes = append(f.nodes, n)
	if !f.logDown {
		f.appendVersion(func(v *version) { v.members = append(v.members, Member{Incarnation: n.id}) })
	}
}

func (f *fleet) remove(n *node, how Removal) {
	n.removed = true
	n.ended = f.now + testLease + 2*testRun
	at := vocab.Offset(len(f.log))
	f.appendVersion(func(v *version) {
		for i, m := range v.members {
			if m.Incarnation == n.id {
				v.members[i] = Member{Incarnation: n.id, Removal: how, RemovedAt: at}
			}
		}
	})
}

// fold reads one record.
func (f *fleet) fold(n *node) {
	if f.logDown || int(n.next)+1 >= len(f.log) {
		return
	}
	n.next++
	v, before := f.log[n.next], f.log[n.next-1]
	if fmt.Sprint(v.members) != fmt.Sprint(before.members) {
		n.state.FoldMembers(n.clock(f.now), n.next, v.members)
	} else {
		n.state.FoldTotals(n.clock(f.now), n.next, v.list(n), v.run)
	}
}

// learn shows a node the whole VM list.
func (f *fleet) learn(n *node) {
	n.learned = true
	n.state.FoldTotals(n.clock(f.now), n.next, f.log[n.next].list(n), f.log[n.next].run)
}

func (f *fleet) send(to vocab.Incarnation, deliver func(*node)) {
	f.packets = append(f.packets, packet{to: to, deliver: deliver})
	if !f.healed && rapid.IntRange(0, 9).Draw(f.r, "duplicate") == 0 {
		f.packets = append(f.packets, packet{to: to, deliver: deliver})
	}
}

// perform carries out effects over the fake network.
func (f *fleet) perform(effects []event.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendAsk:
			f.send(e.Ask.To, func(n *node) {
				answer := n.state.OnAsk(n.clock(f.now), e.Ask)
				f.send(e.Ask.From, func(b *node) { f.perform(b.state.OnAnswer(b.clock(f.now), answer)) })
			})
		case SendReturn:
			f.send(e.Return.To, func(n *node) { n.state.OnReturn(n.clock(f.now), e.Return) })
		}
	}
}

func (f *fleet) gossip(n *node) {
	d := n.state.Snapshot()
	for _, other := range f.nodes {
		if other != n {
			f.send(other.id, func(o *node) { o.state.OnSettled(o.clock(f.now), n.id, d.Settled, d.Confirmed) })
		}
	}
}

// deliver hands over or loses one packet, not always the oldest.
func (f *fleet) deliver(lose bool) {
	if len(f.packets) == 0 {
		return
	}
	i := 0
	if !f.healed {
		i = rapid.IntRange(0, len(f.packets)-1).Draw(f.r, "packet")
	}
	p := f.packets[i]
	f.packets = append(f.packets[:i:i], f.packets[i+1:]...)
	for _, n := range f.nodes {
		if n.id == p.to && !n.dead && !n.paused && !lose {
			p.deliver(n)
		}
	}
}

// fail tells a node that one of its asks got no answer, whether or not it will.
func (f *fleet) fail(n *node) {
	for seq := n.state.borrower.lastSeq; seq > 0; seq-- {
		if _, ok := n.state.borrower.asks[seq]; ok {
			f.perform(n.state.OnAskFailed(n.clock(f.now), seq))
			return
		}
	}
}

func (f *fleet) tick(n *node) {
	var ids []vocab.Incarnation
	for _, o := range f.nodes {
		if !f.healed || !o.dead {
			ids = append(ids, o.id)
		}
	}
	n.state.SetReachable(ids)
	f.perform(n.state.Tick(n.clock(f.now)))
}

// dispatch starts work on the oldest token that was taken.
func (f *fleet) dispatch(n *node) {
	if len(n.tokens) == 0 {
		return
	}
	t := n.tokens[0]
	n.tokens = n.tokens[1:]
	if !n.state.Valid(n.clock(f.now), t) {
		n.state.Release(n.clock(f.now), t)
		return
	}
	runs := time.Duration(rapid.IntRange(0, int(n.state.longestRun/time.Second)).Draw(f.r, "runs")) * time.Second
	f.begin(n, t, runs)
}

func (f *fleet) begin(n *node, t Token, runs time.Duration) {
	f.jobs = append(f.jobs, &job{account: t.Account, node: n, token: t, ends: f.now + runs, seen: rapid.Bool().Draw(f.r, "seen")})
	if !f.jobs[len(f.jobs)-1].seen {
		n.state.ReleaseAt(t, n.clock(f.now).Add(n.state.longestRun+testGuard))
	}
}

// pass lets time go by and ends work whose time has come.
func (f *fleet) pass(d time.Duration) {
	f.now += d
	var left []*job
	for _, j := range f.jobs {
		if j.ends > f.now {
			left = append(left, j)
		} else if j.seen && !j.node.paused {
			j.node.state.Release(j.node.clock(f.now), j.token)
		} else if j.seen {
			j.node.state.ReleaseAt(j.token, j.node.clock(f.now))
		}
	}
	f.jobs = left
}

// check fails if more runs upstream than the highest total that some node may
// still be drawing down to, or if a borrower holds more than its giver lent.
func (f *fleet) check() {
	from := vocab.Offset(len(f.log) - 1)
	for _, n := range f.nodes {
		if !n.removed || f.now <= n.ended {
			from = min(from, n.state.Snapshot().Settled)
		}
	}
	running := map[Account]vocab.Slots{}
	for _, j := range f.jobs {
		running[j.account]++
	}
	for _, a := range testAccounts {
		var bound vocab.Slots
		for _, v := range f.log[from:] {
			bound = max(bound, v.totals[a])
		}
		if running[a] > bound {
			f.r.Fatalf("%d of %v run, the total is %d", running[a], a, bound)
		}
	}
	for _, n := range f.nodes {
		f.checkLoans(n)
	}
}

func (f *fleet) checkLoans(n *node) {
	for key, l := range n.state.borrower.loans {
		giver := f.nodes[key.giver-1]
		if n.dead || giver.dead || !n.clock(f.now).Before(l.lapse) {
			continue
		}
		g, ok := giver.state.giver.loans[key.id]
		if !ok || g.slots < l.slots {
			f.r.Fatalf("node %d holds %d of loan %v, lent are %+v", n.id, l.slots, key, g)
		}
	}
}
