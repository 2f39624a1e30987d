package maintenance

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planMoves moves VMs into pools whose shortfall has cost more than a move, and
// moves VMs to the spare pool from pools whose surplus has cost more than a
// move.
func planMoves(s *Snapshot, pools *poolStates, plan *Plan) {
	for _, name := range pools.namesByShortfall() {
		p := pools.byName[name]
		if p.need.ShortfallCost < MoveCost {
			continue
		}
		for _, zone := range p.zonesBelowBudget() {
			pools.moveIntoZone(s, p, zone, plan)
		}
		for p.expectedVMs() < p.targetVMs() && pools.moveInto(s, p, plan) {
			continue
		}
	}
	spare := pools.sparePool()
	if spare == nil {
		return
	}
	for _, name := range pools.names {
		p := pools.byName[name]
		if p == spare {
			continue
		}
		if zone, ok := p.blockedZone(s); ok {
			pools.moveIntoZone(s, p, zone, plan)
			continue
		}
		if p.need.SurplusCost < MoveCost || p.hasDue(s) {
			continue
		}
		for p.expectedVMs() > p.retainedVMs() && pools.planBestMove(s, p, spare, p.vms, "the pool has had a surplus for a long time", plan) {
			continue
		}
	}
}

// blockedZone returns a zone with due VMs that cannot be maintained because the
// pool has no more ready VMs there than its budget requires.
func (p *poolState) blockedZone(s *Snapshot) (vocab.ZoneID, bool) {
	if s.Ledger.Wave.PauseOffset != 0 || p.budget.MinReadyPerZone == 0 || len(p.maintainedByDomain) > 0 || p.incoming > 0 {
		return "", false
	}
	for _, v := range p.vms {
		if isDue(s, v) && v.countsAsReady() && p.readyByZone[v.Zone] <= p.budget.MinReadyPerZone {
			return v.Zone, true
		}
	}
	return "", false
}

// zonesBelowBudget returns the zones in which the pool is below its budget.
func (p *poolState) zonesBelowBudget() []vocab.ZoneID {
	return slices.DeleteFunc(slices.Clone(p.spec.Zones), func(z vocab.ZoneID) bool { return !p.zoneBelowBudget(z) })
}

// moveIntoZone plans the move of a VM in the zone to the pool: from the spare
// pool, else from any other pool with a surplus and a VM there.
func (pools *poolStates) moveIntoZone(s *Snapshot, p *poolState, zone vocab.ZoneID, plan *Plan) {
	reason := fmt.Sprintf("pool %s needs one more VM in zone %s", p.spec.Name, zone)
	for _, donor := range pools.listSpareFirst() {
		if donor == p || pools.surplusVMs(donor, true) <= 0 {
			continue
		}
		inZone := slices.DeleteFunc(slices.Clone(donor.vms), func(v *VM) bool { return v.Zone != zone })
		if pools.planBestMove(s, donor, p, inZone, reason, plan) {
			return
		}
	}
	pools.prepareDonor(s, p, zone, plan)
}

// prepareDonor plans the move of a spare VM to a pool that has VMs in the zone
// but no surplus, so that it can give one of them to p in a later plan.
func (pools *poolStates) prepareDonor(s *Snapshot, p *poolState, zone vocab.ZoneID, plan *Plan) {
	spare := pools.sparePool()
	if spare == nil || pools.surplusVMs(spare, true) <= 0 {
		return
	}
	for _, q := range pools.listSpareFirst() {
		if q == p || q == spare || q.readyByZone[zone] <= q.budget.MinReadyPerZone || q.expectedVMs() > q.retainedVMs() {
			continue
		}
		reason := fmt.Sprintf("pool %s can then give a VM in zone %s to pool %s", q.spec.Name, zone, p.spec.Name)
		if pools.planBestMove(s, spare, q, spare.vms, reason, plan) {
			return
		}
	}
}

// listSpareFirst returns all pools with the spare pool first.
func (pools *poolStates) listSpareFirst() []*poolState {
	var ordered []*poolState
	for _, name := range pools.names {
		if p := pools.byName[name]; p.spec.Spare {
			ordered = slices.Insert(ordered, 0, p)
		} else {
			ordered = append(ordered, p)
		}
	}
	return ordered
}

// hasDue reports whether VMs of the pool have yet to be maintained in the wave.
func (p *poolState) hasDue(s *Snapshot) bool {
	return slices.ContainsFunc(p.vms, func(v *VM) bool { return isDue(s, v) })
}

// namesByShortfall returns the pools in descending order of the cost of their
// shortfall. Pools below their budget with headroom precede those that only
// need VMs for demand.
func (pools *poolStates) namesByShortfall() []vocab.PoolID {
	names := slices.Clone(pools.names)
	slices.SortStableFunc(names, func(a, b vocab.PoolID) int {
		p, q := pools.byName[a], pools.byName[b]
		if p.lacksHeadroom() != q.lacksHeadroom() {
			if p.lacksHeadroom() {
				return -1
			}
			return 1
		}
		return int(q.need.ShortfallCost - p.need.ShortfallCost)
	})
	return names
}

// lacksHeadroom reports whether the pool is below its budget with headroom.
func (p *poolState) lacksHeadroom() bool {
	return p.expectedVMs() < p.budgetVMs()
}

func (pools *poolStates) sparePool() *poolState {
	for _, name := range pools.names {
		if p := pools.byName[name]; p.spec.Spare {
			return p
		}
	}
	return nil
}

// moveInto plans the move of one VM into the pool: from the spare pool, else
// from the pool with the largest surplus. It reports whether there was such a
// VM.
func (pools *poolStates) moveInto(s *Snapshot, p *poolState, plan *Plan) bool {
	forBudget := p.lacksHeadroom()
	var donor *poolState
	for _, name := range pools.names {
		q := pools.byName[name]
		if q == p || pools.surplusVMs(q, forBudget) <= 0 {
			continue
		}
		if donor == nil || pools.isBetterDonor(q, donor, forBudget) {
			donor = q
		}
	}
	if donor == nil {
		return false
	}
	reason := fmt.Sprintf("pool %s holds %d VMs and needs %d", p.spec.Name, p.expectedVMs(), p.targetVMs())
	return pools.planBestMove(s, donor, p, donor.vms, reason, plan)
}

func (pools *poolStates) isBetterDonor(q, donor *poolState, forBudget bool) bool {
	if q.spec.Spare != donor.spec.Spare {
		return q.spec.Spare
	}
	return pools.surplusVMs(q, forBudget) > pools.surplusVMs(donor, forBudget)
}

// planBestMove plans the move of the candidate that leaves both pools best
// balanced over their zones. It reports whether there was one.
func (pools *poolStates) planBestMove(s *Snapshot, from, to *poolState, candidates []*VM, reason string, plan *Plan) bool {
	var best *VM
	for _, v := range candidates {
		if checkMove(s, from, to, v) == "" && (best == nil || isBetterMove(s, from, to, v, best)) {
			best = v
		}
	}
	if best == nil {
		return false
	}
	from.markOutOfService(best)
	from.held--
	to.incoming++
	to.incomingByZone[best.Zone]++
	to.vmsByRack[rackKey{best.Zone, best.Rack}]++
	from.vms = slices.DeleteFunc(slices.Clone(from.vms), func(v *VM) bool { return v == best })
	plan.addStep(Step{
		Kind: StepMove, VM: best.Name, Incarnation: best.Incarnation,
		From: from.spec.Name, To: to.spec.Name, Reason: reason,
	})
	return true
}

// isBetterMove reports whether v is a better VM to move than w. It prefers a VM
// in a zone where the new pool is below its budget, then one that is already
// maintained in this wave, then the one that leaves the VMs of the pools better
// spread. The spread of the pool that serves a queue counts more than that of
// the spare pool.
func isBetterMove(s *Snapshot, from, to *poolState, v, w *VM) bool {
	belowV, belowW := to.zoneBelowBudget(v.Zone), to.zoneBelowBudget(w.Zone)
	if belowV != belowW {
		return belowV
	}
	if dueV, dueW := isDue(s, v), isDue(s, w); dueV != dueW {
		return dueW
	}
	fromOrder := cmp.Compare(from.concentration(v), from.concentration(w))
	toOrder := cmp.Compare(to.concentration(w), to.concentration(v))
	if to.spec.Spare {
		return cmp.Or(fromOrder, toOrder) > 0
	}
	return cmp.Or(toOrder, fromOrder) > 0
}

// concentration ranks how many VMs the pool has near the VM: first by zone,
// then by rack.
func (p *poolState) concentration(v *VM) int {
	return p.vmsInZone(v.Zone)*zoneWeight + p.vmsByRack[rackKey{v.Zone, v.Rack}]
}

// zoneWeight exceeds the number of VMs that one pool has in one rack.
const zoneWeight = 1000

// vmsInZone returns the VMs that the pool has or will soon have in the zone.
func (p *poolState) vmsInZone(zone vocab.ZoneID) int {
	return p.readyByZone[zone] + p.incomingByZone[zone]
}

// zoneBelowBudget reports whether the pool is below its budget in the zone,
// also with the VMs being moved there.
func (p *poolState) zoneBelowBudget(zone vocab.ZoneID) bool {
	return p.vmsInZone(zone) < p.budget.MinReadyPerZone
}

// checkMove returns why the VM cannot be moved now, or "".
func checkMove(s *Snapshot, from, to *poolState, v *VM) string {
	switch {
	case s.HoldReason != "":
		return s.HoldReason
	case s.Ledger.VMs[v.Name].disrupted():
		return "a move or maintenance of the VM is in progress"
	case !v.countsAsReady():
		return fmt.Sprintf("the VM is %s and does not count as ready", v.Phase)
	case !slices.Contains(to.spec.Zones, v.Zone):
		return fmt.Sprintf("pool %s does not span zone %s", to.spec.Name, v.Zone)
	}
	return from.checkRemoval(v, 0)
}
