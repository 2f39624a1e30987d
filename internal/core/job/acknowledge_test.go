package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRestartedWorkerKeepsUnreadEnds guards against an acknowledgement that was meant for a
// worker's previous incarnation: the next incarnation dropped the end of a run that no owner had
// read, and the task ran again. Found with seed 101 of the soak.
func TestRestartedWorkerKeepsUnreadEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, 1, faults{})
	sim.pollsWait = true
	sim.run(3 * time.Second)
	need := Resources{CPU: 1000, Memory: 64}
	sim.submit(Spec{Steps: []Step{
		{Count: 1, Need: need, EstimateMS: 200}, {Count: 1, Need: need, EstimateMS: 200, After: []int{0}},
	}})
	wk := sim.workers["w000"]
	for len(wk.ends) == 0 {
		sim.run(time.Millisecond)
	}
	for written := len(sim.stream.records); len(sim.stream.records) == written; {
		sim.run(time.Millisecond)
	}
	sim.restartWorker(wk)
	sim.run(10 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(sim.starts).To(gomega.Equal(2))
}

// TestAcknowledgementWaitsForUnlistedRuns: while the write of an end takes long, another run may
// start and end on a new incarnation. A poll without an acknowledgement reads the incarnation
// first, and an acknowledgement in flight at a restart says nothing about the new one.
func TestAcknowledgementWaitsForUnlistedRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	o := demandOwner(Resources{})
	o.s.owner, o.stage, o.ordersUntil, o.leasesUntil = o, stageActive, o.s.now.Add(time.Hour), o.s.now.Add(time.Hour)
	w := o.worker("w1")
	w.info = WorkerInfo{ID: "w1", Address: "w1", Capacity: Resources{CPU: 16000, Memory: 32768}, Incarnation: 1}
	w.listed, w.fenced, w.lastEnd, w.ackedEnd = true, true, 3, 3
	j := newJob(o, "00000000000000aa", Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 500})
	o.jobs[j.record.ID] = j
	task := j.occurrences.live[0].steps[0].tasks[0]
	o.assign(task, w)
	o.sendStart(task, 1)
	poll := func() Poll { return o.s.effects[len(o.s.effects)-1].(Poll) }
	answer := Polled{Worker: "w1", Incarnation: 1, Running: []RunReport{{Task: task.name(), Run: 1}}}

	o.s.now = o.s.now.Add(acknowledgeWithin / 4)
	o.sendPoll(w)
	g.Expect([]any{poll().Acked, poll().Wait}).To(gomega.Equal([]any{int64(3), acknowledgeWithin * 3 / 4}))

	w.pollInFlight = false
	o.s.now = o.s.now.Add(acknowledgeWithin)
	o.sendPoll(w)
	g.Expect([]any{poll().Acked, poll().Wait}).To(gomega.Equal([]any{int64(0), time.Duration(0)}))
	answer.SentAt, answer.ReceivedAt = o.s.now, o.s.now
	o.handlePolled(answer)
	g.Expect(poll().Acked).To(gomega.Equal(int64(3)), "the next poll follows at once")

	o.handleRestart(w, w.info.Incarnation, 2)
	answer.Incarnation = 2
	o.handlePolled(answer)
	g.Expect(w.confirmedEnd).To(gomega.BeZero())
}

// TestRandomWorkerRestarts restarts workers in place at random times under load, with a store
// of random speed.
func TestRandomWorkerRestarts(t *testing.T) {
	for seed := range uint64(*seeds) {
		seed += *firstSeed
		rng := rand.New(rand.NewPCG(seed, 4))
		sim := newSimulation(seed, 2, 5, faults{})
		sim.pollsWait = true
		sim.stream.appendTime = time.Duration(rng.Int64N(int64(350 * time.Millisecond)))
		sim.run(6 * time.Second)
		sim.after(0, func() { sim.load(200*time.Millisecond, 15*time.Second) })
		for range 40 {
			wk := sim.workers[sim.workerIDs[rng.IntN(len(sim.workerIDs))]]
			sim.after(time.Duration(rng.Int64N(int64(15*time.Second))), func() { sim.restartWorker(wk) })
		}
		sim.run(60 * time.Second)
		if len(sim.violations) > 0 {
			t.Errorf("seed %d, appends take %v: %s", seed, sim.stream.appendTime, sim.violations[0])
		}
		if unfinished := sim.unfinished(); len(unfinished) > 0 {
			t.Errorf("seed %d: %d jobs did not finish: %s", seed, len(unfinished), unfinished[0])
		}
	}
}
