package core

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// join asks for membership once the fold has caught up with the log. A process
// that starts on a node's address knows that the earlier processes of that node
// have ended, since they held the same address.
func (s *State) join() {
	if s.joinAsked {
		return
	}
	s.joinAsked = true
	for _, inc := range s.earlierProcesses() {
		s.append(record.NodeRemoved{Node: s.self.Node, Incarnation: inc, Reason: record.RemovalReplaced})
	}
	s.append(record.NodeJoined{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		Zone:        s.self.Zone,
		Region:      s.self.Region,
		PeerAddress: s.self.PeerAddress,
	})
}

// earlierProcesses returns the members that this process replaces, sorted.
func (s *State) earlierProcesses() []vocab.Incarnation {
	var out []vocab.Incarnation
	for inc, m := range s.Shared().Members {
		if m.Node == s.self.Node && inc != s.self.Incarnation {
			out = append(out, inc)
		}
	}
	slices.Sort(out)
	return out
}

// append asks for a record on the fleet stream.
func (s *State) append(body record.Body) {
	s.emit(Append{Stream: shared.Stream, ID: s.newRecordID(), Body: body})
}
