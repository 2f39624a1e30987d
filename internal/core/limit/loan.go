package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// LoanID numbers the loans of one giver, starting at 1.
type LoanID uint64

// loan is a borrower's record of tokens lent by another node.
type loan struct {
	giver vocab.Incarnation
	id    LoanID
	slots vocab.Slots
	// running counts work on these tokens.
	running vocab.Slots
	// lapse is the end of the lease: no work starts on the loan from then on.
	lapse vocab.Instant
}

// usableLoan returns the loan with the latest lapse that has a free token.
func (a *account) usableLoan(now vocab.Instant) *loan {
	var best *loan
	for _, l := range a.borrowed {
		if l.running >= l.slots || !now.Before(l.lapse) {
			continue
		}
		if best == nil || l.lapse > best.lapse {
			best = l
		}
	}
	return best
}

// borrowedFree returns how many borrowed tokens may be taken now.
func (a *account) borrowedFree(now vocab.Instant) vocab.Slots {
	var n vocab.Slots
	for _, l := range a.borrowed {
		if now.Before(l.lapse) {
			n += l.slots - l.running
		}
	}
	return n
}
