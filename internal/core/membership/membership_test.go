package membership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestSuspicionNeedsWitnesses judges random fleets: a process is suspect only
// if it is silent here and another process finds it silent too, and only
// processes that answered lately count as reachable.
func TestSuspicionNeedsWitnesses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := vocab.Instant(time.Hour)
		n := rapid.IntRange(1, 12).Draw(rt, "others")
		limit := membership.SilenceLimit(n + 1)
		var others []membership.Process
		for i := range n {
			age := time.Duration(rapid.IntRange(0, 20).Draw(rt, "age")) * time.Second
			others = append(others, membership.Process{
				ID: vocab.Incarnation(i + 1), Zone: "a", Heard: now.Add(-age), Known: true,
				Accusers: rapid.IntRange(0, 2).Draw(rt, "accusers"),
			})
		}
		view := membership.Judge(now, others)
		reachable, suspect := set(view.Reachable), set(view.Suspect)
		for _, p := range others {
			silent := now.Sub(p.Heard) > limit
			if reachable[p.ID] == silent {
				rt.Fatalf("process %d silent %v, reachable %v", p.ID, silent, reachable[p.ID])
			}
			agreed := p.Accusers > 0 || n == 1
			if suspect[p.ID] != (silent && agreed) {
				rt.Fatalf("process %d silent %v, accusers %d, suspect %v", p.ID, silent, p.Accusers, suspect[p.ID])
			}
		}
	})
}

func TestZoneLossIsToldApart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := vocab.Instant(time.Hour)
	process := func(id vocab.Incarnation, zone vocab.ZoneID, age time.Duration) membership.Process {
		return membership.Process{ID: id, Zone: zone, Heard: now.Add(-age), Known: true}
	}
	view := membership.Judge(now, []membership.Process{
		process(1, "a", time.Minute), process(2, "a", time.Minute),
		process(3, "b", time.Minute), process(4, "b", 0), process(5, "c", time.Minute),
	})
	g.Expect(view.LostZones).To(gomega.Equal([]vocab.ZoneID{"a"}))
}

// TestPartnersTakeTurns checks that in each cycle every process comes up once.
func TestPartnersTakeTurns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "others")
		seed := rapid.Uint64().Draw(rt, "seed")
		var all []vocab.Incarnation
		for i := range n {
			all = append(all, vocab.Incarnation(i+1))
		}
		rounds := max(1, (n+membership.Fanout-1)/membership.Fanout)
		seen := map[vocab.Incarnation]int{}
		for round := range rounds {
			for _, p := range membership.Partners(all, seed, uint64(round)) {
				seen[p]++
			}
		}
		for _, p := range all {
			if seen[p] != 1 {
				rt.Fatalf("process %d came up %d times in a cycle of %d", p, seen[p], rounds)
			}
		}
	})
}

func set(ids []vocab.Incarnation) map[vocab.Incarnation]bool {
	out := map[vocab.Incarnation]bool{}
	for _, id := range ids {
		out[id] = true
	}
	return out
}
