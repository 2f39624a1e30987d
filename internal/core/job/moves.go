package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// minWaitBeforeMove is the time for which tasks must wait before machines are moved
	// for them.
	minWaitBeforeMove = 100 * time.Millisecond
	// minIdleBeforeMove is the time for which a machine must be idle before it moves to
	// another pool.
	minIdleBeforeMove = 300 * time.Millisecond
	// minIdleBeforeSwitchOff is the time for which a machine must be idle before it is
	// switched off. Switching it off and on again costs about as much as running it for
	// this time.
	minIdleBeforeSwitchOff = 2500 * time.Millisecond
	// minIdleMachines is the number of idle machines that a pool keeps.
	minIdleMachines = 2
	// minPoolMachines is the minimum number of machines of a pool.
	minPoolMachines = 2
	// maxMovingFraction is the maximum fraction of all machines that may be moving at the
	// same time; minMoveLimit is the number that may always be moving.
	maxMovingFraction = 0.4
	minMoveLimit      = 16
)

// planMoves moves idle machines to the pools that need machines, since the peak demand shifts
// from pool to pool. Idle machines that no pool needs go to the spare pool, where they are
// switched off and cost nothing.
func (o *owner) planMoves() {
	moving := o.pendingMoves()
	need := o.fleet.machinesNeeded
	maxMoves := max(minMoveLimit, int(maxMovingFraction*float64(len(o.fleet.machineIDs))))
	surplus := o.surplusMachines(need)
	o.clearReservations()
	for _, p := range o.poolsByWaitTime(need) {
		missing := need[p]
		for missing > 0 && moving < maxMoves && o.fleet.orderTokens >= 1 {
			m := o.takeSurplus(surplus, p)
			if m == nil {
				break
			}
			o.scheduleOrder(m, OrderMove, p, 0)
			missing--
			moving++
		}
		o.reserveMachines(p, missing)
	}
	o.switchOffIdle(surplus, maxMoves-moving)
}

// pendingMoves counts the moves that are not complete.
func (o *owner) pendingMoves() int {
	n := 0
	for _, id := range o.fleet.machineIDs {
		if m := o.fleet.machines[id]; m.orderPending && m.order == OrderMove {
			n++
		}
	}
	return n
}

// machinesNeededByPool returns the number of machines that each pool needs for its waiting
// and its forecast work, in addition to those that are moving there. It is negative for a
// pool that has more machines than the forecast requires.
func (o *owner) machinesNeededByPool() map[vocab.PoolID]int {
	need, moving := map[vocab.PoolID]int{}, map[vocab.PoolID]int{}
	for _, id := range o.fleet.machineIDs {
		if m := o.fleet.machines[id]; m.orderPending && m.order == OrderMove && !o.evacuatedMachine(m) {
			moving[m.targetPool]++
		}
	}
	sizes := o.machinesForFiniteTasks()
	for i := range o.s.config.Pools {
		p := o.s.config.Pools[i].Name
		if o.s.config.Pools[i].Spare {
			continue
		}
		need[p] = o.forecastMachines(p) - sizes[p] - moving[p]
		if d := o.demand[p]; d.needsMachines() && o.s.now.Sub(d.waitingSince) > minWaitBeforeMove {
			need[p] = max(need[p], d.machinesNeeded()-moving[p])
		}
	}
	return need
}

// poolsByWaitTime lists the pools that need machines, the one that waits longest first.
func (o *owner) poolsByWaitTime(need map[vocab.PoolID]int) []vocab.PoolID {
	var list []vocab.PoolID
	for p, n := range need {
		if n > 0 {
			list = append(list, p)
		}
	}
	since := func(p vocab.PoolID) vocab.Instant {
		if d := o.demand[p]; d.needsMachines() {
			return d.waitingSince
		}
		return o.s.now
	}
	slices.SortFunc(list, func(a, b vocab.PoolID) int {
		if c := cmp.Compare(since(a), since(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return list
}

const (
	// packingLossFraction is the fraction of a machine's capacity that bin packing leaves
	// unused.
	packingLossFraction = 0.1
	// demandGrowthFactor scales the waiting work: demand that exceeds the capacity of a pool
	// keeps rising while a machine moves there.
	demandGrowthFactor = 1.4
)

// typicalCapacity returns the capacity of the first machine whose capacity is known, or zero.
func (f *fleet) typicalCapacity() Resources {
	for _, id := range f.machineIDs {
		if r := f.machines[id].info.Capacity; r.CPU > 0 {
			return r
		}
	}
	return Resources{}
}

// surplusMachines lists the idle machines that may leave each pool, the longest idle last. A
// pool keeps those that the forecast requires.
func (o *owner) surplusMachines(need map[vocab.PoolID]int) map[vocab.PoolID][]*machine {
	surplus := map[vocab.PoolID][]*machine{}
	size := map[vocab.PoolID]int{}
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		if !o.acceptsOrder(m) || m.info.State != MachineUp || o.evacuatedMachine(m) {
			continue
		}
		size[m.info.Pool]++
		w := o.workerOf(m)
		if m.idleSince == 0 || m.cordonedAt != 0 || w != nil && w.info.Draining {
			continue
		}
		if !m.reserved && o.s.now.Sub(m.idleSince) < minIdleBeforeMove {
			continue
		}
		surplus[m.info.Pool] = append(surplus[m.info.Pool], m)
	}
	for p, list := range surplus {
		slices.SortStableFunc(list, func(a, b *machine) int { return cmp.Compare(b.idleSince, a.idleSince) })
		if o.isSparePool(p) {
			continue
		}
		keep := max(minIdleMachines, minPoolMachines-(size[p]-len(list)), len(list)+need[p])
		surplus[p] = list[min(keep, len(list)):]
	}
	return surplus
}

// takeSurplus takes a surplus machine for a pool from the pool that has the most.
func (o *owner) takeSurplus(surplus map[vocab.PoolID][]*machine, to vocab.PoolID) *machine {
	var from vocab.PoolID
	largest := 0
	for p, list := range surplus {
		if p == to || o.poolNeedsMachines(p) {
			continue
		}
		if len(list) > largest || len(list) == largest && p < from {
			from, largest = p, len(list)
		}
	}
	if largest == 0 {
		return nil
	}
	list := surplus[from]
	m := list[len(list)-1]
	surplus[from] = list[:len(list)-1]
	return m
}

// clearReservations returns the reserved machines to their pools. reserveMachines reserves
// them again if they are still needed.
func (o *owner) clearReservations() {
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		if !m.reserved {
			continue
		}
		m.reserved = false
		if w := o.workerOf(m); w != nil && !m.orderPending && m.cordonedAt == 0 {
			w.cordoned = false
		}
	}
}

// reserveMachines cordons machines of other pools so that they become idle for a pool that
// needs them. When the demand of a pool falls, its remaining tasks are spread over many
// machines, and without a cordon no machine would stay idle for long. The machines with the
// fewest tasks are chosen, as far as their pool has enough free capacity without them.
func (o *owner) reserveMachines(to vocab.PoolID, missing int) {
	if missing <= 0 {
		return
	}
	free := map[vocab.PoolID]Resources{}
	var candidates []*machine
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		w := o.workerOf(m)
		if w == nil || m.info.Pool == to || o.poolNeedsMachines(m.info.Pool) || !w.usable(o.s.now) {
			continue
		}
		free[m.info.Pool] = free[m.info.Pool].Plus(w.free())
		if !m.orderPending && m.cordonedAt == 0 && countFiniteTasks(w) == len(w.tasks) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Compare(len(o.workerOf(a).tasks), len(o.workerOf(b).tasks))
	})
	for _, m := range candidates {
		w := o.workerOf(m)
		remaining := free[m.info.Pool].Minus(w.free())
		if missing == 0 || remaining.CPU < minIdleMachines*w.info.Capacity.CPU {
			continue
		}
		free[m.info.Pool] = remaining
		m.reserved, w.cordoned = true, true
		missing--
	}
}

// switchOffIdle moves machines that were idle for a long time to the spare pool.
func (o *owner) switchOffIdle(surplus map[vocab.PoolID][]*machine, maxMoves int) {
	spare := o.sparePool()
	if spare == "" {
		return
	}
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		if maxMoves <= 0 || o.fleet.orderTokens < 1 {
			return
		}
		if m.info.Pool == spare || !o.idleInEvacuatedZone(m) &&
			(!slices.Contains(surplus[m.info.Pool], m) || o.s.now.Sub(m.idleSince) < minIdleBeforeSwitchOff) {
			continue
		}
		o.scheduleOrder(m, OrderMove, spare, 0)
		maxMoves--
	}
}

func (o *owner) isSparePool(p vocab.PoolID) bool {
	pool := o.s.config.pools[p]
	return pool != nil && pool.Spare
}

func (o *owner) sparePool() vocab.PoolID {
	for i := range o.s.config.Pools {
		if o.s.config.Pools[i].Spare {
			return o.s.config.Pools[i].Name
		}
	}
	return ""
}
