package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/crash"
)

// crashAtRandom crashes a fraction of the workers at an interval, whatever runs on them.
func (sim *simulation) crashAtRandom(rng *rand.Rand, interval time.Duration, fraction float64, until time.Duration) {
	for at := interval; at < until; at += interval {
		sim.after(at, func() {
			for _, id := range sim.workerIDs {
				if wk := sim.workers[id]; wk.up && !wk.gone && rng.Float64() < fraction {
					sim.crashWorker(wk, time.Second, rng.IntN(2) == 0)
				}
			}
		})
	}
}

// restartOwners makes each owner resign and restart at an interval.
func (sim *simulation) restartOwners(interval, until time.Duration) {
	for at := interval; at < until; at += interval {
		sim.after(at, func() {
			for _, n := range sim.nodes {
				if n.up && n.state.Owning() {
					sim.injectFault(7, n, nil, time.Second)
				}
			}
		})
	}
}

// TestJobsOfACrashingPoolAreNotGivenUp guards against issue 48: workers of a pool crash again and again by
// themselves, and jobs were failed for it, also while owners change.
func TestJobsOfACrashingPoolAreNotGivenUp(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 48))
		sim := newSimulation(seed, 4, 9, faults{})
		sim.pollsWait = true
		sim.countCrashes()
		if *printLines {
			sim.trace = func(line string) { t.Log(line) }
		}
		sim.run(3 * time.Second)
		var lasting []ID
		for range 2 {
			lasting = append(lasting, sim.submit(Spec{Steps: []Step{{
				Count: 5, Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 600_000, LongRunning: true, MaxUnavailable: 1,
			}}}))
		}
		sim.after(0, func() { sim.load(250*time.Millisecond, 85*time.Second) })
		sim.crashAtRandom(rng, 3*time.Second, 0.14, 90*time.Second)
		if seed%2 == 0 {
			sim.restartOwners(2500*time.Millisecond, 90*time.Second)
		}
		sim.run(100 * time.Second)
		sim.clearFaults()
		sim.run(30 * time.Second)
		sim.report(t)
		g := gomega.NewWithT(t)
		g.Expect(sim.failedJobs()).To(gomega.BeEmpty(), "no task causes a crash")
		for _, id := range lasting {
			for i := range 5 {
				g.Expect(sim.runsOn(TaskName{Job: id, Index: i})).NotTo(gomega.BeNil(), "a long-running task of job %s", id)
			}
		}
	})
}

// TestNextOwnerDoesNotTakeOldRunsForNew: a worker crashes right after a change of owner. Its runs had been there for
// long, but the next owner had not heard of them and suspected the last one.
func TestNextOwnerDoesNotTakeOldRunsForNew(t *testing.T) {
	for _, listed := range []bool{false, true} {
		g := gomega.NewWithT(t)
		first := fleetOf(2)
		j := addTestJob(first, 1, Step{Count: 2, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 600_000, LongRunning: true})
		for i, task := range j.occurrences.live[0].steps[0].tasks {
			startOn(first, task, first.workers["w0000"])
			first.s.now, first.s.wall = first.s.now.Add(time.Duration(i+1)*20*time.Second), first.s.wall+Millis(i+1)*20_000
		}
		next := fleetOf(2)
		next.s.now, next.s.wall, next.activeAt = first.s.now, first.s.wall, first.s.now
		again := addTestJob(next, 1, j.acceptance.Spec.Steps...)
		again.acceptance = j.acceptance
		for _, row := range j.taskRows() {
			next.restoreTasks(again, row)
		}
		w, tasks := next.workers["w0000"], again.occurrences.live[0].steps[0].tasks
		next.s.now = next.s.now.Add(10 * time.Millisecond)
		if listed {
			next.reconcileRuns(w, Polled{Worker: w.info.ID, SentAt: next.s.now, Running: []RunReport{{Task: tasks[0].name(), Run: 1}, {Task: tasks[1].name(), Run: 1}}})
			w.lastHeardAt = next.s.now
		}
		next.s.now = next.s.now.Add(10 * time.Millisecond)
		next.loseRuns(w, w.tasks, lossWorkerReplaced)
		lost := crash.Record{}
		lost.Count(listed)
		for _, task := range tasks {
			g.Expect(task.crash).To(gomega.Equal(lost), "listed %v", listed)
		}
	}
}

// TestNextOwnerKnowsHowOftenWorkersCrash: the rate of crashes is in the owner's record, so that a change of owner makes
// no crash look rarer than it is.
func TestNextOwnerKnowsHowOftenWorkersCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(4)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	w := o.workers["w0000"]
	calm := o.crashesPerSecond(w, "p")
	for range 20 {
		startOn(o, firstTask(j), w)
		for range 4 {
			o.s.now = o.s.now.Add(crashRateInterval)
			o.observeCrashRates()
		}
		o.loseRuns(w, w.tasks, lossWorkerReplaced)
		firstTask(j).crash = crash.Record{}
	}
	next := fleetOf(4)
	record := encodeOwner(o.ownerRecord())
	g.Expect(next.s.ledger.foldOwner(next.s.now, record)).To(gomega.Succeed())
	next.inheritCrashRates()
	other := next.workers["w0001"]
	g.Expect(next.crashesPerSecond(other, "p")).To(gomega.BeNumerically("~", o.crashesPerSecond(o.workers["w0001"], "p"), 0.002))
	g.Expect(next.crashesPerSecond(other, "p")).To(gomega.BeNumerically(">", 5*calm))
}

// TestUnansweredStartClearsNoSuspicion: a long-running task crashes an idle worker at once that was last heard long before.
// The run was taken for one that had been there since then.
func TestUnansweredStartClearsNoSuspicion(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 600_000, LongRunning: true})
	task, w := firstTask(j), o.workers["w0000"]
	task.crash = crash.Record{Crashes: 2, Suspected: 2, LogRatio: 10}
	w.lastHeardAt = o.s.now
	o.s.now = o.s.now.Add(clearedAfter + time.Second)
	o.assign(task, w)
	o.sendStart(task, task.lastRun)
	o.s.now = o.s.now.Add(10 * time.Millisecond)
	o.loseRuns(w, w.tasks, lossWorkerReplaced)
	g.Expect(counts(task)).To(gomega.Equal(crash.Record{Crashes: 2, Possible: 1, Suspected: 3}))
}

// TestSilentWorkersOfUnknownPoolCount: workers crash together, and the owner with them. The platform lists them to the next
// owner no more, which took each crash for the only one.
func TestSilentWorkersOfUnknownPoolCount(t *testing.T) {
	rate := func(listed bool) float64 {
		first, next := fleetOf(5), fleetOf(5)
		for i, id := range first.workerIDs {
			j := addTestJob(first, i+1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 5000})
			startOn(first, firstTask(j), first.workers[id])
			if !listed {
				next.workers[id].info = WorkerInfo{ID: id}
			}
			again := addTestJob(next, i+1, j.acceptance.Spec.Steps...)
			for _, row := range j.taskRows() {
				next.restoreTasks(again, row)
			}
			next.workers[id].failedPolls = 1
		}
		w := next.workers["w0000"]
		return next.crashesPerSecond(w, next.poolOfLost(w, w.tasks))
	}
	g := gomega.NewWithT(t)
	g.Expect(rate(false)).To(gomega.Equal(rate(true)))
	g.Expect(rate(false)).To(gomega.Equal((4 + priorCrashes) / priorWorkerSeconds))
}

// TestAdoptedRunHasAnAge: the owner after one that adopted a granted run took the epoch for its start, so that the
// crash of its worker spoke for the task.
func TestAdoptedRunHasAnAge(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	o.s.wall = 1_780_000_000_000
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 5000})
	j.acceptance.At = o.s.wall
	task, w := firstTask(j), o.workers["w0000"]
	j.inherited = []*grant{{Worker: w.info.ID, Incarnation: 1}}
	o.reconcileRuns(w, Polled{Worker: w.info.ID, SentAt: o.s.now, Running: []RunReport{{Task: task.name(), Run: 1}}})
	next := fleetOf(2)
	next.s.now, next.s.wall, next.activeAt = o.s.now.Add(time.Second), o.s.wall+1000, o.s.now.Add(time.Second)
	again := addTestJob(next, 1, j.acceptance.Spec.Steps...)
	again.acceptance = j.acceptance
	for _, row := range j.taskRows() {
		next.restoreTasks(again, row)
	}
	g.Expect(next.lived(firstTask(again))).To(gomega.Equal(time.Second + unnoticedTime + maxClockSkew))
	next.loseRuns(next.workers["w0000"], next.workers["w0000"].tasks, lossWorkerReplaced)
	g.Expect(firstTask(again).crash.LogRatio).To(gomega.BeNumerically(">", 0))
	o.loseRuns(w, w.tasks, lossWorkerReplaced)
	g.Expect(task.crash.Suspected).To(gomega.Equal(1))
}
