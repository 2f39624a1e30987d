package slopes

import (
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/peer"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// demandRows is the number of demands in the report of a node whose teams are
// all busy; it is the most that a report carries.
const demandRows = 48

// report returns a busy node's report.
func report(node int, counter uint64, folded vocab.Offset, digest uint64) gossip.Report {
	r := gossip.Report{
		Process: incarnation(node), Counter: counter, Node: nodeName(node), Address: peerAddress(node),
		Folded: folded, Digest: digest, Settled: folded, Confirmed: folded, Revision: 1,
	}
	for i := range demandRows {
		r.Demand = append(r.Demand, gossip.Demand{
			Pool: uint32(1 + (i+node)%(designPools-1)), Team: uint32(i * 11), Slots: 1.5, AccumulatedServiceMillis: counter * 1000,
		})
	}
	return r
}

// hearPeers lets a round of the other nodes' reports arrive.
func (d *driver) hearPeers() {
	offset := d.state.Shared().Offset
	if d.digest == 0 {
		d.digest, _ = strconv.ParseUint(d.state.Shared().Digest(), 16, 64)
	}
	d.heard++
	m := gossip.Message{From: incarnation(1)}
	for i := 1; i < d.nodes; i++ {
		m.Reports = append(m.Reports, report(i, d.heard, offset, d.digest))
	}
	d.state.Step(d.now, core.GossipArrived{Call: d.heard, Message: m})
}

// heardState returns a process that has heard all others.
func heardState(nodes int) *gossip.State {
	s := gossip.New(incarnation(0))
	s.SetOwnReport(1, report(0, 1, 1000, 1))
	m := gossip.Message{From: incarnation(1)}
	for i := 1; i < nodes; i++ {
		m.Reports = append(m.Reports, report(i, 1, 1000, 1))
	}
	s.Merge(1, m)
	return s
}

// fullNodeSizes are the fleets whose reports fill a message of gossip. In
// smaller ones a message holds less.
var fullNodeSizes = []int{8, 16, 32, 64}

// gossipBytes returns the mean encoded size of a message, and of one while 64
// VMs are leaving and 64 keys were withdrawn.
func gossipBytes() []Slope {
	plain := Slope{Name: "gossip-bytes", Title: "one message of gossip, all nodes busy", Axis: "nodes", Unit: "bytes", Design: designNodes}
	crowded := Slope{Name: "gossip-bytes-facts", Title: "the same while 64 VMs leave and 64 keys end", Axis: "nodes", Unit: "bytes", Design: designNodes}
	for _, n := range fullNodeSizes {
		plain.add(n, meanGossip(heardState(n)))
		s := heardState(n)
		for i := range 64 {
			s.AddLeaving(1, gossip.Leaving{VM: vmName(i), Incarnation: 1})
			s.AddWithdrawn(1, vocab.KeyID(teamName(i)))
		}
		crowded.add(n, meanGossip(s))
	}
	return []Slope{plain, crowded}
}

// meanGossip takes the mean over some rounds, in which reports take turns.
func meanGossip(s *gossip.State) float64 {
	const rounds = 16
	sum := 0
	for range rounds {
		sum += peer.GossipBytes(s.Compose(vocab.Instant(time.Second)))
	}
	return float64(sum) / rounds
}

// gossipCosts returns the slope of processor time, without HTTP.
func gossipCosts() []Slope {
	cost := Slope{Name: "gossip-cpu", Title: "compose a message and merge one", Axis: "nodes", Unit: "µs", Timed: true, Design: designNodes}
	for _, n := range nodeSizes {
		s, other := heardState(n), heardState(n)
		cost.add(n, micros(costOf(func() {
			s.Merge(vocab.Instant(time.Second), other.Compose(vocab.Instant(time.Second)))
		})))
	}
	return []Slope{cost}
}
