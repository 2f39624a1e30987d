package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
)

const (
	// snapshotInterval is the time between two snapshots of the fleet stream.
	// It must stay well below the log's retention.
	snapshotInterval = 10 * time.Minute
	// snapshotStagger is added for each member that comes before this one, so
	// that one member writes and the next steps in if it does not.
	snapshotStagger = 30 * time.Second
)

// takeSnapshotIfDue asks for a snapshot if no member wrote one in time. Two
// snapshots of one offset are harmless.
func (s *State) takeSnapshotIfDue() {
	rank, ok := s.rank()
	if !ok || s.logDown || s.fleet.Searching() || s.foldStopped {
		return
	}
	wait := snapshotInterval + time.Duration(rank)*snapshotStagger
	if s.now.Sub(s.snapshotAt) < wait {
		return
	}
	s.snapshotAt = s.now
	snap, err := s.Shared().Snapshot()
	if err != nil {
		s.notice(NoticeSnapshotRefused, "", err.Error())
		return
	}
	s.append(record.SnapshotTaken{Version: snap.Version, Offset: snap.Offset, Digest: snap.Digest, State: snap.State})
}

// rank returns this member's place among the members in order of incarnation.
func (s *State) rank() (int, bool) {
	for at, m := range s.Shared().SortedMembers() {
		if m.Incarnation == s.self.Incarnation {
			return at, true
		}
	}
	return 0, false
}
