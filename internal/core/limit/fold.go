package limit

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// FoldSnapshot takes the state of the log at an offset without the records
// before it. The node has no part of its own until every other member has
// confirmed the offset, unless it already knows the log up to there.
func (s *State) FoldSnapshot(now vocab.Instant, at vocab.Offset, members []Member, totals []Total, longestRun time.Duration) {
	if at <= s.folded {
		return
	}
	s.gap()
	s.FoldMembers(now, at, members)
	s.FoldTotals(now, at, totals, longestRun)
	s.complete = true
	s.advance()
}

// gap records that the parts just after the folded offset are not known.
func (s *State) gap() {
	s.complete = false
	s.history.push(memberVersion{from: s.folded + 1})
	for _, a := range s.accounts {
		s.push(a, partAt{from: s.folded + 1})
	}
}

// FoldMembers takes the members as of an offset. Members that were removed
// must stay in the list for longer than a reader takes to fold their removal;
// a member that is missing without a removal counts as lost.
func (s *State) FoldMembers(now vocab.Instant, at vocab.Offset, members []Member) {
	present, raise := s.readMembers(now, at, members)
	if !slices.Equal(present, s.present) {
		s.present = present
		s.history.push(memberVersion{from: at, present: present, raise: raise && s.complete})
		for _, a := range s.accounts {
			s.pushPart(a, at, raise && s.complete)
		}
	}
	s.FoldedTo(now, at)
}

// FoldTotals takes all totals as of an offset, and the longest run limit of
// all queues. An account that is missing has the total 0. Nodes may come to
// know an account at different offsets, such as that of a VM, as long as its
// total is the same function of the log for all that know it.
func (s *State) FoldTotals(now vocab.Instant, at vocab.Offset, totals []Total, longestRun time.Duration) {
	s.longestRun = max(s.longestRun, longestRun)
	known := make(map[Account]bool, len(totals))
	for _, t := range totals {
		known[t.Account] = true
		s.setTotal(at, t)
	}
	for id := range s.accounts {
		if !known[id] {
			s.setTotal(at, Total{Account: id})
		}
	}
	s.FoldedTo(now, at)
}

// FoldTotal takes the total of one account as of an offset.
func (s *State) FoldTotal(now vocab.Instant, at vocab.Offset, t Total) {
	s.setTotal(at, t)
	s.FoldedTo(now, at)
}

// FoldedTo tells that the log has been folded up to an offset.
func (s *State) FoldedTo(now vocab.Instant, at vocab.Offset) {
	s.folded = max(s.folded, at)
	s.expireRemoved(now)
	s.advance()
}

func (s *State) setTotal(at vocab.Offset, t Total) {
	a := s.account(t.Account)
	s.setPool(a, t.Pool)
	if a.total == t.Slots && s.complete {
		return
	}
	raise := s.complete && t.Slots >= a.total
	a.total = t.Slots
	if a.window.empty() {
		a.window = s.history.windowFor(a, s.cfg.Self)
		s.pending[a.id] = a
		s.review(a)
		return
	}
	s.pushPart(a, at, raise)
}

// pushPart computes the node's home part as of an offset.
func (s *State) pushPart(a *account, at vocab.Offset, raise bool) {
	slots := HomePart(a.id, a.total, s.present, s.cfg.Self)
	s.push(a, partAt{from: at, slots: slots, raise: raise})
}

func (s *State) push(a *account, p partAt) {
	a.window.push(p)
	s.pending[a.id] = a
	s.review(a)
}

// advance finds the settled and confirmed offsets and widens the parts that
// all others have confirmed.
func (s *State) advance() {
	settled := s.folded
	for _, a := range s.over {
		settled = min(settled, a.window.settledTo(a.used(), s.folded))
	}
	s.settled = max(s.settled, settled)
	s.confirmed = max(s.confirmed, s.leastSettled())
	s.history.trim(s.confirmed)
	for id, a := range s.pending {
		a.window.trim(s.confirmed)
		if a.used() <= a.window.least {
			delete(s.over, id)
		}
		if len(a.window.parts) > 1 {
			continue
		}
		delete(s.pending, id)
		if a.forgettable() {
			delete(s.accounts, id)
			s.setPool(a, "")
		}
	}
}
