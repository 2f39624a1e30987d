package task

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestLoaderRejectsIncompleteData checks that the loader fails if the stream has
// neither its first record nor a complete snapshot that covers the trimmed records,
// if a chunk of the snapshot is damaged, and if the snapshot has an unknown version.
func TestLoaderRejectsIncompleteData(t *testing.T) {
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
		"whole":         {from: 1000},
		"no snapshot":   {from: 1000, change: func([]record.TaskSnapshotChunk) []record.TaskSnapshotChunk { return nil }, want: ErrRetentionGap},
		"chunk missing": {from: 1000, change: func(c []record.TaskSnapshotChunk) []record.TaskSnapshotChunk { return c[:1] }, want: ErrRetentionGap},
		"gap after it":  {from: ledger.Offset() + 2, want: ErrRetentionGap},
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
	for name, tc := range cases {
		given := slices.Clone(chunks)
		if tc.change != nil {
			given = tc.change(given)
		}
		tail := withSnapshot(t, list, given, ledger.Offset(), len(chunks))
		tail = tail[min(int(tc.from)-1, len(tail)-1):]
		loader := NewLoader(testShard)
		_, err := loader.AddRecords(tail, tail[len(tail)-1].Offset+1)
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: got %v, want %v", name, err, tc.want)
		}
		if tc.want == nil && loader.ledger.Digest() != ledger.Digest() {
			t.Errorf("%s: restored ledger differs", name)
		}
	}
}

// withSnapshot returns the stream followed by a record that the snapshot does not
// cover, the given chunks of the snapshot and its TaskSnapshotDone record, which
// states count chunks.
func withSnapshot(t *testing.T, list []record.Sequenced, given []record.TaskSnapshotChunk, at vocab.Offset, count int) []record.Sequenced {
	bodies := []record.Body{record.TaskOwnerRenewed{Epoch: 1}}
	for _, chunk := range given {
		bodies = append(bodies, chunk)
	}
	bodies = append(bodies, record.TaskSnapshotDone{Offset: at, Parts: count})
	list = slices.Clone(list)
	for _, b := range bodies {
		e, err := record.Encode("s", b)
		must(t, err)
		list = append(list, record.Sequenced{Offset: vocab.Offset(len(list) + 1), Envelope: e})
	}
	return list
}
