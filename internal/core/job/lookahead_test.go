package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// fleetOf returns an active owner of n workers with 8 cores and 16 GiB each in pool p. Jobs
// of queue q have an objective of 1.6 times their run time plus 600 ms.
func fleetOf(n int) *owner {
	s := New(Identity{Node: "a", Incarnation: 1}, Settings{MaxLease: 6 * time.Second})
	s.now, s.wall = vocab.Instant(time.Hour), 3_600_000
	s.config = &Config{
		Version: 1, Pools: []Pool{{Name: "p"}, {Name: "other"}},
		Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond}},
		Teams:  []Team{{Name: "t", Weight: 1000}},
	}
	s.config.Index()
	o := newOwner(s, 5)
	s.owner, o.stage, o.ordersUntil, o.workersKnown = o, stageActive, s.now.Add(time.Hour), true
	for i := range n {
		w := o.worker(WorkerID(fmt.Sprintf("w%04d", i)))
		w.info = WorkerInfo{ID: w.info.ID, Machine: MachineID(w.info.ID), Pool: "p", Address: "a", Capacity: Resources{CPU: 8000, Memory: 16000}, Incarnation: 1}
		w.listed, w.fenced = true, true
	}
	return o
}

// addTestJob adds a job to an owner without an append.
func addTestJob(o *owner, id int, steps ...Step) *activeJob {
	j := newJob(o, ID(fmt.Sprintf("%016x", id)), steps...)
	o.jobs[j.record.ID], o.jobOrder = j, append(o.jobOrder, j)
	return j
}

// advance moves the clocks of an owner and completes the tasks whose run time is over.
func advance(o *owner, d time.Duration) {
	o.s.now, o.s.wall = o.s.now.Add(d), o.s.wall+Millis(d.Milliseconds())
	for _, id := range o.workerIDs {
		w := o.workers[id]
		for i := len(w.tasks) - 1; i >= 0; i-- {
			t := w.tasks[i]
			if t.startedAt == 0 {
				t.state, t.startedAt = runRunning, o.s.now.Add(-d)
			}
			if o.s.now.Sub(t.startedAt) >= time.Duration(t.step.spec.EstimateMS)*time.Millisecond {
				o.completeTask(t)
			}
		}
	}
	o.plan()
}

func firstTask(j *activeJob) *task { return j.occurrences.live[0].steps[0].tasks[0] }

// TestShortSlackIsServedFirst replays two kinds on one pool: eight small jobs of five seconds
// with three seconds of slack took the whole pool, since their value per work is higher, and
// a wide short one with one second of slack was late.
func TestShortSlackIsServedFirst(t *testing.T) {
	for _, on := range []bool{true, false} {
		g := gomega.NewWithT(t)
		o := fleetOf(1)
		o.policy.shortSlackFirst = on
		var long []*activeJob
		for i := range 8 {
			long = append(long, addTestJob(o, i, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 100}, EstimateMS: 5000}))
		}
		short := addTestJob(o, 9, Step{Count: 8, Need: Resources{CPU: 1000, Memory: 100}, EstimateMS: 900})
		o.plan()
		advance(o, 900*time.Millisecond)
		if !on {
			advance(o, 500*time.Millisecond)
			g.Expect(short.assignedTasks).To(gomega.BeZero())
			g.Expect(o.timesOf(short).slack()).To(gomega.BeNumerically("<", 0))
			continue
		}
		g.Expect(short.isComplete()).To(gomega.BeTrue())
		for _, j := range long {
			g.Expect(j.assignedTasks).To(gomega.Equal(1))
			g.Expect(o.timesOf(j).slack()).To(gomega.BeNumerically(">", 0), "what waited is on time as well")
		}
	}
}

// TestLongSlackAsksForFewerMachines: a wide step that is due much later asks for the machines
// that it needs to be on time, if other pools wait for machines, and for all of them once its
// slack is short.
func TestLongSlackAsksForFewerMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 32, Need: Resources{CPU: 4000, Memory: 100}, EstimateMS: 16000})
	st := j.occurrences.live[0].steps[0]
	g.Expect(o.tasksWantedNow(st)).To(gomega.Equal(32), "nobody else waits")
	o.waitingPools = map[vocab.PoolID]bool{"other": true}
	wanted := o.tasksWantedNow(st)
	g.Expect(wanted).To(gomega.BeNumerically("<=", 28))
	g.Expect(wanted).To(gomega.BeNumerically(">=", 20), "twice the slack does not take half of the machines")
	o.policy.pacing = false
	g.Expect(o.tasksWantedNow(st)).To(gomega.Equal(32))
	o.policy.pacing = true
	o.s.now, o.s.wall = o.s.now.Add(9*time.Second), o.s.wall+9000
	g.Expect(o.tasksWantedNow(st)).To(gomega.Equal(32), "the slack is short")
}

// TestOverdueJobsAskForNoMachines: the backlog of a turn that is over kept machines from the
// next one, though its jobs had no value any more. They run on what the pool has, and ask for
// machines again once they starve.
func TestOverdueJobsAskForNoMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 8, Need: Resources{CPU: 4000, Memory: 100}, EstimateMS: 1000})
	st := j.occurrences.live[0].steps[0]
	o.waitingPools = map[vocab.PoolID]bool{"other": true}
	j.acceptance.At -= 7000
	g.Expect(o.tasksWantedNow(st)).To(gomega.BeZero())
	o.plan()
	g.Expect(st.assigned).To(gomega.Equal(2), "idle room is used at once")
	o.s.now, o.s.wall = o.s.now.Add(starvationBound), o.s.wall+Millis(starvationBound.Milliseconds())
	o.waitingPools = map[vocab.PoolID]bool{"other": true}
	g.Expect(o.tasksWantedNow(st)).To(gomega.Equal(6))
}

// TestOverduePoolsDoNotHoldBackEachOther: overdue jobs of two pools ask for machines in each
// pass, since nobody with value waits.
func TestOverduePoolsDoNotHoldBackEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(0)
	o.s.config.Queues = append(o.s.config.Queues, Queue{Name: "r", Pool: "other", Stretch: 1.6})
	o.s.config.Index()
	o.fleet.machineIDs = []MachineID{"m"}
	o.fleet.machines["m"] = &machine{info: MachineInfo{ID: "m", Capacity: Resources{CPU: 8000, Memory: 16000}}}
	for i := range 2 {
		j := addTestJob(o, i, Step{Count: 8, Need: Resources{CPU: 4000, Memory: 100}, EstimateMS: 1000})
		j.acceptance.Queue = []vocab.QueueID{"q", "r"}[i]
		j.acceptance.At -= 9000
	}
	for range 3 {
		o.plan()
		g.Expect(o.demand["p"].machinesNeeded()).To(gomega.BeNumerically(">=", 4))
		g.Expect(o.demand["other"].machinesNeeded()).To(gomega.BeNumerically(">=", 4))
		o.s.now++
	}
}

// TestLongTaskJoinsLongTasks: a long task goes where another one runs, also if a worker with
// short tasks is a little fuller, so that one of the two workers becomes empty.
func TestLongTaskJoinsLongTasks(t *testing.T) {
	for _, on := range []bool{true, false} {
		g := gomega.NewWithT(t)
		o := fleetOf(2)
		o.policy.alignedEnds = on
		old := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 2000, Memory: 100}, EstimateMS: 4000}, Step{Count: 1, Need: Resources{CPU: 2300, Memory: 100}, EstimateMS: 400})
		o.bind(firstTask(old), o.workers["w0001"], 1)
		o.bind(old.occurrences.live[0].steps[1].tasks[0], o.workers["w0000"], 1)
		long := addTestJob(o, 2, Step{Count: 1, Need: Resources{CPU: 1000, Memory: 100}, EstimateMS: 4000})
		o.plan()
		want := map[bool]WorkerID{true: "w0001", false: "w0000"}[on]
		g.Expect(firstTask(long).worker.info.ID).To(gomega.Equal(want))
	}
}

// TestOlderRunsAreExpectedToLastLonger: a run beyond its expected end is not about to end: in
// a queue whose run times differ much, it is likely to take long.
func TestOlderRunsAreExpectedToLastLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	for i := range 40 {
		o.estimates.observe("q", 1000, time.Duration(500+1500*(i%2))*time.Millisecond)
	}
	late := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 1000})
	firstTask(late).startedAt = o.s.now.Add(-2 * time.Second)
	g.Expect(o.expectedEnd(firstTask(late)).Sub(o.s.now)).To(gomega.BeNumerically(">", 400*time.Millisecond))
	o.policy.learnedEnds = false
	g.Expect(o.expectedEnd(firstTask(late)).Sub(o.s.now)).To(gomega.Equal(minExpectedRest))
}

// largeServed replays a pool that small tasks keep full, with a step or a gang that needs a
// whole worker, and returns how long that one waited.
func largeServed(o *owner, large Step) time.Duration {
	const tick = 50 * time.Millisecond
	var j *activeJob
	for i := range 200 {
		if i == 20 {
			j = addTestJob(o, 1_000_000, large)
		}
		for k := range 4 {
			addTestJob(o, 4*i+k, Step{Count: 1, Need: Resources{CPU: 2000, Memory: 100}, EstimateMS: int64(300 + 100*((i+k)%3))})
		}
		advance(o, tick)
		if j != nil && j.assignedTasks > 0 {
			return time.Duration(i-20) * tick
		}
	}
	return never.Sub(0)
}

// TestLargeTasksGetADate: small tasks filled every gap, so that a task of a whole worker and
// a gang waited until they were late. With a date on a worker they start within about the run
// time of what is running.
func TestLargeTasksGetADate(t *testing.T) {
	gang := Step{Count: 2, Need: Resources{CPU: 5000, Memory: 100}, EstimateMS: 4000, Gang: true}
	single := Step{Count: 1, Need: Resources{CPU: 8000, Memory: 100}, EstimateMS: 4000}
	for _, large := range []Step{single, gang} {
		g := gomega.NewWithT(t)
		o := fleetOf(4)
		g.Expect(largeServed(o, large)).To(gomega.BeNumerically("<", 1200*time.Millisecond))
		without := fleetOf(4)
		without.policy.reservations = false
		g.Expect(largeServed(without, large)).To(gomega.BeNumerically(">", 2*time.Second))
	}
}

// TestReservationsEndWithTheirJob: a reservation holds no room once its job is cancelled or
// its worker leaves.
func TestReservationsEndWithTheirJob(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 2000, Memory: 100}, EstimateMS: 2000})
	o.plan()
	large := addTestJob(o, 2, Step{Count: 1, Need: Resources{CPU: 8000, Memory: 100}, EstimateMS: 3000})
	o.plan()
	g.Expect(o.reservations).To(gomega.HaveLen(1))
	d := o.s.Dump()
	g.Expect(d.Reservations[0].Workers).To(gomega.Equal([]WorkerID{"w0000"}))
	g.Expect(d.WaitingJobs).To(gomega.Equal([]WaitingJobDump{{Job: large.record.ID, Pool: "p", Class: "can wait", SlackMS: 2400, Reserved: true, WaitsFor: "room"}}))
	short := addTestJob(o, 3, Step{Count: 1, Need: Resources{CPU: 2000, Memory: 100}, EstimateMS: 500})
	long := addTestJob(o, 4, Step{Count: 1, Need: Resources{CPU: 2000, Memory: 100}, EstimateMS: 4000})
	o.plan()
	g.Expect(short.assignedTasks).To(gomega.Equal(1), "it ends before the date")
	g.Expect(long.assignedTasks).To(gomega.BeZero())
	large.terminalPhase = PhaseCancelled
	o.plan()
	g.Expect(o.reservations).To(gomega.BeEmpty())
	g.Expect(long.assignedTasks).To(gomega.Equal(1))
}

// TestNoJobStarves: an overdue job is served within starvationBound of having no value any
// more, also if jobs that can be on time fill the pool.
func TestNoJobStarves(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	step := Step{Count: 8, Need: Resources{CPU: 1000, Memory: 100}, EstimateMS: 1000}
	old := addTestJob(o, 1, step)
	old.acceptance.At -= Millis((10*time.Second + starvationBound).Milliseconds())
	older := o.timesOf(old)
	g.Expect(older.starves()).To(gomega.BeTrue())
	addTestJob(o, 2, step)
	o.plan()
	g.Expect(old.assignedTasks).To(gomega.Equal(8))
}

// TestRandomFaultsWithLargeTasks: reservations change no invariant, and neither they nor the
// workers that leave under them keep a job from its end.
func TestRandomFaultsWithLargeTasks(t *testing.T) {
	for i := range uint64(max(8, *seeds/10)) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(seed, 3, 5, faults{loseAppend: 0.05, loseOrder: 0.05, lateOrder: 0.03, failTask: 0.03})
			sim.run(3 * time.Second)
			sim.after(0, func() { sim.load(300*time.Millisecond, 20*time.Second) })
			for k := range 12 {
				large := Step{Count: 2, Need: Resources{CPU: int64(4000 + 500*(k%9)), Memory: 64}, EstimateMS: 700}
				sim.after(time.Duration(k)*1500*time.Millisecond, func() { sim.submit(Spec{Steps: []Step{large}}) })
			}
			sim.scheduleFaults(5)
			sim.run(30 * time.Second)
			sim.clearFaults()
			sim.run(90 * time.Second)
			sim.report(t)
			if unfinished := sim.unfinished(); len(unfinished) > 0 {
				t.Fatalf("%d jobs did not finish: %s", len(unfinished), unfinished[0])
			}
		})
	}
}
