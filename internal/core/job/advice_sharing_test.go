package job

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// addTeams gives the simulation a number of further teams without limits, which restarts the nodes.
func (sim *simulation) addTeams(names ...string) {
	for _, name := range names {
		sim.config.Teams = append(sim.config.Teams, Team{Name: vocab.TeamID(name), Keys: []string{"key-" + name}, Weight: 10})
	}
	sim.config.Teams[0].Limit = Resources{}
	sim.restartNodes()
}

// submitFor submits a job of a team.
func (sim *simulation) submitFor(team int, spec Spec) ID {
	id := sim.addJob(spec)
	sim.jobs[id].team = team
	sim.trySubmit(id, 5)
	return id
}

// oneTask is a short job.
func oneTask() Spec {
	return Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 500}}}
}

// lastingStep is a step of long-running tasks on different workers.
func lastingStep(tasks int, cpu int64) Spec {
	return Spec{Steps: []Step{{Count: tasks, Need: Resources{CPU: cpu, Memory: 64}, EstimateMS: 600_000, LongRunning: true, MaxPerWorker: 1}}}
}

// firstOf is the policy that allows the jobs of the first team some workers, and all others all.
func firstOf(sim *simulation, allowed ...WorkerID) func(StepRef, WorkerID) bool {
	return func(step StepRef, w WorkerID) bool {
		return sim.jobs[step.Job].team != 0 || slices.Contains(allowed, w)
	}
}

// submitSteadily submits a job of a team each second, and returns the longest time for which one of them waited
// for its first start.
func (sim *simulation) submitSteadily(t *testing.T, team, jobs int) time.Duration {
	t.Helper()
	longest := time.Duration(0)
	for range jobs {
		id := sim.submitFor(team, oneTask())
		waited := sim.awaitRun(TaskName{Job: id}, 10*time.Second)
		longest = max(longest, waited)
		sim.run(max(0, time.Second-waited))
	}
	return longest
}

// TestHopelessStepsLeaveTheAdvisorToOthers guards against steps that kept the advisor busy with requests whose
// answers could let no task start, so that jobs of other teams did not start on idle workers.
func TestHopelessStepsLeaveTheAdvisorToOthers(t *testing.T) {
	four := []WorkerID{"w000", "w001", "w002", "w003"}
	for name, c := range map[string]struct {
		workers int
		jobs    int
		spec    Spec
		limit   Resources
		allowed []WorkerID
	}{
		// The policy allows fewer workers than the tasks need.
		"one task too many for the policy": {12, 5, lastingStep(5, 500), Resources{}, four},
		"policy that allows nobody":        {12, 100, oneTask(), Resources{}, nil},
		"gangs larger than the policy":     {12, 20, Spec{Steps: []Step{{Count: 6, Need: Resources{CPU: 7000, Memory: 64}, EstimateMS: 500, Gang: true}}}, Resources{}, four},
		// No answer can help a team that is at its limit.
		"team at its limit":  {12, 12, lastingStep(2, 1000), Resources{CPU: 4000}, []WorkerID{"w000", "w001", "w002", "w003", "w004", "w005", "w006", "w007", "w008", "w009", "w010", "w011"}},
		"tasks without room": {12, 40, lastingStep(3, 7900), Resources{}, four},
		"many workers":       {60, 20, lastingStep(5, 500), Resources{}, four},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(33, 2, c.workers, faults{})
			sim.addTeams("b")
			sim.config.Teams[0].Limit = c.limit
			advisor := sim.addAdvisor(testAdvisor, firstOf(sim, c.allowed...))
			sim.run(3 * time.Second)
			var hopeless []ID
			for range c.jobs {
				hopeless = append(hopeless, sim.submitFor(0, c.spec))
			}
			sim.run(300 * time.Millisecond)
			g.Expect(sim.submitSteadily(t, 1, 12)).To(gomega.BeNumerically("<", maxIdleWait), "without a run")
			sim.run(40 * time.Second)
			before := len(advisor.calls)
			sim.run(20 * time.Second)
			g.Expect(len(advisor.calls)).To(gomega.Equal(before), "requests once all is known")
			sim.report(t)
			g.Expect(advisor.refusedStarts).To(gomega.BeZero())
			for _, id := range hopeless {
				g.Expect(advisor.callsFor(id)).To(gomega.BeNumerically("<=", 8), "requests of one job")
			}
		})
	}
}

// TestAllWorkersAreAskedAboutInTime guards against requests that named the first workers again and again: a policy
// that allows others let nothing start.
func TestAllWorkersAreAskedAboutInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(34, 2, 60, faults{})
	sim.addAdvisor(testAdvisor, func(_ StepRef, w WorkerID) bool { return w >= "w057" })
	sim.run(3 * time.Second)
	for range 3 {
		id := sim.submit(Spec{Steps: []Step{{Count: 3, Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 500}}})
		g.Expect(sim.awaitRun(TaskName{Job: id}, 20*time.Second)).To(gomega.BeNumerically("<", maxIdleWait))
	}
	sim.run(5 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestNewWorkersAreAskedAbout: what the advisor has refused says nothing about a worker that has come since, or
// has restarted.
func TestNewWorkersAreAskedAbout(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(35, 2, 4, faults{})
	allowed := map[WorkerID]Millis{}
	sim.addAdvisor(testAdvisor, func(_ StepRef, w WorkerID) bool {
		from, found := allowed[w]
		return found && sim.workers[w].info.Incarnation >= from
	})
	sim.run(3 * time.Second)
	id := sim.submit(lastingStep(1, 500))
	sim.run(10 * time.Second)
	g.Expect(sim.hostOf(TaskName{Job: id})).To(gomega.BeNil())
	allowed["w002"] = sim.wall()
	sim.run(5 * time.Second)
	g.Expect(sim.hostOf(TaskName{Job: id})).To(gomega.BeNil(), "the policy is that of the next incarnation")
	sim.crashWorker(sim.workers["w002"], 500*time.Millisecond, false)
	g.Expect(sim.awaitRun(TaskName{Job: id}, 10*time.Second)).To(gomega.BeNumerically("<", 500*time.Millisecond+maxIdleWait))
	sim.report(t)
}

// TestLostAdviceDelaysOthersOnce: a step whose requests get no answer waits longer after each, so that the others
// have the advisor meanwhile.
func TestLostAdviceDelaysOthersOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(36, 2, 8, faults{})
	sim.addTeams("b")
	advisor := sim.addAdvisor(testAdvisor, allowAll)
	advisor.lost = func(step StepRef) bool { return sim.jobs[step.Job].team == 0 }
	sim.run(3 * time.Second)
	for range 5 {
		sim.submitFor(0, oneTask())
	}
	sim.run(300 * time.Millisecond)
	g.Expect(sim.submitSteadily(t, 1, 12)).To(gomega.BeNumerically("<", maxIdleWait))
	advisor.lost = nil
	sim.run(10 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestTicketsThatExpireEarly: tickets that are valid for little longer than the answer takes are used, and steps
// whose tickets always expire leave the advisor to others.
func TestTicketsThatExpireEarly(t *testing.T) {
	for _, valid := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		t.Run(valid.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(37, 2, 30, faults{})
			sim.addAdvisor(AdvisorTiming{Decide: 60 * time.Millisecond, Each: 10 * time.Millisecond, Valid: valid}, allowAll)
			sim.run(3 * time.Second)
			for range 4 {
				id := sim.submit(Spec{Steps: []Step{{Count: 3, Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 500}}})
				g.Expect(sim.awaitRun(TaskName{Job: id}, 10*time.Second)).To(gomega.BeNumerically("<", maxIdleWait))
			}
			sim.run(5 * time.Second)
			sim.report(t)
			g.Expect(sim.unfinished()).To(gomega.BeEmpty())
		})
	}
}

// TestNextOwnerSendsNoStartWithoutTicket: an owner has no tickets for the starts that the one before has intended.
func TestNextOwnerSendsNoStartWithoutTicket(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(38, 2, 4, faults{})
	advisor := sim.addAdvisor(testAdvisor, allowAll)
	sim.run(3 * time.Second)
	sent := false
	sim.route = func(order event.Effect, _ *fakeWorker) orderRoute {
		_, isStart := order.(Start)
		sent = sent || isStart
		return orderRoute{lost: isStart}
	}
	id := sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 1000}}})
	for !sent {
		sim.run(time.Millisecond)
	}
	sim.owningNode().kill()
	sim.route = nil
	g.Expect(sim.awaitRun(TaskName{Job: id}, 20*time.Second)).To(gomega.BeNumerically("<", sim.settings.MaxLease+maxIdleWait))
	sim.report(t)
	g.Expect(advisor.refusedStarts).To(gomega.BeZero())
}

// TestRefusedTicketKeepsOtherAvoidance: a worker that has refused a start for another reason gets no new tasks for a
// while, also if it refuses a ticket then.
func TestRefusedTicketKeepsOtherAvoidance(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	w := o.workers["w0000"]
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000})
	for _, t := range j.occurrences.live[0].steps[0].tasks {
		o.assign(t, w)
		o.sendStart(t, t.lastRun)
	}
	for i, refusal := range []Refusal{RefusalCapacity, RefusalTicket} {
		o.handleStartAnswered(StartAnswered{Worker: w.info.ID, Task: TaskName{Job: j.record.ID, Index: i}, Run: 1, Outcome: NotDone, Refusal: refusal})
	}
	g.Expect(w.avoidUntil).To(gomega.Equal(o.s.now.Add(refusalBackoff)))
}

// TestAnswerToAnEarlierOwnerIsIgnored: a node that becomes the owner again may still get the answer to a request of
// its earlier ownership, which says nothing about the one in flight.
func TestAnswerToAnEarlierOwnerIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	o.s.config.Queues[0].Advisor = &testAdvisor
	st := firstTask(addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000})).step
	o.s.adviceRequests = 7
	o.plan()
	o.handleAdviceReceived(AdviceReceived{Number: 7, Step: st.ref(), OK: true, Tickets: map[WorkerID]string{"w0000": "old"}})
	g.Expect(o.advisor.pending).NotTo(gomega.BeNil())
	g.Expect(st.advice.verdicts).To(gomega.BeEmpty())
	o.handleAdviceReceived(AdviceReceived{Number: 8, Step: st.ref(), OK: true, Tickets: map[WorkerID]string{"w0000": "new"}})
	g.Expect(o.advisor.pending).To(gomega.BeNil())
	o.plan()
	g.Expect(firstTask(st.job).worker).To(gomega.BeIdenticalTo(o.workers["w0000"]))
}

// TestVerdictsAreBounded: what is known of the advisor's policy goes with its step and its worker, and has a limit.
func TestVerdictsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(3)
	o.s.config.Queues[0].Advisor = &testAdvisor
	workers := make([]*worker, maxVerdicts/3)
	for k := range workers {
		workers[k] = &worker{}
	}
	var steps []*step
	for i := range 4 {
		st := firstTask(addTestJob(o, i+1, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000})).step
		st.advice.verdicts, st.advice.requestedAt = map[*worker]verdict{}, o.s.now.Add(-time.Duration(i)*time.Second)
		for _, w := range workers {
			st.advice.verdicts[w] = verdict{}
		}
		steps = append(steps, st)
	}
	o.boundVerdicts(steps[3])
	g.Expect(o.advisor.verdicts).To(gomega.Equal(maxVerdicts / 3 * 3))
	g.Expect(steps[2].advice.verdicts).To(gomega.BeEmpty(), "the one that asked the longest time ago but for the last")
	g.Expect(steps[3].advice.verdicts).NotTo(gomega.BeEmpty())
	steps[1].completed = 1
	o.boundVerdicts(steps[3])
	g.Expect(o.advisor.verdicts).To(gomega.Equal(maxVerdicts / 3 * 2))
	o.forgetVerdicts(workers[:2])
	g.Expect(steps[0].advice.verdicts).To(gomega.HaveLen(maxVerdicts/3 - 2))
}

// TestCandidatesFollowWorkersAndVerdicts guards against workers that are passed over although the advisor has not
// refused their present incarnation: they restart, come, go and are decided about in any order.
func TestCandidatesFollowWorkersAndVerdicts(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(39, 17))
	o := fleetOf(8)
	st := firstTask(addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 6000})).step
	st.advice.verdicts = map[*worker]verdict{}
	reduced := 0
	for range 5000 {
		w := o.workers[o.workerIDs[rng.IntN(len(o.workerIDs))]]
		switch rng.IntN(6) {
		case 0:
			w.info.Incarnation++
		case 1:
			w.info.Draining = !w.info.Draining
		default:
			o.advisor.verdicts = 1
			r := &adviceRequest{step: st, workers: []*worker{w}, incarnations: []Millis{w.info.Incarnation}}
			tickets := map[WorkerID]string{}
			if rng.IntN(4) == 0 {
				tickets[w.info.ID] = "ticket"
			}
			o.keepVerdicts(r, AdviceReceived{Tickets: tickets}, &testAdvisor)
		}
		p := &poolRoom{}
		for _, id := range o.workerIDs {
			if w := o.workers[id]; w.usable(o.s.now) {
				p.workers = append(p.workers, w)
			}
		}
		o.identifyPools(map[vocab.PoolID]*poolRoom{"pool": p})
		isRefused := func(w *worker) bool { v, known := st.verdictOn(w); return known && !v.allowed }
		list := st.notRefused(p)
		if len(list) < len(p.workers) {
			reduced++
			g.Expect(slices.ContainsFunc(list, isRefused)).To(gomega.BeFalse())
		}
		usable, kept := slices.DeleteFunc(slices.Clone(p.workers), isRefused), slices.DeleteFunc(slices.Clone(list), isRefused)
		g.Expect(slices.Equal(usable, kept)).To(gomega.BeTrue())
	}
	g.Expect(reduced).To(gomega.BeNumerically(">", 1000))
}

// TestRandomAdvice: under random policies and faults each job ends that its policy allows, and no start lacks a
// ticket but those of restarted workers and late orders.
func TestRandomAdvice(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 17))
		sim := newSimulation(seed, 3, 8, faults{loseAppend: rng.Float64() * 0.05, loseOrder: rng.Float64() * 0.05})
		sim.pollsWait = true
		sim.addTeams("b", "c")
		timing := AdvisorTiming{
			Decide: time.Duration(rng.IntN(150)) * time.Millisecond, Each: time.Duration(rng.IntN(12)) * time.Millisecond,
			Valid: time.Second + time.Duration(rng.IntN(4000))*time.Millisecond,
		}
		allowed := map[StepRef]map[WorkerID]bool{}
		advisor := sim.addAdvisor(timing, func(step StepRef, w WorkerID) bool {
			if allowed[step] == nil {
				// At least one worker is allowed in each of its incarnations.
				allowed[step] = map[WorkerID]bool{sim.workerIDs[rng.IntN(len(sim.workerIDs))]: true}
				for _, id := range sim.workerIDs {
					allowed[step][id] = allowed[step][id] || rng.IntN(3) == 0
				}
			}
			return allowed[step][w]
		})
		advisor.lost = func(StepRef) bool { return sim.faults.loseAppend > 0 && rng.IntN(15) == 0 }
		if *printLines {
			sim.trace = func(line string) { t.Log(line) }
		}
		sim.run(3 * time.Second)
		var submit func(int)
		submit = func(left int) {
			if left == 0 {
				return
			}
			spec := randomSpec(sim)
			spec.Steps[0].Gang = spec.Steps[0].Count <= 2 && rng.IntN(3) == 0
			sim.submitFor(rng.IntN(3), spec)
			sim.after(300*time.Millisecond, func() { submit(left - 1) })
		}
		sim.after(0, func() { submit(60) })
		sim.scheduleFaults(2 + rng.IntN(6))
		sim.run(30 * time.Second)
		sim.clearFaults()
		sim.run(90 * time.Second)
		sim.report(t)
		if unfinished := sim.unfinished(); len(unfinished) > 0 {
			t.Fatalf("%d jobs did not finish: %.300s", len(unfinished), unfinished[0])
		}
	})
}
