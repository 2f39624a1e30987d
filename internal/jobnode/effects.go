package jobnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
)

const (
	// ReadTimeout bounds a read beyond the time that it may wait.
	ReadTimeout = 800 * time.Millisecond
	// loadTimeout bounds a load of the whole stream: several pages, over slow
	// links.
	loadTimeout = 30 * time.Second
	// appendTimeout bounds an append. The store may be slow by a factor of
	// 100 at 4 ms an answer and 3 ms an append, and appends wait for each other.
	appendTimeout = 2500 * time.Millisecond
	// orderTimeout bounds an order to a worker.
	orderTimeout = 800 * time.Millisecond
	// pollTimeout bounds a poll beyond the time that it may wait. It may be repeated
	// freely.
	pollTimeout = 400 * time.Millisecond
)

// do carries out one effect. What may block runs beside the loop.
func (n *Node) do(ctx context.Context, effect event.Effect) {
	switch e := effect.(type) {
	case job.Reply:
		n.deliver(e)
	case job.LogEvent:
		n.metrics.noted(e)
		n.log.Note(e)
	case job.LoadStream:
		go n.load(ctx)
	case job.ReadStream:
		go n.read(ctx, e)
	case job.Append:
		go n.append(ctx, e)
	case job.FollowWorkers:
		n.followWorkers(ctx, e.On)
	case job.Poll:
		go n.poll(ctx, e)
	case job.Start:
		go n.start(ctx, e)
	case job.Stop:
		go n.stopRun(ctx, e)
	case job.Forward:
		go n.passOn(ctx, e)
	case job.OfferOwnership:
		go n.offer(ctx, e)
	case job.Throttle:
		go n.pace(ctx, e)
	default:
		n.doFleet(ctx, effect)
	}
}

func (n *Node) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	records, from, err := n.platform.Stream.Load(ctx)
	if err != nil {
		n.post(job.StreamFailed{Err: err})
		return
	}
	n.post(job.StreamLoaded{Records: records, From: from})
}

func (n *Node) read(ctx context.Context, e job.ReadStream) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout+e.Wait)
	defer cancel()
	sentAt := Now()
	result, err := n.platform.Stream.Read(ctx, e.From, e.Wait)
	if err != nil {
		n.post(job.StreamFailed{Trimmed: errors.Is(err, ErrTrimmed), Err: err})
		return
	}
	n.post(job.StreamRead{Records: result.Records, Next: result.Next, End: result.End, SentAt: sentAt})
}

func (n *Node) append(ctx context.Context, e job.Append) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sentAt := Now()
	result := n.platform.Stream.Append(ctx, e)
	n.metrics.append(result.Outcome, Now().Sub(sentAt))
	n.post(job.Appended{ID: e.ID, Outcome: result.Outcome, Offset: result.Offset, End: result.End, SentAt: sentAt})
}

func (n *Node) followWorkers(ctx context.Context, on bool) {
	if n.unfollow != nil {
		n.unfollow()
		n.unfollow = nil
	}
	if !on {
		return
	}
	following, cancel := context.WithCancel(ctx)
	n.unfollow = cancel
	go n.platform.Operators.FollowWorkers(following, func(e job.WorkersListed) {
		if following.Err() == nil {
			n.post(e)
		}
	})
}

func (n *Node) poll(ctx context.Context, e job.Poll) {
	if e.Lease != 0 && Now() >= e.Until {
		e.Lease = 0
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+e.Wait)
	defer cancel()
	sentAt := Now()
	answer := n.platform.Workers.Poll(ctx, e)
	answer.SentAt, answer.ReceivedAt = sentAt, Now()
	n.post(answer)
}

// start sends the order only while the node still owns the workers: the check
// is the last thing before the write, since the process may have been paused.
func (n *Node) start(ctx context.Context, e job.Start) {
	sentAt := Now()
	if sentAt >= e.Until {
		n.post(job.StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Outcome: job.NotDone, SentAt: sentAt})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer := n.platform.Workers.Start(ctx, e)
	answer.SentAt = sentAt
	n.metrics.start(answer.Outcome, Now().Sub(sentAt))
	n.post(answer)
}

func (n *Node) stopRun(ctx context.Context, e job.Stop) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	n.post(n.platform.Workers.Stop(ctx, e))
}

func (n *Node) passOn(ctx context.Context, e job.Forward) {
	if n.platform.Peers == nil {
		n.post(job.ForwardAnswered{Call: e.Call, Outcome: job.NotDone, Err: errors.New("no way to other nodes")})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	reply, outcome, err := n.platform.Peers.Pass(ctx, e.Address, e.Request)
	n.post(job.ForwardAnswered{Call: e.Call, Outcome: outcome, Reply: reply, Err: err})
}

// offerTimeout bounds an offer of the ownership; the next one goes to another node.
const offerTimeout = 500 * time.Millisecond

func (n *Node) offer(ctx context.Context, e job.OfferOwnership) {
	if n.platform.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	if err := n.platform.Peers.Offer(ctx, e.Address, e.Fence); err != nil {
		n.log.Note(job.LogEvent{ID: job.LogOwnershipOffered, Fields: []any{"fence", e.Fence, "to", e.Address, "error", err.Error()}})
	}
}

func (n *Node) pace(ctx context.Context, e job.Throttle) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := n.platform.Workers.Pace(ctx, e); err != nil {
		n.log.Note(job.LogEvent{ID: job.LogRunThrottled, Fields: []any{"task", e.Task, "percent", e.Percent, "error", err.Error()}})
	}
}
