// Package poolplan distributes the machines of a fleet among its pools. It answers a demand
// that goes by turns: a pool asks for several times its mean for some seconds, and the pool
// whose turn has just ended holds most of the machines, each with a few tasks left. The
// package is pure: it knows neither tasks nor time of day, only what each pool lacks and when
// each machine will be empty.
package poolplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Pool is the state of one pool. Capacities are in typical machines.
type Pool struct {
	ID vocab.PoolID
	// Spare is set for the pool of machines that are switched off.
	Spare bool
	// Size is the capacity of the machines in the pool and of those that are moving there.
	Size float64
	// Need is the capacity that the pool lacks beyond Size.
	Need float64
	// Own is the capacity with which the pool's work, accepted and arriving, is on time.
	Own float64
}

// demand is the capacity that the pool requires.
func (p *Pool) demand() float64 { return max(p.Own, p.Size+max(0, p.Need), 1) }

// level is the part of its own work for which a pool has the capacity.
func (p *Pool) level() float64 { return p.Size / max(p.Own, 1) }

// Machine is a machine that could leave its pool.
type Machine struct {
	// Index identifies the machine to the caller.
	Index int
	Pool  vocab.PoolID
	// Capacity is in typical machines.
	Capacity float64
	// EmptyIn is the time until the last task on the machine ends; zero for an idle machine,
	// which may move at once.
	EmptyIn time.Duration
	// Tasks is the number of tasks on the machine.
	Tasks int
	// Free is the capacity that no task reserves.
	Free float64
	// Emptying is set if the machine was cordoned by the last plan.
	Emptying bool
}

// Policy switches the parts of the plan on.
type Policy struct {
	// ShareShortage divides the machines among all pools that lack some in proportion to their
	// demand. Without it a pool that lacks a single machine gives none.
	ShareShortage bool
	// EmptyByEnd frees the machines that are empty first, as many as the donor's own work
	// leaves. Without it those with the fewest tasks are freed, as far as the donor has free
	// room now.
	EmptyByEnd bool
}

// DefaultPolicy is the policy in use.
var DefaultPolicy = Policy{ShareShortage: true, EmptyByEnd: true}

const (
	// minLevelGap is the difference of two pools' levels from which the better served one
	// gives machines although it lacks some itself. A move loses the machine for 1.5 s, a
	// quarter of a turn.
	minLevelGap = 0.25
	// maxEmptyIn is the longest time for which a machine is emptied for another pool. With the
	// move after it the machine arrives within a turn of four to five seconds.
	maxEmptyIn = 2500 * time.Millisecond
	// emptyingHeadStart is the advantage of a machine that is being emptied already.
	emptyingHeadStart = 300 * time.Millisecond
	// soonEmpty is the time within which a machine counts as empty about now: these are chosen before
	// one that is being emptied for longer.
	soonEmpty = 500 * time.Millisecond
	// minFree is the free capacity that a donor keeps if machines are chosen by tasks.
	minFree = 2.0
)

// Assignment names a machine and the pool that it is for.
type Assignment struct {
	Machine int
	To      vocab.PoolID
}

// Plan is the result: the machines to move now, and those that get no new tasks so that they can
// move once they are empty.
type Plan struct{ Moves, Empty []Assignment }

// planner is the state of one planning pass.
type planner struct {
	policy  Policy
	pools   []*Pool
	byID    map[vocab.PoolID]*Pool
	surplus map[vocab.PoolID]float64 // capacity that each pool may still give
	free    map[vocab.PoolID]float64 // free capacity of its machines that stay
	idle    map[vocab.PoolID][]Machine
	busy    map[vocab.PoolID][]Machine // the machine to empty first comes last
	level   float64
	plan    Plan
	// moves is the number of machines that may still move.
	moves int
}

// Make distributes the machines. Idle machines of one pool are taken in their order in the
// list, the last one first. At most maxMoves machines move.
func Make(policy Policy, pools []Pool, machines []Machine, maxMoves int) Plan {
	p := &planner{
		policy: policy, byID: map[vocab.PoolID]*Pool{}, surplus: map[vocab.PoolID]float64{}, free: map[vocab.PoolID]float64{},
		idle: map[vocab.PoolID][]Machine{}, busy: map[vocab.PoolID][]Machine{}, moves: maxMoves,
	}
	for i := range pools {
		pool := pools[i]
		p.pools = append(p.pools, &pool)
		p.byID[pool.ID] = &pool
	}
	idleCapacity := map[vocab.PoolID]float64{}
	for _, m := range machines {
		p.free[m.Pool] += m.Free
		if m.EmptyIn == 0 {
			p.idle[m.Pool] = append(p.idle[m.Pool], m)
			idleCapacity[m.Pool] += m.Capacity
		} else {
			p.busy[m.Pool] = append(p.busy[m.Pool], m)
		}
	}
	p.findSurplus(idleCapacity)
	p.sortBusy()
	for {
		to := p.neediest()
		if to == nil {
			return p.plan
		}
		if !p.moveIdle(to) && !p.emptyOne(to, soonEmpty) && !p.emptyOne(to, maxEmptyIn) {
			to.Need = 0
		}
	}
}

// findSurplus determines the level to which all pools' demand can be met, and what each pool
// may give.
func (p *planner) findSurplus(idle map[vocab.PoolID]float64) {
	supply, demand := 0.0, 0.0
	for _, pool := range p.pools {
		switch {
		case pool.Spare:
			supply += idle[pool.ID]
		case pool.Need > 0 && pool.Size <= pool.Own:
			supply += pool.Size
			demand += pool.demand()
		default:
			supply += pool.Size
			demand += pool.Own
		}
	}
	p.level = 1
	if p.policy.ShareShortage && demand > 0 {
		p.level = min(1, supply/demand)
	}
	for _, pool := range p.pools {
		switch {
		case pool.Spare:
			p.surplus[pool.ID] = idle[pool.ID]
		case pool.Need <= 0 || p.policy.ShareShortage:
			p.surplus[pool.ID] = max(0, pool.Size-p.level*pool.Own)
		}
	}
}

// sortBusy sorts the busy machines of each pool, the one to empty first last.
func (p *planner) sortBusy() {
	for _, pool := range p.pools {
		slices.SortStableFunc(p.busy[pool.ID], func(a, b Machine) int {
			if p.policy.EmptyByEnd {
				return cmp.Compare(b.rank(), a.rank())
			}
			return cmp.Compare(b.Tasks, a.Tasks)
		})
	}
}

func (m Machine) rank() time.Duration {
	if m.Emptying {
		return m.EmptyIn - emptyingHeadStart
	}
	return m.EmptyIn
}

// neediest is the pool with the lowest level, or nil if no pool lacks machines.
func (p *planner) neediest() *Pool {
	var best *Pool
	for _, pool := range p.pools {
		if pool.Spare || pool.Need <= 0 || p.policy.ShareShortage && p.level < 1 && pool.Size >= p.level*pool.demand() {
			continue
		}
		if best == nil || pool.Size/pool.demand() < best.Size/best.demand() {
			best = pool
		}
	}
	return best
}

// mayGive reports whether a pool may give a machine of some capacity to another one.
func (p *planner) mayGive(from *Pool, capacity float64, to *Pool) bool {
	if from == nil || from == to || p.surplus[from.ID] < capacity*0.999 {
		return false
	}
	return from.Spare || from.Need <= 0 || from.level()-to.Size/to.demand() > minLevelGap
}

// moveIdle moves an idle machine of the pool with the largest surplus.
func (p *planner) moveIdle(to *Pool) bool {
	if p.moves <= 0 {
		return false
	}
	var from *Pool
	for _, pool := range p.pools {
		list := p.idle[pool.ID]
		if len(list) == 0 || !p.mayGive(pool, list[len(list)-1].Capacity, to) {
			continue
		}
		if from == nil || p.surplus[pool.ID] > p.surplus[from.ID] {
			from = pool
		}
	}
	if from == nil {
		return false
	}
	list := p.idle[from.ID]
	m := list[len(list)-1]
	p.idle[from.ID] = list[:len(list)-1]
	p.moves--
	p.plan.Moves = append(p.plan.Moves, Assignment{m.Index, to.ID})
	p.transfer(m, from, to)
	return true
}

// emptyOne chooses the machine to empty that is empty first among those that may be emptied
// within a time.
func (p *planner) emptyOne(to *Pool, within time.Duration) bool {
	var from *Pool
	var best Machine
	for _, pool := range p.pools {
		list := p.busy[pool.ID]
		if len(list) == 0 {
			continue
		}
		m := list[len(list)-1]
		if p.mayGive(pool, m.Capacity, to) && p.mayEmpty(m, within) && (from == nil || m.rank() < best.rank()) {
			from, best = pool, m
		}
	}
	if from == nil {
		return false
	}
	p.busy[from.ID] = p.busy[from.ID][:len(p.busy[from.ID])-1]
	p.plan.Empty = append(p.plan.Empty, Assignment{best.Index, to.ID})
	p.transfer(best, from, to)
	return true
}

func (p *planner) mayEmpty(m Machine, within time.Duration) bool {
	if p.policy.EmptyByEnd {
		return m.EmptyIn <= within
	}
	return p.free[m.Pool]-m.Free >= minFree
}

// transfer accounts for a machine that changes its pool.
func (p *planner) transfer(m Machine, from, to *Pool) {
	p.surplus[from.ID] -= m.Capacity
	p.free[from.ID] -= m.Free
	from.Size -= m.Capacity
	if from.Need > 0 {
		from.Need += m.Capacity
	}
	to.Size += m.Capacity
	to.Need -= m.Capacity
}
