package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dispatch starts an attempt: the request is to be sent to the VM now.
type Dispatch struct {
	Request vocab.RequestID
	Attempt vocab.AttemptID
	VM      vocab.VMID
	Address string
	// Reuse allows a connection that served another request before. Requests
	// that are not idempotent, and retries, need a fresh one.
	Reuse bool
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
}

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
