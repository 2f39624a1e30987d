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

// ErrBadCall means that a passed-on call cannot be read.
var ErrBadCall = errors.New("the passed-on call cannot be read")

const (
	// dialTimeout bounds the opening of a connection; a node without power gives
	// no answer.
	dialTimeout = 400 * time.Millisecond
	// answerMargin is what is left of the time for the answer's way back.
	answerMargin = 50 * time.Millisecond
	// idleConns bounds the idle connections to one node, idleTimeout how long they
	// are kept.
	idleConns   = 8
	idleTimeout = 10 * time.Second
)

// Client passes calls on. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	byAddr map[string]*connection
}

type connection struct {
	transport *http.Transport
	rpc       jobpeerpb.Jobs
}

// NewClient returns a client that has no connection yet.
func NewClient() *Client { return &Client{byAddr: map[string]*connection{}} }

// Pass implements jobnode.Peers.
func (c *Client) Pass(ctx context.Context, address string, r job.Request) (job.Reply, job.Outcome, error) {
	call, err := encodeCall(r)
	if err != nil {
		return job.Reply{}, job.NotDone, err
	}
	if deadline, limited := ctx.Deadline(); limited {
		call.WithinMs = uint32(max(0, time.Until(deadline)-answerMargin).Milliseconds())
	}
	conn := c.connection(address)
	answer, err := conn.rpc.Pass(ctx, call)
	if err != nil {
		return job.Reply{}, conn.failed(err), err
	}
	return job.Reply{
		Answer: job.Answer(answer.Answer), State: job.Phase(answer.State), Pending: int(answer.Pending),
		RetryAfter: time.Duration(answer.RetryAfterMs) * time.Millisecond, Detail: answer.Detail,
		ConfigVersion: answer.ConfigVersion,
	}, job.OK, nil
}

// Offer implements jobnode.Peers.
func (c *Client) Offer(ctx context.Context, address string, fence job.Fence) error {
	conn := c.connection(address)
	if _, err := conn.rpc.Offer(ctx, &jobpeerpb.OwnershipOffer{Fence: uint64(fence)}); err != nil {
		conn.failed(err)
		return err
	}
	return nil
}

func encodeCall(r job.Request) (*jobpeerpb.Call, error) {
	call := &jobpeerpb.Call{
		Job: string(r.ID), Host: r.Host, Path: r.Path, Key: r.Key, ConfigAtLeast: r.ConfigAtLeast,
	}
	for wire, kind := range kinds {
		if kind == r.Kind {
			call.Kind = wire
		}
	}
	if r.Kind != job.RequestSubmit {
		return call, nil
	}
	var err error
	call.Spec, err = json.Marshal(r.Spec)
	return call, errors.Wrap(err, "encoding a job's spec")
}

func (c *Client) connection(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.byAddr[address]
	if conn == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		transport := &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout,
			DisableCompression: true,
		}
		conn = &connection{transport: transport, rpc: jobpeerpb.NewJobsProtobufClient(
			"http://"+address, &http.Client{Transport: transport}, twirp.WithClientPathPrefix(pathPrefix))}
		c.byAddr[address] = conn
	}
	return conn
}

// failed says what is known of a call that failed. After one without an answer the
// idle connections are closed: they may all have gone silent together.
func (c *connection) failed(err error) job.Outcome {
	c.transport.CloseIdleConnections()
	var coded twirp.Error
	if errors.As(err, &coded) && coded.Code() == twirp.InvalidArgument {
		return job.NotDone
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return job.NotDone
	}
	return job.Unknown
}
