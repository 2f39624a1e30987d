// Package node runs the reducer: one loop steps it with events, and many
// workers carry out its effects and turn their outcomes into events.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// eventBacklog is the number of events that may wait for the loop.
const eventBacklog = 8192

// ErrStopped is returned by calls of a node whose loop has ended.
var ErrStopped = errors.New("the node has stopped")

// Services are what a node talks to.
type Services struct {
	Log    services.Log
	VMs    services.VMList
	Pools  services.Pools
	Events EventLog
	// Peers calls other entry processes.
	Peers Peers
	// Workers runs tasks; nil if the platform has no workers.
	Workers services.Workers
}

// Peers calls other entry processes by the IP:port of their peer service.
type Peers interface {
	Exchange(ctx context.Context, address string, m gossip.Message) (gossip.Message, error)
	Borrow(ctx context.Context, address string, ask limit.LoanRequest) (limit.LoanReply, error)
	GiveBack(ctx context.Context, address string, r limit.LoanReturn) error
	FetchSnapshot(ctx context.Context, address string, folded vocab.Offset) (shared.Snapshot, bool, error)
}

// EventLog writes numbered events.
type EventLog interface {
	// Notice writes what the reducer asked for.
	Notice(n core.LogEvent)
	// Warn writes an event of the node itself.
	Warn(id core.LogEventID, subject string, err error)
}

// Node is one running entry node.
type Node struct {
	state    *core.State
	services Services
	started  time.Time
	events   chan event.Event
	queries  chan query
	stopped  chan struct{}
	requests *requestTable
	appends  chan core.Append
	metrics  *nodeMetrics
	calls    *callTable
	// unappended counts records that the log has not answered for.
	unappended atomic.Int64
}

// query reads the state from within the loop.
type query struct {
	read func(*core.State)
	done chan struct{}
}

// New returns a node that is not yet running.
func New(self core.Identity, services Services) *Node {
	return &Node{
		state:    core.New(self),
		services: services,
		started:  time.Now(),
		events:   make(chan event.Event, eventBacklog),
		queries:  make(chan query),
		stopped:  make(chan struct{}),
		requests: newRequestTable(),
		appends:  make(chan core.Append, eventBacklog),
		metrics:  newNodeMetrics(),
		calls:    newCallTable(),
	}
}

// Run runs the loop and the workers until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(n.stopped)
	go n.followLog(ctx)
	go n.followVMs(ctx)
	go n.appendRecords(ctx)
	go n.followTasks(ctx)
	if n.services.Workers != nil {
		go n.followWorkers(ctx)
	}
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-n.events:
			n.step(ev)
		case <-ticker.C:
			n.step(core.Tick{Unix: time.Now().Unix()})
		case q := <-n.queries:
			q.read(n.state)
			close(q.done)
		}
	}
}

// Post hands an event to the loop.
func (n *Node) Post(ev event.Event) {
	select {
	case n.events <- ev:
	case <-n.stopped:
	}
}

// Read calls read with the state between two steps. It fails with ErrStopped.
func (n *Node) Read(read func(*core.State)) error {
	q := query{read: read, done: make(chan struct{})}
	select {
	case n.queries <- q:
		<-q.done
		return nil
	case <-n.stopped:
		return ErrStopped
	}
}

// now reads the process's monotonic clock.
func (n *Node) now() vocab.Instant {
	return vocab.Instant(time.Since(n.started))
}

func (n *Node) step(ev event.Event) {
	now := n.now()
	n.metrics.steps.Inc()
	for _, effect := range n.state.Step(now, ev) {
		n.carryOut(effect)
	}
}

// Time returns the time of an instant of the reducer's clock.
func (n *Node) Time(i vocab.Instant) time.Time {
	return n.started.Add(time.Duration(i))
}

func (n *Node) carryOut(effect event.Effect) {
	switch e := effect.(type) {
	case core.Dispatch:
		n.requests.decide(e.Request, Decision{Dispatch: &e})
	case core.RespondProblem:
		n.metrics.refused(e.Problem)
		n.requests.decide(e.Request, Decision{Problem: &e.Problem})
	case core.Append:
		n.unappended.Add(1)
		n.appends <- e
	case maintenance.OrderDrain, maintenance.OrderReboot, maintenance.OrderAssign:
		go n.giveOrder(e)
	case core.SendGossip:
		go n.sendGossip(e)
	case core.ReplyGossip:
		n.calls.reply(e.Call, e.Message)
	case core.SendLoanRequest:
		go n.sendAsk(e)
	case core.SendLoanReturn:
		go n.sendReturn(e)
	case core.ReplyLoanRequest:
		n.calls.reply(e.Call, e.Reply)
	case core.TaskResponse:
		n.calls.reply(uint64(e.Request), e)
	case task.AppendRecords:
		go n.appendTasks(e)
	case task.OrderWorker:
		go n.orderWorker(e)
	case core.FetchSnapshot:
		go n.fetchSnapshot(e)
	case core.LogEvent:
		n.services.Events.Notice(e)
	}
}
