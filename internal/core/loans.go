package core

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
)

// AskArrived delivers a borrower's loan request. ReplyAsk replies to the call.
type AskArrived struct {
	Call uint64
	Ask  limit.Ask
}

// ReplyAsk sends the loan reply to a borrower's call.
type ReplyAsk struct {
	Call   uint64
	Answer limit.Answer
}

// SendAsk sends a loan request to the process at an address.
type SendAsk struct {
	Address string
	Ask     limit.Ask
}

// SendReturn returns loans to the process at an address. It is not retried.
type SendReturn struct {
	Address string
	Return  limit.Return
}

// emitLoanMessages emits the loan messages of the limits with the addresses of
// their recipients. Messages to a process without a known address are dropped;
// a loan request then fails when it times out.
func (s *State) emitLoanMessages(effects []event.Effect) {
	for _, e := range effects {
		switch message := e.(type) {
		case limit.SendAsk:
			if address := s.addressOf(message.Ask.To); address != "" {
				s.emit(SendAsk{Address: address, Ask: message.Ask})
			}
		case limit.SendReturn:
			if address := s.addressOf(message.Return.To); address != "" {
				s.emit(SendReturn{Address: address, Return: message.Return})
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
