package task

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Loader builds a ledger from the records that the log still keeps: from the
// first record of the stream, or from a snapshot and the records after it. Pass
// it the reads of the stream in order.
type Loader struct {
	shard vocab.StreamID
	// ledger is nil until the first record of the stream or a complete snapshot
	// was read.
	ledger *Ledger
	// tail holds the records read so far while there is no ledger; those after
	// the snapshot's offset are folded on top of it.
	tail []record.Sequenced
	// chunks holds the consecutive parts read so far of one snapshot.
	chunks   []record.TaskSnapshotChunk
	caughtUp bool
}

// NewLoader returns a loader for the start of the stream.
func NewLoader(shard vocab.StreamID) *Loader {
	return &Loader{shard: shard}
}

// CaughtUp reports whether the ledger covers the stream up to its end as of the
// last read.
func (l *Loader) CaughtUp() bool { return l.ledger != nil && l.caughtUp }

// NextOffset returns the offset at which the next read must start. Before the
// first read it is 1; if the log no longer keeps that record, the first read may
// start at the earliest record kept.
func (l *Loader) NextOffset() vocab.Offset {
	if len(l.tail) > 0 {
		return l.tail[len(l.tail)-1].Offset + 1
	}
	if l.ledger != nil {
		return l.ledger.offset + 1
	}
	return 1
}

// AddRecords adds the records of one read. It returns the changes that they make
// to an existing ledger. It fails with ErrRetentionGap if the end of the stream
// is reached without a snapshot that covers the records that the log dropped.
func (l *Loader) AddRecords(records []record.Sequenced, next vocab.Offset) ([]Change, error) {
	var changes []Change
	for _, s := range records {
		change, err := l.addRecord(s)
		if err != nil {
			return nil, err
		}
		if change.Offset != 0 {
			changes = append(changes, change)
		}
	}
	if l.ledger == nil && next <= 1 {
		l.ledger = NewLedger(l.shard)
	}
	l.caughtUp = l.NextOffset() >= next
	if l.ledger == nil && l.caughtUp {
		return nil, errors.Wrapf(ErrRetentionGap, "%s: no complete snapshot before offset %d", l.shard, next)
	}
	return changes, nil
}

func (l *Loader) addRecord(s record.Sequenced) (Change, error) {
	if l.ledger == nil && s.Offset == 1 {
		l.ledger = NewLedger(l.shard)
	}
	if l.ledger != nil {
		return l.ledger.Fold(s)
	}
	l.tail = append(l.tail, s)
	return Change{}, l.addSnapshotRecord(s)
}

// addSnapshotRecord collects the parts of a snapshot, and restores the ledger
// when the snapshot is complete.
func (l *Loader) addSnapshotRecord(s record.Sequenced) error {
	doneKind := record.TaskSnapshotDone{}.RecordKind()
	if s.Envelope.Kind != record.KindTaskSnapshotChunk && s.Envelope.Kind != doneKind {
		return nil
	}
	body, err := record.Decode(s.Envelope)
	if err != nil {
		return errors.Mark(err, ErrSnapshotDamaged)
	}
	switch b := body.(type) {
	case record.TaskSnapshotChunk:
		l.addChunk(b)
	case record.TaskSnapshotDone:
		if l.isComplete(b) {
			return l.restore()
		}
	}
	return nil
}

// addChunk adds a part that continues the current snapshot or begins another, and
// ignores other parts.
func (l *Loader) addChunk(chunk record.TaskSnapshotChunk) {
	if chunk.Part == 1 {
		l.chunks = nil
	}
	if chunk.Part != len(l.chunks)+1 || (len(l.chunks) > 0 && l.chunks[0].Offset != chunk.Offset) {
		return
	}
	l.chunks = append(l.chunks, chunk)
}

// isComplete reports whether all parts of the snapshot were read, and the records
// read so far leave no gap after it.
func (l *Loader) isComplete(b record.TaskSnapshotDone) bool {
	whole := b.Parts > 0 && len(l.chunks) == b.Parts && l.chunks[0].Offset == b.Offset
	return whole && b.Offset+1 >= l.tail[0].Offset
}

// restore builds the ledger from the snapshot and the records after it.
func (l *Loader) restore() error {
	ledger, err := restore(l.shard, l.chunks)
	if err != nil {
		return err
	}
	for _, s := range l.tail {
		if _, err := ledger.Fold(s); err != nil {
			return err
		}
	}
	l.ledger, l.tail, l.chunks = ledger, nil, nil
	return nil
}
