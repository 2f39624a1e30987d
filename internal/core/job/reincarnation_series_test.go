package job

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomReincarnations lets workers crash and come back under their IDs, cuts them off soon after, and changes
// the owner meanwhile, while long tasks run and orders are lost or held until a worker is back.
func TestRandomReincarnations(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulateReincarnations(t, seed, holdOrders) })
}

// TestRandomReincarnationsWithStrayOrders adds late orders that reach workers which have restarted since.
func TestRandomReincarnationsWithStrayOrders(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulateReincarnations(t, seed, strayOrders) })
}

func simulateReincarnations(t *testing.T, seed uint64, c connections) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	f := faults{loseAppend: rng.Float64() * 0.05, loseOrder: rng.Float64() * 0.05, failTask: rng.Float64() * 0.05}
	if c == strayOrders {
		f.lateOrder = rng.Float64() * 0.06
	}
	sim := newSimulation(seed, 3, 6, f)
	sim.pollsWait, sim.connections = true, c
	sim.clockRate = []float64{minClockRate, 0.99, 1}[rng.IntN(3)]
	sim.settings.MaxLease = []time.Duration{6 * time.Second, 10 * time.Second}[rng.IntN(2)]
	sim.restartNodes()
	if *printLines {
		sim.trace = func(line string) { t.Log(line) }
	}
	sim.run(3 * time.Second)
	for range 2 {
		before := sim.faults
		sim.after(0, func() { sim.loadLong(rng, 300*time.Millisecond, 12*time.Second) })
		for range 2 + rng.IntN(4) {
			sim.after(time.Duration(rng.Int64N(int64(14*time.Second))), func() { sim.reincarnate(rng) })
		}
		if rng.IntN(3) == 0 {
			sim.after(time.Duration(rng.Int64N(int64(10*time.Second))), func() { sim.slowStream(300*time.Millisecond, 5*time.Second) })
		}
		sim.run(35 * time.Second)
		sim.clearFaults()
		sim.run(60 * time.Second)
		if unfinished := sim.unfinished(); len(unfinished) > 0 {
			t.Errorf("%d jobs did not finish: %.300s", len(unfinished), unfinished[0])
		}
		sim.checkFailuresOfJobs()
		sim.report(t)
		sim.faults = before
	}
}

// loadLong submits jobs of one or two steps with long tasks at a steady rate for a duration.
func (sim *simulation) loadLong(rng *rand.Rand, interval, duration time.Duration) {
	if duration <= 0 {
		return
	}
	need := Resources{CPU: 300, Memory: 64}
	spec := Spec{Payload: "x", Steps: []Step{{Count: 1 + rng.IntN(2), Need: need, EstimateMS: 6000 + int64(rng.IntN(7000))}}}
	if rng.IntN(3) == 0 {
		short := Step{Count: 1, Need: need, EstimateMS: 100 + int64(rng.IntN(400))}
		long := spec.Steps[0]
		long.After = []int{0}
		spec.Steps = []Step{short, long}
	}
	sim.submit(spec)
	sim.after(interval, func() { sim.loadLong(rng, interval, duration-interval) })
}

// reincarnate crashes some workers, which come back soon, are cut off after that, and may not be listed meanwhile.
// The owner may change at about the time of the cut.
func (sim *simulation) reincarnate(rng *rand.Rand) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	down, cutAfter, cutFor := between(50*time.Millisecond, time.Second), between(0, 3*time.Second), between(7*time.Second, 12*time.Second)
	unlisted := rng.IntN(3)
	for _, at := range rng.Perm(len(sim.workerIDs))[:1+rng.IntN(3)] {
		wk := sim.workers[sim.workerIDs[at]]
		if !wk.up || wk.unreachable {
			continue
		}
		sim.crashDark(wk, down)
		wk.unlisted = unlisted == 0
		sim.after(down+cutAfter, func() {
			wk.unreachable = true
			wk.unlisted = unlisted < 2
			sim.after(cutFor, func() { wk.unreachable, wk.unlisted = false, false })
		})
	}
	if change := rng.IntN(8); change < 5 {
		sim.after(between(0, down+cutAfter+3*time.Second), func() { sim.changeOwner(change, between(time.Second, 6*time.Second)) })
	}
}

// changeOwner lets the owner lose its ownership in one of several ways.
func (sim *simulation) changeOwner(how int, duration time.Duration) {
	n := sim.owningNode()
	if n == nil {
		return
	}
	switch how {
	case 0, 1:
		sim.injectFault(0, n, nil, duration)
	case 2:
		n.peersCut = true
		sim.after(duration, func() { n.peersCut = false })
		sim.injectFault(7, n, nil, duration)
	case 3:
		sim.injectFault(7, n, nil, duration)
	case 4:
		sim.injectFault(1+sim.rng.IntN(2), n, nil, duration)
	}
}
