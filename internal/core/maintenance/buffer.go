package maintenance

// budgetVMs returns the VMs that the pool needs so that its budget stands after
// the loss of its largest part in one rack. A wave uses the same buffer.
func (p *tally) budgetVMs() int {
	keep := max(p.keep.Ready, p.keep.ReadyPerZone*len(p.spec.Zones))
	if keep == 0 {
		return 0
	}
	return keep + max(1, p.rackPart)
}

// wants returns the VMs that the pool should hold.
func (p *tally) wants() int {
	return max(p.budgetVMs(), p.need.Demand)
}

// wantsLater returns the VMs below which the pool gives none away.
func (p *tally) wantsLater() int {
	return max(p.wants(), p.need.Later)
}

// has returns the VMs that the pool holds or is about to get.
func (p *tally) has() int {
	return p.held + p.incoming
}

// sharedBuffer returns the VMs that the spare pool keeps for the loss of a
// rack's part by any one pool. Failures of two pools at once are rarer than one
// move takes, so the buffer is counted once, not per pool.
func (t *tallies) sharedBuffer() int {
	most := 0
	for _, name := range t.names {
		if p := t.byName[name]; !p.spec.Spare {
			most = max(most, p.rackPart)
		}
	}
	return most
}

// lendable returns how many VMs the pool can give to another pool. One that
// lacks VMs for its budget may use the shared buffer, one that lacks them for
// demand may not.
func (t *tallies) lendable(p *tally, forBudget bool) int {
	if !p.spec.Spare {
		return p.held - p.wantsLater()
	}
	if forBudget {
		return p.held - max(p.keep.Ready, p.need.Demand)
	}
	return p.held - p.wantsLater() - t.sharedBuffer()
}
