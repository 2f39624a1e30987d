package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

const gib = 1 << 30

// testAccount allows each team up to limit slots.
type testAccount struct {
	limit int
	taken map[vocab.TeamID]int
}

func (a *testAccount) TryAcquire(team vocab.TeamID) bool {
	if a.taken[team] >= a.limit {
		return false
	}
	a.taken[team]++
	return true
}
func (a *testAccount) AcquireOverLimit(team vocab.TeamID) { a.taken[team]++ }
func (a *testAccount) Release(team vocab.TeamID)          { a.taken[team]-- }

func testFleet(count int) *Fleet {
	var list []worker.Info
	for i := range count {
		list = append(list, worker.Info{
			Worker: vocab.VMID(fmt.Sprintf("w%04d", i)), Incarnation: 1, Zone: vocab.ZoneID(fmt.Sprint("z", i%8)),
			Rack: vocab.RackID(fmt.Sprint("r", i/4)), Capacity: Size{MilliCPU: 32000, MemoryBytes: 64 * gib, Accelerators: int64(i % 2)},
		})
	}
	f := NewFleet()
	f.SetWorkers(list)
	return f
}

func testInput(f *Fleet, limit int) Input {
	return Input{
		Waiting: NewWaiting(), Fleet: f, Estimator: NewEstimator(), MaxDecisions: 1 << 20,
		Account: &testAccount{limit: limit, taken: map[vocab.TeamID]int{}},
		Weight:  func(team vocab.TeamID) int { return int(team[len(team)-1]-'0') + 1 },
	}
}

func testItem(i int, rnd *rand.Rand) Item {
	return Item{
		Task: vocab.TaskID(fmt.Sprintf("t%06d", i)), Accepted: vocab.Offset(i + 1),
		Class: Class{
			Queue: vocab.QueueID(fmt.Sprint("q", rnd.IntN(20))), Team: vocab.TeamID(fmt.Sprint("team", rnd.IntN(10))),
			Urgent: rnd.IntN(20) == 0, Idempotent: rnd.IntN(2) == 0, Checkpoints: rnd.IntN(2) == 0, DeclaredRun: time.Minute,
			Declared: Size{MilliCPU: int64(1+rnd.IntN(8)) * 500, MemoryBytes: int64(1+rnd.IntN(8)) * gib, Accelerators: int64(rnd.IntN(10) / 9)},
		},
	}
}

// TestPlanKeepsCapacityAndLimits checks after each pass that no worker has more
// reserved than its capacity (except what victims of preemption are about to free),
// that no team has more slots than its limit, and that only tasks that fit no worker
// are parked.
func TestPlanKeepsCapacityAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		in := testInput(testFleet(1+rnd.IntN(12)), 1+rnd.IntN(60))
		all := map[vocab.TaskID]Item{}
		for pass := range 5 {
			for range rnd.IntN(80) {
				it := testItem(len(all), rnd)
				if rnd.IntN(40) == 0 {
					it.Declared.MemoryBytes = 100 * gib
				}
				all[it.Task] = it
				in.Waiting.Add(it)
			}
			in.Now = vocab.Instant(pass) * vocab.Instant(time.Second)
			checkPass(t, in, all, Plan(in))
			for _, n := range in.Fleet.nodes {
				for len(n.runs) > 0 && rnd.IntN(3) > 0 {
					in.Account.Release(n.runs[0].Team)
					in.Fleet.Release(n.info.Worker, n.runs[0].Task)
				}
			}
		}
	})
}

func checkPass(t *rapid.T, in Input, all map[vocab.TaskID]Item, out Output) {
	for _, p := range out.Parkings {
		if in.Fleet.FitsEmptyWorker(all[p.Task].Declared) {
			t.Fatalf("parked %s, which fits: %s", p.Task, p.Reason)
		}
	}
	for _, n := range in.Fleet.nodes {
		reserved := n.reserved
		for _, r := range n.runs {
			if all[r.Task].Urgent && !in.Waiting.Has(r.Task) {
				reserved = sub(reserved, r.reserved())
			}
		}
		if !fits(reserved, n.info.Capacity) {
			t.Fatalf("%s has %s reserved of %s", n.info.Worker, Describe(reserved), Describe(n.info.Capacity))
		}
	}
	for team, taken := range in.Account.(*testAccount).taken {
		if taken > in.Account.(*testAccount).limit {
			t.Fatalf("%s has %d slots", team, taken)
		}
	}
}

// TestSharesFollowWeights checks that in an overloaded fleet the teams' shares are
// in proportion to their weights, to within 1% of the fleet.
func TestSharesFollowWeights(t *testing.T) {
	in := testInput(testFleet(20), 1<<20)
	for i := range 6000 {
		it := testItem(i, rand.New(rand.NewPCG(1, 1)))
		it.Team, it.Urgent = vocab.TeamID(fmt.Sprint("team", i%3)), false
		it.Declared = Size{MilliCPU: 1000, MemoryBytes: gib}
		in.Waiting.Add(it)
	}
	Plan(in)
	for team, weight := range map[vocab.TeamID]float64{"team0": 1, "team1": 2, "team2": 3} {
		got := ratio(in.Fleet.ReservedByTeam(team).MilliCPU, in.Fleet.Total().MilliCPU)
		if want := weight / 6; got < want-0.01 || got > want+0.01 {
			t.Errorf("%s has %.3f of the fleet, want %.3f", team, got, want)
		}
	}
}

// TestUrgentTaskPreemptsInFullFleet checks that an urgent task throttles its victim
// if only CPU is short, and checkpoints it if memory is short as well.
func TestUrgentTaskPreemptsInFullFleet(t *testing.T) {
	for method, memory := range map[PreemptionMethod]int64{Throttle: gib, Checkpoint: 64 * gib} {
		in := testInput(testFleet(1), 100)
		victim := Item{Task: "a", Class: Class{Team: "team0", Checkpoints: true, Declared: Size{MilliCPU: 32000, MemoryBytes: memory}}}
		in.Waiting.Add(victim)
		Plan(in)
		in.Waiting.Add(Item{Task: "b", Class: Class{Team: "team1", Urgent: true, Declared: Size{MilliCPU: 8000, MemoryBytes: 8 * gib}}})
		out := Plan(in)
		if len(out.Preemptions) != 1 || out.Preemptions[0].Victims[0].Method != method {
			t.Errorf("want one %s, got %+v", method, out)
		}
	}
}

// TestLargeTaskIsNotStarved checks that a task that needs a whole worker gets one
// while small tasks keep arriving.
func TestLargeTaskIsNotStarved(t *testing.T) {
	in := testInput(testFleet(2), 1<<20)
	var reserved *Preemption
	for i := range 600 {
		in.Now = in.Now.Add(time.Second)
		small := Item{Task: vocab.TaskID(fmt.Sprint("small", i)), Accepted: vocab.Offset(i), Since: in.Now}
		small.Class = Class{Team: "team0", Declared: Size{MilliCPU: 8000, MemoryBytes: gib}}
		in.Waiting.Add(small)
		if i == 10 {
			in.Waiting.Add(Item{Task: "large", Since: in.Now, Class: Class{Team: "team1", Declared: Size{MilliCPU: 32000, MemoryBytes: gib}}})
		}
		for _, p := range Plan(in).Preemptions {
			reserved = &p
		}
		if reserved != nil && in.Fleet.WithinCapacity(reserved.Worker) {
			return
		}
		// Each small task runs for seven seconds.
		for _, n := range in.Fleet.nodes {
			in.Fleet.Release(n.info.Worker, vocab.TaskID(fmt.Sprint("small", i-7)))
		}
	}
	t.Error("no worker became free for the large task within 600 s")
}

// TestFailingWorkerIsQuarantinedAndReleased checks that only a worker that fails
// more often than the others is quarantined, and that successful probes release it.
// A queue that fails on every worker must not cause a quarantine.
func TestFailingWorkerIsQuarantinedAndReleased(t *testing.T) {
	f := testFleet(10)
	now := vocab.Instant(0)
	for round := range 20 {
		for i, n := range f.nodes {
			now = now.Add(time.Second)
			// One queue fails everywhere; the other fails each time on the first worker
			// and once on each of the others.
			f.RecordOutcome(now, n.info.Worker, "poison", OutcomeFailed)
			outcome := OutcomeGood
			if i == 0 || round == i {
				outcome = OutcomeFailed
			}
			f.RecordOutcome(now, n.info.Worker, "good", outcome)
		}
	}
	for i, n := range f.nodes {
		if _, quarantined := f.Quarantined(n.info.Worker); quarantined != (i == 0) {
			t.Errorf("%s quarantined: %v", n.info.Worker, quarantined)
		}
	}
	now = now.Add(maxProbeDelay)
	for range probesToRelease {
		if i, ok := f.dueProbe(now); !ok || i != 0 {
			t.Fatal("no probe is due for the quarantined worker")
		}
		f.RecordOutcome(now, f.nodes[0].info.Worker, "good", OutcomeGood)
	}
	if _, quarantined := f.Quarantined(f.nodes[0].info.Worker); quarantined {
		t.Error("still quarantined after its probes succeeded")
	}
}

// TestEstimatorFollowsUse checks that estimates come within one bucket of the actual
// usage although the declared sizes are far too large or too small, both for tasks
// that use a fixed amount and for tasks that use a fixed multiple of what they declare.
func TestEstimatorFollowsUse(t *testing.T) {
	l := NewEstimator()
	for i := range 200 {
		declared := Size{MilliCPU: int64(1000 + i*100), MemoryBytes: int64(1+i) * gib}
		l.Observe("fixed", declared, Size{MilliCPU: 500, MemoryBytes: 4 * gib}, time.Hour, time.Minute)
		l.Observe("relative", declared, Size{MilliCPU: declared.MilliCPU / 10, MemoryBytes: declared.MemoryBytes * 2}, time.Minute, time.Hour)
	}
	declared := Size{MilliCPU: 40000, MemoryBytes: 10 * gib}
	within := func(name string, got, want float64) {
		if got < want*0.8 || got > want*1.25 {
			t.Errorf("%s: got %g, want about %g", name, got, want)
		}
	}
	fixed, relative := l.Estimate("fixed", declared, time.Hour, 0), l.Estimate("relative", declared, time.Minute, 0)
	within("fixed CPU", float64(fixed.Size.MilliCPU), 500)
	within("fixed memory", float64(fixed.Size.MemoryBytes), 4*gib)
	within("fixed run time", fixed.MedianRunTime.Seconds(), 60)
	within("relative CPU", float64(relative.Size.MilliCPU), 4000)
	within("relative memory", float64(relative.Size.MemoryBytes), 20*gib)
}

// BenchmarkPlan10000On1600 places 10,000 waiting tasks on 1,600 workers.
func BenchmarkPlan10000On1600(b *testing.B) {
	for _, load := range []string{"room", "full"} {
		b.Run(load, func(b *testing.B) {
			placed := 0
			for range b.N {
				b.StopTimer()
				in := testInput(testFleet(1600), 1<<20)
				rnd := rand.New(rand.NewPCG(1, 1))
				for i := range 10000 {
					it := testItem(i, rnd)
					if load == "full" {
						it.Declared.MilliCPU *= 8
					}
					in.Waiting.Add(it)
				}
				b.StartTimer()
				placed += len(Plan(in).Bindings)
			}
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}
