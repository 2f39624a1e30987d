package task

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Loader brings a ledger up to date from the records that the log still has.
// Feed it the reads of the stream in order until it is Done.
type Loader struct {
	shard vocab.StreamID
	// ledger is nil until a snapshot was found or the stream is read from its
	// first record.
	ledger *Ledger
	// tail holds records that may follow a snapshot.
	tail     []record.Sequenced
	chunks   []record.TaskSnapshotChunk
	caughtUp bool
}

// NewLoader returns a loader of which nothing was read.
func NewLoader(shard vocab.StreamID) *Loader {
	return &Loader{shard: shard}
}

// Done reports whether the ledger covers everything up to the end of the
// stream as of the last read.
func (o *Loader) Done() bool { return o.ledger != nil && o.caughtUp }

// From returns the offset to read from next. Before the first read it is 1;
// if the log no longer keeps that, read from the earliest kept offset.
func (o *Loader) From() vocab.Offset {
	if len(o.tail) > 0 {
		return o.tail[len(o.tail)-1].Offset + 1
	}
	if o.ledger != nil {
		return o.ledger.offset + 1
	}
	return 1
}

// Read takes one read. It returns what the records did to a ledger that was
// complete before. It fails with ErrRetentionGap if the end of the
// stream is reached without a snapshot that covers the dropped records.
func (o *Loader) Read(records []record.Sequenced, next vocab.Offset) ([]Change, error) {
	var changes []Change
	for _, s := range records {
		change, err := o.take(s)
		if err != nil {
			return nil, err
		}
		if change.Offset != 0 {
			changes = append(changes, change)
		}
	}
	if o.ledger == nil && next <= 1 {
		o.ledger = NewLedger(o.shard)
	}
	o.caughtUp = o.From() >= next
	if o.ledger == nil && o.caughtUp {
		return nil, errors.Wrapf(ErrRetentionGap, "%s: no complete snapshot before offset %d", o.shard, next)
	}
	return changes, nil
}

func (o *Loader) take(s record.Sequenced) (Change, error) {
	if o.ledger == nil && s.Offset == 1 {
		o.ledger = NewLedger(o.shard)
	}
	if o.ledger != nil {
		return o.ledger.Fold(s)
	}
	o.tail = append(o.tail, s)
	return Change{}, o.takeChunk(s)
}

// takeChunk looks for a complete snapshot among the records read so far.
func (o *Loader) takeChunk(s record.Sequenced) error {
	done := record.TaskSnapshotDone{}.RecordKind()
	if s.Envelope.Kind != record.KindTaskSnapshotChunk && s.Envelope.Kind != done {
		return nil
	}
	body, err := record.Decode(s.Envelope)
	if err != nil {
		return errors.Mark(err, ErrSnapshotDamaged)
	}
	switch b := body.(type) {
	case record.TaskSnapshotChunk:
		o.collect(b)
	case record.TaskSnapshotDone:
		if o.complete(b) {
			return o.restore()
		}
	}
	return nil
}

// collect keeps a chunk that continues the set under way or begins another.
func (o *Loader) collect(chunk record.TaskSnapshotChunk) {
	if chunk.Part == 1 {
		o.chunks = nil
	}
	if chunk.Part != len(o.chunks)+1 || (len(o.chunks) > 0 && o.chunks[0].At != chunk.At) {
		return
	}
	o.chunks = append(o.chunks, chunk)
}

// complete reports whether the chunks are a whole snapshot that, with the
// records read so far, leaves no gap.
func (o *Loader) complete(b record.TaskSnapshotDone) bool {
	whole := b.Parts > 0 && len(o.chunks) == b.Parts && o.chunks[0].At == b.At
	return whole && b.At+1 >= o.tail[0].Offset
}

func (o *Loader) restore() error {
	ledger, err := restore(o.shard, o.chunks)
	if err != nil {
		return err
	}
	for _, s := range o.tail {
		if _, err := ledger.Fold(s); err != nil {
			return err
		}
	}
	o.ledger, o.tail, o.chunks = ledger, nil, nil
	return nil
}
