package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// simulation is a stand-in for the log and the platform, with the controllers
// of several nodes. Tests inject faults by setting its fields. It fails the
// test when an invariant is violated.
type simulation struct {
	fail        func(format string, args ...any)
	now         vocab.Instant
	fleet       *spec.Fleet
	log         []record.Body
	ledger      *Ledger
	vms         map[vocab.VMID]*fakeVM
	names       []vocab.VMID
	nodes       []*fakeNode
	demandSlots map[vocab.PoolID]vocab.Slots
	trace       func(line string) // called for each record and executed order; may be nil

	logDown        bool
	listLags       bool
	loseAppends    bool          // appends are neither written nor replied to
	delayAppends   bool          // records of disruptions go to delayedAppends
	loseOrders     [3]bool       // orders of that kind do not arrive
	loseReplies    bool          // orders arrive, but their replies do not
	delayedAppends []record.Body // written by appendDelayed
	lowestMinReady int           // lowest AvailabilityBudget.MinReady that a test sets for pool "a"
}

type fakeVM struct {
	row          observe.Row
	epoch        vocab.Epoch
	rebootEndsAt vocab.Instant // end of the reboot in progress, 0 for none
	dead         bool
	badImage     bool // its next reboot does not end
	lastWorkAt   vocab.Instant
}

type fakeNode struct {
	name       vocab.NodeID
	controller *Controller
	ledger     *Ledger
	observed   *observe.State
	offset     int
	readAt     vocab.Instant // when it last read the log, in simulation time
	paused     bool
	skew       vocab.Instant // its clock minus simulation time
}

const runLimit = 30 * time.Second

func newSimulation(fail func(string, ...any), nodes int) *simulation {
	sim := &simulation{
		fail: fail, now: 1, ledger: NewLedger(), vms: map[vocab.VMID]*fakeVM{}, lowestMinReady: 2,
		demandSlots: map[vocab.PoolID]vocab.Slots{"a": 6, "b": 2, "office": 1},
	}
	zones := []vocab.ZoneID{"z1", "z2", "z3"}
	sim.fleet = &spec.Fleet{
		Pools: []spec.Pool{
			{Name: "a", VMs: 6, Slots: 8, Zones: zones},
			{Name: "b", VMs: 1, Slots: 8, Zones: zones},
			{Name: "office", VMs: 5, Slots: 8, Zones: zones, Spare: true},
		},
		Services: []spec.Service{
			{Queue: "orders", Pool: "a", Budget: spec.AvailabilityBudget{MinReady: 3, MinReadyPerZone: 1}, TimeLimits: spec.TimeLimits{Run: spec.Duration(runLimit)}},
			{Queue: "float", Pool: "b", Budget: spec.AvailabilityBudget{MinReady: 1}, TimeLimits: spec.TimeLimits{Run: spec.Duration(runLimit)}},
			{Queue: "office", Pool: "office", Budget: spec.AvailabilityBudget{MinReady: 1}, TimeLimits: spec.TimeLimits{Run: spec.Duration(runLimit)}},
		},
		Maintenance: spec.Maintenance{
			Interval: spec.Duration(28 * 24 * time.Hour), DrainTimeout: spec.Duration(20 * time.Second),
			RebootTimeout: spec.Duration(3 * time.Minute), StopAfter: 2,
		},
	}
	for _, p := range sim.fleet.Pools {
		for i := range p.VMs {
			zone := zones[i%3]
			row := observe.Row{
				Name: vocab.VMID(fmt.Sprintf("%s%d", p.Name, i+1)), Incarnation: 1, Pool: p.Name,
				Zone: zone, Rack: vocab.RackID(fmt.Sprintf("%s-r%d", zone, i/3)), Phase: observe.ListLive,
			}
			sim.vms[row.Name] = &fakeVM{row: row}
			sim.names = append(sim.names, row.Name)
		}
	}
	for i := range nodes {
		n := &fakeNode{
			name: vocab.NodeID(fmt.Sprintf("n%d", i+1)), ledger: NewLedger(), observed: observe.New(),
			skew: vocab.Instant(i) * vocab.Instant(time.Hour),
		}
		n.controller = NewController(n.name, vocab.Incarnation(i+1), n.ledger, n.observed)
		sim.nodes = append(sim.nodes, n)
	}
	sim.setFleet(sim.fleet)
	return sim
}

func (sim *simulation) setFleet(f *spec.Fleet) {
	sim.fleet = f
	for _, n := range sim.nodes {
		n.controller.Step(sim.now+n.skew, FleetChanged{Fleet: f})
	}
}

// tick advances the platform and all nodes that are not paused by d.
func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, name := range sim.names {
		v := sim.vms[name]
		if v.rebootEndsAt != 0 && v.rebootEndsAt <= sim.now && !v.badImage {
			v.rebootEndsAt = 0
			v.row.Incarnation++
			v.row.Phase = observe.ListLive
		}
		if v.row.Phase == observe.ListLive && !v.dead && v.rebootEndsAt == 0 {
			v.lastWorkAt = sim.now
		}
	}
	for _, n := range sim.nodes {
		if !n.paused {
			sim.runNode(n, true)
		}
	}
}

// runNode runs one tick of a node. It first reads the log and the VM list if
// mayRead is set and no fault prevents it.
func (sim *simulation) runNode(n *fakeNode, mayRead bool) {
	if mayRead && !sim.logDown {
		sim.readLog(n)
	}
	if mayRead && !sim.listLags {
		n.observed.ApplyListing(sim.now+n.skew, uint64(sim.now), sim.listing())
	}
	var suspects []vocab.NodeID
	for _, other := range sim.nodes {
		if other.paused {
			suspects = append(suspects, other.name)
		}
	}
	tick := Tick{Unix: int64(sim.now / 1e9), LogUp: !sim.logDown, Suspects: suspects}
	for _, p := range sim.fleet.Pools {
		tick.Demand = append(tick.Demand, PoolDemand{Pool: p.Name, Slots: sim.demandSlots[p.Name]})
	}
	for _, e := range n.controller.Step(sim.now+n.skew, tick) {
		sim.executeEffect(n, e)
	}
}

func (sim *simulation) readLog(n *fakeNode) {
	n.readAt = sim.now
	for ; n.offset < len(sim.log); n.offset++ {
		n.controller.Step(sim.now+n.skew, RecordFolded{Offset: vocab.Offset(n.offset + 1), Body: sim.log[n.offset]})
	}
}

// listing returns the platform's VM list, which lacks dead VMs.
func (sim *simulation) listing() []observe.Row {
	var rows []observe.Row
	for _, name := range sim.names {
		v := sim.vms[name]
		row := v.row
		if v.rebootEndsAt != 0 {
			row.Phase = observe.ListLeaving
		}
		if !v.dead {
			rows = append(rows, row)
		}
	}
	return rows
}

func (sim *simulation) executeEffect(n *fakeNode, e event.Effect) {
	if _, isAppend := e.(AppendRecord); !isAppend && !sim.logDown && sim.now.Sub(n.readAt) > leaseDuration {
		sim.fail("%s sends orders without having read the log", n.name)
	}
	switch e := e.(type) {
	case AppendRecord:
		disruptions, startsDisruptions := e.Body.(record.DisruptionsStarted)
		if startsDisruptions {
			sim.checkDecision(n, disruptions)
		}
		switch {
		case sim.logDown || sim.loseAppends:
		case sim.delayAppends && startsDisruptions:
			sim.delayedAppends = append(sim.delayedAppends, e.Body)
		default:
			sim.appendRecord(e.Body)
		}
	case OrderDrain:
		sim.handleOrder(n, KindDrain, e.Order, "")
	case OrderReboot:
		sim.handleOrder(n, KindReboot, e.Order, "")
	case OrderAssign:
		sim.handleOrder(n, KindAssign, e.Order, e.Pool)
	}
}

func (sim *simulation) appendRecord(b record.Body) {
	sim.log = append(sim.log, b)
	_, accepted := sim.ledger.Apply(vocab.Offset(len(sim.log)), b)
	if disruptions, ok := b.(record.DisruptionsStarted); ok && accepted {
		sim.checkDisruptions(disruptions)
	}
	if _, isHeartbeat := b.(record.MaintenanceHeartbeat); sim.trace != nil && !isHeartbeat {
		sim.trace(describe(b, accepted))
	}
}

func describe(b record.Body, accepted bool) string {
	text, _ := json.Marshal(b)
	suffix := ""
	if !accepted {
		suffix = " REFUSED"
	}
	return fmt.Sprintf("log    %s %s%s", b.RecordKind(), strings.ReplaceAll(string(text), "\"", ""), suffix)
}

// handleOrder carries out an order as the platform does. It refuses lower
// epochs and other incarnations.
func (sim *simulation) handleOrder(n *fakeNode, kind OrderKind, o VMOrder, pool vocab.PoolID) {
	v := sim.vms[o.VM]
	if sim.loseOrders[kind] || v.dead {
		return
	}
	result := ResultDone
	switch {
	case o.Epoch < v.epoch:
		result = ResultStale
	case o.Incarnation != v.row.Incarnation:
		result = ResultRejected
	default:
		v.epoch = o.Epoch
		sim.executeOrder(n, kind, v, pool)
	}
	if !sim.loseReplies {
		n.controller.Step(sim.now+n.skew, OrderCompleted{Kind: kind, Order: o, Pool: pool, Result: result})
	}
}

func (sim *simulation) executeOrder(n *fakeNode, kind OrderKind, v *fakeVM, pool vocab.PoolID) {
	if sim.trace != nil {
		sim.trace(fmt.Sprintf("order  %s %s %s by %s", [...]string{"drain", "reboot", "assign"}[kind], v.row.Name, pool, n.name))
	}
	switch kind {
	case KindDrain:
		v.row.Phase = observe.ListLeaving
	case KindAssign:
		v.row.Phase, v.row.Pool = observe.ListLive, pool
	case KindReboot:
		m := sim.ledger.VMs[v.row.Name].Maintenance
		if m.Stage == observe.MaintenanceNone || m.Incarnation != v.row.Incarnation {
			sim.fail("%s rebooted %s although the ledger has it in service", n.name, v.row.Name)
		}
		if sim.now.Sub(v.lastWorkAt) < runLimit {
			sim.fail("%s rebooted %s, which may still run a request", n.name, v.row.Name)
		}
		if v.rebootEndsAt == 0 {
			v.rebootEndsAt = sim.now.Add(60 * time.Second)
		}
	}
}

// checkDecision checks that a node's disruptions leave each pool within its
// budget, by what that node has observed.
func (sim *simulation) checkDecision(n *fakeNode, b record.DisruptionsStarted) {
	if sim.logDown || sim.now.Sub(n.readAt) > leaseDuration {
		sim.fail("%s starts disruptions without having read the log", n.name)
	}
	for _, svc := range sim.fleet.Services {
		ready, readyByZone, removed := 0, map[vocab.ZoneID]int{}, 0
		for _, vm := range n.observed.Ready(svc.Pool) {
			if includesVM(b, vm.Name) {
				removed++
				continue
			}
			ready++
			readyByZone[vm.Zone]++
		}
		if removed == 0 {
			continue
		}
		if ready < svc.Budget.MinReady {
			sim.fail("%s takes %d of pool %s and leaves %d ready", n.name, removed, svc.Pool, ready)
		}
		pool, _ := sim.fleet.Pool(svc.Pool)
		for _, zone := range pool.Zones {
			if readyByZone[zone] < svc.Budget.MinReadyPerZone {
				sim.fail("%s takes %d of pool %s, which has %d in zone %s", n.name, removed, svc.Pool, readyByZone[zone], zone)
			}
		}
	}
}

func includesVM(b record.DisruptionsStarted, vm vocab.VMID) bool {
	return slices.ContainsFunc(b.Started, func(s record.VMMaintenanceStarted) bool { return s.VM == vm }) ||
		slices.ContainsFunc(b.Left, func(l record.VMLeftPool) bool { return l.VM == vm })
}

// checkDisruptions checks that the disruptions in the ledger by themselves,
// without failures, leave pool "a" within its budget and maintain only one of
// its zones, and that a wave of which too few VMs have returned takes out no
// more VMs than may fail.
func (sim *simulation) checkDisruptions(b record.DisruptionsStarted) {
	out := 0
	for _, name := range sim.names {
		m := sim.ledger.VMs[name].Maintenance
		if sim.vms[name].dead && m.Stage == observe.MaintenanceDraining {
			continue // failed before its maintenance
		}
		if m.Stage != observe.MaintenanceNone && m.Stage != observe.MaintenanceFailed && sim.vms[name].row.Incarnation <= m.Incarnation {
			out++
		}
	}
	stopAfter := sim.fleet.Maintenance.StopAfter
	if len(b.Started) > 0 && sim.ledger.Wave.Returned < stopAfter && out+sim.ledger.Wave.Failed > stopAfter {
		sim.fail("%d VMs are in maintenance and %d failed before enough VMs of the wave returned", out, sim.ledger.Wave.Failed)
	}
	remaining, maintainedZones, poolChanged := 0, map[vocab.ZoneID]bool{}, false
	for _, name := range sim.names {
		e, v := sim.ledger.VMs[name], sim.vms[name]
		pool := e.Pool
		if pool == "" {
			pool = v.row.Pool
		}
		if e.Move != nil || pool != "a" {
			continue
		}
		out := e.Maintenance.Stage != observe.MaintenanceNone && v.row.Incarnation <= e.Maintenance.Incarnation
		if out {
			failed := e.Maintenance.Stage == observe.MaintenanceFailed || (v.dead && e.Maintenance.Stage == observe.MaintenanceDraining)
			maintainedZones[v.row.Zone] = maintainedZones[v.row.Zone] || !failed
			poolChanged = poolChanged || includesVM(b, name)
		} else {
			remaining++
		}
	}
	if poolChanged && remaining < sim.lowestMinReady {
		sim.fail("the ledger leaves %d VMs to pool a", remaining)
	}
	zoneCount := 0
	for _, inMaintenance := range maintainedZones {
		if inMaintenance {
			zoneCount++
		}
	}
	if poolChanged && zoneCount > 1 {
		sim.fail("pool a is maintained in %d zones at once", zoneCount)
	}
}
