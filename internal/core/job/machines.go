package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// MachineState is the state of a machine in the platform's list.
type MachineState int

const (
	// MachineUp means that the machine is on, or switched off in the spare pool and ready to
	// be moved into another pool.
	MachineUp MachineState = iota
	// MachineMoving means that the machine is moving to another pool.
	MachineMoving
	// MachineInMaintenance means that the machine is down for maintenance.
	MachineInMaintenance
	// MachineDown means that the machine is down without an order.
	MachineDown
)

// MachineInfo is one entry of the platform's list of machines.
type MachineInfo struct {
	ID       MachineID
	Pool     vocab.PoolID
	State    MachineState
	Capacity Resources
	Zone     vocab.ZoneID
	Worker   WorkerID
}

// Wave is an operator's request to take a set of machines down for maintenance.
type Wave struct {
	Number   int64
	Machines []MachineID
	// TimeLimit is the time within which the maintenance of all machines should be complete.
	TimeLimit time.Duration
	// MaxDown is the maximum number of machines that may be down for the wave at the same
	// time.
	MaxDown int
}

// MachineOrder is the kind of an order to a machine.
type MachineOrder int

const (
	// OrderMaintenance takes the machine down for maintenance.
	OrderMaintenance MachineOrder = iota
	// OrderMove moves the machine into another pool.
	OrderMove
)

// Events and effects that concern machines and waves.
type (
	// WaveRequested reports a wave that an operator requested.
	WaveRequested struct {
		eventMarker
		Wave Wave
	}

	// MachinesListed is the response to a ListMachines.
	MachinesListed struct {
		eventMarker
		OK       bool
		Machines []MachineInfo
		SentAt   vocab.Instant
		Err      error
	}

	// MachineOrderAnswered is the response to an OrderMachine.
	MachineOrderAnswered struct {
		eventMarker
		Machine MachineID
		Order   MachineOrder
		Outcome Outcome
		Err     error
	}

	// StatusWritten is the response to a WriteStatus.
	StatusWritten struct {
		eventMarker
		Wave     int64
		Complete bool
		Outcome  Outcome
	}

	// ListMachines reads the list of machines. The response is MachinesListed.
	ListMachines struct{ effectMarker }

	// OrderMachine sends an order to a machine. The response is MachineOrderAnswered.
	OrderMachine struct {
		effectMarker
		Machine MachineID
		Order   MachineOrder
		// Pool is the destination of a move, Wave the wave that a maintenance order belongs
		// to.
		Pool  vocab.PoolID
		Wave  int64
		Node  vocab.NodeID
		Fence Fence
		// Until is the time after which the order must not be sent any more.
		Until vocab.Instant
	}

	// WithdrawOrders revokes the orders to machines of owners up to a fence that have not been sent: those that wait
	// for a connection are not sent any more, and have the outcome NotDone.
	WithdrawOrders struct {
		effectMarker
		Fence Fence
	}

	// WriteStatus reports the progress of a wave to operators. The response is
	// StatusWritten.
	WriteStatus struct {
		effectMarker
		Wave     int64
		Complete bool
	}
)

const (
	// busyListInterval is the time between two reads of the machine list while orders are
	// pending.
	busyListInterval = 500 * time.Millisecond
	// idleListInterval is the time between two reads of the machine list otherwise.
	idleListInterval = 3 * time.Second
	// unansweredOrderTimeout is the time for which an order without a response may still take
	// effect. If a list that was read later shows no effect, the order counts as not carried out.
	unansweredOrderTimeout = 2 * time.Second
	// orderRateFraction is the fraction of the platform's maximum order rate that is used.
	orderRateFraction = 0.8
	// orderBurstWindow is the time for which unused order tokens accumulate.
	orderBurstWindow = 400 * time.Millisecond
)

// workerOf returns the worker that runs on a machine, or nil. A worker that the platform's
// list of workers lacks, as after an outage of the store, is known by the tasks that are
// assigned to it; the list of machines then says where it runs.
func (o *owner) workerOf(m *machine) *worker {
	if w := o.workers[m.info.Worker]; w != nil && (w.info.Machine == m.info.ID || w.info.Machine == "") {
		return w
	}
	if w := o.workersByMachine[m.info.ID]; w != nil && w.listed && w.info.Machine == m.info.ID {
		return w
	}
	return nil
}

// machineOrdersAllowed reports whether orders to machines are allowed: not before a machine
// list, read since the takeover, shows the effect of the orders of earlier owners.
func (o *owner) machineOrdersAllowed() bool {
	return o.mayOrder() && !o.ordersWithdrawn && o.fleet.listSentAt > o.activeAt
}

// tickFleet requests the machine list when it is due and plans waves and moves.
func (o *owner) tickFleet() {
	f := &o.fleet
	if !f.listInFlight && o.s.now >= f.nextListAt {
		f.listInFlight = true
		o.s.emit(ListMachines{})
	}
	if o.s.now.Sub(f.lastTickAt) < fleetInterval {
		return
	}
	elapsed := min(o.s.now.Sub(f.lastTickAt), time.Second).Seconds()
	rate := o.s.settings.MaxOrdersPerSecond * orderRateFraction
	f.orderTokens = min(f.orderTokens+rate*elapsed, max(1, rate*orderBurstWindow.Seconds()))
	f.lastTickAt = o.s.now
	o.updateIdleTimes()
	if !o.machineOrdersAllowed() || !o.workersKnown || o.s.config == nil {
		return
	}
	o.updateLateWork()
	f.machinesNeeded = o.machinesNeededByPool()
	o.noteShortages()
	f.waveTokens = f.orderTokens
	if o.anyPoolNeedsMachines() {
		f.waveTokens *= waveOrderFraction
	}
	o.planWaves()
	o.planMoves()
}

const (
	// fleetInterval is the time between two planning passes over waves and moves.
	fleetInterval = 100 * time.Millisecond
	// waveOrderFraction is the fraction of the orders to machines that waves may use while a
	// pool needs machines.
	waveOrderFraction = 0.5
)

// anyPoolNeedsMachines reports whether a pool needs more machines than it has.
func (o *owner) anyPoolNeedsMachines() bool {
	for _, n := range o.fleet.machinesNeeded {
		if n > 0 {
			return true
		}
	}
	return false
}

// updateIdleTimes records since when each machine has been idle.
func (o *owner) updateIdleTimes() {
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		w := o.workerOf(m)
		busy := w != nil && (len(w.tasks) > 0 || w.orphaned != Resources{})
		switch {
		case busy:
			m.idleSince = 0
		case m.idleSince == 0:
			m.idleSince = o.s.now
		}
	}
}

// handleMachinesListed replaces the view of the machines by a new list.
func (o *owner) handleMachinesListed(e MachinesListed) {
	f := &o.fleet
	f.listInFlight = false
	f.nextListAt = o.s.now.Add(idleListInterval)
	if !e.OK {
		f.nextListAt = o.s.now.Add(busyListInterval)
		return
	}
	f.listSentAt = e.SentAt
	previous := f.machines
	f.machines = make(map[MachineID]*machine, len(e.Machines))
	f.machineIDs = f.machineIDs[:0]
	for _, info := range e.Machines {
		m := previous[info.ID]
		if m == nil {
			m = &machine{}
		}
		m.info = info
		if info.State == MachineInMaintenance {
			delete(f.unresolved, info.ID)
		}
		o.resolveOrder(m, e.SentAt)
		f.machines[info.ID] = m
		f.machineIDs = append(f.machineIDs, info.ID)
		if m.orderPending {
			f.nextListAt = o.s.now.Add(busyListInterval)
		}
	}
	slices.Sort(f.machineIDs)
	if o.hasActiveWave() {
		f.nextListAt = min(f.nextListAt, o.s.now.Add(busyListInterval))
	}
}

// resolveOrder completes an order once a machine list that was read after it shows its
// result.
func (o *owner) resolveOrder(m *machine, sentAt vocab.Instant) {
	if !m.orderPending || !m.orderSent || sentAt <= m.orderedAt {
		return
	}
	settled := m.info.State == MachineUp || m.info.State == MachineDown
	if m.orderConfirmed {
		o.markLostIfRemoved(m)
	}
	switch {
	case m.orderConfirmed && settled:
		m.orderPending = false
	case !m.orderConfirmed && settled && sentAt.Sub(m.orderedAt) > unansweredOrderTimeout:
		// No response to the order came. If the order did take effect, the response to the
		// next one is OK. It remains open on the stream, since it may take effect later.
		m.orderPending = false
		if m.order == OrderMaintenance {
			f := &o.fleet
			f.unresolved[m.info.ID] = unresolvedOrder{m.orderedAt.Add(orderAuthority + lateOrderEffect), m.wave}
		}
	}
	if !m.orderPending {
		o.uncordon(m)
		o.planDue = true
	}
}

// acceptsOrder reports whether an order may be sent to a machine now.
func (o *owner) acceptsOrder(m *machine) bool {
	return !m.orderPending && o.s.now >= o.fleet.orderNotBefore[m.info.ID]
}

// scheduleOrder cordons a machine and schedules an order to it. The order is sent once a
// record on the stream names the machine.
func (o *owner) scheduleOrder(m *machine, order MachineOrder, to vocab.PoolID, wave int64) {
	o.fleet.orderTokens--
	if order == OrderMaintenance {
		o.fleet.waveTokens--
	}
	m.orderPending, m.orderSent, m.orderConfirmed, m.order, m.orderedAt = true, false, false, order, o.s.now
	m.targetPool, m.wave, m.orderedWorker = to, wave, ""
	delete(o.presumedCrashes, m.info.ID) // The order explains the next worker on the machine.
	if w := o.workerOf(m); w != nil {
		m.orderedWorker = w.info.ID
		w.cordoned, w.leaving = true, true
	}
	m.namedWorker = cmp.Or(m.orderedWorker, m.info.Worker)
	id := LogMachineMove
	if order == OrderMaintenance {
		id = LogMachineMaintenance
	}
	o.s.logEvent(id, "machine", m.info.ID, "pool", m.info.Pool, "to", to, "wave", wave, "fence", o.fence)
	o.noteOrder(m, true)
	o.pendingOrders = append(o.pendingOrders, m)
}

// sendOrders sends the orders for machines that a record on the stream now names.
func (o *owner) sendOrders(named []*machine) {
	for _, m := range named {
		o.sendOrder(m)
	}
	o.fleet.nextListAt = min(o.fleet.nextListAt, o.s.now.Add(busyListInterval))
}

// sendOrder sends a scheduled order, unless the machine left the list or a long-running task
// on it must not be interrupted any more.
func (o *owner) sendOrder(m *machine) {
	if o.fleet.machines[m.info.ID] != m || !m.orderPending {
		return
	}
	if w := o.workerOf(m); o.ordersWithdrawn || w != nil && !o.canInterruptTasks(w) || o.movesIntoEvacuatedZone(m) {
		o.abandonUnsent(m)
		return
	}
	m.orderSent, m.orderedAt = true, o.s.now
	o.s.emit(OrderMachine{
		Machine: m.info.ID, Order: m.order, Pool: m.targetPool, Wave: m.wave, Node: o.s.self.Node, Fence: o.fence,
		Until: o.ordersUntil,
	})
}

// abandonUnsent ends an order that was not sent, on the stream as well.
func (o *owner) abandonUnsent(m *machine) {
	o.abandonOrder(m)
	o.noteOrder(m, false)
}

// noteOrder adds the state of a machine's order to the record of orders. It stays open while an earlier order to the machine
// is unresolved.
func (o *owner) noteOrder(m *machine, open bool) {
	wave := m.wave
	if earlier, found := o.fleet.unresolved[m.info.ID]; found && !open && o.s.now < earlier.until {
		o.orderLog.note(o.s.now, m.info.ID, orderState{open: true, worker: m.namedWorker, wave: earlier.wave})
		return
	}
	if m.order == OrderMove {
		wave = noWave
	}
	o.orderLog.note(o.s.now, m.info.ID, orderState{open: open, worker: m.namedWorker, wave: wave})
}

// abandonOrder ends an order that was not carried out.
func (o *owner) abandonOrder(m *machine) {
	m.orderPending, m.idleSince = false, o.s.now
	o.uncordon(m)
}

// uncordon lets a machine get new tasks again after an order.
func (o *owner) uncordon(m *machine) {
	m.cordonedAt = 0
	if w := o.workerOf(m); w != nil {
		w.cordoned, w.leaving = false, false
	}
}

func (o *owner) handleMachineOrderAnswered(e MachineOrderAnswered) {
	m := o.fleet.machines[e.Machine]
	if m == nil || !m.orderPending || m.order != e.Order {
		return
	}
	if e.Outcome == OK && m.order == OrderMaintenance {
		// Earlier orders to the machine have no effect any more.
		delete(o.fleet.unresolved, m.info.ID)
	}
	if e.Outcome != Unknown {
		o.noteOrder(m, false)
	}
	switch e.Outcome {
	case OK:
		// A list that was read before the response may not show the effect of the order yet.
		m.orderConfirmed, m.orderedAt = true, o.s.now
		o.fleet.nextListAt = o.s.now
		if m.order == OrderMaintenance {
			o.markWaveMachineDone(m.wave, m.info.ID)
		}
	case Unknown:
		// A later machine list shows whether the order was carried out.
	case Fenced:
		o.s.loseOwnership("a machine has seen a later owner")
	default:
		o.abandonOrder(m)
		if e.Outcome == Gone && e.Order == OrderMaintenance {
			o.markWaveMachineDone(m.wave, m.info.ID)
		}
		o.s.logEvent(LogMachineMove, "machine", m.info.ID, "outcome", e.Outcome.String(), "error", errorText(e.Err))
	}
}

// markLostIfRemoved marks the tasks of a machine's worker as lost once a machine list shows
// that an order took the machine away. The response to the order is not sufficient: it is the
// same if the order had been carried out before, and then the tasks on the machine still run.
func (o *owner) markLostIfRemoved(m *machine) {
	w := o.workers[m.orderedWorker]
	if w == nil || m.info.State == MachineUp && m.info.Worker == m.orderedWorker {
		return
	}
	o.loseRuns(w, w.tasks, lossMachineOrdered)
	w.listed, w.cordoned, w.leaving = false, false, false
}
