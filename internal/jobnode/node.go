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

// ErrTrimmed means that the stream no longer keeps an offset.
var ErrTrimmed = errors.New("the offset is no longer kept")

// ErrStopped means that the node has ended.
var ErrStopped = errors.New("the node has stopped")

// queued bounds the events that wait for the loop.
const queued = 4096

// Node is the jobs side of one entry node.
type Node struct {
	state    *job.State
	platform Platform
	log      Log
	metrics  *nodeMetrics
	events   chan event.Event
	reads    chan func(*job.State)
	done     chan struct{}
	lastCall atomic.Uint64

	mu      sync.Mutex
	waiting map[job.CallID]chan job.Reply

	ready    atomic.Bool
	owning   atomic.Bool
	unfollow context.CancelFunc
}

// New returns a node that has not started.
func New(self job.Identity, set job.Settings, p Platform, log Log) *Node {
	return &Node{
		state: job.New(self, set), platform: p, log: log, metrics: newNodeMetrics(),
		events: make(chan event.Event, queued), reads: make(chan func(*job.State)), done: make(chan struct{}),
		waiting: map[job.CallID]chan job.Reply{},
	}
}

// Ready reports whether the node should get new callers.
func (n *Node) Ready() bool { return n.ready.Load() }

// Owning reports whether the node gives orders to the workers.
func (n *Node) Owning() bool { return n.owning.Load() }

// Now reads a clock that goes on while the process or its VM is suspended.
func Now() vocab.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux that runs this program has the clock.
		panic(errors.Wrap(err, "reading the boot-time clock"))
	}
	return vocab.Instant(ts.Nano())
}

// Run runs the loop until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	go n.platform.Operators.FollowConfig(ctx,
		func(c *job.Config) { n.post(job.ConfigRead{Config: c}) },
		func(w job.Wave) { n.post(job.WaveRequested{Wave: w}) })
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
	clock := job.Clock{Now: Now(), Wall: job.Millis(time.Now().UnixMilli())}
	for _, effect := range n.state.Step(clock, ev) {
		n.do(ctx, effect)
	}
	n.ready.Store(n.state.Ready())
	n.owning.Store(n.state.Owning())
	n.metrics.steps.Inc()
}

// post hands an event to the loop.
func (n *Node) post(ev event.Event) {
	select {
	case n.events <- ev:
	case <-n.done:
	}
}

// Read calls read with the reducer's state, which must not be kept or changed.
func (n *Node) Read(read func(*job.State)) error {
	done := make(chan struct{})
	select {
	case n.reads <- func(s *job.State) { read(s); close(done) }:
		<-done
		return nil
	case <-n.done:
		return ErrStopped
	}
}

// Stopping tells the reducer that the process is to end.
func (n *Node) Stopping() { n.post(job.Stopping{}) }

// Offered tells the reducer that the owner under a fence offers the ownership.
func (n *Node) Offered(fence job.Fence) { n.post(job.OwnershipOffered{Fence: fence}) }

// Call passes a caller's request about a job to the reducer and waits for the
// answer. A call that gets none is logged with the reason.
func (n *Node) Call(ctx context.Context, about job.ID, request func(job.CallID) event.Event) (job.Reply, error) {
	cameAt := Now()
	reply, err := n.call(ctx, request)
	if err != nil {
		n.log.Note(job.LogEvent{ID: job.LogCallUnanswered, Fields: []any{
			"job", about, "error", err.Error(), "after_ms", Now().Sub(cameAt).Milliseconds(),
		}})
	}
	return reply, err
}

func (n *Node) call(ctx context.Context, request func(job.CallID) event.Event) (job.Reply, error) {
	id := job.CallID(n.lastCall.Add(1))
	answer := n.expect(id)
	defer n.forget(id)
	select {
	case n.events <- request(id):
	case <-ctx.Done():
		return job.Reply{}, ctx.Err()
	case <-n.done:
		return job.Reply{}, ErrStopped
	}
	select {
	case reply := <-answer:
		n.metrics.answered(reply)
		return reply, nil
	case <-ctx.Done():
		return job.Reply{}, ctx.Err()
	case <-n.done:
		return job.Reply{}, ErrStopped
	}
}

func (n *Node) expect(id job.CallID) chan job.Reply {
	answer := make(chan job.Reply, 1)
	n.mu.Lock()
	n.waiting[id] = answer
	n.mu.Unlock()
	return answer
}

func (n *Node) forget(id job.CallID) {
	n.mu.Lock()
	delete(n.waiting, id)
	n.mu.Unlock()
}

func (n *Node) deliver(r job.Reply) {
	n.mu.Lock()
	answer := n.waiting[r.Call]
	n.mu.Unlock()
	select {
	case answer <- r:
	default:
		// The call has its answer, or its caller has left.
	}
}
