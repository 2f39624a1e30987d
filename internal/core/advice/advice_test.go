package advice

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const ms = time.Millisecond

// serve lets the candidates ask for a number of turns that take a time each, and returns the teams in order. A
// candidate asks again and again.
func serve(ts *Turns, list []Candidate, turns int, taken time.Duration) []vocab.TeamID {
	var order []vocab.TeamID
	now := vocab.Instant(0)
	for range turns {
		i := ts.Order(list)[0]
		order = append(order, list[i].Team)
		now = now.Add(taken)
		ts.Charge(list[i].Team, taken)
		list[i].Since, list[i].Requests = now, list[i].Requests+1
	}
	return order
}

// TestManyStepsOfOneTeamDoNotDelayAnother guards against turns in the order of service: a hundred steps of a team
// asked before the one of another team.
func TestManyStepsOfOneTeamDoNotDelayAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	var list []Candidate
	for range 100 {
		list = append(list, Candidate{Team: "large"})
	}
	ts := &Turns{}
	serve(ts, list, 10, 400*ms)
	list = append(list, Candidate{Team: "small", Class: 4, Since: vocab.Instant(4 * time.Second)})
	g.Expect(serve(ts, list, 4, 400*ms)).To(gomega.ContainElement(vocab.TeamID("small")))
}

// TestIdleTeamEarnsNoCredit: a team that did not ask for long does not take all turns afterwards.
func TestIdleTeamEarnsNoCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	ts := &Turns{}
	list := []Candidate{{Team: "a"}}
	serve(ts, list, 1000, 100*ms)
	list = append(list, Candidate{Team: "b"})
	count := 0
	for _, team := range serve(ts, list, 20, 100*ms) {
		if team == "b" {
			count++
		}
	}
	g.Expect(count).To(gomega.BeNumerically("~", 10, 1))
	g.Expect(len(ts.finish)).To(gomega.BeNumerically("<=", 2))
}

// TestFirstRequestsGoBeforeRepeatedOnes guards against steps that ask again and again before those of their own
// team that never asked.
func TestFirstRequestsGoBeforeRepeatedOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []Candidate{{Team: "a", Requests: 6}, {Team: "a", Since: vocab.Instant(10 * time.Second)}}
	ts := &Turns{}
	g.Expect(ts.Order(list)[0]).To(gomega.Equal(1))
	list[1].Since = vocab.Instant(40 * time.Second)
	g.Expect(ts.Order(list)[0]).To(gomega.Equal(0), "all delays are bounded")
}

// TestEachStepGetsItsTurn: among steps of several teams and classes that ask for ever, each asks in a bounded
// time, whatever the others do.
func TestEachStepGetsItsTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams, taken := rapid.IntRange(1, 6).Draw(t, "teams"), time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*ms
		var list []Candidate
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			list = append(list, Candidate{
				Team: vocab.TeamID(fmt.Sprint(rapid.IntRange(1, teams).Draw(t, "team"))), Class: rapid.IntRange(0, 5).Draw(t, "class"),
				Requests: rapid.IntRange(0, 80).Draw(t, "requests"),
			})
		}
		ts, now := &Turns{}, vocab.Instant(0)
		last := make([]vocab.Instant, len(list))
		// A step waits for the longest delay, then for one turn of each other step of its team, and for those
		// of the other teams beside them.
		limit := maxDelay + 6*classDelay + time.Duration(len(list)*(teams+1))*taken
		for now < vocab.Instant(5*time.Minute) {
			i := ts.Order(list)[0]
			now = now.Add(taken)
			ts.Charge(list[i].Team, taken)
			list[i].Since, list[i].Requests, last[i] = now, list[i].Requests+1, now
			for k := range list {
				if waited := now.Sub(last[k]); waited > limit {
					t.Fatalf("step %d of %d (%+v) waits for %v, more than %v", k, len(list), list[k], waited, limit)
				}
			}
		}
	})
}

func TestWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect([]time.Duration{Wait(0), Wait(1), Wait(2), Wait(3), Wait(200)}).To(gomega.Equal([]time.Duration{0, 800 * ms, 1600 * ms, 2 * time.Second, 2 * time.Second}))
	g.Expect([]time.Duration{Pause(0), Pause(1), Pause(4), Pause(200)}).To(gomega.Equal([]time.Duration{0, 100 * ms, 800 * ms, 2 * time.Second}))
}

// TestCount: a step asks about as many workers as its tasks can use, not about all.
func TestCount(t *testing.T) {
	timing := Timing{Decide: 20 * ms, Each: 10 * ms, Valid: 3 * time.Second}
	workers := func(n int, allowed bool, tasks int) []Worker {
		list := make([]Worker, n)
		for i := range list {
			list[i] = Worker{allowed, tasks}
		}
		return list
	}
	for name, c := range map[string]struct {
		tasks  int
		ranked []Worker
		share  float64
		timing Timing
		want   int
	}{
		"one task, one allowed worker is enough":   {1, workers(40, true, 1), 0.5, timing, 1},
		"three tasks, two fit on a worker":         {3, workers(40, true, 2), 0.5, timing, 2},
		"half of the workers is likely allowed":    {3, workers(40, false, 1), 0.5, timing, 6},
		"few are likely allowed":                   {3, workers(60, false, 1), 0.02, timing, MaxWorkers},
		"more cost nothing beside the decision":    {1, workers(40, false, 1), 1, Timing{Decide: 100 * ms, Each: 10 * ms, Valid: 3 * time.Second}, 10},
		"no more than there are":                   {9, workers(4, false, 1), 0.5, timing, 4},
		"many workers make the tickets too old":    {40, workers(40, true, 1), 0.5, Timing{Decide: 100 * ms, Each: 10 * ms, Valid: 400 * ms}, 10},
		"at least one":                             {40, workers(40, true, 1), 0.5, Timing{Decide: 100 * ms, Each: 10 * ms, Valid: 100 * ms}, 1},
		"an advisor without a time for each":       {1, workers(40, false, 1), 0.5, Timing{Decide: 100 * ms, Valid: time.Second}, MaxWorkers},
		"known workers come first, the rest after": {3, append(workers(2, true, 1), workers(40, false, 1)...), 0.5, timing, 4},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(Count(c.tasks, c.ranked, c.share, c.timing)).To(gomega.Equal(c.want))
		})
	}
}

func TestShare(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Share
	g.Expect(s.Of(0, 0)).To(gomega.Equal(0.5))
	g.Expect(s.Of(0, 30)).To(gomega.BeNumerically("<", 0.05), "a step that was refused 30 workers asks about many")
	for range 100 {
		s.Observe(10, 10)
	}
	g.Expect(s.Of(0, 0)).To(gomega.BeNumerically(">", 0.95))
	for range 100 {
		s.Observe(10, 0)
	}
	g.Expect(s.Of(0, 0)).To(gomega.BeNumerically("<", 0.05), "old answers lose their weight")
}
