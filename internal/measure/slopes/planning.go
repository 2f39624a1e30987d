package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planner returns the maintenance controller of the planning owner during a wave,
// with the VMs that it has observed.
func (size fleetSize) planner() (*maintenance.Controller, *observe.State) {
	observed := observe.New()
	observed.ApplyListing(1, 1, size.vmRows())
	ledger := maintenance.NewLedger()
	bodies := []record.Body{
		record.MaintenanceClaimed{Node: nodeName(0), Incarnation: incarnation(0), UnixSeconds: 1},
		record.WaveStarted{Operator: "operator", Wave: 1, UnixSeconds: 1},
	}
	for i, b := range bodies {
		ledger.Fold(vocab.Offset(i+1), b)
	}
	controller := maintenance.NewController(nodeName(0), incarnation(0), ledger, observed)
	fleet := size.configuration()
	controller.Step(1, maintenance.FleetChanged{Fleet: &fleet})
	return controller, observed
}

// planningCosts returns slopes of the processor time of one plan and of the heap of
// the planner.
func planningCosts() []Slope {
	vms := Slope{Name: "plan-vms", Title: "one plan of moves and maintenance in a wave, 74 pools", Axis: "VMs", Unit: "µs", MachineDependent: true, DesignSize: designVMs}
	heap := Slope{Name: "plan-heap", Title: "heap of the planner", Axis: "VMs", Unit: "bytes", MachineDependent: true, DesignSize: designVMs}
	for _, n := range vmCounts {
		size := designSize()
		size.vms = n
		vms.add(n, toMicroseconds(size.planCPUTime()))
		heap.add(n, retainedHeapBytes(func() any { controller, observed := size.planner(); return []any{controller, observed} }))
	}
	pools := Slope{Name: "plan-pools", Title: "one plan of moves and maintenance in a wave, 1,600 VMs", Axis: "pools", Unit: "µs", MachineDependent: true, DesignSize: designPools}
	for _, n := range poolCounts {
		size := designSize()
		size.pools = n
		pools.add(n, toMicroseconds(size.planCPUTime()))
	}
	return []Slope{vms, pools, heap}
}

// planCPUTime measures one plan with demand for half of the slots.
func (size fleetSize) planCPUTime() time.Duration {
	controller, _ := size.planner()
	now := vocab.Instant(time.Minute)
	demand := make([]maintenance.PoolDemand, 0, size.pools)
	for i := range size.pools {
		demand = append(demand, maintenance.PoolDemand{Pool: poolName(i), Slots: vocab.Slots(4 * size.vms / size.pools)})
	}
	controller.Step(now, maintenance.Tick{Unix: 60, LogUp: true, Demand: demand})
	return cpuTimePerCall(func() { maintenance.MakePlan(controller.Snapshot(now)) })
}
