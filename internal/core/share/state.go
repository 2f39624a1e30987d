package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// UpdateInterval is the time between calls of State.Update.
	UpdateInterval = time.Second
	// reportLifetime is the time after which a report expires unless it is renewed.
	// It ends the demand of a failed or unreachable node.
	reportLifetime = 4 * time.Second
	// correctionTime is the time over which a deficit is compensated.
	correctionTime = 8 * time.Second
	// maxDeficitTime bounds a team's service deficit and its excess service, as the
	// time in which the team receives that much service at its target.
	maxDeficitTime = 4 * time.Second
	// demandSmoothing is the weight of a new observation in the reported demand
	// (exponential moving average).
	demandSmoothing = 0.25
	// demandTolerance is the relative excess of demand over the target that is
	// attributed to rounding.
	demandTolerance = 1e-6
	// minCorrection bounds how far excess service lowers a team's allocation.
	minCorrection = 0.2
	// maxCorrection bounds how far a deficit raises a team's allocation.
	maxCorrection = 2.0
)

// DemandReport is one node's report about one team in one pool. Later reports of a node
// replace earlier ones.
type DemandReport struct {
	Pool vocab.PoolID
	Team vocab.TeamID
	Node vocab.Incarnation
	// Demand is the mean number of slots that the team's requests at the node
	// used or waited for since the last report.
	Demand float64
	// AccumulatedService is the slot time used since the process started. It never
	// decreases, so lost and duplicate reports do no harm.
	AccumulatedService time.Duration
}

// Team is the configuration of one team.
type Team struct {
	Name   vocab.TeamID
	Weight float64
	// Limit is the team's upper limit over all pools; 0 stands for none.
	Limit vocab.Slots
}

// Allocation is one team's share of a pool at this node.
type Allocation struct {
	Team vocab.TeamID
	// TargetSlots is the team's weighted max-min share at this node, in slots.
	TargetSlots float64
	// CorrectedSlots is TargetSlots corrected for the team's fleet-wide service
	// deficit.
	CorrectedSlots float64
	// Weight is the weight with which the local queue serves the team. If
	// CapacityLimited is set, it is the team's weight multiplied by this node's
	// fraction of the team's demand, corrected like CorrectedSlots. Otherwise the
	// team demands less than its share and gets a larger fraction of its weight
	// at each node, so that its requests hardly wait.
	Weight float64
	// CapacityLimited is set if only the pool's capacity limits the team.
	CapacityLimited bool
	// Demand is the demand at this node and FleetDemand that at all nodes, in slots.
	Demand, FleetDemand float64
}

// State holds the reports of all nodes and the allocations of this node.
type State struct {
	self       vocab.Incarnation
	teams      map[vocab.TeamID]Team
	pools      map[vocab.PoolID]*pool
	poolIDs    []vocab.PoolID // keys of pools, sorted
	lastUpdate vocab.Instant
	// teamDemand is the demand of each team over all pools.
	teamDemand map[vocab.TeamID]float64
}

// pool is the state of one pool.
type pool struct {
	capacity  float64
	reports   map[reportKey]*report
	sorted    []*report // all reports, sorted by team and node
	needsSort bool      // reports were appended to sorted
	// deficits has the service deficits of teams in slot seconds; a negative value
	// is excess service.
	deficits map[vocab.TeamID]float64
	// constrained has the teams that demand more than their target.
	constrained map[vocab.TeamID]bool
	// correctionScale makes the corrected targets add up to the targets.
	correctionScale float64
	allocations     []Allocation
}

// reportKey identifies the reports of one node about one team.
type reportKey struct {
	team vocab.TeamID
	node vocab.Incarnation
}

// report is the latest report of one node about one team.
type report struct {
	reportKey
	demand float64
	// nextDemand is this node's own demand as last reported. It is used with the
	// next report.
	nextDemand float64
	// service is the accumulated service, and countedService the part of it that
	// an update has processed.
	service        time.Duration
	countedService time.Duration
	receivedAt     vocab.Instant
}

// New returns the state of a node without reports.
func New(self vocab.Incarnation) *State {
	return &State{
		self:       self,
		teams:      map[vocab.TeamID]Team{},
		pools:      map[vocab.PoolID]*pool{},
		teamDemand: map[vocab.TeamID]float64{},
	}
}

// SetTeams replaces the teams.
func (s *State) SetTeams(teams []Team) {
	clear(s.teams)
	for _, t := range teams {
		s.teams[t.Name] = t
	}
}

// SetCapacity sets the capacity of a pool: the slots of all its ready VMs.
func (s *State) SetCapacity(id vocab.PoolID, n vocab.Slots) {
	s.pool(id).capacity = float64(n)
}

// Report smooths and records this node's own report, and returns the smoothed report
// to send to the other nodes. The number of waiting requests changes faster than
// reports are sent; allocations that followed it would oscillate on all nodes at once.
// The node uses its own report one update later, when the others have received it
// too, so that the allocations of all nodes belong to the same division.
func (s *State) Report(now vocab.Instant, in DemandReport) DemandReport {
	in.Node = s.self
	r := s.report(in)
	if in.Demand > 0 {
		in.Demand = r.nextDemand + demandSmoothing*(in.Demand-r.nextDemand)
	}
	r.demand = r.nextDemand
	r.nextDemand = in.Demand
	r.service = in.AccumulatedService
	r.receivedAt = now
	return in
}

// Observe records a report received from another node. Outdated reports are ignored.
func (s *State) Observe(now vocab.Instant, in DemandReport) {
	r := s.report(in)
	if in.AccumulatedService < r.service {
		return
	}
	r.demand = in.Demand
	r.service = in.AccumulatedService
	r.receivedAt = now
}

// report returns the stored report with the same pool, team and node, adding one
// if there is none.
func (s *State) report(in DemandReport) *report {
	p := s.pool(in.Pool)
	key := reportKey{team: in.Team, node: in.Node}
	r, ok := p.reports[key]
	if !ok {
		// Service before the first report belongs to no update interval.
		r = &report{reportKey: key, nextDemand: in.Demand, service: in.AccumulatedService, countedService: in.AccumulatedService}
		p.reports[key] = r
		p.sorted = append(p.sorted, r)
		p.needsSort = true
	}
	return r
}

// KeepMembers drops the reports of nodes that are no longer members.
func (s *State) KeepMembers(member func(vocab.Incarnation) bool) {
	for _, id := range s.poolIDs {
		s.pools[id].dropReports(func(r *report) bool { return !member(r.node) })
	}
}

// Update computes the allocations in all pools. It is called every UpdateInterval.
func (s *State) Update(now vocab.Instant) {
	interval := now.Sub(s.lastUpdate)
	s.lastUpdate = now
	clear(s.teamDemand)
	for _, id := range s.poolIDs {
		p := s.pools[id]
		p.dropReports(func(r *report) bool { return now.Sub(r.receivedAt) > reportLifetime })
		for _, r := range p.sorted {
			s.teamDemand[r.team] += r.demand
		}
	}
	for _, id := range s.poolIDs {
		s.updatePool(s.pools[id], interval)
	}
}

// Allocations returns this node's allocations in a pool, sorted by team. The slice
// is valid until the next Update.
func (s *State) Allocations(id vocab.PoolID) []Allocation {
	p, ok := s.pools[id]
	if !ok {
		return nil
	}
	return p.allocations
}

// MaxConstrainedSlots returns the number of used slots of a pool at which this node
// stops starting requests of constrained teams. While teams compete it is the
// node's target, so that the other slots stay free for nodes that are below their
// targets; otherwise it is unlimited. The target of a node without reports of other
// nodes is the whole pool.
func (s *State) MaxConstrainedSlots(id vocab.PoolID) vocab.Slots {
	if !s.Contended(id) {
		return math.MaxInt32
	}
	return vocab.Slots(math.Ceil(s.NodeTarget(id)))
}

// Constrained reports whether a team is constrained: whether it demands more of a
// pool than its fleet-wide target, because of the capacity or of its upper limit.
// MaxConstrainedSlots applies to such teams only; other teams may use any slot of
// the node.
func (s *State) Constrained(id vocab.PoolID, team vocab.TeamID) bool {
	p, ok := s.pools[id]
	return ok && p.constrained[team]
}

// Contended reports whether the capacity of a pool limits any team.
func (s *State) Contended(id vocab.PoolID) bool {
	return slices.ContainsFunc(s.Allocations(id), func(a Allocation) bool { return a.CapacityLimited })
}

// NodeTarget returns the number of slots of a pool that this node should use.
func (s *State) NodeTarget(id vocab.PoolID) float64 {
	total := 0.0
	for _, a := range s.Allocations(id) {
		total += a.CorrectedSlots
	}
	return total
}

// pool returns a pool, adding it if there is none.
func (s *State) pool(id vocab.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = &pool{reports: map[reportKey]*report{}, deficits: map[vocab.TeamID]float64{}, constrained: map[vocab.TeamID]bool{}}
		s.pools[id] = p
		at, _ := slices.BinarySearch(s.poolIDs, id)
		s.poolIDs = slices.Insert(s.poolIDs, at, id)
	}
	return p
}

// dropReports removes the reports that match.
func (p *pool) dropReports(match func(*report) bool) {
	p.sorted = slices.DeleteFunc(p.sorted, func(r *report) bool {
		if !match(r) {
			return false
		}
		delete(p.reports, r.reportKey)
		return true
	})
}

// sortReports sorts the reports by team and node, as Targets expects.
func (p *pool) sortReports() {
	if !p.needsSort {
		return
	}
	p.needsSort = false
	slices.SortFunc(p.sorted, func(a, b *report) int {
		if c := cmp.Compare(a.team, b.team); c != 0 {
			return c
		}
		return cmp.Compare(a.node, b.node)
	})
}
