package shares

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	gossipInterval = time.Second
	gossipDelay    = time.Second
	tickInterval   = 100 * time.Millisecond
	sampleInterval = 10 * time.Millisecond
	// lendInterval is the time between two rounds of loans, and lendDelay the time
	// during which lent slots are usable on neither node.
	lendInterval = 250 * time.Millisecond
	lendDelay    = 50 * time.Millisecond
	// reclaimDelay is the time from the loss of a node until other nodes may use
	// its slots: its leases and their guard time have expired.
	reclaimDelay = limit.DefaultLease + limit.DefaultGuard
)

// event is an action scheduled at a point of virtual time. Events of the same
// time run in the order of their serial numbers.
type event struct {
	at     vocab.Instant
	serial int
	action func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// node is one entry node of the model.
type node struct {
	scheduler scheduler
	// slots is the number of slots that the node may use, running the number in
	// use.
	slots, running int
	// incoming is the number of slots lent to the node that it may not use yet.
	incoming int
	lost     bool
}

// request is one request of a caller, with all its attempts.
type request struct {
	team      int
	urgent    bool
	attempts  int           // number of attempts sent
	firstSent vocab.Instant // time of the first attempt
}

// model runs one scenario under one policy.
type model struct {
	scenario    scenario
	rng         *rand.Rand
	now         vocab.Instant
	events      eventQueue
	lastSerial  int
	nodes       []*node
	queued      map[vocab.RequestID]*request // waiting for a slot
	lastRequest vocab.RequestID
	recorder    *recorder
}

func newModel(s scenario, p Policy, seed uint64) *model {
	m := &model{
		scenario: s,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		queued:   map[vocab.RequestID]*request{},
		recorder: newRecorder(s),
	}
	for i := range nodeCount {
		m.nodes = append(m.nodes, &node{scheduler: newScheduler(p, i, s.teams), slots: poolSlots / nodeCount})
	}
	return m
}

// after schedules an action.
func (m *model) after(d time.Duration, do func()) {
	m.lastSerial++
	heap.Push(&m.events, event{at: m.now.Add(d), serial: m.lastSerial, action: do})
}

// every schedules a repeated action, the first time after the offset.
func (m *model) every(offset, interval time.Duration, do func()) {
	m.after(offset, func() {
		do()
		m.every(interval, interval, do)
	})
}

// run executes the events of the scenario until runLength.
func (m *model) run() {
	for team := range m.scenario.teams {
		m.scheduleArrival(team)
	}
	for i, n := range m.nodes {
		offset := time.Duration(i+1) * gossipInterval / nodeCount
		m.every(offset, gossipInterval, func() { m.gossip(n) })
		m.every(offset%tickInterval+tickInterval, tickInterval, func() { m.tick(n) })
	}
	m.every(lendInterval, lendInterval, m.lend)
	m.every(sampleInterval, sampleInterval, m.sample)
	if m.scenario.losesNode {
		m.after(nodeLossAt, m.loseNode)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > vocab.Instant(runLength) {
			return
		}
		m.now = e.at
		e.action()
	}
}

// scheduleArrival schedules the next request of a team. The arrivals are a
// Poisson process at the peak rate; in scenarios with spikes they are thinned
// to the current demand.
func (m *model) scheduleArrival(team int) {
	load := m.scenario.teams[team]
	peak := 1.0 // highest value of demandFactor
	if m.scenario.hasSpikes {
		peak = 5
	}
	mean := load.meanRun.Seconds() / (load.meanSlots * peak)
	m.after(time.Duration(m.rng.ExpFloat64()*mean*float64(time.Second)), func() {
		if m.rng.Float64()*peak < m.scenario.demandFactor(time.Duration(m.now)) {
			m.send(&request{team: team, urgent: m.rng.Float64() < load.urgentFraction, firstSent: m.now})
		}
		m.scheduleArrival(team)
	})
}

// send sends an attempt of a request to the node that the balancer picks.
func (m *model) send(req *request) {
	load := m.scenario.teams[req.team]
	n := m.pickNode(load.nodeWeights)
	if req.attempts == 0 {
		m.recorder.requestSent(req)
	}
	req.attempts++
	m.lastRequest++
	m.queued[m.lastRequest] = req
	m.recorder.waiting[req.team]++
	item := admission.Item{Request: m.lastRequest, Team: load.name, Urgent: req.urgent, Expires: m.now.Add(load.queueTimeout)}
	result := n.scheduler.push(m.now, item)
	if result.HasEvicted {
		m.handleRefusal(n, result.Evicted)
	}
	if result.Refusal != admission.Admitted {
		m.handleRefusal(n, item)
		return
	}
	m.startQueued(n)
}

// pickNode draws a node that is not lost, with the given weights of the nodes
// or uniformly if they are nil.
func (m *model) pickNode(weights []float64) *node {
	for {
		i := m.rng.IntN(nodeCount)
		if weights != nil && m.rng.Float64() >= weights[i]/maxWeight(weights) {
			continue
		}
		if n := m.nodes[i]; !n.lost {
			return n
		}
	}
}

func maxWeight(list []float64) float64 {
	highest := list[0]
	for _, v := range list {
		highest = max(highest, v)
	}
	return highest
}

// handleRefusal schedules the caller's next attempt after the node's retry
// delay. After maxAttempts the caller abandons the request.
func (m *model) handleRefusal(n *node, item admission.Item) {
	req := m.queued[item.Request]
	delete(m.queued, item.Request)
	m.recorder.waiting[req.team]--
	if req.attempts >= maxAttempts {
		m.recorder.requestAbandoned(req)
		return
	}
	m.after(n.scheduler.retryAfter(m.now, item.Team, uint64(item.Request)), func() { m.send(req) })
}

// startQueued starts queued requests of a node while it has free slots.
func (m *model) startQueued(n *node) {
	for n.running < n.slots && !n.lost {
		item, ok := n.scheduler.next(m.now, n.running)
		if !ok {
			return
		}
		req := m.queued[item.Request]
		delete(m.queued, item.Request)
		m.start(n, item, req)
	}
}

// start runs a request in a slot of the node for a random time.
func (m *model) start(n *node, item admission.Item, req *request) {
	n.running++
	m.recorder.requestStarted(req, m.now.Sub(item.Expires.Add(-m.scenario.teams[req.team].queueTimeout)))
	started := m.now
	run := time.Duration(m.rng.ExpFloat64() * float64(m.scenario.teams[req.team].meanRun))
	m.after(run, func() {
		n.running--
		m.recorder.requestCompleted(req)
		n.scheduler.finished(m.now, item.Team, started)
		m.startQueued(n)
	})
}

// tick refuses the requests whose wait has timed out on a node and starts
// others.
func (m *model) tick(n *node) {
	if n.lost {
		return
	}
	for _, item := range n.scheduler.expire(m.now) {
		m.handleRefusal(n, item)
	}
	m.startQueued(n)
}

// gossip updates a node's shares and delivers its demand reports to the other
// nodes after gossipDelay.
func (m *model) gossip(n *node) {
	if n.lost {
		return
	}
	reports := n.scheduler.updateShares(m.now)
	m.after(gossipDelay, func() {
		for _, other := range m.nodes {
			if other == n || other.lost {
				continue
			}
			for _, r := range reports {
				other.scheduler.observe(m.now, r)
			}
		}
	})
}

// lend moves slots to nodes below their target. Each other node lends at most
// half of its free slots above its own target, rounded up.
func (m *model) lend() {
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			surplus := from.slots - max(from.running, from.scheduler.slotTarget())
			n := min((surplus+1)/2, to.scheduler.slotTarget()-to.slots-to.incoming)
			if from.lost || to.lost || n <= 0 {
				continue
			}
			from.slots -= n
			to.incoming += n
			m.after(lendDelay, func() {
				to.incoming -= n
				to.slots += n
				m.startQueued(to)
			})
		}
	}
}

// loseNode ends the process of the first node. Its callers send their requests
// to another node at once. After reclaimDelay, when none of its requests can
// still run, the other nodes get equal numbers of its slots.
func (m *model) loseNode() {
	n := m.nodes[0]
	n.lost = true
	for _, item := range n.scheduler.expire(vocab.Instant(2 * runLength)) { // all queued requests
		req := m.queued[item.Request]
		m.recorder.waiting[req.team]--
		m.send(req)
		delete(m.queued, item.Request)
	}
	m.after(reclaimDelay, func() {
		slots := n.slots
		n.slots = 0
		for i := range slots {
			m.nodes[1+i%(nodeCount-1)].slots++
		}
	})
}

// sample records the running and waiting requests of all teams.
func (m *model) sample() {
	m.recorder.sample(time.Duration(m.now))
}
