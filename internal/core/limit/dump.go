package limit

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dump is a readable copy of a State, in a fixed order.
type Dump struct {
	Self      vocab.Incarnation `json:"self"`
	Folded    vocab.Offset      `json:"folded"`
	Settled   vocab.Offset      `json:"settled"`
	Confirmed vocab.Offset      `json:"confirmed"`
	Accounts  []AccountDump     `json:"accounts"`
}

// AccountDump shows one account.
type AccountDump struct {
	Account Account     `json:"account"`
	Total   vocab.Slots `json:"total"`
	// Home is the node's part at the folded offset.
	Home vocab.Slots `json:"home"`
	// Allowed is what the node may use of its own part until all have confirmed.
	Allowed vocab.Slots `json:"allowed"`
	// Own counts the node's work on its own part.
	Own vocab.Slots `json:"own"`
	// Lent counts tokens lent to other nodes and not yet taken back.
	Lent vocab.Slots `json:"lent"`
	// Borrowed counts tokens of loans, BorrowedRunning the work on them.
	Borrowed        vocab.Slots `json:"borrowed"`
	BorrowedRunning vocab.Slots `json:"borrowed_running"`
	// Want is the demand, bounded by the target if one is set.
	Want vocab.Slots `json:"want"`
	// Loans lists what this node has borrowed.
	Loans []LoanDump `json:"loans,omitempty"`
}

// LoanDump shows a loan from another node.
type LoanDump struct {
	Giver   vocab.Incarnation `json:"giver"`
	ID      LoanID            `json:"id"`
	Slots   vocab.Slots       `json:"slots"`
	Running vocab.Slots       `json:"running"`
	// Lapse is the end of the lease on this node's clock.
	Lapse vocab.Instant `json:"lapse"`
}

// Snapshot returns a copy of the state for operators.
func (s *State) Snapshot() Dump {
	d := Dump{Self: s.cfg.Self, Folded: s.folded, Settled: s.settled, Confirmed: s.confirmed}
	for _, a := range s.accounts {
		d.Accounts = append(d.Accounts, a.dump())
	}
	slices.SortFunc(d.Accounts, func(a, b AccountDump) int { return a.Account.Compare(b.Account) })
	return d
}

func (a *account) dump() AccountDump {
	d := AccountDump{
		Account: a.id,
		Total:   a.total,
		Home:    a.window.home(),
		Allowed: a.window.least,
		Own:     a.own,
		Lent:    a.lent,
		Want:    a.want(),
	}
	for _, l := range a.borrowed {
		d.Borrowed += l.slots
		d.BorrowedRunning += l.running
		d.Loans = append(d.Loans, LoanDump{Giver: l.giver, ID: l.id, Slots: l.slots, Running: l.running, Lapse: l.lapse})
	}
	return d
}
