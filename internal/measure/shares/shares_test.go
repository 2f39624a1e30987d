package shares

import (
	"testing"
	"time"
)

// urgentGoal is the stated bound on the wait of urgent requests.
const urgentGoal = 5800 * time.Millisecond

// TestSharesHold checks the stated goals where they are hardest: with all
// callers of a team at one node, after a node's loss, and with long requests
// against short ones.
func TestSharesHold(t *testing.T) {
	for _, s := range scenarios() {
		if s.name != "one team at one node" && s.name != "node lost" && s.name != "long and short" {
			continue
		}
		got := s.play(Fleet, 7)
		if got.MaxDeviation > Goal {
			t.Errorf("%s: off by %.3f", s.name, got.MaxDeviation)
		}
		if got.UrgentP99 > urgentGoal || got.UrgentStarted < 0.99 {
			t.Errorf("%s: %.3f of the urgent requests started, p99 after %v", s.name, got.UrgentStarted, got.UrgentP99)
		}
		if alone := s.play(PerNode, 7); alone.MaxDeviation < Goal {
			t.Errorf("%s: the load does not tell policies apart: %.3f", s.name, alone.MaxDeviation)
		}
	}
}

// TestSpikesAreServedLater checks that callers who were refused in a spike are
// served in the lull after it.
func TestSpikesAreServedLater(t *testing.T) {
	s := scenarios()[len(scenarios())-1]
	got := s.play(Fleet, 7)
	if again := s.play(Fleet, 7); again != got {
		t.Errorf("equal seeds give %+v and %+v", got, again)
	}
	if got.Done < 0.98*got.Bound || got.UrgentP99 > urgentGoal {
		t.Errorf("%.3f served of at most %.3f, urgent p99 %v", got.Done, got.Bound, got.UrgentP99)
	}
}
