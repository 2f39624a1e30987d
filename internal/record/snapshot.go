package record

import (
	"encoding/json"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

func init() {
	register[SnapshotTaken]()
}

// SnapshotTaken holds the state from folding its stream up to and including
// Offset, which is lower than the record's own offset. A reader that begins after
// the first record of the stream restores its state from the snapshot.
type SnapshotTaken struct {
	Version int          `json:"version"`
	Offset  vocab.Offset `json:"offset"`
	// Digest is the checksum of State in hexadecimal.
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// RecordKind implements Body.
func (SnapshotTaken) RecordKind() Kind { return "snapshot.taken" }
