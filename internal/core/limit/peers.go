package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// peer is what this node knows about another member.
type peer struct {
	removal   Removal
	removedAt vocab.Offset
	// removalFoldedAt is the time when this node folded the removal.
	removalFoldedAt vocab.Instant
	// settled is the highest settled offset that the peer has reported.
	settled vocab.Offset
	// workEnded is set once no work of a removed member can still run.
	workEnded bool
}

// updatePeers updates the peers from a list of members. It returns the present
// members in order, and whether the change lowers the base quota of no member
// that may have work running.
func (s *State) updatePeers(now vocab.Instant, at vocab.Offset, members []Member) ([]vocab.Incarnation, bool) {
	nonDecreasing := true
	listed := make(map[vocab.Incarnation]bool, len(members))
	var present []vocab.Incarnation
	for _, m := range members {
		listed[m.Incarnation] = true
		if m.Removal == RemovalNone {
			present = append(present, m.Incarnation)
			nonDecreasing = nonDecreasing && slices.Contains(s.present, m.Incarnation)
		}
		if m.Incarnation != s.cfg.Self {
			s.updatePeer(now, m)
		}
	}
	for id, p := range s.peers {
		if listed[id] {
			continue
		}
		p.markRemoved(now, RemovalLost, at)
		if p.workEnded {
			delete(s.peers, id)
		}
	}
	slices.SortFunc(present, cmp.Compare)
	for _, id := range s.present {
		if p, ok := s.peers[id]; !slices.Contains(present, id) && (!ok || p.removal != RemovalLeft) {
			nonDecreasing = false
		}
	}
	return slices.Compact(present), nonDecreasing
}

// updatePeer adds a member to the peers, or records its removal.
func (s *State) updatePeer(now vocab.Instant, m Member) {
	p, ok := s.peers[m.Incarnation]
	if !ok {
		p = &peer{}
		s.peers[m.Incarnation] = p
	}
	if m.Removal != RemovalNone {
		p.markRemoved(now, m.Removal, m.RemovedAt)
	}
}

// markRemoved records the removal of a peer. Later removals of the same peer are
// ignored.
func (p *peer) markRemoved(now vocab.Instant, removal Removal, at vocab.Offset) {
	if p.removal != RemovalNone {
		return
	}
	p.removal = removal
	p.removedAt = at
	p.removalFoldedAt = now
	p.workEnded = removal == RemovalLeft
}

// OnSettled records a member's report: up to the settled offset, the member uses
// no more than its base quotas; up to the confirmed offset, all others had
// reported the same to it. Reports may arrive late, twice or out of order.
func (s *State) OnSettled(now vocab.Instant, member vocab.Incarnation, settled, confirmed vocab.Offset) {
	for _, p := range s.peers {
		if p.removal != RemovalNone && p.removedAt <= confirmed {
			p.workEnded = true
		}
	}
	if p, ok := s.peers[member]; ok {
		p.settled = max(p.settled, settled)
	}
	s.expireLostMembers(now)
	s.advance()
}

// lostMemberWait is the time for which work of a lost member may still start
// and run: a borrower may start work on the member's loans for a lease, and
// that work runs for up to the longest run limit.
func (s *State) lostMemberWait() time.Duration {
	return s.cfg.Lease + s.maxRunLimit + s.cfg.Guard
}

// expireLostMembers marks the work of lost members as ended after
// lostMemberWait.
func (s *State) expireLostMembers(now vocab.Instant) {
	for _, p := range s.peers {
		if p.removal == RemovalLost && !now.Before(p.removalFoldedAt.Add(s.lostMemberWait())) {
			p.workEnded = true
		}
	}
}

// minSettled returns the offset up to which this node and all others that may
// have work running are settled.
func (s *State) minSettled() vocab.Offset {
	lowest := s.settled
	for _, p := range s.peers {
		if !p.workEnded {
			lowest = min(lowest, p.settled)
		}
	}
	return lowest
}
