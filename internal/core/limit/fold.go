package limit

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// InstallSnapshot installs the state of the log at an offset without the records
// before it. Unless the node has already folded the log up to that offset, its
// own quota is 0 until every other member has confirmed the offset.
func (s *State) InstallSnapshot(now vocab.Instant, at vocab.Offset, members []Member, totals []Total, maxRunLimit time.Duration) {
	if at <= s.folded {
		return
	}
	s.recordLogGap()
	s.FoldMembers(now, at, members)
	s.FoldTotals(now, at, totals, maxRunLimit)
	s.logContiguous = true
	s.advance()
}

// recordLogGap records that the quotas just after the folded offset are unknown:
// no members and no quota from that offset on, until the snapshot is folded.
func (s *State) recordLogGap() {
	s.logContiguous = false
	s.history.push(memberVersion{from: s.folded + 1})
	for _, a := range s.accounts {
		s.pushQuota(a, quotaVersion{from: s.folded + 1})
	}
}

// FoldMembers sets the members as of an offset. Removed members must stay in the
// list for longer than a reader takes to fold their removal; a member that is
// missing without a removal counts as lost.
func (s *State) FoldMembers(now vocab.Instant, at vocab.Offset, members []Member) {
	present, nonDecreasing := s.updatePeers(now, at, members)
	if !slices.Equal(present, s.present) {
		s.present = present
		s.history.push(memberVersion{from: at, present: present, nonDecreasing: nonDecreasing && s.logContiguous})
		for _, a := range s.accounts {
			s.pushBaseQuota(a, at, nonDecreasing && s.logContiguous)
		}
	}
	s.SetFolded(now, at)
}

// FoldTotals sets all totals and the longest run limit of all queues as of an
// offset. An account that is missing from totals has the total 0. Nodes may
// learn of an account at different offsets, for example that of a VM, as long as
// its total is the same function of the log on all nodes that know it.
func (s *State) FoldTotals(now vocab.Instant, at vocab.Offset, totals []Total, maxRunLimit time.Duration) {
	s.maxRunLimit = max(s.maxRunLimit, maxRunLimit)
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
	s.SetFolded(now, at)
}

// FoldTotal sets the total of one account as of an offset.
func (s *State) FoldTotal(now vocab.Instant, at vocab.Offset, t Total) {
	s.setTotal(at, t)
	s.SetFolded(now, at)
}

// SetFolded records that the log has been folded up to an offset.
func (s *State) SetFolded(now vocab.Instant, at vocab.Offset) {
	s.folded = max(s.folded, at)
	s.expireLostMembers(now)
	s.advance()
}

// setTotal sets the total of an account. An account whose quota has always been
// 0 gets quotas for the whole window, as if the total had never been different.
func (s *State) setTotal(at vocab.Offset, t Total) {
	a := s.ensureAccount(t.Account)
	s.assignPool(a, t.Pool)
	if a.total == t.Slots && s.logContiguous {
		return
	}
	nonDecreasing := s.logContiguous && t.Slots >= a.total
	a.total = t.Slots
	if a.window.alwaysZero() {
		a.window = s.history.windowFor(a, s.cfg.Self)
		s.unconfirmed[a.id] = a
		s.updateOverQuota(a)
		return
	}
	s.pushBaseQuota(a, at, nonDecreasing)
}

// pushBaseQuota computes the node's base quota from an offset on and adds it to
// the account's window.
func (s *State) pushBaseQuota(a *account, at vocab.Offset, nonDecreasing bool) {
	slots := BaseQuota(a.id, a.total, s.present, s.cfg.Self)
	s.pushQuota(a, quotaVersion{from: at, slots: slots, nonDecreasing: nonDecreasing})
}

// pushQuota adds a quota to the account's window and marks the account as
// unconfirmed.
func (s *State) pushQuota(a *account, v quotaVersion) {
	a.window.push(v)
	s.unconfirmed[a.id] = a
	s.updateOverQuota(a)
}

// advance updates the settled and confirmed offsets, drops the quotas before the
// confirmed offset from the windows, and removes accounts that are no longer
// used.
func (s *State) advance() {
	settled := s.folded
	for _, a := range s.overQuota {
		settled = min(settled, a.window.settledTo(a.used(), s.folded))
	}
	s.settled = max(s.settled, settled)
	s.confirmed = max(s.confirmed, s.minSettled())
	s.history.trim(s.confirmed)
	for id, a := range s.unconfirmed {
		a.window.trim(s.confirmed)
		if a.used() <= a.window.minQuota {
			delete(s.overQuota, id)
		}
		if len(a.window.versions) > 1 {
			continue
		}
		delete(s.unconfirmed, id)
		if a.isUnused() {
			delete(s.accounts, id)
			s.assignPool(a, "")
		}
	}
}
