package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/record"
)

// retryAfterStop is the retry delay given to callers by a stopping node. It is
// short because other nodes accept the request.
const retryAfterStop = time.Second

// onStopRequested refuses the waiting requests and stops lending. Running
// attempts continue.
func (s *State) onStopRequested() {
	if s.stopping {
		return
	}
	s.leaving = true
	s.stopping = true
	s.limits.Drain()
	s.logEvent(LogEventStopping, string(s.self.Node), "no new requests are accepted")
	for _, id := range s.queueIDs {
		for _, item := range s.queues[id].waiting.RemoveIf(func(admission.Item) bool { return true }) {
			s.refuseWaiting(item.Request, stoppingProblem())
		}
	}
}

// onLastRequestEnded requests the end of this node's membership. If attempts
// may still be running or loans are outstanding, the node is recorded as
// replaced instead of left, and the others wait before they use its quotas.
func (s *State) onLastRequestEnded() {
	if s.ownRemovalRequested || !s.isMember() {
		return
	}
	s.ownRemovalRequested = true
	reason := record.RemovalLeft
	if !s.limits.Close() {
		reason = record.RemovalReplaced
	}
	s.appendRecord(record.NodeRemoved{Node: s.self.Node, Incarnation: s.self.Incarnation, Reason: reason})
}

func (s *State) isMember() bool {
	_, ok := s.Shared().Members[s.self.Incarnation]
	return ok
}

func stoppingProblem() Problem {
	return notRun(CodeStopping, retryAfterStop, "this entry node is stopping; send the request again")
}
