package core

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// join requests membership of the fleet, once. It is called when the node has
// caught up with the log. It also removes the earlier processes of the same
// node: they have ended, because they listened on the same address.
func (s *State) join() {
	if s.joinRequested {
		return
	}
	s.joinRequested = true
	for _, inc := range s.replacedIncarnations() {
		s.appendRecord(record.NodeRemoved{Node: s.self.Node, Incarnation: inc, Reason: record.RemovalReplaced})
	}
	s.appendRecord(record.NodeJoined{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		Zone:        s.self.Zone,
		Region:      s.self.Region,
		PeerAddress: s.self.PeerAddress,
	})
}

// replacedIncarnations returns the incarnations of other members with the same
// node ID, sorted. This process replaces them.
func (s *State) replacedIncarnations() []vocab.Incarnation {
	var out []vocab.Incarnation
	for inc, m := range s.Shared().Members {
		if m.Node == s.self.Node && inc != s.self.Incarnation {
			out = append(out, inc)
		}
	}
	slices.Sort(out)
	return out
}

// appendRecord emits an append of a record to the fleet stream.
func (s *State) appendRecord(body record.Body) {
	s.emit(Append{Stream: shared.Stream, ID: s.newRecordID(), Body: body})
}
