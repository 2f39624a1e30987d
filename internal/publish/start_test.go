package publish_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/publish"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin"
)

// TestOperationsAfterLogTrimmed trims the log. Without a snapshot on the stream,
// operations must fail with ErrHistoryGone; with one, they start from it.
func TestOperationsAfterLogTrimmed(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	log := standin.NewLog()
	c := &publish.Client{Log: log, Operator: "me"}
	plan, err := c.Plan(ctx, spec.Fleet{Name: "f", Teams: []spec.Team{{Name: "t", Share: 1, UpperLimit: 5}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.Publish(ctx, plan)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	_, err = c.ResumeWave(ctx)
	g.Expect(errors.Is(err, publish.ErrWaveState)).To(gomega.BeTrue(), "no wave is paused")
	g.Expect(c.StartWave(ctx)).To(gomega.HaveField("Number", uint64(1)))
	g.Expect(c.PauseWave(ctx, "bad image")).To(gomega.HaveField("PauseReason", "bad image"))

	batch, err := log.Read(ctx, shared.Stream, 1, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	log.Trim(shared.Stream, 2)
	_, err = c.GiveKey(ctx, "t")
	g.Expect(errors.Is(err, publish.ErrHistoryGone)).To(gomega.BeTrue())

	state := shared.New()
	for _, rec := range batch.Records {
		_, err := state.Apply(rec)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	snap, err := state.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	taken, err := record.Encode("snap", record.SnapshotTaken{Version: snap.Version, Offset: snap.Offset, Digest: snap.Digest, State: snap.State})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = log.Append(ctx, shared.Stream, []record.Envelope{taken})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	_, err = c.GiveKey(ctx, "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.ResumeWave(ctx)).To(gomega.HaveField("PauseOffset", gomega.BeZero()))
}
