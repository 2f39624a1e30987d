package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// Settled returns the two offsets to report to the other members: the offset up
// to which this node uses no more than its base quotas, and the offset up to
// which all others have confirmed the same to it.
func (s *State) Settled() (settled, confirmed vocab.Offset) {
	return s.settled, s.confirmed
}
