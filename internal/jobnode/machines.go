package jobnode

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
)

// Machines sends orders to machines and publishes the status of waves for operators.
type Machines interface {
	ListMachines(ctx context.Context) ([]job.MachineInfo, error)
	OrderMachine(ctx context.Context, o job.OrderMachine) (job.Outcome, error)
	WriteStatus(ctx context.Context, wave int64, complete bool) (job.Outcome, error)
}

// machineCallTimeout bounds each call of Machines. The platform may respond slowly.
const machineCallTimeout = 1500 * time.Millisecond

// executeMachineEffect carries out the effects that call Machines or the Advisor.
func (n *Node) executeMachineEffect(ctx context.Context, effect event.Effect) {
	switch e := effect.(type) {
	case job.ListMachines:
		n.background(job.MachinesListed{Err: errPanicked}, func() event.Event { return n.listMachines(ctx) })
	case job.OrderMachine:
		n.background(job.MachineOrderAnswered{Machine: e.Machine, Order: e.Order, Outcome: job.Unknown, Err: errPanicked},
			func() event.Event { return n.orderMachine(ctx, e) })
	case job.WithdrawOrders:
		n.orders.withdraw(e.Fence)
	case job.WriteStatus:
		n.background(job.StatusWritten{Wave: e.Wave, Complete: e.Complete, Outcome: job.Unknown}, func() event.Event { return n.writeStatus(ctx, e) })
	case job.RequestAdvice:
		n.background(job.AdviceReceived{Number: e.Number, Step: e.Step, Err: errPanicked}, func() event.Event { return n.requestAdvice(ctx, e) })
	}
}

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each worker that may run the step.
	Advise(ctx context.Context, o job.RequestAdvice) (map[job.WorkerID]string, error)
}

func (n *Node) requestAdvice(ctx context.Context, e job.RequestAdvice) event.Event {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	tickets, err := n.platform.Advisor.Advise(ctx, e)
	return job.AdviceReceived{Number: e.Number, Step: e.Step, OK: err == nil, Tickets: tickets, Err: err}
}

func (n *Node) listMachines(ctx context.Context) event.Event {
	ctx, cancel := context.WithTimeout(ctx, machineCallTimeout)
	defer cancel()
	sentAt := Now()
	list, err := n.platform.Machines.ListMachines(ctx)
	return job.MachinesListed{OK: err == nil, Machines: list, SentAt: sentAt, Err: err}
}

// orderMachine sends an order to a machine, unless e.Until has passed or the owner has withdrawn its orders: another node
// may be the owner by then.
func (n *Node) orderMachine(ctx context.Context, e job.OrderMachine) event.Event {
	result := job.MachineOrderAnswered{Machine: e.Machine, Order: e.Order, Outcome: job.NotDone}
	if Now() < e.Until {
		ctx, cancel := context.WithTimeout(ctx, machineCallTimeout)
		defer cancel()
		ctx, endPermit := n.orders.grant(ctx, e.Fence, e.Until)
		defer endPermit()
		result.Outcome, result.Err = n.platform.Machines.OrderMachine(ctx, e)
	}
	return result
}

func (n *Node) writeStatus(ctx context.Context, e job.WriteStatus) event.Event {
	ctx, cancel := context.WithTimeout(ctx, machineCallTimeout)
	defer cancel()
	outcome, err := n.platform.Machines.WriteStatus(ctx, e.Wave, e.Complete)
	if err != nil {
		n.log.Write(job.LogEvent{ID: job.LogWave, Fields: []any{"wave", e.Wave, "outcome", outcome.String(), "error", err.Error()}})
	}
	return job.StatusWritten{Wave: e.Wave, Complete: e.Complete, Outcome: outcome}
}
