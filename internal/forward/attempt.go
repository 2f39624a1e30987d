package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Headers of the protocol between sardinehead and upstreams.
const (
	// HeaderAttempt carries the attempt's number; an upstream that echoes it
	// lets late answers be told apart.
	HeaderAttempt = "Sardinehead-Attempt"
	// HeaderOutcome with the value "not-run" attests that the upstream did not
	// run the request.
	HeaderOutcome = "Sardinehead-Outcome"
	// HeaderDraining with the value "true" says that the upstream is leaving.
	HeaderDraining = "Sardinehead-Draining"
	// HeaderTeam carries the team that the request counts for.
	HeaderTeam = "Sardinehead-Team"
	// HeaderTimeout carries the time that is left, such as "2.5s".
	HeaderTimeout = "Sardinehead-Timeout"
)

// Attempt is one sending of a request.
type Attempt struct {
	ID      vocab.AttemptID
	Team    vocab.TeamID
	VM      vocab.VMID
	Address string
	Reuse   bool
	// SendBy is the latest time at which a byte may be written; zero for any.
	SendBy    time.Time
	FirstByte time.Duration
	Run       time.Duration
	// Idle is the most idle connections to the VM.
	Idle int

	Method string
	// Target is the path and query for the upstream.
	Target string
	Header http.Header
	Body   io.Reader
	// BodyBytes is the body's length; -1 if unknown.
	BodyBytes int64
}

// Report tells what is certain about an attempt that ended.
type Report struct {
	Result retry.Result
	// Answering is set if part of an answer already went to the caller.
	Answering bool
	Draining  bool
	Silent    bool
	// Cause is the failure, for logs; nil on success.
	Cause error
}

// ErrFirstByte is the cause of an attempt whose answer did not begin in time.
var ErrFirstByte = errors.New("no first byte of the answer in time")

// ErrUnframed is the cause of an attempt whose answer had neither a length nor
// chunks, so that its end could not be told from a cut.
var ErrUnframed = errors.New("the answer's end cannot be told from a cut")

// ErrMisplaced is the cause of an attempt that got the answer to another one.
var ErrMisplaced = errors.New("the answer belongs to another attempt")

// ErrCut is the cause of an attempt whose answer broke off.
var ErrCut = errors.New("the answer broke off")

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	pools   pools
	process string
}

// New returns a client. The process name goes before attempt numbers, so that
// attempts of different processes differ.
func New(process string) *Client {
	return &Client{pools: pools{byVM: map[vocab.VMID]*pool{}}, process: process}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	for _, p := range c.pools.byVM {
		p.closeIdle()
	}
}

// Send carries out an attempt and relays the answer to w. It returns when the
// answer is whole or the attempt has failed.
func (c *Client) Send(ctx context.Context, a Attempt, w http.ResponseWriter) Report {
	conns := c.pools.get(a.VM, a.Address, a.Idle)
	ctx, cancel := context.WithTimeoutCause(ctx, a.Run, ErrCut)
	defer cancel()
	ctx, stopWait := firstByteLimit(ctx, a.FirstByte)
	defer stopWait()

	var wrote atomic.Bool
	req, err := c.newRequest(traceWrites(ctx, &wrote, a.SendBy), a)
	if err != nil {
		return Report{Result: retry.NotSent, Cause: err}
	}
	resp, err := conns.transport(a.Reuse).RoundTrip(req)
	if err != nil {
		return c.failed(ctx, conns, err, wrote.Load())
	}
	defer resp.Body.Close()
	stopWait()
	return c.relay(conns, a, resp, w)
}

// firstByteLimit cancels the context with ErrFirstByte after the limit, unless
// the returned function is called before.
func firstByteLimit(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(ErrFirstByte) })
	return ctx, func() { timer.Stop() }
}

// traceWrites records whether a byte of the request may have been written. It
// closes the connection instead if it is too late to write one.
func traceWrites(ctx context.Context, wrote *atomic.Bool, sendBy time.Time) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !sendBy.IsZero() && time.Now().After(sendBy) {
				_ = info.Conn.Close()
				return
			}
			wrote.Store(true)
		},
	})
}

func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	target, err := url.ParseRequestURI(a.Target)
	if err != nil {
		return nil, errors.Wrap(err, "target of the request")
	}
	target.Scheme = "http"
	target.Host = a.Address
	req := &http.Request{
		Method:        a.Method,
		URL:           target,
		Host:          a.Address,
		Header:        upstreamHeader(a.Header),
		ContentLength: a.BodyBytes,
	}
	// A body that cannot be obtained again, even an empty one, keeps net/http
	// from sending the request a second time on its own.
	if a.BodyBytes != 0 || a.Reuse {
		req.Body = io.NopCloser(a.Body)
	}
	req.Header.Set(HeaderAttempt, c.attemptName(a.ID))
	req.Header.Set(HeaderTimeout, a.Run.String())
	// What a caller says of its team does not count.
	req.Header.Set(HeaderTeam, string(a.Team))
	return req.WithContext(ctx), nil
}

func (c *Client) attemptName(id vocab.AttemptID) string {
	return c.process + "-" + strconv.FormatUint(uint64(id), 10)
}

// failed classifies an attempt that got no answer.
func (c *Client) failed(ctx context.Context, conns *pool, err error, wrote bool) Report {
	report := Report{Result: retry.NotSent, Cause: err}
	if wrote {
		report.Result = retry.Unknown
	}
	if errors.Is(context.Cause(ctx), ErrFirstByte) {
		report.Cause = ErrFirstByte
		report.Silent = true
	}
	conns.distrust()
	return report
}
