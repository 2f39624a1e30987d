package task

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/placement"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Submitted hands in a task. The node has drawn Task.Task at random.
type Submitted struct {
	Request vocab.RequestID
	Task    record.TaskAccepted
	// Deadline is when the caller must have an answer.
	Deadline vocab.Instant
}

// CancelRequested asks for the end of tasks.
type CancelRequested struct {
	Request  vocab.RequestID
	Tasks    []vocab.TaskID
	Deadline vocab.Instant
}

// WaitRequested asks to be told when a task has ended.
type WaitRequested struct {
	Request  vocab.RequestID
	Task     vocab.TaskID
	Deadline vocab.Instant
}

// RecordsRead is a successful read of the stream; Records may be empty.
type RecordsRead struct {
	Records []record.Sequenced
	// Next is the offset that the next appended record will get.
	Next vocab.Offset
}

// ReadFailed means that the log did not answer a read.
type ReadFailed struct{}

// LogTrimmed means that the log no longer keeps the offset of ReadFrom. The
// records that follow start at Earliest.
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
	// AppendNotSent: the time for sending had passed.
	AppendNotSent AppendCode = "not-sent"
)

// AppendAnswered is the outcome of an AppendRecords.
type AppendAnswered struct {
	Batch uint64
	Code  AppendCode
}

// OrderID numbers the orders of one controller.
type OrderID uint64

// WorkerAnswered is the outcome of an OrderWorker.
type WorkerAnswered struct {
	Order  OrderID
	Answer worker.Answer
}

// WorkerReported is a worker's own report of use and ended attempts.
type WorkerReported struct {
	Worker      vocab.VMID
	Incarnation vocab.VMIncarnation
	Usage       worker.Usage
}

// WorkersListed is a reading of the list of workers.
type WorkersListed struct {
	Workers []worker.Info
}

// Tick lets time pass. A node sends one every 100 ms.
type Tick struct{}

// IsEvent implements event.Event.
func (Submitted) IsEvent() {}

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
func (AppendAnswered) IsEvent() {}

// IsEvent implements event.Event.
func (WorkerAnswered) IsEvent() {}

// IsEvent implements event.Event.
func (WorkerReported) IsEvent() {}

// IsEvent implements event.Event.
func (WorkersListed) IsEvent() {}

// IsEvent implements event.Event.
func (Tick) IsEvent() {}

// AppendRecords appends to the stream, in one append. The node sends it once,
// and not after NotAfter, which it checks last thing before the write.
type AppendRecords struct {
	Batch    uint64
	Stream   vocab.StreamID
	Records  []record.Envelope
	NotAfter vocab.Instant
}

// OrderWorker sends an order to a worker. The node sends it once, and not
// after NotAfter, which it checks last thing before the write. Without an
// answer it reports worker.NoAnswer, and only once the order can no longer
// reach the worker through this node.
type OrderWorker struct {
	Order    OrderID
	To       worker.Order
	NotAfter vocab.Instant
}

// AnswerCode tells a caller what became of its call.
type AnswerCode string

const (
	// CallAccepted: the log has the task.
	CallAccepted AnswerCode = "accepted"
	// CallRefused: the call had no effect.
	CallRefused AnswerCode = "refused"
	// CallUnknown: the call may or may not have had its effect. Repeating it
	// with the same idempotency key, or for a cancellation as it is, is safe.
	CallUnknown AnswerCode = "unknown"
	// CallCancelled: the log has the cancellation.
	CallCancelled AnswerCode = "cancelled"
	// CallEnded: the awaited task has ended.
	CallEnded AnswerCode = "ended"
	// CallPending: the awaited task has not ended by the deadline.
	CallPending AnswerCode = "pending"
)

// AnswerCaller answers a Submitted, CancelRequested or WaitRequested.
type AnswerCaller struct {
	Request vocab.RequestID
	Code    AnswerCode
	// Task is the accepted task; with an idempotency key it may be an earlier one.
	Task vocab.TaskID
	// Outcome is what became of the task, or after a cancellation of the tasks.
	Outcome vocab.Outcome
	// NotRun, Stopping, Over and NotKnown count the tasks of a cancellation.
	NotRun, Stopping, Over, NotKnown int
	Reason                           string
}

// GaveUp says loudly that the controller can't go on from what the log has. It
// refuses everything from then on; a person is needed.
type GaveUp struct {
	Err error
}

// SetAside tells that a worker was set aside.
type SetAside struct {
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
func (GaveUp) IsEffect() {}

// IsEffect implements event.Effect.
func (SetAside) IsEffect() {}

// Status is a summary for operators.
type Status struct {
	Shard     vocab.StreamID
	Offset    vocab.Offset
	Owner     Owner
	Owns      bool
	LogDown   bool
	Broken    string
	Known     int
	Waiting   int
	Started   int
	Workers   int
	Capacity  placement.Size
	Pending   int
	Appends   uint64
	Records   uint64
	AskedFor  int
	LastSnap  vocab.Offset
	OwnerTill time.Duration
}
