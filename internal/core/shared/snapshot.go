package shared

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// SnapshotVersion is the version of snapshots that this program writes.
const SnapshotVersion = 1

// ErrSnapshotVersion is returned for a snapshot of a version that this program
// does not know. It is refused rather than guessed at.
var ErrSnapshotVersion = errors.New("snapshot version unknown")

// ErrSnapshotDamaged is returned for a snapshot whose checksum does not match.
var ErrSnapshotDamaged = errors.New("snapshot checksum does not match")

// Snapshot is the encoded state at an offset.
type Snapshot struct {
	Version int          `json:"version"`
	Offset  vocab.Offset `json:"offset"`
	// Digest is the state's digest in hexadecimal; it doubles as a checksum.
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() (Snapshot, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "encoding the shared state")
	}
	return Snapshot{Version: SnapshotVersion, Offset: s.Offset, Digest: digestOf(raw), State: raw}, nil
}

// Digest returns the digest of the state in hexadecimal. Equal states have
// equal digests.
func (s *State) Digest() string {
	snap, err := s.Snapshot()
	if err != nil {
		return "unencodable"
	}
	return snap.Digest
}

// Restore decodes a snapshot. It fails with ErrSnapshotVersion or
// ErrSnapshotDamaged.
func Restore(snap Snapshot) (*State, error) {
	if snap.Version != SnapshotVersion {
		return nil, errors.Wrapf(ErrSnapshotVersion, "version %d, this program knows %d", snap.Version, SnapshotVersion)
	}
	if digestOf(snap.State) != snap.Digest {
		return nil, errors.Wrapf(ErrSnapshotDamaged, "offset %d", snap.Offset)
	}
	s := New()
	if err := json.Unmarshal(snap.State, s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding the shared state"), ErrSnapshotDamaged)
	}
	if !s.whole() || s.Offset != snap.Offset {
		return nil, errors.Wrapf(ErrSnapshotDamaged, "offset %d: parts are missing", snap.Offset)
	}
	for _, id := range s.Recent {
		s.seen[id] = struct{}{}
	}
	return s, nil
}

// whole reports whether a decoded state can be folded further.
func (s *State) whole() bool {
	return s.Keys != nil && s.Members != nil && s.Removed != nil && s.Maintenance != nil && s.Maintenance.VMs != nil
}

func digestOf(raw []byte) string {
	return strconv.FormatUint(xxhash.Sum64(raw), 16)
}
