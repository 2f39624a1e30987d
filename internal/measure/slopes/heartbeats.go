package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// HeartbeatResult is the outcome of simulated gossip between nodes that are all
// alive, for one number of nodes.
type HeartbeatResult struct {
	Nodes int
	// Timeout is the time without a new heartbeat after which a process counts as
	// silent.
	Timeout time.Duration
	// Busy is the result for reports with the maximum number of demands, and Idle
	// for reports without demands.
	Busy, Idle HeartbeatGaps
}

// HeartbeatGaps describes the times between received heartbeats in one simulation.
type HeartbeatGaps struct {
	// Longest is the longest time for which a node received no new heartbeat of
	// another node.
	Longest time.Duration
	// FalseTimeouts is the fraction of all checks that found a live node silent.
	FalseTimeouts float64
}

const (
	// simulatedGossipRounds is the number of rounds of a simulation, one a second.
	// The first warmUpRounds of them are not evaluated.
	simulatedGossipRounds = 120
	warmUpRounds          = 20
)

// simulateHeartbeats simulates gossip without loss or delay at several numbers of
// nodes. The results are deterministic.
func simulateHeartbeats() []HeartbeatResult {
	var out []HeartbeatResult
	for _, n := range nodeCounts {
		out = append(out, HeartbeatResult{
			Nodes: n, Timeout: membership.HeartbeatTimeout(n), Busy: simulateGossip(n, maxReportedDemands), Idle: simulateGossip(n, 0),
		})
	}
	return out
}

// simulateGossip simulates nodes that report the given number of demands each.
func simulateGossip(nodes, demands int) HeartbeatGaps {
	states := make([]*gossip.State, nodes)
	for i := range states {
		states[i] = gossip.New(incarnation(i))
	}
	var out HeartbeatGaps
	checks := 0
	for round := range simulatedGossipRounds {
		now := vocab.Instant(time.Duration(round+1) * time.Second)
		simulateGossipRound(states, demands, now, uint64(round))
		if round < warmUpRounds {
			continue
		}
		for i, s := range states {
			out.addView(s, i, nodes, now)
		}
		checks += nodes * (nodes - 1)
	}
	out.FalseTimeouts /= float64(checks)
	return out
}

// simulateGossipRound updates the report of each node and then exchanges messages
// between each node and its partners, one exchange after another.
func simulateGossipRound(states []*gossip.State, demands int, now vocab.Instant, round uint64) {
	byID := map[vocab.Incarnation]*gossip.State{}
	for i, s := range states {
		byID[incarnation(i)] = s
		r := busyNodeReport(i, 0, 1, 1)
		r.Demand = r.Demand[:demands]
		s.SetOwnReport(now, r)
	}
	for i, s := range states {
		for _, partner := range membership.Partners(otherIncarnations(i, len(states)), uint64(incarnation(i)), round) {
			other := byID[partner]
			other.Merge(now, s.Compose(now))
			s.Merge(now, other.Compose(now))
		}
	}
}

// otherIncarnations returns the incarnations of all nodes but one.
func otherIncarnations(node, nodes int) []vocab.Incarnation {
	var out []vocab.Incarnation
	for i := range nodes {
		if i != node {
			out = append(out, incarnation(i))
		}
	}
	return out
}

// addView checks the time since the last heartbeat of each other node as one node
// sees it.
func (o *HeartbeatGaps) addView(s *gossip.State, node, nodes int, now vocab.Instant) {
	timeout := membership.HeartbeatTimeout(nodes)
	for _, id := range otherIncarnations(node, nodes) {
		_, lastHeartbeat, known := s.Report(id)
		gap := now.Sub(lastHeartbeat)
		if !known {
			gap = time.Duration(now)
		}
		o.Longest = max(o.Longest, gap)
		if gap > timeout {
			o.FalseTimeouts++
		}
	}
}
