package peer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/peer"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// fakeBackend returns gossip unchanged and records it.
type fakeBackend struct{ received []gossip.Message }

func (b *fakeBackend) Exchange(_ context.Context, m gossip.Message) (gossip.Message, error) {
	b.received = append(b.received, m)
	return m, nil
}

func (b *fakeBackend) Borrow(_ context.Context, request limit.LoanRequest) (limit.LoanReply, error) {
	return limit.LoanReply{From: request.To, Seq: request.Seq}, nil
}

func (b *fakeBackend) GiveBack(context.Context, limit.LoanReturn) error { return nil }

func (b *fakeBackend) Snapshot(_ context.Context, folded vocab.Offset) (shared.Snapshot, bool, error) {
	return shared.Snapshot{Version: 1, Offset: 7, Digest: "d", State: []byte("{}")}, folded < 7, nil
}

func TestPeer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "peer")
}

var _ = ginkgo.Describe("calls between entry processes", func() {
	message := gossip.Message{From: 5, Reports: []gossip.Report{{Process: 5, Counter: 2, Settled: 3}}, Withdrawn: []vocab.KeyID{"k"}}
	var backend *fakeBackend
	var address string

	ginkgo.BeforeEach(func() {
		backend = &fakeBackend{}
		server := httptest.NewServer(peer.Handler(backend, []byte("secret")))
		ginkgo.DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	})

	ginkgo.It("refuses a call signed with another secret before it reaches the backend", func(ctx context.Context) {
		_, err := peer.NewClient([]byte("another"), nil).Exchange(ctx, address, message)
		gomega.Expect(errors.Is(err, peer.ErrRefused)).To(gomega.BeTrue())
		gomega.Expect(backend.received).To(gomega.BeEmpty())
	})

	ginkgo.It("accepts calls signed with the secret", func(ctx context.Context) {
		client := peer.NewClient([]byte("secret"), nil)
		gomega.Expect(client.Exchange(ctx, address, message)).To(gomega.Equal(message))
		gomega.Expect(client.Borrow(ctx, address, limit.LoanRequest{From: 5, To: 6, Seq: 9})).To(gomega.HaveField("Seq", uint64(9)))
		_, later, err := client.FetchSnapshot(ctx, address, 7)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(later).To(gomega.BeFalse())
	})

	ginkgo.It("times out if a peer does not respond", func(ctx context.Context) {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(silent.Close)
		_, err = peer.NewClient([]byte("secret"), nil).Exchange(ctx, silent.Addr().String(), gossip.Message{})
		gomega.Expect(errors.Is(err, peer.ErrNoReply)).To(gomega.BeTrue())
	})
})
