package core

import (
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
)

// LoanRequestArrived delivers a borrower's loan request. ReplyLoanRequest replies
// to the call.
type LoanRequestArrived struct {
	Call    uint64
	Request limit.LoanRequest
}

// ReplyLoanRequest sends the loan reply to a borrower's call.
type ReplyLoanRequest struct {
	Call  uint64
	Reply limit.LoanReply
}

// SendLoanRequest sends a loan request to the process at an address.
type SendLoanRequest struct {
	Address string
	Request limit.LoanRequest
}

// SendLoanReturn returns loans to the process at an address. It is not retried.
type SendLoanReturn struct {
	Address string
	Return  limit.LoanReturn
}

// emitLoanMessages emits the loan messages of the limits with the addresses of
// their recipients. Messages to a process without a known address are dropped;
// a loan request then fails when it times out.
func (s *State) emitLoanMessages(effects []event.Effect) {
	for _, e := range effects {
		switch message := e.(type) {
		case limit.SendLoanRequest:
			if address := s.addressOf(message.Request.To); address != "" {
				s.emit(SendLoanRequest{Address: address, Request: message.Request})
			}
		case limit.SendLoanReturn:
			if address := s.addressOf(message.Return.To); address != "" {
				s.emit(SendLoanReturn{Address: address, Return: message.Return})
			}
		}
	}
}

// IsEvent implements event.Event.
func (LoanRequestArrived) IsEvent() {}

// IsEffect implements event.Effect.
func (SendLoanRequest) IsEffect() {}

// IsEffect implements event.Effect.
func (SendLoanReturn) IsEffect() {}

// IsEffect implements event.Effect.
func (ReplyLoanRequest) IsEffect() {}
