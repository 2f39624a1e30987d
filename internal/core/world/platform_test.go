package world

import (
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// order is the platform: it refuses lower epochs and ignores orders for
// another incarnation. An order or its answer may go missing.
func (v *fakeVMs) order(n *entryNode, kind maintenance.OrderKind, o maintenance.VMOrder, pool vocab.PoolID) {
	if v.loseOrders && v.w.chance(0.3) {
		v.answer(n, kind, o, pool, maintenance.ResultUnknown)
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
		v.carryOut(n, kind, u, pool)
	}
	if v.loseOrders && v.w.chance(0.3) {
		result = maintenance.ResultUnknown
	}
	v.answer(n, kind, o, pool, result)
}

func (v *fakeVMs) answer(n *entryNode, kind maintenance.OrderKind, o maintenance.VMOrder, pool vocab.PoolID, result maintenance.OrderResult) {
	n.post(maintenance.OrderAnswered{Kind: kind, Order: o, Pool: pool, Result: result})
}

func (v *fakeVMs) carryOut(n *entryNode, kind maintenance.OrderKind, u *upstream, pool vocab.PoolID) {
	switch kind {
	case maintenance.KindDrain:
		v.checkDrain(n, u)
		u.row.Phase = observe.ListLeaving
	case maintenance.KindAssign:
		if pool != u.row.Pool && len(u.jobs) > 0 {
			v.w.fail("%s moves %s, which runs %d requests", n.name, u.row.Name, len(u.jobs))
		}
		u.row.Pool, u.row.Phase = pool, observe.ListLive
	case maintenance.KindReboot:
		v.reboot(n, u)
	}
	v.changed()
}

func (v *fakeVMs) reboot(n *entryNode, u *upstream) {
	if u.down {
		return
	}
	if len(u.jobs) > 0 {
		v.w.fail("%s reboots %s, which runs %d requests", n.name, u.row.Name, len(u.jobs))
	}
	u.row.Phase = observe.ListLeaving
	u.stop()
	incarnation := u.row.Incarnation
	v.w.after(v.rebootTime, func() {
		if u.row.Incarnation != incarnation || u.row.Phase == observe.ListGone {
			return
		}
		u.row.Incarnation++
		u.row.Phase = observe.ListLive
		u.down = false
		v.changed()
	})
}

// checkDrain checks the availability budget, unless a failure of late may not
// have been seen yet.
func (v *fakeVMs) checkDrain(n *entryNode, u *upstream) {
	if v.frozen || v.w.now-v.lastBad < budgetGrace || u.row.Phase != observe.ListLive {
		return
	}
	ready, zone := 0, 0
	for _, other := range v.byName {
		if other == u || other.down || other.row.Pool != u.row.Pool || other.row.Phase != observe.ListLive {
			continue
		}
		ready++
		if other.row.Zone == u.row.Zone {
			zone++
		}
	}
	for _, s := range v.w.fleet.Services {
		if s.Pool == u.row.Pool && (ready < s.Keep.Ready || zone < s.Keep.ReadyPerZone) {
			v.w.fail("%s drains %s and leaves %d ready, %d in its zone", n.name, u.row.Name, ready, zone)
		}
	}
}
