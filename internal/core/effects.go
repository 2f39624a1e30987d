package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dispatch starts an attempt: the request is to be sent to the VM now.
type Dispatch struct {
	Request vocab.RequestID
	Attempt vocab.AttemptID
	Team    vocab.TeamID
	VM      vocab.VMID
	Address string
	// Reuse allows a connection that served another request before. Requests
	// that are not idempotent, and retries, need a fresh one.
	Reuse bool
	// SendBy is the latest instant at which a byte may be written. A process that
	// was held up until later reports the attempt as not sent: what it may run
	// belongs to another one by then.
	SendBy vocab.Instant
	// FirstByte bounds the wait for the first byte of the answer.
	FirstByte time.Duration
	// Run bounds the whole attempt.
	Run time.Duration
	// IdleConnections is the most idle connections of this node to the VM. The
	// VM's slots bound the busy ones.
	IdleConnections int
}

// Answer gives a request its final answer, made by sardinehead itself.
type Answer struct {
	Request vocab.RequestID
	Problem Problem
}

// Append adds one record to a stream of the platform's log. The node repeats
// it under the same record ID until it is known to be there.
type Append struct {
	Stream vocab.StreamID
	ID     vocab.RecordID
	Body   record.Body
	// Once asks for one try only: the record is worth nothing later.
	Once bool
}

// SendGossip exchanges gossip with the process at an address.
type SendGossip struct {
	Address string
	Message gossip.Message
}

// ReplyGossip answers a peer's call.
type ReplyGossip struct {
	Call    uint64
	Message gossip.Message
}

// FetchSnapshot asks the process at an address for a later shared state.
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

// Notice asks for a numbered event in the process's log.
type Notice struct {
	Event NoticeID
	// Subject names what the notice is about.
	Subject string
	Detail  string
}

// IsEffect implements event.Effect.
func (Dispatch) IsEffect() {}

// IsEffect implements event.Effect.
func (Answer) IsEffect() {}

// IsEffect implements event.Effect.
func (Append) IsEffect() {}

// IsEffect implements event.Effect.
func (Notice) IsEffect() {}
