package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// Token is the right to have one request or task running. It is held until the
// work has certainly ended upstream.
type Token struct {
	Account Account
	// ID is unique within the process.
	ID uint64
}

// heldToken is the state of a token in use.
type heldToken struct {
	account *account
	// loan is the loan that the token came from; nil for this node's own quota.
	loan *borrowedLoan
}

// Take takes a token of the account from the node's own quota or, if that is
// used up, from a loan. It returns false if none is free.
func (s *State) Take(now vocab.Instant, id Account) (Token, bool) {
	a, ok := s.accounts[id]
	if !ok || s.closed {
		return Token{}, false
	}
	held := &heldToken{account: a}
	if a.free() > 0 {
		a.ownRunning++
	} else {
		held.loan = s.usableLoan(now, a)
		if held.loan == nil {
			return Token{}, false
		}
		held.loan.running++
	}
	s.lastTokenID++
	s.tokensInUse[s.lastTokenID] = held
	return Token{Account: id, ID: s.lastTokenID}, true
}

// Valid reports whether work may still be started on the token. It must be
// called immediately before the dispatch, with the time at that moment, because
// the lease of a loan may have expired since Take.
func (s *State) Valid(now vocab.Instant, t Token) bool {
	held, ok := s.tokensInUse[t.ID]
	if !ok {
		return false
	}
	return held.loan == nil || held.loan.usable(now, s.maxRunLimit)
}

// Release ends the use of a token, when the work was not started or has
// certainly ended upstream. Releasing a token twice has no effect.
func (s *State) Release(_ vocab.Instant, t Token) {
	held, ok := s.tokensInUse[t.ID]
	if !ok {
		return
	}
	delete(s.tokensInUse, t.ID)
	if held.loan == nil {
		held.account.ownRunning--
		s.updateOverQuota(held.account)
		return
	}
	held.loan.running--
}

// ReleaseAt makes Tick release a token at a later instant. For work whose end
// was not seen, this is the start of the work plus its run limit.
func (s *State) ReleaseAt(t Token, at vocab.Instant) {
	if _, ok := s.tokensInUse[t.ID]; ok {
		s.timers.add(at, t)
	}
}

// Free returns how many tokens of the account Take could take now.
func (s *State) Free(now vocab.Instant, id Account) vocab.Slots {
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	return a.free() + s.freeBorrowed(now, a)
}

// InUse returns how many tokens of the account this node's work holds.
func (s *State) InUse(id Account) vocab.Slots {
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	n := a.ownRunning
	for _, l := range a.borrowedLoans {
		n += l.running
	}
	return n
}
