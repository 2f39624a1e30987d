package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/shared"
)

// foldLimits tells the limits what a record changed. A record changes either
// the members or the totals; a snapshot may change both.
func (s *State) foldLimits(c shared.Change) {
	at := s.Shared().Offset
	switch {
	case c.Snapshot && c.Members:
		s.limits.FoldSnapshot(s.now, at, s.limitMembers(), s.limitTotals(), s.longestRun())
	case c.Members:
		s.limits.FoldMembers(s.now, at, s.limitMembers())
	case c.Config:
		s.foldTotals()
	}
}

// foldTotals tells the limits the totals at the folded offset. Which VMs have
// one depends on the VM list as well.
func (s *State) foldTotals() {
	if s.Shared().Fleet == nil {
		return
	}
	s.limits.FoldTotals(s.now, s.Shared().Offset, s.limitTotals(), s.longestRun())
}

// longestRun returns how long work of a lost member may still run: requests for
// the longest run limit, tasks for their lease with the worker.
func (s *State) longestRun() time.Duration {
	if s.Shared().Fleet == nil {
		return taskOrphanTime
	}
	return max(s.Shared().Fleet.LongestRun().D(), taskOrphanTime)
}

func (s *State) limitMembers() []limit.Member {
	var out []limit.Member
	for inc := range s.Shared().Members {
		out = append(out, limit.Member{Incarnation: inc})
	}
	for inc, r := range s.Shared().Removed {
		how := limit.RemovalLost
		if r.Settled {
			how = limit.RemovalLeft
		}
		out = append(out, limit.Member{Incarnation: inc, Removal: how, RemovedAt: r.Offset})
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
		// A VM that takes no new work keeps its total while work ends on it, but
		// is not lent as one of the pool.
		total := limit.Total{Account: vmAccount(vm), Slots: p.Slots}
		if vm.Phase == observe.PhaseReady {
			total.Pool = p.Name
		}
		out = append(out, total)
	}
	return out
}
