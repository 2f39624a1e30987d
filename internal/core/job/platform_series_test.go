package job

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomPlatform plays what the platform may do beside faults: slow clocks over long idle times, records
// refused for their size, dropped history, queues that are away for a while, and workers that restart unseen.
func TestRandomPlatform(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulatePlatform(t, seed, plainOrders) })
}

// TestRandomPlatformWithHeldOrders is TestRandomPlatform with orders that connections hold until a worker is back.
func TestRandomPlatformWithHeldOrders(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulatePlatform(t, seed, holdOrders) })
}

func simulatePlatform(t *testing.T, seed uint64, c connections) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	sim := newSimulation(seed, 3, 5, faults{
		loseAppend: rng.Float64() * 0.05, loseOrder: rng.Float64() * 0.05, failTask: rng.Float64() * 0.1,
	})
	sim.pollsWait, sim.connections, sim.gangsWorkTogether = true, c, c >= holdOrders
	sim.clockRate = []float64{minClockRate, 0.99, 1}[rng.IntN(3)]
	sim.settings.MaxLease = []time.Duration{6 * time.Second, 10 * time.Second}[rng.IntN(2)]
	limit := []int{32 << 10, 48 << 10}[rng.IntN(2)]
	sim.settings.MaxRecordBytes, sim.stream.maxRecordBytes = limit, limit
	sim.restartNodes()
	if *printLines {
		sim.trace = func(line string) { t.Log(line) }
	}
	sim.run(3 * time.Second)
	for range 2 {
		lost := sim.faults
		sim.after(0, func() { sim.load(500*time.Millisecond, 8*time.Second) })
		for range 1 + rng.IntN(2) {
			sim.after(time.Duration(rng.Int64N(int64(5*time.Second))), sim.submitWide)
		}
		sim.cutAfterStart()
		sim.scheduleFaults(1 + rng.IntN(3))
		for range 2 + rng.IntN(4) {
			sim.after(time.Duration(rng.Int64N(int64(10*time.Second))), sim.injectPlatformFault)
		}
		sim.run(30 * time.Second)
		sim.clearFaults()
		sim.run(60 * time.Second)
		if unfinished := sim.unfinished(); len(unfinished) > 0 {
			t.Errorf("%d jobs did not finish: %.300s", len(unfinished), unfinished[0])
		}
		sim.checkFailuresOfJobs()
		sim.report(t)
		sim.faults = lost
		sim.run(time.Duration(rng.Int64N(int64(5 * time.Minute))))
	}
}

// cutAfterStart submits a job with a long task and cuts its worker off soon after the start.
func (sim *simulation) cutAfterStart() {
	id := sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 500, Memory: 16}, EstimateMS: 13_000}}})
	var await func()
	await = func() {
		for _, workerID := range sim.workerIDs {
			wk := sim.workers[workerID]
			if wk.runs[TaskName{Job: id}] == nil {
				continue
			}
			sim.after(time.Duration(sim.rng.Int64N(int64(600*time.Millisecond))), func() {
				wk.unreachable = true
				sim.after(9*time.Second, func() { wk.unreachable = false })
			})
			return
		}
		sim.after(20*time.Millisecond, await)
	}
	await()
}

// checkFailuresOfJobs checks that a job is shown as failed only if a task used up its attempts or was given up.
func (sim *simulation) checkFailuresOfJobs() {
	for _, id := range sim.failedJobs() {
		if !sim.usedUpAttempts(id) && !sim.givenUp[id] {
			sim.addViolation("job %s is shown as failed without cause", id)
		}
	}
}

// submitWide submits a recurring job whose occurrences may overlap, or a gang.
func (sim *simulation) submitWide() {
	if sim.rng.IntN(3) == 0 {
		sim.submit(Spec{Steps: []Step{{Count: 2 + sim.rng.IntN(4), Need: Resources{CPU: 500, Memory: 16}, EstimateMS: 1000, Gang: true}}})
		return
	}
	sim.submit(Spec{
		Steps: []Step{{
			Count: 50 + sim.rng.IntN(200), Need: Resources{CPU: 10, Memory: 1}, EstimateMS: 200 + int64(sim.rng.IntN(2000)),
			Checkpoints: sim.rng.IntN(2) == 0,
		}},
		Occurrences: 2 + sim.rng.IntN(5), FirstAt: sim.wall() + Millis(sim.rng.IntN(2000)), IntervalMS: int64(sim.rng.IntN(1000)),
	})
}

func (sim *simulation) injectPlatformFault() {
	switch sim.rng.IntN(4) {
	case 0:
		n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		if owner := sim.owningNode(); owner != nil && sim.rng.IntN(2) == 0 {
			n = owner
		}
		n.trimmed = true
	case 1:
		before := sim.config
		sim.configure(sim.withoutQueue())
		sim.after(time.Second+time.Duration(sim.rng.Int64N(int64(5*time.Second))), func() {
			before.Version = sim.config.Version + 1
			sim.configure(before)
		})
	case 2:
		if wk := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]; wk.up {
			sim.restartWorker(wk)
		}
	case 3:
		wk := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]
		if wk.unreachable {
			return
		}
		wk.unreachable = true
		sim.after(5*time.Second+time.Duration(sim.rng.Int64N(int64(4*time.Second))), func() { wk.unreachable = false })
	}
}
