package maintenance

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
)

// planMaintenance starts the maintenance of as many due VMs as the budgets
// allow.
func planMaintenance(s *Snapshot, pools *poolStates, plan *Plan) {
	if s.Ledger.Wave.Number == 0 {
		return
	}
	capacity := waveCapacity(s, pools)
	for _, name := range pools.names {
		p := pools.byName[name]
		for _, v := range p.dueByDomain(s) {
			reason := checkMaintenance(s, p, v, capacity)
			if reason != "" {
				plan.addPending(v.Name, reason)
				continue
			}
			p.markOutOfService(v)
			p.countMaintenance(v)
			capacity--
			plan.addStep(Step{
				Kind: StepMaintain, VM: v.Name, Incarnation: v.Incarnation, From: name,
				Reason: fmt.Sprintf("due in wave %d", s.Ledger.Wave.Number),
			})
		}
	}
}

// waveCapacity returns how many more VMs may go into maintenance now. Until
// StopAfter VMs in a row have returned, the failed VMs and those in maintenance
// together stay within StopAfter, so that a bad image takes no more VMs than
// that.
func waveCapacity(s *Snapshot, pools *poolStates) int {
	stopAfter, w := s.Fleet.Maintenance.StopAfter, s.Ledger.Wave
	if stopAfter <= 0 || w.Returned >= stopAfter {
		return len(s.VMs)
	}
	inMaintenance := 0
	for _, name := range pools.names {
		inMaintenance += pools.byName[name].inMaintenance
	}
	return stopAfter - w.Failed - inMaintenance
}

// dueByDomain returns the pool's due VMs, starting with those of the failure
// domain to maintain first: the one with VMs out of service already, else the
// one with the most due VMs.
func (p *poolState) dueByDomain(s *Snapshot) []*VM {
	byDomain := map[string][]*VM{}
	for _, v := range p.vms {
		if isDue(s, v) {
			d := v.failureDomain(len(p.spec.Zones))
			byDomain[d] = append(byDomain[d], v)
		}
	}
	domains := sortedKeys(byDomain)
	first := ""
	for _, d := range domains {
		if first == "" || p.domainPrecedes(d, first, byDomain) {
			first = d
		}
	}
	ordered := append([]*VM(nil), byDomain[first]...)
	for _, d := range domains {
		if d != first {
			ordered = append(ordered, byDomain[d]...)
		}
	}
	return ordered
}

// domainPrecedes reports whether domain d is to be maintained before the other.
func (p *poolState) domainPrecedes(d, other string, byDomain map[string][]*VM) bool {
	if a, b := p.domainImpact(d), p.domainImpact(other); a != b {
		return a > b
	}
	return len(byDomain[d]) > len(byDomain[other])
}

// domainImpact ranks the domain by its VMs out of service. One VM in
// maintenance outweighs all failed ones.
func (p *poolState) domainImpact(domain string) int {
	return p.maintainedByDomain[domain]*len(p.vms) + p.failedByDomain[domain]
}

// isDue reports whether the VM has yet to be maintained in the current wave.
func isDue(s *Snapshot, v *VM) bool {
	e := s.Ledger.VMs[v.Name]
	return !e.disrupted() && e.LastWave < s.Ledger.Wave.Number && v.Phase != observe.PhaseLost
}

// checkMaintenance returns why the VM's maintenance cannot start now, or "".
func checkMaintenance(s *Snapshot, p *poolState, v *VM, capacity int) string {
	switch {
	case s.HoldReason != "":
		return s.HoldReason
	case s.Ledger.Wave.PauseOffset != 0:
		return "the wave is paused: " + s.Ledger.Wave.PauseReason
	case s.Fleet.Maintenance.StopAfter > 0 && s.Ledger.Wave.Failed >= s.Fleet.Maintenance.StopAfter:
		return "the wave is about to pause"
	case !v.countsAsReady():
		return fmt.Sprintf("the VM is %s and does not count as ready", v.Phase)
	}
	if reason := p.checkDomain(v); reason != "" {
		return reason
	}
	if reason := p.checkRemoval(v, p.demandFloor(s, v)); reason != "" {
		return reason
	}
	if capacity <= 0 {
		return "too few VMs have returned in this wave to start more"
	}
	return ""
}

// demandFloor returns the ready VMs that have to be left for demand while the
// VM is in maintenance. It is 0 shortly before the VM's deadline, when only the
// budget still limits maintenance.
func (p *poolState) demandFloor(s *Snapshot, v *VM) int {
	every := s.Fleet.Maintenance.Interval.D()
	if s.Unix >= deadline(s, v)-int64(every/urgentLeadDivisor/time.Second) {
		return 0
	}
	return p.need.Demand
}

// deadline returns by when the VM has to be maintained, in seconds since the
// Unix epoch.
func deadline(s *Snapshot, v *VM) int64 {
	last := s.Ledger.VMs[v.Name].MaintainedAt
	if last == 0 {
		last = s.Ledger.FirstClaim
	}
	return last + int64(s.Fleet.Maintenance.Interval.D()/time.Second)
}
