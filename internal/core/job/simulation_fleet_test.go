package job

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// warmUp is the time after its start from which a simulated long-running task is serving.
	warmUp = 300 * time.Millisecond
	// maintenanceTime is the time for which the maintenance of a simulated machine lasts.
	maintenanceTime = 2 * time.Second
	// awayNotice is the time for which a task that no order ended is not serving before it
	// counts as away.
	awayNotice = 4500 * time.Millisecond
)

// fakeFleet is the simulated machine list. It checks that orders interrupt no serving task while
// as many others of its step as may be unavailable are away.
type fakeFleet struct {
	sim *simulation
	// downUntil is the time at which the maintenance of a machine ends.
	downUntil map[MachineID]vocab.Instant
	// interrupted holds the tasks that an order ended, until they serve again; servedAt is
	// the time when a task last served.
	interrupted   map[TaskName]bool
	servedAt      map[TaskName]vocab.Instant
	observedFrom  vocab.Instant
	interruptions int
	// lateOrder is the probability of an order to a machine that is carried out late.
	lateOrder float64
	// orderTime, if set, is the time from the sending of an order to its response. It is carried out after half of it.
	orderTime time.Duration
	// connections, if set, is the number of orders of a node that are under way at a time; queued holds those that
	// wait for a connection.
	connections int
	underWay    map[vocab.NodeID]int
	queued      []*queuedOrder
	// waves holds the requested waves, downFor the wave for which a machine was last taken down, fences the highest
	// fence of the orders to each machine.
	waves   map[int64]Wave
	downFor map[MachineID]int64
	fences  map[MachineID]Fence
}

// queuedOrder is an order that waits for a connection.
type queuedOrder struct {
	order     OrderMachine
	reply     func(event.Event)
	expiresAt vocab.Instant
}

// machineCallTime is the time after which a node gives up on an order to a machine.
const machineCallTime = 1500 * time.Millisecond

func newFakeFleet(sim *simulation) *fakeFleet {
	return &fakeFleet{
		sim: sim, downUntil: map[MachineID]vocab.Instant{}, interrupted: map[TaskName]bool{}, servedAt: map[TaskName]vocab.Instant{},
		underWay: map[vocab.NodeID]int{}, waves: map[int64]Wave{}, downFor: map[MachineID]int64{}, fences: map[MachineID]Fence{},
	}
}

// downOf counts the machines that are down for their maintenance in a wave.
func (f *fakeFleet) downOf(wave int64) int {
	n := 0
	for id, until := range f.downUntil {
		if until > f.sim.now && f.downFor[id] == wave {
			n++
		}
	}
	return n
}

// carryOut carries an order for maintenance out, and checks the limit of its wave.
func (f *fakeFleet) carryOut(e OrderMachine) Outcome {
	if e.Fence < f.fences[e.Machine] {
		return Fenced
	}
	f.fences[e.Machine] = e.Fence
	switch wave, requested := f.waves[e.Wave]; {
	case requested && f.downFor[e.Machine] == e.Wave:
		return OK // It was carried out before.
	case f.downUntil[e.Machine] > f.sim.now:
		return NotDone
	case requested && f.downOf(e.Wave) >= wave.MaxDown:
		f.sim.addViolation("%s is ordered down by %s while %d machines of wave %d are down, and %d may be", e.Machine, e.Node, f.downOf(e.Wave), e.Wave, wave.MaxDown)
	}
	f.downFor[e.Machine] = e.Wave
	f.maintain(e.Machine)
	return OK
}

// sendQueued sends the orders that a connection is free for.
func (f *fakeFleet) sendQueued() {
	sim := f.sim
	for i := 0; i < len(f.queued); {
		q := f.queued[i]
		answered := func(o Outcome) {
			q.reply(MachineOrderAnswered{Machine: q.order.Machine, Order: q.order.Order, Outcome: o})
		}
		switch {
		case sim.now >= min(q.expiresAt, q.order.Until):
			answered(NotDone)
		case f.underWay[q.order.Node] >= f.connections:
			i++
			continue
		default:
			f.underWay[q.order.Node]++
			outcome := Unknown
			sim.after(f.orderTime/2, func() { outcome = f.carryOut(q.order) })
			sim.after(f.orderTime, func() {
				f.underWay[q.order.Node]--
				answered(outcome)
				f.sendQueued()
			})
		}
		f.queued = slices.Delete(f.queued, i, i+1)
	}
}

// withdraw removes the queued orders of a node up to a fence.
func (f *fakeFleet) withdraw(node vocab.NodeID, fence Fence) {
	f.queued = slices.DeleteFunc(f.queued, func(q *queuedOrder) bool {
		if q.order.Node != node || q.order.Fence > fence {
			return false
		}
		q.reply(MachineOrderAnswered{Machine: q.order.Machine, Order: q.order.Order, Outcome: NotDone})
		return true
	})
}

// progress returns the progress of a run in percent: long-running tasks serve after a warm-up.
func (sim *simulation) progress(r *fakeRun) int {
	if sim.fleet == nil || sim.now.Sub(r.startedAt) < warmUp {
		return 50
	}
	return 100
}

// observe records which tasks serve, every 10 ms.
func (f *fakeFleet) observe() {
	for _, wk := range f.sim.workers {
		for name, r := range wk.runs {
			if wk.up && !r.stopping && f.sim.progress(r) == 100 {
				f.servedAt[name] = f.sim.now
				delete(f.interrupted, name)
			}
		}
	}
	f.sim.after(10*time.Millisecond, f.observe)
}

// stopRun stops a run. The worker lists it as before until the stop has completed.
func (f *fakeFleet) stopRun(wk *fakeWorker, name TaskName, r *fakeRun) {
	f.interrupt(wk, name)
	r.stopping = true
	f.sim.after(time.Duration(f.sim.rng.Int64N(int64(900*time.Millisecond))), func() {
		if wk.runs[name] == r {
			f.sim.endRun(wk, name, r, EndStopped)
		}
	})
}

// interrupt checks an order that ends a task.
func (f *fakeFleet) interrupt(wk *fakeWorker, name TaskName) {
	sim := f.sim
	spec := sim.jobs[name.Job].spec.Steps[name.Step]
	if !spec.LongRunning || sim.progress(wk.runs[name]) < 100 || wk.runs[name].stopping || !wk.up {
		return
	}
	f.interruptions++
	away := 0
	for i := range spec.Count {
		other := TaskName{name.Job, name.Occurrence, name.Step, i}
		if other != name && (f.interrupted[other] || sim.now.Sub(max(f.observedFrom, f.servedAt[other])) > awayNotice) {
			away++
		}
	}
	if away >= spec.MaxUnavailable {
		sim.addViolation("%s is interrupted on %s while %d others of its step are away, and %d may be", name, wk.info.ID, away, spec.MaxUnavailable)
	}
	f.interrupted[name] = true
	if sim.rng.IntN(5) == 0 {
		sim.after(sim.delay(), f.resignOwner)
	}
}

// resignOwner makes the owner resign while its last orders are carried out, the moment at which the
// next one knows least of them.
func (f *fakeFleet) resignOwner() {
	for _, n := range f.sim.nodes {
		if n.up && n.state.Owning() {
			f.sim.injectFault(7, n, nil, time.Second)
		}
	}
}

func (f *fakeFleet) execute(effect event.Effect, reply func(event.Event)) {
	sim := f.sim
	sent := sim.now
	switch e := effect.(type) {
	case ListMachines:
		sim.after(sim.delay(), func() { reply(MachinesListed{OK: true, Machines: f.list(), SentAt: sent}) })
	case WriteStatus:
		reply(StatusWritten{Wave: e.Wave, Complete: e.Complete})
	case OrderMachine:
		if f.connections > 0 {
			f.queued = append(f.queued, &queuedOrder{e, reply, sim.now.Add(machineCallTime)})
			f.sendQueued()
			sim.after(machineCallTime, f.sendQueued)
			return
		}
		lost := sim.rng.Float64() < sim.faults.loseOrder
		sim.after(sim.delay(), func() {
			if sim.now > e.Until {
				reply(MachineOrderAnswered{Machine: e.Machine, Order: e.Order, Outcome: NotDone})
				return
			}
			if late := f.lateOrder > 0 && sim.rng.Float64() < f.lateOrder; late {
				f.maintainLate(e, reply)
				return
			}
			outcome := f.carryOut(e)
			if lost {
				sim.after(800*time.Millisecond, func() { reply(MachineOrderAnswered{Machine: e.Machine, Order: e.Order, Outcome: Unknown}) })
				return
			}
			reply(MachineOrderAnswered{Machine: e.Machine, Order: e.Order, Outcome: outcome})
		})
	}
}

// workerOn returns the worker on a machine that is up, or nil.
func (f *fakeFleet) workerOn(id MachineID) *fakeWorker {
	for _, workerID := range f.sim.workerIDs {
		if wk := f.sim.workers[workerID]; wk.info.Machine == id && wk.up {
			return wk
		}
	}
	return nil
}

// maintainLate carries an order out seconds later, unless another worker is on the machine by then.
func (f *fakeFleet) maintainLate(e OrderMachine, reply func(event.Event)) {
	sim, wk := f.sim, f.workerOn(e.Machine)
	sim.after(800*time.Millisecond, func() { reply(MachineOrderAnswered{Machine: e.Machine, Order: e.Order, Outcome: Unknown}) })
	sim.after(2*time.Second+time.Duration(sim.rng.Int64N(int64(10*time.Second))), func() {
		if wk != nil && f.workerOn(e.Machine) == wk {
			f.carryOut(e)
		}
	})
}

// list returns the machine list.
func (f *fakeFleet) list() []MachineInfo {
	var list []MachineInfo
	for _, id := range f.sim.workerIDs {
		wk := f.sim.workers[id]
		if wk.info.Machine == "" {
			continue
		}
		info := MachineInfo{ID: wk.info.Machine, Pool: "p", Capacity: wk.info.Capacity, Worker: id}
		if !wk.up {
			info.State, info.Worker = MachineDown, ""
		}
		if f.downUntil[info.ID] > f.sim.now {
			info.State, info.Worker = MachineInMaintenance, ""
		}
		list = append(list, info)
	}
	return list
}

// maintain takes a machine down; it returns with a new worker.
func (f *fakeFleet) maintain(id MachineID) {
	sim := f.sim
	if f.downUntil[id] > sim.now {
		return
	}
	f.downUntil[id] = sim.now.Add(maintenanceTime)
	for _, workerID := range sim.workerIDs {
		wk := sim.workers[workerID]
		if wk.info.Machine != id {
			continue
		}
		for _, name := range sortedNames(wk.runs) {
			f.interrupt(wk, name)
		}
		wk.up, wk.runs = false, map[TaskName]*fakeRun{}
		info := wk.info
		sim.after(maintenanceTime, func() {
			wk.info.Machine = ""
			info.ID = WorkerID(fmt.Sprintf("w%03d", len(sim.workerIDs)))
			info.Address = string(info.ID)
			next := &fakeWorker{info: info, clockAhead: wk.clockAhead}
			sim.workerIDs = append(sim.workerIDs, info.ID)
			sim.workers[info.ID] = next
			sim.restartWorker(next)
		})
		return
	}
}

// TestOrdersKeepStepsAvailable takes machines with long-running tasks down in waves, while
// nodes fail and remote nodes become owners. Its invariant is checked at each order.
func TestOrdersKeepStepsAvailable(t *testing.T) {
	steps, interruptions := 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(max(1, *seeds/6)); seed++ {
		rng := rand.New(rand.NewPCG(seed, 5))
		sim := newSimulation(seed, 0, 10, faults{loseAppend: rng.Float64() * 0.1, loseOrder: rng.Float64() * 0.1})
		sim.pollsWait = true
		sim.settings.MaxOrdersPerSecond, sim.settings.MinOrderGap = 20, 3*time.Second
		sim.config.Teams[0].Limit = Resources{}
		sim.fleet = newFakeFleet(sim)
		sim.startFleet(minRemoteFleet+2, 4)
		for range 4 {
			sim.submit(Spec{Steps: []Step{{
				Count: 4 + rng.IntN(6), Need: Resources{CPU: 500, Memory: 64}, EstimateMS: 600_000, LongRunning: true,
				MaxUnavailable: 1 + rng.IntN(3), MaxPerWorker: 1 + rng.IntN(2),
			}}})
		}
		sim.fleet.observedFrom = sim.now
		sim.fleet.observe()
		sim.run(5 * time.Second)
		sim.scheduleWaves(rng)
		for range 10 {
			at, duration := time.Duration(rng.Int64N(int64(50*time.Second))), time.Second+time.Duration(rng.Int64N(int64(5*time.Second)))
			nodes := sim.nodes[:4]
			if rng.IntN(3) == 0 {
				nodes = sim.nodes
			}
			kind, all := []int{0, 1, 2, 3, 4, 5, 7}[rng.IntN(7)], rng.IntN(3) == 0
			chosen, wk := rng.IntN(len(nodes)), sim.workers[sim.workerIDs[rng.IntN(len(sim.workerIDs))]]
			sim.after(at, func() {
				for i, n := range nodes {
					if i == chosen || all && i < 4 || n.state.Owning() && n.up {
						sim.injectFault(kind, n, wk, duration)
					}
				}
			})
		}
		sim.run(70 * time.Second)
		for _, v := range sim.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		steps += sim.seq
		interruptions += sim.fleet.interruptions
	}
	t.Logf("%d calls, %d serving tasks interrupted", steps, interruptions)
	if interruptions == 0 {
		t.Error("no serving task was interrupted")
	}
}

// scheduleWaves requests a wave of some machines every 12 s. Nodes read it again every second,
// as one that has restarted does.
func (sim *simulation) scheduleWaves(rng *rand.Rand) {
	for number := range int64(5) {
		wave := Wave{Number: number + 1, TimeLimit: 15 * time.Second, MaxDown: 1 + rng.IntN(3)}
		for i := range 10 {
			if rng.IntN(2) == 0 {
				wave.Machines = append(wave.Machines, MachineID(fmt.Sprintf("w%03d", i)))
			}
		}
		sim.fleet.waves[wave.Number] = wave
		for second := number * 12; second < 70; second++ {
			sim.after(time.Duration(second)*time.Second, func() {
				for _, n := range sim.nodes {
					n.post(n.incarnation, WaveRequested{Wave: wave})
				}
			})
		}
	}
}
