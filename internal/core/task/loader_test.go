package task

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestLoaderRefusesToGuess: a reader that finds neither the first record nor a
// whole snapshot that covers what is gone says so, and refuses damaged parts
// and versions it does not know.
func TestLoaderRefusesToGuess(t *testing.T) {
	list := acceptedRecords(2 * snapshotChunkTasks)
	ledger := NewLedger(testShard)
	for _, s := range list {
		_, err := ledger.Fold(s)
		must(t, err)
	}
	chunks, err := ledger.Snapshot()
	must(t, err)
	cases := map[string]struct {
		change func([]record.TaskSnapshotChunk) []record.TaskSnapshotChunk
		from   vocab.Offset
		want   error
	}{
		"whole":        {from: 1000},
		"no snapshot":  {from: 1000, change: func([]record.TaskSnapshotChunk) []record.TaskSnapshotChunk { return nil }, want: ErrRetentionGap},
		"part missing": {from: 1000, change: func(c []record.TaskSnapshotChunk) []record.TaskSnapshotChunk { return c[:1] }, want: ErrRetentionGap},
		"gap after it": {from: ledger.Offset() + 2, want: ErrRetentionGap},
		"damaged": {from: 1000, want: ErrSnapshotDamaged, change: func(c []record.TaskSnapshotChunk) []record.TaskSnapshotChunk {
			c[1].Data = slices.Clone(c[1].Data)
			c[1].Data[len(c[1].Data)-100] ^= 1
			return c
		}},
		"newer version": {from: 1000, want: ErrSnapshotVersion, change: func(c []record.TaskSnapshotChunk) []record.TaskSnapshotChunk {
			c[0].Version++
			return c
		}},
	}
	for name, k := range cases {
		parts := slices.Clone(chunks)
		if k.change != nil {
			parts = k.change(parts)
		}
		tail := withSnapshot(t, list, parts, ledger.Offset(), len(chunks))
		tail = tail[min(int(k.from)-1, len(tail)-1):]
		loader := NewLoader(testShard)
		_, err := loader.Read(tail, tail[len(tail)-1].Offset+1)
		if !errors.Is(err, k.want) {
			t.Errorf("%s: got %v, want %v", name, err, k.want)
		}
		if k.want == nil && loader.ledger.Digest() != ledger.Digest() {
			t.Errorf("%s: restored ledger differs", name)
		}
	}
}

// withSnapshot appends a record that is not in the snapshot, the parts and
// their end to a stream.
func withSnapshot(t *testing.T, list []record.Sequenced, parts []record.TaskSnapshotChunk, at vocab.Offset, count int) []record.Sequenced {
	bodies := []record.Body{record.TaskOwnerRenewed{Epoch: 1}}
	for _, p := range parts {
		bodies = append(bodies, p)
	}
	bodies = append(bodies, record.TaskSnapshotDone{At: at, Parts: count})
	list = slices.Clone(list)
	for _, b := range bodies {
		e, err := record.Encode("s", b)
		must(t, err)
		list = append(list, record.Sequenced{Offset: vocab.Offset(len(list) + 1), Envelope: e})
	}
	return list
}
