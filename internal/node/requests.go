package node

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Decision is a decision of the reducer about a request. Exactly one field is set.
type Decision struct {
	// Dispatch starts an attempt.
	Dispatch *core.Dispatch
	// Problem is the final response.
	Problem *core.Problem
}

// Pending is a submitted request, through which the caller of Submit receives
// decisions and reports the ends of attempts.
type Pending struct {
	ID        vocab.RequestID
	decisions chan Decision
	node      *Node
}

// requestTable holds the requests that are not closed.
type requestTable struct {
	lastID atomic.Uint64
	mu     sync.Mutex
	byID   map[vocab.RequestID]*Pending
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[vocab.RequestID]*Pending{}}
}

// deliver sends a decision to the handler of the request. A request has at most
// one decision outstanding, so the channel never blocks the loop.
func (t *requestTable) deliver(id vocab.RequestID, d Decision) {
	t.mu.Lock()
	p := t.byID[id]
	t.mu.Unlock()
	if p != nil {
		p.decisions <- d
	}
}

// Submit passes a request to the reducer and returns a handle for the decisions.
// It sets the request's ID. The handle must be closed at the end.
func (n *Node) Submit(arrived core.RequestArrived) *Pending {
	arrived.Request = vocab.RequestID(n.requests.lastID.Add(1))
	p := &Pending{ID: arrived.Request, decisions: make(chan Decision, 2), node: n}
	n.requests.mu.Lock()
	n.requests.byID[p.ID] = p
	n.requests.mu.Unlock()
	n.Post(arrived)
	return p
}

// Next waits for the next decision. If the context ends first, it reports to the
// reducer that the caller abandoned the request, and still returns a decision
// that was made before. It fails with ErrStopped or the context's error.
func (p *Pending) Next(ctx context.Context) (Decision, error) {
	select {
	case d := <-p.decisions:
		return d, nil
	case <-p.node.stopped:
		return Decision{}, ErrStopped
	case <-ctx.Done():
	}
	p.node.Post(core.RequestAbandoned{Request: p.ID})
	// Wait for the loop: after it has processed the event, no dispatch can follow.
	if err := p.node.Read(func(*core.State) {}); err != nil {
		return Decision{}, err
	}
	select {
	case d := <-p.decisions:
		return d, nil
	default:
		return Decision{}, ctx.Err()
	}
}

// ReportAttemptEnd reports the end of an attempt.
func (p *Pending) ReportAttemptEnd(e core.AttemptEnded) {
	p.node.Post(e)
}

// Close removes the request. Later decisions are dropped.
func (p *Pending) Close() {
	p.node.requests.mu.Lock()
	defer p.node.requests.mu.Unlock()
	delete(p.node.requests.byID, p.ID)
}
