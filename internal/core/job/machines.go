package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// MachineState is what the platform's list says of a machine.
type MachineState int

const (
	// MachineUp: the machine is on, or ready to be moved into a pool.
	MachineUp MachineState = iota
	// MachineMoving: the machine is on its way to another pool.
	MachineMoving
	// MachineInUpkeep: the machine is down for its upkeep.
	MachineInUpkeep
	// MachineDown: the machine is down by itself.
	MachineDown
)

// MachineInfo is one row of the platform's list of machines.
type MachineInfo struct {
	ID     MachineID
	Pool   vocab.PoolID
	State  MachineState
	Room   Resources
	Zone   vocab.ZoneID
	Worker WorkerID
}

// Wave is an operator's request to take machines down for upkeep.
type Wave struct {
	Number   int64
	Machines []MachineID
	// Within is the time that the wave may take.
	Within time.Duration
	// AtOnce is the most machines that may be down for it at a time.
	AtOnce int
}

// MachineOrder is what an order to a machine asks for.
type MachineOrder int

const (
	// OrderUpkeep takes the machine down for its upkeep.
	OrderUpkeep MachineOrder = iota
	// OrderMove puts the machine into another pool.
	OrderMove
)

// Events and effects of machines and waves.
type (
	// WaveOrdered brings an operator's wave.
	WaveOrdered struct {
		in
		Wave Wave
	}

	// MachinesListed answers a ListMachines.
	MachinesListed struct {
		in
		OK       bool
		Machines []MachineInfo
		SentAt   vocab.Instant
		Err      error
	}

	// MachineAnswered answers an OrderMachine.
	MachineAnswered struct {
		in
		Machine MachineID
		Order   MachineOrder
		Outcome Outcome
		Err     error
	}

	// StatusWritten answers a WriteStatus.
	StatusWritten struct {
		in
		Wave     int64
		Complete bool
		Outcome  Outcome
	}

	// ListMachines reads the list of machines: MachinesListed.
	ListMachines struct{ out }

	// OrderMachine gives an order to a machine: MachineAnswered.
	OrderMachine struct {
		out
		Machine MachineID
		Order   MachineOrder
		// Pool is where to move, Wave which upkeep.
		Pool   vocab.PoolID
		Wave   int64
		Holder vocab.NodeID
		Fence  Fence
		Until  vocab.Instant
	}

	// WriteStatus shows operators how far a wave is: StatusWritten.
	WriteStatus struct {
		out
		Wave     int64
		Complete bool
	}
)

const (
	// listBusy is the time between two lists while machines are under orders.
	listBusy = 500 * time.Millisecond
	// listIdle is the time between two lists otherwise.
	listIdle = 3 * time.Second
	// doubtFor is how long an order without an answer may still take effect
	// before a list that does not show it counts.
	doubtFor = 2 * time.Second
	// ordersPart is the part of the platform's rate of orders that is used.
	ordersPart = 0.8
	// ordersBurst is the time for which unused orders are kept.
	ordersBurst = 400 * time.Millisecond
)

// machine is what an owner knows of a machine.
type machine struct {
	info MachineInfo
	// ordered is set from an order until a list shows its end.
	ordered bool
	order   MachineOrder
	// sent is set once the order has left, answered once it was carried out.
	sent      bool
	answered  bool
	orderedAt vocab.Instant
	// answeredAt is when an order of this owner last had an answer, whatever it was.
	answeredAt vocab.Instant
	to         vocab.PoolID
	wave       int64
	// host is the worker that the order takes away.
	host WorkerID
	// idleSince is since when nothing runs on the machine, 0 if something does.
	idleSince vocab.Instant
	// reserved is set while the machine gets no new work because another pool
	// waits for it.
	reserved bool
	// cordonedAt is when the machine was chosen for its upkeep.
	cordonedAt vocab.Instant
}

// fleet is the owner's view of machines and waves.
type fleet struct {
	machines map[MachineID]*machine
	ids      []MachineID // keys of machines, sorted
	listing  bool
	listedAt vocab.Instant
	listDue  vocab.Instant
	tickedAt vocab.Instant
	writing  bool
	// need is how many machines more each pool needs, as of the last pass; negative
	// where it has some to spare.
	need map[vocab.PoolID]int
	// orders is how many orders may be given at once; it grows with time.
	orders float64
	// notBefore is when a machine may get the next order, where an earlier
	// owner gave it one.
	notBefore map[MachineID]vocab.Instant
}

// workerOf returns the worker on a machine, or nil.
func (o *owner) workerOf(m *machine) *worker {
	if w := o.workers[m.info.Worker]; w != nil && w.info.Machine == m.info.ID {
		return w
	}
	for _, id := range o.workerIDs {
		if w := o.workers[id]; w.info.Machine == m.info.ID && w.listed {
			return w
		}
	}
	return nil
}

// mayOrderMachines reports whether orders to machines are allowed: once a list
// shows what earlier owners ordered.
func (o *owner) mayOrderMachines() bool {
	return o.mayOrder() && o.fleet.listedAt > o.activeAt
}

func (o *owner) tickFleet() {
	f := &o.fleet
	if !f.listing && o.s.now >= f.listDue {
		f.listing = true
		o.s.emit(ListMachines{})
	}
	if o.s.now.Sub(f.tickedAt) < fleetEvery {
		return
	}
	passed := min(o.s.now.Sub(f.tickedAt), time.Second).Seconds()
	rate := o.s.settings.OrdersPerSecond * ordersPart
	f.orders = min(f.orders+rate*passed, max(1, rate*ordersBurst.Seconds()))
	f.tickedAt = o.s.now
	o.noteIdle()
	if !o.mayOrderMachines() || !o.workersKnown || o.s.config == nil {
		return
	}
	f.need = o.machinesNeeded()
	o.planWaves()
	o.planMoves()
}

// fleetEvery is the time between two passes over waves and moves.
const fleetEvery = 100 * time.Millisecond

func (o *owner) noteIdle() {
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		w := o.workerOf(m)
		busy := w != nil && (len(w.tasks) > 0 || w.strays != Resources{})
		switch {
		case busy:
			m.idleSince = 0
		case m.idleSince == 0:
			m.idleSince = o.s.now
		}
	}
}

func (o *owner) machinesListed(e MachinesListed) {
	f := &o.fleet
	f.listing = false
	f.listDue = o.s.now.Add(listIdle)
	if !e.OK {
		f.listDue = o.s.now.Add(listBusy)
		return
	}
	f.listedAt = e.SentAt
	old := f.machines
	f.machines = make(map[MachineID]*machine, len(e.Machines))
	f.ids = f.ids[:0]
	for _, info := range e.Machines {
		m := old[info.ID]
		if m == nil {
			m = &machine{}
		}
		m.info = info
		o.settleOrder(m, e.SentAt)
		f.machines[info.ID] = m
		f.ids = append(f.ids, info.ID)
		if m.ordered {
			f.listDue = o.s.now.Add(listBusy)
		}
	}
	slices.Sort(f.ids)
	if o.waveUnderWay() {
		f.listDue = min(f.listDue, o.s.now.Add(listBusy))
	}
}

// settleOrder ends an order once a list that was read after it shows its end.
func (o *owner) settleOrder(m *machine, sentAt vocab.Instant) {
	if !m.ordered || !m.sent || sentAt <= m.orderedAt {
		return
	}
	over := m.info.State == MachineUp || m.info.State == MachineDown
	if m.answered {
		o.takenAway(m)
	}
	switch {
	case m.answered && over:
		m.ordered = false
	case !m.answered && over && sentAt.Sub(m.orderedAt) > doubtFor:
		// The order had no answer. Where it took effect, the next order is
		// answered as done.
		m.ordered, m.answeredAt = false, o.s.now
	}
	if !m.ordered {
		o.uncordon(m)
		o.planDue = true
	}
}

// mayOrderMachine reports whether a machine may get an order now.
func (o *owner) mayOrderMachine(m *machine) bool {
	return !m.ordered && o.s.now >= o.fleet.notBefore[m.info.ID]
}

// orderedLately lists the machines that may have got an order from this or an
// earlier owner within the least time between two owners' orders.
func (o *owner) orderedLately() []recentOrder {
	var list []recentOrder
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		switch since := o.s.now.Sub(m.answeredAt); {
		case m.ordered && !m.answered:
			list = append(list, recentOrder{Machine: id, Open: true})
		case m.answeredAt != 0 && since < o.s.settings.OrderGap:
			list = append(list, recentOrder{Machine: id, AgeMS: since.Milliseconds()})
		}
	}
	return append(list, o.inherited(list)...)
}

// inherited lists the machines that are still left alone for an earlier owner's
// orders, but for those that are listed anyway.
func (o *owner) inherited(listed []recentOrder) []recentOrder {
	var list []recentOrder
	for id, until := range o.fleet.notBefore {
		known := slices.ContainsFunc(listed, func(m recentOrder) bool { return m.Machine == id })
		if o.s.now < until && !known {
			list = append(list, recentOrder{Machine: id, AgeMS: (o.s.settings.OrderGap - until.Sub(o.s.now)).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b recentOrder) int { return cmp.Compare(a.Machine, b.Machine) })
	return list
}

// orderMachine gives an order to a machine.
func (o *owner) orderMachine(m *machine, order MachineOrder, to vocab.PoolID, wave int64) {
	o.fleet.orders--
	m.ordered, m.sent, m.answered, m.order, m.orderedAt = true, false, false, order, o.s.now
	m.to, m.wave, m.host = to, wave, ""
	if w := o.workerOf(m); w != nil {
		m.host = w.info.ID
		w.cordoned, w.leaving = true, true
	}
	id := LogMachineMove
	if order == OrderUpkeep {
		id = LogMachineMaintenance
	}
	o.s.logEvent(id, "machine", m.info.ID, "pool", m.info.Pool, "to", to, "wave", wave, "fence", o.fence)
	o.pendingOrders = append(o.pendingOrders, m)
}

// sendOrders gives the orders to machines that the stream names.
func (o *owner) sendOrders(named []*machine) {
	for _, m := range named {
		o.sendOrder(m)
	}
	o.fleet.listDue = min(o.fleet.listDue, o.s.now.Add(listBusy))
}

// sendOrder gives an order that the stream names, unless the machine left the list
// or a long-running task on it must no longer be away.
func (o *owner) sendOrder(m *machine) {
	if o.fleet.machines[m.info.ID] != m || !m.ordered {
		return
	}
	if w := o.workerOf(m); w != nil && !o.mayEndTasks(w) {
		o.dropOrder(m)
		return
	}
	m.sent, m.orderedAt = true, o.s.now
	o.s.emit(OrderMachine{
		Machine: m.info.ID, Order: m.order, Pool: m.to, Wave: m.wave, Holder: o.s.self.Node, Fence: o.fence,
		Until: o.ordersUntil,
	})
}

// dropOrder ends an order that was not carried out.
func (o *owner) dropOrder(m *machine) {
	m.ordered, m.idleSince = false, o.s.now
	o.uncordon(m)
}

// uncordon lets a machine get work again after an order.
func (o *owner) uncordon(m *machine) {
	m.cordonedAt = 0
	if w := o.workerOf(m); w != nil {
		w.cordoned, w.leaving = false, false
	}
}

func (o *owner) machineAnswered(e MachineAnswered) {
	m := o.fleet.machines[e.Machine]
	if m == nil || !m.ordered || m.order != e.Order {
		return
	}
	if e.Outcome != Unknown {
		m.answeredAt = o.s.now
	}
	switch e.Outcome {
	case OK:
		// A list that was read before the answer may not show the order yet.
		m.answered, m.orderedAt = true, o.s.now
		o.fleet.listDue = o.s.now
		if m.order == OrderUpkeep {
			o.waveMachineDone(m.wave, m.info.ID)
		}
	case Unknown:
		// A list tells.
	case Fenced:
		o.s.loseOwnership("a machine has seen a later owner")
	default:
		o.dropOrder(m)
		if e.Outcome == Gone && e.Order == OrderUpkeep {
			o.waveMachineDone(m.wave, m.info.ID)
		}
		o.s.logEvent(LogMachineMove, "machine", m.info.ID, "outcome", e.Outcome.String(), "error", errorText(e.Err))
	}
}

// takenAway gives up what ran on a machine that a list shows as taken. The
// answer to an order alone does not tell: it is the same where the order had
// been carried out before, and then what runs there now goes on.
func (o *owner) takenAway(m *machine) {
	w := o.workers[m.host]
	if w == nil || m.info.State == MachineUp && m.info.Worker == m.host {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		o.lose(t, "the machine was taken by an order")
	}
	w.listed, w.cordoned, w.leaving = false, false, false
}
