// Package entry implements the HTTP APIs of an entry node for callers and for
// operators.
package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/sardinehead/sardinehead/internal/bodylimit"
	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/forward"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxReplayableBytes is the size up to which a request body is buffered, so that
// it can be sent again in another attempt.
const maxReplayableBytes = 64 << 10

// Callers implements the HTTP API for callers.
type Callers struct {
	node    *node.Node
	forward *forward.Client
}

// NewCallers returns the caller API of node n. It sends requests to upstreams
// with client f.
func NewCallers(n *node.Node, f *forward.Client) *Callers {
	return &Callers{node: n, forward: f}
}

// Handler returns the HTTP handler of the caller API.
func (c *Callers) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/:queue/tasks", c.submitTask)
	e.GET("/v1/tasks/:task", c.getTask)
	e.DELETE("/v1/tasks/:task", c.cancelTask)
	e.Any("/v1/:queue/*", c.serve)
	e.Any("/v1/:queue", c.serve)
	return e
}

// serve submits a request to the node and carries out the node's decisions until
// a response has been sent.
func (c *Callers) serve(ec *echo.Context) error {
	w, r := ec.Response(), ec.Request()
	body, err := newBody(r)
	if err != nil {
		writeProblem(w, bodyProblem(err))
		return nil
	}
	request := newRequestArrived(r, vocab.QueueID(ec.Param("queue")), body)
	pending := c.node.Submit(request)
	defer pending.Close()
	for {
		decision, err := pending.Next(r.Context())
		if err != nil {
			writeProblem(w, nodeStoppedProblem())
			return nil
		}
		if decision.Problem != nil {
			writeProblem(w, *decision.Problem)
			return nil
		}
		if complete := c.attempt(w, r, pending, *decision.Dispatch, request.Path, body); complete {
			return nil
		}
	}
}

// attempt sends the request to the upstream that the node selected and relays
// the response. It reports whether the request is complete.
func (c *Callers) attempt(w http.ResponseWriter, r *http.Request, p *node.Pending, d core.Dispatch, path string, body *body) bool {
	// The attempt continues if the caller disconnects, because the slot of the
	// upstream is free only after the attempt has ended.
	report := c.forward.Send(context.WithoutCancel(r.Context()), forward.Attempt{
		ID:              d.Attempt,
		Team:            d.Team,
		VM:              d.VM,
		Address:         d.Address,
		Reuse:           d.Reuse,
		SendBy:          c.node.Time(d.SendBy),
		FirstByte:       d.FirstByte,
		Run:             d.Run,
		IdleConnections: d.IdleConnections,
		Method:          r.Method,
		Target:          upstreamTarget(r, path),
		Header:          r.Header,
		Body:            body.reader(),
		BodyBytes:       r.ContentLength,
	}, w)
	p.ReportAttemptEnd(core.AttemptEnded{
		Attempt:           d.Attempt,
		Result:            report.Result,
		ResponseStarted:   report.ResponseStarted,
		Draining:          report.Draining,
		FirstByteTimedOut: report.FirstByteTimedOut,
	})
	if report.Result == retry.Completed {
		return true
	}
	if report.ResponseStarted {
		// Part of the response has been sent already. Aborting the connection
		// is the only way to show the caller that the response is truncated.
		panic(http.ErrAbortHandler)
	}
	return false
}

// upstreamTarget returns the path and query of the request to the upstream.
func upstreamTarget(r *http.Request, path string) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// newRequestArrived returns the event that submits request r to the queue.
func newRequestArrived(r *http.Request, queue vocab.QueueID, b *body) core.RequestArrived {
	key, hash := credentials(r)
	return core.RequestArrived{
		Queue:      queue,
		Key:        key,
		SecretHash: hash,
		Method:     r.Method,
		Path:       pathAfterQueue(r),
		Timeout:    callerTimeout(r),
		BodyBytes:  r.ContentLength,
		Replayable: b.replayable(),
	}
}

// callerTimeout returns the timeout that the caller specified in the request; 0
// if there is no valid one.
func callerTimeout(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(forward.HeaderTimeout))
	if err != nil || d < 0 {
		return 0
	}
	return d
}

// body is the body of a request. Only one of its fields is used.
type body struct {
	// buffered holds a body with a declared length of at most
	// maxReplayableBytes.
	buffered []byte
	// stream is any other body. It can be read only once.
	stream io.Reader
}

// newBody returns the body of r and buffers it if it is small enough. Buffering
// fails if the body ends before its declared length.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 || r.ContentLength > maxReplayableBytes {
		return &body{stream: r.Body}, nil
	}
	bodylimit.Keep(r)
	// The memory is taken as the body arrives.
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxReplayableBytes))
	if err != nil {
		return nil, err
	}
	if int64(len(buffered)) != r.ContentLength {
		return nil, io.ErrUnexpectedEOF
	}
	return &body{buffered: buffered}, nil
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool {
	return b.stream == nil
}

// reader returns a reader for one attempt.
func (b *body) reader() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.buffered)
}
