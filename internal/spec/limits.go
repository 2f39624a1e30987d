package spec

import "time"

// Bounds of what the files may say. Values beyond them are taken for slips.
const (
	maxShare       = 1_000_000
	maxVMsPerPool  = 10_000
	maxSlotsPerVM  = 10_000
	maxConnections = 100_000
	maxSlotsFleet  = 10_000_000
	maxQueued      = 1_000_000
	// maxBodyBytes is in bytes.
	maxBodyBytes = 1 << 30

	minEvery = time.Hour
	maxEvery = 366 * 24 * time.Hour
	minStage = time.Second
	maxStage = 24 * time.Hour
	// minTimeLimit and maxTimeLimit bound the stages of a request. Whatever a
	// lost entry node started may run for as long as the longest run limit, and
	// its part of the team limits stays unused for that time.
	minTimeLimit = time.Millisecond
	maxTimeLimit = 15 * time.Minute

	// reservedQueue is the path under which callers find their tasks.
	reservedQueue = "tasks"
)
