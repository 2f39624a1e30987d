package limit

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
