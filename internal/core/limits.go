package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/shared"
)

// foldLimits applies a change of the shared state to the limits. A record
// changes either the members or the totals; a snapshot may change both.
func (s *State) foldLimits(c shared.Change) {
	offset := s.Shared().Offset
	switch {
	case c.Snapshot && c.MembersChanged:
		s.limits.InstallSnapshot(s.now, offset, s.limitMembers(), s.limitTotals(), s.maxRunTime())
	case c.MembersChanged:
		s.limits.FoldMembers(s.now, offset, s.limitMembers())
	case c.ConfigChanged:
		s.foldTotals()
	}
}

// foldTotals sets the totals of the limits as of the folded offset. The
// accounts of VMs depend on the VM list as well.
func (s *State) foldTotals() {
	if s.Shared().Fleet == nil {
		return
	}
	s.limits.FoldTotals(s.now, s.Shared().Offset, s.limitTotals(), s.maxRunTime())
}

// maxRunTime returns how long work of a lost member may keep running: a request
// for up to the longest run limit of all queues, a task until its lease at the
// worker expires.
func (s *State) maxRunTime() time.Duration {
	if s.Shared().Fleet == nil {
		return orphanedTaskTimeout
	}
	return max(s.Shared().Fleet.MaxRunTime().D(), orphanedTaskTimeout)
}

func (s *State) limitMembers() []limit.Member {
	var out []limit.Member
	for inc := range s.Shared().Members {
		out = append(out, limit.Member{Incarnation: inc})
	}
	for inc, removed := range s.Shared().Removed {
		removal := limit.RemovalLost
		if removed.Settled {
			removal = limit.RemovalLeft
		}
		out = append(out, limit.Member{Incarnation: inc, Removal: removal, RemovedAt: removed.Offset})
	}
	slices.SortFunc(out, func(a, b limit.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

func (s *State) limitTotals() []limit.Total {
	var out []limit.Total
	if s.Shared().Fleet == nil {
		return nil
	}
	for _, t := range s.Shared().Fleet.Teams {
		out = append(out, limit.Total{Account: limit.TeamAccount(t.Name), Slots: t.UpperLimit})
	}
	for _, vm := range s.vms.All() {
		p, ok := s.Shared().Fleet.Pool(vm.Pool)
		if !ok || vm.Phase == observe.PhaseLost {
			continue
		}
		// A VM that accepts no new work keeps its total until its work has ended,
		// but without a pool, so that its slots are not lent as slots of the pool.
		total := limit.Total{Account: vmAccount(vm), Slots: p.Slots}
		if vm.Phase == observe.PhaseReady {
			total.Pool = p.Name
		}
		out = append(out, total)
	}
	return out
}
