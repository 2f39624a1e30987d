package limit

import "github.com/sardinehead/sardinehead/internal/vocab"

// dropLapsed forgets loans that have lapsed with nothing running.
func (s *State) dropLapsed(now vocab.Instant, a *account) {
	kept := a.borrowed[:0]
	for _, l := range a.borrowed {
		if l.running > 0 || now.Before(l.lapse) {
			kept = append(kept, l)
		}
	}
	a.borrowed = kept
}
