package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Outcome says what is known of a call to the platform or a worker.
type Outcome int

const (
	// OK: the call was carried out.
	OK Outcome = iota
	// NotDone: the call was certainly not carried out.
	NotDone
	// Unknown: the call may have been carried out, or may still be.
	Unknown
	// Fenced: a higher fence has been seen.
	Fenced
	// Conflict: the condition of an append did not hold.
	Conflict
	// Gone: what the call was for no longer exists.
	Gone
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"ok", "not-done", "unknown", "fenced", "conflict", "gone"}[o]
}

// CallID numbers the calls of callers at one node.
type CallID uint64

// Events.
type (
	// Tick comes at least every TickInterval.
	Tick struct{ in }

	// ConfigRead brings a newer configuration.
	ConfigRead struct {
		in
		Config *Config
	}

	// StreamLoaded brings the newest record of each key of the job stream.
	// The records after From are still to be read.
	StreamLoaded struct {
		in
		Records []Record
		From    int64
	}

	// StreamRead answers a ReadStream.
	StreamRead struct {
		in
		Records []Record
		// Next is the offset to read from, End where the stream ends.
		Next, End int64
		// SentAt is when the read was sent.
		SentAt vocab.Instant
	}

	// StreamFailed says that a ReadStream or LoadStream had no answer.
	StreamFailed struct {
		in
		// Trimmed is set if the offset is no longer kept.
		Trimmed bool
		Err     error
	}

	// Appended answers an Append.
	Appended struct {
		in
		ID      uint64
		Outcome Outcome
		// Offset is that of the first record, End the end of the stream.
		Offset, End int64
		SentAt      vocab.Instant
	}

	// WorkersListed brings what changed in the list of workers.
	WorkersListed struct {
		in
		// Full is set if all workers are in Workers.
		Full    bool
		Workers []WorkerInfo
		Removed []WorkerID
	}

	// Polled answers a Poll.
	Polled struct {
		in
		Worker  WorkerID
		Outcome Outcome
		Born    Millis
		// Clock is the worker's own clock when it answered.
		Clock   time.Duration
		Running []RunReport
		Ended   []EndReport
		SentAt  vocab.Instant
		GotAt   vocab.Instant
		Err     error
	}

	// StartAnswered answers a Start.
	StartAnswered struct {
		in
		Worker  WorkerID
		Task    TaskName
		Run     Run
		Outcome Outcome
		Refusal Refusal
		SentAt  vocab.Instant
		Clock   time.Duration
		Err     error
	}

	// StopAnswered answers a Stop.
	StopAnswered struct {
		in
		Worker  WorkerID
		Task    TaskName
		Run     Run
		Outcome Outcome
		Err     error
	}

	// Submit hands in a job.
	Submit struct {
		in
		Call CallID
		ID   ID
		// Host, Path and Key are those of the caller's request.
		Host, Path, Key string
		Spec            Spec
		Passed          Passed
	}

	// Query asks for a job's state.
	Query struct {
		in
		Call            CallID
		ID              ID
		Host, Path, Key string
		Passed          Passed
	}

	// Cancel asks to end a job.
	Cancel struct {
		in
		Call            CallID
		ID              ID
		Host, Path, Key string
		Passed          Passed
	}

	// Backlog asks how many jobs of a queue have not begun.
	Backlog struct {
		in
		Call            CallID
		Host, Path, Key string
		Passed          Passed
	}

	// OwnershipOffered is an owner's offer, under its fence, to take over.
	OwnershipOffered struct {
		in
		Fence Fence
	}

	// Stopping says that the process is to end soon.
	Stopping struct{ in }
)

// Refusal is a worker's reason to refuse a start.
type Refusal int

const (
	// RefusalNone: the worker gave no reason.
	RefusalNone Refusal = iota
	// RefusalRoom: the task does not fit.
	RefusalRoom
	// RefusalOld: the run is not higher than one that was there.
	RefusalOld
	// RefusalLate: the lease of the order has passed.
	RefusalLate
	// RefusalTicket: the advisor's ticket does not hold.
	RefusalTicket
	// RefusalUnhealthy: the worker takes nothing at present.
	RefusalUnhealthy
)

// RunReport is one run that a worker lists.
type RunReport struct {
	Task       TaskName
	Run        Run
	Checkpoint string
	// Percent is the share of the work that is done, or 100 for a
	// long-running task at work.
	Percent int
	// TailMS is the tail latency of a serving task, in milliseconds.
	TailMS int64
}

// End says how a run ended.
type End int

const (
	// EndDone: the task is done.
	EndDone End = iota
	// EndFailed: the run failed by itself or by its worker.
	EndFailed
	// EndStopped: the run was stopped, by order.
	EndStopped
	// EndLapsed: the run's lease lapsed.
	EndLapsed
	// EndBroken: another member of the gang ended.
	EndBroken
	// EndAlone: the other members of the gang did not come.
	EndAlone
)

// EndReport is one end that a worker lists.
type EndReport struct {
	// Number counts the ends of one life of the worker, from 1.
	Number     int64
	Task       TaskName
	Run        Run
	End        End
	Checkpoint string
}

// in marks a type as an event.
type in struct{}

// IsEvent implements event.Event.
func (in) IsEvent() {}
