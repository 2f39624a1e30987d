package core

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// removalCheckInterval is the time between two checks for members to remove.
	removalCheckInterval = time.Second
	// removalRetryInterval is the time after which a removal that has not been
	// folded is requested again.
	removalRetryInterval = 10 * time.Second
)

// removeGoneMembers requests the removal of silent members whose VM the
// platform lists as gone. The VM of an entry node has the node's name. Several
// members may request the same removal, since a second record changes nothing.
// A member that is only suspected, or whose VM is missing from the list, may
// still be running and is not removed.
func (s *State) removeGoneMembers() {
	if s.logDown || !s.isMember() || s.now.Sub(s.lastRemovalCheck) < removalCheckInterval {
		return
	}
	s.lastRemovalCheck = s.now
	for _, m := range s.Shared().SortedMembers() {
		if m.Incarnation == s.self.Incarnation || !s.listedAsGone(m.Node) {
			continue
		}
		if !slices.Contains(s.peers.view.Silent, m.Incarnation) || !s.markRemovalRequested(m.Incarnation) {
			continue
		}
		s.appendRecord(record.NodeRemoved{Node: m.Node, Incarnation: m.Incarnation, Reason: record.RemovalGone})
	}
}

func (s *State) listedAsGone(node vocab.NodeID) bool {
	row, listed := s.vms.Listed(vocab.VMID(node))
	return listed && row.Phase == observe.ListGone
}

// markRemovalRequested reports whether the removal of a member is due to be
// requested, and if so records the request.
func (s *State) markRemovalRequested(id vocab.Incarnation) bool {
	requestedAt, ok := s.removalRequestedAt[id]
	if ok && s.now.Sub(requestedAt) < removalRetryInterval {
		return false
	}
	s.removalRequestedAt[id] = s.now
	return true
}
