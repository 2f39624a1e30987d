package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/crash"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// plannedEnd is a change of owner around the planned end of a worker with a run.
type plannedEnd struct {
	earlier, next *owner
	w             *worker
	// record is the job's record as the earlier owner wrote it.
	record *JobRecord
	// readAt is when the next owner has read the records, by key; if not set, at its takeover.
	readAt map[string]vocab.Instant
}

// newPlannedEnd returns an owner with a run that has been going on for five seconds on the worker w0000.
func newPlannedEnd() *plannedEnd {
	c := &plannedEnd{earlier: fleetOf(2)}
	o := c.earlier
	j := addTestJob(o, 1, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, LongRunning: true})
	c.w = o.workers["w0000"]
	m := &machine{info: MachineInfo{ID: c.w.info.Machine, Pool: "p", Worker: c.w.info.ID}}
	o.fleet.machines[m.info.ID], o.fleet.machineIDs = m, []MachineID{m.info.ID}
	c.record = &JobRecord{ID: j.record.ID, Acceptance: j.acceptance, Phase: PhaseRunning}
	startOn(o, firstTask(j), c.w)
	c.pass(o, 5*time.Second)
	c.w.lastHeardAt = o.s.now
	return c
}

// pass moves the clocks of a node.
func (c *plannedEnd) pass(o *owner, d time.Duration) {
	o.s.now, o.s.wall = o.s.now.Add(d), o.s.wall+Millis(d.Milliseconds())
}

// orderMaintenance lets the earlier owner order the worker's machine and returns the record of it.
func (c *plannedEnd) orderMaintenance() []Record {
	c.earlier.scheduleOrder(c.earlier.fleet.machines[c.w.info.Machine], OrderMaintenance, "", 1)
	return c.earlier.orderLogRecord()
}

// replace makes another node the owner, once it has read the records and the job's record.
func (c *plannedEnd) replace(t *testing.T, records []Record) *owner {
	t.Helper()
	n := fleetOf(0)
	n.s.now, n.s.wall = c.earlier.s.now, c.earlier.s.wall
	for _, r := range records {
		at, followed := c.readAt[r.Key]
		if !followed {
			at = n.s.now
		}
		if _, err := n.s.ledger.fold(at, r); err != nil {
			t.Fatal(err)
		}
	}
	j := c.earlier.jobs[c.record.ID]
	encoded, err := encodeProgress(c.record.ID, PhaseRunning, append(j.taskRows(), j.hostRows()...))
	if err != nil {
		t.Fatal(err)
	}
	n.activeAt = n.s.now
	n.addJob(&JobRecord{ID: c.record.ID, Acceptance: c.record.Acceptance, Phase: PhaseRunning, progress: encoded.Value[1:]})
	c.next = n
	return n
}

// list lets the platform list a worker to the next owner, and the worker respond to it.
func (c *plannedEnd) list(info WorkerInfo) *worker {
	c.next.updateWorker(info)
	w := c.next.workers[info.ID]
	w.fenced = true
	return w
}

// crashes returns what the next owner has counted against the task.
func (c *plannedEnd) crashes() crash.Record { return firstTask(c.next.jobs[c.record.ID]).crash }

// lose lets the next owner give up the runs of the worker.
func (c *plannedEnd) lose(cause lossCause) {
	w := c.next.workers[c.w.info.ID]
	c.next.loseRuns(w, w.tasks, cause)
}

// TestMaintenanceOfAnUnlistedWorkerIsNoCrash guards against a loss that the next owner took for unexplained, and its
// task for a suspect: the machine of a worker that the platform lists no more is not known, and the order to it
// therefore neither.
func TestMaintenanceOfAnUnlistedWorkerIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	c.replace(t, c.orderMaintenance())
	c.lose(lossLeaseExpired)
	g.Expect(c.crashes()).To(gomega.BeZero())

	c = newPlannedEnd()
	records := c.orderMaintenance()
	later, err := json.Marshal(orderRecord{Answered: []MachineID{c.w.info.Machine}, Workers: []WorkerID{"w0009"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c.replace(t, append(records, Record{Key: ordersPrefix + "9-1", Value: later}))
	c.lose(lossLeaseExpired)
	g.Expect(c.crashes()).To(gomega.BeZero(), "the machine's next worker was ordered as well")

	c = newPlannedEnd()
	c.replace(t, nil)
	c.lose(lossLeaseExpired)
	g.Expect(c.crashes()).NotTo(gomega.BeZero(), "nothing was ordered")
}

// skews are what the clocks of two machines may differ by.
var skews = []time.Duration{-5 * time.Second, -2 * time.Second, 0, 2 * time.Second, 5 * time.Second}

// TestOrderToAYoungWorkerIsNoCrash guards against an order that counted as one from before the start of the worker it
// ended, because the time of day in the order and the worker's start come from two clocks.
func TestOrderToAYoungWorkerIsNoCrash(t *testing.T) {
	for _, skew := range skews {
		t.Run(skew.String(), func(t *testing.T) {
			c := newPlannedEnd()
			c.w.info.Incarnation = c.earlier.s.wall - 1000 + Millis(skew.Milliseconds())
			c.replace(t, c.orderMaintenance())
			c.list(c.w.info)
			c.lose(lossWorkerReplaced)
			gomega.NewWithT(t).Expect(c.crashes()).To(gomega.BeZero())
		})
	}
}

// TestOrderThatBroughtTheWorkerExplainsNoCrash guards against the reverse: the crash of a machine's next worker, whose
// clock is behind, counted as the effect of the order that had brought it.
func TestOrderThatBroughtTheWorkerExplainsNoCrash(t *testing.T) {
	for _, skew := range skews {
		t.Run(skew.String(), func(t *testing.T) {
			c := newPlannedEnd()
			records := c.orderMaintenance()
			later := c.w.info
			later.ID, later.Incarnation = "w0009", c.earlier.s.wall+1000+Millis(skew.Milliseconds())
			next, task := c.earlier.worker(later.ID), c.w.tasks[0]
			next.info, next.listed, next.fenced = later, true, true
			c.earlier.release(task)
			startOn(c.earlier, task, next)
			c.replace(t, records)
			c.w = c.list(later)
			c.lose(lossWorkerReplaced)
			gomega.NewWithT(t).Expect(c.crashes().Possible + c.crashes().Crashes).To(gomega.Equal(1))
		})
	}
}

// TestLateOrderOfTheEarlierOwnerIsNoCrash guards against a crash that was counted because the next owner had started a run
// before an order of the earlier one, which was under way, took the machine away.
func TestLateOrderOfTheEarlierOwnerIsNoCrash(t *testing.T) {
	for _, tc := range []struct {
		name     string
		after    time.Duration
		silent   bool
		answered bool
		crashes  int
	}{
		{name: "at once", after: 20 * time.Millisecond},
		{name: "late", after: 3500 * time.Millisecond},
		{name: "noticed when the lease has passed", after: 9 * time.Second, silent: true},
		{name: "too late", after: 15 * time.Second, crashes: 1},
		{name: "answered before", after: 20 * time.Millisecond, answered: true, crashes: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newPlannedEnd()
			records := c.orderMaintenance()
			if tc.answered {
				c.earlier.handleMachineOrderAnswered(MachineOrderAnswered{
					Machine: c.w.info.Machine, Order: OrderMaintenance, Outcome: NotDone,
				})
				records = append(records, c.earlier.orderLogRecord()...)
			}
			o := c.replace(t, records)
			w := c.list(c.w.info)
			c.pass(o, 10*time.Millisecond)
			other := addTestJob(o, 2, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 60_000})
			startOn(o, firstTask(other), w)
			if tc.silent {
				w.silentSince = o.s.now.Add(time.Second)
			}
			c.pass(o, tc.after)
			c.lose(lossWorkerReplaced)
			g := gomega.NewWithT(t)
			g.Expect(firstTask(other).crash.Crashes).To(gomega.Equal(tc.crashes))
			g.Expect(c.crashes().Crashes + c.crashes().Possible).To(gomega.Equal(tc.crashes))
		})
	}
}

// TestRestartAfterADrainIsNoCrash guards against a crash that was counted when a worker that had been draining started again
// under its ID: the entry of the new incarnation does not drain.
func TestRestartAfterADrainIsNoCrash(t *testing.T) {
	for _, polled := range []bool{false, true} {
		g := gomega.NewWithT(t)
		c := newPlannedEnd()
		o, w := c.earlier, c.w
		task, info := w.tasks[0], w.info
		info.Draining = true
		o.updateWorker(info)
		info.Draining, info.Incarnation = false, info.Incarnation+1
		if !polled {
			o.updateWorker(info)
		}
		respond(o, w, Polled{Worker: info.ID, Outcome: OK, Incarnation: info.Incarnation, SentAt: o.s.now, ReceivedAt: o.s.now})
		g.Expect(task.worker).To(gomega.BeNil())
		g.Expect(task.crash).To(gomega.BeZero())

		o.updateWorker(info)
		startOn(o, task, w)
		c.pass(o, time.Second)
		info.Incarnation++
		o.updateWorker(info)
		respond(o, w, Polled{Worker: info.ID, Outcome: OK, Incarnation: info.Incarnation, SentAt: o.s.now, ReceivedAt: o.s.now})
		g.Expect(task.crash.Crashes).To(gomega.Equal(1), "the new incarnation was not draining")
	}
}

// TestDrainIsKnownToTheNextOwner guards against a crash, or an unexplained loss, that the next owner counted when a worker
// that the earlier one had seen draining was listed no more.
func TestDrainIsKnownToTheNextOwner(t *testing.T) {
	for _, cause := range []lossCause{lossWorkerReplaced, lossLeaseExpired, lossWorkerRestarted} {
		t.Run(cause.label(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newPlannedEnd()
			info := c.w.info
			info.Draining = true
			c.earlier.updateWorker(info)
			var records []Record
			if c.earlier.orderLog.changed {
				records = c.earlier.orderLogRecord()
			}
			c.replace(t, records)
			if cause == lossWorkerRestarted {
				info.Draining, info.Incarnation = false, info.Incarnation+1
				c.list(info)
			}
			c.lose(cause)
			g.Expect(c.crashes()).To(gomega.BeZero())

			c.replace(t, records)
			info = c.w.info
			info.Draining = false
			c.list(info)
			c.lose(lossWorkerReplaced)
			g.Expect(c.crashes()).NotTo(gomega.BeZero(), "the platform lists it as ready again")
		})
	}
}

// TestDrainIsWrittenWithTheRenewal guards against a drain that no record has until something else is written.
func TestDrainIsWrittenWithTheRenewal(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	o := c.earlier
	o.dirty, o.actions, o.extraRecords, o.planDue = nil, nil, nil, false
	o.ordersUntil = o.s.now.Add(time.Millisecond)
	info := c.w.info
	info.Draining = true
	o.updateWorker(info)
	o.finishStep()
	g.Expect(o.pendingAppend).NotTo(gomega.BeNil())
	g.Expect(slices.ContainsFunc(o.pendingAppend.records, func(r Record) bool { return isOrderRecord(r.Key) })).To(gomega.BeTrue())
}

// TestOrderIsKnownWhenTheLeaseHasPassed guards against an order that had expired before the loss of its worker was noticed: leases
// of the longest kind pass late, and a change of owner may begin the wait anew.
func TestOrderIsKnownWhenTheLeaseHasPassed(t *testing.T) {
	for _, maxLease := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(maxLease.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newPlannedEnd()
			c.earlier.s.settings.MaxLease = maxLease
			o := c.replace(t, c.orderMaintenance())
			o.s.settings.MaxLease = maxLease
			// The earlier owner orders once more and extends leases until its authority ends, and the next one claims then.
			noticed := orderAuthority + ownerTimeout + claimJitter + leaseAuthority + o.s.longestLeaseSpan()
			for c.pass(o, 0); o.s.now.Sub(c.earlier.s.now) < noticed; c.pass(o, claimRemovalInterval) {
				o.removeClaims()
			}
			g.Expect(o.extraRecords).To(gomega.BeEmpty(), "the record stays on the stream for a later owner")
			c.lose(lossLeaseExpired)
			g.Expect(c.crashes()).To(gomega.BeZero())
		})
	}
}

// TestWorkerThatIsBackHasNotCrashed guards against a presumed crash that the next planned end of the worker confirmed: the worker
// had been cut off, and responded again under the same incarnation after its runs had been given up.
func TestWorkerThatIsBackHasNotCrashed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	o, w := c.earlier, c.w
	task := w.tasks[0]
	w.silentSince = o.s.now
	o.loseRuns(w, w.tasks, lossLeaseExpired)
	g.Expect(counts(task)).To(gomega.Equal(crash.Record{Suspected: 1, Unexplained: 1}))
	w.pollInFlight = true
	o.handlePolled(Polled{Worker: w.info.ID, Outcome: OK, Incarnation: w.info.Incarnation, SentAt: o.s.now, ReceivedAt: o.s.now})
	g.Expect(task.crash).To(gomega.BeZero(), "it was a cut")
	later := w.info
	later.ID, later.Incarnation = "w0009", later.Incarnation+1
	o.updateWorker(later)
	g.Expect(task.crash).To(gomega.BeZero())
}

// TestPlannedEndConfirmsNoPresumedCrash guards against a crash that was counted when a worker which may have been cut off was
// ordered away, or drained, before the next one was on its machine.
func TestPlannedEndConfirmsNoPresumedCrash(t *testing.T) {
	for _, tc := range []struct {
		name    string
		end     func(*plannedEnd)
		crashes int
	}{
		{name: "nothing", end: func(*plannedEnd) {}, crashes: 1},
		{name: "order", end: func(c *plannedEnd) { c.orderMaintenance() }},
		{name: "drain", end: func(c *plannedEnd) {
			info := c.w.info
			info.Draining = true
			c.earlier.updateWorker(info)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newPlannedEnd()
			o, w := c.earlier, c.w
			task := w.tasks[0]
			o.loseRuns(w, w.tasks, lossLeaseExpired)
			tc.end(c)
			later := w.info
			later.ID, later.Incarnation, later.Draining = "w0009", later.Incarnation+1, false
			o.updateWorker(later)
			gomega.NewWithT(t).Expect(task.crash.Crashes).To(gomega.Equal(tc.crashes))
		})
	}
}

// TestOrderReachesOwnersInTurn: an order is known however the ownership changes after it: to an appointed owner, to one that claims,
// to the second of two owners within two seconds, and to a node that loads the stream again.
func TestOrderReachesOwnersInTurn(t *testing.T) {
	for _, owners := range []int{1, 2} {
		for _, reloaded := range []bool{false, true} {
			for _, gap := range []time.Duration{20 * time.Millisecond, 2 * time.Second} {
				t.Run(fmt.Sprintf("%d owners, reloaded %v, after %v", owners, reloaded, gap), func(t *testing.T) {
					g := gomega.NewWithT(t)
					c := newPlannedEnd()
					records := c.orderMaintenance()
					if owners == 2 {
						second := c.replace(t, records)
						c.list(c.w.info)
						c.pass(second, gap)
						records = append(records, second.orderLogRecord()...)
						c.earlier = second
					}
					c.pass(c.earlier, gap)
					o := c.replace(t, records)
					if reloaded {
						o.s.handleStreamLoaded(StreamLoaded{Records: records})
					}
					c.lose(lossWorkerReplaced)
					g.Expect(c.crashes()).To(gomega.BeZero())
				})
			}
		}
	}
}

// TestLossIsCountedByOneOwner: a loss that is not on the stream is counted by the next owner alone, one that is there by nobody else.
func TestLossIsCountedByOneOwner(t *testing.T) {
	for _, cause := range []lossCause{lossLeaseExpired, lossWorkerReplaced} {
		for _, written := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, written %v", cause.label(), written), func(t *testing.T) {
				g := gomega.NewWithT(t)
				c := newPlannedEnd()
				lose := func() { c.earlier.loseRuns(c.w, c.w.tasks, cause) }
				if written {
					lose()
				}
				c.replace(t, nil)
				if !written {
					lose()
				}
				if next := c.next.workers[c.w.info.ID]; next != nil {
					c.next.loseRuns(next, next.tasks, cause)
				}
				later := c.w.info
				later.ID, later.Incarnation = "w0009", later.Incarnation+1
				c.next.updateWorker(later)
				counts := c.crashes()
				g.Expect(counts.Crashes + counts.Possible + counts.Unexplained).To(gomega.Equal(1))
				g.Expect(counts.Suspected).To(gomega.Equal(1))
			})
		}
	}
}

// TestOrderWithoutResponseMayTakeEffectLater guards against crashes that were counted when an order without a response, which had
// been taken for one without effect, ended the worker and the runs started there meanwhile.
func TestOrderWithoutResponseMayTakeEffectLater(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcome  Outcome
		sameNode bool
		after    time.Duration
		crashes  int
	}{
		{name: "same owner", outcome: Unknown, sameNode: true, after: 9 * time.Second},
		{name: "next owner", outcome: Unknown, after: 9 * time.Second},
		{name: "too late", outcome: Unknown, sameNode: true, after: 13 * time.Second, crashes: 1},
		{name: "refused", outcome: NotDone, sameNode: true, after: 9 * time.Second, crashes: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newPlannedEnd()
			o, m := c.earlier, c.earlier.fleet.machines[c.w.info.Machine]
			task := c.w.tasks[0]
			o.release(task)
			o.scheduleOrder(m, OrderMove, "other", 0)
			records := o.orderLogRecord()
			o.sendOrder(m)
			note := func() {
				if o.orderLog.changed {
					records = append(records, o.orderLogRecord()...)
				}
				for _, r := range records {
					_, err := o.s.ledger.fold(o.s.now, r)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				records = records[:0]
			}
			all := slices.Clone(records)
			note()
			o.handleMachineOrderAnswered(MachineOrderAnswered{Machine: m.info.ID, Order: OrderMove, Outcome: tc.outcome})
			c.pass(o, 3*time.Second)
			o.handleMachinesListed(MachinesListed{OK: true, Machines: []MachineInfo{m.info}, SentAt: o.s.now})
			g.Expect(m.orderPending).To(gomega.BeFalse())
			if o.orderLog.changed {
				records = o.orderLogRecord()
				all = append(all, records...)
			}
			note()
			c.pass(o, 10*time.Millisecond)
			startOn(o, task, c.w)
			g.Expect(task.worker).NotTo(gomega.BeNil())
			if !tc.sameNode {
				o = c.replace(t, all)
				c.list(c.w.info)
				task = firstTask(o.jobs[c.record.ID])
				c.pass(o, 10*time.Millisecond)
				startOn(o, firstTask(addTestJob(o, 2, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}})), c.next.workers[c.w.info.ID])
			}
			c.pass(o, tc.after)
			w := o.workers[c.w.info.ID]
			o.loseRuns(w, w.tasks, lossWorkerReplaced)
			g.Expect(task.crash.Crashes + task.crash.Possible).To(gomega.Equal(tc.crashes))
		})
	}
}

// TestWorkersOfAPoolMarkedAsSpareHaveNotCrashed guards against crashes that were counted when the operator marked a pool as the
// spare pool, whose machines are off.
func TestWorkersOfAPoolMarkedAsSpareHaveNotCrashed(t *testing.T) {
	for _, cause := range []lossCause{lossWorkerReplaced, lossLeaseExpired} {
		for _, owner := range []string{"same owner", "next owner", "next owner, not listed"} {
			t.Run(cause.label()+", "+owner, func(t *testing.T) {
				g := gomega.NewWithT(t)
				c := newPlannedEnd()
				o, w, task := c.earlier, c.w, c.w.tasks[0]
				if owner != "same owner" {
					o = c.replace(t, nil)
					w, task = o.workers[w.info.ID], firstTask(o.jobs[c.record.ID])
				}
				if owner == "next owner" {
					c.list(c.w.info)
				}
				spare := &Config{Version: 2, Pools: []Pool{{Name: "p", Spare: true}, {Name: "other"}}, Queues: o.s.config.Queues, Teams: o.s.config.Teams}
				o.s.handleConfigRead(ConfigRead{Config: spare})
				c.pass(o, time.Second)
				o.loseRuns(w, w.tasks, cause)
				g.Expect(task.crash).To(gomega.BeZero())

				if !w.listed {
					return
				}
				startOn(o, task, w)
				o.loseRuns(w, w.tasks, cause)
				g.Expect(task.crash).NotTo(gomega.BeZero(), "the worker has started a run since")
			})
		}
	}
}

// TestStartsThatNeverRanAreNotCounted: neither a refused start nor one that was not sent counts towards the crashes of its task.
func TestStartsThatNeverRanAreNotCounted(t *testing.T) {
	for _, tc := range []struct {
		name     string
		change   func(*plannedEnd, *task)
		possible int
	}{
		{name: "refused", change: func(c *plannedEnd, other *task) {
			c.earlier.sendStart(other, other.lastRun)
			c.earlier.handleStartAnswered(StartAnswered{Worker: c.w.info.ID, Task: other.name(), Run: other.lastRun, Outcome: NotDone, Refusal: RefusalCapacity})
		}},
		{name: "intended", change: func(*plannedEnd, *task) {}},
		{name: "resigned before", change: func(c *plannedEnd, other *task) {
			c.earlier.resigned = true
			c.earlier.sendStart(other, other.lastRun)
		}},
		{name: "no response", possible: 1, change: func(c *plannedEnd, other *task) {
			c.earlier.sendStart(other, other.lastRun)
			c.earlier.handleStartAnswered(StartAnswered{Worker: c.w.info.ID, Task: other.name(), Run: other.lastRun, Outcome: Unknown})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newPlannedEnd()
			other := firstTask(addTestJob(c.earlier, 2, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700}))
			c.earlier.assign(other, c.w)
			tc.change(c, other)
			c.earlier.loseRuns(c.w, c.w.tasks, lossWorkerReplaced)
			g.Expect(other.crash.Possible).To(gomega.Equal(tc.possible))
			g.Expect(other.crash.Crashes).To(gomega.BeZero())
		})
	}
}

// TestStartOnASilentWorkerIsNotCounted: a start without a response that was sent when the worker had stopped responding came
// too late to have a part in its crash.
func TestStartOnASilentWorkerIsNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	o, w := c.earlier, c.w
	w.pollInFlight = true
	o.handlePolled(Polled{Worker: w.info.ID, Outcome: Unknown})
	c.pass(o, 50*time.Millisecond)
	other := firstTask(addTestJob(o, 2, Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700}))
	o.assign(other, w)
	o.sendStart(other, other.lastRun)
	o.handleStartAnswered(StartAnswered{Worker: w.info.ID, Task: other.name(), Run: other.lastRun, Outcome: Unknown})
	c.pass(o, time.Second)
	o.loseRuns(w, w.tasks, lossWorkerReplaced)
	g.Expect(other.crash).To(gomega.BeZero())
}

// TestIntentOfAResignedOwnerIsNotCounted: the next owner starts the runs that the last append of an owner intends; one whose worker
// ends before that has not been started.
func TestIntentOfAResignedOwnerIsNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	o, task := c.earlier, c.w.tasks[0]
	o.release(task)
	o.assign(task, c.w)
	o.resigned = true
	c.replace(t, nil)
	c.list(c.w.info)
	c.lose(lossWorkerReplaced)
	g.Expect(c.crashes()).To(gomega.BeZero())
}

// TestOrderNamesAWorkerThatIsNotListedYet guards against a crash that was counted when a late order took the machine's next worker away,
// which the list of machines had, but not yet the list of workers.
func TestOrderNamesAWorkerThatIsNotListedYet(t *testing.T) {
	for _, skew := range skews {
		t.Run(skew.String(), func(t *testing.T) {
			c := newPlannedEnd()
			o, m := c.earlier, c.earlier.fleet.machines[c.w.info.Machine]
			task, next := c.w.tasks[0], c.w.info
			o.release(task)
			next.ID, next.Incarnation = "w0009", o.s.wall-1000+Millis(skew.Milliseconds())
			m.info.Worker, o.workers[c.w.info.ID].listed = next.ID, false
			records := c.orderMaintenance()
			o.updateWorker(next)
			c.pass(o, time.Second)
			o.workers[next.ID].fenced = true
			startOn(o, task, o.workers[next.ID])
			c.replace(t, records)
			c.w = c.list(next)
			c.lose(lossWorkerReplaced)
			gomega.NewWithT(t).Expect(c.crashes()).To(gomega.BeZero())
		})
	}
}

// TestPlannedEndIsKnownHoweverOftenTheOwnerChanges guards against an order or a drain that had expired before the loss was noticed: each
// change of owner begins the wait for a worker anew that the platform does not list.
func TestPlannedEndIsKnownHoweverOftenTheOwnerChanges(t *testing.T) {
	for _, drains := range []bool{false, true} {
		t.Run(fmt.Sprintf("drains %v", drains), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newPlannedEnd()
			var records []Record
			if drains {
				info := c.w.info
				info.Draining = true
				c.earlier.updateWorker(info)
				records = c.earlier.orderLogRecord()
			} else {
				records = c.orderMaintenance()
			}
			c.readAt = map[string]vocab.Instant{}
			note := func(o *owner, written []Record) {
				for _, r := range written {
					c.readAt[r.Key] = o.s.now
				}
			}
			note(c.earlier, records)
			for fence := Fence(6); fence < 16; fence++ {
				o := c.replace(t, records)
				o.fence, o.workers[c.w.info.ID].leaseUntil = fence, o.s.now.Add(time.Minute)
				for range 2 {
					c.pass(o, 2*time.Second)
					o.handleWorkersListed(WorkersListed{Full: true})
					o.removeClaims()
				}
				g.Expect(firstTask(o.jobs[c.record.ID]).worker).NotTo(gomega.BeNil(), "the lease may not have passed")
				if o.orderLog.changed {
					added := o.orderLogRecord()
					records = append(records, added...)
					note(o, added)
				}
				for _, r := range o.extraRecords {
					if r.Value == nil {
						records = slices.DeleteFunc(records, func(before Record) bool { return before.Key == r.Key })
					}
				}
				c.earlier = o
			}
			c.lose(lossLeaseExpired)
			g.Expect(c.crashes()).To(gomega.BeZero())
		})
	}
}

// TestRunsOfADrainAreLostInTurn guards against a crash that was counted for the second loss after a drain: the worker was known by a
// poll to have started again before the platform listed it so, and its next incarnation was noted as draining.
func TestRunsOfADrainAreLostInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	o, w := c.earlier, c.w
	task, info := w.tasks[0], w.info
	info.Draining = true
	o.updateWorker(info)
	o.handleRestart(w, w.info.Incarnation, info.Incarnation+1)
	o.noteDrain(w)
	info.Draining, info.Incarnation = false, info.Incarnation+1
	o.updateWorker(info)
	o.loseRuns(w, w.tasks, lossWorkerRestarted)
	g.Expect(task.crash).To(gomega.BeZero())
}

// TestOrderRecordsOfOtherVersions: an earlier version reads the machines of a record, and a record of one is matched by machine.
func TestOrderRecordsOfOtherVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPlannedEnd()
	info := c.w.info
	info.Draining = true
	c.earlier.updateWorker(info)
	record := c.orderMaintenance()[0]
	var earlier struct {
		Open     []MachineID `json:"open,omitempty"`
		Answered []MachineID `json:"done,omitempty"`
		At       Millis      `json:"at,omitempty"`
	}
	g.Expect(json.Unmarshal(record.Value, &earlier)).To(gomega.Succeed())
	g.Expect(earlier.Open).To(gomega.Equal([]MachineID{c.w.info.Machine}))
	g.Expect(earlier.At).To(gomega.Equal(c.earlier.s.wall))

	value, err := json.Marshal(earlier)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c.replace(t, []Record{{Key: record.Key, Value: value}})
	g.Expect(c.next.s.ledger.drains).To(gomega.BeEmpty())
	info.Draining = false
	c.list(info)
	c.lose(lossWorkerReplaced)
	g.Expect(c.crashes()).To(gomega.BeZero())
}
