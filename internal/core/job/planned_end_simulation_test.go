package job

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// drainWorker lets a worker drain and end. It is back under its ID, or another worker is at its address.
func (sim *simulation) drainWorker(wk *fakeWorker, replaced bool) {
	if !wk.up || wk.gone || wk.info.Draining {
		return
	}
	wk.info.Draining = true
	sim.after(2*time.Second+time.Duration(sim.rng.Int64N(int64(4*time.Second))), func() {
		if !wk.up || sim.fleet.downUntil[wk.info.Machine] > sim.now {
			return
		}
		wk.up, wk.runs = false, map[TaskName]*fakeRun{}
		sim.after(time.Second+time.Duration(sim.rng.Int64N(int64(3*time.Second))), func() {
			if wk.info.Machine == "" || sim.fleet.downUntil[wk.info.Machine] > sim.now {
				return // Maintenance brings the next worker.
			}
			wk.info.Draining = false
			if !replaced {
				sim.restartWorker(wk)
				return
			}
			wk.gone = true
			info := wk.info
			wk.info.Machine = ""
			info.ID = WorkerID(fmt.Sprintf("w%03d", len(sim.workerIDs)))
			next := &fakeWorker{info: info, clockAhead: wk.clockAhead}
			sim.workerIDs = append(sim.workerIDs, info.ID)
			sim.workers[info.ID] = next
			sim.restartWorker(next)
		})
	})
}

// TestPlannedEndsCountNoCrash lets workers drain and machines be maintained, some orders late, while owners are killed and hand over;
// the clocks of all machines differ. No worker crashes or is cut off, so that no loss may count as unplanned.
func TestPlannedEndsCountNoCrash(t *testing.T) {
	lost := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(max(1, *seeds/6)); seed++ {
		rng := rand.New(rand.NewPCG(seed, 9))
		skew := func() Millis { return Millis(rng.IntN(5001) - 2500) }
		sim := newSimulation(seed, 4, 10, faults{loseOrder: rng.Float64() * 0.02})
		sim.pollsWait = true
		sim.settings.MaxOrdersPerSecond, sim.settings.MinOrderGap = 20, 3*time.Second
		sim.config.Teams[0].Limit = Resources{}
		sim.fleet = newFakeFleet(sim)
		sim.fleet.lateOrder = rng.Float64() * 0.5
		for _, n := range sim.nodes {
			n.clockAhead = skew()
		}
		for _, id := range sim.workerIDs {
			sim.workers[id].clockAhead = skew()
			sim.restartWorker(sim.workers[id])
		}
		if *printLines {
			sim.trace = func(line string) { t.Log(line) }
		}
		sim.logged = func(e LogEvent) {
			if e.ID != LogWorkerLost {
				return
			}
			lost++
			if cause := e.Field("cause"); e.Field("planned") == false && cause != lossUnlisted.label() {
				t.Errorf("seed %d: at %v: worker %v: unplanned, %v", seed, time.Duration(sim.now)-time.Hour, e.Field("worker"), cause)
			}
		}
		sim.restartNodes()
		sim.run(3 * time.Second)
		for range 3 {
			sim.submit(Spec{Steps: []Step{{
				Count: 4 + rng.IntN(6), Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 600_000, LongRunning: true, MaxUnavailable: 2,
			}}})
		}
		sim.after(0, func() { sim.load(150*time.Millisecond, 50*time.Second) })
		sim.scheduleWaves(rng)
		for range 10 {
			kind, chosen, replaced := []int{0, 7, 7, -1, -1}[rng.IntN(5)], rng.IntN(10), rng.IntN(2) == 0
			sim.after(time.Duration(rng.Int64N(int64(50*time.Second))), func() {
				if owner := sim.owningNode(); kind >= 0 && owner != nil {
					sim.injectFault(kind, owner, nil, time.Second)
				} else if kind < 0 {
					sim.drainWorker(sim.workers[sim.workerIDs[chosen]], replaced)
				}
			})
		}
		sim.run(70 * time.Second)
	}
	t.Logf("%d workers lost with runs", lost)
	if lost == 0 {
		t.Error("no worker was lost")
	}
}
