package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// An owner whose VM is slow, or that is cut off from the workers but not from the store, keeps
// renewing its ownership while nothing starts any more. It recognizes that by its calls to
// the workers: if most of them are slow or fail, the cause is the owner's own VM or network,
// and another node does better.

const (
	// healthWindow is the time over which the owner's calls are judged, maxBadWindows the
	// number of bad windows in a row after which it hands the ownership over.
	healthWindow  = time.Second
	maxBadWindows = 2
	maxBadGap     = 3 * time.Second
	// minHealthSamples is the number of calls without which a window is not judged.
	minHealthSamples = 10
	// slowStartLatency is the latency from which on a start counts as slow. Workers respond
	// within milliseconds.
	slowStartLatency = startRepeatDelay
	// maxSlowFraction and maxFailedFraction bound the slow starts and the failed polls of a
	// good window. A zone of workers that is away, or half of all orders without a response,
	// are within them.
	maxSlowFraction   = 0.5
	maxFailedFraction = 0.6
	// minHandoverInterval is the time between two handovers of this kind in the fleet: where
	// the load is too high for every node, a handover is of no use.
	minHandoverInterval = 15 * time.Second
	// handoverClaimDelay is added to the claim delay of a node that handed the ownership over,
	// for handoverClaimTime.
	handoverClaimDelay = 3 * time.Second
	handoverClaimTime  = 10 * time.Second
)

// ownerHealth counts the owner's calls to workers in the current window.
type ownerHealth struct {
	windowAt                             vocab.Instant
	starts, slowStarts, polls, failPolls int
	// badWindows counts the bad windows since the last good one. Windows with too few calls
	// count as neither, up to maxBadGap after the last bad one.
	badWindows int
	lastBadAt  vocab.Instant
	// reachCheckedAt is the time when other nodes were last asked for their reach.
	reachCheckedAt vocab.Instant
}

// noteStart counts a start that a worker confirmed.
func (h *ownerHealth) noteStart(latency time.Duration) {
	h.starts++
	if latency > slowStartLatency {
		h.slowStarts++
	}
}

// notePoll counts a poll of a worker with tasks.
func (h *ownerHealth) notePoll(failed bool) {
	h.polls++
	if failed {
		h.failPolls++
	}
}

// judge reports whether the window has enough calls, and whether most of them were slow or
// failed.
func (h *ownerHealth) judge() (judged, bad bool) {
	slow := h.starts >= minHealthSamples && float64(h.slowStarts) > maxSlowFraction*float64(h.starts)
	failed := h.polls >= minHealthSamples && float64(h.failPolls) > maxFailedFraction*float64(h.polls)
	return h.starts >= minHealthSamples || h.polls >= minHealthSamples, slow || failed
}

// checkHealth hands the ownership over after some bad windows, if there is a node that can
// take it.
func (o *owner) checkHealth() {
	h := &o.health
	if o.s.now.Sub(h.windowAt) < healthWindow {
		return
	}
	ended := *h
	*h = ownerHealth{windowAt: o.s.now, reachCheckedAt: ended.reachCheckedAt}
	o.checkReach()
	judged, bad := ended.judge()
	if !judged && o.s.now.Sub(ended.lastBadAt) < maxBadGap {
		h.badWindows, h.lastBadAt = ended.badWindows, ended.lastBadAt
	}
	if !bad {
		return
	}
	h.badWindows, h.lastBadAt = ended.badWindows+1, o.s.now
	if h.badWindows < maxBadWindows || !o.mayHandOver() {
		return
	}
	o.overloaded, o.s.claim.handedOverAt = true, o.s.now
	o.s.logEvent(LogOwnershipResigned, "fence", o.fence, "why", "most calls to workers are slow or fail",
		"starts", ended.starts, "slow", ended.slowStarts, "polls", ended.polls, "failed", ended.failPolls)
	o.beginHandover(false)
}

// mayHandOver reports whether the owner may hand the ownership over for a reason of its own.
func (o *owner) mayHandOver() bool {
	recent := o.s.ledger.handedOverAt != 0 && o.s.now.Sub(o.s.ledger.handedOverAt) < minHandoverInterval
	return !o.resigned && o.handover == nil && o.s.now.Sub(o.activeAt) >= minOwnership && !recent && o.s.hasPeerOfLikeShare()
}

// hasPeerOfLikeShare reports whether another node has a CPU share that is not much lower.
func (s *State) hasPeerOfLikeShare() bool {
	for node, m := range s.ledger.members {
		if node != s.self.Node && m.CPUShare >= lowShareRatio*s.self.CPUShare {
			return true
		}
	}
	return false
}
