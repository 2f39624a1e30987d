package maintenance

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolState holds the specification of one pool and the counts of its VMs.
// Steps that are planned or applied are counted as if they had been carried
// out.
type poolState struct {
	spec   spec.Pool
	budget spec.AvailabilityBudget
	need   PoolNeed
	vms    []*VM // all VMs of the pool, in the order of their names

	held               int // VMs that are ready, or expected back from maintenance
	incoming           int // VMs being moved into the pool
	ready              int
	readyByZone        map[vocab.ZoneID]int // ready VMs
	incomingByZone     map[vocab.ZoneID]int // VMs being moved into the pool
	vmsByRack          map[rackKey]int      // ready VMs, and VMs planned to be moved in
	maxPerRack         int                  // largest number of ready VMs in one rack
	maintainedByDomain map[string]int       // VMs in maintenance by failure domain
	failedByDomain     map[string]int       // recently failed VMs by failure domain
	inMaintenance      int                  // VMs in maintenance
	violationCached    bool                 // violation is up to date
	violation          string               // why the pool is below its budget, or "" if it is not
}

// poolStates holds the state of each pool of the fleet.
type poolStates struct {
	names  []vocab.PoolID // in the order of the fleet's pools
	byName map[vocab.PoolID]*poolState
}

func newPoolStates(s *Snapshot) *poolStates {
	pools := &poolStates{byName: make(map[vocab.PoolID]*poolState, len(s.Fleet.Pools))}
	for _, p := range s.Fleet.Pools {
		pools.names = append(pools.names, p.Name)
		pools.byName[p.Name] = &poolState{
			spec: p, readyByZone: map[vocab.ZoneID]int{}, incomingByZone: map[vocab.ZoneID]int{},
			vmsByRack: map[rackKey]int{}, maintainedByDomain: map[string]int{}, failedByDomain: map[string]int{},
		}
	}
	for _, svc := range s.Fleet.Services {
		if p, ok := pools.byName[svc.Pool]; ok {
			p.budget = svc.Budget
		}
	}
	for _, n := range s.Needs {
		if p, ok := pools.byName[n.Pool]; ok {
			p.need = n
		}
	}
	for i := range s.VMs {
		pools.addVM(s, &s.VMs[i])
	}
	for _, name := range pools.names {
		pools.byName[name].countRacks()
	}
	return pools
}

func (pools *poolStates) addVM(s *Snapshot, v *VM) {
	e := s.Ledger.VMs[v.Name]
	if e.Move != nil {
		pools.addMoving(s, v, e.Move)
		return
	}
	p, ok := pools.byName[v.Pool]
	if !ok {
		return
	}
	p.vms = append(p.vms, v)
	inMaintenance := outForMaintenance(v, e)
	if inMaintenance {
		p.inMaintenance++
	}
	switch failedRecently := v.UnreadyFor < failureGracePeriod; {
	case v.countsAsReady():
		p.ready++
		p.readyByZone[v.Zone]++
	case inMaintenance:
		p.countMaintenance(v)
	case failedRecently:
		p.failedByDomain[v.failureDomain(len(p.spec.Zones))]++
	}
	if v.countsAsReady() || (inMaintenance && !drainOverdue(s, v, e)) {
		p.held++
	}
}

// addMoving counts a VM in transition between pools as incoming, unless its
// move takes so long that the new pool should not count on it.
func (pools *poolStates) addMoving(s *Snapshot, v *VM, m *Move) {
	p, ok := pools.byName[m.To]
	if ok && v.StageFor < maxDrainTime(s, m.From)+failureGracePeriod {
		p.incoming++
		p.incomingByZone[v.Zone]++
	}
}

// countRacks counts the ready VMs by rack and finds the largest count.
func (p *poolState) countRacks() {
	for _, v := range p.vms {
		if v.countsAsReady() {
			k := rackKey{v.Zone, v.Rack}
			p.vmsByRack[k]++
			p.maxPerRack = max(p.maxPerRack, p.vmsByRack[k])
		}
	}
}

type rackKey struct {
	zone vocab.ZoneID
	rack vocab.RackID
}

// checkRemoval returns why a ready VM cannot be taken out of the pool, or "".
// The floor is the number of ready VMs that have to be left for demand.
func (p *poolState) checkRemoval(v *VM, floor int) string {
	if reason := p.budgetViolation(); reason != "" {
		return reason
	}
	if p.ready-1 < p.budget.MinReady {
		return fmt.Sprintf("pool %s keeps %d ready and has %d", p.spec.Name, p.budget.MinReady, p.ready)
	}
	if p.readyByZone[v.Zone]-1 < p.budget.MinReadyPerZone {
		return p.zoneViolation(v.Zone)
	}
	if p.ready-1 < floor {
		return fmt.Sprintf("demand on pool %s needs %d VMs and %d are ready", p.spec.Name, floor, p.ready)
	}
	return ""
}

// budgetViolation returns why the pool is below its budget, or "".
func (p *poolState) budgetViolation() string {
	if !p.violationCached {
		p.violation, p.violationCached = p.findBudgetViolation(), true
	}
	return p.violation
}

func (p *poolState) findBudgetViolation() string {
	if p.ready < p.budget.MinReady {
		return fmt.Sprintf("pool %s keeps %d ready and has %d", p.spec.Name, p.budget.MinReady, p.ready)
	}
	for _, z := range p.spec.Zones {
		if p.readyByZone[z] < p.budget.MinReadyPerZone {
			return p.zoneViolation(z)
		}
	}
	return ""
}

func (p *poolState) zoneViolation(z vocab.ZoneID) string {
	return fmt.Sprintf("pool %s keeps %d ready in zone %s and has %d", p.spec.Name, p.budget.MinReadyPerZone, z, p.readyByZone[z])
}

// markOutOfService counts a ready VM as out of service.
func (p *poolState) markOutOfService(v *VM) {
	p.ready--
	p.readyByZone[v.Zone]--
	p.violationCached = false
}

// countMaintenance counts the VM as in maintenance in its failure domain.
func (p *poolState) countMaintenance(v *VM) {
	p.maintainedByDomain[v.failureDomain(len(p.spec.Zones))]++
}

// checkDomain returns why maintenance of the VM would affect a second failure
// domain, or "". VMs of two domains are never in maintenance at once. If
// another domain has several failed VMs, maintenance has to leave one ready VM
// more than the budget; a single failed VM is expected at any time and is
// covered by the budget on ready VMs.
func (p *poolState) checkDomain(v *VM) string {
	domain := v.failureDomain(len(p.spec.Zones))
	for _, other := range sortedKeys(p.maintainedByDomain) {
		if other != domain {
			return fmt.Sprintf("pool %s has VMs of %s in maintenance", p.spec.Name, other)
		}
	}
	for _, other := range sortedKeys(p.failedByDomain) {
		if other != domain && p.failedByDomain[other] > 1 && p.ready-1 <= p.budget.MinReady {
			return fmt.Sprintf("pool %s has VMs of %s out of service and none in reserve", p.spec.Name, other)
		}
	}
	return ""
}
