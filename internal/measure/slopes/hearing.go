package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Hearing is how well nodes that all live hear of each other by gossip.
type Hearing struct {
	Nodes int
	// Limit is how long a process may be unheard before it counts as silent.
	Limit time.Duration
	// Busy is for nodes that report as many demands as a report carries, and
	// Idle for nodes without demands.
	Busy, Idle Silences
}

// Silences is what one run found.
type Silences struct {
	// Longest is the longest time for which a node did not hear of another.
	Longest time.Duration
	// Wrong is the part of all judgements that found a living node silent.
	Wrong float64
}

const (
	// hearingRounds are played, and the first warmRounds of them do not count.
	hearingRounds = 120
	warmRounds    = 20
)

// hearings plays rounds of gossip without loss at several numbers of nodes.
// Equal programs give equal results.
func hearings() []Hearing {
	var out []Hearing
	for _, n := range nodeSizes {
		out = append(out, Hearing{
			Nodes: n, Limit: membership.HeartbeatTimeout(n), Busy: hearingRun(n, demandRows), Idle: hearingRun(n, 0),
		})
	}
	return out
}

// hearingRun plays nodes that report a number of demands each.
func hearingRun(nodes, demands int) Silences {
	states := make([]*gossip.State, nodes)
	for i := range states {
		states[i] = gossip.New(incarnation(i))
	}
	var out Silences
	judged := 0
	for round := range hearingRounds {
		now := vocab.Instant(time.Duration(round+1) * time.Second)
		playRound(states, demands, now, uint64(round))
		if round < warmRounds {
			continue
		}
		for i, s := range states {
			out.judge(s, i, nodes, now)
		}
		judged += nodes * (nodes - 1)
	}
	out.Wrong /= float64(judged)
	return out
}

// playRound lets each node exchange with its partners, one after another.
func playRound(states []*gossip.State, demands int, now vocab.Instant, round uint64) {
	byID := map[vocab.Incarnation]*gossip.State{}
	for i, s := range states {
		byID[incarnation(i)] = s
		r := report(i, 0, 1, 1)
		r.Demand = r.Demand[:demands]
		s.SetOwnReport(now, r)
	}
	for i, s := range states {
		for _, partner := range membership.Partners(othersOf(i, len(states)), uint64(incarnation(i)), round) {
			other := byID[partner]
			other.Merge(now, s.Compose(now))
			s.Merge(now, other.Compose(now))
		}
	}
}

func othersOf(node, nodes int) []vocab.Incarnation {
	var out []vocab.Incarnation
	for i := range nodes {
		if i != node {
			out = append(out, incarnation(i))
		}
	}
	return out
}

// judge adds one node's view of all others.
func (o *Silences) judge(s *gossip.State, node, nodes int, now vocab.Instant) {
	limit := membership.HeartbeatTimeout(nodes)
	for _, id := range othersOf(node, nodes) {
		_, heard, known := s.Report(id)
		silent := now.Sub(heard)
		if !known {
			silent = time.Duration(now)
		}
		o.Longest = max(o.Longest, silent)
		if silent > limit {
			o.Wrong++
		}
	}
}
