package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestGossipSpreads exchanges gossip between up to 60 processes and loses and
// duplicates messages. The counters that a process knows must never decrease, and
// after a bounded number of rounds each process must know a report of every
// other one, a leaving VM and a withdrawn key.
func TestGossipSpreads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(rt, "processes")
		lossPercent := rapid.IntRange(0, 30).Draw(rt, "percent lost")
		seed := rapid.Uint64().Draw(rt, "seed")
		random := rand.New(rand.NewPCG(seed, seed))
		states := make([]*gossip.State, n)
		for i := range states {
			states[i] = gossip.New(vocab.Incarnation(i + 1))
		}
		now := vocab.Instant(time.Hour)
		states[0].AddLeaving(now, gossip.Leaving{VM: "v", Incarnation: 1})
		states[n-1].AddWithdrawn(now, "key")
		// The heartbeat timeout assumes that a report arrives within that time; four
		// times as many rounds allow for the lost messages.
		rounds := 4 * int(membership.HeartbeatTimeout(n)/membership.RoundInterval)
		for round := range rounds {
			now = now.Add(membership.RoundInterval)
			for i, s := range states {
				s.SetOwnReport(now, gossip.Report{Node: vocab.NodeID(fmt.Sprint("entry-", i))})
				for _, p := range membership.Partners(othersOf(n, i), seed+uint64(i), uint64(round)) {
					exchange(rt, random, now, s, states[p-1], lossPercent)
				}
			}
		}
		for i, s := range states {
			if got := len(s.Processes()); got != n-1 {
				rt.Fatalf("process %d knows %d of %d others after %d rounds", i+1, got, n-1, rounds)
			}
			if s.AddLeaving(now, gossip.Leaving{VM: "v", Incarnation: 1}) || s.AddWithdrawn(now, "key") {
				rt.Fatalf("process %d does not know the leaving VM or the withdrawn key after %d rounds", i+1, rounds)
			}
		}
	})
}

// TestHeartbeatsSpreadWithFullReports exchanges gossip between 16 processes whose
// reports hold as much demand as a report may. No process may find another one
// silent for longer than the heartbeat timeout, although not all reports fit into
// a message.
func TestHeartbeatsSpreadWithFullReports(t *testing.T) {
	const n, rounds = 16, 100
	demand := make([]gossip.Demand, 48)
	states := make([]*gossip.State, n)
	for i := range states {
		states[i] = gossip.New(vocab.Incarnation(i + 1))
	}
	now := vocab.Instant(time.Hour)
	for round := range rounds {
		now = now.Add(membership.RoundInterval)
		for i, s := range states {
			s.SetOwnReport(now, gossip.Report{Node: "entry-1", Address: "10.0.0.1:8443", Demand: demand})
			for _, p := range membership.Partners(othersOf(n, i), uint64(i), uint64(round)) {
				states[p-1].Merge(now, s.Compose(now))
				s.Merge(now, states[p-1].Compose(now))
			}
		}
		for i, s := range states {
			for _, id := range s.Processes() {
				if _, at, _ := s.Report(id); now.Sub(at) > membership.HeartbeatTimeout(n) {
					t.Fatalf("round %d: process %d received no heartbeat of %d for %v", round, i+1, id, now.Sub(at))
				}
			}
		}
	}
}

// TestExpiredFactsStopCirculating exchanges gossip between two processes for 600 s,
// longer than a leaving VM and a report are kept. A fact must be new to a process
// only once, and in the end neither process may still send it.
func TestExpiredFactsStopCirculating(t *testing.T) {
	a, b := gossip.New(1), gossip.New(2)
	now := vocab.Instant(time.Hour)
	a.AddLeaving(now, gossip.Leaving{VM: "v", Incarnation: 1})
	fromStopped := gossip.Message{From: 3, Reports: []gossip.Report{{Process: 3, Counter: 1}}}
	a.Merge(now, fromStopped)
	newFacts := 0
	for range 600 {
		now = now.Add(time.Second)
		first := b.Merge(now, a.Compose(now))
		second := a.Merge(now, b.Compose(now))
		newFacts += len(first.Leaving) + len(first.Reports) + len(second.Leaving) + len(second.Reports)
	}
	last := a.Compose(now)
	if newFacts != 2 || len(last.Leaving)+len(last.Reports) != 0 {
		t.Fatalf("one leaving VM and one report were new %d times, want 2; the last message is %+v", newFacts, last)
	}
}

// othersOf returns the incarnations 1 to n without that of the process at index
// self.
func othersOf(n, self int) []vocab.Incarnation {
	var out []vocab.Incarnation
	for i := range n {
		if i != self {
			out = append(out, vocab.Incarnation(i+1))
		}
	}
	return out
}

// exchange performs one call and its reply, either of which may be lost or
// duplicated.
func exchange(rt *rapid.T, random *rand.Rand, now vocab.Instant, a, b *gossip.State, lossPercent int) {
	deliver := func(to *gossip.State, m gossip.Message) bool {
		draw := random.IntN(100)
		if draw < lossPercent {
			return false
		}
		before := counters(to)
		to.Merge(now, m)
		if draw%7 == 0 {
			if updates := to.Merge(now, m); len(updates.Reports)+len(updates.Leaving)+len(updates.Withdrawn) > 0 {
				rt.Fatalf("a duplicate message brought updates: %+v", updates)
			}
		}
		for id, counter := range before {
			if r, _, _ := to.Report(id); r.Counter < counter {
				rt.Fatalf("the counter of process %d decreased", id)
			}
		}
		return true
	}
	if deliver(b, a.Compose(now)) {
		deliver(a, b.Compose(now))
	}
}

// counters returns the newest known counter of each other process.
func counters(s *gossip.State) map[vocab.Incarnation]uint64 {
	out := map[vocab.Incarnation]uint64{}
	for _, id := range s.Processes() {
		r, _, _ := s.Report(id)
		out[id] = r.Counter
	}
	return out
}
