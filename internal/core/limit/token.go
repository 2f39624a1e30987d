package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// Token is the right to have one request or task running. It is held until the
// work has certainly ended upstream.
type Token struct {
	Account Account
	// ID is unique within the process.
	ID uint64
}

// work is a token in use.
type work struct {
	account *account
	// loan is the loan that the token came from; nil for this node's own part.
	loan *loan
}

// Take takes a token of the account, of the node's own part before a loan. It
// reports false if there is none.
func (s *State) Take(now vocab.Instant, id Account) (Token, bool) {
	a, ok := s.accounts[id]
	if !ok {
		return Token{}, false
	}
	w := &work{account: a}
	if a.free() > 0 {
		a.own++
	} else {
		w.loan = a.usableLoan(now)
		if w.loan == nil {
			return Token{}, false
		}
		w.loan.running++
	}
	s.nextID++
	s.running[s.nextID] = w
	return Token{Account: id, ID: s.nextID}, true
}

// Valid reports whether work may still be started on the token. It must be
// called last thing before the dispatch, with the time at that moment: the
// lease of a loan may have lapsed since Take.
func (s *State) Valid(now vocab.Instant, t Token) bool {
	w, ok := s.running[t.ID]
	if !ok {
		return false
	}
	return w.loan == nil || now.Before(w.loan.lapse)
}

// Release ends the use of a token: the work was not started, or it has
// certainly ended upstream. Releasing a token twice has no effect.
func (s *State) Release(now vocab.Instant, t Token) {
	w, ok := s.running[t.ID]
	if !ok {
		return
	}
	delete(s.running, t.ID)
	if w.loan == nil {
		w.account.own--
		s.review(w.account)
		return
	}
	w.loan.running--
	s.dropLapsed(now, w.account)
}

// ReleaseAt ends the use of a token at a later instant: the start of the work
// plus its run limit, if its end was not seen. Tick carries it out.
func (s *State) ReleaseAt(t Token, at vocab.Instant) {
	if _, ok := s.running[t.ID]; ok {
		s.timers.add(at, t)
	}
}

// Free returns how many tokens Take would give now.
func (s *State) Free(now vocab.Instant, id Account) vocab.Slots {
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	return a.free() + a.borrowedFree(now)
}

// InUse returns how many tokens of the account this node's work holds.
func (s *State) InUse(id Account) vocab.Slots {
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	n := a.own
	for _, l := range a.borrowed {
		n += l.running
	}
	return n
}
