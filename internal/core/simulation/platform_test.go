package simulation

import (
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// handleOrder carries out an order as the platform does: it refuses an epoch lower than
// one seen before and rejects an order for another incarnation. With loseOrders, an order
// or its result may be lost.
func (v *fakeVMs) handleOrder(n *entryNode, kind maintenance.OrderKind, o maintenance.VMOrder, pool vocab.PoolID) {
	if v.loseOrders && v.sim.chance(0.3) {
		v.reportOrderResult(n, kind, o, pool, maintenance.ResultUnknown)
		return
	}
	u := v.byName[o.VM]
	result := maintenance.ResultDone
	switch {
	case o.Epoch < u.epoch:
		result = maintenance.ResultStale
	case u.row.Incarnation != o.Incarnation || u.row.Phase == observe.ListGone:
		result = maintenance.ResultRejected
	default:
		u.epoch = o.Epoch
		v.applyOrder(n, kind, u, pool)
	}
	if v.loseOrders && v.sim.chance(0.3) {
		result = maintenance.ResultUnknown
	}
	v.reportOrderResult(n, kind, o, pool, result)
}

// reportOrderResult posts the result of an order to the node.
func (v *fakeVMs) reportOrderResult(n *entryNode, kind maintenance.OrderKind, o maintenance.VMOrder, pool vocab.PoolID, result maintenance.OrderResult) {
	n.post(maintenance.OrderCompleted{Kind: kind, Order: o, Pool: pool, Result: result})
}

// applyOrder checks that an order is permitted in the current state and carries it out.
func (v *fakeVMs) applyOrder(n *entryNode, kind maintenance.OrderKind, u *upstream, pool vocab.PoolID) {
	switch kind {
	case maintenance.KindDrain:
		v.checkDrain(n, u)
		u.row.Phase = observe.ListLeaving
	case maintenance.KindAssign:
		if pool != u.row.Pool && len(u.executions) > 0 {
			v.sim.fail("%s moves %s, which runs %d requests", n.name, u.row.Name, len(u.executions))
		}
		u.row.Pool, u.row.Phase = pool, observe.ListLive
	case maintenance.KindReboot:
		v.reboot(n, u)
	}
	v.scheduleSync()
}

// reboot shuts a VM down and starts it as a new incarnation after rebootTime, unless it
// fails in between.
func (v *fakeVMs) reboot(n *entryNode, u *upstream) {
	if u.down {
		return
	}
	if len(u.executions) > 0 {
		v.sim.fail("%s reboots %s, which runs %d requests", n.name, u.row.Name, len(u.executions))
	}
	u.row.Phase = observe.ListLeaving
	u.shutDown()
	incarnation := u.row.Incarnation
	v.sim.schedule(v.rebootTime, func() {
		if u.row.Incarnation != incarnation || u.row.Phase == observe.ListGone {
			return
		}
		u.row.Incarnation++
		u.row.Phase = observe.ListLive
		u.down = false
		v.scheduleSync()
	})
}

// checkDrain checks that the drain of a VM leaves the availability budget of its services,
// unless the node may not know yet of a recent failure.
func (v *fakeVMs) checkDrain(n *entryNode, u *upstream) {
	if v.frozen || v.sim.now-v.lastUnorderedChangeAt < budgetCheckGrace || u.row.Phase != observe.ListLive {
		return
	}
	ready, readyInZone := 0, 0
	for _, other := range v.byName {
		if other == u || other.down || other.row.Pool != u.row.Pool || other.row.Phase != observe.ListLive {
			continue
		}
		ready++
		if other.row.Zone == u.row.Zone {
			readyInZone++
		}
	}
	for _, s := range v.sim.fleet.Services {
		if s.Pool == u.row.Pool && (ready < s.Budget.MinReady || readyInZone < s.Budget.MinReadyPerZone) {
			v.sim.fail("%s drains %s and leaves %d ready VMs, %d in its zone", n.name, u.row.Name, ready, readyInZone)
		}
	}
}
