package membership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestSuspicionNeedsSecondReporter classifies the processes of random fleets. A
// process must be suspected only if it is silent here and another process reports
// it as silent too, if there is one. Only processes with a heartbeat within the
// timeout may be reachable.
func TestSuspicionNeedsSecondReporter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := vocab.Instant(time.Hour)
		n := rapid.IntRange(1, 12).Draw(rt, "others")
		timeout := membership.HeartbeatTimeout(n + 1)
		var others []membership.Process
		for i := range n {
			age := time.Duration(rapid.IntRange(0, 20).Draw(rt, "age")) * time.Second
			others = append(others, membership.Process{
				ID: vocab.Incarnation(i + 1), Zone: "a", LastHeartbeat: now.Add(-age), HeartbeatReceived: true,
				Reporters: rapid.IntRange(0, 2).Draw(rt, "reporters"),
			})
		}
		view := membership.Classify(now, others)
		reachable, suspected := set(view.Reachable), set(view.Suspected)
		for _, p := range others {
			silent := now.Sub(p.LastHeartbeat) > timeout
			if reachable[p.ID] == silent {
				rt.Fatalf("process %d silent %v, reachable %v", p.ID, silent, reachable[p.ID])
			}
			confirmed := p.Reporters > 0 || n == 1
			if suspected[p.ID] != (silent && confirmed) {
				rt.Fatalf("process %d silent %v, reporters %d, suspected %v", p.ID, silent, p.Reporters, suspected[p.ID])
			}
		}
	})
}

// TestZoneLossNeedsSeveralSilentProcesses checks that a zone with a reachable
// process, or with only one process, is not reported as lost.
func TestZoneLossNeedsSeveralSilentProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	now := vocab.Instant(time.Hour)
	process := func(id vocab.Incarnation, zone vocab.ZoneID, age time.Duration) membership.Process {
		return membership.Process{ID: id, Zone: zone, LastHeartbeat: now.Add(-age), HeartbeatReceived: true}
	}
	view := membership.Classify(now, []membership.Process{
		process(1, "a", time.Minute), process(2, "a", time.Minute),
		process(3, "b", time.Minute), process(4, "b", 0), process(5, "c", time.Minute),
	})
	g.Expect(view.LostZones).To(gomega.Equal([]vocab.ZoneID{"a"}))
}

// TestPartnersCoverFleetOncePerCycle checks that one cycle of rounds selects
// every process exactly once.
func TestPartnersCoverFleetOncePerCycle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "others")
		seed := rapid.Uint64().Draw(rt, "seed")
		var all []vocab.Incarnation
		for i := range n {
			all = append(all, vocab.Incarnation(i+1))
		}
		rounds := max(1, (n+membership.Fanout-1)/membership.Fanout)
		selected := map[vocab.Incarnation]int{}
		for round := range rounds {
			for _, p := range membership.Partners(all, seed, uint64(round)) {
				selected[p]++
			}
		}
		for _, p := range all {
			if selected[p] != 1 {
				rt.Fatalf("process %d was selected %d times in a cycle of %d rounds", p, selected[p], rounds)
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
