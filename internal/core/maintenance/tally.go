package maintenance

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// tally counts the VMs of one pool. Steps that were taken in are counted as if
// they had been carried out.
type tally struct {
	spec spec.Pool
	keep spec.Keep
	need PoolNeed
	vms  []*VM // all VMs of the pool, in the order of their names

	held     int // VMs that are ready, or out for a maintenance under way
	incoming int // VMs on their way into the pool
	ready    int
	byZone   map[vocab.ZoneID]int // ready VMs
	arriving map[vocab.ZoneID]int // VMs on their way into the pool
	racks    map[rackKey]int      // ready VMs
	rackPart int                  // most ready VMs in one rack
	occupied map[string]int       // VMs in maintenance by failure domain
	broken   map[string]int       // VMs that failed by failure domain
	inFlight int                  // maintenance under way
	judged   bool                 // verdict is up to date
	verdict  string               // why the pool is below its budget, or ""
}

// tallies holds one tally per pool of the fleet.
type tallies struct {
	names  []vocab.PoolID // in the order of the fleet's pools
	byName map[vocab.PoolID]*tally
}

func newTallies(s *Snapshot) *tallies {
	t := &tallies{byName: make(map[vocab.PoolID]*tally, len(s.Fleet.Pools))}
	for _, p := range s.Fleet.Pools {
		t.names = append(t.names, p.Name)
		t.byName[p.Name] = &tally{
			spec: p, byZone: map[vocab.ZoneID]int{}, arriving: map[vocab.ZoneID]int{},
			racks: map[rackKey]int{}, occupied: map[string]int{}, broken: map[string]int{},
		}
	}
	for _, svc := range s.Fleet.Services {
		if p, ok := t.byName[svc.Pool]; ok {
			p.keep = svc.Keep
		}
	}
	for _, n := range s.Needs {
		if p, ok := t.byName[n.Pool]; ok {
			p.need = n
		}
	}
	for i := range s.VMs {
		t.add(s, &s.VMs[i])
	}
	for _, name := range t.names {
		t.byName[name].countRacks()
	}
	return t
}

func (t *tallies) add(s *Snapshot, v *VM) {
	e := s.Ledger.VMs[v.Name]
	if e.Move != nil {
		t.addMoving(s, v, e.Move)
		return
	}
	p, ok := t.byName[v.Pool]
	if !ok {
		return
	}
	p.vms = append(p.vms, v)
	inUpkeep := outForMaintenance(v, e)
	if inUpkeep {
		p.inFlight++
	}
	switch recent := v.UnreadyFor < lostGrace; {
	case v.counted():
		p.ready++
		p.byZone[v.Zone]++
	case inUpkeep:
		p.occupy(v)
	case recent:
		p.broken[v.domain(len(p.spec.Zones))]++
	}
	if v.counted() || (inUpkeep && !overdue(s, v, e)) {
		p.held++
	}
}

// addMoving counts a VM between pools as on its way, unless it takes so long
// that its pool should not wait for it.
func (t *tallies) addMoving(s *Snapshot, v *VM, m *Move) {
	p, ok := t.byName[m.To]
	if ok && v.StageFor < drainLimit(s, m.From)+lostGrace {
		p.incoming++
		p.arriving[v.Zone]++
	}
}

// countRacks counts ready VMs by rack and finds the largest part of the pool's ready VMs in one rack.
func (p *tally) countRacks() {
	for _, v := range p.vms {
		if v.counted() {
			k := rackKey{v.Zone, v.Rack}
			p.racks[k]++
			p.rackPart = max(p.rackPart, p.racks[k])
		}
	}
}

type rackKey struct {
	zone vocab.ZoneID
	rack vocab.RackID
}

// refuseTaking returns why a ready VM cannot be taken out of the pool, or "".
// The floor is the number of VMs that demand keeps.
func (p *tally) refuseTaking(v *VM, floor int) string {
	if reason := p.withinBudget(); reason != "" {
		return reason
	}
	if p.ready-1 < p.keep.Ready {
		return fmt.Sprintf("pool %s keeps %d ready and has %d", p.spec.Name, p.keep.Ready, p.ready)
	}
	if p.byZone[v.Zone]-1 < p.keep.ReadyPerZone {
		return p.zoneReason(v.Zone)
	}
	if p.ready-1 < floor {
		return fmt.Sprintf("demand on pool %s needs %d VMs and %d are ready", p.spec.Name, floor, p.ready)
	}
	return ""
}

// withinBudget returns why the pool is below its budget, or "".
func (p *tally) withinBudget() string {
	if !p.judged {
		p.verdict, p.judged = p.judge(), true
	}
	return p.verdict
}

func (p *tally) judge() string {
	if p.ready < p.keep.Ready {
		return fmt.Sprintf("pool %s keeps %d ready and has %d", p.spec.Name, p.keep.Ready, p.ready)
	}
	for _, z := range p.spec.Zones {
		if p.byZone[z] < p.keep.ReadyPerZone {
			return p.zoneReason(z)
		}
	}
	return ""
}

func (p *tally) zoneReason(z vocab.ZoneID) string {
	return fmt.Sprintf("pool %s keeps %d ready in zone %s and has %d", p.spec.Name, p.keep.ReadyPerZone, z, p.byZone[z])
}

// take counts a ready VM as out of service.
func (p *tally) take(v *VM) {
	p.ready--
	p.byZone[v.Zone]--
	p.judged = false
}

// occupy counts the VM's failure domain as in maintenance.
func (p *tally) occupy(v *VM) {
	p.occupied[v.domain(len(p.spec.Zones))]++
}

// refuseDomain returns why a second failure domain would be affected, or "". Our
// own maintenance never affects two. Failures of several VMs in another one leave
// room only while the pool keeps a VM in reserve; a single VM is an ordinary
// failure, which the budget on ready VMs covers.
func (p *tally) refuseDomain(v *VM) string {
	own := v.domain(len(p.spec.Zones))
	for _, other := range sortedKeys(p.occupied) {
		if other != own {
			return fmt.Sprintf("pool %s has VMs of %s in maintenance", p.spec.Name, other)
		}
	}
	for _, other := range sortedKeys(p.broken) {
		if other != own && p.broken[other] > 1 && p.ready-1 <= p.keep.Ready {
			return fmt.Sprintf("pool %s has VMs of %s out of service and none in reserve", p.spec.Name, other)
		}
	}
	return ""
}
