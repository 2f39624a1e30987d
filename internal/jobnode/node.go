package jobnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrTrimmed means that the stream no longer retains the records at an offset.
var ErrTrimmed = errors.New("the stream no longer retains the offset")

// ErrStopped means that the node's loop has ended.
var ErrStopped = errors.New("the node has stopped")

// eventQueueSize bounds the events that are queued for the loop.
const eventQueueSize = 4096

// Node runs the reducer of the job service on an entry node. One loop owns the state; all
// calls that may block run beside it and post their results as events.
type Node struct {
	state    *job.State
	platform Platform
	log      Log
	metrics  *nodeMetrics
	events   chan event.Event
	reads    chan func(*job.State)
	done     chan struct{}
	lastCall atomic.Uint64

	mu           sync.Mutex
	pendingCalls map[job.CallID]chan job.Reply

	ready  atomic.Bool
	owning atomic.Bool
	// orders holds the permits of orders to machines.
	orders orderPermits
	// Followers that the reducer starts and stops.
	workersSubscription, directorySubscription subscription
}

// New returns a node whose loop is not running; Run starts it.
func New(self job.Identity, settings job.Settings, p Platform, log Log) *Node {
	return &Node{
		state: job.New(self, settings), platform: p, log: log, metrics: newNodeMetrics(),
		events: make(chan event.Event, eventQueueSize), reads: make(chan func(*job.State)), done: make(chan struct{}),
		pendingCalls: map[job.CallID]chan job.Reply{},
	}
}

// Ready reports whether the node can serve new callers, so that load balancers may send them
// to it.
func (n *Node) Ready() bool { return n.ready.Load() }

// Owning reports whether the node is the owner of the workers and has completed its takeover.
func (n *Node) Owning() bool { return n.owning.Load() }

// Now returns the time since the kernel booted, which also advances while the process or its VM
// is suspended.
func Now() vocab.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported Linux version has this clock.
		panic(errors.Wrap(err, "reading the boot-time clock"))
	}
	return vocab.Instant(ts.Nano())
}

// Run runs the loop until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	go n.follow(ctx, func() {
		n.platform.Operators.FollowConfig(ctx,
			func(c *job.Config) { n.post(job.ConfigRead{Config: c}) },
			func(w job.Wave) { n.post(job.WaveRequested{Wave: w}) },
			func(e job.EvacuationsRead) { n.post(e) })
	})
	ticker := time.NewTicker(job.TickInterval)
	defer ticker.Stop()
	n.step(ctx, job.Tick{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-n.events:
			n.step(ctx, ev)
		case read := <-n.reads:
			read(n.state)
		case <-ticker.C:
			n.step(ctx, job.Tick{})
		}
	}
}

func (n *Node) step(ctx context.Context, ev event.Event) {
	for _, effect := range n.stepState(ev) {
		n.execute(ctx, effect)
	}
	n.ready.Store(n.state.Ready())
	n.owning.Store(n.state.Owning())
	n.metrics.steps.Inc()
}

// post queues an event for the loop. It blocks while the queue is full.
func (n *Node) post(ev event.Event) {
	select {
	case n.events <- ev:
	case <-n.done:
	}
}

// Read calls read with the reducer's state from the node's loop. read must not modify or
// retain the state.
func (n *Node) Read(read func(*job.State)) error {
	done := make(chan struct{})
	select {
	case n.reads <- func(s *job.State) {
		defer close(done)
		n.guard("a read of the state", func() { read(s) })
	}:
		<-done
		return nil
	case <-n.done:
		return ErrStopped
	}
}

// BeginStop reports to the reducer that the process is about to stop.
func (n *Node) BeginStop() { n.post(job.Stopping{}) }

// ReceiveOwnershipOffer reports to the reducer that the owner with this fencing token offers the
// ownership.
func (n *Node) ReceiveOwnershipOffer(fence job.Fence) { n.post(job.OwnershipOffered{Fence: fence}) }

// PrepareForOwnership lets the reducer prepare for the ownership of the owner with this fencing
// token, and reports whether it may be appointed and how many of the workers respond to this node.
func (n *Node) PrepareForOwnership(ctx context.Context, fence job.Fence, probes []job.Probe) (ready bool, reached int, err error) {
	reply, err := n.call(ctx, func(id job.CallID) event.Event { return job.HandoverRequested{Call: id, Fence: fence} })
	if err != nil || reply.Answer != job.Accepted {
		return false, 0, err
	}
	return true, n.reach(ctx, probes), nil
}

// probeTimeout bounds the wait for the workers that another node asks about.
const probeTimeout = 250 * time.Millisecond

// reach returns the number of workers that respond to this node. The polls have the lowest fencing
// token, so that workers that have an owner refuse them: a refusal is a response.
func (n *Node) reach(ctx context.Context, probes []job.Probe) int {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reached atomic.Int64
	var all sync.WaitGroup
	for _, p := range probes {
		all.Go(func() {
			n.guard("a probe of a worker", func() {
				polled := n.platform.Workers.Poll(ctx, job.Poll{Worker: p.Worker, Address: p.Address, Incarnation: p.Incarnation})
				if polled.Outcome != job.Unknown && polled.Outcome != job.NotDone {
					reached.Add(1)
				}
			})
		})
	}
	all.Wait()
	return int(reached.Load())
}

// Call posts the event that request returns for the ID of the call to the reducer, and waits for
// the reply. about is the job that the call concerns; it is empty for a call about a queue. A call
// without a reply is logged with the reason.
func (n *Node) Call(ctx context.Context, about job.ID, request func(job.CallID) event.Event) (job.Reply, error) {
	receivedAt := Now()
	reply, err := n.call(ctx, request)
	if err != nil {
		n.log.Write(job.LogEvent{ID: job.LogCallUnanswered, Fields: []any{
			"job", about, "error", err.Error(), "after_ms", Now().Sub(receivedAt).Milliseconds(),
		}})
	}
	return reply, err
}

func (n *Node) call(ctx context.Context, request func(job.CallID) event.Event) (job.Reply, error) {
	id := job.CallID(n.lastCall.Add(1))
	replies := n.registerCall(id)
	defer n.unregisterCall(id)
	select {
	case n.events <- request(id):
	case <-ctx.Done():
		return job.Reply{}, ctx.Err()
	case <-n.done:
		return job.Reply{}, ErrStopped
	}
	select {
	case reply := <-replies:
		n.metrics.countReply(reply)
		return reply, nil
	case <-ctx.Done():
		return job.Reply{}, ctx.Err()
	case <-n.done:
		return job.Reply{}, ErrStopped
	}
}

func (n *Node) registerCall(id job.CallID) chan job.Reply {
	replies := make(chan job.Reply, 1)
	n.mu.Lock()
	n.pendingCalls[id] = replies
	n.mu.Unlock()
	return replies
}

func (n *Node) unregisterCall(id job.CallID) {
	n.mu.Lock()
	delete(n.pendingCalls, id)
	n.mu.Unlock()
}

func (n *Node) deliver(r job.Reply) {
	n.mu.Lock()
	replies := n.pendingCalls[r.Call]
	n.mu.Unlock()
	select {
	case replies <- r:
	default:
		// The call already has a reply, or its caller has disconnected.
	}
}
