package spec

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// checkKeep compares an availability budget with the pool that has to meet it.
func (t *tree) checkKeep(at strictjson.Cursor, s *Service) {
	strictjson.RequireAll(at, keepRequired)
	strictjson.CheckRange(at.Field("ready"), "ready", int64(s.Keep.Ready), 0, maxVMsPerPool)
	strictjson.CheckRange(at.Field("ready_per_zone"), "ready_per_zone", int64(s.Keep.ReadyPerZone), 0, maxVMsPerPool)
	pool, known := t.fleet.Pool(s.Pool)
	if !known || pool.VMs <= 0 || len(pool.Zones) == 0 {
		return
	}
	compareBudget(at.Field("ready"), `"ready"`, s.Keep.Ready, pool.VMs,
		fmt.Sprintf("the pool %q has %d VMs", pool.Name, pool.VMs))
	smallest := pool.VMs / len(pool.Zones)
	compareBudget(at.Field("ready_per_zone"), `"ready_per_zone"`, s.Keep.ReadyPerZone, smallest,
		fmt.Sprintf("the pool %q has %d VMs in its smallest zone", pool.Name, smallest))
}

// compareBudget reports a budget above what there is, and warns of one that
// leaves no VM for maintenance.
func compareBudget(at strictjson.Cursor, field string, budget, have int, reason string) {
	what := fmt.Sprintf("%s is %d, but %s", field, budget, reason)
	switch {
	case budget > have:
		at.Report(what, fmt.Sprintf("at most %d", max(have-1, 0)))
	case budget == have && budget > 0:
		at.Warn(what+", so that none can be maintained", fmt.Sprintf("at most %d", have-1))
	}
}
