package core

import (
	"cmp"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/limit"
)

// foldLimits tells the limits which members and totals hold at the folded offset.
func (s *State) foldLimits() {
	if s.Shared().Fleet == nil {
		return
	}
	at := s.Shared().Offset
	s.limits.FoldMembers(s.now, at, s.limitMembers())
	s.limits.FoldTotals(s.now, at, s.limitTotals(), s.Shared().Fleet.LongestRun().D())
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
	for _, t := range s.Shared().Fleet.Teams {
		out = append(out, limit.Total{Account: limit.TeamAccount(t.Name), Slots: t.UpperLimit})
	}
	for _, p := range s.Shared().Fleet.Pools {
		for _, vm := range s.vms.Ready(p.Name) {
			out = append(out, limit.Total{Account: vmAccount(vm), Pool: p.Name, Slots: p.Slots})
		}
	}
	return out
}
