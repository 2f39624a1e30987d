package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// LoanID numbers the loans of one giver, starting at 1.
type LoanID uint64

// loan is a borrower's record of tokens lent by another node.
type loan struct {
	account *account
	giver   vocab.Incarnation
	id      LoanID
	slots   vocab.Slots
	// running counts work on these tokens.
	running vocab.Slots
	// run is the longest run limit of work that the giver waits for.
	run time.Duration
	// lapse is the end of the lease: no work starts on the loan from then on.
	lapse vocab.Instant
	// recalled means that the giver did not renew: nothing more starts on it.
	recalled bool
	// renewing means that a renewal was asked and not answered yet.
	renewing bool
}

// live reports whether work with the longest run limit may start on the loan.
func (l *loan) live(now vocab.Instant, run time.Duration) bool {
	return !l.recalled && l.run >= run && now.Before(l.lapse)
}

// usableLoan returns the loan with the latest lapse that has a free token.
func (s *State) usableLoan(now vocab.Instant, a *account) *loan {
	var best *loan
	for _, l := range a.borrowed {
		if l.running >= l.slots || !l.live(now, s.longestRun) {
			continue
		}
		if best == nil || l.lapse > best.lapse {
			best = l
		}
	}
	return best
}

// borrowedFree returns how many borrowed tokens may be taken now.
func (s *State) borrowedFree(now vocab.Instant, a *account) vocab.Slots {
	var n vocab.Slots
	for _, l := range a.borrowed {
		if l.live(now, s.longestRun) {
			n += l.slots - l.running
		}
	}
	return n
}

// usable returns what this node's work holds and may still take.
func (s *State) usable(now vocab.Instant, a *account) vocab.Slots {
	n := a.own + a.free()
	for _, l := range a.borrowed {
		if l.live(now, s.longestRun) {
			n += l.slots
		} else {
			n += l.running
		}
	}
	return n
}
