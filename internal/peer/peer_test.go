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

// backend answers with what it was asked.
type backend struct{ heard []gossip.Message }

func (b *backend) Exchange(_ context.Context, m gossip.Message) (gossip.Message, error) {
	b.heard = append(b.heard, m)
	return m, nil
}

func (b *backend) Borrow(_ context.Context, ask limit.LoanRequest) (limit.LoanReply, error) {
	return limit.LoanReply{From: ask.To, Seq: ask.Seq}, nil
}

func (b *backend) GiveBack(context.Context, limit.LoanReturn) error { return nil }

func (b *backend) Snapshot(_ context.Context, folded vocab.Offset) (shared.Snapshot, bool, error) {
	return shared.Snapshot{Version: 1, Offset: 7, Digest: "d", State: []byte("{}")}, folded < 7, nil
}

func TestPeer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "peer")
}

var _ = ginkgo.Describe("calls between entry processes", func() {
	message := gossip.Message{From: 5, Reports: []gossip.Report{{Process: 5, Counter: 2, Settled: 3}}, Withdrawn: []vocab.KeyID{"k"}}
	var heard *backend
	var address string

	ginkgo.BeforeEach(func() {
		heard = &backend{}
		server := httptest.NewServer(peer.Handler(heard, []byte("secret")))
		ginkgo.DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	})

	ginkgo.It("refuses a stranger before the backend hears of it", func(ctx context.Context) {
		_, err := peer.NewClient([]byte("another"), nil).Exchange(ctx, address, message)
		gomega.Expect(errors.Is(err, peer.ErrRefused)).To(gomega.BeTrue())
		gomega.Expect(heard.heard).To(gomega.BeEmpty())
	})

	ginkgo.It("carries messages of those who know the secret", func(ctx context.Context) {
		client := peer.NewClient([]byte("secret"), nil)
		gomega.Expect(client.Exchange(ctx, address, message)).To(gomega.Equal(message))
		gomega.Expect(client.Borrow(ctx, address, limit.LoanRequest{From: 5, To: 6, Seq: 9})).To(gomega.HaveField("Seq", uint64(9)))
		_, later, err := client.FetchSnapshot(ctx, address, 7)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(later).To(gomega.BeFalse())
	})

	ginkgo.It("gives a silent peer up", func(ctx context.Context) {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(silent.Close)
		_, err = peer.NewClient([]byte("secret"), nil).Exchange(ctx, silent.Addr().String(), gossip.Message{})
		gomega.Expect(errors.Is(err, peer.ErrNoAnswer)).To(gomega.BeTrue())
	})
})
