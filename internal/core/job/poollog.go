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
	}
	pools := make([]vocab.PoolID, 0, len(usage))
	for p := range usage {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	for _, p := range pools {
		u := usage[p]
		o.s.logEvent(LogPoolState, "pool", p, "machines", u.machines, "usable", u.usable, "idle", u.idle, "room", u.capacity,
			"lasting", u.longRunning, "short", u.finite, "waiting", o.demand[p].waiting.CPU, "jobs", len(o.jobs))
	}
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
