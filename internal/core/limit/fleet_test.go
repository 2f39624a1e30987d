package limit

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	testRunLimit = 10 * time.Second
	testLease    = 5 * time.Second
	testGuard    = time.Second
	testPool     = vocab.PoolID("pool")
)

var testAccounts = []Account{TeamAccount("team"), VMAccount("vm-1"), VMAccount("vm-2")}

// logVersion is the state of the log after a record.
type logVersion struct {
	members []Member
	totals  map[Account]vocab.Slots
	// maxRunLimit is the longest run limit.
	maxRunLimit time.Duration
}

// upstreamRun is work that runs on an upstream.
type upstreamRun struct {
	account Account
	node    *node
	token   Token
	endsAt  time.Duration
	// endSeen is set if the node sees the end; otherwise it waits for the run
	// limit.
	endSeen bool
}

// node is one process with its own clock.
type node struct {
	id          vocab.Incarnation
	state       *State
	clockOffset time.Duration
	clockRate   float64
	dead        bool
	paused      bool
	leaving     bool
	removed     bool
	// vmListComplete is set once the node's VM list includes the last VM.
	vmListComplete bool
	// workEndsAt is the time when all work that the node started or lent for
	// has ended.
	workEndsAt   time.Duration
	undispatched []Token // taken, but the work has not started
	folded       vocab.Offset
}

// message is a message in transit.
type message struct {
	to      vocab.Incarnation
	deliver func(*node)
}

// fleet simulates a fleet of nodes with the log and the network, and records
// what really runs upstream.
type fleet struct {
	r             *rapid.T
	now           time.Duration
	log           []logVersion
	nodes         []*node
	messages      []message
	running       []*upstreamRun
	logDown       bool
	faultsCleared bool
	// fixedTotals means that the totals never change.
	fixedTotals  bool
	startedNodes int
}

func (n *node) localTime(now time.Duration) vocab.Instant {
	return vocab.Instant(float64(now)*n.clockRate) + vocab.Instant(n.clockOffset)
}

func (f *fleet) latest() logVersion { return f.log[len(f.log)-1] }

func (f *fleet) appendVersion(change func(*logVersion)) {
	v := logVersion{totals: map[Account]vocab.Slots{}, maxRunLimit: f.latest().maxRunLimit}
	for a, n := range f.latest().totals {
		v.totals[a] = n
	}
	v.members = append(v.members, f.latest().members...)
	change(&v)
	f.log = append(f.log, v)
}

// totalsFor returns the totals that the node knows, without the last VM if its
// VM list is incomplete.
func (v logVersion) totalsFor(n *node) []Total {
	var totals []Total
	for i, a := range testAccounts {
		if i == len(testAccounts)-1 && !n.vmListComplete {
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

// startNode starts a process; it joins the fleet if the log is up.
func (f *fleet) startNode() {
	f.startedNodes++
	n := &node{
		id:          vocab.Incarnation(f.startedNodes),
		clockOffset: time.Duration(rapid.IntRange(0, 1000).Draw(f.r, "clock")) * time.Hour,
		clockRate:   rapid.Float64Range(0.99, 1.01).Draw(f.r, "rate"),
	}
	n.state = New(Config{Self: n.id, Lease: testLease, Guard: testGuard})
	if rapid.Bool().Draw(f.r, "snapshot") && len(f.log) > 1 {
		n.vmListComplete = rapid.Bool().Draw(f.r, "learned")
		n.folded = vocab.Offset(len(f.log) - 1)
		v := f.latest()
		n.state.InstallSnapshot(n.localTime(f.now), n.folded, v.members, v.totalsFor(n), v.maxRunLimit)
	}
	f.nodes = append(f.nodes, n)
	if !f.logDown {
		f.appendVersion(func(v *logVersion) { v.members = append(v.members, Member{Incarnation: n.id}) })
	}
}

// recordRemoval appends the removal of a member to the log.
func (f *fleet) recordRemoval(n *node, removal Removal) {
	n.removed = true
	n.workEndsAt = f.now + testLease + 2*testRunLimit
	at := vocab.Offset(len(f.log))
	f.appendVersion(func(v *logVersion) {
		for i, m := range v.members {
			if m.Incarnation == n.id {
				v.members[i] = Member{Incarnation: n.id, Removal: removal, RemovedAt: at}
			}
		}
	})
}

// foldNext makes a node fold its next record, if the log is up.
func (f *fleet) foldNext(n *node) {
	if f.logDown || int(n.folded)+1 >= len(f.log) {
		return
	}
	n.folded++
	v, previous := f.log[n.folded], f.log[n.folded-1]
	if fmt.Sprint(v.members) != fmt.Sprint(previous.members) {
		n.state.FoldMembers(n.localTime(f.now), n.folded, v.members)
	} else {
		n.state.FoldTotals(n.localTime(f.now), n.folded, v.totalsFor(n), v.maxRunLimit)
	}
}

// completeVMList gives a node the complete VM list.
func (f *fleet) completeVMList(n *node) {
	n.vmListComplete = true
	n.state.FoldTotals(n.localTime(f.now), n.folded, f.log[n.folded].totalsFor(n), f.log[n.folded].maxRunLimit)
}

func (f *fleet) send(to vocab.Incarnation, deliver func(*node)) {
	f.messages = append(f.messages, message{to: to, deliver: deliver})
	if !f.faultsCleared && rapid.IntRange(0, 9).Draw(f.r, "duplicate") == 0 {
		f.messages = append(f.messages, message{to: to, deliver: deliver})
	}
}

// sendMessages sends the messages of a node's effects over the simulated
// network.
func (f *fleet) sendMessages(effects []event.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendLoanRequest:
			f.send(e.Request.To, func(n *node) {
				reply := n.state.OnLoanRequest(n.localTime(f.now), e.Request)
				f.send(e.Request.From, func(b *node) { f.sendMessages(b.state.OnLoanReply(b.localTime(f.now), reply)) })
			})
		case SendLoanReturn:
			f.send(e.Return.To, func(n *node) { n.state.OnLoanReturn(n.localTime(f.now), e.Return) })
		}
	}
}

func (f *fleet) gossip(n *node) {
	d := n.state.Dump()
	for _, other := range f.nodes {
		if other != n {
			f.send(other.id, func(o *node) { o.state.OnSettled(o.localTime(f.now), n.id, d.Settled, d.Confirmed) })
		}
	}
}

// deliverOne delivers or drops one message, not always the oldest.
func (f *fleet) deliverOne(drop bool) {
	if len(f.messages) == 0 {
		return
	}
	i := 0
	if !f.faultsCleared {
		i = rapid.IntRange(0, len(f.messages)-1).Draw(f.r, "packet")
	}
	m := f.messages[i]
	f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
	for _, n := range f.nodes {
		if n.id == m.to && !n.dead && !n.paused && !drop {
			m.deliver(n)
		}
	}
}

// failRequest reports the node's latest pending loan request as failed, although
// a reply may still arrive.
func (f *fleet) failRequest(n *node) {
	for seq := n.state.borrower.lastSeq; seq > 0; seq-- {
		if _, ok := n.state.borrower.pending[seq]; ok {
			f.sendMessages(n.state.OnLoanRequestFailed(n.localTime(f.now), seq))
			return
		}
	}
}

func (f *fleet) tick(n *node) {
	var ids []vocab.Incarnation
	for _, o := range f.nodes {
		if !f.faultsCleared || !o.dead {
			ids = append(ids, o.id)
		}
	}
	n.state.SetReachable(ids)
	f.sendMessages(n.state.Tick(n.localTime(f.now)))
}

// dispatch starts work on the oldest token without work, or releases it if it is
// no longer valid.
func (f *fleet) dispatch(n *node) {
	if len(n.undispatched) == 0 {
		return
	}
	t := n.undispatched[0]
	n.undispatched = n.undispatched[1:]
	if !n.state.Valid(n.localTime(f.now), t) {
		n.state.Release(n.localTime(f.now), t)
		return
	}
	duration := time.Duration(rapid.IntRange(0, int(n.state.maxRunLimit/time.Second)).Draw(f.r, "runs")) * time.Second
	f.startWork(n, t, duration)
}

func (f *fleet) startWork(n *node, t Token, duration time.Duration) {
	f.running = append(f.running, &upstreamRun{account: t.Account, node: n, token: t, endsAt: f.now + duration, endSeen: rapid.Bool().Draw(f.r, "seen")})
	if !f.running[len(f.running)-1].endSeen {
		n.state.ReleaseAt(t, n.localTime(f.now).Add(n.state.maxRunLimit+testGuard))
	}
}

// advance advances the time and ends the work that is due.
func (f *fleet) advance(d time.Duration) {
	f.now += d
	var unfinished []*upstreamRun
	for _, run := range f.running {
		if run.endsAt > f.now {
			unfinished = append(unfinished, run)
		} else if run.endSeen && !run.node.paused {
			run.node.state.Release(run.node.localTime(f.now), run.token)
		} else if run.endSeen {
			run.node.state.ReleaseAt(run.token, run.node.localTime(f.now))
		}
	}
	f.running = unfinished
}

// checkInvariants fails if more runs upstream than the highest total since the
// lowest settled offset of any node that may have work running, or if a borrower
// holds more than its lender lent.
func (f *fleet) checkInvariants() {
	from := vocab.Offset(len(f.log) - 1)
	for _, n := range f.nodes {
		if !n.removed || f.now <= n.workEndsAt {
			from = min(from, n.state.Dump().Settled)
		}
	}
	running := map[Account]vocab.Slots{}
	for _, run := range f.running {
		running[run.account]++
	}
	for _, a := range testAccounts {
		var bound vocab.Slots
		for _, v := range f.log[from:] {
			bound = max(bound, v.totals[a])
		}
		if running[a] > bound {
			f.r.Fatalf("%d of %v are running, the total is %d", running[a], a, bound)
		}
	}
	for _, n := range f.nodes {
		f.checkLoans(n)
	}
}

func (f *fleet) checkLoans(n *node) {
	for key, l := range n.state.borrower.loans {
		lenderNode := f.nodes[key.lender-1]
		if n.dead || lenderNode.dead || !n.localTime(f.now).Before(l.expiry) {
			continue
		}
		g, ok := lenderNode.state.lender.loans[key.id]
		if !ok || g.slots < l.slots {
			f.r.Fatalf("node %d holds %d tokens of loan %v, but the lender recorded %+v", n.id, l.slots, key, g)
		}
	}
}
