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

// callTable holds the calls that wait for a reply of the reducer.
type callTable struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan any
}

func newCallTable() *callTable {
	return &callTable{waiting: map[uint64]chan any{}}
}

// open adds a call and returns its ID and the channel for its reply.
func (t *callTable) open() (uint64, chan any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	reply := make(chan any, 1)
	t.waiting[t.lastID] = reply
	return t.lastID, reply
}

// close removes a call that needs no reply any more.
func (t *callTable) close(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// reply delivers the reply to a call, if the call still waits. It never blocks
// the loop: each channel has room for its only reply.
func (t *callTable) reply(id uint64, reply any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting, ok := t.waiting[id]; ok {
		waiting <- reply
		delete(t.waiting, id)
	}
}

// Exchange passes a peer's gossip to the reducer and returns the reply. It
// implements peer.Backend.
func (n *Node) Exchange(ctx context.Context, m gossip.Message) (gossip.Message, error) {
	id, reply := n.calls.open()
	defer n.calls.close(id)
	n.Post(core.GossipArrived{Call: id, Message: m})
	return awaitReply[gossip.Message](ctx, n, reply)
}

// Borrow passes a loan request to the reducer and returns the reply. It implements
// peer.Backend.
func (n *Node) Borrow(ctx context.Context, request limit.LoanRequest) (limit.LoanReply, error) {
	id, reply := n.calls.open()
	defer n.calls.close(id)
	n.Post(core.LoanRequestArrived{Call: id, Request: request})
	return awaitReply[limit.LoanReply](ctx, n, reply)
}

// GiveBack passes a loan return to the reducer. It implements peer.Backend.
func (n *Node) GiveBack(_ context.Context, r limit.LoanReturn) error {
	n.Post(limit.LoanReturnArrived{Return: r})
	return nil
}

// Snapshot returns a snapshot of the shared state, or false if this node has
// folded no record after the offset folded. It implements peer.Backend.
func (n *Node) Snapshot(_ context.Context, folded vocab.Offset) (shared.Snapshot, bool, error) {
	var snap shared.Snapshot
	var snapErr error
	err := n.Read(func(s *core.State) {
		if s.Shared().Offset > folded {
			snap, snapErr = s.Shared().Snapshot()
		}
	})
	if err == nil {
		err = snapErr
	}
	return snap, snap.Offset > folded, err
}

// awaitReply waits for the reply to a call. It fails with ErrStopped or the
// context's error.
func awaitReply[T any](ctx context.Context, n *Node, reply chan any) (T, error) {
	var zero T
	select {
	case r := <-reply:
		return r.(T), nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.stopped:
		return zero, ErrStopped
	}
}

func (n *Node) sendGossip(e core.SendGossip) {
	reply, err := n.services.Peers.Exchange(context.Background(), e.Address, e.Message)
	if err == nil {
		n.Post(core.GossipReplied{Message: reply})
	}
}

func (n *Node) sendLoanRequest(e core.SendLoanRequest) {
	reply, err := n.services.Peers.Borrow(context.Background(), e.Address, e.Request)
	if err != nil {
		n.Post(limit.LoanRequestFailed{Seq: e.Request.Seq})
		return
	}
	n.Post(limit.LoanReplyArrived{Reply: reply})
}

// sendLoanReturn sends a loan return once. If it is lost, the loans expire with
// their leases.
func (n *Node) sendLoanReturn(e core.SendLoanReturn) {
	_ = n.services.Peers.GiveBack(context.Background(), e.Address, e.Return)
}

func (n *Node) fetchSnapshot(e core.FetchSnapshot) {
	snap, later, err := n.services.Peers.FetchSnapshot(context.Background(), e.Address, e.Folded)
	if err == nil && later {
		n.Post(core.SnapshotFetched{Snapshot: snap})
	}
}
