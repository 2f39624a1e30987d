package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/record"
)

// retryAfterStop is what callers are told by a node that is stopping: another
// node takes the request at once.
const retryAfterStop = time.Second

// onStopRequested hands back what waits; what runs goes on.
func (s *State) onStopRequested() {
	if s.stopping {
		return
	}
	s.leaving = true
	s.stopping = true
	s.notice(NoticeStopping, string(s.self.Node), "no new request is taken")
	for _, id := range s.names {
		for _, it := range s.queues[id].waiting.RemoveIf(func(admission.Item) bool { return true }) {
			s.refuseWaiting(it.Request, stoppingProblem())
		}
	}
}

// onLastRequestEnded ends the membership. If requests may still run upstream,
// the record says so, and the others wait before they use this node's parts.
func (s *State) onLastRequestEnded() {
	if s.left || !s.isMember() {
		return
	}
	s.left = true
	reason := record.RemovalLeft
	if s.busy() {
		reason = record.RemovalReplaced
	}
	s.append(record.NodeRemoved{Node: s.self.Node, Incarnation: s.self.Incarnation, Reason: reason})
}

// busy reports whether work of this node, or of a node that it lent to, may
// still run upstream.
func (s *State) busy() bool {
	for _, a := range s.limits.Snapshot().Accounts {
		if a.Own > 0 || a.Lent > 0 || a.BorrowedRunning > 0 {
			return true
		}
	}
	return false
}

func (s *State) isMember() bool {
	_, ok := s.Shared().Members[s.self.Incarnation]
	return ok
}

func stoppingProblem() Problem {
	return notRun(CodeStopping, retryAfterStop, "this entry node is stopping; send the request again")
}
