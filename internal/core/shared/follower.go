package shared

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Follower folds the fleet stream from whichever offset reading begins at. If
// reading begins after the first record, or if the log's retention deleted
// unread records, it waits for a snapshot and never folds across the gap. Until
// a snapshot is installed, State returns the state from before the gap.
type Follower struct {
	state *State
	// catchingUp is true while the fold waits for a snapshot.
	catchingUp bool
	// earliestOffset is the first offset that is read while catching up.
	earliestOffset vocab.Offset
	// buffered holds the records read while catching up.
	buffered []record.Sequenced
}

// NewFollower returns a follower with the empty state before the first record.
func NewFollower() *Follower {
	return &Follower{state: New()}
}

// State returns the folded state. Read and Install may replace it with another
// State, so callers must not keep the pointer across calls.
func (f *Follower) State() *State {
	return f.state
}

// CatchingUp reports whether the follower is catching up: it waits for a
// snapshot before it can fold further records.
func (f *Follower) CatchingUp() bool {
	return f.catchingUp
}

// ContinueFrom records that reading continues at the offset earliest because the log
// has deleted all records before it. If that leaves a gap after the folded
// offset, the follower starts to catch up.
func (f *Follower) ContinueFrom(earliest vocab.Offset) {
	if earliest <= f.state.Offset+1 {
		return
	}
	f.catchingUp = true
	f.earliestOffset = earliest
	f.buffered = nil
}

// Read folds the next record and returns what changed. While catching up it
// buffers records until one of them is a snapshot that leaves no gap before the
// buffered records, and installs that snapshot. It fails with ErrGap or
// ErrUnreadable, and as Install does.
func (f *Follower) Read(rec record.Sequenced) ([]Change, error) {
	if !f.catchingUp {
		change, err := f.state.Apply(rec)
		if err != nil {
			return nil, err
		}
		return []Change{change}, nil
	}
	f.buffered = append(f.buffered, rec)
	snap, ok, err := decodeSnapshot(rec)
	if err != nil || !ok || snap.Offset+1 < f.earliestOffset {
		return nil, err
	}
	return f.Install(snap)
}

// Install installs a snapshot, from the log or from a peer: it replaces the state
// and, if the snapshot leaves no gap, folds the buffered records that follow it.
// A snapshot that is not newer than the state changes nothing. It fails with
// ErrSnapshotVersion or ErrSnapshotDamaged, or with an error of Apply for a
// buffered record.
func (f *Follower) Install(snap Snapshot) ([]Change, error) {
	if snap.Offset <= f.state.Offset {
		return nil, nil
	}
	restored, err := Restore(snap)
	if err != nil {
		return nil, err
	}
	before := f.state
	f.state = restored
	changes := []Change{installChange(before, restored)}
	if snap.Offset+1 < f.earliestOffset {
		return changes, nil
	}
	buffered := f.buffered
	f.buffered = nil
	f.catchingUp = false
	for _, rec := range buffered {
		change, err := f.state.Apply(rec)
		if err != nil {
			return changes, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// installChange returns the Change for replacing the state before with the state
// after, which comes from a snapshot. It always reports the members as changed.
func installChange(before, after *State) Change {
	change := Change{
		Offset:         after.Offset,
		ConfigChanged:  before.Revision != after.Revision,
		MembersChanged: true,
		Snapshot:       true,
	}
	return change
}

// decodeSnapshot returns the snapshot in a SnapshotTaken record. For a record of
// another kind it returns false.
func decodeSnapshot(rec record.Sequenced) (Snapshot, bool, error) {
	body, err := record.Decode(rec.Envelope)
	if err != nil {
		return Snapshot{}, false, errors.Mark(err, ErrUnreadable)
	}
	taken, ok := body.(record.SnapshotTaken)
	if !ok {
		return Snapshot{}, false, nil
	}
	return Snapshot{Version: taken.Version, Offset: taken.Offset, Digest: taken.Digest, State: taken.State}, true, nil
}
