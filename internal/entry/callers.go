// Package entry serves callers and operators over HTTP.
package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/forward"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// replayableBytes is the largest body that is kept for a second attempt.
const replayableBytes = 64 << 10

// Callers serves the callers of one node.
type Callers struct {
	node    *node.Node
	forward *forward.Client
}

// NewCallers returns the callers' side of a node.
func NewCallers(n *node.Node, f *forward.Client) *Callers {
	return &Callers{node: n, forward: f}
}

// Handler returns the HTTP handler for callers.
func (c *Callers) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/:queue/tasks", c.submitTask)
	e.GET("/v1/tasks/:task", c.askTask)
	e.DELETE("/v1/tasks/:task", c.cancelTask)
	e.Any("/v1/:queue/*", c.serve)
	e.Any("/v1/:queue", c.serve)
	return e
}

// serve takes one request through the reducer's decisions to its answer.
func (c *Callers) serve(ec *echo.Context) error {
	w, r := ec.Response(), ec.Request()
	body, err := newBody(r)
	if err != nil {
		writeProblem(w, badBody())
		return nil
	}
	arrived := arrival(r, vocab.QueueID(ec.Param("queue")), body)
	pending := c.node.Submit(arrived)
	defer pending.Close()
	for {
		decision, err := pending.Next(r.Context())
		if err != nil {
			writeProblem(w, stopped())
			return nil
		}
		if decision.Problem != nil {
			writeProblem(w, *decision.Problem)
			return nil
		}
		if done := c.attempt(w, r, pending, *decision.Dispatch, arrived.Path, body); done {
			return nil
		}
	}
}

// attempt carries out one dispatch. It reports whether the request is done.
func (c *Callers) attempt(w http.ResponseWriter, r *http.Request, p *node.Pending, d core.Dispatch, path string, body *body) bool {
	// The attempt outlives a caller that goes away: its end tells when the
	// upstream is free again.
	report := c.forward.Send(context.WithoutCancel(r.Context()), forward.Attempt{
		ID:        d.Attempt,
		Team:      d.Team,
		VM:        d.VM,
		Address:   d.Address,
		Reuse:     d.Reuse,
		SendBy:    c.node.Time(d.SendBy),
		FirstByte: d.FirstByte,
		Run:       d.Run,
		Idle:      d.IdleConnections,
		Method:    r.Method,
		Target:    target(r, path),
		Header:    r.Header,
		Body:      body.reader(),
		BodyBytes: r.ContentLength,
	}, w)
	p.Ended(core.AttemptEnded{
		Attempt:           d.Attempt,
		Result:            report.Result,
		ResponseStarted:   report.Answering,
		Draining:          report.Draining,
		FirstByteTimedOut: report.Silent,
	})
	if report.Result == retry.Completed {
		return true
	}
	if report.Answering {
		// A broken connection is the only honest end of an answer that was cut.
		panic(http.ErrAbortHandler)
	}
	return false
}

func target(r *http.Request, path string) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

func arrival(r *http.Request, queue vocab.QueueID, b *body) core.RequestArrived {
	key, hash := credentials(r)
	return core.RequestArrived{
		Queue:      queue,
		Key:        key,
		SecretHash: hash,
		Method:     r.Method,
		Path:       pathAfterQueue(r),
		Timeout:    callerPatience(r),
		BodyBytes:  r.ContentLength,
		Replayable: b.replayable(),
	}
}

// callerPatience reads how long the caller waits; 0 if it does not say.
func callerPatience(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(forward.HeaderTimeout))
	if err != nil || d < 0 {
		return 0
	}
	return d
}

// body is a request's body. A small one is kept for a second attempt.
type body struct {
	kept   []byte
	stream io.Reader
}

func newBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 || r.ContentLength > replayableBytes {
		return &body{stream: r.Body}, nil
	}
	kept := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, kept); err != nil {
		return nil, err
	}
	return &body{kept: kept}, nil
}

func (b *body) replayable() bool {
	return b.stream == nil
}

func (b *body) reader() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.kept)
}
