package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// BenchmarkPlan measures making and applying a plan during a wave at the design
// size: 1,600 VMs in 74 pools over 8 zones.
func BenchmarkPlan(b *testing.B) {
	s := designSnapshot()
	b.ReportAllocs()
	for b.Loop() {
		plan := MakePlan(s)
		Apply(plan.Steps, s)
	}
}

func designSnapshot() *Snapshot {
	f := &spec.Fleet{Maintenance: spec.Maintenance{Interval: spec.Duration(28 * 24 * time.Hour), StopAfter: 5}}
	s := &Snapshot{Unix: 1, Fleet: f, Ledger: NewLedger(), LogUp: true}
	s.Ledger.Owner.Epoch = 1
	s.Ledger.Wave = Wave{Number: 1, Returned: 9}
	zones := []vocab.ZoneID{"z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"}
	for p := range 74 {
		name := vocab.PoolID(fmt.Sprintf("pool%02d", p))
		f.Pools = append(f.Pools, spec.Pool{Name: name, Slots: 8, Zones: zones, Spare: p == 73})
		budget := spec.AvailabilityBudget{MinReady: 16, MinReadyPerZone: 1}
		f.Services = append(f.Services, spec.Service{Queue: vocab.QueueID(name), Pool: name, Budget: budget})
		s.Needs = append(s.Needs, PoolNeed{Pool: name, Demand: 10 + p%20, ShortfallCost: 1000})
	}
	for i := range 1600 {
		zone := zones[(i/74)%8]
		s.VMs = append(s.VMs, VM{ListedPool: f.Pools[i%74].Name, VM: observe.VM{
			Name: vocab.VMID(fmt.Sprintf("vm%04d", i)), Incarnation: 1, Pool: f.Pools[i%74].Name,
			Zone: zone, Rack: vocab.RackID(fmt.Sprintf("%s-%d", zone, i/32)), Phase: observe.PhaseReady,
		}})
	}
	return s
}
