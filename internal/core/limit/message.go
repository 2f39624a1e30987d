package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Ask is a borrower's request for loans and for the renewal of earlier ones.
type Ask struct {
	From vocab.Incarnation
	To   vocab.Incarnation
	// Seq numbers the borrower's asks to all givers, starting at 1.
	Seq uint64
	// Run is the longest run limit of work that the borrower may start.
	Run   time.Duration
	Items []AskItem
	// Renew lists loans to be renewed, in ascending order.
	Renew []LoanID
}

// AskItem asks for tokens of an account, or of any VMs of a pool.
type AskItem struct {
	Account Account
	Slots   vocab.Slots
}

// Answer is a giver's answer to an Ask. The giver has already subtracted the
// grants from what it may use.
type Answer struct {
	From vocab.Incarnation
	// Seq is that of the ask.
	Seq    uint64
	Grants []Grant
	// Refused lists the loans of the ask that were not renewed.
	Refused []LoanID
	// Spare tells, for each item of the ask, what the giver could still lend.
	Spare []vocab.Slots
}

// Grant is a new loan.
type Grant struct {
	ID      LoanID
	Account Account
	Slots   vocab.Slots
}

// Return gives tokens of loans back. It may arrive late, twice or out of
// order: a loan never grows by it.
type Return struct {
	From  vocab.Incarnation
	To    vocab.Incarnation
	Items []ReturnItem
}

// ReturnItem says how many tokens of a loan the borrower still holds.
type ReturnItem struct {
	ID   LoanID
	Keep vocab.Slots
}

// SendAsk is the effect of sending an ask. Its outcome comes as AnswerArrived
// or AskFailed.
type SendAsk struct{ Ask Ask }

// SendReturn is the effect of sending a return. It is not repeated.
type SendReturn struct{ Return Return }

// AnswerArrived is the event of a giver's answer.
type AnswerArrived struct{ Answer Answer }

// AskFailed is the event of an ask that got no answer; the giver may have
// given all the same.
type AskFailed struct{ Seq uint64 }

// AskArrived is the event of a borrower's ask. OnAsk returns the answer.
type AskArrived struct{ Ask Ask }

// ReturnArrived is the event of a borrower's return.
type ReturnArrived struct{ Return Return }

// IsEffect implements event.Effect.
func (SendAsk) IsEffect() {}

// IsEffect implements event.Effect.
func (SendReturn) IsEffect() {}

// IsEvent implements event.Event.
func (AnswerArrived) IsEvent() {}

// IsEvent implements event.Event.
func (AskFailed) IsEvent() {}

// IsEvent implements event.Event.
func (AskArrived) IsEvent() {}

// IsEvent implements event.Event.
func (ReturnArrived) IsEvent() {}
