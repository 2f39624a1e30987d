package world

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	logPoll  = 50 * time.Millisecond
	listPoll = 200 * time.Millisecond
	mostRead = 20 // records in one read
)

// entryNode is one entry process: a reducer, the loop around it and its clock.
type entryNode struct {
	w           *world
	name        vocab.NodeID
	incarnation vocab.Incarnation
	zone        vocab.ZoneID
	state       *core.State
	clock       vocab.Instant // its clock when the world began
	dead        bool
	diedAt      time.Duration
	paused      bool
	stopping    bool
	// held is what waits for the end of a pause: first what the process was
	// about to do, then what came in.
	out, in []func()
	next    vocab.Offset
	blind   bool // its reads of the log hang
	appends []core.Append
	pumping bool
	calls   map[vocab.RequestID]*call
	last    vocab.RequestID
	rpcs    map[uint64]func(event.Effect)
	lastRPC uint64
	seen    knowledge
	self    core.Identity
	// history holds what the reducer took in, and did a digest of its effects.
	history []taken
	did     *xxhash.Digest
}

// taken is one step of a reducer.
type taken struct {
	at vocab.Instant
	ev event.Event
}

// GoString keeps the draws of a failed test readable.
func (n *entryNode) GoString() string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

func address(name vocab.NodeID) string { return "10.0.0.1:" + string(name) }

// start starts a process on a node. It replaces an earlier one of that name.
func (w *world) start(name vocab.NodeID, zone vocab.ZoneID) *entryNode {
	w.lastInc += vocab.Incarnation(1 + w.rng.IntN(1000))
	n := &entryNode{
		w: w, name: name, incarnation: w.lastInc, zone: zone, next: 1,
		clock: vocab.Instant(w.between(time.Hour, 1000*time.Hour)),
		calls: map[vocab.RequestID]*call{}, rpcs: map[uint64]func(event.Effect){}, seen: newKnowledge(), did: xxhash.New(),
	}
	var first []string
	for _, other := range w.nodes {
		if other.name != name {
			first = append(first, address(other.name))
		}
	}
	n.self = core.Identity{
		Node: name, Incarnation: n.incarnation, Zone: zone, Region: w.fleet.Regions[0].Name,
		PeerAddress: address(name), FirstPeers: first,
	}
	n.state = core.New(n.self)
	w.nodes = append(w.nodes, n)
	n.every(core.TickInterval, func() { n.step(core.Tick{Unix: w.unix()}) })
	n.every(logPoll, n.readLog)
	n.every(listPoll, n.readVMs)
	return n
}

// node returns the living process of a name.
func (w *world) node(name vocab.NodeID) *entryNode {
	for i := len(w.nodes) - 1; i >= 0; i-- {
		if w.nodes[i].name == name && !w.nodes[i].dead {
			return w.nodes[i]
		}
	}
	return nil
}

// every repeats something for as long as the process runs.
func (n *entryNode) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		if n.dead {
			return
		}
		if !n.paused {
			do()
		}
		n.w.after(d, again)
	}
	n.w.after(n.w.between(0, d), again)
}

func (n *entryNode) pause() { n.paused = true }

// resume ends a pause. What the process was about to do comes first.
func (n *entryNode) resume() {
	n.paused = false
	held := append(n.out, n.in...)
	n.out, n.in = nil, nil
	for _, do := range held {
		n.w.after(n.w.between(0, time.Millisecond), func() { n.receive(do) })
	}
}

func (n *entryNode) kill() {
	n.dead = true
	n.diedAt = n.w.now
	for _, c := range n.calls {
		c.orphaned = true
	}
}

// receive lets the process do something now, or after its pause.
func (n *entryNode) receive(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.in = append(n.in, do)
	default:
		do()
	}
}

// send carries out an effect a moment after it was decided. A pause may come
// in between; what was decided before is then done after it.
func (n *entryNode) send(do func()) {
	n.w.after(n.w.between(0, time.Millisecond), func() {
		switch {
		case n.dead:
		case n.paused:
			n.out = append(n.out, do)
		default:
			do()
		}
	})
}

func (n *entryNode) now() vocab.Instant { return n.clock.Add(n.w.now) }

// post brings an event to the process.
func (n *entryNode) post(ev event.Event) { n.receive(func() { n.step(ev) }) }

// step gives an event to the reducer, checks what it decides and carries it out.
func (n *entryNode) step(ev event.Event) {
	n.learn(ev)
	n.history = append(n.history, taken{at: n.now(), ev: ev})
	effects := append([]event.Effect(nil), n.state.Step(n.now(), ev)...)
	fmt.Fprintf(n.did, "%+v", effects)
	n.checkState()
	for _, e := range effects {
		n.checkEffect(e)
		n.carryOut(e)
	}
}

// checkReplay checks that a fresh reducer does the same in the same history.
func (n *entryNode) checkReplay() {
	state, did := core.New(n.self), xxhash.New()
	for _, t := range n.history {
		fmt.Fprintf(did, "%+v", append([]event.Effect(nil), state.Step(t.at, t.ev)...))
	}
	if did.Sum64() != n.did.Sum64() {
		n.w.fail("%s does not do the same again in the same history", n.name)
	}
}

func (n *entryNode) carryOut(effect event.Effect) {
	switch e := effect.(type) {
	case core.Dispatch:
		n.w.dispatched++
		n.calls[e.Request].decided = n.w.now
		n.send(func() { n.dispatch(e) })
	case core.RespondProblem:
		n.answer(n.calls[e.Request], e.Problem.Outcome, string(e.Problem.Code))
	case core.Append:
		n.appends = append(n.appends, e)
		n.pump()
	case core.LogEvent:
		n.w.notices = append(n.w.notices, notice{at: n.w.now, node: n.name, text: noticeLine(e)})
	case core.ReplyGossip:
		n.reply(e.Call, e)
	case core.ReplyLoanRequest:
		n.reply(e.Call, e)
	case core.SendGossip:
		n.send(func() { n.sendGossip(e) })
	case core.SendLoanRequest:
		n.send(func() { n.sendAsk(e) })
	case core.SendLoanReturn:
		n.send(func() {
			n.w.carry(n.name, e.Address, func(to *entryNode) { to.post(limit.LoanReturnArrived{Return: e.Return}) }, nil)
		})
	case core.FetchSnapshot:
		n.send(func() { n.fetchSnapshot(e) })
	case maintenance.OrderDrain:
		n.send(func() { n.w.vms.order(n, maintenance.KindDrain, e.Order, "") })
	case maintenance.OrderReboot:
		n.send(func() { n.w.vms.order(n, maintenance.KindReboot, e.Order, "") })
	case maintenance.OrderAssign:
		n.send(func() { n.w.vms.order(n, maintenance.KindAssign, e.Order, e.Pool) })
	default:
		n.w.fail("%s: unknown effect %T", n.name, e)
	}
}

func noticeLine(e core.LogEvent) string {
	line := fmt.Sprintf("%d %s", e.ID, e.ID)
	if e.Subject != "" {
		line += " " + e.Subject
	}
	if e.Detail != "" {
		line += ": " + e.Detail
	}
	return line
}

// pump appends what waits, in order, until the log has answered.
func (n *entryNode) pump() {
	if n.pumping || len(n.appends) == 0 {
		return
	}
	n.pumping = true
	a := n.appends[0]
	n.send(func() {
		answered := n.w.log.append(n.w, []record.Envelope{encode(n.w, a.ID, a.Body)})
		wait := n.w.between(time.Millisecond, 10*time.Millisecond)
		if answered || a.NoRetry {
			n.appends = n.appends[1:]
		} else {
			wait = n.w.between(50*time.Millisecond, time.Second)
		}
		n.w.after(wait, func() { n.receive(func() { n.pumping = false; n.pump() }) })
	})
}

// readLog is one read of the stream.
func (n *entryNode) readLog() {
	l := &n.w.log
	if n.blind {
		return
	}
	if l.down {
		n.step(core.LogStatus{Up: false})
		return
	}
	if n.next < l.earliest {
		n.next = l.earliest
		n.step(core.LogTrimmed{Earliest: n.next})
	}
	n.step(core.LogStatus{Up: true})
	rest := l.records[n.next-l.earliest:]
	rest = rest[:min(len(rest), 1+n.w.rng.IntN(mostRead))]
	n.next += vocab.Offset(len(rest))
	n.step(core.RecordsRead{Records: rest, CaughtUp: n.next == l.end()})
}

func (n *entryNode) readVMs() {
	n.step(core.VMsListed{Version: n.w.vms.version, Rows: n.w.vms.listed})
}
