package shared_test

import (
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// FuzzRestore checks that a snapshot with a matching checksum either fails with
// ErrSnapshotDamaged or restores to a state that can fold every kind of record
// and whose own snapshot restores to an equal state.
func FuzzRestore(f *testing.F) {
	snap, err := shared.New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(snap.State), uint64(0))
	f.Add([]byte(`{}`), uint64(0))
	f.Add([]byte(`{"keys":null,"members":null,"removed":null,"maintenance":null,"recent":null}`), uint64(3))
	f.Add([]byte(`{"offset":18446744073709551615,"fleet":{},"maintenance":{"vms":null}}`), uint64(18446744073709551615))
	f.Add([]byte(`{"keys":{"k":{"withdrawn":true}},"recent":["r","r"]}`), uint64(9))
	f.Fuzz(func(t *testing.T, state []byte, offset uint64) {
		s, err := shared.Restore(shared.Snapshot{
			Version: shared.SnapshotVersion, Offset: vocab.Offset(offset), State: state,
			Digest: strconv.FormatUint(xxhash.Sum64(state), 16),
		})
		if err != nil {
			if !errors.Is(err, shared.ErrSnapshotDamaged) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if s.Offset != vocab.Offset(offset) {
			t.Fatalf("a snapshot of offset %d restored to a state of offset %d", offset, s.Offset)
		}
		foldEachKind(t, s)
		taken, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again, err := shared.Restore(taken)
		if err != nil || again.Digest() != s.Digest() {
			t.Fatalf("the state's own snapshot restored to another state: %v", err)
		}
	})
}

// foldEachKind folds one record of each kind that changes a map of the state.
func foldEachKind(t *testing.T, s *shared.State) {
	for i, body := range []record.Body{
		record.KeyGiven{Key: "k", Team: "t"},
		record.KeyWithdrawn{Key: "k"},
		record.NodeJoined{Node: "n", Incarnation: 1},
		record.NodeRemoved{Node: "n", Incarnation: 1},
		record.MaintenanceClaimed{Node: "n", Incarnation: 1, Previous: s.Maintenance.Owner.Epoch},
		record.DisruptionsStarted{
			Epoch: vocab.Epoch(s.Offset) + 5, Base: s.Offset + 5,
			Started: []record.VMMaintenanceStarted{{VM: "v", Incarnation: 1}},
			Left:    []record.VMLeftPool{{VM: "w", From: "a", To: "b"}},
		},
		record.ConfigPublished{Base: s.Revision},
	} {
		envelope, err := record.Encode(vocab.RecordID("fuzz-"+strconv.Itoa(i)), body)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Apply(record.Sequenced{Offset: s.Offset + 1, Envelope: envelope}); err != nil {
			t.Fatal(err)
		}
	}
}
