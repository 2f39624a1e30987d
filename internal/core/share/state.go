package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// UpdateInterval is the time between two calls of State.Update.
	UpdateInterval = time.Second
	// factLife is how long a report counts without being renewed. A lost or
	// unreachable node's demand is forgotten after it.
	factLife = 4 * time.Second
	// correctionTime is the time over which a deficit is made up for.
	correctionTime = 8 * time.Second
	// deficitBound is the most service, in time at the team's target, that a
	// team can be owed or can owe.
	deficitBound = 4 * time.Second
	// demandSmoothing is the weight of a new observation in reported demand.
	demandSmoothing = 0.25
	// rounding is the relative difference that counts as none.
	rounding = 1e-6
	// leastCorrection bounds how far a debt lowers a team's part.
	leastCorrection = 0.2
	// mostCorrection bounds how far a deficit raises a team's part.
	mostCorrection = 2.0
)

// Fact is what one node reports of one team in one pool. Later reports of a
// node replace earlier ones.
type Fact struct {
	Pool vocab.PoolID
	Team vocab.TeamID
	Node vocab.Incarnation
	// Demand is the mean number of slots that the team's requests at the node
	// used or waited for since the last report.
	Demand float64
	// Attained is the slot time used since the process started. It never
	// falls, so lost and doubled reports do no harm.
	Attained time.Duration
}

// Team is a team's part of the configuration.
type Team struct {
	Name   vocab.TeamID
	Weight float64
	// Limit is the team's upper limit over all pools; 0 stands for none.
	Limit vocab.Slots
}

// Part is what one team should get through this node.
type Part struct {
	Team vocab.TeamID
	// Target is the team's weighted max-min part through this node, in slots.
	Target float64
	// Slots is the target corrected by what the team is owed over the fleet.
	Slots float64
	// Weight is the weight with which the local queue serves the team. If Level
	// is set it is the part of the team's share that its demand at this node has
	// in its whole demand, corrected like Slots. Else the team uses less than its
	// share and has a larger part of it at each node, so that its requests hardly
	// wait.
	Weight float64
	// Level is set if only the pool's capacity keeps the team from more.
	Level bool
	// Demand is this node's demand and FleetDemand that of all nodes, in slots.
	Demand, FleetDemand float64
}

// State holds the reports of all nodes and this node's parts.
type State struct {
	self  vocab.Incarnation
	teams map[vocab.TeamID]Team
	pools map[vocab.PoolID]*pool
	names []vocab.PoolID // keys of pools, sorted
	last  vocab.Instant
	// wanted is the demand of each team over all pools.
	wanted map[vocab.TeamID]float64
}

// pool is the state of one pool.
type pool struct {
	capacity float64
	reports  map[reporter]*report
	order    []*report // all reports, sorted by reporter
	stale    bool      // order must be sorted again
	owed     map[vocab.TeamID]float64
	// heldDown holds the teams that want more than their part.
	heldDown map[vocab.TeamID]bool
	// scale makes corrected parts add up to the targets.
	scale float64
	parts []Part
}

type reporter struct {
	team vocab.TeamID
	node vocab.Incarnation
}

type report struct {
	reporter
	demand float64
	// fresh is this node's own demand as last reported.
	fresh    float64
	attained time.Duration
	// counted is the part of attained that an update has taken in.
	counted time.Duration
	heard   vocab.Instant
}

// New returns the state of a node that has heard nothing.
func New(self vocab.Incarnation) *State {
	return &State{
		self:   self,
		teams:  map[vocab.TeamID]Team{},
		pools:  map[vocab.PoolID]*pool{},
		wanted: map[vocab.TeamID]float64{},
	}
}

// SetTeams replaces the teams.
func (s *State) SetTeams(teams []Team) {
	clear(s.teams)
	for _, t := range teams {
		s.teams[t.Name] = t
	}
}

// SetCapacity sets the slots of all ready VMs of a pool.
func (s *State) SetCapacity(id vocab.PoolID, n vocab.Slots) {
	s.pool(id).capacity = float64(n)
}

// Report smooths this node's own report, takes it in and returns what the
// other nodes are to hear. Waiting requests come and go faster than reports, and
// parts that followed them would make the nodes swing together. The node uses
// its own report one update later, when the others have it too, so that the
// parts of all nodes make one division.
func (s *State) Report(now vocab.Instant, f Fact) Fact {
	f.Node = s.self
	r := s.report(f)
	if f.Demand > 0 {
		f.Demand = r.fresh + demandSmoothing*(f.Demand-r.fresh)
	}
	r.demand = r.fresh
	r.fresh = f.Demand
	r.attained = f.Attained
	r.heard = now
	return f
}

// Observe takes in a report of another node, heard now.
func (s *State) Observe(now vocab.Instant, f Fact) {
	r := s.report(f)
	if f.Attained < r.attained {
		return
	}
	r.demand = f.Demand
	r.attained = f.Attained
	r.heard = now
}

// report returns the report that a fact renews, making it if there is none.
func (s *State) report(f Fact) *report {
	p := s.pool(f.Pool)
	key := reporter{team: f.Team, node: f.Node}
	r, ok := p.reports[key]
	if !ok {
		// What was attained before the first report counts for no window.
		r = &report{reporter: key, fresh: f.Demand, attained: f.Attained, counted: f.Attained}
		p.reports[key] = r
		p.order = append(p.order, r)
		p.stale = true
	}
	return r
}

// KeepMembers drops all reports of nodes whose membership ended.
func (s *State) KeepMembers(member func(vocab.Incarnation) bool) {
	for _, id := range s.names {
		s.pools[id].drop(func(r *report) bool { return !member(r.node) })
	}
}

// Update computes the parts of all pools. It is called every UpdateInterval.
func (s *State) Update(now vocab.Instant) {
	interval := now.Sub(s.last)
	s.last = now
	clear(s.wanted)
	for _, id := range s.names {
		p := s.pools[id]
		p.drop(func(r *report) bool { return now.Sub(r.heard) > factLife })
		for _, r := range p.order {
			s.wanted[r.team] += r.demand
		}
	}
	for _, id := range s.names {
		s.updatePool(s.pools[id], interval)
	}
}

// Parts returns this node's parts of a pool, sorted by team. The slice is valid
// until the next Update.
func (s *State) Parts(id vocab.PoolID) []Part {
	p, ok := s.pools[id]
	if !ok {
		return nil
	}
	return p.parts
}

// Most returns the number of slots of a pool above which this node starts
// nothing for teams that are held down. While
// teams compete it is the node's target, so that slots above it stay free for
// nodes below theirs; else it has no bound. A node that hears of no other node
// has the whole pool as its target.
func (s *State) Most(id vocab.PoolID) vocab.Slots {
	if !s.Contended(id) {
		return math.MaxInt32
	}
	return vocab.Slots(math.Ceil(s.NodeTarget(id)))
}

// HeldDown reports whether a team wants more of a pool than its part, over all
// nodes, be it for the capacity or for its upper limit. Only such teams are bound by Most: who uses less than its part may use
// any slot that the node has.
func (s *State) HeldDown(id vocab.PoolID, team vocab.TeamID) bool {
	p, ok := s.pools[id]
	return ok && p.heldDown[team]
}

// Contended reports whether a team could use more of a pool than it gets.
func (s *State) Contended(id vocab.PoolID) bool {
	return slices.ContainsFunc(s.Parts(id), func(p Part) bool { return p.Level })
}

// NodeTarget returns the number of slots of a pool that this node should hold.
func (s *State) NodeTarget(id vocab.PoolID) float64 {
	sum := 0.0
	for _, part := range s.Parts(id) {
		sum += part.Slots
	}
	return sum
}

func (s *State) pool(id vocab.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = &pool{reports: map[reporter]*report{}, owed: map[vocab.TeamID]float64{}, heldDown: map[vocab.TeamID]bool{}}
		s.pools[id] = p
		at, _ := slices.BinarySearch(s.names, id)
		s.names = slices.Insert(s.names, at, id)
	}
	return p
}

// drop removes the reports that match.
func (p *pool) drop(match func(*report) bool) {
	p.order = slices.DeleteFunc(p.order, func(r *report) bool {
		if !match(r) {
			return false
		}
		delete(p.reports, r.reporter)
		return true
	})
}

// sort puts the reports in the order that Targets needs.
func (p *pool) sort() {
	if !p.stale {
		return
	}
	p.stale = false
	slices.SortFunc(p.order, func(a, b *report) int {
		if c := cmp.Compare(a.team, b.team); c != 0 {
			return c
		}
		return cmp.Compare(a.node, b.node)
	})
}
