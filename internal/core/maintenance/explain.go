package maintenance

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Status is what operators see of moves and maintenance.
type Status struct {
	Owner     Owner        `json:"owner"`
	Mine      bool         `json:"mine"`
	Hold      string       `json:"hold,omitempty"`
	Wave      WaveStatus   `json:"wave"`
	Pools     []PoolStatus `json:"pools"`
	Shortages []Shortage   `json:"shortages,omitempty"`
}

// WaveStatus is the progress of the newest wave, in VMs.
type WaveStatus struct {
	Wave
	Done    int `json:"done"`
	Due     int `json:"due"`
	Under   int `json:"under_way"`
	Missing int `json:"missing"` // did not come back
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

// Status returns the state as of the last plan.
func (c *Controller) Status() Status {
	s := c.Snapshot(c.lastTick)
	t := newTallies(s)
	out := Status{Owner: c.ledger.Owner, Mine: c.owns(), Hold: s.Hold, Shortages: c.plan.Shortages}
	out.Wave.Wave = c.ledger.Wave
	for i := range s.VMs {
		out.Wave.count(s, &s.VMs[i])
	}
	for _, name := range t.names {
		p := t.byName[name]
		out.Pools = append(out.Pools, PoolStatus{
			Pool: name, Ready: p.ready, Keep: p.keep.Ready, Held: p.held,
			Incoming: p.incoming, Wanted: p.wants(), Demand: p.need.Demand,
		})
	}
	return out
}

func (w *WaveStatus) count(s *Snapshot, v *VM) {
	e := s.Ledger.VMs[v.Name]
	switch {
	case e.Upkeep.Stage == observe.UpkeepFailed:
		w.Missing++
	case e.Upkeep.Stage != observe.UpkeepNone:
		w.Under++
	case w.Number == 0:
	case e.Wave == w.Number:
		w.Done++
	default:
		w.Due++
	}
}

// Explain tells in one line what happens to a VM or why it waits.
func (c *Controller) Explain(vm vocab.VMID) string {
	v := c.seen.Get(vm)
	if v == nil {
		return fmt.Sprintf("VM %s is not known", vm)
	}
	at := fmt.Sprintf("VM %s is %s", vm, v.Phase)
	if v.Pool != "" {
		at += fmt.Sprintf(" in pool %s", v.Pool)
	}
	for _, step := range c.plan.Steps {
		if step.VM == vm {
			return fmt.Sprintf("%s; next: %s, because: %s", at, step.Kind, step.Reason)
		}
	}
	for _, wait := range c.plan.Waits {
		if wait.VM == vm {
			return fmt.Sprintf("%s; waits: %s", at, wait.Reason)
		}
	}
	e := c.ledger.VMs[vm]
	if w := c.ledger.Wave; w.Number > 0 && e.Wave == w.Number {
		return fmt.Sprintf("%s; maintained in wave %d", at, w.Number)
	}
	return at + "; nothing is planned for it"
}
