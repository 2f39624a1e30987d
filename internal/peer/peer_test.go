package peer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
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

func (b *backend) Borrow(_ context.Context, ask limit.Ask) (limit.Answer, error) {
	return limit.Answer{From: ask.To, Seq: ask.Seq}, nil
}

func (b *backend) GiveBack(context.Context, limit.Return) error { return nil }

func (b *backend) Snapshot(_ context.Context, folded vocab.Offset) (shared.Snapshot, bool, error) {
	return shared.Snapshot{Version: 1, Offset: 7, Digest: "d", State: []byte("{}")}, folded < 7, nil
}

func TestOnlyPeersAreHeard(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &backend{}
	server := httptest.NewServer(peer.Handler(b, []byte("secret")))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	message := gossip.Message{From: 5, Reports: []gossip.Report{{Process: 5, Counter: 2, Settled: 3}}, Withdrawn: []vocab.KeyID{"k"}}

	_, err := peer.NewClient([]byte("another"), nil).Exchange(t.Context(), address, message)
	g.Expect(errors.Is(err, peer.ErrRefused)).To(gomega.BeTrue())
	g.Expect(b.heard).To(gomega.BeEmpty())

	client := peer.NewClient([]byte("secret"), nil)
	g.Expect(client.Exchange(t.Context(), address, message)).To(gomega.Equal(message))
	g.Expect(client.Borrow(t.Context(), address, limit.Ask{From: 5, To: 6, Seq: 9})).To(gomega.HaveField("Seq", uint64(9)))
	_, later, err := client.FetchSnapshot(t.Context(), address, 7)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(later).To(gomega.BeFalse())
}

func TestSilentPeerIsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer silent.Close()
	_, err = peer.NewClient([]byte("secret"), nil).Exchange(t.Context(), silent.Addr().String(), gossip.Message{})
	g.Expect(errors.Is(err, peer.ErrNoAnswer)).To(gomega.BeTrue())
}
