package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// NodeDemand is the demand of one team at one entry node for slots of one pool.
type NodeDemand struct {
	Team vocab.TeamID
	Node vocab.Incarnation
	// Weight is the team's weight; it is equal for all nodes of the team.
	Weight float64
	// Demand is the number of slots that the team would use at this node.
	Demand float64
	// Limit is the maximum number of slots that the team may use at all nodes
	// together; it is equal for all nodes of the team. 0 means no limit.
	Limit float64
}

// Target is one team's share of the capacity at one node.
type Target struct {
	Team vocab.TeamID
	Node vocab.Incarnation
	// Slots is the share in slots, fractions included.
	Slots float64
	// CapacityLimited is set if the team demands more than it gets and only the capacity
	// limits it.
	CapacityLimited bool
}

// Targets divides capacity by weighted max-min fairness: no team gets more than its
// demand or its limit; nothing is left over while a team could use it; and no team
// could get more without a team that has less per weight getting less. Each team's
// share is divided over its nodes in proportion to their demand. The result has one
// target per element of demands, sorted by team and node; demands already in that
// order are not sorted again. The cost is O(n + t log t) for n demands of t teams.
func Targets(capacity float64, demands []NodeDemand) []Target {
	demands = sortedDemands(demands)
	teams := groupByTeam(demands)
	waterFill(capacity, teams)
	out := make([]Target, len(demands))
	for i := range teams {
		t := &teams[i]
		for k := t.first; k < t.end; k++ {
			c := &demands[k]
			out[k] = Target{Team: c.Team, Node: c.Node, CapacityLimited: t.capacityLimited}
			if t.demand > 0 {
				out[k].Slots = t.slots * max(0, c.Demand) / t.demand
			}
		}
	}
	return out
}

// teamDemand sums demands[first:end], the demands of one team.
type teamDemand struct {
	first, end int
	weight     float64
	demand     float64
	// limitedDemand is the demand, up to the limit.
	limitedDemand   float64
	slots           float64
	capacityLimited bool
}

func sortedDemands(demands []NodeDemand) []NodeDemand {
	if slices.IsSortedFunc(demands, compareDemands) {
		return demands
	}
	demands = slices.Clone(demands)
	slices.SortFunc(demands, compareDemands)
	return demands
}

func compareDemands(a, b NodeDemand) int {
	if c := cmp.Compare(a.Team, b.Team); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}

// groupByTeam sums sorted demands by team.
func groupByTeam(demands []NodeDemand) []teamDemand {
	var teams []teamDemand
	for i, c := range demands {
		if i == 0 || c.Team != demands[i-1].Team {
			teams = append(teams, teamDemand{first: i, weight: c.Weight})
		}
		t := &teams[len(teams)-1]
		t.end = i + 1
		t.demand += max(0, c.Demand)
		t.limitedDemand = t.demand
		if c.Limit > 0 {
			t.limitedDemand = min(t.demand, c.Limit)
		}
	}
	return teams
}

// waterFill sets slots and capacityLimited of the teams by progressive filling: as the
// number of slots per weight rises, teams are satisfied in the order of their demand
// per weight. Teams that are not satisfied when the capacity is exhausted all get the
// final number of slots per weight.
func waterFill(capacity float64, teams []teamDemand) {
	unsatisfied := make([]*teamDemand, 0, len(teams))
	remainingWeight := 0.0
	for i := range teams {
		t := &teams[i]
		if t.limitedDemand <= 0 || t.weight <= 0 {
			continue
		}
		unsatisfied = append(unsatisfied, t)
		remainingWeight += t.weight
	}
	slices.SortStableFunc(unsatisfied, func(a, b *teamDemand) int {
		return cmp.Compare(a.limitedDemand/a.weight, b.limitedDemand/b.weight)
	})
	remaining := max(0, capacity)
	for _, t := range unsatisfied {
		fairSlots := math.Inf(1)
		if remainingWeight > 0 {
			fairSlots = remaining * t.weight / remainingWeight
		}
		t.slots = min(t.limitedDemand, fairSlots)
		t.capacityLimited = fairSlots < t.limitedDemand
		remaining = max(0, remaining-t.slots)
		remainingWeight -= t.weight
	}
}
