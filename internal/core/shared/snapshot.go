package shared

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// SnapshotVersion is the version of the snapshot format that this program reads
// and writes.
const SnapshotVersion = 1

// ErrSnapshotVersion is returned for a snapshot whose format version is not
// SnapshotVersion.
var ErrSnapshotVersion = errors.New("unsupported snapshot version")

// ErrSnapshotDamaged is returned for a snapshot whose checksum does not match,
// or whose state is incomplete, of another offset or not decodable.
var ErrSnapshotDamaged = errors.New("snapshot is damaged")

// Snapshot is the encoded state at an offset.
type Snapshot struct {
	Version int          `json:"version"`
	Offset  vocab.Offset `json:"offset"`
	// Digest is the digest of the state in hexadecimal. Restore checks State
	// against it.
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// Snapshot encodes the state with its digest.
func (s *State) Snapshot() (Snapshot, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "encoding the shared state")
	}
	return Snapshot{Version: SnapshotVersion, Offset: s.Offset, Digest: digestOf(raw), State: raw}, nil
}

// Digest returns the digest of the state in hexadecimal. Equal states have
// equal digests, so nodes compare digests to detect diverged states.
func (s *State) Digest() string {
	snap, err := s.Snapshot()
	if err != nil {
		return "unencodable"
	}
	return snap.Digest
}

// Restore returns the state that a snapshot encodes. It fails with
// ErrSnapshotVersion or ErrSnapshotDamaged.
func Restore(snap Snapshot) (*State, error) {
	if snap.Version != SnapshotVersion {
		return nil, errors.Wrapf(ErrSnapshotVersion,
			"version %d, this program supports version %d", snap.Version, SnapshotVersion)
	}
	if digestOf(snap.State) != snap.Digest {
		return nil, errors.Wrapf(ErrSnapshotDamaged, "offset %d: checksum does not match", snap.Offset)
	}
	s := New()
	if err := json.Unmarshal(snap.State, s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding the shared state"), ErrSnapshotDamaged)
	}
	if !s.isComplete() || s.Offset != snap.Offset {
		return nil, errors.Wrapf(ErrSnapshotDamaged, "offset %d: the state is incomplete or of another offset", snap.Offset)
	}
	for _, id := range s.RecentIDs {
		s.recentSet[id] = struct{}{}
	}
	return s, nil
}

// isComplete reports whether a decoded state has all maps and the ledger that
// folding writes to.
func (s *State) isComplete() bool {
	return s.Keys != nil && s.Members != nil && s.Removed != nil && s.Maintenance != nil && s.Maintenance.VMs != nil
}

// digestOf returns the xxhash of an encoded state in hexadecimal.
func digestOf(raw []byte) string {
	return strconv.FormatUint(xxhash.Sum64(raw), 16)
}
