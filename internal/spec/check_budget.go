package spec

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// checkBudget checks the availability budget of a service against the number
// of VMs of its pool.
func (t *configTree) checkBudget(at strictjson.Cursor, s *Service) {
	strictjson.RequireAll(at, budgetRequired)
	strictjson.CheckRange(at.Field("ready"), "ready", int64(s.Budget.MinReady), 0, maxVMsPerPool)
	strictjson.CheckRange(at.Field("ready_per_zone"), "ready_per_zone", int64(s.Budget.MinReadyPerZone), 0, maxVMsPerPool)
	pool, exists := t.fleet.Pool(s.Pool)
	if !exists || pool.VMs <= 0 || len(pool.Zones) == 0 {
		return
	}
	compareBudget(at.Field("ready"), `"ready"`, s.Budget.MinReady, pool.VMs,
		fmt.Sprintf("the pool %q has %d VMs", pool.Name, pool.VMs))
	minVMsPerZone := pool.VMs / len(pool.Zones)
	compareBudget(at.Field("ready_per_zone"), `"ready_per_zone"`, s.Budget.MinReadyPerZone, minVMsPerZone,
		fmt.Sprintf("the pool %q has %d VMs in its smallest zone", pool.Name, minVMsPerZone))
}

// compareBudget reports a budget above the number of VMs, and warns of a budget
// that leaves no VM for maintenance. vmCount says in words where the number of
// VMs comes from.
func compareBudget(at strictjson.Cursor, field string, budget, vms int, vmCount string) {
	message := fmt.Sprintf("%s is %d, but %s", field, budget, vmCount)
	switch {
	case budget > vms:
		at.Report(message, fmt.Sprintf("at most %d", max(vms-1, 0)))
	case budget == vms && budget > 0:
		at.Warn(message+", which leaves none for maintenance", fmt.Sprintf("at most %d", vms-1))
	}
}
