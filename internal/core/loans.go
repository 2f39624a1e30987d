package core

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
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

// SendAsk sends an ask to the process at an address.
type SendAsk struct {
	Address string
	Ask     limit.Ask
}

// SendReturn sends a return to the process at an address. It is not repeated.
type SendReturn struct {
	Address string
	Return  limit.Return
}

// emitLoans adds addresses to what the limits want to send. An ask to a
// process without a known address fails when its time is up.
func (s *State) emitLoans(effects []event.Effect) {
	for _, e := range effects {
		switch m := e.(type) {
		case limit.SendAsk:
			if address := s.addressOf(m.Ask.To); address != "" {
				s.emit(SendAsk{Address: address, Ask: m.Ask})
			}
		case limit.SendReturn:
			if address := s.addressOf(m.Return.To); address != "" {
				s.emit(SendReturn{Address: address, Return: m.Return})
			}
		}
	}
}

// IsEvent implements event.Event.
func (AskArrived) IsEvent() {}

// IsEffect implements event.Effect.
func (SendAsk) IsEffect() {}

// IsEffect implements event.Effect.
func (SendReturn) IsEffect() {}

// IsEffect implements event.Effect.
func (ReplyAsk) IsEffect() {}
