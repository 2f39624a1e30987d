// Package node runs the reducer of an entry node. One loop passes events to the
// reducer; other goroutines execute its effects and post the results as events.
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

// queueCapacity is the maximum number of events that wait for the loop, and of
// records that wait to be appended.
const queueCapacity = 8192

// ErrStopped is returned by calls to a node whose loop has ended.
var ErrStopped = errors.New("the node has stopped")

// Services holds the services that a node uses.
type Services struct {
	Log    services.Log
	VMs    services.VMList
	Pools  services.Pools
	Events EventLog
	// Peers calls other entry processes.
	Peers Peers
	// Workers runs tasks. It is nil if the platform has no workers.
	Workers services.Workers
}

// Peers calls other entry processes. An address is the IP:port of the peer
// service of a process.
type Peers interface {
	Exchange(ctx context.Context, address string, m gossip.Message) (gossip.Message, error)
	Borrow(ctx context.Context, address string, request limit.LoanRequest) (limit.LoanReply, error)
	GiveBack(ctx context.Context, address string, r limit.LoanReturn) error
	FetchSnapshot(ctx context.Context, address string, folded vocab.Offset) (shared.Snapshot, bool, error)
}

// EventLog writes log events, which are numbered.
type EventLog interface {
	// Write writes a log event of the reducer.
	Write(e core.LogEvent)
	// Warn writes a log event of the node itself.
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
	// pendingAppends counts the records that wait to be appended or are being
	// appended.
	pendingAppends atomic.Int64
}

// query is a function that the loop calls with the state. The loop closes done
// afterwards.
type query struct {
	read func(*core.State)
	done chan struct{}
}

// New returns a node. Run starts it.
func New(self core.Identity, services Services) *Node {
	return &Node{
		state:    core.New(self),
		services: services,
		started:  time.Now(),
		events:   make(chan event.Event, queueCapacity),
		queries:  make(chan query),
		stopped:  make(chan struct{}),
		requests: newRequestTable(),
		appends:  make(chan core.Append, queueCapacity),
		metrics:  newNodeMetrics(),
		calls:    newCallTable(),
	}
}

// Run runs the loop and the other goroutines until the context ends.
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

// Post queues an event for the loop. It waits while the queue is full, and drops
// the event if the loop has ended.
func (n *Node) Post(ev event.Event) {
	select {
	case n.events <- ev:
	case <-n.stopped:
	}
}

// Read calls read with the state, on the loop and between two steps. It fails
// with ErrStopped if the loop has ended.
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

// now returns the current instant of the reducer's clock, which is monotonic and
// starts with the node.
func (n *Node) now() vocab.Instant {
	return vocab.Instant(time.Since(n.started))
}

func (n *Node) step(ev event.Event) {
	now := n.now()
	n.metrics.steps.Inc()
	for _, effect := range n.state.Step(now, ev) {
		n.execute(effect)
	}
}

// Time converts an instant of the reducer's clock to a time.
func (n *Node) Time(i vocab.Instant) time.Time {
	return n.started.Add(time.Duration(i))
}

// execute executes an effect of the reducer. All effects that may block run on
// their own goroutine, except that a full queue of appends blocks the loop.
func (n *Node) execute(effect event.Effect) {
	switch e := effect.(type) {
	case core.Dispatch:
		n.requests.deliver(e.Request, Decision{Dispatch: &e})
	case core.RespondProblem:
		n.metrics.countProblem(e.Problem)
		n.requests.deliver(e.Request, Decision{Problem: &e.Problem})
	case core.Append:
		n.pendingAppends.Add(1)
		n.appends <- e
	case maintenance.OrderDrain, maintenance.OrderReboot, maintenance.OrderAssign:
		go n.sendOrder(e)
	case core.SendGossip:
		go n.sendGossip(e)
	case core.ReplyGossip:
		n.calls.reply(e.Call, e.Message)
	case core.SendLoanRequest:
		go n.sendLoanRequest(e)
	case core.SendLoanReturn:
		go n.sendLoanReturn(e)
	case core.ReplyLoanRequest:
		n.calls.reply(e.Call, e.Reply)
	case core.TaskResponse:
		n.calls.reply(uint64(e.Request), e)
	case task.AppendRecords:
		go n.appendTaskRecords(e)
	case task.OrderWorker:
		go n.orderWorker(e)
	case core.FetchSnapshot:
		go n.fetchSnapshot(e)
	case core.LogEvent:
		n.services.Events.Write(e)
	}
}
