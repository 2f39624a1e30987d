package job

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// evacuationOwner returns an owner with a worker w1 in zone a and w2 in zone b, each with room for
// two tasks, and a step of two tasks that wait.
func evacuationOwner(step Step) (*owner, *twoTasks) {
	o := demandOwner(Resources{})
	o.s.owner, o.stage, o.workersKnown, o.ordersUntil = o, stageActive, true, o.s.now.Add(time.Hour)
	o.fleet.machines, o.fleet.machineIDs = map[MachineID]*machine{}, nil
	for _, id := range []string{"1", "2"} {
		zone := map[string]vocab.ZoneID{"1": "a", "2": "b"}[id]
		w := o.worker(WorkerID("w" + id))
		w.info = WorkerInfo{
			ID: WorkerID("w" + id), Machine: MachineID("m" + id), Address: id, Pool: "p", Zone: zone, Incarnation: 1,
			Capacity: Resources{CPU: 2000, Memory: 2000},
		}
		w.listed, w.fenced, w.nextPollAt = true, true, never
		o.workersByMachine[w.info.Machine] = w
		o.fleet.machineIDs = append(o.fleet.machineIDs, w.info.Machine)
		o.fleet.machines[w.info.Machine] = &machine{info: MachineInfo{
			ID: w.info.Machine, Pool: "p", Zone: zone, Capacity: w.info.Capacity, Worker: w.info.ID,
		}}
	}
	step.Count, step.Need = 2, Resources{CPU: 1000, Memory: 1000}
	j := newJob(o, "00000000000000aa", step)
	o.jobs[j.record.ID], o.jobOrder = j, []*activeJob{j}
	return o, &twoTasks{j.occurrences.live[0].steps[0]}
}

// twoTasks is a step of two tasks.
type twoTasks struct{ *step }

// serveOn lets both tasks run on a worker.
func (s *twoTasks) serveOn(o *owner, w *worker) {
	for _, t := range s.tasks {
		o.bind(t, w, 1)
		t.lastRun, t.state, t.progressPercent = 1, runRunning, 100
	}
}

// evacuate delivers a read with these evacuated zones and returns the effects.
func (s *State) evacuate(zones ...vocab.ZoneID) []any {
	var effects []any
	for _, e := range s.Step(Clock{Now: s.now}, EvacuationsRead{Zones: zones, SentAt: s.now}) {
		effects = append(effects, e)
	}
	return effects
}

// TestNothingStartsInAnEvacuatedZone: an intent on the stream is not carried out, a start without
// an answer is stopped and not repeated, and the tasks start in another zone.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	g := gomega.NewWithT(t)
	o, st := evacuationOwner(Step{})
	w1, planned, sent := o.workers["w1"], st.tasks[0], st.tasks[1]
	o.assign(planned, w1)
	o.assign(sent, w1)
	o.sendStart(sent, 1)
	o.actions, o.s.effects = nil, nil
	effects := o.s.evacuate("a")
	g.Expect(effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(Start{})))
	o.sendStart(planned, 1)
	g.Expect(planned.worker).To(gomega.BeNil())
	o.s.now, o.s.effects = o.s.now.Add(startRepeatDelay+1), nil
	o.checkWorkers()
	g.Expect(o.s.effects).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(Stop{})))
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(Start{})))
	g.Expect(o.chooseWorker(planned, &poolRoom{workers: []*worker{o.workers["w2"]}}).info.ID).To(gomega.Equal(WorkerID("w2")))
	o.plan()
	g.Expect(planned.worker.info.ID).To(gomega.Equal(WorkerID("w2")))
}

// TestLongRunningTasksLeaveAnEvacuatedZone: no more of a step than may be unavailable at a time,
// and none if every zone is being evacuated.
func TestLongRunningTasksLeaveAnEvacuatedZone(t *testing.T) {
	g := gomega.NewWithT(t)
	o, st := evacuationOwner(Step{LongRunning: true, MaxUnavailable: 1})
	st.serveOn(o, o.workers["w1"])
	states := func() []runState { return []runState{st.tasks[0].state, st.tasks[1].state} }
	o.s.evacuate("a", "b")
	g.Expect(states()).To(gomega.Equal([]runState{runRunning, runRunning}))
	o.s.evacuate("a")
	g.Expect(states()).To(gomega.ConsistOf(runStopping, runRunning))
	o.checkWorkers()
	g.Expect(states()).To(gomega.ConsistOf(runStopping, runRunning))
}

// TestEveryZoneEvacuated: jobs wait until an evacuation is removed, and the dump shows why.
func TestEveryZoneEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	o, st := evacuationOwner(Step{})
	o.s.evacuate("b", "a")
	g.Expect(st.assigned).To(gomega.BeZero())
	g.Expect(o.s.Dump().Evacuations).To(gomega.HaveLen(2))
	g.Expect(o.canLeaveZones()).To(gomega.BeFalse())
	o.s.evacuate("b")
	g.Expect(st.assigned).To(gomega.Equal(2))
	g.Expect(st.tasks[0].worker.info.Zone).To(gomega.Equal(vocab.ZoneID("a")))
}

// TestMachinesOfAnEvacuatedZoneAreNoCapacity: they are not moved into pools, also when a move is
// scheduled already, and do not count as surplus or as machines of their pool.
func TestMachinesOfAnEvacuatedZoneAreNoCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := evacuationOwner(Step{})
	o.s.config = &Config{Version: 2, Pools: []Pool{{Name: "p"}, {Name: "q"}, {Name: "spare", Spare: true}}}
	o.s.config.Index()
	o.s.settings.MaxOrdersPerSecond = 100
	o.fleet.orderTokens = 10
	m1, m2 := o.fleet.machines["m1"], o.fleet.machines["m2"]
	for _, m := range []*machine{m1, m2} {
		m.info.Pool, m.idleSince = "spare", 1
	}
	o.scheduleOrder(m1, OrderMove, "q", 0)
	o.s.evacuate("a")
	o.s.effects = nil
	o.sendOrder(m1)
	g.Expect(o.s.effects).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(OrderMachine{})))
	g.Expect(m1.orderPending).To(gomega.BeFalse())
	m1.idleSince = 1
	o.fleet.machinesNeeded = map[vocab.PoolID]int{"q": 2}
	o.planMoves()
	g.Expect(m1.orderPending).To(gomega.BeFalse())
	g.Expect(m2.orderPending).To(gomega.BeTrue())
	m1.info.Pool, m2.orderPending = "p", false
	g.Expect(o.machinesForFiniteTasks()["p"]).To(gomega.BeZero())
	o.fleet.machinesNeeded = nil
	o.planMoves()
	g.Expect(m1.orderPending && m1.targetPool == "spare").To(gomega.BeTrue(), "an idle one is switched off")
}

// TestNoStartOnOldKnowledgeOfEvacuations: an owner whose appends succeed but whose reads of the
// operators' requests fail must not start tasks in a zone that was evacuated meanwhile, and a
// node that has not read them does not claim.
func TestNoStartOnOldKnowledgeOfEvacuations(t *testing.T) {
	g := gomega.NewWithT(t)
	o, st := evacuationOwner(Step{})
	o.s.settings.EvacuationLimit = 5 * time.Second
	o.s.evacuations.readAt = o.s.now
	o.planDue = true
	o.s.Step(Clock{Now: o.s.now.Add(4 * time.Second)}, Tick{})
	g.Expect(st.assigned).To(gomega.BeZero())
	o.s.evacuate()
	g.Expect(st.assigned).To(gomega.Equal(2))
	o.s.settings.EvacuationLimit = time.Second
	g.Expect(o.s.evacuationsCurrent()).To(gomega.BeTrue(), "a limit below the time of a read does not stop all starts")

	s := New(Identity{Node: "a", Incarnation: 1}, Settings{MaxLease: time.Second, EvacuationLimit: 5 * time.Second})
	now := vocab.Instant(time.Minute)
	claims := func() bool {
		now = now.Add(time.Second)
		s.Step(Clock{Now: now}, StreamRead{SentAt: now})
		return slices.ContainsFunc(s.Step(Clock{Now: now}, Tick{}), func(e event.Effect) bool {
			_, appends := e.(Append)
			return appends && s.claim.appendID != 0
		})
	}
	s.Step(Clock{Now: now}, ConfigRead{Config: &Config{Version: 1}})
	s.Step(Clock{Now: now}, StreamLoaded{})
	for range 10 {
		g.Expect(claims()).To(gomega.BeFalse())
	}
	s.evacuate()
	g.Expect(claims()).To(gomega.BeTrue())
}

// TestColdWorkerIsAvoided: a task starts on a cold worker only if no warm one has room.
func TestColdWorkerIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	o, st := evacuationOwner(Step{})
	w1, w2 := o.workers["w1"], o.workers["w2"]
	info := w1.info
	info.ColdLeft = 3 * time.Second
	o.updateWorker(info)
	w1.used = Resources{CPU: 1000, Memory: 1000} // best fit
	g.Expect(o.chooseWorker(st.tasks[0], &poolRoom{workers: []*worker{w1, w2}})).To(gomega.BeIdenticalTo(w2))
	g.Expect(o.chooseWorker(st.tasks[0], &poolRoom{workers: []*worker{w1}})).To(gomega.BeIdenticalTo(w1))
	o.s.now = o.s.now.Add(3 * time.Second)
	g.Expect(o.chooseWorker(st.tasks[0], &poolRoom{workers: []*worker{w1, w2}})).To(gomega.BeIdenticalTo(w1))
}

// TestEvacuationsWithFaults evacuates zones at random, also all of them, while owners are killed
// and cut off from the stream: nothing starts in a zone later than the limit after its evacuation,
// nothing runs twice, and all jobs finish after the last removal.
func TestEvacuationsWithFaults(t *testing.T) {
	for seed := range uint64(max(20, *seeds/5)) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(seed, 4, 6, faults{loseAppend: 0.02, loseOrder: 0.02})
			sim.settings.EvacuationLimit = 5 * time.Second
			sim.evacuated = map[vocab.ZoneID]vocab.Instant{}
			for i, id := range sim.workerIDs {
				sim.workers[id].info.Zone = vocab.ZoneID("z" + strconv.Itoa(i%3))
			}
			for _, n := range sim.nodes {
				n.kill()
				n.start()
			}
			sim.followEvacuations()
			sim.run(3 * time.Second)
			sim.after(0, func() { sim.load(200*time.Millisecond, 25*time.Second) })
			for range 6 {
				zone := vocab.ZoneID("z" + strconv.Itoa(sim.rng.IntN(3)))
				at, duration := time.Duration(sim.rng.Int64N(int64(20*time.Second))), time.Duration(sim.rng.Int64N(int64(15*time.Second)))
				sim.after(at, func() { sim.evacuated[zone] = sim.now })
				sim.after(at+duration, func() { delete(sim.evacuated, zone) })
			}
			for range 4 {
				n, kind := sim.nodes[sim.rng.IntN(len(sim.nodes))], sim.rng.IntN(3)
				sim.after(time.Duration(sim.rng.Int64N(int64(20*time.Second))), func() { sim.injectFault(kind, n, nil, 3*time.Second) })
			}
			sim.run(40 * time.Second)
			sim.clearFaults()
			sim.run(60 * time.Second)
			sim.report(t)
			if unfinished := sim.unfinished(); len(unfinished) > 0 {
				t.Fatalf("%d jobs did not finish: %s", len(unfinished), unfinished[0])
			}
		})
	}
}

// followEvacuations lets every node that reaches the store read the evacuations each second.
func (sim *simulation) followEvacuations() {
	zones, sent := slices.Sorted(maps.Keys(sim.evacuated)), sim.now
	for _, n := range sim.nodes {
		if !n.streamCut && !sim.stream.down {
			incarnation := n.incarnation
			sim.after(sim.delay(), func() { n.post(incarnation, EvacuationsRead{Zones: zones, SentAt: sent}) })
		}
	}
	sim.after(time.Second, sim.followEvacuations)
}

// checkZone checks that a task may start in the zone of a worker.
func (sim *simulation) checkZone(wk *fakeWorker, e Start) {
	if at, evacuated := sim.evacuated[wk.info.Zone]; evacuated && sim.now.Sub(at) > sim.settings.EvacuationLimit {
		sim.addViolation("%s started on %s in %s, evacuated %v ago", e.Task, e.Worker, wk.info.Zone, sim.now.Sub(at))
	}
}
