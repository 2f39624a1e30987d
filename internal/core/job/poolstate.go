package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolNoteEvery is the time between two lines on the state of the pools.
const poolNoteEvery = time.Second

// poolUse is the state of one pool as it is logged.
type poolUse struct {
	machines, usable, idle int
	room, lasting, short   int64 // thousandths of a core
}

// notePools writes one line for each pool, now and then.
func (o *owner) notePools() {
	if o.s.now.Sub(o.poolsLoggedAt) < poolNoteEvery {
		return
	}
	o.poolsLoggedAt = o.s.now
	use := map[vocab.PoolID]*poolUse{}
	for _, id := range o.workerIDs {
		w := o.workers[id]
		if !w.listed {
			continue
		}
		u := use[w.info.Pool]
		if u == nil {
			u = &poolUse{}
			use[w.info.Pool] = u
		}
		u.add(w, w.usable(o.s.now))
	}
	pools := make([]vocab.PoolID, 0, len(use))
	for p := range use {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	for _, p := range pools {
		u := use[p]
		o.s.logEvent(LogPoolState, "pool", p, "machines", u.machines, "usable", u.usable, "idle", u.idle, "room", u.room,
			"lasting", u.lasting, "short", u.short, "waiting", o.demand[p].waiting.CPU, "jobs", len(o.jobs))
	}
}

func (u *poolUse) add(w *worker, usable bool) {
	u.machines++
	if usable {
		u.usable++
	}
	if len(w.tasks) == 0 {
		u.idle++
	}
	u.room += w.info.Room.CPU
	for _, t := range w.tasks {
		need := t.step.spec.Reserved().CPU
		if t.step.spec.LongRunning {
			u.lasting += need
		} else {
			u.short += need
		}
	}
}
