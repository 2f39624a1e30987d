package job

import (
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// claim is a node's view of who owns the workers, and its own attempt to.
type claim struct {
	// quietSince is when the last sign of an owner was read.
	quietSince vocab.Instant
	// lost is the fence under which this process last lost the ownership.
	lost Fence
	// lastSign is the last sign of the owner before the claim was sent.
	lastSign vocab.Instant
	// signAt is the last sign of an owner, also since the claim was sent.
	signAt vocab.Instant
	// offered is the fence under which an owner that cannot write any more offered
	// the ownership to this node.
	offered Fence
	// before is the owner that the claim replaces.
	before ownerRecord
	// appendID is the claim under way, or 0.
	appendID uint64
	// readTo is the offset up to which the stream must be read before another
	// claim: it shows whether the last one took effect.
	readTo int64
}

// claimWait is how long this node waits for the owner before it claims. Nodes
// that are weaker than the strongest leave it the first turn.
func (s *State) claimWait() time.Duration {
	if s.offerHolds() {
		return 0
	}
	wait := ownerSilence + silencePerRead*s.stream.took
	switch {
	case s.ledger.ownerFence == 0:
		wait = firstClaim
	case s.ledger.owner.Resigned, s.ledger.owner.Node == s.self.Node:
		// The owner gave up, or was an earlier process of this node.
		wait = 0
	}
	if s.ledger.strongest > s.self.Strength {
		weakness := 1 - s.self.Strength/s.ledger.strongest
		wait += time.Duration(weakness * float64(weakWait+weakPerRead*s.stream.took))
	}
	// Others have to read the first claim before they would send theirs.
	return wait + s.spread(claimSpread+spreadPerRead*s.stream.took)
}

// offerHolds reports whether the owner offered the ownership, and this node's own way
// to the stream is good.
func (s *State) offerHolds() bool {
	return s.claim.offered != 0 && s.claim.offered == s.ledger.ownerFence && s.stream.took < slowAppend &&
		s.now.Sub(s.stream.readAt) < freshRead
}

// ownershipOffered takes an owner's offer, if this node is better off right now: where
// the store is away for all, the owner goes on once it is back. The claim decides as
// ever: a later owner's fence makes the offer void.
func (s *State) ownershipOffered(e OwnershipOffered) {
	if s.owner != nil || s.stopping || e.Fence != s.ledger.ownerFence || s.streamLost() ||
		s.now.Sub(s.stream.readAt) >= freshRead {
		return
	}
	s.note(NoteOffered, "fence", e.Fence, "owner", s.ledger.owner.Node, "read_age_ms", s.now.Sub(s.stream.readAt).Milliseconds())
	s.claim.offered = e.Fence
	s.readSoon()
}

// offerIfCutOff offers the ownership to the other strong nodes in turn while nothing
// that this owner writes reaches the stream. It answers a store that turns the owner
// away: the others need not wait for its silence. A slow store is slow for all.
func (o *owner) offerIfCutOff() {
	if o.sent == nil || o.resigned || o.took > slowAppend || o.s.now.Sub(o.sent.firstAt) < offerAfter ||
		o.s.now.Sub(o.offeredAt) < offerAgain {
		return
	}
	var strong []string
	for _, node := range o.s.others() {
		m := o.s.ledger.members[node]
		if m.Address != "" && m.Strength >= clearlyWeaker*o.s.ledger.strongest {
			strong = append(strong, m.Address)
		}
	}
	if len(strong) == 0 {
		return
	}
	o.offeredAt = o.s.now
	o.offers++
	o.s.emit(OfferOwnership{Address: strong[(o.offers+int(o.fence))%len(strong)], Fence: o.fence})
}

// announce tells the other nodes how strong this one is: at its start, and again
// while a clearly weaker node owns the workers.
func (s *State) announce() {
	if !s.stream.loaded || s.announced && !s.volunteers() {
		return
	}
	s.announced, s.volunteeredAt = true, s.now
	record, err := encodeMember(s.self.Node, memberRecord{Strength: s.self.Strength, Address: s.self.Peers})
	if err != nil {
		s.note(NoteRecordBad, "key", memberPrefix, "error", err.Error())
		return
	}
	s.addToBatch(record, waitingCall{})
}

// volunteers reports whether it is time to offer to take the ownership over from a
// clearly weaker node.
func (s *State) volunteers() bool {
	owner, known := s.ledger.members[s.ledger.owner.Node]
	return known && s.owner == nil && !s.stopping && s.caughtUp() && s.stream.took < slowAppend &&
		owner.Strength < clearlyWeaker*s.self.Strength && s.now.Sub(s.volunteeredAt) > volunteerEvery
}

// volunteered hands the ownership over to a clearly stronger node that offers to take
// it. An owner keeps it for a while, so that it does not change hands too often.
func (s *State) volunteered(node vocab.NodeID) {
	o := s.owner
	if o == nil || o.stage != stageActive || o.resigned || s.now.Sub(o.activeAt) < keepOwning ||
		s.self.Strength >= clearlyWeaker*s.ledger.members[node].Strength {
		return
	}
	o.resign()
}

// claimIfSilent claims ownership if the stream shows no owner. Which claim takes
// effect is decided by the order of the stream, so that other appends cannot
// hold a claim up.
func (s *State) claimIfSilent() {
	if s.owner != nil || s.stopping || s.claim.appendID != 0 || !s.caughtUp() || s.config == nil ||
		s.stream.next < s.claim.readTo {
		return
	}
	if s.now.Sub(s.claim.quietSince) < s.claimWait() {
		return
	}
	key := claimPrefix + strconv.FormatUint(uint64(s.self.Incarnation), 36) + "-" + strconv.FormatUint(s.lastAppend, 36)
	record, err := encodeClaim(key, claimRecord{
		Node: s.self.Node, Incarnation: s.self.Incarnation, Replaces: s.ledger.ownerFence,
	})
	if err != nil {
		s.note(NoteRecordBad, "key", key, "error", err.Error())
		return
	}
	s.claim.appendID, s.claim.lastSign = s.nextAppend(), s.claim.quietSince
	s.claim.before = s.ledger.owner
	s.note(NoteClaimed, "offset", s.stream.next, "owner", s.ledger.owner.Node,
		"fence", s.ledger.ownerFence, "quiet_ms", s.now.Sub(s.claim.quietSince).Milliseconds())
	s.emit(Append{ID: s.claim.appendID, Records: []Record{record}, At: -1})
}

// caughtUp reports whether the last read is recent.
func (s *State) caughtUp() bool {
	return s.stream.loaded && s.stream.failedSince == 0 && s.stream.readAt != 0 &&
		s.now.Sub(s.stream.readAt) < staleAfter
}

// claimAppended takes the answer to a claim. Whether it took effect shows in the
// stream.
func (s *State) claimAppended(e Appended) {
	s.claim.appendID = 0
	if e.Outcome == OK {
		s.claim.readTo = e.Offset + 1
	}
	s.readSoon()
}

// ownerChanged follows a claim or an owner record that was folded.
func (s *State) ownerChanged(before Fence) {
	if s.ledger.ownerFence <= before {
		return
	}
	if before > 0 {
		s.claim.quietSince = s.now
	}
	if s.owner != nil && s.ledger.ownerFence > s.owner.fence {
		s.loseOwnership("another node claimed")
	}
	mine := s.ledger.owner.Incarnation == s.self.Incarnation && !s.ledger.owner.Resigned
	if mine && s.owner == nil && s.ledger.ownerFence > s.claim.lost {
		s.becomeOwner(s.ledger.ownerFence)
	}
}

func (s *State) becomeOwner(fence Fence) {
	if s.owner != nil && s.owner.fence >= fence || s.stopping {
		return
	}
	s.owner = newOwner(s, fence)
	s.owner.begin()
}

func (s *State) loseOwnership(why string) {
	if s.owner == nil {
		return
	}
	s.note(NoteOwnershipLost, "fence", s.owner.fence, "why", why)
	s.claim.lost = s.owner.fence
	s.owner = nil
	s.claim.quietSince = s.now
	s.emit(FollowWorkers{On: false})
	// What this node decided last may not be on the stream: load it anew.
	s.stream.loaded = false
}
