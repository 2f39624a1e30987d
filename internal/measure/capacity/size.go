// Package capacity measures the planning of pools and maintenance: buffer cost,
// moves, roll-out time and budget broken. It drives a maintenance.Controller
// with sequences of events over seeded days and sets its figures beside those
// of static pools, of maintenance one VM at a time, and of what a planner with
// foreknowledge could reach. It is no simulator of a cluster: orders take
// effect after fixed times and requests are not modelled.
package capacity

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Times of the fake platform.
const (
	// drainTime is when the last request on a draining VM has ended.
	drainTime  = 20 * time.Second
	rebootTime = 120 * time.Second
	listEvery  = 5 * time.Second
)

// Size describes a fleet to measure.
type Size struct {
	Name  string
	Pools []PoolSize
	Zones int
	// Slots is the number of slots of one VM.
	Slots vocab.Slots
	// PerRack is the number of VMs in a rack.
	PerRack int
	// StopAfter is the number of VMs that may fail to come back in a wave.
	StopAfter int
	// Days is the length of the run that measures buffers and moves. The first
	// two days, in which time of day is learned, are not counted.
	Days int
	// Tick is the time between two readings of demand in that run.
	Tick time.Duration
}

// PoolSize describes one pool. The last pool of a Size is the spare pool.
type PoolSize struct {
	Name    vocab.PoolID
	VMs     int
	Ready   int // VMs to keep ready
	PerZone int // VMs to keep ready in each zone
	Run     time.Duration
}

// Sizes returns the sizes of the first two users, with the budgets of their
// example files, and the design size.
func Sizes() []Size {
	return []Size{
		{
			Name: "duka-jaza", Zones: 3, Slots: 8, PerRack: 4, StopAfter: 2, Days: 6, Tick: 5 * time.Second,
			Pools: []PoolSize{
				{"orders", 12, 8, 2, 30 * time.Second},
				{"dispatch", 10, 7, 2, 20 * time.Second},
				{"airtime", 10, 7, 2, 30 * time.Second},
				{"packing", 9, 6, 1, time.Minute},
				{"office", 9, 3, 1, 2 * time.Minute},
			},
		},
		{
			Name: "refugio", Zones: 3, Slots: 8, PerRack: 4, StopAfter: 2, Days: 6, Tick: 5 * time.Second,
			Pools: []PoolSize{
				{"kennel", 12, 8, 2, 30 * time.Second},
				{"cattery", 10, 7, 2, 30 * time.Second},
				{"foster", 9, 6, 1, 45 * time.Second},
				{"vet-boarding", 10, 7, 2, time.Minute},
				{"office", 9, 3, 1, 2 * time.Minute},
			},
		},
		{
			Name: "design", Zones: 8, Slots: 8, PerRack: 4, StopAfter: 5, Days: 3, Tick: 10 * time.Second,
			Pools: designPools(),
		},
	}
}

// designPools returns 73 pools that serve queues and a large spare pool, 1,600
// VMs in all.
func designPools() []PoolSize {
	var pools []PoolSize
	for p := range 73 {
		pools = append(pools, PoolSize{
			Name: vocab.PoolID(fmt.Sprintf("pool%02d", p)), VMs: 18, Ready: 12, PerZone: 1, Run: 30 * time.Second,
		})
	}
	return append(pools, PoolSize{Name: "spare", VMs: 286, Ready: 40, PerZone: 4, Run: time.Minute})
}

// VMs returns the number of VMs of the fleet.
func (s Size) VMs() int {
	n := 0
	for _, p := range s.Pools {
		n += p.VMs
	}
	return n
}

// serving returns the pools that are not the spare pool.
func (s Size) serving() []PoolSize {
	return s.Pools[:len(s.Pools)-1]
}

func (s Size) spare() PoolSize {
	return s.Pools[len(s.Pools)-1]
}

func (s Size) fleet() *spec.Fleet {
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
			Name: p.Name, VMs: p.VMs, Slots: s.Slots, MaxConnections: 64, Zones: zones, Spare: p.Name == s.spare().Name,
		})
		f.Services = append(f.Services, spec.Service{
			Queue: vocab.QueueID(p.Name), Pool: p.Name, Budget: spec.AvailabilityBudget{MinReady: p.Ready, MinReadyPerZone: p.PerZone},
			TimeLimits: spec.TimeLimits{Run: spec.Duration(p.Run)},
		})
	}
	return f
}

func zoneName(z int) vocab.ZoneID {
	return vocab.ZoneID(fmt.Sprintf("z%d", z+1))
}

// rows returns the VM list at the start. Neighbours in a rack belong to
// different pools, as they would after careful placement.
func (s Size) rows() []observe.Row {
	var rows []observe.Row
	perZone := make([]int, s.Zones)
	for k := 0; len(rows) < s.VMs(); k++ {
		for p, pool := range s.Pools {
			if k >= pool.VMs {
				continue
			}
			z := (k + p) % s.Zones
			rack := perZone[z] / s.PerRack
			perZone[z]++
			rows = append(rows, observe.Row{
				Name: vocab.VMID(fmt.Sprintf("vm%04d", len(rows))), Incarnation: 1, Pool: pool.Name,
				Zone: zoneName(z), Rack: vocab.RackID(fmt.Sprintf("%s-r%d", zoneName(z), rack)), Phase: observe.ListLive,
			})
		}
	}
	return rows
}
