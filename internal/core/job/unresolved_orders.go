package job

import "github.com/sardinehead/sardinehead/internal/vocab"

// An order to a machine without a response may be carried out seconds later. Until then its machine counts towards the
// limit of its wave, whichever owner has sent it. An owner ends that by an order of its own to the same machine: once it is
// carried out, earlier ones have no effect, as the maintenance is done and their fences are lower.
//
// An order waits for a connection before it is sent. An owner that hands over withdraws the orders that have not been
// sent, and its last record says so.

// unresolvedOrder is an order of an earlier owner, or one of this owner that is not waited for any more, that may still
// take a machine down.
type unresolvedOrder struct {
	until vocab.Instant
	wave  int64
}

// noWave stands for the wave of an order that is not for maintenance, anyWave for that of an order whose wave is not known.
const (
	noWave  = -1
	anyWave = -2
)

// inheritUnresolved notes the order of an earlier owner that has no response on the stream. That owner may have sent it
// until its authority ended.
func (o *owner) inheritUnresolved(id MachineID, order lastOrder) {
	if order.open && order.wave != noWave {
		o.fleet.unresolved[id] = unresolvedOrder{o.s.now.Add(orderAuthority + lateOrderEffect), order.wave}
	}
}

// mayGoDown reports whether an order for the maintenance of a wave may still take the machine down.
func (o *owner) mayGoDown(id MachineID, wave int64) bool {
	order, found := o.fleet.unresolved[id]
	return found && o.s.now < order.until && (order.wave == anyWave || order.wave == wave)
}

// withdrawOrders ends the right to send orders to machines before the ownership is handed over.
func (o *owner) withdrawOrders() {
	if o.ordersWithdrawn {
		return
	}
	o.ordersWithdrawn = true
	for _, m := range o.pendingOrders {
		if o.fleet.machines[m.info.ID] == m && m.orderPending {
			o.abandonUnsent(m)
		}
	}
	o.pendingOrders = nil
	o.s.emit(WithdrawOrders{Fence: o.fence})
}
