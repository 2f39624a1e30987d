package shares

import (
	"testing"
	"time"
)

// urgentGoal is the highest allowed p99 of the wait of urgent requests.
const urgentGoal = 5800 * time.Millisecond

// TestSharesHold checks the goals in the three hardest scenarios: all callers
// of a team at one node, the loss of a node, and long requests competing with
// short ones. Each scenario must also be one in which fairness on each node
// alone misses the goal.
func TestSharesHold(t *testing.T) {
	for _, s := range scenarios() {
		if s.name != "one team at one node" && s.name != "node lost" && s.name != "long and short" {
			continue
		}
		got := s.run(Fleet, 7)
		if got.MaxDeviation > DeviationGoal {
			t.Errorf("%s: a window deviates by %.3f", s.name, got.MaxDeviation)
		}
		if got.UrgentP99 > urgentGoal || got.UrgentStarted < 0.99 {
			t.Errorf("%s: %.3f of the urgent requests started, p99 after %v", s.name, got.UrgentStarted, got.UrgentP99)
		}
		if perNode := s.run(PerNode, 7); perNode.MaxDeviation < DeviationGoal {
			t.Errorf("%s: the per-node policy meets the goal too, with a deviation of %.3f", s.name, perNode.MaxDeviation)
		}
	}
}

// TestSpikesAreServedLater checks that requests refused during a spike are
// served in the lull that follows.
func TestSpikesAreServedLater(t *testing.T) {
	s := scenarios()[len(scenarios())-1]
	got := s.run(Fleet, 7)
	if again := s.run(Fleet, 7); again != got {
		t.Errorf("equal seeds give %+v and %+v", got, again)
	}
	if got.Completed < 0.98*got.Bound || got.UrgentP99 > urgentGoal {
		t.Errorf("%.3f of the requests served, at most %.3f possible, urgent p99 %v", got.Completed, got.Bound, got.UrgentP99)
	}
}
