package shared

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrGap is returned for a record whose offset is not the one after the last
// folded offset.
var ErrGap = errors.New("record does not follow the last folded offset")

// ErrUnreadable is returned for a record that cannot be decoded. Folding stops
// there: if some nodes skipped the record, the states of nodes could diverge.
var ErrUnreadable = errors.New("record cannot be folded")

// Change describes what a record or an installed snapshot changed in the state.
// The zero Change means that nothing changed.
type Change struct {
	Offset vocab.Offset
	// ConfigChanged is true if another configuration came into force.
	ConfigChanged bool
	// ConfigRefused is true if the record published a configuration based on a
	// revision that was no longer in force.
	ConfigRefused bool
	// WithdrawnKey is the ID of the key that the record withdrew; empty for none.
	WithdrawnKey vocab.KeyID
	// MembersChanged is true if a member joined or was removed.
	MembersChanged bool
	// Snapshot is true if the record was a snapshot, or if a snapshot replaced
	// the state. Keys may then have been withdrawn without a Change of their own.
	Snapshot bool
	// Maintenance describes the change to the maintenance ledger; nil if the
	// record was not a maintenance record.
	Maintenance *maintenance.LedgerChanged
}

// Apply folds the next record into the state. It ignores a record at or below
// the last folded offset, so that a record may be applied more than once. On
// ErrGap or ErrUnreadable the state is unchanged.
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
	if s.addRecordID(rec.Envelope.ID) {
		s.fold(body, &change)
	}
	return change, nil
}

// addRecordID adds a record ID to the latest maxRecentIDs IDs. It returns false
// if the ID is already among them.
func (s *State) addRecordID(id vocab.RecordID) bool {
	if _, duplicate := s.recentSet[id]; duplicate {
		return false
	}
	s.recentSet[id] = struct{}{}
	s.RecentIDs = append(s.RecentIDs, id)
	if len(s.RecentIDs) > maxRecentIDs {
		delete(s.recentSet, s.RecentIDs[0])
		s.RecentIDs = s.RecentIDs[1:]
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
	default:
		ledger := s.Maintenance.Fold(s.Offset, body)
		change.Maintenance = &ledger
	}
}

// foldConfig accepts a configuration only if it is based on the revision in
// force, so that of two concurrent publishes the second is refused.
func (s *State) foldConfig(b record.ConfigPublished, change *Change) {
	if b.Base != s.Revision {
		change.ConfigRefused = true
		return
	}
	fleet := b.Fleet
	s.Fleet = &fleet
	s.Revision = vocab.Revision(s.Offset)
	s.LimitsOffset = s.Offset
	change.ConfigChanged = true
}

// foldKeyGiven adds a key. A key that was withdrawn earlier in the stream stays
// withdrawn, and its secret hash is not stored.
func (s *State) foldKeyGiven(b record.KeyGiven) {
	k, known := s.Keys[b.Key]
	if known && k.GivenOffset != 0 {
		return
	}
	k.ID = b.Key
	k.Team = b.Team
	k.GivenOffset = s.Offset
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
	k.WithdrawnOffset = s.Offset
	s.Keys[b.Key] = k
	change.WithdrawnKey = b.Key
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
	change.MembersChanged = true
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
	s.trimRemovals()
	s.LimitsOffset = s.Offset
	change.MembersChanged = true
}

// trimRemovals deletes the removals with the lowest offsets until at most
// maxRemovals are left.
func (s *State) trimRemovals() {
	for len(s.Removed) > maxRemovals {
		var oldest vocab.Incarnation
		for inc, r := range s.Removed {
			if oldest == 0 || r.Offset < s.Removed[oldest].Offset {
				oldest = inc
			}
		}
		delete(s.Removed, oldest)
	}
}
