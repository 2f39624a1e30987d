package limit

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dump is a copy of a State for operators, in a fixed order.
type Dump struct {
	Self      vocab.Incarnation `json:"self"`
	Folded    vocab.Offset      `json:"folded"`
	Settled   vocab.Offset      `json:"settled"`
	Confirmed vocab.Offset      `json:"confirmed"`
	Accounts  []AccountDump     `json:"accounts"`
}

// AccountDump is the state of one account on this node.
type AccountDump struct {
	Account Account     `json:"account"`
	Total   vocab.Slots `json:"total"`
	// BaseQuota is the node's base quota at the folded offset.
	BaseQuota vocab.Slots `json:"home"`
	// Quota is the node's own quota, of which it may use or lend: the smallest
	// base quota in the window.
	Quota vocab.Slots `json:"allowed"`
	// OwnRunning counts the node's running work on its own quota.
	OwnRunning vocab.Slots `json:"own"`
	// Lent counts tokens lent to other nodes and not yet returned or reclaimed.
	Lent vocab.Slots `json:"lent"`
	// Borrowed counts the tokens of borrowed loans; BorrowedRunning counts the
	// running work on them.
	Borrowed        vocab.Slots `json:"borrowed"`
	BorrowedRunning vocab.Slots `json:"borrowed_running"`
	// CappedDemand is the demand, capped at the node's fair share if a cap is
	// set.
	CappedDemand vocab.Slots `json:"want"`
	// Loans lists the loans borrowed from other nodes.
	Loans []LoanDump `json:"loans,omitempty"`
}

// LoanDump is a loan borrowed from another node.
type LoanDump struct {
	Lender  vocab.Incarnation `json:"giver"`
	ID      LoanID            `json:"id"`
	Slots   vocab.Slots       `json:"slots"`
	Running vocab.Slots       `json:"running"`
	// Expiry is the end of the lease on this node's clock.
	Expiry vocab.Instant `json:"lapse"`
}

// Dump returns a copy of the state for operators.
func (s *State) Dump() Dump {
	d := Dump{Self: s.cfg.Self, Folded: s.folded, Settled: s.settled, Confirmed: s.confirmed}
	for _, a := range s.accounts {
		d.Accounts = append(d.Accounts, a.dump())
	}
	slices.SortFunc(d.Accounts, func(a, b AccountDump) int { return a.Account.Compare(b.Account) })
	return d
}

func (a *account) dump() AccountDump {
	d := AccountDump{
		Account:      a.id,
		Total:        a.total,
		BaseQuota:    a.window.latest(),
		Quota:        a.window.minQuota,
		OwnRunning:   a.ownRunning,
		Lent:         a.lent,
		CappedDemand: a.cappedDemand(),
	}
	for _, l := range a.borrowedLoans {
		d.Borrowed += l.slots
		d.BorrowedRunning += l.running
		d.Loans = append(d.Loans, LoanDump{Lender: l.lender, ID: l.id, Slots: l.slots, Running: l.running, Expiry: l.expiry})
	}
	return d
}
