package core

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// removalCheck is the time between two looks for members to remove.
	removalCheck = time.Second
	// removalRepeat is the time after which a removal is asked for again if it
	// is not on the log.
	removalRepeat = 10 * time.Second
)

// removeGone asks for the end of memberships whose VM the platform lists as
// gone. An entry VM is listed under the name of its node. Every member that
// sees it may ask: a second removal changes nothing. Suspicion alone is no
// evidence, and neither is a VM that the list does not know.
func (s *State) removeGone() {
	if s.logDown || !s.isMember() || s.now.Sub(s.removalAt) < removalCheck {
		return
	}
	s.removalAt = s.now
	for _, m := range s.Shared().SortedMembers() {
		if m.Incarnation == s.self.Incarnation || !s.listedGone(m.Node) {
			continue
		}
		if !slices.Contains(s.peers.view.Silent, m.Incarnation) || !s.mayAskRemoval(m.Incarnation) {
			continue
		}
		s.append(record.NodeRemoved{Node: m.Node, Incarnation: m.Incarnation, Reason: record.RemovalGone})
	}
}

func (s *State) listedGone(node vocab.NodeID) bool {
	row, listed := s.vms.Listed(vocab.VMID(node))
	return listed && row.Phase == observe.ListGone
}

// mayAskRemoval reports whether the removal was not asked for lately.
func (s *State) mayAskRemoval(id vocab.Incarnation) bool {
	asked, ok := s.removals[id]
	if ok && s.now.Sub(asked) < removalRepeat {
		return false
	}
	s.removals[id] = s.now
	return true
}
