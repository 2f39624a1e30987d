package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// moveAfter is how long work must wait before machines are moved for it.
	moveAfter = 100 * time.Millisecond
	// giveAfter is how long a machine must be idle before another pool gets it.
	giveAfter = 300 * time.Millisecond
	// spareAfter is how long a machine must be idle before it is switched off.
	// Off and on again costs about as much as it is on for this time.
	spareAfter = 2500 * time.Millisecond
	// keepIdle is how many idle machines a pool keeps.
	keepIdle = 2
	// keepLeast is the least machines that a pool keeps.
	keepLeast = 2
	// movesPart is the part of the machines that may be on the move at a time,
	// and leastMoves what is always allowed.
	movesPart  = 0.4
	leastMoves = 16
)

// planMoves answers demand that comes in turns: the machines that are idle in
// one pool serve the pool whose turn it is. Machines that no pool asks for go
// to the spare pool, where they cost nothing.
func (o *owner) planMoves() {
	under := o.movesUnderWay()
	need := o.fleet.need
	most := max(leastMoves, int(movesPart*float64(len(o.fleet.ids))))
	idle := o.idleMachines(need)
	o.unreserve()
	for _, p := range o.poolsByNeed(need) {
		want := need[p]
		for want > 0 && under < most && o.fleet.orders >= 1 {
			m := o.takeIdle(idle, p)
			if m == nil {
				break
			}
			o.orderMachine(m, OrderMove, p, 0)
			want--
			under++
		}
		o.reserve(p, want)
	}
	o.switchOff(idle, most-under)
}

// movesUnderWay counts the moves that have not ended.
func (o *owner) movesUnderWay() int {
	n := 0
	for _, id := range o.fleet.ids {
		if m := o.fleet.machines[id]; m.ordered && m.order == OrderMove {
			n++
		}
	}
	return n
}

// machinesNeeded is how many machines more each pool needs, for the work that waits
// and for what is expected, beyond those that are on their way. It is negative where
// fewer would do for what is expected.
func (o *owner) machinesNeeded() map[vocab.PoolID]int {
	need, moving := map[vocab.PoolID]int{}, map[vocab.PoolID]int{}
	for _, id := range o.fleet.ids {
		if m := o.fleet.machines[id]; m.ordered && m.order == OrderMove {
			moving[m.to]++
		}
	}
	sizes := o.poolSizes()
	for i := range o.s.config.Pools {
		p := o.s.config.Pools[i].Name
		if o.s.config.Pools[i].Spare {
			continue
		}
		need[p] = o.forecast(p) - sizes[p] - moving[p]
		if d := o.demand[p]; d.waits() && o.s.now.Sub(d.since) > moveAfter {
			need[p] = max(need[p], d.machines()-moving[p])
		}
	}
	return need
}

// poolsByNeed lists the pools that need machines, the longest waiting first.
func (o *owner) poolsByNeed(need map[vocab.PoolID]int) []vocab.PoolID {
	var list []vocab.PoolID
	for p, n := range need {
		if n > 0 {
			list = append(list, p)
		}
	}
	since := func(p vocab.PoolID) vocab.Instant {
		if d := o.demand[p]; d.waits() {
			return d.since
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
	// packingLoss is the part of the room that packing leaves unused.
	packingLoss = 0.1
	// rising is by how much more than what waits now is asked for: demand that
	// exceeds its pool goes on to rise while a machine is on its way.
	rising = 1.4
)

func (f *fleet) typicalRoom() Resources {
	for _, id := range f.ids {
		if r := f.machines[id].info.Room; r.CPU > 0 {
			return r
		}
	}
	return Resources{}
}

// idleMachines lists the machines of each pool that may leave it, the longest
// idle last. A pool keeps those that it will need.
func (o *owner) idleMachines(need map[vocab.PoolID]int) map[vocab.PoolID][]*machine {
	idle := map[vocab.PoolID][]*machine{}
	size := map[vocab.PoolID]int{}
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		if !o.mayOrderMachine(m) || m.info.State != MachineUp {
			continue
		}
		size[m.info.Pool]++
		w := o.workerOf(m)
		if m.idleSince == 0 || m.cordonedAt != 0 || w != nil && w.info.Draining {
			continue
		}
		if !m.reserved && o.s.now.Sub(m.idleSince) < giveAfter {
			continue
		}
		idle[m.info.Pool] = append(idle[m.info.Pool], m)
	}
	for p, list := range idle {
		slices.SortStableFunc(list, func(a, b *machine) int { return cmp.Compare(b.idleSince, a.idleSince) })
		if o.isSpare(p) {
			continue
		}
		keep := max(keepIdle, keepLeast-(size[p]-len(list)), len(list)+need[p])
		idle[p] = list[min(keep, len(list)):]
	}
	return idle
}

// takeIdle takes an idle machine for a pool: from the pool that has most.
func (o *owner) takeIdle(idle map[vocab.PoolID][]*machine, to vocab.PoolID) *machine {
	var from vocab.PoolID
	most := 0
	for p, list := range idle {
		if p == to || o.poolWaits(p) {
			continue
		}
		if len(list) > most || len(list) == most && p < from {
			from, most = p, len(list)
		}
	}
	if most == 0 {
		return nil
	}
	list := idle[from]
	m := list[len(list)-1]
	idle[from] = list[:len(list)-1]
	return m
}

// unreserve gives reserved machines back to their pools; reserve takes them
// again while they are still asked for.
func (o *owner) unreserve() {
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		if !m.reserved {
			continue
		}
		m.reserved = false
		if w := o.workerOf(m); w != nil && !m.ordered && m.cordonedAt == 0 {
			w.cordoned = false
		}
	}
}

// reserve empties machines for a pool: as the demand of other pools falls their
// tasks are spread thin, and no machine would fall idle for long. Machines with
// the fewest tasks get no new ones, as far as their pool has room without them.
func (o *owner) reserve(to vocab.PoolID, want int) {
	if want <= 0 {
		return
	}
	room := map[vocab.PoolID]Resources{}
	var candidates []*machine
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		w := o.workerOf(m)
		if w == nil || m.info.Pool == to || o.poolWaits(m.info.Pool) || !w.usable(o.s.now) {
			continue
		}
		room[m.info.Pool] = room[m.info.Pool].Plus(w.free())
		if !m.ordered && m.cordonedAt == 0 && shortTasks(w) == len(w.tasks) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Compare(len(o.workerOf(a).tasks), len(o.workerOf(b).tasks))
	})
	for _, m := range candidates {
		w := o.workerOf(m)
		left := room[m.info.Pool].Minus(w.free())
		if want == 0 || left.CPU < keepIdle*w.info.Room.CPU {
			continue
		}
		room[m.info.Pool] = left
		m.reserved, w.cordoned = true, true
		want--
	}
}

// switchOff moves machines that were idle for long to the spare pool.
func (o *owner) switchOff(idle map[vocab.PoolID][]*machine, room int) {
	spare := o.sparePool()
	if spare == "" {
		return
	}
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		if room <= 0 || o.fleet.orders < 1 {
			return
		}
		if m.info.Pool == spare || !slices.Contains(idle[m.info.Pool], m) || o.s.now.Sub(m.idleSince) < spareAfter {
			continue
		}
		o.orderMachine(m, OrderMove, spare, 0)
		room--
	}
}

func (o *owner) isSpare(p vocab.PoolID) bool {
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
