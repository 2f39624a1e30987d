package world

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	rpcTimeout   = 2 * time.Second
	lossRate     = 0.05
	doubleRate   = 0.05
	longDelay    = 3 * time.Second
	longRate     = 0.03
	usualLatency = 4 * time.Millisecond
)

// network carries messages between nodes.
type network struct {
	cut map[[2]vocab.NodeID]bool
}

func (w *world) isCut(a, b vocab.NodeID) bool {
	return w.net.cut[[2]vocab.NodeID{a, b}] || w.net.cut[[2]vocab.NodeID{b, a}]
}

// carry brings a message to the process at an address, if it arrives. In
// trouble it may be lost, come twice, or late. lost, if set, is called when the
// sender gives up.
func (w *world) carry(from vocab.NodeID, to string, deliver func(*entryNode), lost func()) {
	times := 1
	if w.trouble && w.chance(doubleRate) {
		times = 2
	}
	if w.trouble && w.chance(lossRate) {
		times = 0
	}
	arrived := false
	for range times {
		delay := w.between(time.Millisecond, usualLatency)
		if w.trouble && w.chance(longRate) {
			delay = w.between(0, longDelay)
		}
		w.after(delay, func() {
			n := w.at(to)
			if n == nil || w.isCut(from, n.name) {
				return
			}
			arrived = true
			n.receive(func() { deliver(n) })
		})
	}
	if lost != nil {
		w.after(rpcTimeout, func() {
			if !arrived {
				lost()
			}
		})
	}
}

// at returns the living process at an address.
func (w *world) at(to string) *entryNode {
	for _, n := range w.nodes {
		if !n.dead && address(n.name) == to {
			return n
		}
	}
	return nil
}

// call opens a call on the called side. The answer goes back once.
func (n *entryNode) open(answer func(event.Effect)) uint64 {
	n.lastRPC++
	n.rpcs[n.lastRPC] = answer
	return n.lastRPC
}

func (n *entryNode) reply(id uint64, e event.Effect) {
	answer, ok := n.rpcs[id]
	if !ok {
		n.w.fail("%s answers call %d twice", n.name, id)
		return
	}
	delete(n.rpcs, id)
	n.send(func() { answer(e) })
}

func (n *entryNode) sendGossip(e core.SendGossip) {
	n.w.carry(n.name, e.Address, func(to *entryNode) {
		id := to.open(func(reply event.Effect) {
			n.w.carry(to.name, address(n.name), func(back *entryNode) {
				if back == n {
					n.step(core.GossipReplied{Message: reply.(core.ReplyGossip).Message})
				}
			}, nil)
		})
		to.step(core.GossipArrived{Call: id, Message: e.Message})
	}, nil)
}

// sendAsk ends in exactly one answer or failure; an answer that comes after
// the time-out is dropped, as an HTTP client does.
func (n *entryNode) sendAsk(e core.SendLoanRequest) {
	ended := false
	end := func(ev event.Event) {
		if !ended {
			ended = true
			n.post(ev)
		}
	}
	n.w.carry(n.name, e.Address, func(to *entryNode) {
		id := to.open(func(reply event.Effect) {
			n.w.carry(to.name, address(n.name), func(back *entryNode) {
				if back == n {
					end(limit.LoanReplyArrived{Reply: reply.(core.ReplyLoanRequest).Reply})
				}
			}, nil)
		})
		to.step(core.LoanRequestArrived{Call: id, Request: e.Request})
	}, nil)
	n.w.after(rpcTimeout, func() { end(limit.LoanRequestFailed{Seq: e.Request.Seq}) })
}

func (n *entryNode) fetchSnapshot(e core.FetchSnapshot) {
	n.w.carry(n.name, e.Address, func(to *entryNode) {
		if to.state.Shared().Offset <= e.Folded {
			return
		}
		snap, err := to.state.Shared().Snapshot()
		if err != nil {
			n.w.fail("snapshot: %v", err)
		}
		n.w.carry(to.name, address(n.name), func(back *entryNode) {
			if back == n {
				n.step(core.SnapshotFetched{Snapshot: snap})
			}
		}, nil)
	}, nil)
}
