package shared

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Follower folds the stream from wherever reading begins. A reader that begins
// after the first record, or that lost records to the log's retention, waits
// for a snapshot and never folds across a gap. Until then the state that it
// had stays in force.
type Follower struct {
	state *State
	// searching is set while the fold waits for a snapshot.
	searching bool
	// earliest is the first offset that is read while searching.
	earliest vocab.Offset
	// held are the records read while searching.
	held []record.Sequenced
}

// NewFollower returns a follower that has read nothing.
func NewFollower() *Follower {
	return &Follower{state: New()}
}

// State returns the folded state. It may be replaced as a whole by a call of
// Read or Adopt.
func (f *Follower) State() *State {
	return f.state
}

// Searching reports whether the fold waits for a snapshot.
func (f *Follower) Searching() bool {
	return f.searching
}

// Begin tells that reading goes on at an offset because all before it is gone
// from the log.
func (f *Follower) Begin(earliest vocab.Offset) {
	if earliest <= f.state.Offset+1 {
		return
	}
	f.searching = true
	f.earliest = earliest
	f.held = nil
}

// Read folds the next record and returns what changed. While searching it
// holds records until one of them is a snapshot that leaves no gap. It fails
// with ErrGap or ErrUnreadable.
func (f *Follower) Read(rec record.Sequenced) ([]Change, error) {
	if !f.searching {
		change, err := f.state.Apply(rec)
		if err != nil {
			return nil, err
		}
		return []Change{change}, nil
	}
	f.held = append(f.held, rec)
	snap, ok, err := snapshotIn(rec)
	if err != nil || !ok || snap.Offset+1 < f.earliest {
		return nil, err
	}
	return f.Adopt(snap)
}

// Adopt replaces the state by a snapshot of a later offset, from the log or
// from a peer, and folds the held records that follow it. An earlier snapshot
// changes nothing. It fails with ErrSnapshotVersion or ErrSnapshotDamaged.
func (f *Follower) Adopt(snap Snapshot) ([]Change, error) {
	if snap.Offset <= f.state.Offset {
		return nil, nil
	}
	restored, err := Restore(snap)
	if err != nil {
		return nil, err
	}
	before := f.state
	f.state = restored
	changes := []Change{replaced(before, restored)}
	if snap.Offset+1 < f.earliest {
		return changes, nil
	}
	held := f.held
	f.held = nil
	f.searching = false
	for _, rec := range held {
		change, err := f.state.Apply(rec)
		if err != nil {
			return changes, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// replaced describes the difference between two states as one change.
func replaced(before, after *State) Change {
	change := Change{
		Offset:   after.Offset,
		Config:   before.Revision != after.Revision,
		Members:  true,
		Snapshot: true,
	}
	return change
}

// snapshotIn returns the snapshot that a record holds, if it holds one.
func snapshotIn(rec record.Sequenced) (Snapshot, bool, error) {
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
