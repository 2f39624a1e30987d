package task

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// snapshotVersion is the version of the snapshot format that this program
	// writes and reads.
	snapshotVersion = 1
	// snapshotChunkTasks is the number of tasks in one chunk.
	snapshotChunkTasks = 1000
)

// ErrRetentionGap means that the log has dropped records that no complete
// snapshot covers. Tasks would be missing, so no ledger is built.
var ErrRetentionGap = errors.New("the log dropped task records that no snapshot covers")

// ErrSnapshotVersion means that a snapshot has another version than this program
// reads, for example because a newer program wrote it.
var ErrSnapshotVersion = errors.New("task snapshot has an unknown version")

// ErrSnapshotDamaged means that a snapshot's checksum does not match, or that its
// content can't be decoded.
var ErrSnapshotDamaged = errors.New("task snapshot is damaged")

// snapshotChunk is the content of one part of a snapshot. It is encoded with
// encoding/gob, and so are Task and Owner: their exported field names and the name
// of the type embedded in Task are part of the stored format.
type snapshotChunk struct {
	Owner Owner   `json:"owner"`
	Tasks []*Task `json:"tasks"`
}

// sortedTasks returns all tasks in the order of their acceptance.
func (l *Ledger) sortedTasks() []*Task {
	all := make([]*Task, 0, len(l.tasks))
	for _, t := range l.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *Task) int { return cmp.Compare(a.Accepted, b.Accepted) })
	return all
}

// Snapshot returns the parts of a snapshot of the ledger, to be appended to the
// stream.
func (l *Ledger) Snapshot() ([]record.TaskSnapshotChunk, error) {
	all := l.sortedTasks()
	parts := max(1, (len(all)+snapshotChunkTasks-1)/snapshotChunkTasks)
	chunks := make([]record.TaskSnapshotChunk, 0, parts)
	for part := range parts {
		from := part * snapshotChunkTasks
		to := min(len(all), from+snapshotChunkTasks)
		var buf bytes.Buffer
		if err := gob.NewEncoder(&buf).Encode(snapshotChunk{Owner: l.owner, Tasks: all[from:to]}); err != nil {
			return nil, errors.Wrap(err, "encoding task snapshot")
		}
		data := buf.Bytes()
		chunks = append(chunks, record.TaskSnapshotChunk{
			Version: snapshotVersion,
			Offset:  l.offset,
			Part:    part + 1,
			Parts:   parts,
			Sum:     xxhash.Sum64(data),
			Data:    data,
		})
	}
	return chunks, nil
}

// Digest returns a checksum of the owner and the tasks. It is the same on every
// node at the same offset.
func (l *Ledger) Digest() uint64 {
	data, err := json.Marshal(snapshotChunk{Owner: l.owner, Tasks: l.sortedTasks()})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// restore builds a ledger from all parts of a snapshot, in order.
func restore(shard vocab.StreamID, chunks []record.TaskSnapshotChunk) (*Ledger, error) {
	l := NewLedger(shard)
	for _, c := range chunks {
		if err := l.restoreChunk(c); err != nil {
			return nil, err
		}
	}
	l.offset = chunks[0].Offset
	l.ownerHeartbeat = l.offset
	l.lastSnapshot = l.offset
	return l, nil
}

func (l *Ledger) restoreChunk(c record.TaskSnapshotChunk) error {
	if c.Version != snapshotVersion {
		return errors.Wrapf(ErrSnapshotVersion, "version %d, this program reads %d", c.Version, snapshotVersion)
	}
	if xxhash.Sum64(c.Data) != c.Sum {
		return errors.Wrapf(ErrSnapshotDamaged, "checksum of part %d of %d", c.Part, c.Parts)
	}
	var data snapshotChunk
	if err := gob.NewDecoder(bytes.NewReader(c.Data)).Decode(&data); err != nil {
		return errors.Mark(errors.Wrapf(err, "part %d of %d", c.Part, c.Parts), ErrSnapshotDamaged)
	}
	l.owner = data.Owner
	for _, t := range data.Tasks {
		l.tasks[t.Task] = t
		if t.IdempotencyKey != "" {
			l.byIdempotencyKey[idempotencyKey{team: t.Team, key: t.IdempotencyKey}] = t.Task
		}
	}
	return nil
}
