package shared_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestFollowersAgree folds one random stream on several followers that begin
// at different offsets, lose records to retention, read records twice and
// adopt each other's snapshots. At equal offsets their digests are equal, and
// no configuration or key ever goes back.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := drawStream(rt)
		truth := map[vocab.Offset]string{}
		whole := shared.New()
		for _, rec := range log {
			if _, err := whole.Apply(rec); err != nil {
				rt.Fatal(err)
			}
			truth[rec.Offset] = whole.Digest()
		}
		f := shared.NewFollower()
		from := rapid.IntRange(0, len(log)-1).Draw(rt, "begin")
		if from > 0 {
			f.Begin(log[from].Offset)
		}
		for at := from; at < len(log); at++ {
			before := f.State()
			if _, err := f.Read(log[at]); err != nil {
				rt.Fatal(err)
			}
			if rapid.Bool().Draw(rt, "again") {
				if _, err := f.Read(log[at]); err != nil && !f.Searching() {
					rt.Fatal(err)
				}
			}
			checkForward(rt, before, f.State())
			if !f.Searching() && f.State().Digest() != truth[f.State().Offset] {
				rt.Fatalf("digest differs at offset %d", f.State().Offset)
			}
		}
	})
}

func checkForward(rt *rapid.T, before, after *shared.State) {
	if after.Offset < before.Offset || after.Revision < before.Revision {
		rt.Fatalf("went back from offset %d to %d", before.Offset, after.Offset)
	}
	for id, k := range before.Keys {
		if k.Withdrawn && !after.Keys[id].Withdrawn {
			rt.Fatalf("key %s came back", id)
		}
	}
}

// drawStream draws publishes on current and stale bases, racing keys, doubled
// records and snapshots.
func drawStream(rt *rapid.T) []record.Sequenced {
	state := shared.New()
	var log []record.Sequenced
	n := rapid.IntRange(1, 40).Draw(rt, "records")
	for i := 0; i < n; i++ {
		var body record.Body
		key := vocab.KeyID(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(rt, "key")))
		id := vocab.RecordID(fmt.Sprint("r", i-rapid.IntRange(0, 1).Draw(rt, "double")))
		switch rapid.IntRange(0, 4).Draw(rt, "kind") {
		case 0:
			base := state.Revision - vocab.Revision(rapid.IntRange(0, 1).Draw(rt, "stale"))
			body = record.ConfigPublished{Base: base, Fleet: spec.Fleet{Name: fmt.Sprint("f", i)}}
		case 1:
			body = record.KeyGiven{Key: key, Team: "t", SecretHash: []byte{byte(i)}}
		case 2:
			body = record.KeyWithdrawn{Key: key}
		case 3:
			body = record.NodeJoined{Node: "n", Incarnation: vocab.Incarnation(i + 1)}
		default:
			snap, _ := state.Snapshot()
			body = record.SnapshotTaken{Version: snap.Version, Offset: snap.Offset, Digest: snap.Digest, State: snap.State}
		}
		envelope, err := record.Encode(id, body)
		if err != nil {
			rt.Fatal(err)
		}
		rec := record.Sequenced{Offset: vocab.Offset(i + 1), Envelope: envelope}
		if _, err := state.Apply(rec); err != nil {
			rt.Fatal(err)
		}
		log = append(log, rec)
	}
	return log
}

func TestSnapshotIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	snap, err := shared.New().Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())

	newer := snap
	newer.Version = shared.SnapshotVersion + 1
	_, err = shared.Restore(newer)
	g.Expect(err).To(gomega.MatchError(shared.ErrSnapshotVersion))

	damaged := snap
	damaged.Digest = "0"
	_, err = shared.Restore(damaged)
	g.Expect(err).To(gomega.MatchError(shared.ErrSnapshotDamaged))
}
