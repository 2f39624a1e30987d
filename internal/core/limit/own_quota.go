package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// AddRunning counts work that is already running, even beyond the node's quota: a new
// owner takes over running tasks. While more is in use than the quota allows,
// the node starts nothing new and does not report itself settled.
func (s *State) AddRunning(id Account) Token {
	a := s.ensureAccount(id)
	a.ownRunning++
	s.lastTokenID++
	s.tokensInUse[s.lastTokenID] = &heldToken{account: a}
	s.updateOverQuota(a)
	return Token{Account: id, ID: s.lastTokenID}
}

// TakeFromOwnQuota takes a token from the node's own quota and never from a loan. It is
// for work that may run longer than the run limit that the lender of a loan
// waits for.
func (s *State) TakeFromOwnQuota(id Account) (Token, bool) {
	a, ok := s.accounts[id]
	if !ok || a.free() <= 0 {
		return Token{}, false
	}
	return s.AddRunning(id), true
}

// OwnQuota returns how many tokens of the account this node's own quota allows.
func (s *State) OwnQuota(id Account) vocab.Slots {
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	return a.window.minQuota
}
