package node

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
)

// StopPlan is how a node stops gracefully.
type StopPlan struct {
	// BalancerWait is the time that the balancer needs to notice that the node
	// is not ready.
	BalancerWait time.Duration
	// Drain waits until all callers have their answers.
	Drain func(context.Context) error
	// LeaveWait bounds the wait for the log to take the end of the membership.
	LeaveWait time.Duration
}

// leavePoll is the time between two looks at what the log has not answered for.
const leavePoll = 20 * time.Millisecond

// Stop stops the node gracefully: it withdraws its readiness, waits for the
// balancer, hands back what waits, lets what runs end, and leaves. The loop
// goes on until the context of Run ends. A context that ends cuts the waits short.
func (n *Node) Stop(ctx context.Context, plan StopPlan) error {
	n.Post(core.LeaveRequested{})
	sleep(ctx, plan.BalancerWait)
	n.Post(core.StopRequested{})
	err := plan.Drain(ctx)
	n.Post(core.LastRequestEnded{})
	n.flushAppends(ctx, plan.LeaveWait)
	return err
}

// flushAppends waits until the log has answered for every record.
func (n *Node) flushAppends(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := n.Read(func(*core.State) {}); err != nil {
		return
	}
	for ctx.Err() == nil && n.unappended.Load() > 0 {
		sleep(ctx, leavePoll)
	}
}
