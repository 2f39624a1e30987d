package limit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// returnExcess returns borrowed tokens that this node no longer needs or may no
// longer use. Tokens with running work are kept.
func (s *State) returnExcess(now vocab.Instant) []event.Effect {
	byLender := map[vocab.Incarnation]*LoanReturn{}
	for _, key := range s.sortedLoanKeys() {
		l := s.borrower.loans[key]
		excess := l.slots - l.running
		if !l.recalled && now.Before(l.expiry) {
			excess = min(excess, s.returnable(now, l.account))
		}
		if excess > 0 {
			s.reduceBorrowed(byLender, l, excess)
		}
	}
	var effects []event.Effect
	for _, lender := range slices.SortedFunc(maps.Keys(byLender), cmp.Compare) {
		effects = append(effects, SendLoanReturn{Return: *byLender[lender]})
	}
	return effects
}

// reduceBorrowed lowers a borrowed loan by n tokens and adds this to the message
// for its lender.
func (s *State) reduceBorrowed(byLender map[vocab.Incarnation]*LoanReturn, l *borrowedLoan, n vocab.Slots) {
	l.slots -= n
	r, ok := byLender[l.lender]
	if !ok {
		r = &LoanReturn{From: s.cfg.Self, To: l.lender}
		byLender[l.lender] = r
	}
	r.Items = append(r.Items, LoanReturnItem{ID: l.id, Keep: l.slots})
	if l.slots > 0 {
		return
	}
	delete(s.borrower.loans, loanKey{l.lender, l.id})
	a := l.account
	a.borrowedLoans = slices.DeleteFunc(a.borrowedLoans, func(b *borrowedLoan) bool { return b == l })
}

// returnable returns how many tokens of an account this node has not needed for
// IdleLoanTimeout. For a VM's account, the pool's demand must not need them
// either.
func (s *State) returnable(now vocab.Instant, a *account) vocab.Slots {
	n := s.idleExcess(now, a.id)
	if a.pool == "" {
		return n
	}
	return min(n, s.idleExcess(now, PoolAccount(a.pool)))
}

// idleExcess returns the capacity beyond the demand once there has been an
// excess for IdleLoanTimeout, or at once while draining.
func (s *State) idleExcess(now vocab.Instant, id Account) vocab.Slots {
	search := s.ensureSearch(id)
	excess := -s.shortfall(now, id)
	if excess <= 0 {
		search.hasExcess = false
		return 0
	}
	if !search.hasExcess {
		search.hasExcess = true
		search.excessSince = now
	}
	if s.draining || now.Sub(search.excessSince) >= s.cfg.IdleLoanTimeout {
		return excess
	}
	return 0
}
