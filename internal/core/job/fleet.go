package job

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/poolplan"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// machine is the owner's view of a machine.
type machine struct {
	info MachineInfo
	// orderPending is set from the scheduling of an order until a machine list shows that it
	// is complete.
	orderPending bool
	order        MachineOrder
	// orderSent is set once the order was sent, orderConfirmed once a response confirmed that it
	// was carried out.
	orderSent      bool
	orderConfirmed bool
	// orderedAt is the time when the order was last scheduled, sent or
	// confirmed.
	orderedAt  vocab.Instant
	targetPool vocab.PoolID
	wave       int64
	// orderedWorker is the worker that the order takes off the machine.
	orderedWorker WorkerID
	// namedWorker is the worker that the record of the order names: orderedWorker, or one that only the list of machines
	// has yet.
	namedWorker WorkerID
	// idleSince is the time when the machine became idle, or 0 while it runs
	// tasks.
	idleSince vocab.Instant
	// reserved is set while the machine gets no new tasks because another pool needs it.
	reserved bool
	// cordonedAt is the time when the machine was cordoned for maintenance, or
	// 0.
	cordonedAt vocab.Instant
}

// fleet is the owner's view of machines and waves.
type fleet struct {
	machines            map[MachineID]*machine
	machineIDs          []MachineID // keys of machines, sorted
	listInFlight        bool
	listSentAt          vocab.Instant
	nextListAt          vocab.Instant
	lastTickAt          vocab.Instant
	statusWriteInFlight bool
	// machinesNeeded is the number of additional machines that each pool needs, as of the
	// last pass. It is negative for a pool that can spare machines.
	machinesNeeded map[vocab.PoolID]int
	// orderTokens is the number of orders that may be sent at once; it is refilled over time.
	orderTokens float64
	// waveTokens is the part of orderTokens that waves may use in the current pass.
	waveTokens float64
	// orderNotBefore is the earliest time of the next order to a machine that an earlier
	// owner sent an order to.
	orderNotBefore map[MachineID]vocab.Instant
	// unresolved holds the orders for maintenance that may still be carried out although no response is expected.
	unresolved map[MachineID]unresolvedOrder
	// shortages holds the pools that lack machines.
	shortages map[vocab.PoolID]shortage
	// dueWork is the capacity that each pool's work requires, as of the last plan.
	dueWork map[vocab.PoolID]float64
	// policy switches the parts of the plan that distributes the machines.
	policy poolplan.Policy
}

// handleFleet processes the events of machines, waves and the advisor.
func (o *owner) handleFleet(ev event.Event) {
	switch e := ev.(type) {
	case MachinesListed:
		o.handleMachinesListed(e)
	case MachineOrderAnswered:
		o.handleMachineOrderAnswered(e)
	case AdviceReceived:
		o.handleAdviceReceived(e)
	case StatusWritten:
		o.handleStatusWritten(e)
	}
}
