package node

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Decision is what the reducer decided about a request: exactly one field is set.
type Decision struct {
	// Dispatch asks for an attempt.
	Dispatch *core.Dispatch
	// Problem is the final answer.
	Problem *core.Problem
}

// Pending is a request that waits for decisions.
type Pending struct {
	ID        vocab.RequestID
	decisions chan Decision
	node      *Node
}

// requestTable finds the waiting handler of a request.
type requestTable struct {
	last    atomic.Uint64
	mu      sync.Mutex
	waiting map[vocab.RequestID]*Pending
}

func newRequestTable() *requestTable {
	return &requestTable{waiting: map[vocab.RequestID]*Pending{}}
}

// decide hands a decision to the request's handler. A request has at most one
// decision outstanding, so the channel never blocks the loop.
func (t *requestTable) decide(id vocab.RequestID, d Decision) {
	t.mu.Lock()
	p := t.waiting[id]
	t.mu.Unlock()
	if p != nil {
		p.decisions <- d
	}
}

// Submit hands a request to the reducer and returns a handle for its decisions.
// The request's ID is set by this call. Close must be called at the end.
func (n *Node) Submit(arrived core.RequestArrived) *Pending {
	arrived.Request = vocab.RequestID(n.requests.last.Add(1))
	p := &Pending{ID: arrived.Request, decisions: make(chan Decision, 2), node: n}
	n.requests.mu.Lock()
	n.requests.waiting[p.ID] = p
	n.requests.mu.Unlock()
	n.Post(arrived)
	return p
}

// Next waits for the next decision. If the context ends first, the reducer is
// told that the caller went away; a decision that was already on its way is
// still returned. It fails with ErrStopped or the context's error.
func (p *Pending) Next(ctx context.Context) (Decision, error) {
	select {
	case d := <-p.decisions:
		return d, nil
	case <-p.node.stopped:
		return Decision{}, ErrStopped
	case <-ctx.Done():
	}
	p.node.Post(core.RequestAbandoned{Request: p.ID})
	// The loop has taken the event once a later read has run; after that no
	// dispatch can follow.
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

// Ended reports the end of an attempt.
func (p *Pending) Ended(e core.AttemptEnded) {
	p.node.Post(e)
}

// Close forgets the request.
func (p *Pending) Close() {
	p.node.requests.mu.Lock()
	defer p.node.requests.mu.Unlock()
	delete(p.node.requests.waiting, p.ID)
}
