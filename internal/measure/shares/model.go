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
	gossipEvery = time.Second
	gossipDelay = time.Second
	tickEvery   = 100 * time.Millisecond
	sampleEvery = 10 * time.Millisecond
	// lendEvery is the time between two rounds of lending slots, and lendDelay
	// the time that slots are with neither node.
	lendEvery = 250 * time.Millisecond
	lendDelay = 50 * time.Millisecond
	// reclaimAfter is when the slots of a lost node are in use again.
	reclaimAfter = limit.DefaultLease + limit.DefaultGuard
)

// event is something that happens at a time.
type event struct {
	at     vocab.Instant
	serial int
	do     func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// node is one entry node of the model.
type node struct {
	decider decider
	// held is the number of slots that the node may use.
	held, running int
	// coming is the number of slots on their way to the node.
	coming int
	lost   bool
}

// call is one request of a caller.
type call struct {
	team   int
	urgent bool
	tries  int
	first  vocab.Instant
}

// model runs one scenario under one policy.
type model struct {
	scenario scenario
	random   *rand.Rand
	now      vocab.Instant
	queue    events
	serial   int
	nodes    []*node
	calls    map[vocab.RequestID]*call
	last     vocab.RequestID
	record   *recorder
}

func newModel(s scenario, p Policy, seed uint64) *model {
	m := &model{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, 1)),
		calls:    map[vocab.RequestID]*call{},
		record:   newRecorder(s),
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &node{decider: newDecider(p, i, s.teams), held: poolSlots / nodes})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.queue, event{at: m.now.Add(d), serial: m.serial, do: do})
}

// every calls do again and again, the first time after the offset.
func (m *model) every(offset, interval time.Duration, do func()) {
	m.after(offset, func() {
		do()
		m.every(interval, interval, do)
	})
}

// run plays the scenario to its end.
func (m *model) run() {
	for team := range m.scenario.teams {
		m.arrive(team)
	}
	for i, n := range m.nodes {
		offset := time.Duration(i+1) * gossipEvery / nodes
		m.every(offset, gossipEvery, func() { m.gossip(n) })
		m.every(offset%tickEvery+tickEvery, tickEvery, func() { m.tick(n) })
	}
	m.every(lendEvery, lendEvery, m.lend)
	m.every(sampleEvery, sampleEvery, m.sample)
	if m.scenario.loses {
		m.after(loseAt, m.lose)
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at > vocab.Instant(length) {
			return
		}
		m.now = e.at
		e.do()
	}
}

// arrive schedules the next request of a team.
func (m *model) arrive(team int) {
	load := m.scenario.teams[team]
	peak := 1.0
	if m.scenario.spikes {
		peak = 5
	}
	mean := load.run.Seconds() / (load.slots * peak)
	m.after(time.Duration(m.random.ExpFloat64()*mean*float64(time.Second)), func() {
		if m.random.Float64()*peak < m.scenario.factor(time.Duration(m.now)) {
			m.offer(&call{team: team, urgent: m.random.Float64() < load.urgent, first: m.now})
		}
		m.arrive(team)
	})
}

// offer sends a caller's request to the node that the balancer picks.
func (m *model) offer(c *call) {
	load := m.scenario.teams[c.team]
	n := m.balance(load.spread)
	if c.tries == 0 {
		m.record.offered(c)
	}
	c.tries++
	m.last++
	m.calls[m.last] = c
	m.record.waiting[c.team]++
	it := admission.Item{Request: m.last, Team: load.name, Urgent: c.urgent, Expires: m.now.Add(load.patience)}
	v := n.decider.push(m.now, it)
	if v.HasEvicted {
		m.refuse(n, v.Evicted)
	}
	if v.Refusal != admission.Admitted {
		m.refuse(n, it)
		return
	}
	m.serve(n)
}

// balance picks a node that is not lost.
func (m *model) balance(spread []float64) *node {
	for {
		at := m.random.IntN(nodes)
		if spread != nil && m.random.Float64() >= spread[at]/maxOf(spread) {
			continue
		}
		if n := m.nodes[at]; !n.lost {
			return n
		}
	}
}

func maxOf(list []float64) float64 {
	most := list[0]
	for _, v := range list {
		most = max(most, v)
	}
	return most
}

// refuse tells the caller when to come back, which it does a few times.
func (m *model) refuse(n *node, it admission.Item) {
	c := m.calls[it.Request]
	delete(m.calls, it.Request)
	m.record.waiting[c.team]--
	if c.tries >= callerTries {
		m.record.refused(c)
		return
	}
	m.after(n.decider.retryAfter(m.now, it.Team, uint64(it.Request)), func() { m.offer(c) })
}

func (m *model) serve(n *node) {
	for n.running < n.held && !n.lost {
		it, ok := n.decider.next(m.now, n.running)
		if !ok {
			return
		}
		c := m.calls[it.Request]
		delete(m.calls, it.Request)
		m.start(n, it, c)
	}
}

func (m *model) start(n *node, it admission.Item, c *call) {
	n.running++
	m.record.started(c, m.now.Sub(it.Expires.Add(-m.scenario.teams[c.team].patience)))
	started := m.now
	run := time.Duration(m.random.ExpFloat64() * float64(m.scenario.teams[c.team].run))
	m.after(run, func() {
		n.running--
		m.record.ended(c)
		n.decider.ended(m.now, it.Team, started)
		m.serve(n)
	})
}

func (m *model) tick(n *node) {
	if n.lost {
		return
	}
	for _, it := range n.decider.expire(m.now) {
		m.refuse(n, it)
	}
	m.serve(n)
}

// gossip lets a node compute its parts and tell the others after a delay.
func (m *model) gossip(n *node) {
	if n.lost {
		return
	}
	facts := n.decider.update(m.now)
	m.after(gossipDelay, func() {
		for _, other := range m.nodes {
			if other == n || other.lost {
				continue
			}
			for _, f := range facts {
				other.decider.hear(m.now, f)
			}
		}
	})
}

// lend lets nodes below their target ask the others, which lend half of their
// free slots above their own target, rounded up.
func (m *model) lend() {
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			spare := from.held - max(from.running, from.decider.target())
			n := min((spare+1)/2, to.decider.target()-to.held-to.coming)
			if from.lost || to.lost || n <= 0 {
				continue
			}
			from.held -= n
			to.coming += n
			m.after(lendDelay, func() {
				to.coming -= n
				to.held += n
				m.serve(to)
			})
		}
	}
}

// lose ends a node. Its callers ask another one at once. Its slots come back
// in even parts when nothing of it can run any more.
func (m *model) lose() {
	n := m.nodes[0]
	n.lost = true
	for _, it := range n.decider.expire(vocab.Instant(2 * length)) {
		c := m.calls[it.Request]
		m.record.waiting[c.team]--
		m.offer(c)
		delete(m.calls, it.Request)
	}
	m.after(reclaimAfter, func() {
		slots := n.held
		n.held = 0
		for i := range slots {
			m.nodes[1+i%(nodes-1)].held++
		}
	})
}

// sample records what every team has running and waiting.
func (m *model) sample() {
	m.record.sample(time.Duration(m.now))
}
