package capacity

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// simulation drives one maintenance controller on a virtual clock. Records are
// folded as soon as they are appended, orders take effect after fixed times,
// and the controller sees the VM list every listInterval.
type simulation struct {
	fleet    *spec.Fleet
	now      vocab.Instant
	vms      []observe.Row
	vmIndex  map[vocab.VMID]int
	returnAt map[vocab.VMID]vocab.Instant // end of the current reboot or failure
	failed   map[vocab.VMID]bool          // out of service because of a failure

	drainStart map[vocab.VMID]vocab.Instant // time of the drain order
	ledger     *maintenance.Ledger
	observed   *observe.State
	controller *maintenance.Controller
	offset     vocab.Offset
	lastListed vocab.Instant // time of the last VM list
	moves      int           // VM moves that the controller has started
}

func newSimulation(s Size) *simulation {
	sim := &simulation{
		fleet: s.fleetSpec(), now: 1, vms: s.initialVMList(), vmIndex: map[vocab.VMID]int{}, failed: map[vocab.VMID]bool{},
		drainStart: map[vocab.VMID]vocab.Instant{},
		returnAt:   map[vocab.VMID]vocab.Instant{}, ledger: maintenance.NewLedger(), observed: observe.New(),
	}
	for i, r := range sim.vms {
		sim.vmIndex[r.Name] = i
	}
	sim.controller = maintenance.NewController("n1", 1, sim.ledger, sim.observed)
	sim.controller.Step(sim.now, maintenance.FleetChanged{Fleet: sim.fleet})
	return sim
}

// elapsed returns the virtual time since the start.
func (sim *simulation) elapsed() time.Duration {
	return time.Duration(sim.now - 1)
}

// tick advances the clock by d and steps the controller with the demand of that
// interval.
func (sim *simulation) tick(d time.Duration, demand []maintenance.PoolDemand) {
	sim.now = sim.now.Add(d)
	for i := range sim.vms {
		r := &sim.vms[i]
		if at, out := sim.returnAt[r.Name]; out && at <= sim.now {
			delete(sim.returnAt, r.Name)
			delete(sim.failed, r.Name)
			r.Incarnation++
			r.Phase = observe.ListLive
		}
	}
	if sim.now.Sub(sim.lastListed) >= listInterval {
		sim.lastListed = sim.now
		sim.observed.ApplyListing(sim.now, uint64(sim.now), sim.listedVMs())
	}
	tick := maintenance.Tick{
		Unix: int64(sim.elapsed() / time.Second), LogUp: true, Demand: demand, Idle: sim.drainedVMs(),
	}
	for _, e := range sim.controller.Step(sim.now, tick) {
		sim.execute(e)
	}
}

// drainedVMs returns the draining VMs whose last request has ended.
func (sim *simulation) drainedVMs() []vocab.VMID {
	var drained []vocab.VMID
	for _, r := range sim.vms {
		if r.Phase == observe.ListLeaving && sim.now.Sub(sim.drainStart[r.Name]) >= drainDuration {
			drained = append(drained, r.Name)
		}
	}
	return drained
}

// listedVMs returns the platform's VM list, which leaves out failed VMs.
func (sim *simulation) listedVMs() []observe.Row {
	rows := make([]observe.Row, 0, len(sim.vms))
	for _, r := range sim.vms {
		if !sim.failed[r.Name] {
			rows = append(rows, r)
		}
	}
	return rows
}

// fail takes a VM out of service for d.
func (sim *simulation) fail(vm vocab.VMID, d time.Duration) {
	sim.failed[vm] = true
	sim.returnAt[vm] = sim.now.Add(d)
}

// execute carries out an effect of the controller.
func (sim *simulation) execute(e event.Effect) {
	switch e := e.(type) {
	case maintenance.AppendRecord:
		sim.appendRecord(e.Body)
	case maintenance.OrderDrain:
		sim.executeOrder(maintenance.KindDrain, e.Order, "")
	case maintenance.OrderReboot:
		sim.executeOrder(maintenance.KindReboot, e.Order, "")
	case maintenance.OrderAssign:
		sim.executeOrder(maintenance.KindAssign, e.Order, e.Pool)
	}
}

// appendRecord appends a record to the log and folds it.
func (sim *simulation) appendRecord(body record.Body) {
	sim.offset++
	if started, ok := body.(record.DisruptionsStarted); ok {
		sim.moves += len(started.Left)
	}
	sim.controller.Step(sim.now, maintenance.RecordFolded{Offset: sim.offset, Body: body})
}

// executeOrder carries out a VM order. Orders for failed VMs or earlier
// incarnations are lost without an answer.
func (sim *simulation) executeOrder(kind maintenance.OrderKind, o maintenance.VMOrder, pool vocab.PoolID) {
	r := &sim.vms[sim.vmIndex[o.VM]]
	if sim.failed[o.VM] || o.Incarnation != r.Incarnation {
		return
	}
	switch kind {
	case maintenance.KindDrain:
		r.Phase = observe.ListLeaving
		sim.drainStart[o.VM] = sim.now
	case maintenance.KindReboot:
		r.Phase = observe.ListLeaving
		sim.returnAt[o.VM] = sim.now.Add(rebootDuration)
	case maintenance.KindAssign:
		r.Phase, r.Pool = observe.ListLive, pool
	}
	sim.controller.Step(sim.now, maintenance.OrderCompleted{Kind: kind, Order: o, Pool: pool, Result: maintenance.ResultDone})
}
