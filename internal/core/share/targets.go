package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Claim is the demand of one team at one entry node for slots of one pool.
type Claim struct {
	Team vocab.TeamID
	Node vocab.Incarnation
	// Weight is the team's share; equal in all claims of the team.
	Weight float64
	// Demand is the number of slots that the team would use through this node.
	Demand float64
	// Limit is the most slots that the team may use through all nodes; equal
	// in all claims of the team. 0 stands for no limit.
	Limit float64
}

// Target is the part of one team at one node.
type Target struct {
	Team vocab.TeamID
	Node vocab.Incarnation
	// Slots is the part of the capacity, fractions included.
	Slots float64
	// Level is set if the team would use more than it gets and only the
	// capacity keeps it from it.
	Level bool
}

// Targets divides capacity by weighted max-min: no team gets more than it
// demands or than its limit, nothing is left while a team could use it, and no
// team can get more without another one with less for its weight getting less.
// Each team's part is divided over its nodes in proportion to their demand.
// The result has one target per claim, sorted by team and node. Claims that
// arrive in that order are not sorted again. It costs O(n + t log t) for n
// claims of t teams.
func Targets(capacity float64, claims []Claim) []Target {
	claims = sorted(claims)
	teams := groupTeams(claims)
	fill(capacity, teams)
	out := make([]Target, len(claims))
	for i := range teams {
		t := &teams[i]
		for k := t.first; k < t.end; k++ {
			c := &claims[k]
			out[k] = Target{Team: c.Team, Node: c.Node, Level: t.level}
			if t.demand > 0 {
				out[k].Slots = t.part * max(0, c.Demand) / t.demand
			}
		}
	}
	return out
}

// teamClaim sums the claims[first:end] of one team.
type teamClaim struct {
	first, end int
	weight     float64
	demand     float64
	// most is the demand bounded by the limit.
	most  float64
	part  float64
	level bool
}

func sorted(claims []Claim) []Claim {
	if slices.IsSortedFunc(claims, compare) {
		return claims
	}
	claims = slices.Clone(claims)
	slices.SortFunc(claims, compare)
	return claims
}

func compare(a, b Claim) int {
	if c := cmp.Compare(a.Team, b.Team); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}

func groupTeams(claims []Claim) []teamClaim {
	var teams []teamClaim
	for i, c := range claims {
		if i == 0 || c.Team != claims[i-1].Team {
			teams = append(teams, teamClaim{first: i, weight: c.Weight})
		}
		t := &teams[len(teams)-1]
		t.end = i + 1
		t.demand += max(0, c.Demand)
		t.most = t.demand
		if c.Limit > 0 {
			t.most = min(t.demand, c.Limit)
		}
	}
	return teams
}

// fill serves the teams in the order in which they are satisfied as the level
// of slots per weight rises. Who is not satisfied by the last level gets it.
func fill(capacity float64, teams []teamClaim) {
	order := make([]*teamClaim, 0, len(teams))
	weights := 0.0
	for i := range teams {
		t := &teams[i]
		if t.most <= 0 || t.weight <= 0 {
			continue
		}
		order = append(order, t)
		weights += t.weight
	}
	slices.SortStableFunc(order, func(a, b *teamClaim) int {
		return cmp.Compare(a.most/a.weight, b.most/b.weight)
	})
	left := max(0, capacity)
	for _, t := range order {
		fair := math.Inf(1)
		if weights > 0 {
			fair = left * t.weight / weights
		}
		t.part = min(t.most, fair)
		t.level = fair < t.most
		left = max(0, left-t.part)
		weights -= t.weight
	}
}
