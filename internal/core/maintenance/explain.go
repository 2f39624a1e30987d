package maintenance

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Status is the state of moves and maintenance as shown to operators.
type Status struct {
	Owner      Owner        `json:"owner"`
	IsOwner    bool         `json:"mine"`
	HoldReason string       `json:"hold,omitempty"`
	Wave       WaveStatus   `json:"wave"`
	Pools      []PoolStatus `json:"pools"`
	Shortfalls []Shortfall  `json:"shortages,omitempty"`
}

// WaveStatus is the progress of the newest wave. Counts are in VMs.
type WaveStatus struct {
	Wave
	Done       int `json:"done"`
	Due        int `json:"due"`
	InProgress int `json:"under_way"`
	Missing    int `json:"missing"` // not ready in time after their reboot
}

// PoolStatus is what a pool holds and should hold, in VMs.
type PoolStatus struct {
	Pool     vocab.PoolID `json:"pool"`
	Ready    int          `json:"ready"`
	Keep     int          `json:"keep"`
	Held     int          `json:"held"`
	Incoming int          `json:"incoming"`
	Wanted   int          `json:"wanted"`
	Demand   int          `json:"demand"`
}

// Status returns the state at the last tick, with the shortfalls of the last
// plan.
func (c *Controller) Status() Status {
	s := c.Snapshot(c.lastTick)
	pools := newPoolStates(s)
	out := Status{Owner: c.ledger.Owner, IsOwner: c.isOwner(), HoldReason: s.HoldReason, Shortfalls: c.plan.Shortfalls}
	out.Wave.Wave = c.ledger.Wave
	for i := range s.VMs {
		out.Wave.countVM(s, &s.VMs[i])
	}
	for _, name := range pools.names {
		p := pools.byName[name]
		out.Pools = append(out.Pools, PoolStatus{
			Pool: name, Ready: p.ready, Keep: p.budget.MinReady, Held: p.held,
			Incoming: p.incoming, Wanted: p.targetVMs(), Demand: p.need.Demand,
		})
	}
	return out
}

func (w *WaveStatus) countVM(s *Snapshot, v *VM) {
	e := s.Ledger.VMs[v.Name]
	switch {
	case e.Maintenance.Stage == observe.MaintenanceFailed:
		w.Missing++
	case e.Maintenance.Stage != observe.MaintenanceNone:
		w.InProgress++
	case w.Number == 0:
	case e.LastWave == w.Number:
		w.Done++
	default:
		w.Due++
	}
}

// Explain says in one line what the plan does with a VM, or why the VM waits.
func (c *Controller) Explain(vm vocab.VMID) string {
	v := c.observed.Get(vm)
	if v == nil {
		return fmt.Sprintf("unknown VM %s", vm)
	}
	state := fmt.Sprintf("VM %s is %s", vm, v.Phase)
	if v.Pool != "" {
		state += fmt.Sprintf(" in pool %s", v.Pool)
	}
	for _, step := range c.plan.Steps {
		if step.VM == vm {
			return fmt.Sprintf("%s; next: %s, because: %s", state, step.Kind, step.Reason)
		}
	}
	for _, pending := range c.plan.Pending {
		if pending.VM == vm {
			return fmt.Sprintf("%s; waits: %s", state, pending.Reason)
		}
	}
	e := c.ledger.VMs[vm]
	if w := c.ledger.Wave; w.Number > 0 && e.LastWave == w.Number {
		return fmt.Sprintf("%s; maintained in wave %d", state, w.Number)
	}
	return state + "; nothing is planned for it"
}
