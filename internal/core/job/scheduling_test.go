package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestAdvisedTasksCarryTickets: tasks of a queue with an advisor start only on the workers
// that the advisor allows, and with its ticket.
func TestAdvisedTasksCarryTickets(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(20, 2, 4, faults{})
	advisor := sim.addAdvisor(AdvisorTiming{Decide: 50 * time.Millisecond, Each: time.Millisecond, Valid: 5 * time.Second},
		func(_ StepRef, w WorkerID) bool { return w == "w002" })
	sim.run(3 * time.Second)
	sim.submit(Spec{Steps: []Step{{Count: 6, Need: Resources{CPU: 3000, Memory: 64}, EstimateMS: 300}}})
	sim.run(12 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(sim.starts).To(gomega.Equal(6))
	g.Expect(advisor.refusedStarts).To(gomega.BeZero())
}

// TestGangStartsAndCompletesTogether: all members have the same run number, and the first
// completed member completes the gang.
func TestGangStartsAndCompletesTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(21, 2, 3, faults{})
	sim.run(3 * time.Second)
	id := sim.submit(Spec{Steps: []Step{{Count: 4, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 900, Gang: true}}})
	sim.run(500 * time.Millisecond)
	runs := map[Run]int{}
	for _, worker := range sim.workerIDs {
		for _, r := range sim.workers[worker].runs {
			runs[r.run]++
		}
	}
	g.Expect(runs).To(gomega.Equal(map[Run]int{1: 4}))
	sim.run(5 * time.Second)
	sim.report(t)
	g.Expect(sim.jobs[id].accepted).To(gomega.BeTrue())
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(sim.starts).To(gomega.Equal(4))
}

// TestGangWaitsForCapacityForAllMembers: no member starts while another one does not fit
// anywhere.
func TestGangWaitsForCapacityForAllMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(22, 2, 2, faults{})
	sim.run(3 * time.Second)
	sim.submit(Spec{Steps: []Step{{Count: 5, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 300, Gang: true}}})
	sim.run(4 * time.Second)
	g.Expect(sim.starts).To(gomega.BeZero())
}

// TestOccurrencesRunWhenDue: no task starts before its occurrence is due, and all occurrences
// run.
func TestOccurrencesRunWhenDue(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(23, 2, 2, faults{})
	sim.run(3 * time.Second)
	sim.submit(Spec{
		Steps:       []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 100}},
		Occurrences: 3, FirstAt: sim.wall() + 1000, IntervalMS: 2000,
	})
	sim.run(900 * time.Millisecond)
	g.Expect(sim.starts).To(gomega.Equal(0))
	sim.run(1100 * time.Millisecond)
	g.Expect(sim.starts).To(gomega.Equal(1))
	sim.run(2 * time.Second)
	g.Expect(sim.starts).To(gomega.Equal(2))
	sim.run(4 * time.Second)
	g.Expect(sim.starts).To(gomega.Equal(3))
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestBestEffortTasksAreThrottledNearLatencyTarget: best-effort tasks beside a
// latency-sensitive task that approaches its latency target stop at once and resume in steps.
func TestBestEffortTasksAreThrottledNearLatencyTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(24, 1, 1, faults{})
	sim.run(3 * time.Second)
	sim.submit(Spec{Steps: []Step{
		{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000, LongRunning: true, TailTargetMS: 100},
		{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000, LongRunning: true, BestEffort: true},
	}})
	sim.run(2 * time.Second)
	o := sim.nodes[0].state.owner
	w := o.workers["w000"]
	g.Expect(w.tasks).To(gomega.HaveLen(2))
	bestEffort := w.tasks[1]
	w.tasks[0].tailLatencyMS = 90
	o.throttleBestEffort(w)
	g.Expect(bestEffort.cpuPercent).To(gomega.Equal(0))
	w.tasks[0].tailLatencyMS = 20
	o.throttleBestEffort(w)
	g.Expect(bestEffort.cpuPercent).To(gomega.Equal(0), "stopped for at least minThrottleTime")
	o.s.now = o.s.now.Add(minThrottleTime)
	o.throttleBestEffort(w)
	g.Expect(bestEffort.cpuPercent).To(gomega.Equal(resumeStepPercent))
}

// TestSameRackTasksShareRack: tasks that should share a rack are placed in the rack with the
// most free capacity.
func TestSameRackTasksShareRack(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(25, 1, 5, faults{})
	for i, id := range sim.workerIDs {
		sim.workers[id].info.Rack = "r1"
		if i >= 2 {
			sim.workers[id].info.Rack = "r2"
		}
	}
	sim.run(3 * time.Second)
	sim.submit(Spec{Steps: []Step{{Count: 5, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 2000, SameRack: true}}})
	sim.run(time.Second)
	for _, id := range sim.workerIDs {
		if len(sim.workers[id].runs) > 0 {
			g.Expect(string(sim.workers[id].info.Rack)).To(gomega.Equal("r2"))
		}
	}
	g.Expect(sim.starts).To(gomega.Equal(5))
}

// machinesOwner returns an owner of the machines m1 and m2.
func machinesOwner(set Settings) *owner {
	s := New(Identity{Node: "a", Incarnation: 1}, set)
	s.now = vocab.Instant(time.Minute)
	s.config = &Config{Version: 1}
	o := newOwner(s, 5)
	s.owner, o.stage, o.ordersUntil = o, stageActive, s.now.Add(time.Hour)
	o.fleet.machineIDs = []MachineID{"m1", "m2"}
	for _, id := range o.fleet.machineIDs {
		o.fleet.machines[id] = &machine{info: MachineInfo{ID: id}}
	}
	return o
}

// readerOf returns a node that read the records one second before it takes over from owner
// a, at the time of one minute.
func readerOf(t *testing.T, set Settings, records []Record, resigned bool) *owner {
	t.Helper()
	next := New(Identity{Node: "b", Incarnation: 2}, set)
	next.now = vocab.Instant(time.Minute - time.Second)
	for _, r := range records {
		if _, err := next.ledger.fold(next.now, r); err != nil {
			t.Fatal(err)
		}
	}
	next.now = vocab.Instant(time.Minute)
	next.claim.previousOwner = ownerRecord{Node: "a", Incarnation: 1, Fence: 5, Resigned: resigned}
	n := newOwner(next, 6)
	n.inheritOrders()
	return n
}

// TestNextOwnerWaitsOnlyForRecentlyOrderedMachines guards against a new owner that waits
// before it orders any machine. With an ownership transfer every two seconds no owner ever
// ordered a machine (incident inc-7ddb), and after the loss of an owner the machines that it
// had moved for one burst stood idle for five seconds of the next.
func TestNextOwnerWaitsOnlyForRecentlyOrderedMachines(t *testing.T) {
	set := Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second}
	for _, c := range []struct {
		open, resigned bool
		wait           time.Duration
	}{
		{false, false, set.MinOrderGap - time.Second},
		{false, true, set.MinOrderGap - time.Second},
		{true, true, set.MinOrderGap - time.Second},
		{true, false, set.MinOrderGap + orderAuthority - time.Second},
	} {
		g := gomega.NewWithT(t)
		o := machinesOwner(set)
		m1, m2 := o.fleet.machines["m1"], o.fleet.machines["m2"]
		o.scheduleOrder(m1, OrderMove, "p", 0)
		records := o.orderLogRecord()
		if !c.open {
			o.handleMachineOrderAnswered(MachineOrderAnswered{Machine: "m1", Order: OrderMove, Outcome: NotDone})
			records = append(records, o.orderLogRecord()...)
		}
		m1.orderPending = false
		n := readerOf(t, set, records, c.resigned)
		g.Expect(n.acceptsOrder(m1)).To(gomega.BeFalse())
		g.Expect(n.acceptsOrder(m2)).To(gomega.BeTrue())
		n.s.now = n.s.now.Add(c.wait - 1)
		g.Expect(n.acceptsOrder(m1)).To(gomega.BeFalse())
		n.s.now++
		g.Expect(n.acceptsOrder(m1)).To(gomega.BeTrue())
	}
}

// TestOwnerAfterTheNextWaitsAsWell: the time counts from the order, whichever owner sent it,
// also for a node that loads the stream meanwhile.
func TestOwnerAfterTheNextWaitsAsWell(t *testing.T) {
	g := gomega.NewWithT(t)
	set := Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second}
	o := machinesOwner(set)
	m1 := o.fleet.machines["m1"]
	o.scheduleOrder(m1, OrderMove, "p", 0)
	records := o.orderLogRecord()
	m1.orderPending = false
	next := readerOf(t, set, records, false)
	next.s.ledger.orderRecords[records[0].Key] = next.s.now
	g.Expect(next.s.ledger.expiredOrderRecords(next.s.now.Add(next.s.orderRetention()), next.s.orderRetention())).To(gomega.BeEmpty(), "the record stays on the stream")
	after := readerOf(t, set, append(records, encodeOwner(next.ownerRecord())), false)
	g.Expect(after.acceptsOrder(m1)).To(gomega.BeFalse())
	g.Expect(next.s.ledger.expiredOrderRecords(next.s.now.Add(next.s.orderRetention()+1), next.s.orderRetention())).To(gomega.HaveLen(1))
}

// TestOrdersAreKeptAsLongAsTheyBlockMachines: also where owners must leave a long time between
// their orders to a machine.
func TestOrdersAreKeptAsLongAsTheyBlockMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, gap := range []time.Duration{0, 3 * time.Second, 30 * time.Second} {
		s := New(Identity{}, Settings{MinOrderGap: gap})
		g.Expect(s.orderRetention()).To(gomega.BeNumerically(">", gap+orderAuthority), gap.String())
	}
}

// TestOrdersAreHeartbeats: an owner that writes nothing but orders to machines for a while
// is alive. Four owners in twelve seconds had been replaced while they switched machines off.
func TestOrdersAreHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Identity{Node: "b", Incarnation: 2}, Settings{MaxLease: time.Second})
	s.Step(Clock{Now: 1}, StreamLoaded{})
	o := machinesOwner(Settings{MaxLease: time.Second})
	o.scheduleOrder(o.fleet.machines["m1"], OrderMove, "p", 0)
	now := vocab.Instant(ownerTimeout)
	s.Step(Clock{Now: now}, StreamRead{Records: o.orderLogRecord(), Next: 1, End: 1, SentAt: now})
	g.Expect(s.claim.ownerTimeoutFrom).To(gomega.Equal(now))
}

// TestOrderRecordsStaySmall replays the load of a fleet of 3,000 machines that is sent 248
// orders a second for ten seconds. The owner record had listed all recent orders in each of
// its appends, 45 kB with 50 appends a second, and the reads of 296 nodes then took more
// than the store's 80 MB a second: all of them lost the stream.
func TestOrderRecordsStaySmall(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second, MaxOrdersPerSecond: 310})
	written := 0
	for i := range 500 {
		o.s.now = o.s.now.Add(20 * time.Millisecond)
		for k := range 5 {
			id := MachineID(fmt.Sprintf("m-%05d", i*5+k))
			o.fleet.machines[id] = &machine{info: MachineInfo{ID: id, Worker: WorkerID("w" + id[1:])}}
			o.worker(o.fleet.machines[id].info.Worker).info.Machine = id
			o.scheduleOrder(o.fleet.machines[id], OrderMove, "p", 0)
		}
		if i > 0 {
			o.orderLog.note(o.s.now, MachineID(fmt.Sprintf("m-%05d", i*5-1)), orderState{worker: WorkerID(fmt.Sprintf("w-%05d", i*5-1))})
		}
		o.planDue = false
		o.finishStep()
		g.Expect(o.pendingAppend).NotTo(gomega.BeNil())
		written += recordBytes(o.pendingAppend.records)
		o.handleAppended(Appended{ID: o.pendingAppend.id, Outcome: OK, SentAt: o.s.now})
	}
	// An eighth of what each node may read.
	g.Expect(written/10).To(gomega.BeNumerically("<", 80_000_000/296/8), "bytes a second")
}

// TestMachineOrdersAreSentAfterTheRecord: an order is sent only once a record on the stream
// names its machine, so that a later owner knows about it.
func TestMachineOrdersAreSentAfterTheRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second})
	o.scheduleOrder(o.fleet.machines["m2"], OrderMove, "p", 0)
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
	o.finishStep()
	sent := o.pendingAppend
	g.Expect(string(sent.records[0].Value)).To(gomega.Equal(`{"open":["m2"],"v":[-1]}`))
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
	o.handleAppended(Appended{ID: sent.id, Outcome: OK, SentAt: o.s.now})
	g.Expect(o.s.effects).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
}

// TestTruncatedReadAnswersNoQuery: a read of the stream that did not reach its end may lack
// the record of the queried job.
func TestTruncatedReadAnswersNoQuery(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Identity{Node: "a", Incarnation: 1}, Settings{MaxLease: time.Second})
	config := &Config{Version: 1, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Open: true}}}
	s.Step(Clock{Now: 1}, ConfigRead{Config: config})
	s.Step(Clock{Now: 2}, StreamLoaded{})
	s.Step(Clock{Now: 3}, StreamRead{SentAt: 2})
	s.Step(Clock{Now: 4}, Query{Call: 1, ID: "0000000000000001", Host: "h", Path: "/q/0000000000000001"})
	record, err := encodeAcceptance("0000000000000001", &Acceptance{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range s.Step(Clock{Now: 6}, StreamRead{Next: 1, End: 2, SentAt: 5}) {
		g.Expect(e).NotTo(gomega.BeAssignableToTypeOf(Reply{}))
	}
	record.Offset = 1
	effects := s.Step(Clock{Now: 8}, StreamRead{Records: []Record{record}, Next: 2, End: 2, SentAt: 7})
	g.Expect(effects).To(gomega.ContainElement(Reply{Call: 1, Answer: Accepted, State: PhaseQueued, ConfigVersion: 1}))
}

// TestUnansweredStartIsSentAgain: an unanswered start is sent once more under the same run
// number, and the task runs once whatever the outcomes of the two copies are. Without the
// repetition, when orders were carried out late, more than half of all jobs of thirteen tasks
// waited 0.9 s for one start.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	type reply struct {
		outcome Outcome
		refusal Refusal
	}
	for name, c := range map[string]struct {
		answers []reply
		want    runState
	}{
		"the second copy starts it":                             {[]reply{{OK, RefusalNone}}, runRunning},
		"one outcome unknown, the other starts it":              {[]reply{{Unknown, RefusalNone}, {OK, RefusalNone}}, runRunning},
		"both outcomes unknown":                                 {[]reply{{Unknown, RefusalNone}, {Unknown, RefusalNone}}, runStartUnknown},
		"refused, but the other copy may have been carried out": {[]reply{{NotDone, RefusalStaleRun}}, runStartUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := demandOwner(Resources{})
			o.s.owner, o.stage, o.ordersUntil = o, stageActive, o.s.now.Add(time.Hour)
			w := o.worker("w1")
			w.info = WorkerInfo{ID: "w1", Address: "w1", Capacity: Resources{CPU: 16000, Memory: 32768}, Incarnation: 1}
			w.listed, w.fenced = true, true
			j := newJob(o, "00000000000000aa", Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 500})
			o.jobs[j.record.ID] = j
			task := j.occurrences.live[0].steps[0].tasks[0]
			o.assign(task, w)
			o.sendStart(task, 1)
			first := o.s.effects[len(o.s.effects)-1].(Start)
			o.s.now = o.s.now.Add(startRepeatDelay + 1)
			o.resendStarts(w)
			o.resendStarts(w)
			second := o.s.effects[len(o.s.effects)-1].(Start)
			g.Expect(second.Run).To(gomega.Equal(first.Run))
			g.Expect(o.s.effects).To(gomega.HaveLen(2), "only one repetition")
			for _, a := range c.answers {
				o.handleStartAnswered(StartAnswered{Worker: "w1", Task: first.Task, Run: 1, Outcome: a.outcome, Refusal: a.refusal})
			}
			g.Expect(task.state).To(gomega.Equal(c.want))
			g.Expect(task.worker).To(gomega.Equal(w))
		})
	}
}

// TestLeaseBoundCountsFromTheLastHeartbeat: a previous owner that wrote once more after the
// claim was sent may have extended leases at that time.
func TestLeaseBoundCountsFromTheLastHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, late := range []bool{false, true} {
		s := New(Identity{Node: "b", Incarnation: 2}, Settings{MaxLease: 6 * time.Second})
		s.now = vocab.Instant(time.Minute)
		s.claim.heartbeatBeforeClaim = s.now.Add(-2 * time.Second)
		s.ledger.owner = ownerRecord{Node: "a", Incarnation: 1, Fence: 5, LeaseMS: 1}
		s.owner = newOwner(s, 6)
		s.owner.beginTakeover()
		s.now = s.now.Add(time.Second)
		if late {
			s.claim.lastHeartbeat = s.now
		}
		s.owner.stage = stageReading
		s.owner.activateIfRead()
		from := s.claim.heartbeatBeforeClaim
		if late {
			from = s.now
		}
		g.Expect(s.owner.earlierLeasesUntil).To(gomega.Equal(from.Add(leaseAuthority + s.maxLeaseSpan())))
	}
}
