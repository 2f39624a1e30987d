// Package capacity measures the planning of pools and maintenance: the cost of
// headroom, VM moves, roll-out time and violations of the availability budget.
// It drives a maintenance.Controller with seeded event sequences over simulated
// days. The baselines are static pools, maintenance of one VM at a time, and
// the optimum of a planner that knows the demand in advance. Platform orders
// take effect after fixed times; single requests are not modelled.
package capacity

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Timing of the simulated platform.
const (
	// drainDuration is the time from a drain order until the VM's last request
	// ends.
	drainDuration  = 20 * time.Second
	rebootDuration = 120 * time.Second
	listInterval   = 5 * time.Second
)

// Size describes the fleet and the length of a measurement.
type Size struct {
	Name  string
	Pools []PoolSize
	Zones int
	// SlotsPerVM is the number of slots of each VM.
	SlotsPerVM vocab.Slots
	// VMsPerRack is the number of VMs in a rack.
	VMsPerRack int
	// StopAfter is the number of VMs that may fail to restart before a wave
	// stops.
	StopAfter int
	// Days is the length of the run that measures headroom and moves. Its first
	// learningDays days, in which the planner learns the daily demand, are not
	// counted.
	Days int
	// SampleInterval is the interval between two demand samples in that run.
	SampleInterval time.Duration
}

// PoolSize describes one pool. The last pool of a Size is the spare pool.
type PoolSize struct {
	Name            vocab.PoolID
	VMs             int
	MinReady        int           // minimum number of ready VMs
	MinReadyPerZone int           // minimum number of ready VMs in each zone
	RunLimit        time.Duration // limit on the run time of a request
}

// Sizes returns the fleets of the duka-jaza and refugio examples, with the
// budgets of their configuration files, and the design size.
func Sizes() []Size {
	return []Size{
		{
			Name: "duka-jaza", Zones: 3, SlotsPerVM: 8, VMsPerRack: 4, StopAfter: 2, Days: 6, SampleInterval: 5 * time.Second,
			Pools: []PoolSize{
				{"orders", 12, 8, 2, 30 * time.Second},
				{"dispatch", 10, 7, 2, 20 * time.Second},
				{"airtime", 10, 7, 2, 30 * time.Second},
				{"packing", 9, 6, 1, time.Minute},
				{"office", 9, 3, 1, 2 * time.Minute},
			},
		},
		{
			Name: "refugio", Zones: 3, SlotsPerVM: 8, VMsPerRack: 4, StopAfter: 2, Days: 6, SampleInterval: 5 * time.Second,
			Pools: []PoolSize{
				{"kennel", 12, 8, 2, 30 * time.Second},
				{"cattery", 10, 7, 2, 30 * time.Second},
				{"foster", 9, 6, 1, 45 * time.Second},
				{"vet-boarding", 10, 7, 2, time.Minute},
				{"office", 9, 3, 1, 2 * time.Minute},
			},
		},
		{
			Name: "design", Zones: 8, SlotsPerVM: 8, VMsPerRack: 4, StopAfter: 5, Days: 3, SampleInterval: 10 * time.Second,
			Pools: designPools(),
		},
	}
}

// designPools returns 73 service pools and a large spare pool, 1,600 VMs in
// total.
func designPools() []PoolSize {
	var pools []PoolSize
	for p := range 73 {
		pools = append(pools, PoolSize{
			Name: vocab.PoolID(fmt.Sprintf("pool%02d", p)), VMs: 18, MinReady: 12, MinReadyPerZone: 1, RunLimit: 30 * time.Second,
		})
	}
	return append(pools, PoolSize{Name: "spare", VMs: 286, MinReady: 40, MinReadyPerZone: 4, RunLimit: time.Minute})
}

// VMs returns the number of VMs in all pools.
func (s Size) VMs() int {
	n := 0
	for _, p := range s.Pools {
		n += p.VMs
	}
	return n
}

// servicePools returns all pools except the spare pool.
func (s Size) servicePools() []PoolSize {
	return s.Pools[:len(s.Pools)-1]
}

func (s Size) sparePool() PoolSize {
	return s.Pools[len(s.Pools)-1]
}

// fleetSpec returns the configuration of the fleet.
func (s Size) fleetSpec() *spec.Fleet {
	f := &spec.Fleet{Name: s.Name, Maintenance: spec.Maintenance{
		Interval: spec.Duration(28 * 24 * time.Hour), DrainTimeout: spec.Duration(3 * time.Minute),
		RebootTimeout: spec.Duration(5 * time.Minute), StopAfter: s.StopAfter,
	}}
	var zones []vocab.ZoneID
	for z := range s.Zones {
		zones = append(zones, zoneName(z))
	}
	for _, p := range s.Pools {
		f.Pools = append(f.Pools, spec.Pool{
			Name: p.Name, VMs: p.VMs, Slots: s.SlotsPerVM, MaxConnections: 64, Zones: zones, Spare: p.Name == s.sparePool().Name,
		})
		f.Services = append(f.Services, spec.Service{
			Queue: vocab.QueueID(p.Name), Pool: p.Name, Budget: spec.AvailabilityBudget{MinReady: p.MinReady, MinReadyPerZone: p.MinReadyPerZone},
			TimeLimits: spec.TimeLimits{Run: spec.Duration(p.RunLimit)},
		})
	}
	return f
}

func zoneName(z int) vocab.ZoneID {
	return vocab.ZoneID(fmt.Sprintf("z%d", z+1))
}

// initialVMList returns the platform's VM list at the start of a run. VMs of
// one rack belong to different pools, so that the loss of a rack costs each
// pool few VMs.
func (s Size) initialVMList() []observe.Row {
	var rows []observe.Row
	perZone := make([]int, s.Zones)
	for k := 0; len(rows) < s.VMs(); k++ {
		for p, pool := range s.Pools {
			if k >= pool.VMs {
				continue
			}
			z := (k + p) % s.Zones
			rack := perZone[z] / s.VMsPerRack
			perZone[z]++
			rows = append(rows, observe.Row{
				Name: vocab.VMID(fmt.Sprintf("vm%04d", len(rows))), Incarnation: 1, Pool: pool.Name,
				Zone: zoneName(z), Rack: vocab.RackID(fmt.Sprintf("%s-r%d", zoneName(z), rack)), Phase: observe.ListLive,
			})
		}
	}
	return rows
}
