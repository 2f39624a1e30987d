package simulation

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The rates are probabilities for each message while message faults are enabled.
const (
	rpcTimeout      = 2 * time.Second
	lossRate        = 0.05
	duplicateRate   = 0.05
	maxLongDelay    = 3 * time.Second
	longDelayRate   = 0.03
	maxUsualLatency = 4 * time.Millisecond
)

// network carries messages between nodes.
type network struct {
	// partitioned holds the pairs of nodes that don't reach each other, in any order.
	partitioned map[[2]vocab.NodeID]bool
}

func (sim *simulation) isPartitioned(a, b vocab.NodeID) bool {
	return sim.net.partitioned[[2]vocab.NodeID{a, b}] || sim.net.partitioned[[2]vocab.NodeID{b, a}]
}

// deliver delivers a message to the process at an address by a call of handle. While
// message faults are enabled, the message may be lost, duplicated or delayed for long.
// onLost, if not nil, is called after rpcTimeout if the message has not arrived.
func (sim *simulation) deliver(from vocab.NodeID, to string, handle func(*entryNode), onLost func()) {
	copies := 1
	if sim.messageFaults && sim.chance(duplicateRate) {
		copies = 2
	}
	if sim.messageFaults && sim.chance(lossRate) {
		copies = 0
	}
	arrived := false
	for range copies {
		delay := sim.randomDuration(time.Millisecond, maxUsualLatency)
		if sim.messageFaults && sim.chance(longDelayRate) {
			delay = sim.randomDuration(0, maxLongDelay)
		}
		sim.schedule(delay, func() {
			n := sim.nodeAt(to)
			if n == nil || sim.isPartitioned(from, n.name) {
				return
			}
			arrived = true
			n.runWhenActive(func() { handle(n) })
		})
	}
	if onLost != nil {
		sim.schedule(rpcTimeout, func() {
			if !arrived {
				onLost()
			}
		})
	}
}

// nodeAt returns the running process at an address, or nil.
func (sim *simulation) nodeAt(to string) *entryNode {
	for _, n := range sim.nodes {
		if !n.dead && address(n.name) == to {
			return n
		}
	}
	return nil
}

// openRPC registers a received call and returns its ID. The node must reply at most once.
func (n *entryNode) openRPC(reply func(event.Effect)) uint64 {
	n.lastRPC++
	n.openRPCs[n.lastRPC] = reply
	return n.lastRPC
}

// replyRPC sends the reply to a received call.
func (n *entryNode) replyRPC(id uint64, e event.Effect) {
	reply, ok := n.openRPCs[id]
	if !ok {
		n.sim.fail("%s replies to call %d twice", n.name, id)
		return
	}
	delete(n.openRPCs, id)
	n.executeSoon(func() { reply(e) })
}

func (n *entryNode) sendGossip(e core.SendGossip) {
	n.sim.deliver(n.name, e.Address, func(to *entryNode) {
		id := to.openRPC(func(reply event.Effect) {
			n.sim.deliver(to.name, address(n.name), func(back *entryNode) {
				if back == n {
					n.step(core.GossipReplied{Message: reply.(core.ReplyGossip).Message})
				}
			}, nil)
		})
		to.step(core.GossipArrived{Call: id, Message: e.Message})
	}, nil)
}

// sendLoanRequest sends a loan request. The sender gets exactly one reply or failure: a
// reply after the timeout is dropped, as by an HTTP client.
func (n *entryNode) sendLoanRequest(e core.SendLoanRequest) {
	ended := false
	end := func(ev event.Event) {
		if !ended {
			ended = true
			n.post(ev)
		}
	}
	n.sim.deliver(n.name, e.Address, func(to *entryNode) {
		id := to.openRPC(func(reply event.Effect) {
			n.sim.deliver(to.name, address(n.name), func(back *entryNode) {
				if back == n {
					end(limit.LoanReplyArrived{Reply: reply.(core.ReplyLoanRequest).Reply})
				}
			}, nil)
		})
		to.step(core.LoanRequestArrived{Call: id, Request: e.Request})
	}, nil)
	n.sim.schedule(rpcTimeout, func() { end(limit.LoanRequestFailed{Seq: e.Request.Seq}) })
}

func (n *entryNode) fetchSnapshot(e core.FetchSnapshot) {
	n.sim.deliver(n.name, e.Address, func(to *entryNode) {
		if to.state.Shared().Offset <= e.Folded {
			return
		}
		snap, err := to.state.Shared().Snapshot()
		if err != nil {
			n.sim.fail("snapshot: %v", err)
		}
		n.sim.deliver(to.name, address(n.name), func(back *entryNode) {
			if back == n {
				n.step(core.SnapshotFetched{Snapshot: snap})
			}
		}, nil)
	}, nil)
}
