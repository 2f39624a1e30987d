package share

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// teamTotal sums the targets and reports of one team in one pool over all nodes.
type teamTotal struct {
	team            vocab.TeamID
	weight          float64
	nodes           int
	target          float64
	demand          float64
	service         float64 // slot seconds since the last update
	capacityLimited bool
}

// updatePool divides the pool's capacity and computes this node's allocations.
func (s *State) updatePool(p *pool, interval time.Duration) {
	p.sortReports()
	demands := s.demands(p)
	targets := Targets(p.capacity, demands)
	totals := p.totals(demands, targets)
	p.updateDeficits(totals, interval)
	p.allocations = p.allocations[:0]
	waterLevel := 0.0
	clear(p.constrained)
	for _, total := range totals {
		if total.demand > total.target*(1+demandTolerance) {
			p.constrained[total.team] = true
		}
		if total.capacityLimited {
			waterLevel = total.target / total.weight
		}
	}
	current := 0
	for i, t := range targets {
		for totals[current].team != t.Team {
			current++
		}
		if t.Node != s.self {
			continue
		}
		p.allocations = append(p.allocations, p.allocation(demands[i], t, totals[current], waterLevel))
	}
}

// localWeightFactor returns the fraction of a team's weight that applies at the node
// of d. waterLevel is the number of slots per weight that capacity-limited
// teams get; 0 if there are no such teams. For a capacity-limited team the fraction
// is the node's fraction of the team's demand. For another team it is the larger the
// less the team demands relative to its share, so that its requests wait only
// briefly.
func (t teamTotal) localWeightFactor(d NodeDemand, waterLevel float64) float64 {
	if t.demand <= 0 || waterLevel <= 0 {
		return 1
	}
	fraction := d.Demand / t.demand
	if t.capacityLimited {
		return fraction
	}
	headroom := max(1, waterLevel*t.weight/t.demand)
	return min(1, max(fraction, 1/float64(t.nodes))*headroom)
}

// allocation returns a team's allocation at this node.
func (p *pool) allocation(d NodeDemand, t Target, total teamTotal, waterLevel float64) Allocation {
	correction := p.correctionFactor(total)
	factor := total.localWeightFactor(d, waterLevel)
	return Allocation{
		Team:            t.Team,
		TargetSlots:     t.Slots,
		CorrectedSlots:  t.Slots * correction,
		Weight:          d.Weight * factor * correction,
		CapacityLimited: t.CapacityLimited,
		Demand:          d.Demand,
		FleetDemand:     total.demand,
	}
}

// demands converts the reports to the input of Targets. A team's upper limit
// applies to all pools together; it is divided over them in proportion to the
// team's demand.
func (s *State) demands(p *pool) []NodeDemand {
	poolDemand := make(map[vocab.TeamID]float64, len(s.teams))
	for _, r := range p.sorted {
		poolDemand[r.team] += r.demand
	}
	out := make([]NodeDemand, len(p.sorted))
	for i, r := range p.sorted {
		team := s.teams[r.team]
		d := NodeDemand{Team: r.team, Node: r.node, Weight: max(1, team.Weight), Demand: r.demand}
		if total := s.teamDemand[r.team]; team.Limit > 0 && total > 0 {
			d.Limit = float64(team.Limit) * poolDemand[r.team] / total
		}
		out[i] = d
	}
	return out
}

// totals adds up the target, the demand and the service since the last update for
// each team.
func (p *pool) totals(demands []NodeDemand, targets []Target) []teamTotal {
	var out []teamTotal
	for i, t := range targets {
		if i == 0 || t.Team != targets[i-1].Team {
			out = append(out, teamTotal{team: t.Team, weight: demands[i].Weight, capacityLimited: t.CapacityLimited})
		}
		total := &out[len(out)-1]
		r := p.sorted[i]
		total.nodes++
		total.target += t.Slots
		total.demand += demands[i].Demand
		total.service += (r.service - r.countedService).Seconds()
		r.countedService = r.service
	}
	return out
}

// updateDeficits updates the service deficit of each team. Only capacity-limited
// teams have one, since other teams do not use their full share. A team's fair service
// is the service that all capacity-limited teams received since the last update,
// divided in proportion to their targets; service that no team received thus creates
// no deficit. It also sets correctionScale so that the corrected targets of the
// capacity-limited teams add up to their targets.
func (p *pool) updateDeficits(totals []teamTotal, interval time.Duration) {
	target, service := 0.0, 0.0
	for _, t := range totals {
		if t.capacityLimited {
			target += t.target
			service += t.service
		}
	}
	deficits := make(map[vocab.TeamID]float64, len(totals))
	for _, t := range totals {
		if !t.capacityLimited || target <= 0 || interval <= 0 {
			continue
		}
		fair := service * t.target / target
		maxDeficit := t.target * maxDeficitTime.Seconds()
		deficits[t.team] = min(maxDeficit, max(-maxDeficit, p.deficits[t.team]+fair-t.service))
	}
	p.deficits = deficits
	p.correctionScale = 1
	corrected := 0.0
	for _, t := range totals {
		if t.capacityLimited {
			corrected += t.target * p.correctionFactor(t)
		}
	}
	if corrected > 0 {
		p.correctionScale = target / corrected
	}
}

// correctionFactor returns the factor that corrects a team's target for its deficit.
func (p *pool) correctionFactor(t teamTotal) float64 {
	if !t.capacityLimited || t.target <= 0 {
		return 1
	}
	c := 1 + p.deficits[t.team]/(t.target*correctionTime.Seconds())
	return p.correctionScale * min(maxCorrection, max(minCorrection, c))
}
