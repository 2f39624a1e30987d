package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
)

const (
	// snapshotInterval is the time between two snapshots of the fleet stream.
	// It must stay well below the log's retention.
	snapshotInterval = 10 * time.Minute
	// snapshotStagger is added once for each member of a lower rank. The member
	// with the lowest rank normally writes the snapshot, and the next one writes
	// it only if the first fails to.
	snapshotStagger = 30 * time.Second
)

// appendSnapshotIfDue appends a snapshot if no member has written one in time.
// Several snapshots of the same offset are harmless.
func (s *State) appendSnapshotIfDue() {
	rank, ok := s.rank()
	if !ok || s.logDown || s.follower.CatchingUp() || s.foldStopped {
		return
	}
	wait := snapshotInterval + time.Duration(rank)*snapshotStagger
	if s.now.Sub(s.lastSnapshot) < wait {
		return
	}
	s.lastSnapshot = s.now
	snap, err := s.Shared().Snapshot()
	if err != nil {
		s.logEvent(LogEventSnapshotRefused, "", err.Error())
		return
	}
	s.appendRecord(record.SnapshotTaken{Version: snap.Version, Offset: snap.Offset, Digest: snap.Digest, State: snap.State})
}

// rank returns this process's position among the members sorted by incarnation.
// It reports false if the process is not a member.
func (s *State) rank() (int, bool) {
	for position, m := range s.Shared().SortedMembers() {
		if m.Incarnation == s.self.Incarnation {
			return position, true
		}
	}
	return 0, false
}
