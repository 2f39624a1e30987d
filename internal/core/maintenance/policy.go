package maintenance

import "time"

// Costs that weigh a move against leaving the VMs where they are, in
// VM-seconds: one VM missing or unneeded for one second.
const (
	// MoveCost is the cost of one move: the VM takes no requests while it is
	// drained and assigned, and then has to warm up in its new pool.
	MoveCost = 600.0
	// BudgetWeight is the cost of a VM-second below the availability budget.
	BudgetWeight = 10.0
	// ShortfallWeight is the cost of a VM-second below what demand needs.
	ShortfallWeight = 2.0
	// SurplusWeight is the cost of a VM-second held beyond what demand needs.
	SurplusWeight = 0.2
)

const (
	// heartbeatInterval is the time between two heartbeats of the owner.
	heartbeatInterval = 10 * time.Second
	// leaseDuration is the time for which the owner may begin disruptions after
	// it sent the last heartbeat that it has read back from the log.
	leaseDuration = 30 * time.Second
	// suspectedTakeoverDelay is the time for which other nodes wait, by their
	// own clock and with the log up, after the last accepted record before one
	// claims the ownership from a suspected owner. It exceeds leaseDuration.
	suspectedTakeoverDelay = 45 * time.Second
	// takeoverDelay is the same for an owner that is not suspected.
	takeoverDelay = 10 * suspectedTakeoverDelay
	// retryInterval is the time after which an append or order without a reply
	// is sent again.
	retryInterval = 30 * time.Second
	// drainPropagationTime is the time within which all nodes learn that a VM
	// drains.
	drainPropagationTime = 5 * time.Second
	// failureGracePeriod is the time for which a failed VM counts against its
	// failure domain. After it the VM only counts as missing capacity.
	failureGracePeriod = 30 * time.Minute
	// maxTickGap bounds the time that one tick adds to the averages and costs,
	// so that a process that was paused does not extrapolate over the pause.
	maxTickGap = 60 * time.Second
)

const (
	// maxFlaps is the number of times within flapWindow that a VM may become
	// unready without a disruption before it no longer counts as ready.
	maxFlaps = 3
	// flapWindow is the time over which these events are counted.
	flapWindow = time.Hour
)

const (
	// waveLeadDivisor sets how long before the maintenance period ends the next
	// wave starts: the period divided by it.
	waveLeadDivisor = 8
	// urgentLeadDivisor sets how long before a VM's deadline demand no longer
	// delays its maintenance: the maintenance period divided by it.
	urgentLeadDivisor = 16
)
