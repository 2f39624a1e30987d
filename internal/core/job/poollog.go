package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolLogInterval is the time between two log events about the state of the pools.
const poolLogInterval = time.Second

// poolUsage is the state of one pool as it is logged. Its resources are in
// millicores.
type poolUsage struct {
	machines, usable, idle        int
	emptying                      int
	capacity, longRunning, finite int64
}

// logPools logs one event for each pool, at most once per poolLogInterval.
func (o *owner) logPools() {
	if o.s.now.Sub(o.poolsLoggedAt) < poolLogInterval {
		return
	}
	o.poolsLoggedAt = o.s.now
	usage := map[vocab.PoolID]*poolUsage{}
	for _, id := range o.workerIDs {
		w := o.workers[id]
		if !w.listed {
			continue
		}
		u := usage[w.info.Pool]
		if u == nil {
			u = &poolUsage{}
			usage[w.info.Pool] = u
		}
		u.add(w, w.usable(o.s.now))
		if m := o.fleet.machines[w.info.Machine]; m != nil && m.reserved {
			u.emptying++
		}
	}
	pools := make([]vocab.PoolID, 0, len(usage))
	for p := range usage {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	for _, p := range pools {
		u := usage[p]
		o.s.logEvent(LogPoolState, "pool", p, "machines", u.machines, "usable", u.usable, "idle", u.idle, "room", u.capacity,
			"lasting", u.longRunning, "short", u.finite, "waiting", o.demand[p].waiting.CPU, "jobs", len(o.jobs),
			"needed", o.fleet.machinesNeeded[p], "emptying", u.emptying, "due", int(o.fleet.dueWork[p]))
	}
	o.logFleet()
}

// logFleet logs one event for the machines of all pools: those that are up in the spare pool,
// those that an order moves or takes down for maintenance, and those that are down.
func (o *owner) logFleet() {
	if o.s.config == nil || len(o.fleet.machineIDs) == 0 {
		return
	}
	spare, blocked, moving, maintenance, down := 0, 0, 0, 0, 0
	unsent, unanswered := 0, 0
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		switch {
		case m.orderPending && !m.orderSent:
			unsent++
		case m.orderPending && !m.orderConfirmed:
			unanswered++
		}
		switch {
		case m.orderPending && m.order == OrderMove || m.info.State == MachineMoving:
			moving++
		case m.orderPending || m.info.State == MachineInMaintenance:
			maintenance++
		case m.info.State == MachineDown:
			down++
		case o.isSparePool(m.info.Pool) && !o.acceptsOrder(m):
			blocked++
		case o.isSparePool(m.info.Pool):
			spare++
		}
	}
	o.s.logEvent(LogFleetState, "machines", len(o.fleet.machineIDs), "spare", spare, "spare_blocked", blocked, "moving", moving,
		"maintenance", maintenance, "down", down, "orders_unsent", unsent, "orders_unanswered", unanswered, "orders_left", int(o.fleet.orderTokens), "list_age_ms", o.s.now.Sub(o.fleet.listSentAt).Milliseconds())
}

func (u *poolUsage) add(w *worker, usable bool) {
	u.machines++
	if usable {
		u.usable++
	}
	if len(w.tasks) == 0 {
		u.idle++
	}
	u.capacity += w.info.Capacity.CPU
	for _, t := range w.tasks {
		need := t.step.spec.Reserved().CPU
		if t.step.spec.LongRunning {
			u.longRunning += need
		} else {
			u.finite += need
		}
	}
}
