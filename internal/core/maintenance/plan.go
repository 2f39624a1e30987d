package maintenance

import (
	"fmt"
	"time"
)

// MakePlan returns what should happen next. It is a pure function; any node can
// call it, only the owner's plan is carried out.
func MakePlan(s *Snapshot) Plan {
	plan := Plan{}
	t := newTallies(s)
	planUnderWay(s, t, &plan)
	planWave(s, &plan)
	if s.Hold == "" {
		planMoves(s, t, &plan)
	}
	planMaintenance(s, t, &plan)
	noteShortages(t, &plan)
	return plan
}

// planWave opens a wave when it is due and pauses it after too many failures.
func planWave(s *Snapshot, plan *Plan) {
	m, w := s.Fleet.Maintenance, s.Ledger.Wave
	if w.Paused != 0 || m.Every <= 0 {
		return
	}
	if m.StopAfter > 0 && w.Failed >= m.StopAfter {
		reason := fmt.Sprintf("%d VMs did not come back from their reboot", w.Failed)
		plan.step(Step{Kind: StepPauseWave, Reason: reason})
		return
	}
	if s.Hold == "" && s.Unix >= waveDue(s) {
		plan.step(Step{Kind: StepStartWave, Reason: "the last wave's VMs come due"})
	}
}

// waveDue returns when the next wave starts, in seconds since the Unix epoch.
func waveDue(s *Snapshot) int64 {
	last := s.Ledger.Wave.StartedAt
	if s.Ledger.Wave.Number == 0 {
		last = s.Ledger.FirstClaim
	}
	every := s.Fleet.Maintenance.Every.D()
	return last + int64((every-every/waveLead)/time.Second)
}

// noteShortages says which pools cannot have their budget, and why.
func noteShortages(t *tallies, plan *Plan) {
	for _, name := range t.names {
		p := t.byName[name]
		reason := p.withinBudget()
		switch {
		case reason != "":
		case p.has() < p.budgetVMs() && !p.spec.Spare:
			reason = fmt.Sprintf("pool %s has no buffer: it holds %d VMs and wants %d", name, p.has(), p.budgetVMs())
		case p.has() < p.need.Demand:
			reason = fmt.Sprintf("pool %s holds %d VMs and demand needs %d", name, p.has(), p.need.Demand)
		default:
			continue
		}
		plan.Shortages = append(plan.Shortages, Shortage{Pool: name, Reason: reason})
	}
}
