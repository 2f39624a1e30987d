package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// Adopt counts work that is in use already, whatever the node's part says: a
// new owner takes over tasks that run. While more is in use than the part, the
// node takes nothing new and does not report itself settled.
func (s *State) Adopt(id Account) Token {
	a := s.account(id)
	a.own++
	s.nextID++
	s.running[s.nextID] = &work{account: a}
	s.review(a)
	return Token{Account: id, ID: s.nextID}
}

// TakeOwn takes a token of the node's own part only. Work that may outlast the
// run limit that a loan's giver waits for must not run on a loan.
func (s *State) TakeOwn(id Account) (Token, bool) {
	a, ok := s.accounts[id]
	if !ok || a.free() <= 0 {
		return Token{}, false
	}
	return s.Adopt(id), true
}

// Part returns how many tokens of the account this node's own part has.
func (s *State) Part(id Account) vocab.Slots {
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	return a.window.least
}
