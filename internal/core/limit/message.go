package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// LoanRequest asks one node for new loans and for the renewal of earlier ones.
type LoanRequest struct {
	From vocab.Incarnation
	To   vocab.Incarnation
	// Seq numbers the borrower's loan requests to all lenders together, starting
	// at 1.
	Seq uint64
	// RunLimit is the longest run limit of work that the borrower may start.
	RunLimit time.Duration
	Items    []LoanRequestItem
	// Renew lists the loans to renew, in ascending order.
	Renew []LoanID
}

// LoanRequestItem requests tokens of an account, or of any VMs of a pool.
type LoanRequestItem struct {
	Account Account
	Slots   vocab.Slots
}

// LoanReply is a lender's reply to a loan request. The lender has already
// subtracted the grants from its own quota.
type LoanReply struct {
	From vocab.Incarnation
	// Seq is the sequence number of the loan request.
	Seq    uint64
	Grants []Grant
	// Refused lists the loans of the request that were not renewed.
	Refused []LoanID
	// Surplus is, for each item of the request, what the lender could still lend.
	Surplus []vocab.Slots
}

// Grant is a new loan.
type Grant struct {
	ID      LoanID
	Account Account
	Slots   vocab.Slots
}

// LoanReturn returns borrowed tokens to their lender. It may arrive late, twice or
// out of order: a loan never grows by it.
type LoanReturn struct {
	From  vocab.Incarnation
	To    vocab.Incarnation
	Items []LoanReturnItem
}

// LoanReturnItem states how many tokens of a loan the borrower still holds.
type LoanReturnItem struct {
	ID   LoanID
	Keep vocab.Slots
}

// SendLoanRequest sends a loan request. The outcome is the event LoanReplyArrived or
// LoanRequestFailed.
type SendLoanRequest struct{ Request LoanRequest }

// SendLoanReturn sends a loan return. It is not sent again if it is lost.
type SendLoanReturn struct{ Return LoanReturn }

// LoanReplyArrived reports a lender's reply.
type LoanReplyArrived struct{ Reply LoanReply }

// LoanRequestFailed reports a loan request without a reply. The lender may have granted
// loans nevertheless.
type LoanRequestFailed struct{ Seq uint64 }

// LoanRequestArrived reports a borrower's loan request. OnLoanRequest returns the
// reply to it.
type LoanRequestArrived struct{ Request LoanRequest }

// LoanReturnArrived reports a borrower's loan return.
type LoanReturnArrived struct{ Return LoanReturn }

// IsEffect implements event.Effect.
func (SendLoanRequest) IsEffect() {}

// IsEffect implements event.Effect.
func (SendLoanReturn) IsEffect() {}

// IsEvent implements event.Event.
func (LoanReplyArrived) IsEvent() {}

// IsEvent implements event.Event.
func (LoanRequestFailed) IsEvent() {}

// IsEvent implements event.Event.
func (LoanRequestArrived) IsEvent() {}

// IsEvent implements event.Event.
func (LoanReturnArrived) IsEvent() {}
