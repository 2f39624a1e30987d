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

// bench drives one controller: records are folded at once, orders are carried
// out after fixed times, and the VM list is read every listEvery.
type bench struct {
	fleet  *spec.Fleet
	now    vocab.Instant
	rows   []observe.Row
	byName map[vocab.VMID]int
	back   map[vocab.VMID]vocab.Instant // end of a reboot or failure under way
	failed map[vocab.VMID]bool          // out by a failure

	drained map[vocab.VMID]vocab.Instant // when the drain was ordered
	ledger  *maintenance.Ledger
	seen    *observe.State
	ctl     *maintenance.Controller
	offset  vocab.Offset
	listed  vocab.Instant
	moves   int
}

func newBench(s Size) *bench {
	b := &bench{
		fleet: s.fleet(), now: 1, rows: s.rows(), byName: map[vocab.VMID]int{}, failed: map[vocab.VMID]bool{},
		drained: map[vocab.VMID]vocab.Instant{},
		back:    map[vocab.VMID]vocab.Instant{}, ledger: maintenance.NewLedger(), seen: observe.New(),
	}
	for i, r := range b.rows {
		b.byName[r.Name] = i
	}
	b.ctl = maintenance.NewController("n1", 1, b.ledger, b.seen)
	b.ctl.Step(b.now, maintenance.FleetChanged{Fleet: b.fleet})
	return b
}

// elapsed returns the time since the start.
func (b *bench) elapsed() time.Duration {
	return time.Duration(b.now - 1)
}

// tick lets d pass and hands the demand of that time to the controller.
func (b *bench) tick(d time.Duration, demand []maintenance.PoolDemand) {
	b.now = b.now.Add(d)
	for i := range b.rows {
		r := &b.rows[i]
		if at, out := b.back[r.Name]; out && at <= b.now {
			delete(b.back, r.Name)
			delete(b.failed, r.Name)
			r.Incarnation++
			r.Phase = observe.ListLive
		}
	}
	if b.now.Sub(b.listed) >= listEvery {
		b.listed = b.now
		b.seen.ApplyListing(b.now, uint64(b.now), b.list())
	}
	tick := maintenance.Tick{
		Unix: int64(b.elapsed() / time.Second), LogUp: true, Demand: demand, Idle: b.idle(),
	}
	for _, e := range b.ctl.Step(b.now, tick) {
		b.execute(e)
	}
}

// idle returns the VMs whose last request has ended after their drain.
func (b *bench) idle() []vocab.VMID {
	var idle []vocab.VMID
	for _, r := range b.rows {
		if r.Phase == observe.ListLeaving && b.now.Sub(b.drained[r.Name]) >= drainTime {
			idle = append(idle, r.Name)
		}
	}
	return idle
}

// list returns the rows of the VMs that the platform shows.
func (b *bench) list() []observe.Row {
	rows := make([]observe.Row, 0, len(b.rows))
	for _, r := range b.rows {
		if !b.failed[r.Name] {
			rows = append(rows, r)
		}
	}
	return rows
}

// fail takes a VM out for some time.
func (b *bench) fail(vm vocab.VMID, d time.Duration) {
	b.failed[vm] = true
	b.back[vm] = b.now.Add(d)
}

func (b *bench) execute(e event.Effect) {
	switch e := e.(type) {
	case maintenance.AppendRecord:
		b.append(e.Body)
	case maintenance.OrderDrain:
		b.order(maintenance.KindDrain, e.Order, "")
	case maintenance.OrderReboot:
		b.order(maintenance.KindReboot, e.Order, "")
	case maintenance.OrderAssign:
		b.order(maintenance.KindAssign, e.Order, e.Pool)
	}
}

func (b *bench) append(body record.Body) {
	b.offset++
	if begun, ok := body.(record.DisruptionsStarted); ok {
		b.moves += len(begun.Left)
	}
	b.ctl.Step(b.now, maintenance.RecordFolded{Offset: b.offset, Body: body})
}

func (b *bench) order(kind maintenance.OrderKind, o maintenance.VMOrder, pool vocab.PoolID) {
	r := &b.rows[b.byName[o.VM]]
	if b.failed[o.VM] || o.Incarnation != r.Incarnation {
		return
	}
	switch kind {
	case maintenance.KindDrain:
		r.Phase = observe.ListLeaving
		b.drained[o.VM] = b.now
	case maintenance.KindReboot:
		r.Phase = observe.ListLeaving
		b.back[o.VM] = b.now.Add(rebootTime)
	case maintenance.KindAssign:
		r.Phase, r.Pool = observe.ListLive, pool
	}
	b.ctl.Step(b.now, maintenance.OrderAnswered{Kind: kind, Order: o, Pool: pool, Result: maintenance.ResultDone})
}
