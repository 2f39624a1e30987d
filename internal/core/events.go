package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// RequestArrived reports a caller's request whose header has been read.
type RequestArrived struct {
	Request vocab.RequestID
	Queue   vocab.QueueID
	// Key is the ID of the API key in the request; empty if there is none.
	Key vocab.KeyID
	// SecretHash is the SHA-256 hash of the secret in the request.
	SecretHash []byte
	Method     string
	// Path is the path after the queue's name, starting with "/".
	Path string
	// Timeout is the timeout that the caller specified; 0 if it specified none.
	Timeout time.Duration
	// BodyBytes is the declared length of the body; -1 if it was not declared.
	BodyBytes int64
	// Replayable reports whether the body can be sent more than once.
	Replayable bool
}

// RequestAbandoned reports that the caller closed its connection. A running
// attempt continues.
type RequestAbandoned struct {
	Request vocab.RequestID
}

// AttemptEnded reports the end of an attempt that a Dispatch effect started.
type AttemptEnded struct {
	Attempt vocab.AttemptID
	Result  retry.Result
	// ResponseStarted is set if part of the response has been sent to the caller.
	ResponseStarted bool
	// Draining is set if the upstream reported that it is leaving.
	Draining bool
	// FirstByteTimedOut is set if the first byte of the response did not arrive in time.
	FirstByteTimedOut bool
}

// RecordsRead delivers records of the fleet stream in the order of their
// offsets.
type RecordsRead struct {
	Records []record.Sequenced
	// CaughtUp is set if the log had no later record when these were read.
	CaughtUp bool
}

// LogTrimmed reports that the log has no records of the fleet stream before
// the offset Earliest. The next record read is the one at Earliest.
type LogTrimmed struct {
	Earliest vocab.Offset
}

// SnapshotFetched delivers a snapshot received from a peer.
type SnapshotFetched struct {
	Snapshot shared.Snapshot
}

// WithdrawKey withdraws a key on this node immediately, at the request of an
// operator.
type WithdrawKey struct {
	Key vocab.KeyID
}

// GossipArrived delivers a gossip message from a peer's call. ReplyGossip
// replies to the call.
type GossipArrived struct {
	Call    uint64
	Message gossip.Message
}

// GossipReplied delivers the peer's reply to SendGossip.
type GossipReplied struct {
	Message gossip.Message
}

// LogStatus reports whether the log service answered the last call.
type LogStatus struct {
	Up bool
}

// VMsListed delivers the whole VM list as read from the platform.
type VMsListed struct {
	Version uint64
	Rows    []observe.Row
}

// Tick triggers periodic work. The node sends one every TickInterval.
type Tick struct {
	// Unix is the wall clock time in seconds since the Unix epoch. It is used for
	// forecasts and for deadlines days ahead, never for leases.
	Unix int64
}

// LeaveRequested is the first step of a graceful stop: the node reports itself
// not ready, and serves requests until the load balancer sends no more.
type LeaveRequested struct{}

// StopRequested is the second step of a graceful stop: the node refuses new and
// waiting requests.
type StopRequested struct{}

// LastRequestEnded is the last step of a graceful stop: all callers have their
// responses, and the node ends its membership.
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
func (LogTrimmed) IsEvent() {}

// IsEvent implements event.Event.
func (SnapshotFetched) IsEvent() {}

// IsEvent implements event.Event.
func (WithdrawKey) IsEvent() {}

// IsEvent implements event.Event.
func (GossipArrived) IsEvent() {}

// IsEvent implements event.Event.
func (GossipReplied) IsEvent() {}

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
