package maintenance

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
)

// planMaintenance begins the maintenance of as many due VMs as budgets allow.
func planMaintenance(s *Snapshot, t *tallies, plan *Plan) {
	if s.Ledger.Wave.Number == 0 {
		return
	}
	room := waveRoom(s, t)
	for _, name := range t.names {
		p := t.byName[name]
		for _, v := range p.inDomainOrder(s) {
			reason := refuseMaintenance(s, p, v, room)
			if reason != "" {
				plan.wait(v.Name, reason)
				continue
			}
			p.take(v)
			p.occupy(v)
			room--
			plan.step(Step{
				Kind: StepMaintain, VM: v.Name, Incarnation: v.Incarnation, From: name,
				Reason: fmt.Sprintf("due in wave %d", s.Ledger.Wave.Number),
			})
		}
	}
}

// waveRoom returns how many more VMs may go into maintenance. Until enough VMs
// came back, no more are out than may fail, so a bad image costs no more.
func waveRoom(s *Snapshot, t *tallies) int {
	stop, w := s.Fleet.Maintenance.StopAfter, s.Ledger.Wave
	if stop <= 0 || w.Returned >= stop {
		return len(s.VMs)
	}
	out := 0
	for _, name := range t.names {
		out += t.byName[name].inFlight
	}
	return stop - w.Failed - out
}

// inDomainOrder returns the pool's due VMs, those of the failure domain that is
// maintained first in front. That is the one already affected, else the one
// with the most due VMs.
func (p *tally) inDomainOrder(s *Snapshot) []*VM {
	byDomain := map[string][]*VM{}
	for _, v := range p.vms {
		if due(s, v) {
			d := v.domain(len(p.spec.Zones))
			byDomain[d] = append(byDomain[d], v)
		}
	}
	domains := sortedKeys(byDomain)
	first := ""
	for _, d := range domains {
		if first == "" || p.comesBefore(d, first, byDomain) {
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

func (p *tally) comesBefore(d, other string, byDomain map[string][]*VM) bool {
	if a, b := p.affected(d), p.affected(other); a != b {
		return a > b
	}
	return len(byDomain[d]) > len(byDomain[other])
}

// affected returns the VMs of the domain that are out of service. One in
// maintenance outweighs all failures.
func (p *tally) affected(domain string) int {
	return p.occupied[domain]*len(p.vms) + p.broken[domain]
}

// due reports whether the VM waits for its maintenance in the current wave.
func due(s *Snapshot, v *VM) bool {
	e := s.Ledger.VMs[v.Name]
	return !e.busy() && e.Wave < s.Ledger.Wave.Number && v.Phase != observe.PhaseLost
}

// refuseMaintenance returns why the VM's maintenance cannot begin now, or "".
func refuseMaintenance(s *Snapshot, p *tally, v *VM, room int) string {
	switch {
	case s.Hold != "":
		return s.Hold
	case s.Ledger.Wave.Paused != 0:
		return "the wave is paused: " + s.Ledger.Wave.Reason
	case s.Fleet.Maintenance.StopAfter > 0 && s.Ledger.Wave.Failed >= s.Fleet.Maintenance.StopAfter:
		return "the wave is about to pause"
	case !v.counted():
		return fmt.Sprintf("the VM is %s and not steadily ready", v.Phase)
	}
	if reason := p.refuseDomain(v); reason != "" {
		return reason
	}
	if reason := p.refuseTaking(v, p.waveFloor(s, v)); reason != "" {
		return reason
	}
	if room <= 0 {
		return "few VMs came back in this wave so far"
	}
	return ""
}

// waveFloor returns the VMs that demand keeps from maintenance. Shortly before
// the VM's deadline only the budget does.
func (p *tally) waveFloor(s *Snapshot, v *VM) int {
	every := s.Fleet.Maintenance.Every.D()
	if s.Unix >= deadline(s, v)-int64(every/urgentLead/time.Second) {
		return 0
	}
	return p.need.Demand
}

// deadline returns when the VM must have been maintained, in seconds since the
// Unix epoch.
func deadline(s *Snapshot, v *VM) int64 {
	last := s.Ledger.VMs[v.Name].MaintainedAt
	if last == 0 {
		last = s.Ledger.FirstClaim
	}
	return last + int64(s.Fleet.Maintenance.Every.D()/time.Second)
}
