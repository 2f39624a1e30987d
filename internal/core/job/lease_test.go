package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// busyWorker runs the simulation until a worker has a run, and returns that worker.
func (sim *simulation) busyWorker() *fakeWorker {
	for range 10_000 {
		sim.run(time.Millisecond)
		for _, id := range sim.workerIDs {
			if len(sim.workers[id].runs) > 0 {
				return sim.workers[id]
			}
		}
	}
	return nil
}

// TestLeaseOnIdleWorkerWithSlowClockExpiresInTime guards against a second run beside the first one:
// the estimate of the clock of an idle worker ran ahead, and the lease outlasted what the owner, or
// the next one, waits for.
func TestLeaseOnIdleWorkerWithSlowClockExpiresInTime(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, idle := range []time.Duration{0, 14 * time.Second, 75 * time.Second, 20 * time.Minute} {
			for _, ownerKilled := range []bool{false, true} {
				t.Run(fmt.Sprint(maxLease, idle, ownerKilled), func(t *testing.T) {
					g := gomega.NewWithT(t)
					sim := newSimulation(1, 3, 4, faults{})
					sim.clockRate, sim.settings.MaxLease = minClockRate, maxLease
					sim.restartNodes()
					sim.run(3 * time.Second)
					sim.run(idle)
					sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 16_000}}})
					wk := sim.busyWorker()
					g.Expect(wk).NotTo(gomega.BeNil())
					wk.unreachable = true
					if ownerKilled {
						sim.owningNode().kill()
					}
					sim.run(20 * time.Second)
					wk.unreachable = false
					sim.run(40 * time.Second)
					sim.report(t)
					g.Expect(sim.unfinished()).To(gomega.BeEmpty())
					g.Expect(sim.starts).To(gomega.Equal(2))
				})
			}
		}
	}
}

// TestLeaseForEarlierIncarnationIsWaitedFor guards against a second run beside the first one: a start
// that was meant for a worker's earlier incarnation reached the next one, whose clock had started
// again, and its lease was as long as the worker allowed.
func TestLeaseForEarlierIncarnationIsWaitedFor(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, polled := range []bool{false, true} {
			g := gomega.NewWithT(t)
			sim := newSimulation(1, 1, 3, faults{})
			sim.clockRate, sim.settings.MaxLease = minClockRate, maxLease
			sim.restartNodes()
			sim.run(5 * time.Second)
			for _, id := range sim.workerIDs {
				sim.restartWorker(sim.workers[id])
			}
			sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 16_000}}})
			wk := sim.busyWorker()
			g.Expect(wk).NotTo(gomega.BeNil())
			w := sim.nodes[0].state.owner.workers[wk.info.ID]
			g.Expect(w.info.Incarnation).To(gomega.Equal(Millis(1)), "the owner does not know of the restart")
			for polled && (w.info.Incarnation == 1 || !w.fenced) {
				sim.run(time.Millisecond)
			}
			wk.unreachable = true
			sim.run(20 * time.Second)
			wk.unreachable = false
			sim.run(40 * time.Second)
			sim.report(t)
			g.Expect(sim.unfinished()).To(gomega.BeEmpty())
		}
	}
}

// TestLeasesOfEarlierVersionsAreWaitedFor: an owner of an earlier version wrote no bound of its leases,
// and granted idle workers longer ones than it waited for.
func TestLeasesOfEarlierVersionsAreWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	settings := Settings{MaxLease: 10 * time.Second}
	takeover := func(records ...Record) *owner {
		s := New(Identity{Node: "b", Incarnation: 2}, settings)
		s.now = vocab.Instant(time.Minute)
		for _, r := range records {
			_, err := s.ledger.fold(s.now, r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		s.claim.heartbeatBeforeClaim = s.now
		return newOwner(s, s.ledger.ownerFence)
	}
	claim := func(replaces Fence) Record {
		r, err := encodeClaim("k/2-1", claimRecord{Node: "b", Incarnation: 2, Replaces: replaces})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.Offset = 20
		return r
	}
	bounded := New(Identity{}, settings).maxLeaseSpan()
	unbounded := 10*time.Second*50/49 + leaseMargin
	earlier := Record{Key: ownerKey, Value: []byte(`{"node":"a","inc":1,"fence":5}`)}
	present := encodeOwner(ownerRecord{Node: "a", Incarnation: 1, Fence: 5, LeaseMS: bounded.Milliseconds()})
	absurd := encodeOwner(ownerRecord{Node: "a", Incarnation: 1, Fence: 5, LeaseMS: 1 << 60})
	for _, c := range []struct {
		records []Record
		want    time.Duration
	}{
		{[]Record{earlier, claim(5)}, unbounded},
		{[]Record{present, claim(5)}, bounded},
		{[]Record{absurd, claim(5)}, unbounded},
		{[]Record{claim(0)}, bounded},
	} {
		o := takeover(c.records...)
		g.Expect(o.earlierLeasesUntil.Sub(o.s.now)).To(gomega.BeNumerically("~", leaseAuthority+c.want, time.Millisecond))
	}

	// What an owner inherited passes to the next one.
	o := takeover(earlier, claim(5))
	o.s.now = o.s.now.Add(time.Second)
	next := o.ownerRecord()
	o.s.ledger.owner = next
	g.Expect(o.s.now.Add(leaseAuthority + o.s.earlierLeaseSpan())).To(gomega.BeNumerically(">=", o.earlierLeasesUntil))

	// The record of a silent worker.
	for text, want := range map[string]time.Duration{
		`{"ms":1000,"at":{}}`:                time.Second + unbounded - bounded,
		`1000`:                               time.Second + unbounded - bounded,
		`{"ms":1000,"at":{},"bounded":true}`: time.Second,
	} {
		o := takeover(earlier, Record{Key: silentPrefix + "w1", Value: []byte(text)}, claim(5))
		g.Expect(o.worker("w1").leaseUntil.Sub(o.s.now)).To(gomega.BeNumerically("~", want, time.Millisecond), text)
	}
}

// TestClocksOfIdleWorkersAreReadInTurn: the clocks of idle workers are read again before the lower
// bound falls far behind, and not all at once.
func TestClocksOfIdleWorkersAreReadInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, 300, faults{})
	sim.run(5 * time.Second)
	o := sim.nodes[0].state.owner
	most := 0
	for range 600 {
		sim.run(100 * time.Millisecond)
		inFlight := 0
		for _, id := range o.workerIDs {
			w := o.workers[id]
			g.Expect(sim.now.Sub(w.clockReadAt)).To(gomega.BeNumerically("<", clockReadInterval+time.Second))
			if sim.now.Sub(w.clockReadAt) < 100*time.Millisecond {
				inFlight++
			}
		}
		most = max(most, inFlight)
	}
	g.Expect(most).To(gomega.BeNumerically("<", 30), "workers read within 0.1 s")
}

// TestLeaseIsBoundedWithoutNewReading: the lease of a start stays within the bound when the clock of
// the worker could not be read again.
func TestLeaseIsBoundedWithoutNewReading(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{minClockRate, 1} {
		for _, age := range []time.Duration{0, time.Second, 75 * time.Second, time.Hour} {
			o := demandOwner(Resources{})
			o.s.settings.MaxLease = 6 * time.Second
			w := o.worker("w1")
			w.clock, w.clockReadAt = 20*time.Minute, o.s.now
			o.s.now = o.s.now.Add(age)
			clock := w.clock + time.Duration(float64(age)*rate)
			lasts := time.Duration(float64(o.grantLease(w)-clock) / rate)
			g.Expect(w.leaseUntil.Sub(o.s.now)).To(gomega.BeNumerically(">=", lasts))
			g.Expect(w.leaseClockAge).To(gomega.Equal(age))
		}
	}
}
