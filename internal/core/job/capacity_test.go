package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// shrinkNotice is the time after which a smaller capacity counts: the platform's time for a node
// to be in touch and one interval between a worker's entries.
const shrinkNotice = 4500 * time.Millisecond

// countedCapacity is the capacity that no start may exceed.
func (wk *fakeWorker) countedCapacity(now vocab.Instant) Resources {
	if wk.shrunkAt != 0 && now.Sub(wk.shrunkAt) < shrinkNotice {
		return wk.shrunkFrom
	}
	return wk.info.Capacity
}

// shrink lets a worker have a fraction of its capacity for a time.
func (sim *simulation) shrink(wk *fakeWorker, percent int64, duration time.Duration) {
	if wk.shrunkAt != 0 {
		return
	}
	full := wk.info.Capacity
	wk.shrunkFrom, wk.shrunkAt = full, sim.now
	wk.info.Capacity = Resources{full.CPU * percent / 100, full.Memory * percent / 100, full.GPU}
	sim.after(duration, func() { wk.info.Capacity, wk.shrunkAt = full, 0 })
}

// TestStoppedRunsOfFailedJobKeepTheirRoom guards against a worker that is given more than it holds:
// a job was written as failed while its other runs were still being stopped, and the next owner
// knew nothing of their size.
func TestStoppedRunsOfFailedJobKeepTheirRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(3, 3, 1, faults{})
	sim.stopTime = 3 * time.Second
	sim.config.Queues[0].MaxAttempts, sim.config.Teams[0].Limit = 1, Resources{}
	sim.restartNodes()
	sim.run(3 * time.Second)
	failing := sim.submit(Spec{Payload: "x", Steps: []Step{
		{Count: 1, Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 500},
		{Count: 1, Need: Resources{CPU: 7000, Memory: 64}, EstimateMS: 5000},
	}})
	sim.run(300 * time.Millisecond)
	wk := sim.workers["w000"]
	g.Expect(wk.runs).To(gomega.HaveLen(2))
	for name, r := range wk.runs {
		r.fails = name.Step == 0
	}
	sim.submit(Spec{Payload: "x", Steps: []Step{{Count: 1, Need: Resources{CPU: 6000, Memory: 64}, EstimateMS: 300}}})
	for waited := 0; sim.stream.phaseOf(failing) != PhaseFailed && waited < 100; waited++ {
		sim.run(10 * time.Millisecond)
	}
	g.Expect(sim.stream.phaseOf(failing)).To(gomega.Equal(PhaseFailed))
	for _, n := range sim.nodes {
		if n.state.Owning() {
			n.post(n.incarnation, Stopping{})
		}
	}
	sim.run(30 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// phaseOf is the phase of a job as the stream has it.
func (s *fakeStream) phaseOf(id ID) Phase {
	at, found := s.newest[progressPrefix+string(id)]
	if !found || len(s.records[at].Value) == 0 {
		return 0
	}
	return Phase(s.records[at].Value[0])
}

// TestRandomCapacity simulates random fault schedules while workers that do not refuse what does
// not fit shrink and grow, stop their runs slowly, and jobs fail.
func TestRandomCapacity(t *testing.T) {
	forEachSeed(t, simulateCapacity)
}

func simulateCapacity(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := newSimulation(seed, 3+rng.IntN(3), 5, faults{
		loseAppend: rng.Float64() * 0.05, loseOrder: rng.Float64() * 0.05, failTask: 0.1 + rng.Float64()*0.2,
	})
	sim.pollsWait = true
	sim.stopTime = time.Duration(100+rng.IntN(800)) * time.Millisecond
	if *printLines {
		sim.trace = func(line string) { t.Log(line) }
	}
	sim.run(3 * time.Second)
	sim.after(0, func() { sim.load(150*time.Millisecond, 25*time.Second) })
	for range 1 + rng.IntN(6) {
		wk := sim.workers[sim.workerIDs[rng.IntN(len(sim.workerIDs))]]
		percent, duration := int64(10+rng.IntN(80)), 2*time.Second+time.Duration(rng.Int64N(int64(12*time.Second)))
		sim.after(time.Duration(rng.Int64N(int64(20*time.Second))), func() { sim.shrink(wk, percent, duration) })
	}
	sim.scheduleFaults(rng.IntN(6))
	sim.run(30 * time.Second)
	sim.clearFaults()
	sim.run(120 * time.Second)
	sim.report(t)
	if unfinished := sim.unfinished(); len(unfinished) > 0 {
		t.Errorf("%d jobs did not finish: %s", len(unfinished), unfinished[0])
	}
}

// TestOrphanOfUnknownSizeFillsItsWorker guards against starts beside a run of which nothing is known.
func TestOrphanOfUnknownSizeFillsItsWorker(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	w := o.workers["w0000"]
	o.stopOrphan(w, RunReport{Task: TaskName{Job: "00000000000000aa"}, Run: 1})
	g.Expect(w.free()).To(gomega.BeZero())
}

// TestStartIsNotSentToShrunkenWorker guards against a start that was planned before its worker shrank.
func TestStartIsNotSentToShrunkenWorker(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	o.assign(task, w)
	w.info.Capacity.CPU = 800
	o.sendStart(task, 1)
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(Start{})))
	g.Expect(task.worker).To(gomega.BeNil())
}

// TestNextOwnerCountsRunsOfFailedJob: the runs of a failed job that are still being stopped count
// towards their team's limit under the next owner too.
func TestNextOwnerCountsRunsOfFailedJob(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	tasks, w := j.occurrences.live[0].steps[0].tasks, o.workers["w0000"]
	for _, task := range tasks {
		o.assign(task, w)
		o.sendStart(task, 1)
	}
	o.release(tasks[0])
	o.finishJob(j, PhaseFailed)
	record := o.encodeJob(j)[0]

	next := fleetOf(1)
	next.s.ledger.job(j.record.ID).Acceptance = j.acceptance
	_, err := next.s.ledger.fold(next.s.now, record)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next.resumeStopping(next.s.ledger.Jobs[j.record.ID])
	g.Expect(next.teamUsage["t"]).To(gomega.Equal(Resources{CPU: 900, Memory: 900}))
	g.Expect(next.workers["w0000"].used).To(gomega.Equal(Resources{CPU: 900, Memory: 900}))
	g.Expect(next.s.effects).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(Stop{})))
	stopped := next.jobs[j.record.ID].findTask(tasks[1].name())
	next.release(stopped)
	g.Expect(next.jobs).To(gomega.BeEmpty())
	g.Expect(next.extraRecords).To(gomega.ContainElement(Record{Key: record.Key, Value: []byte{byte(PhaseFailed)}}))
}
