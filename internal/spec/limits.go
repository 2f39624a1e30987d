package spec

import "time"

// Bounds of the values in operators' files. Values outside of them are taken
// for mistakes.
const (
	maxShare           = 1_000_000
	maxVMsPerPool      = 10_000
	maxSlotsPerVM      = 10_000
	maxConnections     = 100_000
	maxUpperLimitSlots = 10_000_000
	maxQueued          = 1_000_000
	maxBodyBytes       = 1 << 30

	minMaintenanceInterval = time.Hour
	maxMaintenanceInterval = 366 * 24 * time.Hour
	minMaintenanceTimeout  = time.Second
	maxMaintenanceTimeout  = 24 * time.Hour
	// minTimeLimit and maxTimeLimit bound the fields of TimeLimits. A request
	// that a failed entry node started may run for up to the longest run limit,
	// and the node's quota of the team limits cannot be used for that time.
	minTimeLimit = time.Millisecond
	maxTimeLimit = 15 * time.Minute

	// reservedQueueName cannot be the name of a queue, since it is the path
	// under which callers query their tasks.
	reservedQueueName = "tasks"
)
