package maintenance

// budgetVMs returns the VMs with which the pool still has its budget after it
// lost the rack with most of its VMs. Waves use the same headroom. It is 0 for
// a pool without a budget.
func (p *poolState) budgetVMs() int {
	keep := max(p.budget.MinReady, p.budget.MinReadyPerZone*len(p.spec.Zones))
	if keep == 0 {
		return 0
	}
	return keep + max(1, p.maxPerRack)
}

// targetVMs returns the VMs that the pool should hold.
func (p *poolState) targetVMs() int {
	return max(p.budgetVMs(), p.need.Demand)
}

// retainedVMs returns the VMs that the pool keeps when others ask for its
// surplus.
func (p *poolState) retainedVMs() int {
	return max(p.targetVMs(), p.need.RetainDemand)
}

// expectedVMs returns the VMs that the pool holds, with those being moved into
// it.
func (p *poolState) expectedVMs() int {
	return p.held + p.incoming
}

// sharedHeadroom returns the VMs that the spare pool keeps for any one pool
// that loses a rack. It is counted once and not per pool because two pools
// rarely fail within the time that a move takes.
func (pools *poolStates) sharedHeadroom() int {
	largest := 0
	for _, name := range pools.names {
		if p := pools.byName[name]; !p.spec.Spare {
			largest = max(largest, p.maxPerRack)
		}
	}
	return largest
}

// surplusVMs returns how many VMs the pool can give to another pool. The shared
// headroom is available to a pool that needs VMs for its budget, but not to one
// that needs them for demand.
func (pools *poolStates) surplusVMs(p *poolState, forBudget bool) int {
	if !p.spec.Spare {
		return p.held - p.retainedVMs()
	}
	if forBudget {
		return p.held - max(p.budget.MinReady, p.need.Demand)
	}
	return p.held - p.retainedVMs() - pools.sharedHeadroom()
}
