package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/poolplan"
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
	// minIdleMachines is the number of idle machines that a pool keeps unless another one lacks
	// machines.
	minIdleMachines = 2
	// minPoolMachines is the minimum number of machines of a pool.
	minPoolMachines = 2
	// maxSwitchingOffFraction is the maximum fraction of all machines that may be moving while
	// more are switched off; minMoveLimit is the number that may always be moving. A machine
	// that a pool lacks waits for none of them: the platform's order rate is the only bound.
	maxSwitchingOffFraction = 0.4
	minMoveLimit            = 16
)

// planMoves moves machines to the pools that need machines, since the peak demand shifts from
// pool to pool, and empties machines for them. Idle machines that no pool needs go to the spare
// pool, where they are switched off and cost nothing.
func (o *owner) planMoves() {
	maxMoves := max(minMoveLimit, int(maxSwitchingOffFraction*float64(len(o.fleet.machineIDs)))) - o.pendingMoves()
	pools := o.poolStates()
	machines := o.movableMachines()
	o.clearReservations()
	plan := poolplan.Make(o.fleet.policy, pools, machines, int(o.fleet.orderTokens))
	for _, a := range plan.Moves {
		o.scheduleOrder(o.fleet.machines[o.fleet.machineIDs[a.Machine]], OrderMove, a.To, 0)
		maxMoves--
	}
	for _, a := range plan.Empty {
		m := o.fleet.machines[o.fleet.machineIDs[a.Machine]]
		m.reserved, o.workerOf(m).cordoned = true, true
	}
	o.switchOffIdle(o.surplusMachines(o.fleet.machinesNeeded), maxMoves)
}

// poolStates describes the pools for the plan.
func (o *owner) poolStates() []poolplan.Pool {
	sizes, moving := o.machinesForFiniteTasks(), o.movingCapacity()
	o.fleet.dueWork = o.dueWork()
	pools := make([]poolplan.Pool, 0, len(o.s.config.Pools))
	for i := range o.s.config.Pools {
		id := o.s.config.Pools[i].Name
		pools = append(pools, poolplan.Pool{
			ID: id, Spare: o.s.config.Pools[i].Spare, Size: sizes[id] + moving[id], Need: float64(o.fleet.machinesNeeded[id]),
			Own: max(o.fleet.dueWork[id]/(1-packingLossFraction), float64(o.forecastMachines(id))),
		})
	}
	return pools
}

// dueWork is the capacity, in typical machines, with which the jobs of each pool meet their
// objectives: the remaining work of each job divided by the time left for it.
func (o *owner) dueWork() map[vocab.PoolID]float64 {
	capacity := o.fleet.typicalCapacity()
	sum := map[vocab.PoolID]float64{}
	for _, j := range o.jobOrder {
		if j.terminalPhase != 0 || j.hasLongRunningTasks() {
			continue
		}
		times := o.timesOf(j)
		left := times.remaining + max(0, times.slack())
		if left <= 0 || !o.countsForSupply(times) {
			continue
		}
		for _, occ := range j.occurrences.live {
			for _, st := range occ.steps {
				if perMachine := st.tasksPerMachine(capacity); perMachine > 0 {
					runTime := o.estimates.runTime(j.acceptance.Queue, st.spec.EstimateMS)
					sum[o.poolOf(j)] += float64(len(st.tasks)-st.completed) / float64(perMachine) * runTime.Seconds() / left.Seconds()
				}
			}
		}
		if j.occurrences.waiting() == 0 {
			continue
		}
		for _, st := range j.modelOccurrence().steps {
			if perMachine := st.tasksPerMachine(capacity); perMachine > 0 {
				runTime := o.estimates.runTime(j.acceptance.Queue, st.spec.EstimateMS)
				sum[o.poolOf(j)] += float64(j.occurrences.waiting()*st.spec.Count) / float64(perMachine) * runTime.Seconds() / left.Seconds()
			}
		}
	}
	return sum
}

// movableMachines lists the machines that could leave their pools: idle ones, the longest idle
// of each pool last, and those that run only finite tasks.
func (o *owner) movableMachines() []poolplan.Machine {
	var list []poolplan.Machine
	indexes := make(map[*machine]int, len(o.fleet.machineIDs))
	for i, id := range o.fleet.machineIDs {
		indexes[o.fleet.machines[id]] = i
	}
	idle := o.surplusMachines(nil)
	for i := range o.s.config.Pools {
		for _, m := range idle[o.s.config.Pools[i].Name] {
			list = append(list, poolplan.Machine{Index: indexes[m], Pool: m.info.Pool, Capacity: o.fleet.relativeCapacity(m)})
		}
	}
	for i, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		if w := o.workerOf(m); w != nil && o.mayEmpty(m, w) {
			list = append(list, poolplan.Machine{
				Index: i, Pool: m.info.Pool, Capacity: o.fleet.relativeCapacity(m), EmptyIn: o.emptyIn(w), Tasks: len(w.tasks),
				Free: float64(w.free().CPU) / float64(max(w.info.Capacity.CPU, 1)), Emptying: m.reserved,
			})
		}
	}
	return list
}

// emptyIn is the time until the last task on a worker is expected to end.
func (o *owner) emptyIn(w *worker) time.Duration {
	end := o.s.now.Add(minExpectedRest)
	for _, t := range w.tasks {
		if t.state != runStopping {
			end = max(end, o.expectedEnd(t))
		}
	}
	return end.Sub(o.s.now)
}

// mayEmpty reports whether a busy machine may be emptied for another pool.
func (o *owner) mayEmpty(m *machine, w *worker) bool {
	usable := w.usable(o.s.now)
	if m.reserved && !m.orderPending && m.cordonedAt == 0 {
		// Only the plan's own cordon keeps tasks away.
		w.cordoned = false
		usable = w.usable(o.s.now)
		w.cordoned = true
	}
	return usable && !m.orderPending && m.cordonedAt == 0 && len(w.tasks) > 0 && w.orphaned == Resources{} &&
		countFiniteTasks(w) == len(w.tasks)
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
	need, moving, sizes := map[vocab.PoolID]int{}, o.movingCapacity(), o.machinesForFiniteTasks()
	for i := range o.s.config.Pools {
		p := o.s.config.Pools[i].Name
		if o.s.config.Pools[i].Spare {
			continue
		}
		need[p] = o.forecastMachines(p) - int(sizes[p]+moving[p])
		if d := o.demand[p]; d.needsMachines() && o.s.now.Sub(d.waitingSince) > minWaitBeforeMove {
			if !o.lateWorkCounts() {
				d.finiteMachines = d.urgentMachines
			}
			need[p] = max(need[p], d.machinesNeeded()-int(moving[p]))
		}
	}
	return need
}

// movingCapacity is the capacity, in typical machines, that is moving to each pool.
func (o *owner) movingCapacity() map[vocab.PoolID]float64 {
	moving := map[vocab.PoolID]float64{}
	for _, id := range o.fleet.machineIDs {
		if m := o.fleet.machines[id]; m.orderPending && m.order == OrderMove && !o.evacuatedMachine(m) {
			moving[m.targetPool] += o.fleet.relativeCapacity(m)
		}
	}
	return moving
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

// relativeCapacity is the capacity of a machine in typical machines.
func (f *fleet) relativeCapacity(m *machine) float64 {
	typical := f.typicalCapacity().CPU
	if typical <= 0 || m.info.Capacity.CPU <= 0 {
		return 1
	}
	return float64(m.info.Capacity.CPU) / float64(typical)
}

// surplusMachines lists the idle machines that may leave each pool, the longest idle last. If
// needs are given, a pool keeps a few of them and those that the forecast requires.
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
		if (need != nil || !o.fleet.policy.EmptyByEnd) && !m.reserved && o.s.now.Sub(m.idleSince) < minIdleBeforeMove {
			continue
		}
		surplus[m.info.Pool] = append(surplus[m.info.Pool], m)
	}
	for p, list := range surplus {
		slices.SortStableFunc(list, func(a, b *machine) int { return cmp.Compare(b.idleSince, a.idleSince) })
		if o.isSparePool(p) {
			continue
		}
		keep := max(0, minPoolMachines-(size[p]-len(list)))
		if need != nil {
			keep = max(keep, minIdleMachines, len(list)+need[p])
		}
		surplus[p] = list[min(keep, len(list)):]
	}
	return surplus
}

// clearReservations returns the machines that are being emptied to their pools. The plan chooses
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
