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

// TestFollowersAgree folds a random stream with a follower that begins at a
// random offset, reads some records twice and installs the snapshots of the
// stream. Except while it catches up, its digest must equal that of a state that
// folded every record up to the same offset. No configuration or withdrawal may
// be undone.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := drawStream(rt)
		digests := map[vocab.Offset]string{}
		reference := shared.New()
		for _, rec := range log {
			if _, err := reference.Apply(rec); err != nil {
				rt.Fatal(err)
			}
			digests[rec.Offset] = reference.Digest()
		}
		f := shared.NewFollower()
		from := rapid.IntRange(0, len(log)-1).Draw(rt, "begin")
		if from > 0 {
			f.ContinueFrom(log[from].Offset)
		}
		for at := from; at < len(log); at++ {
			before := f.State()
			if _, err := f.Read(log[at]); err != nil {
				rt.Fatal(err)
			}
			if rapid.Bool().Draw(rt, "again") {
				if _, err := f.Read(log[at]); err != nil && !f.CatchingUp() {
					rt.Fatal(err)
				}
			}
			checkNoRollback(rt, before, f.State())
			if !f.CatchingUp() && f.State().Digest() != digests[f.State().Offset] {
				rt.Fatalf("digest differs at offset %d", f.State().Offset)
			}
		}
	})
}

// checkNoRollback fails the test if the offset or the revision decreased, or if
// a withdrawn key became active again.
func checkNoRollback(rt *rapid.T, before, after *shared.State) {
	if after.Offset < before.Offset || after.Revision < before.Revision {
		rt.Fatalf("offset or revision decreased between offsets %d and %d", before.Offset, after.Offset)
	}
	for id, k := range before.Keys {
		if k.Withdrawn && !after.Keys[id].Withdrawn {
			rt.Fatalf("key %s was withdrawn and is active again", id)
		}
	}
}

// drawStream draws a stream of configurations with current and stale bases, keys
// given and withdrawn in any order, duplicate records, joins and snapshots.
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

func TestRestoreRejectsSnapshot(t *testing.T) {
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
