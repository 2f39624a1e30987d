package jobpeer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/jobpeer/jobpeerpb"
)

// ErrBadCall means that a forwarded call cannot be decoded.
var ErrBadCall = errors.New("the passed-on call cannot be read")

const (
	// dialTimeout bounds the opening of a connection. A node without power doesn't refuse
	// the connection.
	dialTimeout = 400 * time.Millisecond
	// replyMargin is the part of the caller's timeout that is reserved for the transport of
	// the reply.
	replyMargin = 50 * time.Millisecond
	// maxIdleConns bounds the idle connections to a node, idleTimeout the time that they
	// stay open.
	maxIdleConns = 8
	idleTimeout  = 10 * time.Second
)

// Client forwards calls to other nodes. It is safe for concurrent use.
type Client struct {
	mu          sync.Mutex
	connections map[string]*connection // by address
}

// connection is a Twirp client for one node, with its connection pool.
type connection struct {
	transport *http.Transport
	rpc       jobpeerpb.Jobs
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{connections: map[string]*connection{}} }

// Forward implements jobnode.Peers.
func (c *Client) Forward(ctx context.Context, address string, r job.Request) (job.Reply, job.Outcome, error) {
	call, err := encodeCall(r)
	if err != nil {
		return job.Reply{}, job.NotDone, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.WithinMs = uint32(max(0, time.Until(deadline)-replyMargin).Milliseconds())
	}
	conn := c.connection(address)
	answer, err := conn.rpc.Pass(ctx, call)
	if err != nil {
		return job.Reply{}, conn.handleFailure(err), err
	}
	return job.Reply{
		Answer: job.Answer(answer.Answer), State: job.Phase(answer.State), Pending: int(answer.Pending),
		RetryAfter: time.Duration(answer.RetryAfterMs) * time.Millisecond, Detail: answer.Detail,
		ConfigVersion: answer.ConfigVersion,
	}, job.OK, nil
}

// OfferOwnership implements jobnode.Peers.
func (c *Client) OfferOwnership(ctx context.Context, address string, fence job.Fence) error {
	conn := c.connection(address)
	if _, err := conn.rpc.Offer(ctx, &jobpeerpb.OwnershipOffer{Fence: uint64(fence)}); err != nil {
		conn.handleFailure(err)
		return err
	}
	return nil
}

// PrepareHandover implements jobnode.Peers.
func (c *Client) PrepareHandover(ctx context.Context, e job.PrepareHandover) (ready bool, reached int, err error) {
	conn := c.connection(e.Address)
	request := &jobpeerpb.HandoverRequest{Fence: uint64(e.Fence)}
	for _, p := range e.Probes {
		request.Probes = append(request.Probes, &jobpeerpb.Probe{
			Worker: string(p.Worker), Address: p.Address, Incarnation: int64(p.Incarnation),
		})
	}
	prepared, err := conn.rpc.Prepare(ctx, request)
	if err != nil {
		conn.handleFailure(err)
		return false, 0, err
	}
	return prepared.Ready, int(prepared.Reached), nil
}

func encodeCall(r job.Request) (*jobpeerpb.Call, error) {
	call := &jobpeerpb.Call{
		Job: string(r.ID), Host: r.Host, Path: r.Path, Key: r.Key, ConfigAtLeast: r.ConfigAtLeast, FromRemote: r.FromRemote,
	}
	for pbKind, kind := range requestKinds {
		if kind == r.Kind {
			call.Kind = pbKind
		}
	}
	if r.Kind != job.RequestSubmit {
		return call, nil
	}
	var err error
	call.Spec, err = json.Marshal(r.Spec)
	return call, errors.Wrap(err, "encoding a job's spec")
}

// connection returns the connection to an address and creates it if there is none.
func (c *Client) connection(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.connections[address]
	if conn == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		transport := &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
			DisableCompression: true,
		}
		conn = &connection{transport: transport, rpc: jobpeerpb.NewJobsProtobufClient(
			"http://"+address, &http.Client{Transport: transport}, twirp.WithClientPathPrefix(pathPrefix))}
		c.connections[address] = conn
	}
	return conn
}

// handleFailure returns NotDone if the failed call was certainly not carried out, and
// Unknown otherwise. It closes the idle connections: if one has stopped working without a
// reset, the others probably have too.
func (c *connection) handleFailure(err error) job.Outcome {
	c.transport.CloseIdleConnections()
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.InvalidArgument {
		return job.NotDone
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return job.NotDone
	}
	return job.Unknown
}
