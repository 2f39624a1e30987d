package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// RequestArrived is a caller's request whose header was read.
type RequestArrived struct {
	Request vocab.RequestID
	Queue   vocab.QueueID
	// Key is the ID of the key that came with the request; empty without one.
	Key vocab.KeyID
	// SecretHash is the SHA-256 of the secret that came with the key.
	SecretHash []byte
	Method     string
	// Path is the path after the queue's name, starting with "/".
	Path string
	// Patience is how long the caller waits for an answer; 0 if it did not say.
	Patience time.Duration
	// BodyBytes is the declared length of the body; -1 if it was not declared.
	BodyBytes int64
	// Replayable is set if the body can be sent more than once.
	Replayable bool
}

// RequestAbandoned means that the caller went away. Running work goes on.
type RequestAbandoned struct {
	Request vocab.RequestID
}

// AttemptEnded is the end of an attempt that a Dispatch effect began.
type AttemptEnded struct {
	Attempt vocab.AttemptID
	Result  retry.Result
	// Answering is set if part of an answer already went to the caller.
	Answering bool
	// Draining is set if the upstream said that it is leaving.
	Draining bool
	// Silent is set if the connection gave no sign of life.
	Silent bool
}

// RecordsRead are records of the fleet stream in the order of their offsets.
type RecordsRead struct {
	Records []record.Sequenced
	// CaughtUp is set if no later record was on the log when these were read.
	CaughtUp bool
}

// StreamBegins tells that the log keeps no record of the fleet stream before
// Earliest, and that reading goes on there.
type StreamBegins struct {
	Earliest vocab.Offset
}

// SnapshotFetched is a snapshot that a peer gave.
type SnapshotFetched struct {
	Snapshot shared.Snapshot
}

// WithdrawKey is an operator's word, given to this node or heard from a peer,
// that a key ends now.
type WithdrawKey struct {
	Key vocab.KeyID
}

// LogStatus tells whether the last call of the log service was answered.
type LogStatus struct {
	Up bool
}

// VMsListed is a reading of the VM list.
type VMsListed struct {
	Version uint64
	Rows    []observe.Row
}

// Tick makes time pass. The node sends one every TickInterval.
type Tick struct{}

// LeaveRequested begins a graceful stop: the node withdraws its readiness and
// goes on serving until the balancer has noticed.
type LeaveRequested struct{}

// StopRequested is the second step of a graceful stop: no new request is taken.
type StopRequested struct{}

// LastRequestEnded is the last step of a graceful stop: all callers have their
// answers.
type LastRequestEnded struct{}

// IsEvent implements event.Event.
func (RequestArrived) IsEvent() {}

// IsEvent implements event.Event.
func (RequestAbandoned) IsEvent() {}

// IsEvent implements event.Event.
func (AttemptEnded) IsEvent() {}

// IsEvent implements event.Event.
func (RecordsRead) IsEvent() {}

// IsEvent implements event.Event.
func (StreamBegins) IsEvent() {}

// IsEvent implements event.Event.
func (SnapshotFetched) IsEvent() {}

// IsEvent implements event.Event.
func (WithdrawKey) IsEvent() {}

// IsEvent implements event.Event.
func (LogStatus) IsEvent() {}

// IsEvent implements event.Event.
func (VMsListed) IsEvent() {}

// IsEvent implements event.Event.
func (Tick) IsEvent() {}

// IsEvent implements event.Event.
func (LeaveRequested) IsEvent() {}

// IsEvent implements event.Event.
func (LastRequestEnded) IsEvent() {}

// IsEvent implements event.Event.
func (StopRequested) IsEvent() {}
