package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// LoanID numbers the loans of one lender, starting at 1.
type LoanID uint64

// borrowedLoan is the borrower's record of tokens lent by another node.
type borrowedLoan struct {
	account *account
	lender  vocab.Incarnation
	id      LoanID
	slots   vocab.Slots
	// running counts the work that runs on these tokens.
	running vocab.Slots
	// runLimit is the longest run limit of work that the lender waits for.
	runLimit time.Duration
	// expiry is the end of the lease: no work starts on the loan from then on.
	expiry vocab.Instant
	// recalled is set once the lender refused a renewal: no more work starts on
	// the loan.
	recalled bool
	// renewing is set while a renewal has been requested and has no reply yet.
	renewing bool
}

// usable reports whether work with the given run limit may start on the loan.
func (l *borrowedLoan) usable(now vocab.Instant, runLimit time.Duration) bool {
	return !l.recalled && l.runLimit >= runLimit && now.Before(l.expiry)
}

// usableLoan returns the loan with a free token that expires last, or nil.
func (s *State) usableLoan(now vocab.Instant, a *account) *borrowedLoan {
	var best *borrowedLoan
	for _, l := range a.borrowedLoans {
		if l.running >= l.slots || !l.usable(now, s.maxRunLimit) {
			continue
		}
		if best == nil || l.expiry > best.expiry {
			best = l
		}
	}
	return best
}

// freeBorrowed returns how many borrowed tokens may be taken now.
func (s *State) freeBorrowed(now vocab.Instant, a *account) vocab.Slots {
	var n vocab.Slots
	for _, l := range a.borrowedLoans {
		if l.usable(now, s.maxRunLimit) {
			n += l.slots - l.running
		}
	}
	return n
}

// capacity returns how many tokens of an account this node's work holds or may
// still take.
func (s *State) capacity(now vocab.Instant, a *account) vocab.Slots {
	n := a.ownRunning + a.free()
	for _, l := range a.borrowedLoans {
		if l.usable(now, s.maxRunLimit) {
			n += l.slots
		} else {
			n += l.running
		}
	}
	return n
}
