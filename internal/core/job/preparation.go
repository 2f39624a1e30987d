package job

import (
	"maps"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// preparation is the state of a node that is ready to be appointed.
type preparation struct {
	until vocab.Instant
	// workers holds the list of workers, listed is set once it is complete.
	workers map[WorkerID]WorkerInfo
	listed  bool
}

// handleHandoverRequested prepares this node for the ownership: it follows the stream without
// pauses and the list of workers.
func (s *State) handleHandoverRequested(e HandoverRequested) {
	ready := s.owner == nil && !s.stopping && !s.directory.remote && e.Fence == s.ledger.ownerFence &&
		s.caughtUp() && s.config != nil && s.evacuationsKnown()
	if !ready {
		s.reply(Reply{Call: e.Call, Answer: Refused})
		return
	}
	if s.preparation == nil {
		s.preparation = &preparation{workers: map[WorkerID]WorkerInfo{}}
		s.emit(FollowWorkers{On: true})
	}
	s.preparation.until = s.now.Add(preparedFor)
	s.reply(Reply{Call: e.Call, Answer: Accepted})
	s.readNow()
}

// endPreparation ends a preparation that was of no use.
func (s *State) endPreparation() {
	if s.preparation == nil || s.now < s.preparation.until {
		return
	}
	s.preparation = nil
	if s.owner == nil {
		s.emit(FollowWorkers{On: false})
	}
}

// handleWorkersListed keeps the list of workers for a takeover.
func (p *preparation) handleWorkersListed(e WorkersListed) {
	if e.Full {
		clear(p.workers)
		p.listed = true
	}
	for _, info := range e.Workers {
		p.workers[info.ID] = info
	}
	for _, id := range e.Removed {
		delete(p.workers, id)
	}
}

// list returns the workers in the order of their IDs.
func (p *preparation) list() []WorkerInfo {
	list := make([]WorkerInfo, 0, len(p.workers))
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		list = append(list, p.workers[id])
	}
	return list
}
