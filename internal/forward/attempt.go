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
	// HeaderAttempt carries the name of the attempt. If an upstream echoes it in
	// the response, a late response to an earlier attempt is recognized.
	HeaderAttempt = "Sardinehead-Attempt"
	// HeaderOutcome with the value "not-run" states that the upstream did not run
	// the request.
	HeaderOutcome = "Sardinehead-Outcome"
	// HeaderDraining with the value "true" states that the upstream is draining.
	HeaderDraining = "Sardinehead-Draining"
	// HeaderTeam carries the team to which the request is accounted.
	HeaderTeam = "Sardinehead-Team"
	// HeaderTimeout carries the remaining time for the request, such as "2.5s".
	HeaderTimeout = "Sardinehead-Timeout"
)

// Attempt describes one attempt to send a request to an upstream.
type Attempt struct {
	ID   vocab.AttemptID
	Team vocab.TeamID
	VM   vocab.VMID
	// Address is the host and port of the upstream.
	Address string
	// Reuse allows the use of a connection that has served another request.
	Reuse bool
	// SendBy is the latest time at which the first byte may be written; zero for
	// no bound.
	SendBy time.Time
	// FirstByte is the timeout for the first byte of the response.
	FirstByte time.Duration
	// Run is the timeout for the whole attempt.
	Run time.Duration
	// IdleConnections is the maximum number of idle connections to the VM.
	IdleConnections int

	Method string
	// Target is the path and query of the request to the upstream.
	Target string
	Header http.Header
	Body   io.Reader
	// BodyBytes is the length of the body; -1 if unknown.
	BodyBytes int64
}

// Report describes the end of an attempt.
type Report struct {
	// Result states what is known about the attempt's effect.
	Result retry.Result
	// ResponseStarted is set if part of a response has been sent to the caller.
	ResponseStarted bool
	// Draining is set if the upstream reported that it is draining.
	Draining bool
	// FirstByteTimedOut is set if the first byte of the response did not arrive in time.
	FirstByteTimedOut bool
	// Cause is the error that ended the attempt; nil on success.
	Cause error
}

// ErrFirstByteTimeout is the cause of an attempt without a first byte of the
// response in time.
var ErrFirstByteTimeout = errors.New("no first byte of the response in time")

// ErrUnframed is the cause of an attempt whose response had neither a
// Content-Length nor the chunked encoding, so that a truncated body could not be
// detected.
var ErrUnframed = errors.New("the response has neither a length nor the chunked encoding")

// ErrWrongAttempt is the cause of an attempt that received the response to another
// attempt.
var ErrWrongAttempt = errors.New("the response belongs to another attempt")

// ErrTruncated is the cause of an attempt whose response ended early.
var ErrTruncated = errors.New("the response is truncated")

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	connPools connPools
	// process is the prefix of attempt names.
	process string
}

// New returns a client. Attempt names start with the name of the process, so that
// those of different processes differ.
func New(process string) *Client {
	return &Client{connPools: connPools{byVM: map[vocab.VMID]*connPool{}}, process: process}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.connPools.mu.Lock()
	defer c.connPools.mu.Unlock()
	for _, p := range c.connPools.byVM {
		p.closeIdle()
	}
}

// Send carries out an attempt and relays the response to w. It returns when the
// response is complete or the attempt has failed.
func (c *Client) Send(ctx context.Context, a Attempt, w http.ResponseWriter) Report {
	conns := c.connPools.get(a.VM, a.Address, a.IdleConnections)
	ctx, cancel := context.WithTimeoutCause(ctx, a.Run, ErrTruncated)
	defer cancel()
	ctx, stopTimer := withFirstByteTimeout(ctx, a.FirstByte)
	defer stopTimer()

	var mayHaveWritten atomic.Bool
	req, err := c.newRequest(withSendDeadline(ctx, &mayHaveWritten, a.SendBy), a)
	if err != nil {
		return Report{Result: retry.NotSent, Cause: err}
	}
	resp, err := conns.transportFor(a.Reuse).RoundTrip(req)
	if err != nil {
		return c.classifyFailure(ctx, conns, err, mayHaveWritten.Load())
	}
	defer resp.Body.Close()
	stopTimer()
	return c.relay(conns, a, resp, w)
}

// withFirstByteTimeout returns a context that is canceled with the cause
// ErrFirstByteTimeout after the timeout, and a function that stops the timer.
func withFirstByteTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrFirstByteTimeout) })
	return ctx, func() { timer.Stop() }
}

// withSendDeadline returns a context under which a request closes its connection
// instead of writing to it after sendBy. Otherwise mayHaveWritten is set before the
// first byte is written.
func withSendDeadline(ctx context.Context, mayHaveWritten *atomic.Bool, sendBy time.Time) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !sendBy.IsZero() && time.Now().After(sendBy) {
				_ = info.Conn.Close()
				return
			}
			mayHaveWritten.Store(true)
		},
	})
}

// newRequest returns the HTTP request of an attempt.
func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	target, err := url.ParseRequestURI(a.Target)
	if err != nil {
		return nil, errors.Wrap(err, "invalid request target")
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
	// net/http sends a request again on its own if it can obtain the body again.
	// A body without GetBody, even an empty one, prevents that.
	if a.BodyBytes != 0 || a.Reuse {
		req.Body = io.NopCloser(a.Body)
	}
	req.Header.Set(HeaderAttempt, c.attemptName(a.ID))
	req.Header.Set(HeaderTimeout, a.Run.String())
	// The team is that of the caller's API key, whatever header the caller sent.
	req.Header.Set(HeaderTeam, string(a.Team))
	return req.WithContext(ctx), nil
}

// attemptName returns the value of HeaderAttempt for an attempt.
func (c *Client) attemptName(id vocab.AttemptID) string {
	return c.process + "-" + strconv.FormatUint(uint64(id), 10)
}

// classifyFailure returns the report of an attempt that got no response. The
// upstream may have run the request if any byte of the request may have been
// written.
func (c *Client) classifyFailure(ctx context.Context, conns *connPool, err error, mayHaveWritten bool) Report {
	report := Report{Result: retry.NotSent, Cause: err}
	if mayHaveWritten {
		report.Result = retry.Unknown
	}
	if errors.Is(context.Cause(ctx), ErrFirstByteTimeout) {
		report.Cause = ErrFirstByteTimeout
		report.FirstByteTimedOut = true
	}
	conns.suspendReuse()
	return report
}
