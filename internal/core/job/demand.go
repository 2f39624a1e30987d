package job

import (
	"math"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolDemand is the unplaced work of a pool as of the last placement pass.
type poolDemand struct {
	// waiting is the sum of the resources that unplaced tasks request.
	waiting Resources
	// The numbers of empty machines that the waiting tasks would fill: finiteMachines for
	// tasks that run to completion, longRunningMachines for long-running tasks.
	// spreadMachines is the number of machines that the most widely spread step of
	// long-running tasks requires.
	// urgentMachines is the part of finiteMachines whose jobs can still meet their objective.
	finiteMachines, longRunningMachines, spreadMachines, urgentMachines float64
	// waitingSince is the time when the first of an unbroken series of passes found
	// waiting tasks.
	waitingSince vocab.Instant
}

// needsMachines reports whether additional machines would help waiting tasks.
func (d poolDemand) needsMachines() bool { return d.finiteMachines+d.longRunningMachines > 0 }

// machinesNeeded is the number of additional machines that would take all waiting tasks at
// once.
func (d poolDemand) machinesNeeded() int {
	return int(math.Ceil(d.finiteMachines*demandGrowthFactor/(1-packingLossFraction) + max(d.longRunningMachines, d.spreadMachines)))
}

// demandCollector sums the demand of all pools during one placement pass.
type demandCollector struct {
	owner           *owner
	machineCapacity Resources
	pools           map[vocab.PoolID]poolDemand
	// countedByTeam is the sum of the resources of the waiting tasks counted so far, by team.
	// Together with the team's running tasks it stays within the team's limit.
	countedByTeam map[vocab.TeamID]Resources
	// urgent is set while the tasks of a job are counted that can still meet its objective.
	urgent bool
}

func newDemandCollector(o *owner) *demandCollector {
	return &demandCollector{
		owner: o, machineCapacity: o.fleet.typicalCapacity(), pools: map[vocab.PoolID]poolDemand{}, countedByTeam: map[vocab.TeamID]Resources{},
	}
}

// addJob counts the waiting tasks of a job, as far as the team's limit allows them and a
// machine can hold them at all.
func (d *demandCollector) addJob(pool vocab.PoolID, j *activeJob) {
	times := d.owner.timesOf(j)
	d.urgent = times.known && times.slack() > 0
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.waiting() <= 0 || !st.ready() {
				continue
			}
			n := min(d.owner.tasksWantedNow(st), d.allowedByTeamLimit(j.acceptance.Team, st.spec.Need))
			if perMachine := st.tasksPerMachine(d.machineCapacity); perMachine > 0 && n > 0 {
				d.addTasks(pool, st, n, perMachine)
			}
		}
	}
}

// addTasks counts n waiting tasks of a step, of which one machine holds perMachine.
func (d *demandCollector) addTasks(pool vocab.PoolID, st *step, n, perMachine int) {
	machines := float64(n) / float64(perMachine)
	p := d.pools[pool]
	p.waiting = p.waiting.Plus(st.spec.Reserved().Times(int64(n)))
	if st.spec.LongRunning {
		p.longRunningMachines += machines
		if maxPerWorker := st.preferredMaxPerWorker(); maxPerWorker > 0 {
			p.spreadMachines = max(p.spreadMachines, math.Ceil(float64(n)/float64(maxPerWorker)))
		}
	} else {
		p.finiteMachines += machines
		if d.urgent {
			p.urgentMachines += machines
		}
	}
	d.pools[pool] = p
	team := st.job.acceptance.Team
	d.countedByTeam[team] = d.countedByTeam[team].Plus(st.spec.Need.Times(int64(n)))
}

// allowedByTeamLimit is the number of additional tasks of a size that the team's limit
// allows.
func (d *demandCollector) allowedByTeamLimit(name vocab.TeamID, need Resources) int {
	if d.owner.s.config == nil {
		return 0
	}
	team := d.owner.s.config.teams[name]
	if team == nil {
		return maxTasks
	}
	available := team.Limit.Minus(d.owner.teamUsage[name]).Minus(d.countedByTeam[name])
	n := int64(maxTasks)
	for _, r := range [][3]int64{
		{team.Limit.CPU, available.CPU, need.CPU},
		{team.Limit.Memory, available.Memory, need.Memory},
		{team.Limit.GPU, available.GPU, need.GPU},
	} {
		if limit, free, each := r[0], r[1], r[2]; limit > 0 && each > 0 {
			n = min(n, max(0, free/each))
		}
	}
	return int(n)
}

// tasksPerMachine is the number of tasks of the step that an empty machine holds, 0 if a task
// does not fit.
func (st *step) tasksPerMachine(capacity Resources) int {
	need := st.spec.Reserved()
	if capacity == (Resources{}) || !capacity.Holds(need) {
		return 0
	}
	n := int64(maxTasks)
	for _, r := range [][2]int64{{capacity.CPU, need.CPU}, {capacity.Memory, need.Memory}, {capacity.GPU, need.GPU}} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	return int(n)
}

// preferredMaxPerWorker is the maximum number of tasks of the step to place on one worker, or
// 0 for no limit. Long-running tasks are spread so that the loss of one worker stops no more
// of them than may be unavailable at a time.
func (st *step) preferredMaxPerWorker() int {
	limit := st.spec.MaxPerWorker
	if st.spec.LongRunning && st.spec.MaxUnavailable > 0 && (limit == 0 || st.spec.MaxUnavailable < limit) {
		limit = st.spec.MaxUnavailable
	}
	return limit
}

// recordDemand stores the demand that a placement pass counted. A pool that had
// waiting tasks in the previous pass keeps its waitingSince.
func (o *owner) recordDemand(pools map[vocab.PoolID]poolDemand) {
	for p, d := range pools {
		d.waitingSince = o.s.now
		if before, known := o.demand[p]; known {
			d.waitingSince = before.waitingSince
		}
		pools[p] = d
	}
	o.demand = pools
}
