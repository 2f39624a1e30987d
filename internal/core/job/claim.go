package job

import (
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// claim is a node's view of the ownership of the workers and the state of its own
// claim.
type claim struct {
	// ownerTimeoutFrom is the instant from which the owner timeout counts: the last
	// heartbeat of an owner that was read, or a later instant from which heartbeats
	// could be read.
	ownerTimeoutFrom vocab.Instant
	// lostFence is the fence under which this process last lost the ownership.
	lostFence Fence
	// heartbeatBeforeClaim is the value of ownerTimeoutFrom when the claim was sent.
	heartbeatBeforeClaim vocab.Instant
	// lastHeartbeat is the time when the last heartbeat of an owner was read, also after
	// the claim was sent.
	lastHeartbeat vocab.Instant
	// offeredFence is the fence of an owner that offered the ownership to this node
	// because its own appends fail, offeredAt the time when it did.
	offeredFence Fence
	offeredAt    vocab.Instant
	// handedOverAt is the time when this node last handed the ownership over because of its
	// health.
	handedOverAt vocab.Instant
	// transferredAt is the time when this node last appointed another one as the owner.
	transferredAt vocab.Instant
	// previousOwner is the owner that the claim replaces.
	previousOwner ownerRecord
	// appendID is the ID of the append of the claim while it is in progress, else 0.
	appendID uint64
	// readTo is the offset up to which the stream must be read before the next claim,
	// to see whether the last one took effect.
	readTo int64
}

// claimDelay returns the time without a heartbeat of the owner after which this node
// claims the ownership. It is longer for nodes with a lower CPU share than the
// highest of all nodes, so that a node with the highest share claims first.
func (s *State) claimDelay() time.Duration {
	if s.offerValid() {
		return 0
	}
	latency := s.currentReadLatency()
	delay := ownerTimeout + ownerTimeoutReads*latency
	switch {
	case s.ledger.owner.unconfirmed && s.ledger.owner.Node != s.self.Node:
		delay = appointedTimeout + ownerTimeoutReads*latency
	case s.ledger.owner.Resigned && s.ledger.owner.Successor == s.self.Node:
		return 0
	case s.ledger.owner.Resigned && s.ledger.owner.Successor != "":
		delay = successorHeadStart + successorReads*latency
	case s.ledger.ownerFence == 0:
		delay = firstClaimDelay
	case s.ledger.owner.Resigned, s.ledger.owner.Node == s.self.Node:
		// The owner resigned, or was an earlier process of this node.
		delay = 0
	}
	if s.claim.handedOverAt != 0 && s.now.Sub(s.claim.handedOverAt) < handoverClaimTime {
		delay += handoverClaimDelay
	}
	if s.ledger.maxCPUShare > s.self.CPUShare {
		missingShare := 1 - s.self.CPUShare/s.ledger.maxCPUShare
		delay += time.Duration(missingShare * float64(lowShareClaimDelay+lowShareClaimReads*latency))
	}
	// The jitter lets the other nodes read the first claim before they send their own.
	return delay + s.jitter(claimJitter+claimJitterReads*latency)
}

// currentReadLatency is the latency of the reads, or the age of the read in progress if that is
// higher: when the store turns slow, the first slow read has no response yet.
func (s *State) currentReadLatency() time.Duration {
	if !s.stream.reading || s.stream.longPoll {
		return s.stream.readLatency
	}
	return max(s.stream.readLatency, s.now.Sub(s.stream.readSentAt))
}

// offerValid reports whether the current owner offered the ownership to this node and
// this node reads the stream without delay.
func (s *State) offerValid() bool {
	return s.claim.offeredFence != 0 && s.claim.offeredFence == s.ledger.ownerFence && s.now.Sub(s.claim.offeredAt) < offerValidity &&
		s.stream.readLatency < slowAppendLatency &&
		s.now.Sub(s.stream.lastReadAt) < freshReadAge
}

// handleOwnershipOffered accepts an owner's offer if this node's reads succeed. If the store
// is down for all nodes, the owner continues once the store is back. An accepted offer
// only removes the claim delay; it becomes void when a later owner has a higher fence.
func (s *State) handleOwnershipOffered(e OwnershipOffered) {
	if s.owner != nil || s.stopping || e.Fence != s.ledger.ownerFence || s.streamLost() ||
		s.now.Sub(s.stream.lastReadAt) >= freshReadAge {
		return
	}
	s.logEvent(LogOwnershipOffered, "fence", e.Fence, "owner", s.ledger.owner.Node, "read_age_ms", s.now.Sub(s.stream.lastReadAt).Milliseconds())
	s.claim.offeredFence, s.claim.offeredAt = e.Fence, s.now
	s.readNow()
}

// offerIfAppendsFail offers the ownership to the other nodes with a high CPU share,
// one after the other, while the owner's append doesn't succeed. A node that can reach
// a store which rejects the owner then claims without waiting for the owner timeout.
// No offer is made while the store is slow, since it is slow for all nodes.
func (o *owner) offerIfAppendsFail() {
	if o.pendingAppend == nil || o.resigned || o.appendLatency > slowAppendLatency || o.s.now.Sub(o.pendingAppend.firstSentAt) < ownershipOfferDelay ||
		o.s.now.Sub(o.offeredAt) < ownershipOfferInterval {
		return
	}
	var addresses []string
	for _, node := range o.s.otherNodes() {
		m := o.s.ledger.members[node]
		if m.Address != "" && m.CPUShare >= lowShareRatio*o.s.ledger.maxCPUShare {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) == 0 {
		return
	}
	o.offeredAt = o.s.now
	o.offers++
	o.s.emit(OfferOwnership{Address: addresses[(o.offers+int(o.fence))%len(addresses)], Fence: o.fence})
}

// announce writes this node's member record: once after the start, and repeatedly to
// request the ownership while a node with a much lower CPU share is the owner.
func (s *State) announce() {
	if !s.stream.loaded || s.announced && !s.ownershipRequestDue() {
		return
	}
	s.announced, s.announcedAt = true, s.now
	record, err := encodeMember(s.self.Node, s.memberRecord())
	if err != nil {
		s.logEvent(LogRecordUnreadable, "key", memberPrefix, "error", err.Error())
		return
	}
	s.addToBatch(record, waitingCall{})
}

// memberRecord describes this node.
func (s *State) memberRecord() memberRecord {
	return memberRecord{CPUShare: s.self.CPUShare, Address: s.self.PeerAddress, Incarnation: s.self.Incarnation}
}

// ownershipRequestDue reports whether to request the ownership from an owner with a
// much lower CPU share.
func (s *State) ownershipRequestDue() bool {
	owner, known := s.ledger.members[s.ledger.owner.Node]
	return known && s.owner == nil && !s.stopping && s.caughtUp() && s.stream.readLatency < slowAppendLatency &&
		owner.CPUShare < lowShareRatio*s.self.CPUShare && s.now.Sub(s.announcedAt) > ownershipRequestInterval
}

// resignIfRequestedBy resigns if a node with a much higher CPU share requests the
// ownership. An owner keeps the ownership for a minimum time, to limit the number of
// transfers.
func (s *State) resignIfRequestedBy(node vocab.NodeID) {
	o := s.owner
	if o == nil || o.stage != stageActive || o.resigned || s.now.Sub(o.activeAt) < minOwnership ||
		s.self.CPUShare >= lowShareRatio*s.ledger.members[node].CPUShare {
		return
	}
	o.resign()
}

// claimIfOwnerTimedOut claims the ownership if the owner timed out or there is no
// owner. The order of the claims in the stream decides which one takes effect, so the
// append needs no condition on the end of the stream that other appends could break.
func (s *State) claimIfOwnerTimedOut() {
	if s.owner != nil || s.stopping || s.claim.appendID != 0 || !s.caughtUp() || s.config == nil || !s.evacuationsKnown() ||
		s.stream.nextOffset < s.claim.readTo {
		return
	}
	if s.now.Sub(s.claim.ownerTimeoutFrom) < s.claimDelay() {
		return
	}
	key := claimPrefix + strconv.FormatUint(uint64(s.self.Incarnation), 36) + "-" + strconv.FormatUint(s.lastAppendID, 36)
	record, err := encodeClaim(key, claimRecord{
		Node: s.self.Node, Incarnation: s.self.Incarnation, Replaces: s.ledger.ownerFence,
	})
	if err != nil {
		s.logEvent(LogRecordUnreadable, "key", key, "error", err.Error())
		return
	}
	s.claim.appendID, s.claim.heartbeatBeforeClaim = s.newAppendID(), s.claim.ownerTimeoutFrom
	s.claim.previousOwner = s.ledger.owner
	s.logEvent(LogOwnershipClaimed, "offset", s.stream.nextOffset, "owner", s.ledger.owner.Node,
		"fence", s.ledger.ownerFence, "quiet_ms", s.now.Sub(s.claim.ownerTimeoutFrom).Milliseconds())
	s.emit(Append{ID: s.claim.appendID, Records: []Record{record}, At: -1})
}

// caughtUp reports whether the last successful read is recent.
func (s *State) caughtUp() bool {
	return s.stream.loaded && s.stream.failedSince == 0 && s.stream.lastReadAt != 0 &&
		s.now.Sub(s.stream.lastReadAt) < maxReadAge
}

// claimAppended processes the result of the append of a claim. Whether the claim took
// effect is known once it is read from the stream.
func (s *State) claimAppended(e Appended) {
	s.claim.appendID = 0
	if e.Outcome == OK {
		s.claim.readTo = e.Offset + 1
	}
	s.readNow()
}

// ownerChanged handles a change of the owner's fence from the given one: it ends this
// node's ownership, or starts a takeover if this node's claim took effect.
func (s *State) ownerChanged(before Fence) {
	if s.ledger.ownerFence <= before {
		return
	}
	if before > 0 {
		s.claim.ownerTimeoutFrom = s.now
		s.forwardToNewOwner()
	}
	if s.owner != nil && s.ledger.ownerFence > s.owner.fence {
		s.loseOwnership("another node claimed")
	}
	owns := s.ledger.owner.Incarnation == s.self.Incarnation && !s.ledger.owner.Resigned
	if owns && s.owner == nil && s.ledger.ownerFence > s.claim.lostFence {
		s.startTakeover(s.ledger.ownerFence, before > 0)
	}
}

// startTakeover makes this node the owner. following is set if the record that makes it the
// owner was read while the node followed the stream.
func (s *State) startTakeover(fence Fence, following bool) {
	if s.owner != nil && s.owner.fence >= fence || s.stopping {
		return
	}
	from := s.ledger.owner.appointedBy
	if from != "" {
		s.claim.heartbeatBeforeClaim = s.now
		s.claim.previousOwner = ownerRecord{Node: from, Resigned: true}
	}
	s.owner = newOwner(s, fence)
	if from != "" && following {
		s.owner.takeOver()
		return
	}
	s.owner.beginTakeover()
}

func (s *State) loseOwnership(reason string) {
	if s.owner == nil {
		return
	}
	s.logEvent(LogOwnershipLost, "fence", s.owner.fence, "why", reason)
	s.claim.lostFence = s.owner.fence
	s.emit(WithdrawOrders{Fence: s.owner.fence})
	s.owner.abandonBatch()
	// An owner does not measure its reads, since they wait for records.
	s.stream.readLatency = max(s.stream.readLatency, s.owner.appendLatency)
	s.owner = nil
	s.claim.ownerTimeoutFrom = s.now
	s.emit(FollowWorkers{On: false})
	// The ledger may have changes that never reached the stream: reload it.
	s.stream.loaded = false
}
