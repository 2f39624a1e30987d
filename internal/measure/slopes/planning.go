package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planner is the part of one node that owns the planning of a fleet in a wave.
func (z size) planner() (*maintenance.Controller, *observe.State) {
	seen := observe.New()
	seen.ApplyListing(1, 1, z.rows())
	ledger := maintenance.NewLedger()
	bodies := []record.Body{
		record.MaintenanceClaimed{Node: nodeName(0), Incarnation: incarnation(0), UnixSeconds: 1},
		record.WaveStarted{Operator: "operator", Wave: 1, UnixSeconds: 1},
	}
	for i, b := range bodies {
		ledger.Fold(vocab.Offset(i+1), b)
	}
	c := maintenance.NewController(nodeName(0), incarnation(0), ledger, seen)
	fleet := z.fleet()
	c.Step(1, maintenance.FleetChanged{Fleet: &fleet})
	return c, seen
}

// planningCosts returns slopes of one plan.
func planningCosts() []Slope {
	vms := Slope{Name: "plan-vms", Title: "one plan of moves and maintenance in a wave, 74 pools", Axis: "VMs", Unit: "µs", Timed: true, Design: designVMs}
	heap := Slope{Name: "plan-heap", Title: "heap of the planner", Axis: "VMs", Unit: "bytes", Timed: true, Design: designVMs}
	for _, n := range vmSizes {
		z := design()
		z.vms = n
		vms.add(n, micros(z.planCost()))
		heap.add(n, heapOf(func() any { c, seen := z.planner(); return []any{c, seen} }))
	}
	pools := Slope{Name: "plan-pools", Title: "one plan of moves and maintenance in a wave, 1,600 VMs", Axis: "pools", Unit: "µs", Timed: true, Design: designPools}
	for _, n := range poolSizes {
		z := design()
		z.pools = n
		pools.add(n, micros(z.planCost()))
	}
	return []Slope{vms, pools, heap}
}

func (z size) planCost() time.Duration {
	c, _ := z.planner()
	now := vocab.Instant(time.Minute)
	demand := make([]maintenance.PoolDemand, 0, z.pools)
	for i := range z.pools {
		demand = append(demand, maintenance.PoolDemand{Pool: poolName(i), Slots: vocab.Slots(4 * z.vms / z.pools)})
	}
	c.Step(now, maintenance.Tick{Unix: 60, LogUp: true, Demand: demand})
	return costOf(func() { maintenance.MakePlan(c.Snapshot(now)) })
}
