package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// highestFence returns the highest fence that a worker has seen.
func (sim *simulation) highestFence() Fence {
	highest := Fence(0)
	for _, wk := range sim.workers {
		highest = max(highest, wk.fence)
	}
	return highest
}

// TestRaisedFencesAreBelowThatOfTheNextOwner guards against workers that refuse the orders of the next owner, which
// would take that for a sign of a later one.
func TestRaisedFencesAreBelowThatOfTheNextOwner(t *testing.T) {
	for name, replace := range map[string]func(*simulation, *node){
		"claim":       func(_ *simulation, n *node) { n.kill() },
		"appointment": func(_ *simulation, n *node) { n.state.owner.resign() },
		"cut off":     func(sim *simulation, n *node) { sim.injectFault(0, n, nil, 3*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(1, 3, 4, faults{})
			sim.pollsWait = true
			sim.logged = func(e LogEvent) {
				g.Expect(e.Field("why")).NotTo(gomega.Equal("a worker has seen a later owner"))
			}
			sim.run(3 * time.Second)
			sim.submit(Spec{Steps: []Step{{Count: 8, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000}}})
			sim.run(2 * time.Second)
			for range 4 {
				n := sim.owningNode()
				for range 3 {
					for _, id := range sim.workerIDs {
						sim.restartWorker(sim.workers[id])
					}
					sim.run(1500 * time.Millisecond)
				}
				g.Expect(sim.owningNode()).To(gomega.BeIdenticalTo(n))
				raised := sim.highestFence()
				g.Expect(raised).To(gomega.BeNumerically(">", n.state.owner.fence))
				for _, id := range sim.workerIDs {
					sim.restartWorker(sim.workers[id])
				}
				replace(sim, n)
				sim.run(4 * time.Second)
				next := sim.owningNode()
				g.Expect(next).NotTo(gomega.BeNil())
				g.Expect(next).NotTo(gomega.BeIdenticalTo(n))
				g.Expect(next.state.owner.fence).To(gomega.BeNumerically(">", raised))
				if !n.up {
					n.start()
				}
				sim.run(4 * time.Second)
			}
			sim.report(t)
		})
	}
}

// TestFenceIsRaisedOnAQuietStream guards against a restarted worker that is not used until something else is appended.
func TestFenceIsRaisedOnAQuietStream(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	w := o.workers["w0000"]
	o.grantLease(w)
	o.noteStrayOrders(w)
	o.readOffset = int64(w.fence)
	g.Expect(o.raiseFence(w)).To(gomega.BeFalse())
	g.Expect(o.renewDue).To(gomega.BeTrue())
	o.readOffset++
	g.Expect(o.raiseFence(w)).To(gomega.BeTrue())
	g.Expect(w.fence).To(gomega.Equal(Fence(o.readOffset)))
	g.Expect(o.raiseFence(w)).To(gomega.BeFalse(), "it is raised once for each restart")
}

// TestOnlyRunsOnTheLaterIncarnationAreWaitedFor guards against a wait for the longest lease after each crash.
func TestOnlyRunsOnTheLaterIncarnationAreWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	o.s.settings.MaxLease = 10 * time.Second
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	confirmed, open, w := j.occurrences.live[0].steps[0].tasks[0], j.occurrences.live[0].steps[0].tasks[1], o.workers["w0000"]
	startOn(o, confirmed, w)
	o.assign(open, w)
	o.sendStart(open, open.lastRun)
	sentAt := o.s.now
	g.Expect(o.runExpiresAt(confirmed)).To(gomega.Equal(sentAt.Add(o.s.maxLeaseSpan())), "a crash")
	g.Expect(o.runExpiresAt(open)).To(gomega.Equal(sentAt.Add(orderDelivery+o.s.longestLeaseSpan())), "an unseen restart")
	open.step.spec.LongRunning = true
	g.Expect(o.runExpiresAt(open)).To(gomega.Equal(sentAt.Add(o.s.maxLeaseSpan())), "it may not be away for longer")

	restarted := w.info
	restarted.Incarnation++
	o.updateWorker(restarted)
	g.Expect(o.runExpiresAt(confirmed)).To(gomega.Equal(sentAt.Add(o.s.maxLeaseSpan())))
	g.Expect(o.runExpiresAt(open)).To(gomega.Equal(sentAt.Add(lateOrderEffect + o.s.longestLeaseSpan())))

	o.s.now = o.s.now.Add(time.Second)
	running := []RunReport{{Task: open.name(), Run: open.lastRun}}
	respond(o, w, Polled{Worker: w.info.ID, Outcome: OK, Incarnation: restarted.Incarnation, Running: running, SentAt: o.s.now, ReceivedAt: o.s.now})
	g.Expect(confirmed.worker).To(gomega.BeNil())
	g.Expect(o.runExpiresAt(open)).To(gomega.Equal(o.s.now.Add(o.s.longestLeaseSpan())))
}

// TestStartCarriedOutByALaterIncarnationStaysOpen guards against a lease that is taken for a short one because the start
// has been confirmed.
func TestStartCarriedOutByALaterIncarnationStaysOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	w.clock, w.clockReadAt = time.Hour, o.s.now
	o.assign(task, w)
	o.sendStart(task, task.lastRun)
	sentAt := o.s.now
	o.handleStartAnswered(StartAnswered{Worker: w.info.ID, Task: task.name(), Run: 1, Outcome: OK, Clock: time.Second, SentAt: sentAt})
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(sentAt.Add(lateOrderEffect + o.s.longestLeaseSpan())))
	g.Expect(w.usable(o.s.now)).To(gomega.BeFalse())
}

// TestNextOwnerWaitsForLeasesOfStrayOrders guards against a second run beside one that an order of the earlier owner has
// started on a later incarnation of its worker.
func TestNextOwnerWaitsForLeasesOfStrayOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	o.s.settings.MaxLease, o.s.wall = 10*time.Second, 3_600_000
	o.s.claim.previousOwner.Node = "earlier"
	renewedAt := o.s.now
	o.awaitEarlierLeases(renewedAt)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000, LongRunning: true})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	w.fenced, w.leaseUntil = false, o.earlierLeasesUntil
	o.bind(task, w, w.info.Incarnation)
	task.state, task.lastRun = runStartUnknown, 1
	for age, want := range map[time.Duration]vocab.Instant{
		time.Minute:     o.earlierLeasesUntil,
		2 * time.Second: renewedAt.Add(leaseAuthority + lateOrderEffect + o.s.longestLeaseSpan()),
	} {
		w.info.Incarnation = o.s.wall - Millis(age.Milliseconds())
		g.Expect(o.runExpiresAt(task)).To(gomega.Equal(want), age.String())
	}
	w.info.Incarnation = o.s.wall - Millis(time.Minute.Milliseconds())
	task.step.spec.LongRunning, w.openUntil = false, o.earlierLeasesUntil.Add(time.Second)
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(w.openUntil), "an unseen restart, of which the record of the silent worker tells")
	w.info.Incarnation = o.s.wall - 2000
	task.incarnation = w.info.Incarnation
	respond(o, w, Polled{Worker: w.info.ID, Outcome: OK, Incarnation: w.info.Incarnation, Running: []RunReport{{Task: task.name(), Run: 1}}, SentAt: o.s.now, ReceivedAt: o.s.now})
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(o.s.now.Add(o.s.longestLeaseSpan())))
}

// TestWorkerThatWasForgottenAcceptsOrders guards against an owner that loses the ownership to itself: it had forgotten a
// worker that was away for long, and the fence that it had raised for it.
func TestWorkerThatWasForgottenAcceptsOrders(t *testing.T) {
	for _, away := range []time.Duration{9 * time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(1, 3, 4, faults{})
			sim.pollsWait, sim.connections = true, holdOrders
			sim.run(3 * time.Second)
			sim.submit(Spec{Steps: []Step{{Count: 8, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000}}})
			sim.run(2 * time.Second)
			n, wk := sim.owningNode(), sim.workers[sim.workerIDs[0]]
			sim.restartWorker(wk)
			sim.run(2 * time.Second)
			owner := n.state.owner
			g.Expect(wk.fence).To(gomega.BeNumerically(">", owner.fence))
			wk.unreachable, wk.unlisted = true, true
			sim.run(away)
			wk.unreachable, wk.unlisted = false, false
			sim.run(5 * time.Second)
			g.Expect(n.state.owner).To(gomega.BeIdenticalTo(owner))
			g.Expect(owner.workers[wk.info.ID].usable(sim.now)).To(gomega.BeTrue())
			sim.report(t)
		})
	}
}

// TestSecondRestartForgetsTheFence guards against a wait that ends too early: the response of one incarnation had bounded
// the stray orders of the next as well, which has seen no fence.
func TestSecondRestartForgetsTheFence(t *testing.T) {
	restart := func(o *owner, w *worker, respondsAfter time.Duration) {
		info := w.info
		info.Incarnation++
		o.updateWorker(info)
		o.s.now = o.s.now.Add(respondsAfter)
		if respondsAfter > 0 {
			respond(o, w, Polled{Worker: info.ID, Outcome: OK, Incarnation: info.Incarnation, SentAt: o.s.now, ReceivedAt: o.s.now})
		}
	}
	t.Run("orders of this owner", func(t *testing.T) {
		g := gomega.NewWithT(t)
		o := fleetOf(1)
		o.s.settings.MaxLease = 10 * time.Second
		w := o.workers["w0000"]
		o.grantLease(w)
		sentAt := o.s.now
		restart(o, w, 600*time.Millisecond)
		g.Expect(w.strayUntil).To(gomega.Equal(o.s.now.Add(o.s.longestLeaseSpan())))
		restart(o, w, 0)
		g.Expect(w.strayUntil).To(gomega.Equal(sentAt.Add(o.s.strayLeaseSpan())))
		g.Expect(w.fenceDue).To(gomega.BeTrue())
	})
	t.Run("orders of an earlier owner", func(t *testing.T) {
		g := gomega.NewWithT(t)
		o := fleetOf(1)
		o.s.settings.MaxLease, o.s.claim.previousOwner.Node = 10*time.Second, "earlier"
		o.awaitEarlierLeases(o.s.now)
		w := o.workers["w0000"]
		restart(o, w, 600*time.Millisecond)
		restart(o, w, 0)
		g.Expect(o.strayLeasesUntil(w, w.info.Incarnation)).To(gomega.Equal(o.earlierStrayUntil))
	})
}

// TestLaterOrderExtendsTheLeaseOfAnOpenStart guards against a wait that counts from the start of the run alone.
func TestLaterOrderExtendsTheLeaseOfAnOpenStart(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	o.s.settings.MaxLease = 10 * time.Second
	j := addTestJob(o, 1, Step{Count: 2, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	first, second, w := j.occurrences.live[0].steps[0].tasks[0], j.occurrences.live[0].steps[0].tasks[1], o.workers["w0000"]
	o.assign(first, w)
	o.sendStart(first, first.lastRun)
	o.s.now = o.s.now.Add(time.Second)
	o.assign(second, w)
	o.sendStart(second, second.lastRun)
	g.Expect(o.runExpiresAt(first)).To(gomega.Equal(o.s.now.Add(orderDelivery + o.s.longestLeaseSpan())))
}

// TestOldReadingShowsARestart guards against a restart that is not noticed because the last reading of the worker's clock
// is old.
func TestOldReadingShowsARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	w.clock, w.clockReadAt = 200*time.Millisecond, o.s.now
	o.s.now = o.s.now.Add(14 * time.Second)
	o.assign(task, w)
	o.sendStart(task, task.lastRun)
	o.handleStartAnswered(StartAnswered{Worker: w.info.ID, Task: task.name(), Run: 1, Outcome: OK, Clock: 500 * time.Millisecond, SentAt: o.s.now})
	g.Expect(task.openStarts).To(gomega.Equal(1))
	g.Expect(w.usable(o.s.now)).To(gomega.BeFalse())
}

// TestSlowAnswerOfTheFirstCopyShowsNoRestart guards against a worker that is taken for restarted because its clock was read
// and the start repeated before the answer came.
func TestSlowAnswerOfTheFirstCopyShowsNoRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	w.clock, w.clockReadAt = time.Hour, o.s.now
	o.assign(task, w)
	o.sendStart(task, task.lastRun)
	sentAt := o.s.now
	w.clock, w.clockReadAt = time.Hour+120*time.Millisecond, sentAt.Add(120*time.Millisecond)
	o.s.now = sentAt.Add(160 * time.Millisecond)
	o.resendStarts(w)
	g.Expect(task.startsSent).To(gomega.Equal(2))
	o.handleStartAnswered(StartAnswered{Worker: w.info.ID, Task: task.name(), Run: 1, Outcome: OK, Clock: time.Hour + 10*time.Millisecond, SentAt: sentAt})
	g.Expect(w.fenced).To(gomega.BeTrue())
	g.Expect(w.strayUntil).To(gomega.BeZero())
}

// TestNextOwnerKnowsWhichWorkersHaveRestarted guards against a wait for the longest lease of each worker that is new: its
// long-running tasks were away for longer than they may when it crashed.
func TestNextOwnerKnowsWhichWorkersHaveRestarted(t *testing.T) {
	awayFor := func(age time.Duration) time.Duration {
		g := gomega.NewWithT(t)
		sim := newSimulation(1, 3, 4, faults{})
		sim.pollsWait, sim.connections, sim.settings.MaxLease = true, holdOrders, 10*time.Second
		for _, id := range sim.workerIDs {
			sim.workers[id].info.Incarnation = sim.wall() + 10_000 - Millis(age.Milliseconds())
		}
		sim.restartNodes()
		sim.run(3 * time.Second)
		sim.submit(Spec{Steps: []Step{{Count: 4, Need: Resources{CPU: 3000, Memory: 64}, EstimateMS: 600_000, LongRunning: true, MaxUnavailable: 1}}})
		sim.run(7 * time.Second)
		atWork := func() int {
			n := 0
			for _, wk := range sim.workers {
				if wk.up {
					n += len(wk.runs)
				}
			}
			return n
		}
		g.Expect(atWork()).To(gomega.Equal(4))
		wk := sim.busyWorker()
		wk.up, wk.unlisted, wk.runs = false, true, map[TaskName]*fakeRun{}
		crashedAt := sim.now
		sim.run(300 * time.Millisecond)
		sim.owningNode().kill()
		for atWork() < 4 && sim.now.Sub(crashedAt) < time.Minute {
			sim.run(50 * time.Millisecond)
		}
		sim.report(t)
		return sim.now.Sub(crashedAt)
	}
	g := gomega.NewWithT(t)
	g.Expect(awayFor(11 * time.Second)).To(gomega.BeNumerically("<=", awayFor(time.Hour)+TickInterval))
}

// TestOwnerRecordNamesStrayOrders guards against a next owner that does not know of a restart which the earlier one has noticed.
func TestOwnerRecordNamesStrayOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	o.s.settings.MaxLease = 10 * time.Second
	w := o.workers["w0000"]
	o.grantLease(w)
	info := w.info
	info.Incarnation++
	o.updateWorker(info)
	g.Expect(o.renewDue).To(gomega.BeTrue())
	record := encodeOwner(o.ownerRecord())

	next := New(Identity{Node: "next", Incarnation: 2}, o.s.settings)
	next.now = vocab.Instant(time.Minute)
	_, err := next.ledger.fold(next.now, record)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next.claim.previousOwner, next.claim.heartbeatBeforeClaim = next.ledger.owner, next.now
	owner := newOwner(next, o.fence+1)
	g.Expect(owner.earlierNotesStrays).To(gomega.BeTrue())
	g.Expect(owner.worker("w0000").strayUntil.Sub(next.now)).To(gomega.BeNumerically("~", o.s.strayLeaseSpan(), 2*time.Millisecond))
	g.Expect(owner.worker("w0001").strayUntil).To(gomega.BeZero())
}

// TestStoppedRunOfAnEarlierOwnerIsWaitedFor guards against a run that is given up earlier because it is to be stopped.
func TestStoppedRunOfAnEarlierOwnerIsWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	o.s.claim.previousOwner.Node = "earlier"
	o.awaitEarlierLeases(o.s.now)
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 20_000})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	w.fenced, w.leaseUntil, w.openUntil = false, o.earlierLeasesUntil, o.earlierLeasesUntil.Add(time.Second)
	o.bind(task, w, w.info.Incarnation)
	task.state, task.lastRun = runStartUnknown, 1
	until := o.runExpiresAt(task)
	g.Expect(until).To(gomega.Equal(w.openUntil))
	o.stopTask(task)
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(until))
}

// TestStartIsNotOpenForGood guards against a long wait for a run that began long ago and of whose start one copy had no answer.
func TestStartIsNotOpenForGood(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	o.s.settings.MaxLease = 10 * time.Second
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 100, Memory: 10}, EstimateMS: 600_000})
	task, w := j.occurrences.live[0].steps[0].tasks[0], o.workers["w0000"]
	startOn(o, task, w)
	task.openStarts = 1
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(o.s.now.Add(orderDelivery + o.s.longestLeaseSpan())))
	o.s.now = o.s.now.Add(time.Minute)
	w.lastHeardAt = o.s.now
	o.grantLease(w)
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(o.s.now.Add(o.s.maxLeaseSpan())), "a crash")
	info := w.info
	info.Incarnation++
	o.updateWorker(info)
	g.Expect(o.runExpiresAt(task)).To(gomega.Equal(o.s.now.Add(o.s.maxLeaseSpan())), "a restart")
}
