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

// world is a fake log, a fake platform and some nodes. Faults are fields that
// the tests set. It fails the test when a promise is broken.
type world struct {
	fail  func(format string, args ...any)
	now   vocab.Instant
	fleet *spec.Fleet
	log   []record.Body
	truth *Ledger
	vms   map[vocab.VMID]*fakeVM
	names []vocab.VMID
	nodes []*fakeNode
	slots map[vocab.PoolID]vocab.Slots
	trace func(line string) // nil or told of every record and accepted order

	logDown    bool
	listLags   bool
	loseAppend bool          // appends are neither written nor answered
	delay      bool          // records that begin something are written when late is flushed
	loseOrder  [3]bool       // orders of that kind do not arrive
	loseAnswer bool          // orders arrive, their answers do not
	late       []record.Body // delayed appends
	leastKeep  int           // least Keep.Ready of pool "a" that was ever in force
}

type fakeVM struct {
	row      observe.Row
	epoch    vocab.Epoch
	backAt   vocab.Instant // end of a reboot under way, 0 for none
	dead     bool
	badImage bool // does not come back from its next reboot
	lastWork vocab.Instant
}

type fakeNode struct {
	name   vocab.NodeID
	c      *Controller
	ledger *Ledger
	seen   *observe.State
	offset int
	readAt vocab.Instant // when it last read the log, in the world's time
	paused bool
	skew   vocab.Instant // its clock minus the world's
}

const runLimit = 30 * time.Second

func newWorld(fail func(string, ...any), nodes int) *world {
	w := &world{
		fail: fail, now: 1, truth: NewLedger(), vms: map[vocab.VMID]*fakeVM{}, leastKeep: 2,
		slots: map[vocab.PoolID]vocab.Slots{"a": 6, "b": 2, "office": 1},
	}
	zones := []vocab.ZoneID{"z1", "z2", "z3"}
	w.fleet = &spec.Fleet{
		Pools: []spec.Pool{
			{Name: "a", VMs: 6, Slots: 8, Zones: zones},
			{Name: "b", VMs: 1, Slots: 8, Zones: zones},
			{Name: "office", VMs: 5, Slots: 8, Zones: zones, Spare: true},
		},
		Services: []spec.Service{
			{Queue: "orders", Pool: "a", Keep: spec.Keep{Ready: 3, ReadyPerZone: 1}, Limits: spec.TimeLimits{Run: spec.Duration(runLimit)}},
			{Queue: "float", Pool: "b", Keep: spec.Keep{Ready: 1}, Limits: spec.TimeLimits{Run: spec.Duration(runLimit)}},
			{Queue: "office", Pool: "office", Keep: spec.Keep{Ready: 1}, Limits: spec.TimeLimits{Run: spec.Duration(runLimit)}},
		},
		Maintenance: spec.Maintenance{
			Every: spec.Duration(28 * 24 * time.Hour), Drain: spec.Duration(20 * time.Second),
			Reboot: spec.Duration(3 * time.Minute), StopAfter: 2,
		},
	}
	for _, p := range w.fleet.Pools {
		for i := range p.VMs {
			zone := zones[i%3]
			row := observe.Row{
				Name: vocab.VMID(fmt.Sprintf("%s%d", p.Name, i+1)), Incarnation: 1, Pool: p.Name,
				Zone: zone, Rack: vocab.RackID(fmt.Sprintf("%s-r%d", zone, i/3)), Phase: observe.ListLive,
			}
			w.vms[row.Name] = &fakeVM{row: row}
			w.names = append(w.names, row.Name)
		}
	}
	for i := range nodes {
		n := &fakeNode{
			name: vocab.NodeID(fmt.Sprintf("n%d", i+1)), ledger: NewLedger(), seen: observe.New(),
			skew: vocab.Instant(i) * vocab.Instant(time.Hour),
		}
		n.c = NewController(n.name, vocab.Incarnation(i+1), n.ledger, n.seen)
		w.nodes = append(w.nodes, n)
	}
	w.setFleet(w.fleet)
	return w
}

func (w *world) setFleet(f *spec.Fleet) {
	w.fleet = f
	for _, n := range w.nodes {
		n.c.Step(w.now+n.skew, FleetChanged{Fleet: f})
	}
}

// tick lets d pass for the platform and all nodes that are not paused.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range w.names {
		v := w.vms[name]
		if v.backAt != 0 && v.backAt <= w.now && !v.badImage {
			v.backAt = 0
			v.row.Incarnation++
			v.row.Phase = observe.ListLive
		}
		if v.row.Phase == observe.ListLive && !v.dead && v.backAt == 0 {
			v.lastWork = w.now
		}
	}
	for _, n := range w.nodes {
		if !n.paused {
			w.run(n, true)
		}
	}
}

// run lets one node read, if it may, and tick.
func (w *world) run(n *fakeNode, reads bool) {
	if reads && !w.logDown {
		w.read(n)
	}
	if reads && !w.listLags {
		n.seen.ApplyListing(w.now+n.skew, uint64(w.now), w.rows())
	}
	var suspects []vocab.NodeID
	for _, other := range w.nodes {
		if other.paused {
			suspects = append(suspects, other.name)
		}
	}
	tick := Tick{Unix: int64(w.now / 1e9), LogUp: !w.logDown, Suspects: suspects}
	for _, p := range w.fleet.Pools {
		tick.Demand = append(tick.Demand, PoolDemand{Pool: p.Name, Slots: w.slots[p.Name]})
	}
	for _, e := range n.c.Step(w.now+n.skew, tick) {
		w.execute(n, e)
	}
}

func (w *world) read(n *fakeNode) {
	n.readAt = w.now
	for ; n.offset < len(w.log); n.offset++ {
		n.c.Step(w.now+n.skew, RecordFolded{Offset: vocab.Offset(n.offset + 1), Body: w.log[n.offset]})
	}
}

// rows lists what lives. A dead VM is not listed.
func (w *world) rows() []observe.Row {
	var rows []observe.Row
	for _, name := range w.names {
		v := w.vms[name]
		row := v.row
		if v.backAt != 0 {
			row.Phase = observe.ListLeaving
		}
		if !v.dead {
			rows = append(rows, row)
		}
	}
	return rows
}

func (w *world) execute(n *fakeNode, e event.Effect) {
	if _, appends := e.(AppendRecord); !appends && !w.logDown && w.now.Sub(n.readAt) > leaseLife {
		w.fail("%s gives orders without having read the log", n.name)
	}
	switch e := e.(type) {
	case AppendRecord:
		begun, begins := e.Body.(record.DisruptionsBegun)
		if begins {
			w.checkBegun(n, begun)
		}
		switch {
		case w.logDown || w.loseAppend:
		case w.delay && begins:
			w.late = append(w.late, e.Body)
		default:
			w.append(e.Body)
		}
	case OrderDrain:
		w.order(n, KindDrain, e.Order, "")
	case OrderReboot:
		w.order(n, KindReboot, e.Order, "")
	case OrderAssign:
		w.order(n, KindAssign, e.Order, e.Pool)
	}
}

func (w *world) append(b record.Body) {
	w.log = append(w.log, b)
	_, accepted := w.truth.Apply(vocab.Offset(len(w.log)), b)
	if begun, ok := b.(record.DisruptionsBegun); ok && accepted {
		w.checkOwnActs(begun)
	}
	if _, heartbeat := b.(record.MaintenanceHeld); w.trace != nil && !heartbeat {
		w.trace(describe(b, accepted))
	}
}

func describe(b record.Body, accepted bool) string {
	text, _ := json.Marshal(b)
	verdict := ""
	if !accepted {
		verdict = " REFUSED"
	}
	return fmt.Sprintf("log    %s %s%s", b.RecordKind(), strings.ReplaceAll(string(text), "\"", ""), verdict)
}

// order is the platform: it refuses lower epochs and other incarnations.
func (w *world) order(n *fakeNode, kind OrderKind, o VMOrder, pool vocab.PoolID) {
	v := w.vms[o.VM]
	if w.loseOrder[kind] || v.dead {
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
		w.carryOut(n, kind, v, pool)
	}
	if !w.loseAnswer {
		n.c.Step(w.now+n.skew, OrderAnswered{Kind: kind, Order: o, Pool: pool, Result: result})
	}
}

func (w *world) carryOut(n *fakeNode, kind OrderKind, v *fakeVM, pool vocab.PoolID) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("order  %s %s %s by %s", [...]string{"drain", "reboot", "assign"}[kind], v.row.Name, pool, n.name))
	}
	switch kind {
	case KindDrain:
		v.row.Phase = observe.ListLeaving
	case KindAssign:
		v.row.Phase, v.row.Pool = observe.ListLive, pool
	case KindReboot:
		u := w.truth.VMs[v.row.Name].Upkeep
		if u.Stage == observe.UpkeepNone || u.Incarnation != v.row.Incarnation {
			w.fail("%s rebooted %s although the ledger has it in service", n.name, v.row.Name)
		}
		if w.now.Sub(v.lastWork) < runLimit {
			w.fail("%s rebooted %s, which may still run a request", n.name, v.row.Name)
		}
		if v.backAt == 0 {
			v.backAt = w.now.Add(60 * time.Second)
		}
	}
}

// checkBegun checks a decision against all that its maker has observed.
func (w *world) checkBegun(n *fakeNode, b record.DisruptionsBegun) {
	if w.logDown || w.now.Sub(n.readAt) > leaseLife {
		w.fail("%s begins something without having read the log", n.name)
	}
	for _, svc := range w.fleet.Services {
		ready, zones, out := 0, map[vocab.ZoneID]int{}, 0
		for _, vm := range n.seen.Ready(svc.Pool) {
			if began(b, vm.Name) {
				out++
				continue
			}
			ready++
			zones[vm.Zone]++
		}
		if out == 0 {
			continue
		}
		if ready < svc.Keep.Ready {
			w.fail("%s takes %d of pool %s and leaves %d ready", n.name, out, svc.Pool, ready)
		}
		pool, _ := w.fleet.Pool(svc.Pool)
		for _, zone := range pool.Zones {
			if zones[zone] < svc.Keep.ReadyPerZone {
				w.fail("%s takes %d of pool %s, which has %d in zone %s", n.name, out, svc.Pool, zones[zone], zone)
			}
		}
	}
}

func began(b record.DisruptionsBegun, vm vocab.VMID) bool {
	return slices.ContainsFunc(b.Started, func(s record.VMMaintenanceStarted) bool { return s.VM == vm }) ||
		slices.ContainsFunc(b.Left, func(l record.VMLeftPool) bool { return l.VM == vm })
}

// checkOwnActs checks that what was taken out by the ledger would leave pool
// "a" within its budget and in one failure domain if no VM had failed.
func (w *world) checkOwnActs(b record.DisruptionsBegun) {
	out := 0
	for _, name := range w.names {
		u := w.truth.VMs[name].Upkeep
		if w.vms[name].dead && u.Stage == observe.UpkeepDrain {
			continue // it failed by itself
		}
		if u.Stage != observe.UpkeepNone && u.Stage != observe.UpkeepFailed && w.vms[name].row.Incarnation <= u.Incarnation {
			out++
		}
	}
	stop := w.fleet.Maintenance.StopAfter
	if len(b.Started) > 0 && w.truth.Wave.Returned < stop && out+w.truth.Wave.Failed > stop {
		w.fail("%d VMs are out and %d did not come back in an unproven wave", out, w.truth.Wave.Failed)
	}
	left, zones, touched := 0, map[vocab.ZoneID]bool{}, false
	for _, name := range w.names {
		e, v := w.truth.VMs[name], w.vms[name]
		pool := e.Pool
		if pool == "" {
			pool = v.row.Pool
		}
		if e.Move != nil || pool != "a" {
			continue
		}
		out := e.Upkeep.Stage != observe.UpkeepNone && v.row.Incarnation <= e.Upkeep.Incarnation
		if out {
			failed := e.Upkeep.Stage == observe.UpkeepFailed || (v.dead && e.Upkeep.Stage == observe.UpkeepDrain)
			zones[v.row.Zone] = zones[v.row.Zone] || !failed
			touched = touched || began(b, name)
		} else {
			left++
		}
	}
	if touched && left < w.leastKeep {
		w.fail("the ledger leaves %d VMs to pool a", left)
	}
	busy := 0
	for _, working := range zones {
		if working {
			busy++
		}
	}
	if touched && busy > 1 {
		w.fail("pool a is maintained in %d zones at once", busy)
	}
}
