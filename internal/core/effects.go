package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dispatch sends a request to a VM as a new attempt.
type Dispatch struct {
	Request vocab.RequestID
	Attempt vocab.AttemptID
	Team    vocab.TeamID
	VM      vocab.VMID
	Address string
	// Reuse allows the use of a connection that has served another request.
	// Requests that are not idempotent and retries need a new connection.
	Reuse bool
	// SendBy is the latest instant at which the first byte may be written. After
	// that the attempt must be reported as not sent, because the tokens that
	// allow it may have passed to another process.
	SendBy vocab.Instant
	// FirstByte is the timeout for the first byte of the response.
	FirstByte time.Duration
	// Run is the timeout for the whole attempt.
	Run time.Duration
	// IdleConnections is the maximum number of idle connections from this node to
	// the VM. Connections in use are bounded by the VM's slots.
	IdleConnections int
}

// RespondProblem responds to a request with a problem. It is sent when no response from
// an upstream is passed to the caller.
type RespondProblem struct {
	Request vocab.RequestID
	Problem Problem
}

// Append appends a record to a stream of the platform's log. The node retries
// with the same record ID until the log confirms the append.
type Append struct {
	Stream vocab.StreamID
	ID     vocab.RecordID
	Body   record.Body
	// NoRetry disables retries, for a record that is of no use later.
	NoRetry bool
}

// SendGossip sends a gossip message to the process at an address. The reply
// arrives as GossipReplied.
type SendGossip struct {
	Address string
	Message gossip.Message
}

// ReplyGossip replies to a peer's gossip call.
type ReplyGossip struct {
	Call    uint64
	Message gossip.Message
}

// FetchSnapshot requests a snapshot of the shared state from the process at an
// address, if that process has folded the stream beyond the offset Folded.
type FetchSnapshot struct {
	Address string
	Folded  vocab.Offset
}

// IsEffect implements event.Effect.
func (SendGossip) IsEffect() {}

// IsEffect implements event.Effect.
func (ReplyGossip) IsEffect() {}

// IsEffect implements event.Effect.
func (FetchSnapshot) IsEffect() {}

// LogEvent writes an event to the process's log.
type LogEvent struct {
	ID LogEventID
	// Subject names the object of the event: a node, a VM, a key or a stream.
	Subject string
	Detail  string
}

// IsEffect implements event.Effect.
func (Dispatch) IsEffect() {}

// IsEffect implements event.Effect.
func (RespondProblem) IsEffect() {}

// IsEffect implements event.Effect.
func (Append) IsEffect() {}

// IsEffect implements event.Effect.
func (LogEvent) IsEffect() {}
