package share

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// teamSum is what an update knows of one team in one pool, over all nodes.
type teamSum struct {
	team     vocab.TeamID
	weight   float64
	nodes    int
	target   float64
	demand   float64
	attained float64 // slot seconds since the last update
	level    bool
}

// updatePool divides the pool's capacity and keeps this node's parts.
func (s *State) updatePool(p *pool, interval time.Duration) {
	p.sort()
	claims := s.claims(p)
	targets := Targets(p.capacity, claims)
	sums := p.sums(claims, targets)
	p.settle(sums, interval)
	p.parts = p.parts[:0]
	level := 0.0
	clear(p.heldDown)
	for _, sum := range sums {
		if sum.demand > sum.target*(1+rounding) {
			p.heldDown[sum.team] = true
		}
		if sum.level {
			level = sum.target / sum.weight
		}
	}
	at := 0
	for i, t := range targets {
		for sums[at].team != t.Team {
			at++
		}
		if t.Node != s.self {
			continue
		}
		p.parts = append(p.parts, p.part(claims[i], t, sums[at], level))
	}
}

// local returns the part of a team's weight that counts at the node of a claim,
// given the level of slots per weight of the teams that the capacity holds
// down; 0 if there is none. For such a team it is the claim's part of the
// team's demand. It is larger the less of its share a team demands, so that its
// requests wait for little.
func (t teamSum) local(c Claim, level float64) float64 {
	if t.demand <= 0 || level <= 0 {
		return 1
	}
	part := c.Demand / t.demand
	if t.level {
		return part
	}
	headroom := max(1, level*t.weight/t.demand)
	return min(1, max(part, 1/float64(t.nodes))*headroom)
}

// part returns this node's part of a team.
func (p *pool) part(c Claim, t Target, sum teamSum, level float64) Part {
	correction := p.correction(sum)
	local := sum.local(c, level)
	return Part{
		Team:        t.Team,
		Target:      t.Slots,
		Slots:       t.Slots * correction,
		Weight:      c.Weight * local * correction,
		Level:       t.Level,
		Demand:      c.Demand,
		FleetDemand: sum.demand,
	}
}

// claims turns the reports into claims. A team's upper limit holds over all
// pools and is divided over them in proportion to demand.
func (s *State) claims(p *pool) []Claim {
	demand := make(map[vocab.TeamID]float64, len(s.teams))
	for _, r := range p.order {
		demand[r.team] += r.demand
	}
	out := make([]Claim, len(p.order))
	for i, r := range p.order {
		team := s.teams[r.team]
		c := Claim{Team: r.team, Node: r.node, Weight: max(1, team.Weight), Demand: r.demand}
		if wanted := s.wanted[r.team]; team.Limit > 0 && wanted > 0 {
			c.Limit = float64(team.Limit) * demand[r.team] / wanted
		}
		out[i] = c
	}
	return out
}

// sums adds up targets, demand and newly attained slot time for each team.
func (p *pool) sums(claims []Claim, targets []Target) []teamSum {
	var out []teamSum
	for i, t := range targets {
		if i == 0 || t.Team != targets[i-1].Team {
			out = append(out, teamSum{team: t.Team, weight: claims[i].Weight, level: t.Level})
		}
		sum := &out[len(out)-1]
		r := p.order[i]
		sum.nodes++
		sum.target += t.Slots
		sum.demand += claims[i].Demand
		sum.attained += (r.attained - r.counted).Seconds()
		r.counted = r.attained
	}
	return out
}

// settle brings what each team is owed up to date. Only teams that are held
// down by the capacity are owed anything: who does not use its part earns
// nothing. What the teams got together is divided by their targets, so that
// service that no team got is owed to nobody.
func (p *pool) settle(sums []teamSum, interval time.Duration) {
	target, attained := 0.0, 0.0
	for _, t := range sums {
		if t.level {
			target += t.target
			attained += t.attained
		}
	}
	owed := make(map[vocab.TeamID]float64, len(sums))
	for _, t := range sums {
		if !t.level || target <= 0 || interval <= 0 {
			continue
		}
		fair := attained * t.target / target
		bound := t.target * deficitBound.Seconds()
		owed[t.team] = min(bound, max(-bound, p.owed[t.team]+fair-t.attained))
	}
	p.owed = owed
	p.scale = 1
	corrected := 0.0
	for _, t := range sums {
		if t.level {
			corrected += t.target * p.correction(t)
		}
	}
	if corrected > 0 {
		p.scale = target / corrected
	}
}

// correction returns the factor by which a team's part is raised or lowered.
func (p *pool) correction(t teamSum) float64 {
	if !t.level || t.target <= 0 {
		return 1
	}
	c := 1 + p.owed[t.team]/(t.target*correctionTime.Seconds())
	return p.scale * min(mostCorrection, max(leastCorrection, c))
}
