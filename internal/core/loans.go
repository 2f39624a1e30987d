package core

import (
	"github.com/sardinehead/sardinehead/internal/core/limit"
)

// AskArrived is a borrower's ask; ReplyAsk answers the call.
type AskArrived struct {
	Call uint64
	Ask  limit.Ask
}

// ReplyAsk answers a borrower's call.
type ReplyAsk struct {
	Call   uint64
	Answer limit.Answer
}

// IsEvent implements event.Event.
func (AskArrived) IsEvent() {}

// IsEffect implements event.Effect.
func (ReplyAsk) IsEffect() {}
