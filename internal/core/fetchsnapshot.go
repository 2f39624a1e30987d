package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// seekInterval is the time between two rounds of asking peers for a snapshot.
const seekInterval = 2 * time.Second

// seekSnapshot asks peers for a later shared state while the log does not give
// one: at a start during an outage, or after records were lost to retention.
func (s *State) seekSnapshot() {
	if !s.logDown && !s.fleet.Searching() {
		return
	}
	if s.soughtAt != 0 && s.now.Sub(s.soughtAt) < seekInterval {
		return
	}
	s.soughtAt = s.now
	if address := s.furthestPeer(); address != "" {
		s.emit(FetchSnapshot{Address: address, Folded: s.Shared().Offset})
		return
	}
	if s.Shared().Fleet != nil {
		return
	}
	for _, address := range s.self.FirstPeers {
		s.emit(FetchSnapshot{Address: address, Folded: s.Shared().Offset})
		s.emit(SendGossip{Address: address, Message: s.peers.gossip.Compose(s.now)})
	}
}

// furthestPeer returns the address of the process that folded the most, if
// that is more than this one did.
func (s *State) furthestPeer() string {
	var best vocab.Incarnation
	most := s.Shared().Offset
	for _, id := range s.peers.gossip.Processes() {
		if r, _, _ := s.peers.gossip.Report(id); r.Folded > most {
			best, most = id, r.Folded
		}
	}
	if best == 0 {
		return ""
	}
	return s.addressOf(best)
}
