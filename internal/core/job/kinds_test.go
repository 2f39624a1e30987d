package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestAdvisedTasksCarryTickets: on a queue with an advisor tasks start on the
// workers that it allows, with its ticket.
func TestAdvisedTasksCarryTickets(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(20, 2, 4, faults{})
	w.advised = "w002"
	for _, n := range w.nodes {
		n.kill()
	}
	w.config.Queues[0].Advised = &Advised{Decide: 50 * time.Millisecond, Each: time.Millisecond, Valid: 5 * time.Second}
	for _, n := range w.nodes {
		n.start()
	}
	w.run(3 * time.Second)
	w.submit(Spec{Steps: []Step{{Count: 6, Need: Resources{CPU: 3000, Memory: 64}, EstimateMS: 300}}})
	w.run(12 * time.Second)
	w.report(t)
	g.Expect(w.unfinished()).To(gomega.BeEmpty())
	g.Expect(w.starts).To(gomega.Equal(6))
}

// TestGangStartsTogetherAndEndsAsOne: all members carry one run number, and one
// end stands for all.
func TestGangStartsTogetherAndEndsAsOne(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(21, 2, 3, faults{})
	w.run(3 * time.Second)
	id := w.submit(Spec{Steps: []Step{{Count: 4, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 900, Gang: true}}})
	w.run(500 * time.Millisecond)
	runs := map[Run]int{}
	for _, worker := range w.ids {
		for _, r := range w.workers[worker].runs {
			runs[r.run]++
		}
	}
	g.Expect(runs).To(gomega.Equal(map[Run]int{1: 4}))
	w.run(5 * time.Second)
	w.report(t)
	g.Expect(w.jobs[id].accepted).To(gomega.BeTrue())
	g.Expect(w.unfinished()).To(gomega.BeEmpty())
	g.Expect(w.starts).To(gomega.Equal(4))
}

// TestGangWaitsForRoomForAll: no member starts while one finds no room.
func TestGangWaitsForRoomForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(22, 2, 2, faults{})
	w.run(3 * time.Second)
	w.submit(Spec{Steps: []Step{{Count: 5, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 300, Gang: true}}})
	w.run(4 * time.Second)
	g.Expect(w.starts).To(gomega.BeZero())
}

// TestOccurrencesRunAtTheirTimes: no task starts before its occurrence is due,
// and all occurrences run.
func TestOccurrencesRunAtTheirTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(23, 2, 2, faults{})
	w.run(3 * time.Second)
	w.submit(Spec{
		Steps:       []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 100}},
		Occurrences: 3, FirstAt: w.wall() + 1000, IntervalMS: 2000,
	})
	w.run(900 * time.Millisecond)
	g.Expect(w.starts).To(gomega.Equal(0))
	w.run(1100 * time.Millisecond)
	g.Expect(w.starts).To(gomega.Equal(1))
	w.run(2 * time.Second)
	g.Expect(w.starts).To(gomega.Equal(2))
	w.run(4 * time.Second)
	g.Expect(w.starts).To(gomega.Equal(3))
	g.Expect(w.unfinished()).To(gomega.BeEmpty())
}

// TestFillersAreHeldNearTheTarget: what fills beside a serving task that nears its target is
// held at once and goes on in steps.
func TestFillersAreHeldNearTheTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(24, 1, 1, faults{})
	w.run(3 * time.Second)
	w.submit(Spec{Steps: []Step{
		{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000, LongRunning: true, TailTargetMS: 100},
		{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000, LongRunning: true, Filler: true},
	}})
	w.run(2 * time.Second)
	o := w.nodes[0].state.owner
	host := o.workers["w000"]
	g.Expect(host.tasks).To(gomega.HaveLen(2))
	filler := host.tasks[1]
	host.tasks[0].tailMS = 90
	o.paceFillers(host)
	g.Expect(filler.pace).To(gomega.Equal(0))
	host.tasks[0].tailMS = 20
	o.paceFillers(host)
	g.Expect(filler.pace).To(gomega.Equal(0), "it is held for a while")
	o.s.now = o.s.now.Add(paceHold)
	o.paceFillers(host)
	g.Expect(filler.pace).To(gomega.Equal(paceStep))
}

// TestSameRackTasksShareARack: tasks that run best within one rack are placed in
// the rack with the most room.
func TestSameRackTasksShareARack(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(25, 1, 5, faults{})
	for i, id := range w.ids {
		w.workers[id].info.Rack = "r1"
		if i >= 2 {
			w.workers[id].info.Rack = "r2"
		}
	}
	w.run(3 * time.Second)
	w.submit(Spec{Steps: []Step{{Count: 5, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 2000, SameRack: true}}})
	w.run(time.Second)
	for _, id := range w.ids {
		if len(w.workers[id].runs) > 0 {
			g.Expect(string(w.workers[id].info.Rack)).To(gomega.Equal("r2"))
		}
	}
	g.Expect(w.starts).To(gomega.Equal(5))
}

// machinesOwner is an owner of the machines m1 and m2, of which it ordered m1 lately.
func machinesOwner(set Settings) *owner {
	s := New(Identity{Node: "a", Incarnation: 1}, set)
	s.now = vocab.Instant(time.Minute)
	s.config = &Config{Version: 1}
	o := newOwner(s, 5)
	s.owner, o.stage, o.ordersUntil = o, stageActive, s.now.Add(time.Hour)
	o.fleet.ids = []MachineID{"m1", "m2"}
	for _, id := range o.fleet.ids {
		o.fleet.machines[id] = &machine{info: MachineInfo{ID: id}}
	}
	o.fleet.machines["m1"].answeredAt = s.now.Add(-time.Second)
	return o
}

// nextOwner is an owner at another node that read the last one's record.
func nextOwner(t *testing.T, set Settings, last Record, resigned bool) *owner {
	t.Helper()
	next := New(Identity{Node: "b", Incarnation: 2}, set)
	next.now = vocab.Instant(time.Minute)
	if _, err := next.ledger.fold(next.now, last); err != nil {
		t.Fatal(err)
	}
	next.claim.previousOwner = ownerRecord{Node: "a", Incarnation: 1, Fence: 5, Resigned: resigned}
	n := newOwner(next, 6)
	n.delayOrdersAfterTakeover()
	return n
}

// TestNextOwnerOrdersAllButTheLastOrderedMachines holds incident inc-7ddb (with a
// hand-over every two seconds no owner came to give orders to machines) and a fault of
// the grown sites: after a lost owner the machines that it had moved for the turn that
// had just ended stood idle for five seconds while the next one began.
func TestNextOwnerOrdersAllButTheLastOrderedMachines(t *testing.T) {
	set := Settings{LeaseMost: 6 * time.Second, OrderGap: 3 * time.Second}
	for _, c := range []struct {
		open, resigned bool
		wait           time.Duration
	}{
		{false, false, set.OrderGap - time.Second},
		{false, true, set.OrderGap - time.Second},
		{true, true, set.OrderGap},
		{true, false, set.OrderGap + orderAuthority},
	} {
		g := gomega.NewWithT(t)
		o := machinesOwner(set)
		m1, m2 := o.fleet.machines["m1"], o.fleet.machines["m2"]
		m1.ordered = c.open
		g.Expect(o.orderedLately()).To(gomega.HaveLen(1))
		n := nextOwner(t, set, o.newOwnerRecord(c.resigned), c.resigned)
		m1.ordered = false
		g.Expect(n.mayOrderMachine(m1)).To(gomega.BeFalse())
		g.Expect(n.mayOrderMachine(m2)).To(gomega.BeTrue())
		after := nextOwner(t, set, n.newOwnerRecord(false), false)
		g.Expect(after.mayOrderMachine(m1)).To(gomega.BeFalse(), "the owner after it has to know as well")
		n.s.now = n.s.now.Add(c.wait - 1)
		g.Expect(n.mayOrderMachine(m1)).To(gomega.BeFalse())
		n.s.now++
		g.Expect(n.mayOrderMachine(m1)).To(gomega.BeTrue())
	}
}

// TestMachineOrdersFollowTheStream: an order leaves once the stream names its machine,
// so that a later owner knows of it.
func TestMachineOrdersFollowTheStream(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{LeaseMost: 6 * time.Second, OrderGap: 3 * time.Second})
	o.orderMachine(o.fleet.machines["m2"], OrderMove, "p", 0)
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
	o.finishStep()
	sent := o.pendingAppend
	g.Expect(string(sent.records[len(sent.records)-1].Value)).To(gomega.ContainSubstring(`"m2"`))
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
	o.appended(Appended{ID: sent.id, Outcome: OK, SentAt: o.s.now})
	g.Expect(o.s.effects).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
}

// TestReadsThatAreCutAnswerNobody: a job may be in what a read left out.
func TestReadsThatAreCutAnswerNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Identity{Node: "a", Incarnation: 1}, Settings{LeaseMost: time.Second})
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

// TestUnansweredStartIsSentAgain: a start whose answer is late is sent once more under
// the same run; whatever comes of the two copies, the task runs once. On days with orders
// that are carried out late, a job of thirteen tasks waited 0.9 s for one of them in more
// than half of all cases.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	type step struct {
		outcome Outcome
		refusal Refusal
	}
	for name, c := range map[string]struct {
		answers []step
		want    stage
	}{
		"the second copy starts it":            {[]step{{OK, RefusalNone}}, running},
		"one lost, the other starts it":        {[]step{{Unknown, RefusalNone}, {OK, RefusalNone}}, running},
		"both lost":                            {[]step{{Unknown, RefusalNone}, {Unknown, RefusalNone}}, unclear},
		"the first one may have been and gone": {[]step{{NotDone, RefusalOld}}, unclear},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := demandOwner(Resources{})
			o.s.owner, o.stage, o.ordersUntil = o, stageActive, o.s.now.Add(time.Hour)
			host := o.worker("w1")
			host.info = WorkerInfo{ID: "w1", Address: "w1", Room: Resources{CPU: 16000, Memory: 32768}, Born: 1}
			host.listed, host.fenced = true, true
			w := newJob(o, "00000000000000aa", Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 500})
			o.jobs[w.entry.ID] = w
			task := w.occurrences[0].steps[0].tasks[0]
			o.assign(task, host)
			o.orderStart(task, 1)
			first := o.s.effects[len(o.s.effects)-1].(Start)
			o.s.now = o.s.now.Add(startRepeatDelay + 1)
			o.repeatStarts(host)
			o.repeatStarts(host)
			second := o.s.effects[len(o.s.effects)-1].(Start)
			g.Expect(second.Run).To(gomega.Equal(first.Run))
			g.Expect(o.s.effects).To(gomega.HaveLen(2), "one copy more, not two")
			for _, a := range c.answers {
				o.startAnswered(StartAnswered{Worker: "w1", Task: first.Task, Run: 1, Outcome: a.outcome, Refusal: a.refusal})
			}
			g.Expect(task.stage).To(gomega.Equal(c.want))
			g.Expect(task.worker).To(gomega.Equal(host))
		})
	}
}

// TestLeasesCountFromTheLastSignBeforeTheFence: an owner that wrote once more after the
// claim was sent may have extended leases as late as that.
func TestLeasesCountFromTheLastSignBeforeTheFence(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, late := range []bool{false, true} {
		s := New(Identity{Node: "b", Incarnation: 2}, Settings{LeaseMost: 6 * time.Second})
		s.now = vocab.Instant(time.Minute)
		s.claim.heartbeatBeforeClaim = s.now.Add(-2 * time.Second)
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
