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

// Times of the fake platform and of the service specification.
const (
	runLimit   = 30 * time.Second
	rebootTime = 120 * time.Second
	listEvery  = 5 * time.Second
)

// Size describes a fleet to measure.
type Size struct {
	Name string
	// Pools is the number of pools; the last one is the spare pool.
	Pools int
	// VMs is the number of VMs, spread evenly over pools and zones.
	VMs   int
	Zones int
	// Slots is the number of slots of one VM.
	Slots vocab.Slots
	// PerRack is the number of VMs in a rack.
	PerRack int
	// Days is the length of the run that measures buffers and moves. The first
	// two days, in which time of day is learned, are not counted.
	Days int
	// Tick is the time between two readings of demand in that run.
	Tick time.Duration
}

// Sizes returns the sizes of the first two users and the design size.
func Sizes() []Size {
	return []Size{
		{Name: "duka-jaza", Pools: 5, VMs: 50, Zones: 3, Slots: 8, PerRack: 4, Days: 6, Tick: 5 * time.Second},
		{Name: "refugio", Pools: 5, VMs: 52, Zones: 3, Slots: 8, PerRack: 4, Days: 6, Tick: 5 * time.Second},
		{Name: "design", Pools: 74, VMs: 1600, Zones: 8, Slots: 8, PerRack: 4, Days: 3, Tick: 30 * time.Second},
	}
}

// fleet returns the configuration: each pool must keep half of its VMs.
func (s Size) fleet() *spec.Fleet {
	f := &spec.Fleet{Name: s.Name, Maintenance: spec.Maintenance{
		Every: spec.Duration(28 * 24 * time.Hour), Drain: spec.Duration(20 * time.Second),
		Reboot: spec.Duration(10 * time.Minute), StopAfter: 5,
	}}
	var zones []vocab.ZoneID
	for z := range s.Zones {
		zones = append(zones, vocab.ZoneID(fmt.Sprintf("z%d", z+1)))
	}
	for p := range s.Pools {
		vms := s.poolVMs(p)
		pool := spec.Pool{
			Name: poolName(p), VMs: vms, Slots: s.Slots, Connections: 64, Zones: zones, Spare: p == s.Pools-1,
		}
		keep := spec.Keep{Ready: s.keep(p), ReadyPerZone: 1}
		f.Pools = append(f.Pools, pool)
		f.Services = append(f.Services, spec.Service{
			Queue: vocab.QueueID(pool.Name), Pool: pool.Name, Keep: keep,
			Limits: spec.TimeLimits{Run: spec.Duration(runLimit)},
		})
	}
	return f
}

func poolName(p int) vocab.PoolID {
	return vocab.PoolID(fmt.Sprintf("pool%02d", p))
}

// poolVMs returns the pool's first VMs.
func (s Size) poolVMs(p int) int {
	n := s.VMs / s.Pools
	if p < s.VMs%s.Pools {
		n++
	}
	return n
}

// keep returns the ready VMs that the pool must keep: half of its first VMs.
func (s Size) keep(p int) int {
	return s.poolVMs(p) / 2
}

// rows returns the VM list at the start. Neighbours in a rack belong to
// different pools, as they would after careful placement.
func (s Size) rows() []observe.Row {
	var rows []observe.Row
	perZone := make([]int, s.Zones)
	for i := range s.VMs {
		pool := i % s.Pools
		zone := (i / s.Pools) % s.Zones
		rack := perZone[zone] / s.PerRack
		perZone[zone]++
		rows = append(rows, observe.Row{
			Name: vocab.VMID(fmt.Sprintf("vm%04d", i)), Incarnation: 1, Pool: poolName(pool),
			Zone: vocab.ZoneID(fmt.Sprintf("z%d", zone+1)), Rack: vocab.RackID(fmt.Sprintf("z%d-r%d", zone+1, rack)),
			Phase: observe.ListLive,
		})
	}
	return rows
}
