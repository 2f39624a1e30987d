package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// callTimeout bounds a call with a small answer.
	callTimeout = 900 * time.Millisecond
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 10 * time.Second
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 90 * time.Second
)

// ErrNoAnswer means that a peer did not answer; the call may have had its effect.
var ErrNoAnswer = errors.New("the peer did not answer")

// ErrRefused means that a peer answered with a refusal; the call had no effect.
var ErrRefused = errors.New("the peer refused the call")

// Client calls peers. It is safe for concurrent use.
type Client struct {
	secret []byte
	tls    *tls.Config

	mu     sync.Mutex
	byAddr map[string]*connection
}

// connection holds what is needed to call one address.
type connection struct {
	transport *http.Transport
	rpc       peerpb.Peer
}

// NewClient returns a client. Without a TLS configuration it calls in plain text.
func NewClient(secret []byte, config *tls.Config) *Client {
	return &Client{secret: secret, tls: config, byAddr: map[string]*connection{}}
}

// Exchange trades gossip with the process at an address.
func (c *Client) Exchange(ctx context.Context, address string, m gossip.Message) (gossip.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.connection(address)
	out, err := conn.rpc.Exchange(ctx, encodeGossip(m))
	if err != nil {
		return gossip.Message{}, conn.failed(err)
	}
	return decodeGossip(out), nil
}

// Borrow asks the process at an address for loans.
func (c *Client) Borrow(ctx context.Context, address string, ask limit.LoanRequest) (limit.LoanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.connection(address)
	out, err := conn.rpc.Borrow(ctx, encodeAsk(ask))
	if err != nil {
		return limit.LoanReply{}, conn.failed(err)
	}
	return decodeAnswer(out), nil
}

// GiveBack returns tokens to the process at an address.
func (c *Client) GiveBack(ctx context.Context, address string, r limit.LoanReturn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.connection(address)
	if _, err := conn.rpc.GiveBack(ctx, encodeReturn(r)); err != nil {
		return conn.failed(err)
	}
	return nil
}

// FetchSnapshot gets the shared state of the process at an address, if it is
// later than folded.
func (c *Client) FetchSnapshot(ctx context.Context, address string, folded vocab.Offset) (shared.Snapshot, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	conn := c.connection(address)
	out, err := conn.rpc.FetchSnapshot(ctx, &peerpb.SnapshotRequest{Folded: uint64(folded)})
	if err != nil {
		return shared.Snapshot{}, false, conn.failed(err)
	}
	snap := shared.Snapshot{
		Version: int(out.Version),
		Offset:  vocab.Offset(out.Offset),
		Digest:  out.Digest,
		State:   out.State,
	}
	return snap, out.Offset > 0, nil
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.byAddr {
		conn.transport.CloseIdleConnections()
	}
}

func (c *Client) connection(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.byAddr[address]; ok {
		return conn
	}
	conn := c.open(address)
	c.byAddr[address] = conn
	return conn
}

func (c *Client) open(address string) *connection {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     c.tls,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	scheme := "http://"
	if c.tls != nil {
		scheme = "https://"
	}
	signed := &http.Client{Transport: signer{secret: c.secret, next: transport}}
	rpc := peerpb.NewPeerProtobufClient(scheme+address, signed, twirp.WithClientPathPrefix(pathPrefix))
	return &connection{transport: transport, rpc: rpc}
}

// failed turns a twirp error into this package's. A call without an answer
// closes the idle connections, which may all have gone silent together.
func (c *connection) failed(err error) error {
	var coded twirp.Error
	if errors.As(err, &coded) && (coded.Code() == twirp.Unauthenticated || coded.Code() == twirp.Malformed) {
		return errors.Mark(err, ErrRefused)
	}
	c.transport.CloseIdleConnections()
	return errors.Mark(err, ErrNoAnswer)
}
