package maintenance

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// planEvery is the longest time between two plans. A record or answer that
// concerns a VM, a change of the VM list and a VM that fell idle bring the next
// plan forward to the next tick.
const planEvery = 5 * time.Second

// Controller is the local state of one node's part in moves and maintenance. It
// folds the ledger, keeps observe.State up to date with it, claims the planning
// when there is no owner, and carries plans out while it is the owner.
type Controller struct {
	node        vocab.NodeID
	incarnation vocab.Incarnation
	fleet       *spec.Fleet
	ledger      *Ledger
	seen        *observe.State

	demands  map[vocab.PoolID]*demand
	watched  map[vocab.VMID]*watched
	idle     map[vocab.VMID]bool
	listed   uint64 // version of the VM list at the last tick
	unix     int64
	lastTick vocab.Instant
	lastPlan vocab.Instant
	planned  bool // the last plan is not out of date

	lease    lease
	appends  map[string]vocab.Instant // when a body of that key was last appended
	sequence uint64                   // numbers this process's records
	plan     Plan
	refused  []Refusal
}

// NewController returns the part of one process. The ledger and the state must
// not be changed by others, except that VM list readings and signs of health are
// folded into seen by the caller.
func NewController(node vocab.NodeID, inc vocab.Incarnation, ledger *Ledger, seen *observe.State) *Controller {
	c := &Controller{
		node: node, incarnation: inc, fleet: &spec.Fleet{}, ledger: ledger, seen: seen,
		demands: map[vocab.PoolID]*demand{},
		watched: map[vocab.VMID]*watched{},
		appends: map[string]vocab.Instant{},
	}
	c.lease.sentAt = map[uint64]vocab.Instant{}
	for _, vm := range sortedKeys(ledger.VMs) {
		c.follow(0, vm)
	}
	return c
}

// Step takes in one event and returns what is to be done.
func (c *Controller) Step(now vocab.Instant, ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case FleetChanged:
		c.fleet = e.Fleet
	case RecordFolded:
		c.fold(now, e)
	case LedgerChanged:
		c.noteLedger(now, e)
	case OrderAnswered:
		c.answered(now, e)
	case Tick:
		return c.tick(now, e)
	}
	return nil
}

// fold applies a record to the ledger and follows what it changed.
func (c *Controller) fold(now vocab.Instant, e RecordFolded) {
	c.noteLedger(now, c.ledger.Fold(e.Offset, e.Body))
}

// noteLedger takes in what one record changed in the ledger.
func (c *Controller) noteLedger(now vocab.Instant, e LedgerChanged) {
	for _, vm := range e.VMs {
		c.follow(now, vm)
		c.planned = false
	}
	if !e.Accepted {
		return
	}
	c.lease.folded(now, e.Body)
	delete(c.appends, appendKey(e.Body))
	if e.NewOwner {
		c.takeOver(now)
	}
}

// Adopt replaces the ledger by one from a snapshot of a later offset.
func (c *Controller) Adopt(now vocab.Instant, ledger *Ledger) {
	changed := ledger.Owner.Epoch != c.ledger.Owner.Epoch
	known := sortedKeys(c.ledger.VMs)
	c.ledger = ledger
	for _, vm := range append(known, sortedKeys(ledger.VMs)...) {
		c.follow(now, vm)
	}
	if changed {
		c.takeOver(now)
	}
}

// follow passes the ledger's word on a VM to the observed state.
func (c *Controller) follow(now vocab.Instant, vm vocab.VMID) {
	e := c.ledger.VMs[vm]
	c.seen.SetAssignment(vm, e.assignment())
	c.seen.SetUpkeep(vm, e.Upkeep)
	w := c.watch(vm)
	w.stageSince = now
	if !e.busy() || e.Move != nil || e.Upkeep.Stage == observe.UpkeepDrain {
		w.restart(now)
	}
}

// takeOver begins a new epoch. Orders of earlier epochs are given again under
// the new one, which also makes the platform refuse what a former owner sends.
func (c *Controller) takeOver(now vocab.Instant) {
	for _, w := range c.watched {
		w.restart(now)
	}
	clear(c.appends)
	c.lease.begin(now, c.owns())
}

func (c *Controller) owns() bool {
	o := c.ledger.Owner
	return o.Epoch != 0 && o.Node == c.node && o.Incarnation == c.incarnation
}

func (c *Controller) answered(now vocab.Instant, e OrderAnswered) {
	if e.Order.Epoch != c.ledger.Owner.Epoch {
		return
	}
	if e.Result == ResultStale {
		c.lease.fenced = e.Order.Epoch
	}
	c.planned = false
	w := c.watch(e.Order.VM)
	if e.Kind == KindAssign && e.Pool != w.assignTo {
		return
	}
	o := [...]*sentOrder{&w.drain, &w.reboot, &w.assign}[e.Kind]
	if e.Result == ResultDone {
		o.confirm(now)
	}
}

func (c *Controller) tick(now vocab.Instant, e Tick) []event.Effect {
	dt := min(now.Sub(c.lastTick), maxTickGap)
	c.lastTick = now
	c.unix = e.Unix
	if len(e.Idle) != len(c.idle) || c.seen.Version() != c.listed {
		c.planned = false
	}
	c.listed = c.seen.Version()
	c.idle = make(map[vocab.VMID]bool, len(e.Idle))
	for _, vm := range e.Idle {
		c.idle[vm] = true
	}
	for _, d := range e.Demand {
		c.demand(d.Pool).observe(dt, e.Unix, float64(d.Slots))
	}
	c.lease.tick(now, e.LogUp, slices.Contains(e.Suspects, c.ledger.Owner.Node))
	out := c.keepOwnership(now)
	if c.planned && now.Sub(c.lastPlan) < planEvery {
		return out
	}
	return append(out, c.replan(now)...)
}

// replan makes a new plan and carries it out if this process is the owner.
func (c *Controller) replan(now vocab.Instant) []event.Effect {
	dt := min(now.Sub(c.lastPlan), maxTickGap)
	c.lastPlan, c.planned = now, true
	s := c.Snapshot(now)
	t := newTallies(s)
	for _, name := range t.names {
		c.demand(name).account(dt, t.byName[name])
	}
	c.plan = MakePlan(s)
	if !c.mayAct(now) {
		return nil
	}
	return c.carryOut(now, s)
}

// mayAct reports whether this process may give orders. While the log is down no
// other can become the owner, so what is under way goes on without a lease.
func (c *Controller) mayAct(now vocab.Instant) bool {
	if !c.owns() || c.lease.fenced == c.ledger.Owner.Epoch {
		return false
	}
	return c.lease.fresh(now) || !c.lease.logUp
}

func (c *Controller) demand(pool vocab.PoolID) *demand {
	d, ok := c.demands[pool]
	if !ok {
		d = &demand{}
		c.demands[pool] = d
	}
	return d
}

func (c *Controller) watch(vm vocab.VMID) *watched {
	w, ok := c.watched[vm]
	if !ok {
		w = &watched{}
		c.watched[vm] = w
	}
	return w
}

// Snapshot returns what a plan made now depends on.
func (c *Controller) Snapshot(now vocab.Instant) *Snapshot {
	s := &Snapshot{Unix: c.unix, Fleet: c.fleet, Ledger: c.ledger, LogUp: c.lease.logUp, Hold: c.hold(now)}
	for _, vm := range c.seen.All() {
		s.VMs = append(s.VMs, c.view(now, vm))
	}
	for _, p := range c.fleet.Pools {
		s.Needs = append(s.Needs, c.demand(p.Name).need(p.Name, p.Slots, c.unix))
	}
	return s
}

func (c *Controller) view(now vocab.Instant, vm *observe.VM) VM {
	w := c.watch(vm.Name)
	w.see(now, vm.Phase, c.ledger.VMs[vm.Name].busy())
	v := VM{
		VM: *vm, Idle: c.idle[vm.Name], Flapping: w.flapping(now), UnreadyFor: w.unreadyFor(now),
		StageFor: now.Sub(w.stageSince), AssignTo: w.assignTo,
		Drain: w.drain.view(now), Reboot: w.reboot.view(now), Assign: w.assign.view(now),
	}
	row, present := c.seen.Listed(vm.Name)
	v.Gone = !present || row.Phase == observe.ListGone
	if present && row.Phase == observe.ListLive {
		v.ListedPool = row.Pool
	}
	return v
}

// hold returns why nothing new may be begun, or "".
func (c *Controller) hold(now vocab.Instant) string {
	switch {
	case !c.lease.logUp:
		return "the log is down"
	case c.ledger.Owner.Epoch == 0:
		return "no node plans yet"
	case c.owns() && !c.lease.fresh(now):
		return "the planner's lease is not confirmed"
	case c.pending(now, keyBegun):
		return "earlier steps are not recorded yet"
	}
	return ""
}
