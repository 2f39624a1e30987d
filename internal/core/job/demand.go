package job

import (
	"math"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolDemand is what a pool's work asks for, as of the last plan.
type poolDemand struct {
	// waiting is the sum of what found no room.
	waiting Resources
	// short and lasting are how many empty machines the waiting tasks would fill:
	// those that end by themselves, and long-running ones. spread is how many the
	// step of long-running tasks needs that must be spread most.
	short, lasting, spread float64
	// since is since when something waits.
	since vocab.Instant
}

// waits reports whether work waits that a machine would help.
func (d poolDemand) waits() bool { return d.short+d.lasting > 0 }

// machines is how many machines more would take the waiting work at once.
func (d poolDemand) machines() int {
	return int(math.Ceil(d.short*rising/(1-packingLoss) + max(d.lasting, d.spread)))
}

// demand gathers what the pools' work asks for in one pass of placement.
type demand struct {
	o     *owner
	room  Resources
	pools map[vocab.PoolID]poolDemand
	// asked is what waiting tasks of a team were counted for, which its limit bounds.
	asked map[vocab.TeamID]Resources
}

func newDemand(o *owner) *demand {
	return &demand{
		o: o, room: o.fleet.typicalRoom(), pools: map[vocab.PoolID]poolDemand{}, asked: map[vocab.TeamID]Resources{},
	}
}

// add counts the waiting tasks of a job, as far as the job's team may have them
// and a machine can hold them at all.
func (d *demand) add(pool vocab.PoolID, w *work) {
	for _, occ := range w.occurrences {
		for _, st := range occ.steps {
			if st.waiting() <= 0 || !st.ready() {
				continue
			}
			n := min(st.waiting(), d.allowed(w.accepted.Team, st.spec.Need))
			if fit := st.perMachine(d.room); fit > 0 && n > 0 {
				d.count(pool, st, n, fit)
			}
		}
	}
}

// count adds n waiting tasks of a step, of which a machine holds fit.
func (d *demand) count(pool vocab.PoolID, st *step, n, fit int) {
	machines := float64(n) / float64(fit)
	p := d.pools[pool]
	p.waiting = p.waiting.Plus(st.spec.Reserved().Times(int64(n)))
	if st.spec.LongRunning {
		p.lasting += machines
		if most := st.spreadMost(); most > 0 {
			p.spread = max(p.spread, math.Ceil(float64(n)/float64(most)))
		}
	} else {
		p.short += machines
	}
	d.pools[pool] = p
	team := st.work.accepted.Team
	d.asked[team] = d.asked[team].Plus(st.spec.Need.Times(int64(n)))
}

// allowed is how many tasks more of a need the team's limit allows.
func (d *demand) allowed(name vocab.TeamID, need Resources) int {
	if d.o.s.config == nil {
		return 0
	}
	team := d.o.s.config.teams[name]
	if team == nil {
		return maxTasks
	}
	left := team.Limit.Minus(d.o.teamUsage[name]).Minus(d.asked[name])
	n := int64(maxTasks)
	for _, r := range [][3]int64{
		{team.Limit.CPU, left.CPU, need.CPU},
		{team.Limit.Memory, left.Memory, need.Memory},
		{team.Limit.GPU, left.GPU, need.GPU},
	} {
		if limit, room, each := r[0], r[1], r[2]; limit > 0 && each > 0 {
			n = min(n, max(0, room/each))
		}
	}
	return int(n)
}

// perMachine is how many tasks of the step an empty machine holds; 0 if it holds
// none.
func (st *step) perMachine(room Resources) int {
	need := st.spec.Reserved()
	if room == (Resources{}) || !room.Holds(need) {
		return 0
	}
	n := int64(maxTasks)
	for _, r := range [][2]int64{{room.CPU, need.CPU}, {room.Memory, need.Memory}, {room.GPU, need.GPU}} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	return int(n)
}

// spreadMost is the most tasks of the step that one worker is to have, or 0 for no
// bound. Long-running tasks are spread, so that a worker that goes does not take more
// of them than may be missed.
func (st *step) spreadMost() int {
	most := st.spec.MaxPerWorker
	if st.spec.LongRunning && st.spec.MayMiss > 0 && (most == 0 || st.spec.MayMiss < most) {
		most = st.spec.MayMiss
	}
	return most
}

// noteDemand takes over what the last pass of placement counted. How long a pool
// has waited goes on from earlier passes.
func (o *owner) noteDemand(pools map[vocab.PoolID]poolDemand) {
	for p, d := range pools {
		d.since = o.s.now
		if before, known := o.demand[p]; known {
			d.since = before.since
		}
		pools[p] = d
	}
	o.demand = pools
}
