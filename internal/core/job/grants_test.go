package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// chain is a job of steps with one short task each, the next after the one before.
func chain(steps int) Spec {
	spec := Spec{Payload: "x"}
	for i := range steps {
		st := Step{Count: 1, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: 100}
		if i > 0 {
			st.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, st)
	}
	return spec
}

// slowSimulation returns a simulation whose owner knows that the store is slow.
func slowSimulation(seed uint64, f faults) (*simulation, *node) {
	sim := newSimulation(seed, 3, 6, f)
	sim.run(3 * time.Second)
	sim.stream.appendTime = 300 * time.Millisecond
	sim.run(2 * time.Second)
	return sim, sim.owner()
}

// TestLaterStepsStartWithoutAnAppend replays a slow store that falls silent: each later step
// waited for an append of its own.
func TestLaterStepsStartWithoutAnAppend(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, owner := slowSimulation(21, faults{})
	sim.submitTo(owner, chain(6))
	sim.run(700 * time.Millisecond)
	g.Expect(sim.starts).To(gomega.BeNumerically(">=", 1))
	sim.stream.down = true
	sim.run(1400 * time.Millisecond)
	g.Expect(sim.starts).To(gomega.Equal(6), "steps take 0.1 s each")
	sim.stream.down, sim.stream.appendTime = false, 0
	sim.jobs[sim.jobIDs[0]].accepted = true
	sim.run(30 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(sim.starts).To(gomega.Equal(6))
}

// TestTakeoverHoldsGrantedTasks checks that a later owner adopts what runs under a grant,
// starts nothing that may run on a worker without an answer, counts it towards the team's
// limit, and takes the late end of such a run.
func TestTakeoverHoldsGrantedTasks(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		g := gomega.NewWithT(t)
		sim, owner := slowSimulation(22, faults{})
		spec := chain(2)
		spec.Steps[1].EstimateMS = 4000
		sim.submitTo(owner, spec)
		id := sim.jobIDs[0]
		sim.jobs[id].accepted = true
		second := TaskName{id, 0, 1, 0}
		for range 100 {
			if sim.runsOn(second) != nil {
				break
			}
			sim.run(10 * time.Millisecond)
		}
		host := sim.runsOn(second)
		g.Expect(host).NotTo(gomega.BeNil())
		owner.kill()
		host.unreachable = unreachable
		sim.stream.appendTime = 0
		sim.run(3 * time.Second)
		next := sim.owner()
		g.Expect(next).NotTo(gomega.BeNil())
		j := next.state.owner.jobs[id]
		g.Expect(j.findTask(second).held()).To(gomega.Equal(unreachable))
		if unreachable {
			team := next.state.config.teams["t"]
			limit := team.Limit
			team.Limit = Resources{CPU: next.state.owner.teamUsage["t"].CPU + 199}
			g.Expect(next.state.owner.withinTeamLimit(j.findTask(second).step)).To(gomega.BeFalse(), "a held task uses 100")
			team.Limit = limit
		}
		host.unreachable = false
		sim.run(20 * time.Second)
		sim.report(t)
		g.Expect(sim.starts).To(gomega.Equal(2), "the run is adopted")
		g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	}
}

// TestHeldTasksStartAfterTheLease checks that held tasks start elsewhere once the lease of a
// worker that never returns has passed.
func TestHeldTasksStartAfterTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, owner := slowSimulation(23, faults{})
	sim.submitTo(owner, chain(3))
	sim.jobs[sim.jobIDs[0]].accepted = true
	sim.run(600 * time.Millisecond)
	owner.kill()
	sim.stream.appendTime = 0
	for _, id := range sim.workerIDs[:3] {
		sim.workers[id].unreachable = true
	}
	sim.run(25 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestUnreachableWorkerIsPolledAgain guards against workers that stay unreachable for good:
// while they did not respond, their ends reached the stream, and no poll was scheduled.
// Found by the simulation with slow appends, seed 660.
func TestUnreachableWorkerIsPolledAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	o, w := flushOwner()
	w.lastEnd, w.ackedEnd = 1, 0
	o.processEnds(w, []EndReport{{Number: 2, Task: TaskName{Job: "0"}, Run: 1, End: EndCompleted}})
	w.pollInFlight, w.failedPolls = true, unreachableAfterPolls-1
	o.handlePolled(Polled{Worker: w.info.ID, Outcome: NotDone})
	o.flush()
	o.completeAppend()
	g.Expect(w.nextPollAt).NotTo(gomega.Equal(never))

	w.nextPollAt = never // It was not listed for a time.
	o.updateWorker(w.info)
	g.Expect(w.nextPollAt).To(gomega.Equal(o.s.now))
}

// TestSilentIdleWorkerLosesItsGrants guards against a takeover that waits for a worker without
// tasks although the earlier owner knew that it does not respond.
func TestSilentIdleWorkerLosesItsGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	o, w := flushOwner()
	j := &activeJob{record: &JobRecord{}, grants: []*grant{{Worker: w.info.ID, Incarnation: w.info.Incarnation}}}
	o.jobOrder = append(o.jobOrder, j)
	w.pollInFlight, w.failedPolls = true, unreachableAfterPolls-1
	o.handlePolled(Polled{Worker: w.info.ID, Outcome: NotDone})
	g.Expect(j.grants).To(gomega.BeEmpty())
	g.Expect(o.dirty).To(gomega.ConsistOf(j))
}

// TestStoreThatRefusesAppendsCountsAsSlow checks that an append that is refused at once, again
// and again, counts as one in progress since its first attempt.
func TestStoreThatRefusesAppendsCountsAsSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	o.renew()
	for range 3 {
		o.handleAppended(Appended{ID: o.pendingAppend.id, Outcome: NotDone, SentAt: o.s.now})
		o.s.now = o.s.now.Add(streamRetryDelay)
		o.repeatAppend()
		g.Expect(o.storeSlow()).To(gomega.BeTrue())
	}
}

// runsOn returns the worker on which a task runs, or nil.
func (sim *simulation) runsOn(name TaskName) *fakeWorker {
	for _, id := range sim.workerIDs {
		if sim.workers[id].runs[name] != nil {
			return sim.workers[id]
		}
	}
	return nil
}
