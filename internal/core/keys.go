package core

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// activeKey returns the key if it is in force and not withdrawn on this node.
func (s *State) activeKey(id vocab.KeyID) (shared.Key, bool) {
	if s.pendingWithdrawals[id] {
		return shared.Key{}, false
	}
	return s.Shared().ActiveKey(id)
}

// withdrawKey withdraws a key on this node immediately, spreads the withdrawal
// by gossip and appends the record of it. The append is retried while the log
// is unavailable.
func (s *State) withdrawKey(id vocab.KeyID) {
	if s.pendingWithdrawals[id] || s.Shared().Keys[id].Withdrawn {
		return
	}
	s.pendingWithdrawals[id] = true
	s.applyWithdrawal(id)
	if s.peers.gossip.AddWithdrawn(s.now, id) {
		s.broadcastGossip()
	}
	s.appendRecord(record.KeyWithdrawn{Key: id, Operator: string(s.self.Node)})
}

// applyWithdrawal refuses the requests that wait under a withdrawn key. Once
// the withdrawal is folded, it is no longer pending.
func (s *State) applyWithdrawal(id vocab.KeyID) {
	s.logEvent(LogEventKeyWithdrawn, string(id), "")
	s.refuseWaitingIf(func(item admission.Item) bool { return item.Key == id })
	if s.Shared().Keys[id].Withdrawn {
		delete(s.pendingWithdrawals, id)
	}
}

// refuseInactiveKeys refuses the requests that wait under keys that are not
// active after a snapshot replaced the shared state.
func (s *State) refuseInactiveKeys() {
	s.refuseWaitingIf(func(item admission.Item) bool { return !s.keyValid(item.Key) })
}

func (s *State) refuseWaitingIf(match func(admission.Item) bool) {
	for _, name := range s.queueIDs {
		for _, item := range s.queues[name].waiting.RemoveIf(match) {
			s.refuseWaiting(item.Request, notRun(CodeKeyRefused, 0, "the key was withdrawn while the request waited"))
		}
	}
}

// keyValid reports whether work that was accepted under the key may still be
// started. The empty ID stands for work in an open queue, which needs no key.
func (s *State) keyValid(id vocab.KeyID) bool {
	if id == "" {
		return true
	}
	_, ok := s.activeKey(id)
	return ok
}

// PendingWithdrawals returns the withdrawn keys whose withdrawal has not been
// folded from the log yet, sorted.
func (s *State) PendingWithdrawals() []vocab.KeyID {
	var out []vocab.KeyID
	for id := range s.pendingWithdrawals {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
