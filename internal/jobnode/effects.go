package jobnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
)

const (
	// ReadTimeout bounds a read of the stream, in addition to the wait for a record.
	ReadTimeout = 800 * time.Millisecond
	// loadTimeout bounds a load of the whole stream: several pages over slow links.
	loadTimeout = 30 * time.Second
	// appendTimeout bounds an append. The store may be slower than its usual 4 ms for a
	// response and 3 ms for an append by a factor of 100, and appends are serialized.
	appendTimeout = 2500 * time.Millisecond
	// orderTimeout bounds an order to a worker.
	orderTimeout = 800 * time.Millisecond
	// pollTimeout bounds a poll, in addition to the worker's wait for an end of a run. It
	// can be short since polls are safe to repeat.
	pollTimeout = 400 * time.Millisecond
)

// execute carries out an effect. Calls that may block run in goroutines of their own.
func (n *Node) execute(ctx context.Context, effect event.Effect) {
	switch e := effect.(type) {
	case job.Reply:
		n.deliver(e)
	case job.LogEvent:
		n.metrics.countLogEvent(e)
		n.log.Write(e)
	case job.LoadStream:
		n.background(job.StreamFailed{Err: errPanicked}, func() event.Event { return n.load(ctx) })
	case job.ReadStream:
		n.background(job.StreamFailed{Err: errPanicked}, func() event.Event { return n.read(ctx, e) })
	case job.Append:
		n.background(job.Appended{ID: e.ID, Outcome: job.Unknown, SentAt: Now()}, func() event.Event { return n.append(ctx, e) })
	case job.FollowWorkers:
		n.followWorkers(ctx, e.On)
	case job.FollowDirectory:
		n.followDirectory(ctx, e.On)
	case job.WriteDirectory:
		n.background(job.DirectoryWritten{Outcome: job.Unknown}, func() event.Event { return n.writeDirectory(ctx, e) })
	case job.Poll:
		n.background(job.Polled{Worker: e.Worker, Fence: e.Fence, Outcome: job.Unknown, Err: errPanicked}, func() event.Event { return n.poll(ctx, e) })
	case job.Start:
		n.background(job.StartAnswered{Worker: e.Worker, Fence: e.Fence, Task: e.Task, Run: e.Run, Outcome: job.Unknown, Err: errPanicked},
			func() event.Event { return n.start(ctx, e) })
	case job.Stop:
		n.background(job.StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Outcome: job.Unknown, Err: errPanicked},
			func() event.Event { return n.stopRun(ctx, e) })
	case job.Forward:
		n.background(job.ForwardAnswered{Call: e.Call, Outcome: job.Unknown, Err: errPanicked}, func() event.Event { return n.forward(ctx, e) })
	case job.OfferOwnership:
		n.background(nil, func() event.Event { n.offerOwnership(ctx, e); return nil })
	case job.PrepareHandover:
		n.background(job.HandoverPrepared{Node: e.Node}, func() event.Event { return n.prepareHandover(ctx, e) })
	case job.Throttle:
		n.background(nil, func() event.Event { n.throttle(ctx, e); return nil })
	default:
		n.executeMachineEffect(ctx, effect)
	}
}

func (n *Node) load(ctx context.Context) event.Event {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	records, from, err := n.platform.Stream.Load(ctx)
	if err != nil {
		return job.StreamFailed{Err: err}
	}
	return job.StreamLoaded{Records: records, From: from}
}

func (n *Node) read(ctx context.Context, e job.ReadStream) event.Event {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout+e.Wait)
	defer cancel()
	sentAt := Now()
	result, err := n.platform.Stream.Read(ctx, e.From, e.Wait, e.MaxBytes)
	if err != nil {
		return job.StreamFailed{Trimmed: errors.Is(err, ErrTrimmed), Err: err}
	}
	return job.StreamRead{Records: result.Records, Next: result.Next, End: result.End, SentAt: sentAt}
}

func (n *Node) append(ctx context.Context, e job.Append) event.Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sentAt := Now()
	result := n.platform.Stream.Append(ctx, e)
	n.metrics.observeAppend(result.Outcome, Now().Sub(sentAt))
	return job.Appended{ID: e.ID, Outcome: result.Outcome, Offset: result.Offset, End: result.End, SentAt: sentAt, Err: result.Err}
}

// subscription is a follower that can be stopped.
type subscription struct{ stop context.CancelFunc }

// set starts a follower, or stops the one that runs. post passes events on until then: a
// change that arrives after the stop is discarded.
func (s *subscription) set(ctx context.Context, n *Node, on bool, follow func(ctx context.Context, post func(event.Event))) {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
	if !on {
		return
	}
	followCtx, cancel := context.WithCancel(ctx)
	s.stop = cancel
	go n.follow(followCtx, func() {
		follow(followCtx, func(e event.Event) {
			if followCtx.Err() == nil {
				n.post(e)
			}
		})
	})
}

func (n *Node) followWorkers(ctx context.Context, on bool) {
	n.workersSubscription.set(ctx, n, on, func(ctx context.Context, post func(event.Event)) {
		n.platform.Operators.FollowWorkers(ctx, func(e job.WorkersListed) { post(e) })
	})
}

func (n *Node) followDirectory(ctx context.Context, on bool) {
	n.directorySubscription.set(ctx, n, on, func(ctx context.Context, post func(event.Event)) {
		n.platform.Directory.FollowDirectory(ctx, func(e job.DirectoryRead) { post(e) })
	})
}

func (n *Node) writeDirectory(ctx context.Context, e job.WriteDirectory) event.Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return job.DirectoryWritten{Outcome: n.platform.Directory.WriteDirectory(ctx, e.Records).Outcome}
}

// poll polls a worker. After e.Until it doesn't extend the leases, since another node may
// be the owner by then.
func (n *Node) poll(ctx context.Context, e job.Poll) event.Event {
	if e.Lease != 0 && Now() >= e.Until {
		e.Lease = 0
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+e.Wait)
	defer cancel()
	if e.Lease != 0 {
		var permit *SendPermit
		ctx, permit = WithPermit(ctx, e.Until)
		defer permit.Release()
	}
	sentAt := Now()
	polled := n.platform.Workers.Poll(ctx, e)
	polled.Fence, polled.SentAt, polled.ReceivedAt = e.Fence, sentAt, Now()
	return polled
}

// start starts a run, unless e.Until has passed: another node may be the owner by then. The
// time is checked again directly before the order is sent, since the process may have been
// suspended after the reducer's decision, and the order waits for a connection.
func (n *Node) start(ctx context.Context, e job.Start) event.Event {
	sentAt := Now()
	if sentAt >= e.Until {
		return job.StartAnswered{Worker: e.Worker, Fence: e.Fence, Task: e.Task, Run: e.Run, Outcome: job.NotDone, SentAt: sentAt}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ctx, permit := WithPermit(ctx, e.Until)
	defer permit.Release()
	started := n.platform.Workers.Start(ctx, e)
	started.Fence, started.SentAt = e.Fence, sentAt
	n.metrics.observeStart(started.Outcome, Now().Sub(sentAt))
	return started
}

func (n *Node) stopRun(ctx context.Context, e job.Stop) event.Event {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return n.platform.Workers.Stop(ctx, e)
}

func (n *Node) forward(ctx context.Context, e job.Forward) event.Event {
	if n.platform.Peers == nil {
		return job.ForwardAnswered{Call: e.Call, Outcome: job.NotDone, Err: errors.New("forwarding to other nodes is not configured")}
	}
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	reply, outcome, err := n.platform.Peers.Forward(ctx, e.Address, e.Request)
	return job.ForwardAnswered{Call: e.Call, Outcome: outcome, Reply: reply, Err: err}
}

// offerTimeout bounds an offer of the ownership. The reducer sends the next offer to another
// node.
const offerTimeout = 500 * time.Millisecond

func (n *Node) offerOwnership(ctx context.Context, e job.OfferOwnership) {
	if n.platform.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	if err := n.platform.Peers.OfferOwnership(ctx, e.Address, e.Fence); err != nil {
		n.log.Write(job.LogEvent{ID: job.LogOwnershipOffered, Fields: []any{"fence", e.Fence, "to", e.Address, "error", err.Error()}})
	}
}

// prepareTimeout bounds a request to prepare for the ownership. The reducer does not wait for a
// response that takes longer.
const prepareTimeout = 500 * time.Millisecond

func (n *Node) prepareHandover(ctx context.Context, e job.PrepareHandover) event.Event {
	if n.platform.Peers == nil {
		return job.HandoverPrepared{Node: e.Node}
	}
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	ready, reached, err := n.platform.Peers.PrepareHandover(ctx, e)
	if err != nil {
		n.log.Write(job.LogEvent{ID: job.LogOwnershipOffered, Fields: []any{"fence", e.Fence, "to", e.Node, "error", err.Error()}})
	}
	return job.HandoverPrepared{Node: e.Node, Ready: ready, Reached: reached, Unreachable: err != nil}
}

func (n *Node) throttle(ctx context.Context, e job.Throttle) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := n.platform.Workers.Throttle(ctx, e); err != nil {
		n.log.Write(job.LogEvent{ID: job.LogRunThrottled, Fields: []any{"task", e.Task, "percent", e.Percent, "error", err.Error()}})
	}
}
