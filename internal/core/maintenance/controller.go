package maintenance

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planInterval is the longest time between two plans. A plan is made at the
// next tick after a ledger change or order reply for a VM, a change of the VM
// list, or a change in the number of idle VMs.
const planInterval = 5 * time.Second

// Controller runs moves and maintenance on one node. It folds the ledger,
// updates observe.State from it, claims ownership when there is no owner, and
// carries out its plans while this process is the owner.
type Controller struct {
	node        vocab.NodeID
	incarnation vocab.Incarnation
	fleet       *spec.Fleet
	ledger      *Ledger
	observed    *observe.State

	estimators  map[vocab.PoolID]*demandEstimator
	trackers    map[vocab.VMID]*vmTracker
	idle        map[vocab.VMID]bool
	listVersion uint64 // version of the VM list at the last tick
	unix        int64
	lastTick    vocab.Instant
	lastPlan    vocab.Instant
	planCurrent bool // nothing has changed since the last plan

	lease          lease
	appendedAt     map[string]vocab.Instant // when a record with that key was last appended
	recordSequence uint64                   // number of the last record of this process
	plan           Plan
	refused        []Refusal
}

// NewController returns the controller of one process. From then on only the
// controller may change the ledger and the state, except that the caller
// applies VM list readings and health signals to the state.
func NewController(node vocab.NodeID, inc vocab.Incarnation, ledger *Ledger, observed *observe.State) *Controller {
	c := &Controller{
		node: node, incarnation: inc, fleet: &spec.Fleet{}, ledger: ledger, observed: observed,
		estimators: map[vocab.PoolID]*demandEstimator{},
		trackers:   map[vocab.VMID]*vmTracker{},
		appendedAt: map[string]vocab.Instant{},
	}
	c.lease.sentAt = map[uint64]vocab.Instant{}
	for _, vm := range sortedKeys(ledger.VMs) {
		c.syncVM(0, vm)
	}
	return c
}

// Step handles one event and returns the effects to carry out.
func (c *Controller) Step(now vocab.Instant, ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case FleetChanged:
		c.fleet = e.Fleet
	case RecordFolded:
		c.fold(now, e)
	case LedgerChanged:
		c.handleLedgerChanged(now, e)
	case OrderCompleted:
		c.handleOrderCompleted(now, e)
	case Tick:
		return c.handleTick(now, e)
	}
	return nil
}

// fold applies a record to the ledger and handles what it changed.
func (c *Controller) fold(now vocab.Instant, e RecordFolded) {
	c.handleLedgerChanged(now, c.ledger.Fold(e.Offset, e.Body))
}

// handleLedgerChanged updates the controller for a record that was applied to
// the ledger.
func (c *Controller) handleLedgerChanged(now vocab.Instant, e LedgerChanged) {
	for _, vm := range e.VMs {
		c.syncVM(now, vm)
		c.planCurrent = false
	}
	if !e.Accepted {
		return
	}
	c.lease.handleRecord(now, e.Body)
	delete(c.appendedAt, appendKey(e.Body))
	if e.NewOwner {
		c.startEpoch(now)
	}
}

// Install installs a ledger from a snapshot at a later offset.
func (c *Controller) Install(now vocab.Instant, ledger *Ledger) {
	changed := ledger.Owner.Epoch != c.ledger.Owner.Epoch
	known := sortedKeys(c.ledger.VMs)
	c.ledger = ledger
	for _, vm := range append(known, sortedKeys(ledger.VMs)...) {
		c.syncVM(now, vm)
	}
	if changed {
		c.startEpoch(now)
	}
}

// syncVM copies the ledger's state of a VM to the observed state.
func (c *Controller) syncVM(now vocab.Instant, vm vocab.VMID) {
	e := c.ledger.VMs[vm]
	c.observed.SetAssignment(vm, e.assignment())
	c.observed.SetMaintenance(vm, e.Maintenance)
	t := c.tracker(vm)
	t.stageSince = now
	if !e.disrupted() || e.Move != nil || e.Maintenance.Stage == observe.MaintenanceDraining {
		t.resetStage(now)
	}
}

// startEpoch resets the per-epoch state after the owner changed. The new owner
// sends the orders again under its epoch, which also makes the platform refuse
// later orders of the former owner.
func (c *Controller) startEpoch(now vocab.Instant) {
	for _, t := range c.trackers {
		t.resetStage(now)
	}
	clear(c.appendedAt)
	c.lease.startEpoch(now, c.isOwner())
}

// isOwner reports whether this process is the owner.
func (c *Controller) isOwner() bool {
	o := c.ledger.Owner
	return o.Epoch != 0 && o.Node == c.node && o.Incarnation == c.incarnation
}

func (c *Controller) handleOrderCompleted(now vocab.Instant, e OrderCompleted) {
	if e.Order.Epoch != c.ledger.Owner.Epoch {
		return
	}
	if e.Result == ResultStale {
		c.lease.fencedEpoch = e.Order.Epoch
	}
	c.planCurrent = false
	t := c.tracker(e.Order.VM)
	if e.Kind == KindAssign && e.Pool != t.assignTo {
		return
	}
	o := [...]*orderTracker{&t.drain, &t.reboot, &t.assign}[e.Kind]
	if e.Result == ResultDone {
		o.markConfirmed(now)
	}
}

func (c *Controller) handleTick(now vocab.Instant, e Tick) []event.Effect {
	dt := min(now.Sub(c.lastTick), maxTickGap)
	c.lastTick = now
	c.unix = e.Unix
	if len(e.Idle) != len(c.idle) || c.observed.Version() != c.listVersion {
		c.planCurrent = false
	}
	c.listVersion = c.observed.Version()
	c.idle = make(map[vocab.VMID]bool, len(e.Idle))
	for _, vm := range e.Idle {
		c.idle[vm] = true
	}
	for _, d := range e.Demand {
		c.estimator(d.Pool).observe(dt, e.Unix, float64(d.Slots))
	}
	c.lease.update(now, e.LogUp, slices.Contains(e.Suspects, c.ledger.Owner.Node))
	out := c.keepOwnership(now)
	if c.planCurrent && now.Sub(c.lastPlan) < planInterval {
		return out
	}
	return append(out, c.replan(now)...)
}

// replan makes a new plan and carries it out if this process is the owner.
func (c *Controller) replan(now vocab.Instant) []event.Effect {
	dt := min(now.Sub(c.lastPlan), maxTickGap)
	c.lastPlan, c.planCurrent = now, true
	s := c.Snapshot(now)
	pools := newPoolStates(s)
	for _, name := range pools.names {
		c.estimator(name).accrueCosts(dt, pools.byName[name])
	}
	c.plan = MakePlan(s)
	if !c.mayExecute(now) {
		return nil
	}
	return c.execute(now, s)
}

// mayExecute reports whether this process may carry out its plan. It needs no
// valid lease while the log is down: no other node can become the owner then,
// and the disruptions in progress can go on.
func (c *Controller) mayExecute(now vocab.Instant) bool {
	if !c.isOwner() || c.lease.fencedEpoch == c.ledger.Owner.Epoch {
		return false
	}
	return c.lease.valid(now) || !c.lease.logUp
}

func (c *Controller) estimator(pool vocab.PoolID) *demandEstimator {
	d, ok := c.estimators[pool]
	if !ok {
		d = &demandEstimator{}
		c.estimators[pool] = d
	}
	return d
}

func (c *Controller) tracker(vm vocab.VMID) *vmTracker {
	t, ok := c.trackers[vm]
	if !ok {
		t = &vmTracker{}
		c.trackers[vm] = t
	}
	return t
}

// Snapshot returns the inputs of a plan made now.
func (c *Controller) Snapshot(now vocab.Instant) *Snapshot {
	s := &Snapshot{Unix: c.unix, Fleet: c.fleet, Ledger: c.ledger, LogUp: c.lease.logUp, HoldReason: c.holdReason(now)}
	for _, vm := range c.observed.All() {
		s.VMs = append(s.VMs, c.snapshotVM(now, vm))
	}
	for _, p := range c.fleet.Pools {
		s.Needs = append(s.Needs, c.estimator(p.Name).need(p.Name, p.Slots, c.unix))
	}
	return s
}

func (c *Controller) snapshotVM(now vocab.Instant, vm *observe.VM) VM {
	t := c.tracker(vm.Name)
	t.observePhase(now, vm.Phase, c.ledger.VMs[vm.Name].disrupted())
	v := VM{
		VM: *vm, Idle: c.idle[vm.Name], Flapping: t.flapping(now), UnreadyFor: t.unreadyFor(now),
		StageFor: now.Sub(t.stageSince), AssignTo: t.assignTo,
		Drain: t.drain.status(now), Reboot: t.reboot.status(now), Assign: t.assign.status(now),
	}
	row, present := c.observed.Listed(vm.Name)
	v.Gone = !present || row.Phase == observe.ListGone
	if present && row.Phase == observe.ListLive {
		v.ListedPool = row.Pool
	}
	return v
}

// holdReason returns why no disruption may begin now, or "".
func (c *Controller) holdReason(now vocab.Instant) string {
	switch {
	case !c.lease.logUp:
		return "the log is down"
	case c.ledger.Owner.Epoch == 0:
		return "the planning has no owner yet"
	case c.isOwner() && !c.lease.valid(now):
		return "the owner's lease is not confirmed"
	case c.appendInFlight(now, keyDisruptions):
		return "earlier steps are not recorded yet"
	}
	return ""
}
