package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// SubmitRequested submits a task. The node has chosen Task.Task at random.
type SubmitRequested struct {
	Request vocab.RequestID
	Task    record.TaskAccepted
	// Deadline is the latest instant at which the call is answered.
	Deadline vocab.Instant
}

// CancelRequested cancels tasks.
type CancelRequested struct {
	Request  vocab.RequestID
	Tasks    []vocab.TaskID
	Deadline vocab.Instant
}

// WaitRequested waits until a task has ended or Deadline is reached.
type WaitRequested struct {
	Request  vocab.RequestID
	Task     vocab.TaskID
	Deadline vocab.Instant
}

// RecordsRead is a successful read of the stream; Records may be empty.
type RecordsRead struct {
	Records []record.Sequenced
	// Next is the offset that the next record of the stream will get.
	Next vocab.Offset
}

// ReadFailed reports that the log did not answer a read.
type ReadFailed struct{}

// LogTrimmed reports that the log no longer keeps the record at the offset that
// Controller.NextOffset returned. The reads that follow start at Earliest.
type LogTrimmed struct {
	Earliest vocab.Offset
}

// AppendCode is the outcome of an append.
type AppendCode string

const (
	// Appended: the records are on the stream.
	Appended AppendCode = "appended"
	// AppendRejected: the records are not on the stream and will not be.
	AppendRejected AppendCode = "rejected"
	// AppendUnknown: the records may or may not be on the stream.
	AppendUnknown AppendCode = "unknown"
	// AppendNotSent: the append was not sent, because NotAfter had passed.
	AppendNotSent AppendCode = "not-sent"
)

// AppendCompleted reports the outcome of an AppendRecords effect.
type AppendCompleted struct {
	Batch uint64
	Code  AppendCode
}

// OrderID identifies an order among the orders of one controller.
type OrderID uint64

// OrderCompleted reports the outcome of an OrderWorker effect.
type OrderCompleted struct {
	Order  OrderID
	Answer worker.Answer
}

// WorkerReported is a periodic report of a worker: its resource usage and the
// attempts that ended on it.
type WorkerReported struct {
	Worker      vocab.VMID
	Incarnation vocab.VMIncarnation
	Usage       worker.Usage
}

// WorkersListed carries the complete list of workers as last read.
type WorkersListed struct {
	Workers []worker.Info
}

// Tick triggers the time-driven work. A node sends one every 100 ms.
type Tick struct{}

// IsEvent implements event.Event.
func (SubmitRequested) IsEvent() {}

// IsEvent implements event.Event.
func (CancelRequested) IsEvent() {}

// IsEvent implements event.Event.
func (WaitRequested) IsEvent() {}

// IsEvent implements event.Event.
func (RecordsRead) IsEvent() {}

// IsEvent implements event.Event.
func (ReadFailed) IsEvent() {}

// IsEvent implements event.Event.
func (LogTrimmed) IsEvent() {}

// IsEvent implements event.Event.
func (AppendCompleted) IsEvent() {}

// IsEvent implements event.Event.
func (OrderCompleted) IsEvent() {}

// IsEvent implements event.Event.
func (WorkerReported) IsEvent() {}

// IsEvent implements event.Event.
func (WorkersListed) IsEvent() {}

// IsEvent implements event.Event.
func (Tick) IsEvent() {}

// AppendRecords appends Records to the stream in one append. The node sends it at
// most once and never after NotAfter, which it checks immediately before the
// write.
type AppendRecords struct {
	Batch    uint64
	Stream   vocab.StreamID
	Records  []record.Envelope
	NotAfter vocab.Instant
}

// OrderWorker sends an order to a worker. The node sends it at most once and
// never after NotAfter, which it checks immediately before the write. If the
// worker does not answer, the node reports worker.NoAnswer, but only when this
// node can no longer deliver the order.
type OrderWorker struct {
	Order    OrderID
	To       worker.Order
	NotAfter vocab.Instant
}

// AnswerCode is the outcome of a caller's call.
type AnswerCode string

const (
	// CallAccepted: the task is on the log.
	CallAccepted AnswerCode = "accepted"
	// CallRefused: the call had no effect.
	CallRefused AnswerCode = "refused"
	// CallUnknown: the call may or may not have had its effect. Repeating it
	// with the same idempotency key, or for a cancellation as it is, is safe.
	CallUnknown AnswerCode = "unknown"
	// CallCancelled: the cancellation is on the log.
	CallCancelled AnswerCode = "cancelled"
	// CallEnded: the awaited task has ended.
	CallEnded AnswerCode = "ended"
	// CallPending: the awaited task had not ended by the deadline.
	CallPending AnswerCode = "pending"
)

// AnswerCaller answers a SubmitRequested, CancelRequested or WaitRequested.
type AnswerCaller struct {
	Request vocab.RequestID
	Code    AnswerCode
	// Task is the accepted or awaited task. If the submitted task has an
	// idempotency key, it may be an earlier task with the same key.
	Task vocab.TaskID
	// Outcome is the outcome of the task so far. For a cancellation it combines
	// the outcomes of all its tasks.
	Outcome vocab.Outcome
	// NotRun, Stopping, Completed and NotFound count the tasks of a cancellation:
	// cancelled before any attempt ran, being stopped or stopped after an
	// attempt may have run, completed before the cancellation, and not in the
	// ledger.
	NotRun, Stopping, Completed, NotFound int
	Reason                                string
}

// ControllerFailed reports a fatal error: the controller can't continue from the records
// that the log has. It refuses all further calls, and an operator must act.
type ControllerFailed struct {
	Err error
}

// WorkerQuarantined reports that a worker was quarantined.
type WorkerQuarantined struct {
	Worker vocab.VMID
	Reason string
}

// IsEffect implements event.Effect.
func (AppendRecords) IsEffect() {}

// IsEffect implements event.Effect.
func (OrderWorker) IsEffect() {}

// IsEffect implements event.Effect.
func (AnswerCaller) IsEffect() {}

// IsEffect implements event.Effect.
func (ControllerFailed) IsEffect() {}

// IsEffect implements event.Effect.
func (WorkerQuarantined) IsEffect() {}

// Status is a summary of a controller's state for operators.
type Status struct {
	Shard  vocab.StreamID
	Offset vocab.Offset
	Owner  Owner
	// Owns means that this node owns the shard.
	Owns    bool
	LogDown bool
	// FatalError is the error that stopped the controller; empty for none.
	FatalError string
	// Tasks counts the tasks in the ledger, ended ones included.
	Tasks int
	// Waiting and Started count the tasks to place and the supervised attempts.
	Waiting  int
	Started  int
	Workers  int
	Capacity placement.Size
	// Pending counts the records that are queued or being appended.
	Pending int
	// Appends and Records count the appends sent and the records in them.
	Appends uint64
	Records uint64
	// UnknownOutcome counts the attempts of which it is not known whether they run.
	UnknownOutcome int
	// LastSnapshot is the offset that the last complete snapshot covers.
	LastSnapshot vocab.Offset
	// MayStartFor is the time for which the owner may order starts from now.
	MayStartFor time.Duration
}
