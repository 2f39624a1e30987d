package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// testAdvisor is the timing of an advisor whose tickets expire long before a task of some seconds ends.
var testAdvisor = AdvisorTiming{Decide: 100 * time.Millisecond, Each: 10 * time.Millisecond, Valid: 3 * time.Second}

// maxIdleWait is the time for which a job may have nothing running while its task could run.
const maxIdleWait = 3 * time.Second

// hostOf returns the worker that runs a task, or nil.
func (sim *simulation) hostOf(name TaskName) *fakeWorker {
	for _, id := range sim.workerIDs {
		if wk := sim.workers[id]; wk.runs[name] != nil {
			return wk
		}
	}
	return nil
}

// awaitRun advances the simulation until a task runs and returns the time that took, at most limit.
func (sim *simulation) awaitRun(name TaskName, limit time.Duration) time.Duration {
	from := sim.now
	for sim.hostOf(name) == nil && sim.now.Sub(from) < limit {
		sim.run(10 * time.Millisecond)
	}
	return sim.now.Sub(from)
}

// TestTaskOnTrialAsksForAdvice guards against tasks that never started again after a crash of their worker: only
// tasks without a trial asked for new tickets.
func TestTaskOnTrialAsksForAdvice(t *testing.T) {
	single := Step{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000}
	lasting := Step{Count: 3, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 600_000, LongRunning: true, MaxPerWorker: 1}
	wide := Step{Count: 6, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000}
	gang := Step{Count: 3, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000, Gang: true}
	for name, c := range map[string]struct {
		step    Step
		crashes int
		// newOwner is set if the owner is killed soon after each crash.
		newOwner bool
	}{
		"one crash":                    {single, 1, false},
		"two crashes":                  {single, 2, false},
		"long-running task":            {lasting, 1, false},
		"long-running task, two":       {lasting, 2, false},
		"crash beside change of owner": {single, 1, true},
		"part of a wide step":          {wide, 1, false},
		"gang":                         {gang, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(31, 2, 8, faults{})
			advisor := sim.addAdvisor(testAdvisor, allowAll)
			sim.run(3 * time.Second)
			id := sim.submit(Spec{Steps: []Step{c.step}})
			task := TaskName{Job: id}
			g.Expect(sim.awaitRun(task, 10*time.Second)).To(gomega.BeNumerically("<", maxIdleWait))
			for range c.crashes {
				sim.run(4 * time.Second)
				limit := maxIdleWait
				sim.crashWorker(sim.hostOf(task), time.Second, false)
				if c.newOwner {
					sim.run(100 * time.Millisecond)
					sim.owningNode().kill()
					limit += sim.settings.MaxLease
				}
				g.Expect(sim.awaitRun(task, 30*time.Second)).To(gomega.BeNumerically("<", limit))
			}
			sim.run(20 * time.Second)
			sim.report(t)
			g.Expect(advisor.refusedStarts).To(gomega.BeZero())
			if !c.step.LongRunning {
				g.Expect(sim.unfinished()).To(gomega.BeEmpty())
			}
		})
	}
}

// TestTasksOnTrialBesideOthers: tickets are requested for the workers that a task on trial may use, also while
// other tasks of its step wait for room.
func TestTasksOnTrialBesideOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(32, 2, 3, faults{})
	sim.addAdvisor(testAdvisor, allowAll)
	sim.run(3 * time.Second)
	// Two tasks fit on a worker, so that ten of the sixteen wait.
	id := sim.submit(Spec{Steps: []Step{{Count: 16, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 4000}}})
	first := TaskName{Job: id}
	sim.awaitRun(first, 10*time.Second)
	sim.run(2 * time.Second)
	sim.crashWorker(sim.hostOf(first), time.Second, false)
	sim.run(25 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestTaskOnTrialAsksAboutWorkersItMayUse: a ticket for a worker on which the trial cannot begin would expire
// unused.
func TestTaskOnTrialAsksAboutWorkersItMayUse(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(3)
	o.s.config.Queues[0].Advisor = &testAdvisor
	fresh := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000})
	startOn(o, firstTask(fresh), o.workers["w0000"])
	suspect := firstTask(addTestJob(o, 2, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000}))
	suspect.crash.Suspected = 1
	o.plan()
	g.Expect(adviceRequests(o)).To(gomega.ConsistOf(gomega.ConsistOf(WorkerID("w0001"), WorkerID("w0002"))))
}

// adviceRequests returns the workers of each request for advice among the effects of an owner.
func adviceRequests(o *owner) [][]WorkerID {
	var list [][]WorkerID
	for _, e := range o.s.effects {
		if r, ok := e.(RequestAdvice); ok {
			list = append(list, r.Workers)
		}
	}
	return list
}
