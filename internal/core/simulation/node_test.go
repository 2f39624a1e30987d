package simulation

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
	logPollInterval  = 50 * time.Millisecond
	listPollInterval = 200 * time.Millisecond
	maxReadRecords   = 20 // in one read of the log
)

// entryNode is a process of an entry node: a reducer, the loop that drives it and its
// clock.
type entryNode struct {
	sim          *simulation
	name         vocab.NodeID
	incarnation  vocab.Incarnation
	zone         vocab.ZoneID
	state        *core.State
	clockAtStart vocab.Instant // reading of its clock at the start of the simulation
	dead         bool
	killedAt     time.Duration
	paused       bool
	stopping     bool
	// heldOutputs and heldInputs wait for the end of a pause: effects decided before the
	// pause, and events that arrived during it.
	heldOutputs, heldInputs []func()
	nextOffset              vocab.Offset
	readsHang               bool // reads of the log hang
	appends                 []core.Append
	appending               bool
	requests                map[vocab.RequestID]*request
	lastRequest             vocab.RequestID
	openRPCs                map[uint64]func(event.Effect)
	lastRPC                 uint64
	received                receivedFacts
	identity                core.Identity
	// inputs holds every event that the reducer processed, effectsHash a hash of all effects.
	inputs      []input
	effectsHash *xxhash.Digest
}

// input is an event that the reducer processed.
type input struct {
	at vocab.Instant
	ev event.Event
}

// GoString shortens the values in rapid's report of a failed test.
func (n *entryNode) GoString() string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

// address returns the peer address of a node.
func address(name vocab.NodeID) string { return "10.0.0.1:" + string(name) }

// startNode starts a process of a node. A process of the node that ran before must have ended.
func (sim *simulation) startNode(name vocab.NodeID, zone vocab.ZoneID) *entryNode {
	sim.lastIncarnation += vocab.Incarnation(1 + sim.rng.IntN(1000))
	n := &entryNode{
		sim: sim, name: name, incarnation: sim.lastIncarnation, zone: zone, nextOffset: 1,
		clockAtStart: vocab.Instant(sim.randomDuration(time.Hour, 1000*time.Hour)),
		requests:     map[vocab.RequestID]*request{}, openRPCs: map[uint64]func(event.Effect){}, received: newReceivedFacts(), effectsHash: xxhash.New(),
	}
	var firstPeers []string
	for _, other := range sim.nodes {
		if other.name != name {
			firstPeers = append(firstPeers, address(other.name))
		}
	}
	n.identity = core.Identity{
		Node: name, Incarnation: n.incarnation, Zone: zone, Region: sim.fleet.Regions[0].Name,
		PeerAddress: address(name), FirstPeers: firstPeers,
	}
	n.state = core.New(n.identity)
	sim.nodes = append(sim.nodes, n)
	n.repeat(core.TickInterval, func() { n.step(core.Tick{Unix: sim.unixTime()}) })
	n.repeat(logPollInterval, n.readLog)
	n.repeat(listPollInterval, n.readVMs)
	return n
}

// node returns the running process of a node, or nil.
func (sim *simulation) node(name vocab.NodeID) *entryNode {
	for i := len(sim.nodes) - 1; i >= 0; i-- {
		if sim.nodes[i].name == name && !sim.nodes[i].dead {
			return sim.nodes[i]
		}
	}
	return nil
}

// repeat calls do at an interval until the process ends, except during pauses.
func (n *entryNode) repeat(interval time.Duration, do func()) {
	var again func()
	again = func() {
		if n.dead {
			return
		}
		if !n.paused {
			do()
		}
		n.sim.schedule(interval, again)
	}
	n.sim.schedule(n.sim.randomDuration(0, interval), again)
}

func (n *entryNode) pause() { n.paused = true }

// resume ends a pause and schedules the held outputs and inputs, each with a delay of up to
// 1 ms.
func (n *entryNode) resume() {
	n.paused = false
	held := append(n.heldOutputs, n.heldInputs...)
	n.heldOutputs, n.heldInputs = nil, nil
	for _, do := range held {
		n.sim.schedule(n.sim.randomDuration(0, time.Millisecond), func() { n.runWhenActive(do) })
	}
}

func (n *entryNode) kill() {
	n.dead = true
	n.killedAt = n.sim.now
	for _, req := range n.requests {
		req.nodeKilled = true
	}
}

// runWhenActive calls do now, or after the pause if the process is paused.
func (n *entryNode) runWhenActive(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.heldInputs = append(n.heldInputs, do)
	default:
		do()
	}
}

// executeSoon carries out an effect up to 1 ms after the reducer's decision. If the process
// is paused in between, the effect is carried out after the pause.
func (n *entryNode) executeSoon(do func()) {
	n.sim.schedule(n.sim.randomDuration(0, time.Millisecond), func() {
		switch {
		case n.dead:
		case n.paused:
			n.heldOutputs = append(n.heldOutputs, do)
		default:
			do()
		}
	})
}

func (n *entryNode) now() vocab.Instant { return n.clockAtStart.Add(n.sim.now) }

// post delivers an event to the reducer.
func (n *entryNode) post(ev event.Event) { n.runWhenActive(func() { n.step(ev) }) }

// step lets the reducer process an event, checks the state and the effects, and carries out
// the effects.
func (n *entryNode) step(ev event.Event) {
	n.recordReceived(ev)
	n.inputs = append(n.inputs, input{at: n.now(), ev: ev})
	effects := append([]event.Effect(nil), n.state.Step(n.now(), ev)...)
	fmt.Fprintf(n.effectsHash, "%+v", effects)
	n.checkState()
	for _, e := range effects {
		n.checkEffect(e)
		n.execute(e)
	}
}

// checkReplay checks that a new reducer emits the same effects for the same events.
func (n *entryNode) checkReplay() {
	state, hash := core.New(n.identity), xxhash.New()
	for _, in := range n.inputs {
		fmt.Fprintf(hash, "%+v", append([]event.Effect(nil), state.Step(in.at, in.ev)...))
	}
	if hash.Sum64() != n.effectsHash.Sum64() {
		n.sim.fail("the replay of the events of %s emits other effects", n.name)
	}
}

// execute carries out an effect of the reducer.
func (n *entryNode) execute(effect event.Effect) {
	switch e := effect.(type) {
	case core.Dispatch:
		n.sim.dispatchCount++
		n.requests[e.Request].dispatchDecidedAt = n.sim.now
		n.executeSoon(func() { n.dispatch(e) })
	case core.RespondProblem:
		n.answerCaller(n.requests[e.Request], e.Problem.Outcome, string(e.Problem.Code))
	case core.Append:
		n.appends = append(n.appends, e)
		n.appendNext()
	case core.LogEvent:
		n.sim.logEvents = append(n.sim.logEvents, logEvent{at: n.sim.now, node: n.name, text: logEventText(e)})
	case core.ReplyGossip:
		n.replyRPC(e.Call, e)
	case core.ReplyLoanRequest:
		n.replyRPC(e.Call, e)
	case core.SendGossip:
		n.executeSoon(func() { n.sendGossip(e) })
	case core.SendLoanRequest:
		n.executeSoon(func() { n.sendLoanRequest(e) })
	case core.SendLoanReturn:
		n.executeSoon(func() {
			n.sim.deliver(n.name, e.Address, func(to *entryNode) { to.post(limit.LoanReturnArrived{Return: e.Return}) }, nil)
		})
	case core.FetchSnapshot:
		n.executeSoon(func() { n.fetchSnapshot(e) })
	case maintenance.OrderDrain:
		n.executeSoon(func() { n.sim.vms.handleOrder(n, maintenance.KindDrain, e.Order, "") })
	case maintenance.OrderReboot:
		n.executeSoon(func() { n.sim.vms.handleOrder(n, maintenance.KindReboot, e.Order, "") })
	case maintenance.OrderAssign:
		n.executeSoon(func() { n.sim.vms.handleOrder(n, maintenance.KindAssign, e.Order, e.Pool) })
	default:
		n.sim.fail("%s: unknown effect %T", n.name, e)
	}
}

func logEventText(e core.LogEvent) string {
	text := fmt.Sprintf("%d %s", e.ID, e.ID)
	if e.Subject != "" {
		text += " " + e.Subject
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// appendNext sends the first of the waiting appends. An append without an answer is
// repeated until it gets one, unless it is to be sent only once.
func (n *entryNode) appendNext() {
	if n.appending || len(n.appends) == 0 {
		return
	}
	n.appending = true
	a := n.appends[0]
	n.executeSoon(func() {
		answered := n.sim.log.append(n.sim, []record.Envelope{encode(n.sim, a.ID, a.Body)})
		delay := n.sim.randomDuration(time.Millisecond, 10*time.Millisecond)
		if answered || a.NoRetry {
			n.appends = n.appends[1:]
		} else {
			delay = n.sim.randomDuration(50*time.Millisecond, time.Second)
		}
		n.sim.schedule(delay, func() { n.runWhenActive(func() { n.appending = false; n.appendNext() }) })
	})
}

// readLog reads up to maxReadRecords records of the log.
func (n *entryNode) readLog() {
	l := &n.sim.log
	if n.readsHang {
		return
	}
	if l.down {
		n.step(core.LogStatus{Up: false})
		return
	}
	if n.nextOffset < l.earliest {
		n.nextOffset = l.earliest
		n.step(core.LogTrimmed{Earliest: n.nextOffset})
	}
	n.step(core.LogStatus{Up: true})
	records := l.records[n.nextOffset-l.earliest:]
	records = records[:min(len(records), 1+n.sim.rng.IntN(maxReadRecords))]
	n.nextOffset += vocab.Offset(len(records))
	n.step(core.RecordsRead{Records: records, CaughtUp: n.nextOffset == l.endOffset()})
}

// readVMs reads the VM list.
func (n *entryNode) readVMs() {
	n.step(core.VMsListed{Version: n.sim.vms.version, Rows: n.sim.vms.listedRows})
}
