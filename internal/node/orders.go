package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/services"
)

// orderTimeout bounds one order to the platform.
const orderTimeout = 10 * time.Second

// giveOrder gives one order to a VM and reports its outcome.
func (n *Node) giveOrder(effect event.Effect) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	answered := maintenance.OrderAnswered{}
	var err error
	switch e := effect.(type) {
	case maintenance.OrderDrain:
		answered = maintenance.OrderAnswered{Kind: maintenance.KindDrain, Order: e.Order}
		err = n.services.Pools.Drain(ctx, platformOrder(e.Order))
	case maintenance.OrderReboot:
		answered = maintenance.OrderAnswered{Kind: maintenance.KindReboot, Order: e.Order}
		err = n.services.Pools.Reboot(ctx, platformOrder(e.Order))
	case maintenance.OrderAssign:
		answered = maintenance.OrderAnswered{Kind: maintenance.KindAssign, Order: e.Order, Pool: e.Pool}
		err = n.services.Pools.Assign(ctx, platformOrder(e.Order), e.Pool)
	}
	answered.Result = orderResult(err)
	n.Post(answered)
}

func platformOrder(o maintenance.VMOrder) services.VMOrder {
	return services.VMOrder{VM: o.VM, Incarnation: o.Incarnation, Epoch: o.Epoch}
}

// orderResult turns the platform's error into what became of the order.
func orderResult(err error) maintenance.OrderResult {
	switch {
	case err == nil:
		return maintenance.ResultDone
	case errors.Is(err, services.ErrStaleEpoch):
		return maintenance.ResultStale
	case errors.Is(err, services.ErrRejected):
		return maintenance.ResultRejected
	default:
		return maintenance.ResultUnknown
	}
}
