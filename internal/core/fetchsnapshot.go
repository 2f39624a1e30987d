package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// snapshotFetchInterval is the time between two requests to peers for a
// snapshot.
const snapshotFetchInterval = 2 * time.Second

// fetchSnapshotFromPeers requests a snapshot from peers while the shared state
// cannot be brought up to date from the log: when the log is unavailable, or
// when it no longer has the next records. A node without a configuration asks
// its configured first peers if gossip names none.
func (s *State) fetchSnapshotFromPeers() {
	if !s.logDown && !s.follower.CatchingUp() {
		return
	}
	if s.lastSnapshotFetch != 0 && s.now.Sub(s.lastSnapshotFetch) < snapshotFetchInterval {
		return
	}
	s.lastSnapshotFetch = s.now
	if address := s.mostAdvancedPeer(); address != "" {
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

// mostAdvancedPeer returns the address of the process with the highest folded
// offset, or "" if none is ahead of this process.
func (s *State) mostAdvancedPeer() string {
	var bestPeer vocab.Incarnation
	highest := s.Shared().Offset
	for _, id := range s.peers.gossip.Processes() {
		if r, _, _ := s.peers.gossip.Report(id); r.Folded > highest {
			bestPeer, highest = id, r.Folded
		}
	}
	if bestPeer == 0 {
		return ""
	}
	return s.addressOf(bestPeer)
}
