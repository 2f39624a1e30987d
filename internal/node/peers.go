package node

import (
	"context"
	"sync"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// callTable finds the waiting call of a peer.
type callTable struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan any
}

func newCallTable() *callTable {
	return &callTable{waiting: map[uint64]chan any{}}
}

func (t *callTable) open() (uint64, chan any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	answer := make(chan any, 1)
	t.waiting[t.last] = answer
	return t.last, answer
}

func (t *callTable) close(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// reply hands an answer to a call. It never blocks the loop.
func (t *callTable) reply(id uint64, answer any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting, ok := t.waiting[id]; ok {
		waiting <- answer
		delete(t.waiting, id)
	}
}

// Exchange takes in a peer's gossip. It implements peer.Backend.
func (n *Node) Exchange(ctx context.Context, m gossip.Message) (gossip.Message, error) {
	id, answer := n.calls.open()
	defer n.calls.close(id)
	n.Post(core.GossipArrived{Call: id, Message: m})
	return await[gossip.Message](ctx, n, answer)
}

// Borrow answers a borrower. It implements peer.Backend.
func (n *Node) Borrow(ctx context.Context, ask limit.LoanRequest) (limit.LoanReply, error) {
	id, answer := n.calls.open()
	defer n.calls.close(id)
	n.Post(core.LoanRequestArrived{Call: id, Request: ask})
	return await[limit.LoanReply](ctx, n, answer)
}

// GiveBack takes tokens back. It implements peer.Backend.
func (n *Node) GiveBack(_ context.Context, r limit.LoanReturn) error {
	n.Post(limit.LoanReturnArrived{Return: r})
	return nil
}

// Snapshot returns the shared state if it is later than the offset. It
// implements peer.Backend.
func (n *Node) Snapshot(_ context.Context, folded vocab.Offset) (shared.Snapshot, bool, error) {
	var snap shared.Snapshot
	var failed error
	err := n.Read(func(s *core.State) {
		if s.Shared().Offset > folded {
			snap, failed = s.Shared().Snapshot()
		}
	})
	if err == nil {
		err = failed
	}
	return snap, snap.Offset > folded, err
}

func await[T any](ctx context.Context, n *Node, answer chan any) (T, error) {
	var none T
	select {
	case a := <-answer:
		return a.(T), nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-n.stopped:
		return none, ErrStopped
	}
}

func (n *Node) sendGossip(e core.SendGossip) {
	answer, err := n.services.Peers.Exchange(context.Background(), e.Address, e.Message)
	if err == nil {
		n.Post(core.GossipReplied{Message: answer})
	}
}

func (n *Node) sendAsk(e core.SendLoanRequest) {
	answer, err := n.services.Peers.Borrow(context.Background(), e.Address, e.Request)
	if err != nil {
		n.Post(limit.LoanRequestFailed{Seq: e.Request.Seq})
		return
	}
	n.Post(limit.LoanReplyArrived{Reply: answer})
}

// sendReturn is not repeated: what it does not give back lapses with its lease.
func (n *Node) sendReturn(e core.SendLoanReturn) {
	_ = n.services.Peers.GiveBack(context.Background(), e.Address, e.Return)
}

func (n *Node) fetchSnapshot(e core.FetchSnapshot) {
	snap, later, err := n.services.Peers.FetchSnapshot(context.Background(), e.Address, e.Folded)
	if err == nil && later {
		n.Post(core.SnapshotFetched{Snapshot: snap})
	}
}
