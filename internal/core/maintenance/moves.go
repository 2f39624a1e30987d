package maintenance

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planMoves moves VMs to pools whose lack has cost more than a move, and takes
// idle VMs back to the spare pool when holding them has cost more than a move.
func planMoves(s *Snapshot, t *tallies, plan *Plan) {
	for _, name := range t.byLack() {
		p := t.byName[name]
		if p.need.LackCost < MoveCost {
			continue
		}
		for _, zone := range p.lackingZones() {
			t.lendIn(s, p, zone, plan)
		}
		for p.has() < p.wants() && t.fill(s, p, plan) {
			continue
		}
	}
	spare := t.spare()
	if spare == nil {
		return
	}
	for _, name := range t.names {
		p := t.byName[name]
		if p == spare {
			continue
		}
		if zone, ok := p.stuckZone(s); ok {
			t.lendIn(s, p, zone, plan)
			continue
		}
		if p.need.IdleCost < MoveCost || p.hasDue(s) {
			continue
		}
		for p.has() > p.wantsLater() && t.move(s, p, spare, p.vms, "idle for long", plan) {
			continue
		}
	}
}

// stuckZone returns a zone whose VMs the wave cannot reach because the pool has
// no more of them ready there than it must keep.
func (p *tally) stuckZone(s *Snapshot) (vocab.ZoneID, bool) {
	if s.Ledger.Wave.Paused != 0 || p.keep.ReadyPerZone == 0 || len(p.occupied) > 0 || p.incoming > 0 {
		return "", false
	}
	for _, v := range p.vms {
		if due(s, v) && v.counted() && p.byZone[v.Zone] <= p.keep.ReadyPerZone {
			return v.Zone, true
		}
	}
	return "", false
}

// lackingZones returns the zones in which the pool is below its budget.
func (p *tally) lackingZones() []vocab.ZoneID {
	return slices.DeleteFunc(slices.Clone(p.spec.Zones), func(z vocab.ZoneID) bool { return !p.lacksIn(z) })
}

// lendIn moves a VM of that zone to the pool: from the spare pool, else from any
// that can lend one there.
func (t *tallies) lendIn(s *Snapshot, p *tally, zone vocab.ZoneID, plan *Plan) {
	reason := fmt.Sprintf("pool %s needs one more VM in zone %s", p.spec.Name, zone)
	for _, donor := range t.spareFirst() {
		if donor == p || t.lendable(donor, true) <= 0 {
			continue
		}
		inZone := slices.DeleteFunc(slices.Clone(donor.vms), func(v *VM) bool { return v.Zone != zone })
		if t.move(s, donor, p, inZone, reason, plan) {
			return
		}
	}
	t.exchangeIn(s, p, zone, plan)
}

// exchangeIn gives a VM of the spare pool to a pool that holds no more than it
// wants but has VMs in the zone, so that it can then lend one there.
func (t *tallies) exchangeIn(s *Snapshot, p *tally, zone vocab.ZoneID, plan *Plan) {
	spare := t.spare()
	if spare == nil || t.lendable(spare, true) <= 0 {
		return
	}
	for _, q := range t.spareFirst() {
		if q == p || q == spare || q.byZone[zone] <= q.keep.ReadyPerZone || q.has() > q.wantsLater() {
			continue
		}
		reason := fmt.Sprintf("pool %s can then lend one in zone %s to pool %s", q.spec.Name, zone, p.spec.Name)
		if t.move(s, spare, q, spare.vms, reason, plan) {
			return
		}
	}
}

func (t *tallies) spareFirst() []*tally {
	var pools []*tally
	for _, name := range t.names {
		if p := t.byName[name]; p.spec.Spare {
			pools = slices.Insert(pools, 0, p)
		} else {
			pools = append(pools, p)
		}
	}
	return pools
}

// hasDue reports whether VMs of the pool wait for the wave.
func (p *tally) hasDue(s *Snapshot) bool {
	return slices.ContainsFunc(p.vms, func(v *VM) bool { return due(s, v) })
}

// byLack returns the pools with the highest cost of lack first. Pools below
// their budget come before those that only lack VMs for demand.
func (t *tallies) byLack() []vocab.PoolID {
	names := slices.Clone(t.names)
	slices.SortStableFunc(names, func(a, b vocab.PoolID) int {
		p, q := t.byName[a], t.byName[b]
		if p.belowBudget() != q.belowBudget() {
			if p.belowBudget() {
				return -1
			}
			return 1
		}
		return int(q.need.LackCost - p.need.LackCost)
	})
	return names
}

func (p *tally) belowBudget() bool {
	return p.has() < p.budgetVMs()
}

func (t *tallies) spare() *tally {
	for _, name := range t.names {
		if p := t.byName[name]; p.spec.Spare {
			return p
		}
	}
	return nil
}

// fill moves one VM into the pool: from the spare pool, else from the pool with
// the most VMs beyond its wants.
func (t *tallies) fill(s *Snapshot, p *tally, plan *Plan) bool {
	forBudget := p.belowBudget()
	var donor *tally
	for _, name := range t.names {
		q := t.byName[name]
		if q == p || t.lendable(q, forBudget) <= 0 {
			continue
		}
		if donor == nil || t.betterDonor(q, donor, forBudget) {
			donor = q
		}
	}
	if donor == nil {
		return false
	}
	reason := fmt.Sprintf("pool %s holds %d VMs and wants %d", p.spec.Name, p.has(), p.wants())
	return t.move(s, donor, p, donor.vms, reason, plan)
}

func (t *tallies) betterDonor(q, donor *tally, forBudget bool) bool {
	if q.spec.Spare != donor.spec.Spare {
		return q.spec.Spare
	}
	return t.lendable(q, forBudget) > t.lendable(donor, forBudget)
}

// move plans the move of the candidate that leaves both pools best balanced over
// their zones. It reports whether there was one.
func (t *tallies) move(s *Snapshot, from, to *tally, candidates []*VM, reason string, plan *Plan) bool {
	var best *VM
	for _, v := range candidates {
		if refuseMove(s, from, to, v) == "" && (best == nil || prefers(s, from, to, v, best)) {
			best = v
		}
	}
	if best == nil {
		return false
	}
	from.take(best)
	from.held--
	to.incoming++
	to.arriving[best.Zone]++
	to.racks[rackKey{best.Zone, best.Rack}]++
	from.vms = slices.DeleteFunc(slices.Clone(from.vms), func(v *VM) bool { return v == best })
	plan.step(Step{
		Kind: StepMove, VM: best.Name, Incarnation: best.Incarnation,
		From: from.spec.Name, To: to.spec.Name, Reason: reason,
	})
	return true
}

// prefers reports whether v is the better VM to move than w: one in a zone that
// lacks VMs, then one that the wave is done with, then the one that leaves the
// pools better spread. The pool that serves a queue counts more than the spare pool.
func prefers(s *Snapshot, from, to *tally, v, w *VM) bool {
	lackV, lackW := to.lacksIn(v.Zone), to.lacksIn(w.Zone)
	if lackV != lackW {
		return lackV
	}
	if dueV, dueW := due(s, v), due(s, w); dueV != dueW {
		return dueW
	}
	give := cmp.Compare(from.crowding(v), from.crowding(w))
	take := cmp.Compare(to.crowding(w), to.crowding(v))
	if to.spec.Spare {
		return cmp.Or(give, take) > 0
	}
	return cmp.Or(take, give) > 0
}

// crowding grows with the pool's VMs in the VM's zone and then with those in
// its rack.
func (p *tally) crowding(v *VM) int {
	return p.inZone(v.Zone)*rackWeight + p.racks[rackKey{v.Zone, v.Rack}]
}

// rackWeight exceeds the VMs of one pool in one rack.
const rackWeight = 1000

// inZone returns the VMs that the pool has in the zone or is about to get there.
func (p *tally) inZone(zone vocab.ZoneID) int {
	return p.byZone[zone] + p.arriving[zone]
}

func (p *tally) lacksIn(zone vocab.ZoneID) bool {
	return p.inZone(zone) < p.keep.ReadyPerZone
}

// refuseMove returns why the VM cannot move now, or "".
func refuseMove(s *Snapshot, from, to *tally, v *VM) string {
	switch {
	case s.Hold != "":
		return s.Hold
	case s.Ledger.VMs[v.Name].busy():
		return "a move or maintenance of the VM is under way"
	case !v.counted():
		return fmt.Sprintf("the VM is %s and not steadily ready", v.Phase)
	case !slices.Contains(to.spec.Zones, v.Zone):
		return fmt.Sprintf("pool %s has no part in zone %s", to.spec.Name, v.Zone)
	}
	return from.refuseTaking(v, 0)
}
