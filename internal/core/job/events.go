package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Outcome is what is known about the result of a call to the platform, a worker or
// another node.
type Outcome int

const (
	// OK means that the call was carried out.
	OK Outcome = iota
	// NotDone means that the call was certainly not carried out.
	NotDone
	// Unknown means that the call may have been carried out, or may still be.
	Unknown
	// Fenced means that the call was refused because a higher fence has been seen.
	Fenced
	// Conflict means that the condition of an append did not hold.
	Conflict
	// Gone means that the target of the call no longer exists.
	Gone
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"ok", "not-done", "unknown", "fenced", "conflict", "gone"}[o]
}

// CallID identifies a caller's call at one node.
type CallID uint64

// Events.
type (
	// Tick is sent at least every TickInterval.
	Tick struct{ eventMarker }

	// ConfigRead delivers a configuration that was read.
	ConfigRead struct {
		eventMarker
		Config *Config
	}

	// StreamLoaded is the response to a LoadStream: the newest record of each key of the
	// job stream. Records from offset From on must still be read.
	StreamLoaded struct {
		eventMarker
		Records []Record
		From    int64
	}

	// StreamRead is the response to a ReadStream.
	StreamRead struct {
		eventMarker
		Records []Record
		// Next is the offset of the next read, End the end of the stream.
		Next, End int64
		// SentAt is the time when the read was sent.
		SentAt vocab.Instant
	}

	// StreamFailed reports that a ReadStream or LoadStream failed.
	StreamFailed struct {
		eventMarker
		// Trimmed is set if the stream no longer has the records from the offset on.
		Trimmed bool
		Err     error
	}

	// Appended is the response to an Append.
	Appended struct {
		eventMarker
		ID      uint64
		Outcome Outcome
		// Offset is the offset of the first record of the append, End the end of the
		// stream.
		Offset, End int64
		SentAt      vocab.Instant
		Err         error
	}

	// WorkersListed delivers changes in the platform's list of workers.
	WorkersListed struct {
		eventMarker
		// Full is set if Workers is the whole list.
		Full    bool
		Workers []WorkerInfo
		Removed []WorkerID
	}

	// Polled is the response to a Poll. Fence is that of the poll, also in the responses to other orders: the node
	// may have lost the ownership and retaken it since.
	Polled struct {
		eventMarker
		Worker      WorkerID
		Fence       Fence
		Outcome     Outcome
		Incarnation Millis
		// Clock is the reading of the worker's clock when it responded.
		Clock   time.Duration
		Running []RunReport
		Ended   []EndReport
		// MoreEnds is set if the worker may have ends with higher numbers than those in Ended. Then a run that
		// the response does not list may have ended.
		MoreEnds   bool
		SentAt     vocab.Instant
		ReceivedAt vocab.Instant
		Err        error
	}

	// StartAnswered is the response to a Start.
	StartAnswered struct {
		eventMarker
		Worker  WorkerID
		Fence   Fence
		Task    TaskName
		Run     Run
		Outcome Outcome
		Refusal Refusal
		SentAt  vocab.Instant
		Clock   time.Duration
		Err     error
	}

	// StopAnswered is the response to a Stop.
	StopAnswered struct {
		eventMarker
		Worker  WorkerID
		Task    TaskName
		Run     Run
		Outcome Outcome
		Err     error
	}

	// Submit is a caller's call that submits a job.
	Submit struct {
		eventMarker
		Call CallID
		ID   ID
		// Host, Path and Key are the host, path and key of the caller's request.
		Host, Path, Key string
		Spec            Spec
		Origin          Origin
	}

	// Query is a caller's call for the state of a job.
	Query struct {
		eventMarker
		Call            CallID
		ID              ID
		Host, Path, Key string
		Origin          Origin
	}

	// Cancel is a caller's call that cancels a job.
	Cancel struct {
		eventMarker
		Call            CallID
		ID              ID
		Host, Path, Key string
		Origin          Origin
	}

	// Backlog is a caller's call for the number of jobs of a queue that have not started.
	Backlog struct {
		eventMarker
		Call            CallID
		Host, Path, Key string
		Origin          Origin
	}

	// OwnershipOffered is an offer of the ownership by the owner with the fence.
	OwnershipOffered struct {
		eventMarker
		Fence Fence
	}

	// Stopping announces that the process will stop.
	Stopping struct{ eventMarker }
)

// Refusal is the reason why a worker refused a start.
type Refusal int

const (
	// RefusalNone means that the worker gave no reason.
	RefusalNone Refusal = iota
	// RefusalCapacity means that the worker lacks free capacity for the task.
	RefusalCapacity
	// RefusalStaleRun means that the worker has had this run or a later one of the task.
	RefusalStaleRun
	// RefusalLeaseExpired means that the lease in the order has expired.
	RefusalLeaseExpired
	// RefusalTicket means that the advisor's ticket is not valid.
	RefusalTicket
	// RefusalUnhealthy means that the worker currently accepts no starts.
	RefusalUnhealthy
)

// RunReport is a running task in a worker's response to a poll.
type RunReport struct {
	Task       TaskName
	Run        Run
	Checkpoint string
	// ProgressPercent is the progress of the run; for a long-running task it is 100 once the
	// task serves.
	ProgressPercent int
	// TailLatencyMS is the tail latency of a latency-sensitive task, in milliseconds.
	TailLatencyMS int64
}

// End is the way in which a run ended.
type End int

const (
	// EndCompleted means that the task completed.
	EndCompleted End = iota
	// EndFailed means that the run failed or that its worker ended it as failed.
	EndFailed
	// EndStopped means that the run was stopped by a Stop.
	EndStopped
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired
	// EndGangBroken means that the run was ended because another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that the run was ended because not all members of the gang
	// started.
	EndGangIncomplete
)

// EndReport is the end of a run in a worker's response to a poll.
type EndReport struct {
	// Number is the sequence number of the end within the worker's incarnation, from 1.
	Number     int64
	Task       TaskName
	Run        Run
	End        End
	Checkpoint string
}

// eventMarker marks a type that embeds it as an event.
type eventMarker struct{}

// IsEvent implements event.Event.
func (eventMarker) IsEvent() {}
