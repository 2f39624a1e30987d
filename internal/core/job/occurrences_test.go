package job

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/onsi/gomega"
)

// heapBytes returns the size of the live heap, in bytes.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// manyOccurrences is a recurring job whose occurrences are all due.
func manyOccurrences(occurrences, tasks int) Spec {
	return Spec{
		Payload: "x", Steps: []Step{{Count: tasks, Need: Resources{CPU: 800, Memory: 64}, EstimateMS: 800}},
		Occurrences: occurrences, FirstAt: 1, IntervalMS: 1,
	}
}

// TestManyDueOccurrencesDoNotStopOthers guards against review case 7 (LOST): an owner built all tasks of all due
// occurrences of a job, exceeded its memory, as each next one did, and the jobs of other teams did not start.
func TestManyDueOccurrencesDoNotStopOthers(t *testing.T) {
	for _, c := range []struct {
		name                     string
		jobs, occurrences, tasks int
	}{{"one job", 1, 1000, 1000}, {"the largest job", 1, 2000, 2000}, {"a hundred jobs", 100, 100, 1000}} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(3, 2, 4, faults{})
			sim.config.Teams = append(sim.config.Teams, Team{Name: "t2", Keys: []string{"k2"}, Weight: 10})
			sim.config.Teams[0].Limit = Resources{CPU: 16000}
			sim.restartNodes()
			sim.run(3 * time.Second)
			before := heapBytes()
			for range c.jobs {
				sim.submit(manyOccurrences(c.occurrences, c.tasks))
			}
			sim.run(time.Second)
			checkOther := func(at string) {
				id := sim.addJob(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: 100}}})
				sim.calls++
				n := sim.owningNode()
				n.post(n.incarnation, Submit{Call: sim.calls, ID: id, Host: "h", Path: "/q/" + string(id), Key: "k2", Spec: sim.jobs[id].spec})
				sim.jobs[id].accepted = true
				sim.run(time.Second)
				g.Expect(sim.jobs[id].completed).To(gomega.HaveLen(1), "the other team's job, "+at)
			}
			checkOther("beside the backlog")
			g.Expect(heapBytes()-before).To(gomega.BeNumerically("<", 90<<20), "bytes")
			sim.owningNode().kill()
			sim.run(6 * time.Second)
			checkOther("after a takeover")
			sim.cancel(sim.jobIDs[0])
			sim.run(4 * time.Second)
			for name := range sim.jobs[sim.jobIDs[0]].completed {
				g.Expect(name.Occurrence).To(gomega.BeNumerically("<", 20), "the oldest occurrences run first")
			}
			sim.report(t)
		})
	}
}

// TestWaitingOccurrencesCompleteOverTakeovers checks that all occurrences run once although only a part of them is live at
// a time, and that a next owner continues where the last one was.
func TestWaitingOccurrencesCompleteOverTakeovers(t *testing.T) {
	g := gomega.NewWithT(t)
	const occurrences, tasks = 30, 200
	sim := newSimulation(5, 3, 4, faults{})
	sim.settings.MaxLiveTasks = 400
	sim.restartNodes()
	sim.run(6 * time.Second)
	spec := manyOccurrences(occurrences, tasks)
	spec.Steps[0].Need, spec.Steps[0].EstimateMS = Resources{CPU: 40, Memory: 1}, 200
	spec.Steps = append(spec.Steps, Step{Count: 1, Need: Resources{CPU: 40, Memory: 1}, EstimateMS: 100, After: []int{0}})
	id := sim.submit(spec)
	for range 3 {
		sim.run(1200 * time.Millisecond)
		n := sim.owningNode()
		if n == nil {
			continue
		}
		j := n.state.owner.jobs[id]
		g.Expect(j.liveTasks()).To(gomega.BeNumerically("<=", tasks+1))
		g.Expect(j.occurrences.waiting()).NotTo(gomega.BeZero())
		n.kill()
		sim.run(3 * time.Second)
		n.start()
	}
	sim.run(40 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(sim.jobs[id].completed).To(gomega.HaveLen(occurrences * (tasks + 1)))
}

// TestRecordWithRowsOfLateOccurrences restores a record of an earlier version, which had all occurrences in memory.
func TestRecordWithRowsOfLateOccurrences(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	spec := manyOccurrences(1000, 1000)
	record, err := encodeProgress("00000000000000aa", PhaseRunning, []taskRow{
		{Occurrence: 0, StepCompleted: true},
		{Occurrence: 900, StepCompleted: true},
		{Occurrence: 901, Index: 7, Completed: true},
		{Occurrence: 901, Index: 8, Run: 2, Worker: "i-0123456789", Incarnation: 1_700_000_000_000},
		{Occurrence: 950, Index: 9, Run: 1, Failed: 1},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	o.s.wall = 1_000_000
	j := o.addJob(&JobRecord{
		ID: "00000000000000aa", Phase: PhaseRunning, Acceptance: &Acceptance{Queue: "q", Pool: "p", Team: "t", Spec: spec}, progress: record.Value[1:],
	})
	g.Expect(j.findOccurrence(0)).To(gomega.BeNil())
	g.Expect(j.findOccurrence(900)).To(gomega.BeNil())
	g.Expect(j.findOccurrence(901).steps[0].completed).To(gomega.Equal(1))
	g.Expect(j.findTask(TaskName{j.record.ID, 901, 0, 8}).worker).NotTo(gomega.BeNil())
	g.Expect(j.findTask(TaskName{j.record.ID, 950, 0, 9}).failures).To(gomega.Equal(1))
	g.Expect(j.findOccurrence(1)).NotTo(gomega.BeNil(), "the oldest one that is not completed")
	g.Expect(j.occurrences.waiting()).To(gomega.Equal(1000 - 2 - len(j.occurrences.live)))
	g.Expect(o.liveTasks).To(gomega.Equal(j.liveTasks()))
	rows := j.taskRows()
	for _, row := range []taskRow{{Occurrence: 0, StepCompleted: true}, {Occurrence: 900, StepCompleted: true}, {Occurrence: 901, Index: 7, Completed: true}} {
		g.Expect(rows).To(gomega.ContainElement(row))
	}
	g.Expect(j.isComplete()).To(gomega.BeFalse())
}

// TestWaitingOccurrencesCountAsWork checks that estimates do not depend on how many occurrences are live.
func TestWaitingOccurrencesCountAsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	steps := []Step{{Count: 40, Need: Resources{CPU: 500}, EstimateMS: 300}, {Count: 60, Need: Resources{CPU: 250}, EstimateMS: 700, After: []int{0}}}
	estimates := func(limit int) []any {
		o := fleetOf(4)
		o.s.settings.MaxLiveTasks, o.s.wall = limit, 10_000_000
		j := o.addJob(&JobRecord{ID: "00000000000000aa", Phase: PhaseQueued, Acceptance: &Acceptance{
			Queue: "q", Pool: "p", Team: "t", At: o.s.wall, Spec: Spec{Steps: steps, Occurrences: 50, FirstAt: 1, IntervalMS: 1},
		}})
		for _, task := range j.occurrences.live[0].steps[0].tasks {
			o.completeTask(task)
		}
		for _, task := range j.occurrences.live[0].steps[1].tasks {
			o.completeTask(task)
		}
		o.updateOccurrences()
		g.Expect(j.occurrences.waiting() > 0).To(gomega.Equal(limit == 1))
		total, remaining, path := o.workAmounts(j)
		return []any{int(total*1000 + 0.5), int(remaining*1000 + 0.5), path, o.criticalPath(j), int(o.readyWork(j)*1000 + 0.5), j.isComplete()}
	}
	g.Expect(estimates(1)).To(gomega.Equal(estimates(1_000_000)))
}

// TestCancelledJobHasNoLiveTasks guards against a next owner that builds the tasks of a cancelled job.
func TestCancelledJobHasNoLiveTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(4)
	job := &JobRecord{ID: "00000000000000aa", Phase: PhaseQueued, Cancelled: true, Acceptance: &Acceptance{Queue: "q", Pool: "p", Team: "t", Spec: manyOccurrences(1000, 1000)}}
	o.jobChanged(job)
	g.Expect(o.jobs[job.ID].terminalPhase).To(gomega.Equal(PhaseCancelled))
	g.Expect(o.jobs[job.ID].occurrences.live).To(gomega.BeEmpty())
	single := &JobRecord{ID: "00000000000000ab", Phase: PhaseQueued, Cancelled: true, Acceptance: &Acceptance{Queue: "q", Pool: "p", Team: "t", Spec: shortTasks(3)}}
	o.jobChanged(single)
	g.Expect(o.jobs[single.ID].terminalPhase).To(gomega.Equal(PhaseCancelled))
}

// TestJobsBeyondMemoryAreRefused: a node refuses a job if the jobs on the stream have as many tasks as an owner has
// memory for, until some of them have finished.
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(3, 2, 4, faults{})
	sim.settings.MaxLiveTasks = 250 // Of 500 tasks, a team may have half.
	sim.config.Teams = append(sim.config.Teams, Team{Name: "t2", Keys: []string{"k2"}, Weight: 10})
	sim.restartNodes()
	sim.run(6 * time.Second)
	large := Spec{Steps: []Step{{Count: 120, Need: Resources{CPU: 10, Memory: 1}, EstimateMS: 20_000}}}
	submit := func(n *node, key string) Answer {
		id := sim.addJob(large)
		reply, answered := sim.callNode(n, 2*time.Second, Request{Kind: RequestSubmit, ID: id, Host: "h", Path: "/q/" + string(id), Key: key, Spec: large})
		g.Expect(answered).To(gomega.BeTrue())
		sim.jobs[id].accepted, sim.jobs[id].rejected = reply.Answer == Accepted, reply.Answer != Accepted
		if reply.Answer == Refused {
			g.Expect(reply.RetryAfter).NotTo(gomega.BeZero())
		}
		return reply.Answer
	}
	g.Expect([]Answer{submit(sim.nodes[0], "k"), submit(sim.nodes[0], "k")}).To(gomega.Equal([]Answer{Accepted, Accepted}))
	g.Expect([]Answer{submit(sim.nodes[0], "k"), submit(sim.nodes[1], "k")}).To(gomega.Equal([]Answer{Refused, Refused}))
	g.Expect([]Answer{submit(sim.nodes[0], "k2"), submit(sim.nodes[1], "k2")}).To(gomega.Equal([]Answer{Accepted, Refused}))
	sim.run(30 * time.Second)
	g.Expect(submit(sim.nodes[1], "k")).To(gomega.Equal(Accepted))
	sim.run(20 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestTaskBytes checks the memory that is expected of a live task: the task and the pointer to it.
func TestTaskBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(int(unsafe.Sizeof(task{}) + unsafe.Sizeof(&task{}))).To(gomega.BeNumerically("<=", TaskBytes))
}

// TestRandomOccurrences submits recurring jobs of which only a part is live at a time, under random faults.
func TestRandomOccurrences(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 22))
		sim := newSimulation(seed, 3, 4, faults{loseAppend: rng.Float64() * 0.05, loseOrder: rng.Float64() * 0.03, failTask: rng.Float64() * 0.02})
		sim.pollsWait, sim.settings.MaxLiveTasks = true, 2500+rng.IntN(4000)
		sim.restartNodes()
		sim.run(3 * time.Second)
		for range 1 + rng.IntN(2) {
			sim.submit(Spec{
				Steps: []Step{
					{Count: 1 + rng.IntN(60), Need: Resources{CPU: 40, Memory: 1}, EstimateMS: 50 + int64(rng.IntN(300))},
					{Count: 300 + rng.IntN(300), Need: Resources{CPU: 40, Memory: 1}, EstimateMS: 50 + int64(rng.IntN(200)), After: []int{0}},
				},
				Occurrences: 6 + rng.IntN(4), FirstAt: sim.wall() + Millis(rng.IntN(2000)), IntervalMS: int64(rng.IntN(300)),
			})
		}
		sim.after(0, func() { sim.load(400*time.Millisecond, 15*time.Second) })
		sim.scheduleFaults(1 + rng.IntN(4))
		sim.run(30 * time.Second)
		sim.clearFaults()
		sim.run(90 * time.Second)
		sim.report(t)
		if unfinished := sim.unfinished(); len(unfinished) > 0 {
			t.Fatalf("%d jobs did not finish: %.300s", len(unfinished), unfinished[0])
		}
	})
}

// BenchmarkPlanDueOccurrences measures one placement pass beside a backlog of due tasks that cannot be placed, and
// the memory that the backlog takes.
func BenchmarkPlanDueOccurrences(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000, 1_000_000, 10_000_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			before := heapBytes()
			o := fleetOf(50)
			o.s.config.Teams[0].Limit = Resources{CPU: 1}
			for i := 0; i < tasks; i += 1_000_000 {
				o.addJob(&JobRecord{ID: ID(fmt.Sprintf("%016x", i)), Phase: PhaseQueued, Acceptance: &Acceptance{
					Queue: "q", Pool: "p", Team: "t", Spec: manyOccurrences(min(tasks-i, 1_000_000)/1000, 1000),
				}})
			}
			o.updateOccurrences()
			megabytes := float64(heapBytes()-before) / (1 << 20)
			b.ResetTimer()
			for range b.N {
				o.plan()
			}
			b.ReportMetric(megabytes, "MB")
			b.ReportMetric(float64(o.liveTasks), "live")
			runtime.KeepAlive(o)
		})
	}
}
