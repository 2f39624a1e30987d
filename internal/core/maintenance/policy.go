package maintenance

import "time"

// Costs that weigh a move against leaving the VMs where they are. The unit is
// the VM-second: one VM missing or idle for one second.
const (
	// MoveCost is what one move costs: the VM serves nobody while it drains and
	// is assigned, and its new pool warms it up.
	MoveCost = 600.0
	// BudgetWeight is the cost of a VM-second below the availability budget.
	BudgetWeight = 10.0
	// LackWeight is the cost of a VM-second below what demand needs.
	LackWeight = 2.0
	// IdleWeight is the cost of a VM-second held beyond the need.
	IdleWeight = 0.2
)

const (
	// heartbeatEvery is the time between two heartbeats of the owner.
	heartbeatEvery = 10 * time.Second
	// leaseLife is how long the owner begins new things after it sent the last
	// heartbeat that it has seen on the log.
	leaseLife = 30 * time.Second
	// takeoverAfter is how long others wait, by their own clock and with the log
	// up, after the last record of a suspected owner. It exceeds leaseLife.
	takeoverAfter = 45 * time.Second
	// takeoverAnyway is the same for an owner that nobody suspects.
	takeoverAnyway = 10 * takeoverAfter
	// retryAfter is the time after which an unanswered append or order is sent again.
	retryAfter = 30 * time.Second
	// settleTime covers the spread of the news that a VM drains to all nodes.
	settleTime = 5 * time.Second
	// lostGrace is how long a failed VM keeps its failure domain occupied. After
	// it the VM counts as missing capacity only.
	lostGrace = 30 * time.Minute
	// maxTickGap bounds the time that one tick adds to the costs of lack, so that
	// a paused process does not act on what it did not see.
	maxTickGap = 60 * time.Second
)

const (
	// flapLimit is the number of times within flapWindow that a VM may turn
	// unready by itself before it no longer counts as ready.
	flapLimit = 3
	// flapWindow is the time over which turns are counted.
	flapWindow = time.Hour
)

const (
	// waveLead is the part of the maintenance period, as a divisor, by which a
	// wave starts before the last one's deadline.
	waveLead = 8
	// urgentLead is the divisor of the period for the time before a VM's
	// deadline in which demand no longer delays its maintenance.
	urgentLead = 16
)
