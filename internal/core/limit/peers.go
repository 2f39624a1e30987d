package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// peer is what is known of another member.
type peer struct {
	removal   Removal
	removedAt vocab.Offset
	// foldedAt is when this node folded the removal of a lost member.
	foldedAt vocab.Instant
	// settled is the last offset that the peer reported.
	settled vocab.Offset
	// ended says that nothing of a removed member can still run.
	ended bool
}

// readMembers brings the peers up to date. It returns the present members in
// order, and whether the change lowers nobody's part.
func (s *State) readMembers(now vocab.Instant, at vocab.Offset, members []Member) ([]vocab.Incarnation, bool) {
	raise := true
	listed := make(map[vocab.Incarnation]bool, len(members))
	var present []vocab.Incarnation
	for _, m := range members {
		listed[m.Incarnation] = true
		if m.Removal == RemovalNone {
			present = append(present, m.Incarnation)
			raise = raise && slices.Contains(s.present, m.Incarnation)
		}
		if m.Incarnation != s.cfg.Self {
			s.readMember(now, m)
		}
	}
	for id, p := range s.peers {
		if listed[id] {
			continue
		}
		p.remove(now, RemovalLost, at)
		if p.ended {
			delete(s.peers, id)
		}
	}
	slices.SortFunc(present, cmp.Compare)
	for _, id := range s.present {
		if p, ok := s.peers[id]; !slices.Contains(present, id) && (!ok || p.removal != RemovalLeft) {
			raise = false
		}
	}
	return slices.Compact(present), raise
}

func (s *State) readMember(now vocab.Instant, m Member) {
	p, ok := s.peers[m.Incarnation]
	if !ok {
		p = &peer{}
		s.peers[m.Incarnation] = p
	}
	if m.Removal != RemovalNone {
		p.remove(now, m.Removal, m.RemovedAt)
	}
}

// remove notes a removal once.
func (p *peer) remove(now vocab.Instant, how Removal, at vocab.Offset) {
	if p.removal != RemovalNone {
		return
	}
	p.removal = how
	p.removedAt = at
	p.foldedAt = now
	p.ended = how == RemovalLeft
}

// OnSettled takes a member's report: it uses no more than its parts up to the
// settled offset, and all others had confirmed the confirmed offset to it.
// Reports may come late, twice or out of order.
func (s *State) OnSettled(now vocab.Instant, member vocab.Incarnation, settled, confirmed vocab.Offset) {
	for _, p := range s.peers {
		if p.removal != RemovalNone && p.removedAt <= confirmed {
			p.ended = true
		}
	}
	if p, ok := s.peers[member]; ok {
		p.settled = max(p.settled, settled)
	}
	s.expireRemoved(now)
	s.advance()
}

// lostWait is how long work of a lost member may still start and run: what it
// lent may be used for a lease, and runs for the longest run limit.
func (s *State) lostWait() time.Duration {
	return s.cfg.Lease + s.longestRun + s.cfg.Guard
}

// expireRemoved ends the wait for lost members.
func (s *State) expireRemoved(now vocab.Instant) {
	for _, p := range s.peers {
		if p.removal == RemovalLost && !now.Before(p.foldedAt.Add(s.lostWait())) {
			p.ended = true
		}
	}
}

// leastSettled returns the offset up to which this node and all others that
// may have work running are settled.
func (s *State) leastSettled() vocab.Offset {
	least := s.settled
	for _, p := range s.peers {
		if !p.ended {
			least = min(least, p.settled)
		}
	}
	return least
}
