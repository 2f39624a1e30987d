package maintenance

import (
	"fmt"
	"time"
)

// MakePlan returns the steps to take for the snapshot. It is a pure function
// that any node may call; only the owner's plan is carried out.
func MakePlan(s *Snapshot) Plan {
	plan := Plan{}
	pools := newPoolStates(s)
	continueDisruptions(s, pools, &plan)
	planWave(s, &plan)
	if s.HoldReason == "" {
		planMoves(s, pools, &plan)
	}
	planMaintenance(s, pools, &plan)
	reportShortfalls(pools, &plan)
	return plan
}

// planWave starts a wave when it is due and pauses one after too many failures.
func planWave(s *Snapshot, plan *Plan) {
	m, w := s.Fleet.Maintenance, s.Ledger.Wave
	if w.PauseOffset != 0 || m.Interval <= 0 {
		return
	}
	if m.StopAfter > 0 && w.Failed >= m.StopAfter {
		reason := fmt.Sprintf("%d VMs did not come back from their reboot", w.Failed)
		plan.addStep(Step{Kind: StepPauseWave, Reason: reason})
		return
	}
	if s.HoldReason == "" && s.Unix >= nextWaveAt(s) {
		plan.addStep(Step{Kind: StepStartWave, Reason: "the maintenance period of the last wave ends soon"})
	}
}

// nextWaveAt returns when the next wave starts, in seconds since the Unix
// epoch.
func nextWaveAt(s *Snapshot) int64 {
	last := s.Ledger.Wave.StartedAt
	if s.Ledger.Wave.Number == 0 {
		last = s.Ledger.FirstClaim
	}
	every := s.Fleet.Maintenance.Interval.D()
	return last + int64((every-every/waveLeadDivisor)/time.Second)
}

// reportShortfalls adds to the plan the pools that are below their budget, lack
// the headroom for a rack failure or hold fewer VMs than demand needs.
func reportShortfalls(pools *poolStates, plan *Plan) {
	for _, name := range pools.names {
		p := pools.byName[name]
		reason := p.budgetViolation()
		switch {
		case reason != "":
		case p.expectedVMs() < p.budgetVMs() && !p.spec.Spare:
			reason = fmt.Sprintf("pool %s lacks headroom: it holds %d VMs and needs %d", name, p.expectedVMs(), p.budgetVMs())
		case p.expectedVMs() < p.need.Demand:
			reason = fmt.Sprintf("pool %s holds %d VMs and demand needs %d", name, p.expectedVMs(), p.need.Demand)
		default:
			continue
		}
		plan.Shortfalls = append(plan.Shortfalls, Shortfall{Pool: name, Reason: reason})
	}
}
