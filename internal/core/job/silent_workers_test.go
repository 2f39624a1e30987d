package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// silentWorkerSim runs a job of one long-running task, silences its worker, and returns the
// worker after it has been silent for a duration.
func silentWorkerSim(t *testing.T, silentFor time.Duration) (*simulation, *fakeWorker) {
	t.Helper()
	g := gomega.NewWithT(t)
	sim := newSimulation(80, 4, 4, faults{})
	sim.run(3 * time.Second)
	sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 600_000, LongRunning: true}}})
	sim.run(2 * time.Second)
	g.Expect(sim.starts).To(gomega.Equal(1))
	var host *fakeWorker
	for _, wk := range sim.workers {
		if len(wk.runs) > 0 {
			host = wk
		}
	}
	host.unreachable = true
	sim.run(silentFor)
	return sim, host
}

// TestLeaseOfSilentWorkerIsKnownToTheNextOwner guards against tasks that were away for twice
// as long as a lease: each change of owner started the wait for a silent worker anew
// (incidents inc-97dd and inc-e0d3).
func TestLeaseOfSilentWorkerIsKnownToTheNextOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, _ := silentWorkerSim(t, 4*time.Second)
	for _, n := range sim.nodes {
		if n.state.Owning() {
			n.kill()
		}
	}
	sim.run(4 * time.Second)
	g.Expect(sim.countOwners()).To(gomega.Equal(1))
	g.Expect(sim.starts).To(gomega.Equal(2), "started again 8 s after the worker went silent")
	sim.run(20 * time.Second)
	sim.report(t)
}

// TestWorkerThatRespondsAgainKeepsItsTask: the lease is extended again once the stream no
// longer says that it is not, by this owner and by the next.
func TestWorkerThatRespondsAgainKeepsItsTask(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, host := silentWorkerSim(t, 2500*time.Millisecond)
	host.unreachable = false
	sim.run(20 * time.Second)
	g.Expect(sim.starts).To(gomega.Equal(1))
	g.Expect(host.runs).To(gomega.HaveLen(1))
	for _, n := range sim.nodes {
		g.Expect(n.state.ledger.silent).To(gomega.BeEmpty())
		if n.state.Owning() {
			n.kill()
		}
	}
	sim.run(20 * time.Second)
	g.Expect(sim.starts).To(gomega.Equal(1))
	g.Expect(host.runs).To(gomega.HaveLen(1))
	sim.report(t)
}

// TestUnreachableIdleWorkerIsPolledAgain: the ends of a worker's last tasks were written
// while the worker was unreachable already. Its retry was cancelled with the write, and an
// idle worker never became usable again (TestRandomFaults, seed 264: three of five workers).
func TestUnreachableIdleWorkerIsPolledAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	w := o.workers["w0000"]
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 500})
	o.assign(firstTask(j), w)
	firstTask(j).state = runRunning
	o.processEnds(w, []EndReport{{Number: 1, Task: firstTask(j).name(), Run: 1, End: EndCompleted}})
	o.flush()
	for range unreachableAfterPolls {
		w.pollInFlight = true
		o.handlePolled(Polled{Worker: w.info.ID, Outcome: NotDone})
	}
	o.handleAppended(Appended{ID: o.pendingAppend.id, Outcome: OK, SentAt: o.s.now})
	g.Expect(w.ackedEnd).To(gomega.BeEquivalentTo(1))
	g.Expect(w.nextPollAt).To(gomega.BeNumerically("<", o.s.now.Add(10*time.Second)))
}

// TestCrashBeforeTheTakeoverIsAttributed guards against crashes that no owner counted: a worker
// crashes and leaves the list of workers, its owner is replaced, and the next one does not know on
// which machine the worker was, so that no later incarnation confirms the crash. A task that crashes
// its workers was started six times and more. Found in TestRandomCrashes, seeds 3937 and 4301.
func TestCrashBeforeTheTakeoverIsAttributed(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, host := silentWorkerSim(t, 3300*time.Millisecond)
	host.up = false
	for _, n := range sim.nodes {
		if n.state.Owning() {
			n.kill()
		}
	}
	sim.run(1500 * time.Millisecond)
	var next *owner
	for _, n := range sim.nodes {
		if n.up && n.state.Owning() {
			next = n.state.owner
		}
	}
	g.Expect(next).NotTo(gomega.BeNil())
	w := next.workers[host.info.ID]
	g.Expect(w).NotTo(gomega.BeNil())
	g.Expect(w.listed).To(gomega.BeFalse())
	g.Expect(w.info.host()).To(gomega.Equal(host.info.host()))
	task := w.tasks[0]
	sim.run(5 * time.Second)
	later := host.info
	later.ID, later.Incarnation = "w999", later.Incarnation+1
	next.updateWorker(later)
	g.Expect(task.crash.Crashes + task.crash.Possible).To(gomega.Equal(1))
}

// TestSilentRecordsOfEarlierVersions: they hold the time alone.
func TestSilentRecordsOfEarlierVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger()
	g.Expect(l.foldSilent(5, "w", []byte("4712"))).To(gomega.Succeed())
	lease := l.silent["w"]
	g.Expect(lease.end(lease.LeaseMS)).To(gomega.Equal(vocab.Instant(5).Add(4712 * time.Millisecond)))
	for _, bad := range []string{"-1", `{"ms":-1}`, `{"ms":9999999}`, `{"ms":1,"known_ms":-1}`, `{"ms":1,"open_ms":9999999}`, "{", "x"} {
		g.Expect(l.foldSilent(5, "w", []byte(bad))).To(gomega.MatchError(ErrBadRecord), bad)
	}
}

// TestSilentRecordTellsKnownFromOpenStarts guards against a next owner that waits for all runs of a silent worker as for those
// whose start has no result.
func TestSilentRecordTellsKnownFromOpenStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	o.s.settings.MaxLease = 10 * time.Second
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	confirmed, open, w := j.occurrences.live[0].steps[0].tasks[0], j.occurrences.live[0].steps[0].tasks[1], o.workers["w0000"]
	startOn(o, confirmed, w)
	waits := func() (lease, finite time.Duration) {
		record, err := o.silentRecord(w)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		next := New(Identity{Node: "next", Incarnation: 2}, o.s.settings)
		next.now, next.claim.previousOwner, next.claim.heartbeatBeforeClaim = o.s.now, ownerRecord{Node: "earlier"}, o.s.now
		g.Expect(next.ledger.foldSilent(next.now, w.info.ID, record.Value)).To(gomega.Succeed())
		next.ledger.notesStrays = true
		owner := newOwner(next, o.fence+1)
		inherited := addTestJob(owner, 1, j.acceptance.Spec.Steps...).occurrences.live[0].steps[0].tasks[0]
		owner.bind(inherited, owner.worker(w.info.ID), w.info.Incarnation)
		inherited.state = runStartUnknown
		return inherited.worker.leaseUntil.Sub(next.now), owner.runExpiresAt(inherited).Sub(next.now)
	}
	lease, finite := waits()
	g.Expect(lease).To(gomega.BeNumerically("~", o.s.maxLeaseSpan(), 2*time.Millisecond))
	g.Expect(finite).To(gomega.Equal(lease))

	o.assign(open, w)
	o.sendStart(open, open.lastRun)
	lease, finite = waits()
	g.Expect(lease).To(gomega.BeNumerically("~", o.s.maxLeaseSpan(), 2*time.Millisecond))
	g.Expect(finite).To(gomega.BeNumerically("~", orderDelivery+startRepeatDelay+o.s.longestLeaseSpan(), 2*time.Millisecond))
}
