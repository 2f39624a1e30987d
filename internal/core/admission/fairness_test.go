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

// server runs items of a queue on a number of slots in virtual time.
type server struct {
	q     *Queue
	now   vocab.Instant
	slots int
	ends  ordered[end]
	last  vocab.RequestID
	run   map[vocab.TeamID]time.Duration
	used  map[vocab.TeamID]time.Duration
}

type end struct {
	at, started vocab.Instant
	team        vocab.TeamID
}

func newServer(slots int, run map[vocab.TeamID]time.Duration) *server {
	s := &server{q: New(Bounds{Queued: 1000, QueuedPerTeam: 500}), slots: slots, run: run, used: map[vocab.TeamID]time.Duration{}}
	s.ends = ordered[end]{less: func(a, b end) bool { return a.at < b.at }, place: func(end, int) {}}
	return s
}

func (s *server) push(team vocab.TeamID, urgent bool, patience time.Duration) Verdict {
	s.last++
	return s.q.Push(s.now, Item{Request: s.last, Team: team, Urgent: urgent, Expires: s.now.Add(patience)})
}

// serve fills free slots and returns what it started.
func (s *server) serve() []Item {
	var out []Item
	for s.ends.Len() < s.slots {
		it, ok := s.q.Next(s.now, anyTeam)
		if !ok {
			break
		}
		s.ends.add(end{at: s.now.Add(s.run[it.Team]), started: s.now, team: it.Team})
		out = append(out, it)
	}
	return out
}

// pass makes time pass in steps, calling each after each step.
func (s *server) pass(d time.Duration, each func(started []Item)) {
	const step = 10 * time.Millisecond
	for range d / step {
		s.now = s.now.Add(step)
		for _, e := range s.ends.items {
			s.used[e.team] += step
		}
		for s.ends.Len() > 0 && s.ends.items[0].at <= s.now {
			e := heap.Pop(&s.ends).(end)
			s.q.Ended(s.now, e.team, e.started)
		}
		if s.now%vocab.Instant(clockStep) == 0 {
			s.q.Expire(s.now)
			s.q.Advance(s.now)
		}
		each(s.serve())
	}
}

// TestSlotTimeIsDividedByWeight has one team with long requests, one with
// short ones, and a small one that asks for less than its part.
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
	s.pass(10*time.Second, feed)
	clear(s.used)
	s.pass(20*time.Second, feed)
	rest := s.used["long"] + s.used["short"]
	if part := s.used["long"].Seconds() / rest.Seconds(); math.Abs(part-1.0/3) > 0.02 {
		t.Errorf("the team with long requests got %.3f of the slot time, want 0.333", part)
	}
	if smallWait > 100*time.Millisecond || smallStarted < 290 {
		t.Errorf("the small team started %d and waited up to %v", smallStarted, smallWait)
	}
}

// TestIdlenessEarnsNothing lets one team be idle while another one is served.
func TestIdlenessEarnsNothing(t *testing.T) {
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
	s.pass(20*time.Second, feed("busy"))
	clear(s.used)
	s.pass(2*time.Second, feed("busy", "idle"))
	if part := s.used["busy"].Seconds() / 20; part < 0.45 {
		t.Errorf("the busy team got %.2f after the other one was idle, want about 0.5", part)
	}
}

// TestUrgentKeepsTheShare sends a flood of urgent requests of one team, and a
// few of another.
func TestUrgentKeepsTheShare(t *testing.T) {
	s := newServer(10, map[vocab.TeamID]time.Duration{"flood": 200 * time.Millisecond, "other": 200 * time.Millisecond, "few": 200 * time.Millisecond})
	wait := time.Duration(0)
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
				wait = max(wait, s.now.Sub(it.Expires.Add(-time.Hour)))
			}
		}
	}
	feed(nil)
	s.pass(30*time.Second, feed)
	if part := s.used["other"].Seconds() / (s.used["other"] + s.used["flood"]).Seconds(); part < 0.45 {
		t.Errorf("the team without urgent requests got %.2f, want about 0.5", part)
	}
	if wait > 500*time.Millisecond {
		t.Errorf("an urgent request waited %v", wait)
	}
}

// TestUrgentGoesBeforeADebt has a team use every slot for long, so that it owes
// service to the other team when its urgent request comes.
func TestUrgentGoesBeforeADebt(t *testing.T) {
	s := newServer(10, map[vocab.TeamID]time.Duration{"debt": 3 * time.Second, "other": 100 * time.Millisecond})
	for range s.slots {
		s.push("debt", false, time.Hour)
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
	s.pass(100*time.Millisecond, func([]Item) {})
	s.pass(3*time.Second, feed)
	s.push("debt", true, time.Hour)
	urgent = s.last
	s.pass(5*time.Second, feed)
	if wait < 0 || wait > 200*time.Millisecond {
		t.Errorf("the urgent request waited %v", wait)
	}
}

// TestSpikeSession plays the golden sessions of testdata.
func TestSpikeSession(t *testing.T) {
	var s *server
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
			s.run[id] = time.Duration(ms) * time.Millisecond
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
			s.pass(time.Duration(ms)*time.Millisecond, func(items []Item) {
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
