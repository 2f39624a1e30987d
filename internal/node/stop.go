package node

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
)

// StopPlan holds the parameters of a graceful stop.
type StopPlan struct {
	// BalancerWait is the time that the load balancer needs to notice that the
	// node is not ready.
	BalancerWait time.Duration
	// Drain waits until all callers have their responses.
	Drain func(context.Context) error
	// LeaveWait is the timeout for appending the end of the membership to the log.
	LeaveWait time.Duration
}

// appendPollInterval is the time between two checks for pending appends.
const appendPollInterval = 20 * time.Millisecond

// Stop stops the node gracefully: the node reports itself not ready, waits for the
// load balancer, refuses new and waiting requests, waits for the running ones to
// end, and ends its membership. The loop runs until the context of Run ends. If
// ctx ends, the waits end early.
func (n *Node) Stop(ctx context.Context, plan StopPlan) error {
	n.Post(core.LeaveRequested{})
	sleep(ctx, plan.BalancerWait)
	n.Post(core.StopRequested{})
	err := plan.Drain(ctx)
	n.Post(core.LastRequestEnded{})
	n.waitForAppends(ctx, plan.LeaveWait)
	return err
}

// waitForAppends waits until no appends are pending or the timeout has passed.
func (n *Node) waitForAppends(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := n.Read(func(*core.State) {}); err != nil {
		return
	}
	for ctx.Err() == nil && n.pendingAppends.Load() > 0 {
		sleep(ctx, appendPollInterval)
	}
}
