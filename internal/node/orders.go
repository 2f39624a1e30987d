package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/services"
)

// orderTimeout is the timeout of an order to the platform.
const orderTimeout = 10 * time.Second

// sendOrder sends an order for a VM to the platform and posts the result.
func (n *Node) sendOrder(effect event.Effect) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	ev := maintenance.OrderCompleted{}
	var err error
	switch e := effect.(type) {
	case maintenance.OrderDrain:
		ev = maintenance.OrderCompleted{Kind: maintenance.KindDrain, Order: e.Order}
		err = n.services.Pools.Drain(ctx, platformOrder(e.Order))
	case maintenance.OrderReboot:
		ev = maintenance.OrderCompleted{Kind: maintenance.KindReboot, Order: e.Order}
		err = n.services.Pools.Reboot(ctx, platformOrder(e.Order))
	case maintenance.OrderAssign:
		ev = maintenance.OrderCompleted{Kind: maintenance.KindAssign, Order: e.Order, Pool: e.Pool}
		err = n.services.Pools.Assign(ctx, platformOrder(e.Order), e.Pool)
	}
	ev.Result = orderResult(err)
	n.Post(ev)
}

func platformOrder(o maintenance.VMOrder) services.VMOrder {
	return services.VMOrder{VM: o.VM, Incarnation: o.Incarnation, Epoch: o.Epoch}
}

// orderResult returns the result of an order from the error of its call.
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
