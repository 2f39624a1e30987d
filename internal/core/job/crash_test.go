package job

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/crash"
)

// crashingTasks makes the workers crash that start certain tasks, and checks how often these are
// started.
type crashingTasks struct {
	// crashAfter is the time from the start of a run to the crash, by task.
	crashAfter map[TaskName]time.Duration
	// downFor is the time for which a crashed worker is down. If replaced is set, another worker
	// then has its machine and address, otherwise a new incarnation.
	downFor  time.Duration
	replaced bool
	// crashes counts the crashes under each task, startsAfter the starts after the third one.
	crashes, startsAfter map[TaskName]int
	// crashedUnder counts the workers that crashed, for whatever reason, with a run of each task.
	crashedUnder map[TaskName]int
	replacements int
}

const (
	crashesUntilBudget = 3
	startsBeyondBudget = 3
)

// addCrashingTask lets a task crash the workers that start it.
func (sim *simulation) addCrashingTask(name TaskName, after time.Duration) {
	sim.countCrashes()
	sim.crashing.crashAfter[name] = after
}

// countCrashes counts the crashes from now on. Without it they count from the first crashing task on.
func (sim *simulation) countCrashes() {
	if sim.crashing == nil {
		sim.crashing = &crashingTasks{
			crashAfter: map[TaskName]time.Duration{}, downFor: 3300 * time.Millisecond,
			crashes: map[TaskName]int{}, startsAfter: map[TaskName]int{}, crashedUnder: map[TaskName]int{},
		}
	}
}

// noteCrashingStart counts the start of a run, and crashes the worker if the task is a crashing one.
func (sim *simulation) noteCrashingStart(wk *fakeWorker, name TaskName, r *fakeRun) {
	c := sim.crashing
	if c == nil {
		return
	}
	after, crashes := c.crashAfter[name]
	if !crashes {
		return
	}
	if c.crashes[name] >= crashesUntilBudget {
		c.startsAfter[name]++
		if c.startsAfter[name] == startsBeyondBudget {
			sim.addViolation("%s run %d: started %d times more after %d workers had crashed under it", name, r.run, startsBeyondBudget, c.crashes[name])
		}
	}
	sim.after(after, func() {
		if wk.runs[name] == r && wk.up {
			c.crashes[name]++
			sim.crashWorker(wk, c.downFor, c.replaced)
		}
	})
}

// crashWorker ends a worker and everything on it. It is back after a time.
func (sim *simulation) crashWorker(wk *fakeWorker, downFor time.Duration, replaced bool) {
	if sim.crashing != nil {
		for name := range wk.runs {
			sim.crashing.crashedUnder[name]++
		}
	}
	wk.up, wk.runs = false, map[TaskName]*fakeRun{}
	sim.after(downFor, func() {
		if wk.up || wk.gone {
			return
		}
		if replaced {
			sim.replaceWorker(wk)
			return
		}
		sim.restartWorker(wk)
	})
}

// crashDark ends a worker that refuses no connections while it is down. It is back under its ID after a time.
func (sim *simulation) crashDark(wk *fakeWorker, downFor time.Duration) {
	sim.crashWorker(wk, downFor, false)
	wk.dark, wk.downSince = true, sim.now
}

// replaceWorker starts another worker on the machine and at the address of one that is down.
func (sim *simulation) replaceWorker(old *fakeWorker) {
	old.gone = true
	sim.crashing.replacements++
	info := old.info
	info.ID = WorkerID(fmt.Sprintf("x%03d", sim.crashing.replacements))
	next := &fakeWorker{info: info}
	sim.workerIDs = append(sim.workerIDs, info.ID)
	sim.workers[info.ID] = next
	sim.restartWorker(next)
}

// failedJobs returns the accepted jobs that a node shows as failed.
func (sim *simulation) failedJobs() []ID {
	var failed []ID
	for _, id := range sim.jobIDs {
		if job := sim.nodes[0].state.ledger.Jobs[id]; job != nil && job.Phase == PhaseFailed {
			failed = append(failed, id)
		}
	}
	return failed
}

// usedUpAttempts reports whether a task or a gang of a job has failed as often as its queue allows. Long-running
// tasks have no limit of attempts.
func (sim *simulation) usedUpAttempts(id ID) bool {
	j := sim.jobs[id]
	for name, failures := range j.failedRuns {
		if !j.spec.Steps[name.Step].LongRunning && failures >= sim.attempts(j) {
			return true
		}
	}
	for _, runs := range j.failedGangs {
		if len(runs) >= sim.attempts(j) {
			return true
		}
	}
	return false
}

// checkFailedJobs reports the jobs that are shown as failed although none of their tasks failed too
// often or had two workers crash under it.
func (sim *simulation) checkFailedJobs() {
	for _, id := range sim.failedJobs() {
		cause := sim.usedUpAttempts(id)
		for name, crashes := range sim.crashing.crashedUnder {
			cause = cause || name.Job == id && crashes >= 2
		}
		if !cause {
			sim.addViolation("job %s is shown as failed without cause", id)
		}
	}
}

// TestTaskThatCrashesWorkersIsGivenUp guards against issue 34: lost runs did not count, and one
// task crashed worker after worker.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		for _, after := range []time.Duration{10 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprintf("replaced %v, after %v", replaced, after), func(t *testing.T) {
				g := gomega.NewWithT(t)
				sim := newSimulation(1, 3, 6, faults{})
				sim.pollsWait = true
				sim.run(3 * time.Second)
				spec := Spec{Payload: "x", Steps: []Step{{Count: 6, Need: Resources{CPU: 900, Memory: 256}, EstimateMS: 1500}}}
				id := sim.submit(spec)
				name := TaskName{Job: id, Index: 2}
				sim.addCrashingTask(name, after)
				sim.crashing.replaced = replaced
				sim.after(0, func() { sim.load(250*time.Millisecond, 20*time.Second) })
				sim.run(60 * time.Second)
				sim.report(t)
				g.Expect(sim.crashing.crashes[name]).To(gomega.BeNumerically(">=", 2))
				g.Expect(sim.failedJobs()).To(gomega.Equal([]ID{id}), "the other jobs can be done")
				g.Expect(sim.unfinished()).To(gomega.BeEmpty())
			})
		}
	}
}

// TestNextOwnerKnowsTheCrashes: the owner is killed after each crash, so that a count in its memory
// alone would start anew (second hypothesis of issue 34).
func TestNextOwnerKnowsTheCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(2, 4, 6, faults{})
	sim.run(3 * time.Second)
	id := sim.submit(Spec{Payload: "x", Steps: []Step{{Count: 4, Need: Resources{CPU: 900, Memory: 256}, EstimateMS: 800}}})
	name := TaskName{Job: id, Index: 1}
	sim.addCrashingTask(name, 10*time.Millisecond)
	sim.crashing.replaced = true
	for range 12 {
		before := sim.crashing.crashes[name]
		for waited := 0; sim.crashing.crashes[name] == before && waited < 100; waited++ {
			sim.run(100 * time.Millisecond)
		}
		for _, n := range sim.nodes {
			if n.up && n.state.Owning() {
				n.kill()
				sim.after(2*time.Second, n.start)
			}
		}
	}
	sim.run(30 * time.Second)
	sim.report(t)
	g.Expect(sim.crashing.crashes[name]).To(gomega.BeNumerically(">=", 2))
	g.Expect(sim.failedJobs()).To(gomega.Equal([]ID{id}))
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestRandomCrashes simulates random fault schedules with tasks that crash the workers that start
// them, while workers also crash for other reasons, and owners change.
func TestRandomCrashes(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulateCrashes(t, seed, plainOrders) })
}

// TestRandomCrashesWithHeldOrders is TestRandomCrashes with orders that connections hold until a worker is back.
func TestRandomCrashesWithHeldOrders(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulateCrashes(t, seed, holdOrders) })
}

// TestRandomCrashesWithStrayOrders adds late orders that reach workers which have restarted since.
func TestRandomCrashesWithStrayOrders(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { simulateCrashes(t, seed, strayOrders) })
}

// TestCrashesThatNoOwnerConfirms: the owner changes between a crash and its confirmation, and the crashing
// run has settled each time, so that the task had no trial before its sixth start (seed 2655).
func TestCrashesThatNoOwnerConfirms(t *testing.T) {
	simulateCrashes(t, 2655, plainOrders)
}

// TestUnexplainedLossesLeadToTrial: workers that go silent for good with a task fail no job by
// themselves, but the task's next run is a trial, also for the next owner.
func TestUnexplainedLossesLeadToTrial(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(4)
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	tasks := j.occurrences.live[0].steps[0].tasks
	for i := range 3 {
		w := o.workers[o.workerIDs[i]]
		for _, task := range tasks {
			startOn(o, task, w)
		}
		o.s.now = o.s.now.Add(5 * time.Second)
		w.lastHeardAt = o.s.now
		o.loseRuns(w, w.tasks, lossLeaseExpired)
	}
	g.Expect(j.terminalPhase).To(gomega.BeZero())
	g.Expect(counts(tasks[0])).To(gomega.Equal(crash.Record{Unexplained: 3}))
	g.Expect(tasks[0].crash.Trial()).To(gomega.Equal(crash.RunTrial))
	next := fleetOf(1)
	again := addTestJob(next, 1, j.acceptance.Spec.Steps...)
	for _, row := range j.taskRows() {
		next.restoreTasks(again, row)
	}
	restored := again.occurrences.live[0].steps[0].tasks[0]
	g.Expect(counts(restored)).To(gomega.Equal(counts(tasks[0])))
	g.Expect(restored.crash.LogRatio).To(gomega.BeNumerically("~", tasks[0].crash.LogRatio, 0.01))
}

func simulateCrashes(t *testing.T, seed uint64, c connections) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	sim := newSimulation(seed, 3+rng.IntN(3), 6, faults{
		loseAppend: rng.Float64() * 0.05, loseOrder: rng.Float64() * 0.05, lateOrder: rng.Float64() * 0.03, failTask: rng.Float64() * 0.05,
	})
	sim.pollsWait, sim.connections = true, c
	if *printLines {
		sim.trace = func(line string) { t.Log(line) }
	}
	sim.countCrashes()
	sim.run(3 * time.Second)
	sim.after(0, func() { sim.load(200*time.Millisecond, 25*time.Second) })
	for range 1 + rng.IntN(5) {
		sim.after(time.Duration(rng.Int64N(int64(15*time.Second))), func() {
			spec := randomSpec(sim)
			name := TaskName{Job: sim.submit(spec), Index: rng.IntN(spec.Steps[0].Count)}
			sim.addCrashingTask(name, time.Duration(rng.Int64N(int64(spec.Steps[0].EstimateMS)))*time.Millisecond)
			sim.crashing.replaced = rng.IntN(2) == 0
		})
	}
	sim.scheduleFaults(rng.IntN(6))
	sim.run(30 * time.Second)
	sim.clearFaults()
	sim.run(120 * time.Second)
	sim.checkFailedJobs()
	sim.report(t)
	for name := range sim.crashing.crashAfter {
		cancelled := sim.nodes[0].state.ledger.Jobs[name.Job] != nil && sim.nodes[0].state.ledger.Jobs[name.Job].Cancelled
		if sim.jobs[name.Job].accepted && !cancelled && !slices.Contains(sim.failedJobs(), name.Job) {
			t.Errorf("job %s crashed %d workers and is not shown as failed", name.Job, sim.crashing.crashes[name])
		}
	}
	if unfinished := sim.unfinished(); len(unfinished) > 0 {
		t.Errorf("%d jobs did not finish: %s", len(unfinished), unfinished[0])
	}
}

// startOn starts the next run of a task on a worker, which confirms it.
func startOn(o *owner, t *task, w *worker) {
	o.assign(t, w)
	o.sendStart(t, t.lastRun)
	o.handleStartAnswered(StartAnswered{Worker: w.info.ID, Task: t.name(), Run: t.lastRun, Outcome: OK})
}

// respond delivers a worker's response to a poll, and to the next one as well if the owner has to raise
// the fence first.
func respond(o *owner, w *worker, e Polled) {
	o.readOffset = int64(w.fence) + 1
	w.pollInFlight = true
	o.handlePolled(e)
	if !w.fenced {
		o.handlePolled(e)
	}
}

// counts returns the numbers of crashes that are held against a task.
func counts(t *task) crash.Record {
	r := t.crash
	r.LogRatio = 0
	return r
}

// TestOnlyUnplannedLossesCount: a run that is lost to a drain, an order to the machine or a cut
// network is no sign against its task.
func TestOnlyUnplannedLossesCount(t *testing.T) {
	lose := func(cause lossCause, change func(*owner, *worker)) crash.Record {
		o := fleetOf(2)
		o.s.now = o.s.now.Add(time.Minute)
		j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
		task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
		startOn(o, task, w)
		change(o, w)
		o.loseRuns(w, w.tasks, cause)
		if suspected := task.crash.Suspected > 0; suspected != (task.crash.LogRatio > 0) {
			t.Errorf("%v: evidence %v after %d suspected crashes", cause, task.crash.LogRatio, task.crash.Suspected)
		}
		return counts(task)
	}
	nothing := func(*owner, *worker) {}
	order := func(age time.Duration) func(*owner, *worker) {
		return func(o *owner, w *worker) {
			o.s.ledger.lastOrders[w.info.Machine] = lastOrder{readAt: o.s.now.Add(-age)}
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(lose(lossWorkerReplaced, nothing)).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}))
	g.Expect(lose(lossWorkerRestarted, nothing)).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}))
	g.Expect(lose(lossLeaseExpired, nothing)).To(gomega.Equal(crash.Record{Suspected: 1, Unexplained: 1}))
	g.Expect(lose(lossUnlisted, nothing)).To(gomega.BeZero())
	g.Expect(lose(lossMachineOrdered, nothing)).To(gomega.BeZero())
	g.Expect(lose(lossWorkerReplaced, func(_ *owner, w *worker) { w.info.Draining = true })).To(gomega.BeZero())
	g.Expect(lose(lossWorkerReplaced, order(0))).To(gomega.BeZero(), "the machine was ordered after the start")
	g.Expect(lose(lossWorkerReplaced, func(o *owner, w *worker) {
		order(0)(o, w)
		w.silentSince = o.s.now.Add(-3 * time.Second)
	})).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}), "the order was for the machine's next worker")
	g.Expect(lose(lossWorkerReplaced, func(o *owner, w *worker) {
		w.info.Incarnation, w.lastStartAt = o.s.wall-1000, 0
		o.s.ledger.lastOrders[w.info.Machine] = lastOrder{readAt: o.s.now, writtenAt: o.s.wall - 5000}
	})).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}), "read late, the order had brought the machine")
	g.Expect(lose(lossWorkerReplaced, order(time.Second))).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}), "the order had brought the machine")
}

// TestLaterIncarnationConfirmsCrash: a worker that is silent until its lease has expired may be cut
// off; another worker on its machine shows that it has crashed.
func TestLaterIncarnationConfirmsCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	startOn(o, task, w)
	o.loseRuns(w, w.tasks, lossLeaseExpired)
	o.updateWorker(w.info)
	g.Expect(counts(task)).To(gomega.Equal(crash.Record{Suspected: 1, Unexplained: 1}), "the same incarnation is back")
	next := w.info
	next.ID, next.Incarnation = "w0009", w.info.Incarnation+1
	o.updateWorker(next)
	g.Expect(counts(task)).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}))
	g.Expect(task.crash.LogRatio).To(gomega.BeNumerically(">", 0))
	o.updateWorker(next)
	g.Expect(task.crash.Crashes).To(gomega.Equal(1))
}

// TestRestartInPlaceIsAttributedToTheNewestRun guards against a response of the next incarnation that
// counted as a sign of life while the new run was there: nothing was suspected.
func TestRestartInPlaceIsAttributedToTheNewestRun(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 5000})
	tasks, w := j.occurrences.live[0].steps[0].tasks, o.workers["w0000"]
	poll := func(incarnation Millis, running ...RunReport) {
		respond(o, w, Polled{Worker: w.info.ID, Outcome: OK, Incarnation: incarnation, Running: running, SentAt: o.s.now, ReceivedAt: o.s.now})
	}
	start := func(task *task) {
		startOn(o, task, w)
		o.s.now = o.s.now.Add(time.Millisecond)
	}
	start(tasks[0])
	o.s.now = o.s.now.Add(2 * time.Second)
	poll(1, RunReport{Task: tasks[0].name(), Run: 1})
	start(tasks[1])
	w.pollInFlight = true
	o.handlePolled(Polled{Worker: w.info.ID, Outcome: Unknown})
	o.s.now = o.s.now.Add(3 * time.Second)
	poll(2)
	g.Expect(tasks[0].crash).To(gomega.Equal(crash.Record{Crashes: 1}))
	g.Expect(counts(tasks[1])).To(gomega.Equal(crash.Record{Crashes: 1, Suspected: 1}))
	g.Expect(tasks[1].crash.LogRatio).To(gomega.BeNumerically(">", 0))
}
