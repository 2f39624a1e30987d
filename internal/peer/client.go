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
	// callTimeout is the timeout of a call with a small reply.
	callTimeout = 900 * time.Millisecond
	// snapshotTimeout is the timeout of the transfer of a snapshot.
	snapshotTimeout = 10 * time.Second
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 90 * time.Second
)

// ErrNoReply means that a call got no usable reply from the peer. Whether it
// had an effect is unknown.
var ErrNoReply = errors.New("no reply from the peer")

// ErrRefused means that a peer refused the call as unauthenticated or malformed.
// The call had no effect.
var ErrRefused = errors.New("the peer refused the call")

// Client calls peers. It is safe for concurrent use.
type Client struct {
	secret    []byte
	tlsConfig *tls.Config

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is the RPC client of one address with its connection pool.
type endpoint struct {
	transport *http.Transport
	rpc       peerpb.Peer
}

// NewClient returns a client that signs its calls with the secret. If tlsConfig
// is nil, it uses plain HTTP.
func NewClient(secret []byte, tlsConfig *tls.Config) *Client {
	return &Client{secret: secret, tlsConfig: tlsConfig, endpoints: map[string]*endpoint{}}
}

// Exchange sends gossip to the process at an address and returns the gossip that
// it replies with.
func (c *Client) Exchange(ctx context.Context, address string, m gossip.Message) (gossip.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := c.endpoint(address)
	out, err := e.rpc.Exchange(ctx, encodeGossip(m))
	if err != nil {
		return gossip.Message{}, e.classifyError(err)
	}
	return decodeGossip(out), nil
}

// Borrow sends a loan request to the process at an address.
func (c *Client) Borrow(ctx context.Context, address string, request limit.LoanRequest) (limit.LoanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := c.endpoint(address)
	out, err := e.rpc.Borrow(ctx, encodeLoanRequest(request))
	if err != nil {
		return limit.LoanReply{}, e.classifyError(err)
	}
	return decodeLoanReply(out), nil
}

// GiveBack sends a loan return to the process at an address.
func (c *Client) GiveBack(ctx context.Context, address string, r limit.LoanReturn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := c.endpoint(address)
	if _, err := e.rpc.GiveBack(ctx, encodeLoanReturn(r)); err != nil {
		return e.classifyError(err)
	}
	return nil
}

// FetchSnapshot fetches a snapshot of the shared state from the process at an
// address. It returns false if that process has folded no record after the
// offset folded.
func (c *Client) FetchSnapshot(ctx context.Context, address string, folded vocab.Offset) (shared.Snapshot, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	e := c.endpoint(address)
	out, err := e.rpc.FetchSnapshot(ctx, &peerpb.SnapshotRequest{Folded: uint64(folded)})
	if err != nil {
		return shared.Snapshot{}, false, e.classifyError(err)
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
	for _, e := range c.endpoints {
		e.transport.CloseIdleConnections()
	}
}

// endpoint returns the endpoint of an address and creates it on first use.
func (c *Client) endpoint(address string) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.endpoints[address]; ok {
		return e
	}
	e := c.newEndpoint(address)
	c.endpoints[address] = e
	return e
}

func (c *Client) newEndpoint(address string) *endpoint {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     c.tlsConfig,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	scheme := "http://"
	if c.tlsConfig != nil {
		scheme = "https://"
	}
	client := &http.Client{Transport: signingTransport{secret: c.secret, next: transport}}
	rpc := peerpb.NewPeerProtobufClient(scheme+address, client, twirp.WithClientPathPrefix(pathPrefix))
	return &endpoint{transport: transport, rpc: rpc}
}

// classifyError marks a twirp error as ErrRefused or ErrNoReply. For
// ErrNoReply it also closes the idle connections to the address, because they
// may all have stopped working for the same reason.
func (e *endpoint) classifyError(err error) error {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && (twirpErr.Code() == twirp.Unauthenticated || twirpErr.Code() == twirp.Malformed) {
		return errors.Mark(err, ErrRefused)
	}
	e.transport.CloseIdleConnections()
	return errors.Mark(err, ErrNoReply)
}
