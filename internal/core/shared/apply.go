package shared

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrGap is returned for a record that does not follow the last one folded.
var ErrGap = errors.New("record does not follow the last folded offset")

// ErrUnreadable is returned for a record that cannot be decoded. The fold
// stops there: skipping the record could make nodes differ.
var ErrUnreadable = errors.New("record cannot be folded")

// Change tells what a record changed. The zero Change means nothing.
type Change struct {
	Offset vocab.Offset
	// Config is set if another configuration came into force.
	Config bool
	// Refused is set if the record proposed a configuration on a base that was
	// no longer in force.
	Refused bool
	// Withdrawn names the key that the record withdrew.
	Withdrawn vocab.KeyID
	// Members is set if a member joined or was removed.
	Members bool
	// Snapshot is set if the record was a snapshot, or the state was replaced
	// by one. Keys may then have ended without being named.
	Snapshot bool
}

// Apply folds the next record. A record at or below the folded offset changes
// nothing, so replays are harmless. It fails with ErrGap or ErrUnreadable and
// then leaves the state as it was.
func (s *State) Apply(rec record.Sequenced) (Change, error) {
	if rec.Offset <= s.Offset {
		return Change{}, nil
	}
	if rec.Offset != s.Offset+1 {
		return Change{}, errors.Wrapf(ErrGap, "offset %d after %d", rec.Offset, s.Offset)
	}
	body, err := record.Decode(rec.Envelope)
	if err != nil {
		return Change{}, errors.Mark(errors.Wrapf(err, "offset %d", rec.Offset), ErrUnreadable)
	}
	s.Offset = rec.Offset
	change := Change{Offset: rec.Offset}
	if s.remember(rec.Envelope.ID) {
		s.fold(body, &change)
	}
	return change, nil
}

// remember reports whether the record ID is new.
func (s *State) remember(id vocab.RecordID) bool {
	if _, doubled := s.seen[id]; doubled {
		return false
	}
	s.seen[id] = struct{}{}
	s.Recent = append(s.Recent, id)
	if len(s.Recent) > recentRecords {
		delete(s.seen, s.Recent[0])
		s.Recent = s.Recent[1:]
	}
	return true
}

func (s *State) fold(body record.Body, change *Change) {
	switch b := body.(type) {
	case record.ConfigPublished:
		s.foldConfig(b, change)
	case record.KeyGiven:
		s.foldKeyGiven(b)
	case record.KeyWithdrawn:
		s.foldKeyWithdrawn(b, change)
	case record.NodeJoined:
		s.foldJoined(b, change)
	case record.NodeRemoved:
		s.foldRemoved(b, change)
	case record.SnapshotTaken:
		change.Snapshot = true
	}
}

func (s *State) foldConfig(b record.ConfigPublished, change *Change) {
	if b.Base != s.Revision {
		change.Refused = true
		return
	}
	fleet := b.Fleet
	s.Fleet = &fleet
	s.Revision = vocab.Revision(s.Offset)
	s.LimitsOffset = s.Offset
	change.Config = true
}

func (s *State) foldKeyGiven(b record.KeyGiven) {
	k, known := s.Keys[b.Key]
	if known && k.Given != 0 {
		return
	}
	k.ID = b.Key
	k.Team = b.Team
	k.Given = s.Offset
	if !k.Withdrawn {
		k.SecretHash = b.SecretHash
	}
	s.Keys[b.Key] = k
}

func (s *State) foldKeyWithdrawn(b record.KeyWithdrawn, change *Change) {
	k := s.Keys[b.Key]
	if k.Withdrawn {
		return
	}
	k.ID = b.Key
	k.Withdrawn = true
	k.SecretHash = nil
	k.Ended = s.Offset
	s.Keys[b.Key] = k
	change.Withdrawn = b.Key
}

func (s *State) foldJoined(b record.NodeJoined, change *Change) {
	_, member := s.Members[b.Incarnation]
	_, removed := s.Removed[b.Incarnation]
	if member || removed {
		return
	}
	s.Members[b.Incarnation] = Member{
		Node:        b.Node,
		Incarnation: b.Incarnation,
		Zone:        b.Zone,
		Region:      b.Region,
		PeerAddress: b.PeerAddress,
		Joined:      s.Offset,
	}
	s.LimitsOffset = s.Offset
	change.Members = true
}

func (s *State) foldRemoved(b record.NodeRemoved, change *Change) {
	m, ok := s.Members[b.Incarnation]
	if !ok {
		return
	}
	delete(s.Members, b.Incarnation)
	s.Removed[b.Incarnation] = Removal{
		Member:  m,
		Offset:  s.Offset,
		Settled: b.Reason == record.RemovalLeft,
	}
	s.dropOldRemovals()
	s.LimitsOffset = s.Offset
	change.Members = true
}

// dropOldRemovals forgets the earliest removals beyond keptRemovals.
func (s *State) dropOldRemovals() {
	for len(s.Removed) > keptRemovals {
		var oldest vocab.Incarnation
		for inc, r := range s.Removed {
			if oldest == 0 || r.Offset < s.Removed[oldest].Offset {
				oldest = inc
			}
		}
		delete(s.Removed, oldest)
	}
}
