package slopes

import (
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/peer"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxReportedDemands is the number of demands in the report of a node with all
// teams busy; core/gossip limits a report to this number.
const maxReportedDemands = 48

// busyNodeReport returns the gossip report of a node with all teams busy.
func busyNodeReport(node int, counter uint64, folded vocab.Offset, digest uint64) gossip.Report {
	r := gossip.Report{
		Process: incarnation(node), Counter: counter, Node: nodeName(node), Address: peerAddress(node),
		Folded: folded, Digest: digest, Settled: folded, Confirmed: folded, Revision: 1,
	}
	for i := range maxReportedDemands {
		r.Demand = append(r.Demand, gossip.Demand{
			Pool: uint32(1 + (i+node)%(designPools-1)), Team: uint32(i * 11), Slots: 1.5, AccumulatedServiceMillis: counter * 1000,
		})
	}
	return r
}

// receiveGossip delivers one message with new reports of all other nodes.
func (d *driver) receiveGossip() {
	offset := d.state.Shared().Offset
	if d.digest == 0 {
		d.digest, _ = strconv.ParseUint(d.state.Shared().Digest(), 16, 64)
	}
	d.gossipRounds++
	m := gossip.Message{From: incarnation(1)}
	for i := 1; i < d.nodes; i++ {
		m.Reports = append(m.Reports, busyNodeReport(i, d.gossipRounds, offset, d.digest))
	}
	d.state.Step(d.now, core.GossipArrived{Call: d.gossipRounds, Message: m})
}

// mergedGossipState returns the gossip state of the first node after it has
// received the reports of all other nodes.
func mergedGossipState(nodes int) *gossip.State {
	s := gossip.New(incarnation(0))
	s.SetOwnReport(1, busyNodeReport(0, 1, 1000, 1))
	m := gossip.Message{From: incarnation(1)}
	for i := 1; i < nodes; i++ {
		m.Reports = append(m.Reports, busyNodeReport(i, 1, 1000, 1))
	}
	s.Merge(1, m)
	return s
}

// fullMessageNodeCounts are numbers of nodes whose reports fill a gossip message. In
// smaller fleets the messages are smaller.
var fullMessageNodeCounts = []int{8, 16, 32, 64}

// gossipBytes returns slopes of the mean encoded size of a gossip message, in a
// steady state and while it also lists 64 leaving VMs and 64 withdrawn keys.
func gossipBytes() []Slope {
	steady := Slope{Name: "gossip-bytes", Title: "one message of gossip, all nodes busy", Axis: "nodes", Unit: "bytes", DesignSize: designNodes}
	withFacts := Slope{Name: "gossip-bytes-facts", Title: "the same while 64 VMs leave and 64 keys end", Axis: "nodes", Unit: "bytes", DesignSize: designNodes}
	for _, n := range fullMessageNodeCounts {
		steady.add(n, meanGossipMessageBytes(mergedGossipState(n)))
		s := mergedGossipState(n)
		for i := range 64 {
			s.AddLeaving(1, gossip.Leaving{VM: vmName(i), Incarnation: 1})
			s.AddWithdrawn(1, vocab.KeyID(teamName(i)))
		}
		withFacts.add(n, meanGossipMessageBytes(s))
	}
	return []Slope{steady, withFacts}
}

// meanGossipMessageBytes returns the mean encoded size over several rounds, since
// each message carries a different part of the reports.
func meanGossipMessageBytes(s *gossip.State) float64 {
	const rounds = 16
	sum := 0
	for range rounds {
		sum += peer.GossipBytes(s.Compose(vocab.Instant(time.Second)))
	}
	return float64(sum) / rounds
}

// gossipCosts returns the slope of the processor time of composing and merging a
// gossip message, without HTTP.
func gossipCosts() []Slope {
	cost := Slope{Name: "gossip-cpu", Title: "compose a message and merge one", Axis: "nodes", Unit: "µs", MachineDependent: true, DesignSize: designNodes}
	for _, n := range nodeCounts {
		s, other := mergedGossipState(n), mergedGossipState(n)
		cost.add(n, toMicroseconds(cpuTimePerCall(func() {
			s.Merge(vocab.Instant(time.Second), other.Compose(vocab.Instant(time.Second)))
		})))
	}
	return []Slope{cost}
}
