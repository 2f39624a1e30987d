package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Ask is a loan request: a borrower asks one node for new loans and for the
// renewal of earlier ones.
type Ask struct {
	From vocab.Incarnation
	To   vocab.Incarnation
	// Seq numbers the borrower's loan requests to all lenders together, starting
	// at 1.
	Seq uint64
	// Run is the longest run limit of work that the borrower may start.
	Run   time.Duration
	Items []AskItem
	// Renew lists the loans to renew, in ascending order.
	Renew []LoanID
}

// AskItem requests tokens of an account, or of any VMs of a pool.
type AskItem struct {
	Account Account
	Slots   vocab.Slots
}

// Answer is a lender's reply to a loan request. The lender has already
// subtracted the grants from its own quota.
type Answer struct {
	From vocab.Incarnation
	// Seq is the sequence number of the loan request.
	Seq    uint64
	Grants []Grant
	// Refused lists the loans of the request that were not renewed.
	Refused []LoanID
	// Spare is, for each item of the request, what the lender could still lend.
	Spare []vocab.Slots
}

// Grant is a new loan.
type Grant struct {
	ID      LoanID
	Account Account
	Slots   vocab.Slots
}

// Return returns borrowed tokens to their lender. It may arrive late, twice or
// out of order: a loan never grows by it.
type Return struct {
	From  vocab.Incarnation
	To    vocab.Incarnation
	Items []ReturnItem
}

// ReturnItem states how many tokens of a loan the borrower still holds.
type ReturnItem struct {
	ID   LoanID
	Keep vocab.Slots
}

// SendAsk sends a loan request. The outcome is the event AnswerArrived or
// AskFailed.
type SendAsk struct{ Ask Ask }

// SendReturn sends a loan return. It is not sent again if it is lost.
type SendReturn struct{ Return Return }

// AnswerArrived reports a lender's reply.
type AnswerArrived struct{ Answer Answer }

// AskFailed reports a loan request without a reply. The lender may have granted
// loans nevertheless.
type AskFailed struct{ Seq uint64 }

// AskArrived reports a borrower's loan request. OnAsk returns the reply to it.
type AskArrived struct{ Ask Ask }

// ReturnArrived reports a borrower's loan return.
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
