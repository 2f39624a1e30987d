package task

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/standin/workers"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestInvariantsUnderRandomFaults runs several controllers, one log and some
// workers under random faults. It checks after each step that no accepted task is
// lost, no refused task has run, no attempt and no task that is not idempotent
// runs twice, and no team exceeds its limit. After the faults are cleared, all
// tasks must finish.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 6)
		sim.faultPercent = rapid.IntRange(0, 30).Draw(t, "faulty")
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			sim.performAction(rapid.IntRange(0, 13).Draw(t, "action"), rapid.IntRange(0, 2).Draw(t, "node"))
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				sim.tick()
				if err := sim.check(); err != nil {
					t.Fatalf("at %v: %v", time.Duration(sim.now), err)
				}
			}
		}
		if err := sim.finish(time.Hour); err != nil {
			t.Fatalf("after the faults: %v", err)
		}
	})
}

// performAction submits or cancels tasks, or injects one fault.
func (sim *simulation) performAction(action, node int) {
	n := sim.nodes[node]
	if sim.chance(30) {
		// The log drops the records that the last snapshot covers.
		sim.trimmed = sim.reference.lastSnapshot
	}
	wk := sim.workers[sim.rnd.IntN(len(sim.workers))]
	switch action {
	case 0, 1, 2, 3:
		for range 1 + sim.rnd.IntN(8) {
			sim.submit(n, "invoices", sim.chance(50), sim.chance(20), "")
		}
	case 4:
		sim.submit(n, "poison", true, false, "")
		sim.submit(sim.nodes[sim.rnd.IntN(3)], "invoices", false, false, fmt.Sprint("key", sim.rnd.IntN(3)))
	case 5:
		sim.cancelRandomTasks(n)
	case 6:
		sim.nodes[node] = sim.newNode(node, n.c.settings.Incarnation+1)
	case 7:
		n.pausedUntil = sim.now.Add(time.Duration(sim.rnd.IntN(12)) * time.Second)
	case 8:
		sim.logDown = !sim.logDown
	case 9:
		n.logUnreachable = !n.logUnreachable
	case 10:
		wk.Restart()
	case 11:
		// All nodes restart at the same time and lose their state.
		for i, old := range sim.nodes {
			sim.nodes[i] = sim.newNode(i, old.c.settings.Incarnation+1)
		}
	case 12:
		sim.logDown = true
		for range 900 {
			sim.tick()
		}
		sim.logDown = false
	default:
		wk.Faults = workers.Faults{FailAll: sim.chance(30), LoseAnswers: sim.chance(30), LoseOrders: sim.chance(20), InvalidReports: sim.chance(20)}
	}
}

func (sim *simulation) cancelRandomTasks(n *simNode) {
	var ids []vocab.TaskID
	for i := range len(sim.submitted) {
		if sim.chance(50) {
			ids = append(ids, vocab.TaskID(fmt.Sprintf("t%04d", i)))
		}
	}
	sim.step(n, CancelRequested{Request: vocab.RequestID(1_000_000 + sim.ticks), Tasks: ids, Deadline: sim.now.Add(3 * time.Second)})
}

// TestTakeoverWithinFiveSeconds checks that, 5 s after the owner of the shard stops,
// another node owns the shard and knows the state of all its attempts.
func TestTakeoverWithinFiveSeconds(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(seed, 4, 6)
		for range 20 + sim.rnd.IntN(40) {
			sim.submit(sim.nodes[0], "invoices", true, false, "")
			sim.tick()
		}
		stopped := sim.owner()
		for _, n := range sim.nodes {
			if n.c == stopped {
				n.pausedUntil = sim.now.Add(time.Hour)
			}
		}
		for end := sim.now.Add(5 * time.Second); sim.now < end; {
			sim.tick()
		}
		if sim.owner() == stopped || sim.owner().ownership == nil || sim.owner().Status().UnknownOutcome > 0 {
			t.Fatalf("seed %d: after 5 s no other node owns the shard and knows the state of all attempts", seed)
		}
	}
}
