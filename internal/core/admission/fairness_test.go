package admission

import (
	"container/heap"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// testServer runs the items of a queue on a number of slots in simulated time.
type testServer struct {
	q           *Queue
	now         vocab.Instant
	slots       int
	finishes    indexedHeap[finish]
	lastRequest vocab.RequestID
	runTime     map[vocab.TeamID]time.Duration
	slotTime    map[vocab.TeamID]time.Duration
}

type finish struct {
	at, started vocab.Instant
	team        vocab.TeamID
}

func newServer(slots int, run map[vocab.TeamID]time.Duration) *testServer {
	s := &testServer{q: New(Bounds{Queued: 1000, QueuedPerTeam: 500}), slots: slots, runTime: run, slotTime: map[vocab.TeamID]time.Duration{}}
	s.finishes = indexedHeap[finish]{less: func(a, b finish) bool { return a.at < b.at }, setIndex: func(finish, int) {}}
	return s
}

func (s *testServer) push(team vocab.TeamID, urgent bool, timeout time.Duration) PushResult {
	s.lastRequest++
	return s.q.Push(s.now, Item{Request: s.lastRequest, Team: team, Urgent: urgent, Expires: s.now.Add(timeout)})
}

// serve starts items on the free slots and returns them.
func (s *testServer) serve() []Item {
	var out []Item
	for s.finishes.Len() < s.slots {
		it, ok := s.q.Next(s.now, anyTeam)
		if !ok {
			break
		}
		s.finishes.add(finish{at: s.now.Add(s.runTime[it.Team]), started: s.now, team: it.Team})
		out = append(out, it)
	}
	return out
}

// advance advances the time by d in steps and calls afterStep with the items started in
// each step.
func (s *testServer) advance(d time.Duration, afterStep func(started []Item)) {
	const step = 10 * time.Millisecond
	for range d / step {
		s.now = s.now.Add(step)
		for _, e := range s.finishes.items {
			s.slotTime[e.team] += step
		}
		for s.finishes.Len() > 0 && s.finishes.items[0].at <= s.now {
			e := heap.Pop(&s.finishes).(finish)
			s.q.Finished(s.now, e.team, e.started)
		}
		if s.now%vocab.Instant(clockInterval) == 0 {
			s.q.Expire(s.now)
			s.q.Advance(s.now)
		}
		afterStep(s.serve())
	}
}

// TestSlotTimeIsDividedByWeight checks that a team with long requests and one with
// short requests get slot time by weight, and that a team that demands less than its
// share hardly waits.
func TestSlotTimeIsDividedByWeight(t *testing.T) {
	s := newServer(20, map[vocab.TeamID]time.Duration{"long": 4 * time.Second, "short": 50 * time.Millisecond, "small": 100 * time.Millisecond})
	s.q.SetWeight("long", 1)
	s.q.SetWeight("short", 2)
	s.q.SetWeight("small", 1)
	smallWait, smallStarted := time.Duration(0), 0
	feed := func(started []Item) {
		for s.q.Waiting("long") < 10 {
			s.push("long", false, time.Hour)
		}
		for s.q.Waiting("short") < 100 {
			s.push("short", false, time.Hour)
		}
		if s.now%vocab.Instant(100*time.Millisecond) == 0 {
			s.push("small", false, time.Hour)
		}
		for _, it := range started {
			if it.Team == "small" {
				smallStarted++
				smallWait = max(smallWait, s.now.Sub(it.Expires.Add(-time.Hour)))
			}
		}
	}
	feed(nil)
	s.advance(10*time.Second, feed)
	clear(s.slotTime)
	s.advance(20*time.Second, feed)
	contended := s.slotTime["long"] + s.slotTime["short"]
	if fraction := s.slotTime["long"].Seconds() / contended.Seconds(); math.Abs(fraction-1.0/3) > 0.02 {
		t.Errorf("the team with long requests got %.3f of the slot time, want 0.333", fraction)
	}
	if smallWait > 100*time.Millisecond || smallStarted < 290 {
		t.Errorf("the small team started %d and waited up to %v", smallStarted, smallWait)
	}
}

// TestIdleTeamGetsOnlyItsShare checks that a team that was idle gets no more than its
// share once it sends requests.
func TestIdleTeamGetsOnlyItsShare(t *testing.T) {
	s := newServer(10, map[vocab.TeamID]time.Duration{"busy": 100 * time.Millisecond, "idle": 100 * time.Millisecond})
	feed := func(teams ...vocab.TeamID) func([]Item) {
		return func([]Item) {
			for _, team := range teams {
				for s.q.Waiting(team) < 50 {
					s.push(team, false, time.Hour)
				}
			}
		}
	}
	s.advance(20*time.Second, feed("busy"))
	clear(s.slotTime)
	s.advance(2*time.Second, feed("busy", "idle"))
	if fraction := s.slotTime["busy"].Seconds() / 20; fraction < 0.45 {
		t.Errorf("the busy team got %.2f after the other one was idle, want about 0.5", fraction)
	}
}

// TestUrgentRequestsDoNotRaiseTheShare checks that a team that sends only urgent
// requests gets no more than its share, and that the few urgent requests of another
// team hardly wait behind them.
func TestUrgentRequestsDoNotRaiseTheShare(t *testing.T) {
	s := newServer(10, map[vocab.TeamID]time.Duration{"flood": 200 * time.Millisecond, "other": 200 * time.Millisecond, "few": 200 * time.Millisecond})
	maxWait := time.Duration(0)
	feed := func(started []Item) {
		for s.q.Waiting("flood") < 100 {
			s.push("flood", true, time.Hour)
		}
		for s.q.Waiting("other") < 100 {
			s.push("other", false, time.Hour)
		}
		if s.now%vocab.Instant(time.Second) == 0 {
			s.push("few", true, time.Hour)
		}
		for _, it := range started {
			if it.Team == "few" {
				maxWait = max(maxWait, s.now.Sub(it.Expires.Add(-time.Hour)))
			}
		}
	}
	feed(nil)
	s.advance(30*time.Second, feed)
	if fraction := s.slotTime["other"].Seconds() / (s.slotTime["other"] + s.slotTime["flood"]).Seconds(); fraction < 0.45 {
		t.Errorf("the team without urgent requests got %.2f, want about 0.5", fraction)
	}
	if maxWait > 500*time.Millisecond {
		t.Errorf("an urgent request waited %v", maxWait)
	}
}

// TestUrgentRequestOfOverservedTeam checks that an urgent request starts at once even
// though its team used all slots for a while and has received more than its share.
func TestUrgentRequestOfOverservedTeam(t *testing.T) {
	s := newServer(10, map[vocab.TeamID]time.Duration{"excess": 3 * time.Second, "other": 100 * time.Millisecond})
	for range s.slots {
		s.push("excess", false, time.Hour)
	}
	wait, urgent := time.Duration(-1), vocab.RequestID(0)
	feed := func(started []Item) {
		for s.q.Waiting("other") < 50 {
			s.push("other", false, time.Hour)
		}
		for _, it := range started {
			if it.Request == urgent {
				wait = s.now.Sub(it.Expires.Add(-time.Hour))
			}
		}
	}
	s.advance(100*time.Millisecond, func([]Item) {})
	s.advance(3*time.Second, feed)
	s.push("excess", true, time.Hour)
	urgent = s.lastRequest
	s.advance(5*time.Second, feed)
	if wait < 0 || wait > 200*time.Millisecond {
		t.Errorf("the urgent request waited %v", wait)
	}
}

// TestSpikeSession runs the golden script testdata/spike.
func TestSpikeSession(t *testing.T) {
	var s *testServer
	datadriven.RunTest(t, "testdata/spike", func(t *testing.T, d *datadriven.TestData) string {
		var team string
		n, ms := 0, 0
		d.MaybeScanArgs(t, "team", &team)
		d.MaybeScanArgs(t, "n", &n)
		d.MaybeScanArgs(t, "ms", &ms)
		id := vocab.TeamID(team)
		switch d.Cmd {
		case "new":
			s = newServer(n, map[vocab.TeamID]time.Duration{})
			s.q.SetBounds(Bounds{Queued: 40, QueuedPerTeam: 30})
		case "team":
			s.runTime[id] = time.Duration(ms) * time.Millisecond
			s.q.SetWeight(id, float64(n))
		case "push":
			counts := map[Refusal]int{}
			evicted := map[vocab.TeamID]int{}
			for range n {
				v := s.push(id, d.HasArg("urgent"), time.Duration(ms)*time.Millisecond)
				counts[v.Refusal]++
				if v.HasEvicted {
					evicted[v.Evicted.Team]++
				}
			}
			return fmt.Sprintf("admitted=%d full=%d team-full=%d too-late=%d evicted=%v\n",
				counts[Admitted], counts[QueueFull], counts[TeamFull], counts[TooLate], evicted)
		case "pass":
			started := map[vocab.TeamID]int{}
			waited := s.q.Len()
			s.advance(time.Duration(ms)*time.Millisecond, func(items []Item) {
				for _, it := range items {
					started[it.Team]++
				}
			})
			total := 0
			for _, k := range started {
				total += k
			}
			return fmt.Sprintf("started=%v waiting=%d expired=%d shedding=%v\n", started, s.q.Len(), waited-total-s.q.Len(), s.q.Shedding(s.now))
		case "retry-after":
			out := ""
			for seed := range uint64(n) {
				out += fmt.Sprintf("%.1fs ", s.q.RetryAfter(s.now, id, seed).Seconds())
			}
			return out + "\n"
		}
		return ""
	})
}
