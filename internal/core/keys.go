package core

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// activeKey returns the key if work may be taken under it now.
func (s *State) activeKey(id vocab.KeyID) (shared.Key, bool) {
	if s.pendingWithdrawals[id] {
		return shared.Key{}, false
	}
	return s.Shared().ActiveKey(id)
}

// withdrawKey ends a key at once on this node and asks for the record that
// ends it for good. The record may wait for the log to come back.
func (s *State) withdrawKey(id vocab.KeyID) {
	if s.pendingWithdrawals[id] || s.Shared().Keys[id].Withdrawn {
		return
	}
	s.pendingWithdrawals[id] = true
	s.endKey(id)
	s.append(record.KeyWithdrawn{Key: id, Operator: string(s.self.Node)})
}

// endKey refuses what waits under a withdrawn key.
func (s *State) endKey(id vocab.KeyID) {
	s.notice(NoticeKeyWithdrawn, string(id), "")
	s.refuseKeys(func(it admission.Item) bool { return it.Key == id })
	if s.Shared().Keys[id].Withdrawn {
		delete(s.pendingWithdrawals, id)
	}
}

// endLostKeys refuses what waits under keys that a snapshot does not hold.
func (s *State) endLostKeys() {
	s.refuseKeys(func(it admission.Item) bool { return !s.keyHolds(it.Key) })
}

func (s *State) refuseKeys(match func(admission.Item) bool) {
	for _, name := range s.names {
		for _, it := range s.queues[name].waiting.RemoveIf(match) {
			s.refuseWaiting(it.Request, notRun(CodeKeyRefused, 0, "the key was withdrawn while the request waited"))
		}
	}
}

// keyHolds reports whether work that came with the key may still be started.
func (s *State) keyHolds(id vocab.KeyID) bool {
	if id == "" {
		return true
	}
	_, ok := s.activeKey(id)
	return ok
}

// PendingWithdrawals returns the keys whose withdrawal is not yet on the log.
func (s *State) PendingWithdrawals() []vocab.KeyID {
	var out []vocab.KeyID
	for id := range s.pendingWithdrawals {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
