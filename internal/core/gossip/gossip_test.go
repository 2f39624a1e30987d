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

// TestGossipSpreads lets up to 60 processes exchange gossip, with messages
// lost and doubled. Counters never go back, and within a bounded number of
// rounds each process knows a report that all others made at the start, a
// leaving VM and a withdrawn key.
func TestGossipSpreads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(rt, "processes")
		lost := rapid.IntRange(0, 30).Draw(rt, "percent lost")
		seed := rapid.Uint64().Draw(rt, "seed")
		chance := rand.New(rand.NewPCG(seed, seed))
		states := make([]*gossip.State, n)
		for i := range states {
			states[i] = gossip.New(vocab.Incarnation(i + 1))
		}
		now := vocab.Instant(time.Hour)
		states[0].AddLeaving(now, gossip.Leaving{VM: "v", Incarnation: 1})
		states[n-1].AddWithdrawn(now, "key")
		// The silence limit is the time in which reports have to come through.
		rounds := 4 * int(membership.SilenceLimit(n)/membership.Round)
		for round := range rounds {
			now = now.Add(membership.Round)
			for i, s := range states {
				s.SetOwn(now, gossip.Report{Node: vocab.NodeID(fmt.Sprint("entry-", i))})
				for _, p := range membership.Partners(except(n, i), seed+uint64(i), uint64(round)) {
					exchange(rt, chance, now, s, states[p-1], lost)
				}
			}
		}
		for i, s := range states {
			if got := len(s.Processes()); got != n-1 {
				rt.Fatalf("process %d knows %d of %d others after %d rounds", i+1, got, n-1, rounds)
			}
			if s.AddLeaving(now, gossip.Leaving{VM: "v", Incarnation: 1}) || s.AddWithdrawn(now, "key") {
				rt.Fatalf("process %d has not heard the news after %d rounds", i+1, rounds)
			}
		}
	})
}

// TestHeartbeatsPassBusyReports lets 16 processes talk whose reports are full of
// demand: none falls silent for longer than the limit, and demand comes through.
func TestHeartbeatsPassBusyReports(t *testing.T) {
	const n, rounds = 16, 100
	demand := make([]gossip.Demand, 48)
	states := make([]*gossip.State, n)
	for i := range states {
		states[i] = gossip.New(vocab.Incarnation(i + 1))
	}
	now := vocab.Instant(time.Hour)
	for round := range rounds {
		now = now.Add(membership.Round)
		for i, s := range states {
			s.SetOwn(now, gossip.Report{Node: "entry-1", Address: "10.0.0.1:8443", Demand: demand})
			for _, p := range membership.Partners(except(n, i), uint64(i), uint64(round)) {
				states[p-1].Merge(now, s.Compose(now))
				s.Merge(now, states[p-1].Compose(now))
			}
		}
		for i, s := range states {
			for _, id := range s.Processes() {
				if _, at, _ := s.Report(id); now.Sub(at) > membership.SilenceLimit(n) {
					t.Fatalf("round %d: process %d has not heard of %d for %v", round, i+1, id, now.Sub(at))
				}
			}
		}
	}
}

// TestOldNewsEnds lets two processes talk until all lives are over: what was
// heard once is never news again, and neither goes on sending it.
func TestOldNewsEnds(t *testing.T) {
	a, b := gossip.New(1), gossip.New(2)
	now := vocab.Instant(time.Hour)
	a.AddLeaving(now, gossip.Leaving{VM: "v", Incarnation: 1})
	gone := gossip.Message{From: 3, Reports: []gossip.Report{{Process: 3, Counter: 1}}}
	a.Merge(now, gone)
	news := 0
	for range 600 {
		now = now.Add(time.Second)
		first := b.Merge(now, a.Compose(now))
		second := a.Merge(now, b.Compose(now))
		news += len(first.Leaving) + len(first.Reports) + len(second.Leaving) + len(second.Reports)
	}
	last := a.Compose(now)
	if news != 2 || len(last.Leaving)+len(last.Reports) != 0 {
		t.Fatalf("one leaving VM and one report were news %d times; the last message is %+v", news, last)
	}
}

func except(n, own int) []vocab.Incarnation {
	var out []vocab.Incarnation
	for i := range n {
		if i != own {
			out = append(out, vocab.Incarnation(i+1))
		}
	}
	return out
}

// exchange is one call with its answer, either of which may be lost or doubled.
func exchange(rt *rapid.T, chance *rand.Rand, now vocab.Instant, a, b *gossip.State, lost int) {
	deliver := func(to *gossip.State, m gossip.Message) bool {
		fate := chance.IntN(100)
		if fate < lost {
			return false
		}
		before := counters(to)
		to.Merge(now, m)
		if fate%7 == 0 {
			if news := to.Merge(now, m); len(news.Reports)+len(news.Leaving)+len(news.Withdrawn) > 0 {
				rt.Fatalf("a doubled message was news: %+v", news)
			}
		}
		for id, counter := range before {
			if r, _, _ := to.Report(id); r.Counter < counter {
				rt.Fatalf("the counter of %d went back", id)
			}
		}
		return true
	}
	if deliver(b, a.Compose(now)) {
		deliver(a, b.Compose(now))
	}
}

func counters(s *gossip.State) map[vocab.Incarnation]uint64 {
	out := map[vocab.Incarnation]uint64{}
	for _, id := range s.Processes() {
		r, _, _ := s.Report(id)
		out[id] = r.Counter
	}
	return out
}
