package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestMachineOfUnlistedWorkerIsNotIdle replays deploy/days/rare-3.toml, seed 1021824841228:
// the entries of the workers lapsed during an outage of the store, and the owner that took
// over after it knew the workers of long-running tasks only from the stream. It took their
// machines for idle and moved several of them at once.
func TestMachineOfUnlistedWorkerIsNotIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second, MaxOrdersPerSecond: 100})
	j := newJob(o, "00000000000000aa", Step{Count: 2, Need: Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1})
	o.jobs[j.record.ID] = j
	for i, id := range []MachineID{"m1", "m2"} {
		m := o.fleet.machines[id]
		m.info.Worker, m.info.Capacity = WorkerID("w-"+id), Resources{CPU: 8000}
		task := j.occurrences.live[0].steps[0].tasks[i]
		o.bind(task, o.worker(m.info.Worker), 1)
		task.state = runStartUnknown
	}
	for range 10 {
		o.s.now = o.s.now.Add(time.Second)
		o.updateIdleTimes()
	}
	for _, id := range []MachineID{"m1", "m2"} {
		g.Expect(o.fleet.machines[id].idleSince).To(gomega.BeZero())
		g.Expect(o.prepareMaintenance(1, o.fleet.machines[id], true)).To(gomega.BeTrue(), "counts as being drained")
	}
	g.Expect(o.pendingOrders).To(gomega.BeEmpty(), "no order while the tasks may be at work")
}

// TestTakeoverPollsFewIdleWorkersAtOnce replays a takeover of 3,000 workers: the polls of
// all workers at once had delayed the owner's appends until another node took over, which
// then did the same.
func TestTakeoverPollsFewIdleWorkersAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second})
	o.earlierLeasesUntil = o.s.now.Add(time.Minute)
	listed := WorkersListed{Full: true}
	for i := range 3000 {
		id := WorkerID(fmt.Sprintf("w-%04d", i))
		listed.Workers = append(listed.Workers, WorkerInfo{ID: id, Machine: MachineID(id), Pool: "p", Address: "a", Incarnation: 1})
	}
	j := newJob(o, "00000000000000aa", Step{Count: 1, Need: Resources{CPU: 1000}})
	o.bind(j.occurrences.live[0].steps[0].tasks[0], o.worker("w-2999"), 1)
	o.s.effects = nil
	o.handle(listed)
	polled := map[WorkerID]bool{}
	for _, e := range o.s.effects {
		if poll, ok := e.(Poll); ok {
			polled[poll.Worker] = true
		}
	}
	g.Expect(polled).To(gomega.HaveLen(maxPollsInFlight))
	g.Expect(polled).To(gomega.HaveKey(WorkerID("w-2999")), "workers with tasks come first")
	for len(polled) < 3000 {
		o.s.effects = nil
		for id := range polled {
			if o.workers[id].pollInFlight {
				o.handlePolled(Polled{Worker: id, Incarnation: 1, SentAt: o.s.now, ReceivedAt: o.s.now})
			}
		}
		o.checkWorkers()
		before := len(polled)
		for _, e := range o.s.effects {
			if poll, ok := e.(Poll); ok {
				polled[poll.Worker] = true
			}
		}
		g.Expect(len(polled)).To(gomega.BeNumerically(">", before))
	}
}

// TestWaveLeavesOrdersForMoves replays a wave over half of a large fleet during a pool's
// burst: the wave had used every order that the platform allows for six seconds, and the
// pool waited for machines all the while.
func TestWaveLeavesOrdersForMoves(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second, MaxOrdersPerSecond: 100})
	o.s.config = &Config{Version: 1, Pools: []Pool{{Name: "busy"}, {Name: "off", Spare: true}}}
	o.s.config.Index()
	o.fleet.machineIDs = nil
	wave := Wave{Number: 1, MaxDown: 300, TimeLimit: 20 * time.Second}
	for i := range 1000 {
		id := MachineID(fmt.Sprintf("m-%04d", i))
		o.fleet.machineIDs = append(o.fleet.machineIDs, id)
		o.fleet.machines[id] = &machine{info: MachineInfo{ID: id, Pool: "off", Capacity: Resources{CPU: 8000}}, idleSince: 1}
		if i < 500 {
			wave.Machines = append(wave.Machines, id)
		}
	}
	o.s.handleWaveRequested(WaveRequested{Wave: wave})
	o.workersKnown, o.activeAt, o.fleet.listSentAt = true, 1, 2
	o.demand["busy"] = poolDemand{finiteMachines: 400, waitingSince: 1}
	orders := map[MachineOrder]int{}
	for range 10 {
		o.s.now = o.s.now.Add(fleetInterval)
		o.tickFleet()
		for _, m := range o.pendingOrders {
			orders[m.order]++
		}
		o.pendingOrders = nil
	}
	g.Expect(orders[OrderMaintenance]).To(gomega.BeNumerically(">", 20))
	g.Expect(orders[OrderMove]).To(gomega.BeNumerically(">", 20))
}

// TestMachinesOnTheWayHoldNoneBack replays the begin of a turn at vatuloa-runs-grown: 139 of
// 349 machines were on the way, and 87 idle ones of the pool whose turn had ended stayed where
// they were for a second while the next pool lacked 372. Only what is switched off waits.
func TestMachinesOnTheWayHoldNoneBack(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second, MaxOrdersPerSecond: 310})
	o.s.config = &Config{Version: 1, Pools: []Pool{{Name: "next"}, {Name: "last"}, {Name: "off", Spare: true}}}
	o.s.config.Index()
	o.fleet.machineIDs, o.fleet.orderTokens = nil, 99
	for i := range 349 {
		id := MachineID(fmt.Sprintf("m-%04d", i))
		m := &machine{info: MachineInfo{ID: id, Pool: "last", Capacity: Resources{CPU: 8000}}, idleSince: 1}
		if i < 139 {
			m.orderPending, m.order, m.targetPool = true, OrderMove, "next"
		} else if i >= 139+87 {
			m.info.Pool, m.idleSince = "next", 0
		}
		o.fleet.machineIDs = append(o.fleet.machineIDs, id)
		o.fleet.machines[id] = m
	}
	o.s.now = 10 * vocab.Instant(time.Second)
	o.fleet.machinesNeeded = map[vocab.PoolID]int{"next": 372}
	o.planMoves()
	g.Expect(len(o.pendingOrders)).To(gomega.Equal(87 - minIdleMachines))
	for _, m := range o.pendingOrders {
		m.orderPending = false
	}
	o.pendingOrders, o.fleet.orderTokens = nil, 99
	o.fleet.machinesNeeded = map[vocab.PoolID]int{}
	o.planMoves()
	g.Expect(o.pendingOrders).To(gomega.BeEmpty(), "too many are on the way to switch others off")
}

// TestIdleMachinesOfALullGoWhereMachinesAreLacking replays a day of overload on mta-lima: three
// pools in their lull kept two idle machines each while the fourth had four and lacked two hundred.
// Nothing is switched off below two either way.
func TestIdleMachinesOfALullGoWhereMachinesAreLacking(t *testing.T) {
	for needed, moves := range map[int]int{200: 2, 0: 0} {
		g := gomega.NewWithT(t)
		o := machinesOwner(Settings{MaxLease: 6 * time.Second, MaxOrdersPerSecond: 310})
		o.s.config = &Config{Version: 1, Pools: []Pool{{Name: "turn"}, {Name: "lull"}, {Name: "off", Spare: true}}}
		o.s.config.Index()
		o.fleet.machineIDs, o.fleet.orderTokens = nil, 99
		for i := range 13 {
			id := MachineID(fmt.Sprintf("m-%04d", i))
			m := &machine{info: MachineInfo{ID: id, Pool: "lull", Capacity: Resources{CPU: 8000}}}
			switch {
			case i < 4:
				m.info.Pool = "turn"
			case i < 6:
				m.idleSince = 1
			}
			o.fleet.machineIDs = append(o.fleet.machineIDs, id)
			o.fleet.machines[id] = m
		}
		o.s.now = 10 * vocab.Instant(time.Second)
		o.fleet.machinesNeeded = map[vocab.PoolID]int{"turn": needed, "lull": -7}
		o.planMoves()
		g.Expect(o.pendingOrders).To(gomega.HaveLen(moves))
		for _, m := range o.pendingOrders {
			g.Expect(m.targetPool).To(gomega.Equal(vocab.PoolID("turn")))
		}
	}
}

// TestNewOwnerInterruptsNothingAtFirst guards against a step that loses more tasks than may be
// missed around a change of owner: the tasks that the last owner had just told their workers
// to stop were still listed as serving, and the next owner stopped another one (mta-lima-grown,
// hunt-b653-39, AVAIL).
func TestNewOwnerInterruptsNothingAtFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	o := machinesOwner(Settings{MaxLease: 6 * time.Second, MaxOrdersPerSecond: 100})
	o.activeAt = o.s.now
	j := newJob(o, "00000000000000aa", Step{Count: 2, Need: Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1})
	var w *worker
	for i, id := range []WorkerID{"w1", "w2"} {
		w = o.worker(id)
		w.info.Address = string(id)
		task := j.occurrences.live[0].steps[0].tasks[i]
		o.bind(task, w, 1)
		task.state, task.progressPercent = runRunning, 100
	}
	o.evacuate(w)
	g.Expect(w.tasks[0].state).To(gomega.Equal(runRunning))
	g.Expect(o.canInterruptTasks(w)).To(gomega.BeFalse())
	o.s.now = o.s.now.Add(interruptionHold)
	g.Expect(o.canInterruptTasks(w)).To(gomega.BeTrue())
	o.evacuate(w)
	g.Expect(w.tasks[0].state).To(gomega.Equal(runStopping))
}
