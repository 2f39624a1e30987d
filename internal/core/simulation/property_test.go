package simulation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// smallFleet returns a configuration with two services, a spare pool and two teams. It is so
// small that limits and slots are reached most of the time.
func smallFleet() spec.Fleet {
	zones := []vocab.ZoneID{"a", "b", "c"}
	teams := []vocab.TeamID{"blue", "red"}
	fleet := spec.Fleet{
		Name:    "small",
		Regions: []spec.Region{{Name: "r", Zones: zones}},
		Teams:   []spec.Team{{Name: "blue", Share: 2, UpperLimit: 7}, {Name: "red", Share: 1, UpperLimit: 3}},
		Pools: []spec.Pool{
			{Name: "office", VMs: 3, Slots: 2, MaxConnections: 8, Zones: zones, Spare: true},
			{Name: "orders", VMs: 4, Slots: 3, MaxConnections: 8, Zones: zones},
		},
		Maintenance: spec.Maintenance{
			Interval: spec.Duration(28 * 24 * time.Hour), DrainTimeout: spec.Duration(30 * time.Second),
			RebootTimeout: spec.Duration(time.Minute), StopAfter: 2,
		},
	}
	for _, p := range []vocab.PoolID{"office", "orders"} {
		fleet.Services = append(fleet.Services, spec.Service{
			Queue: vocab.QueueID(p), Pool: p, Open: p == "office", Teams: teams,
			QueueLimits: spec.QueueLimits{MaxQueued: 40, MaxQueuedPerTeam: 30},
			Budget:      spec.AvailabilityBudget{MinReady: 1},
			TimeLimits:  spec.TimeLimits{Queue: spec.Duration(5 * time.Second), FirstByte: spec.Duration(time.Second), Run: spec.Duration(4 * time.Second)},
			Requests: []spec.RequestRule{
				{Methods: []string{"GET"}, PathPrefix: "/", Idempotent: true},
				{Methods: []string{"POST"}, PathPrefix: "/urgent", Urgent: true},
			},
		})
	}
	// Requests to office may run longer than requests may wait in a queue.
	fleet.Services[0].TimeLimits.Run = spec.Duration(15 * time.Second)
	fleet.Services[0].TimeLimits.FirstByte = spec.Duration(15 * time.Second)
	return fleet
}

// newSmallSimulation returns a simulation of nodes in three zones. It has run for 8 s, after
// which each node has its quotas of all limits.
func newSmallSimulation(fail func(string, ...any), seed uint64, nodes int) *simulation {
	sim := newSimulation(fail, seed, smallFleet())
	for i := range nodes {
		sim.startNode(vocab.NodeID(fmt.Sprint("node-", i+1)), sim.fleet.Regions[0].Zones[i%3])
	}
	sim.advance(8 * time.Second)
	return sim
}

// burst sends random requests of several kinds to a node.
func (sim *simulation) burst(n *entryNode, count int, maxWork time.Duration) {
	for range count {
		queue := vocab.QueueID([]string{"orders", "orders", "office"}[sim.rng.IntN(3)])
		key := sim.keys[sim.fleet.Teams[sim.rng.IntN(2)].Name]
		method, path := "GET", "/x"
		if sim.chance(0.5) {
			method = "POST"
		}
		if sim.chance(0.1) {
			path = "/urgent"
		}
		work := sim.randomDuration(10*time.Millisecond, maxWork)
		if queue == "office" {
			work *= 2
		}
		sim.sendRequest(n, queue, key, method, path, work)
	}
}

// TestRequestsCompleteWithoutFaults checks that all requests within the limits complete if
// there are no faults.
func TestRequestsCompleteWithoutFaults(t *testing.T) {
	sim := newSmallSimulation(t.Fatalf, 1, 3)
	for range 20 {
		for _, n := range sim.nodes {
			sim.burst(n, 1, 500*time.Millisecond)
		}
		sim.advance(time.Second)
	}
	sim.advance(10 * time.Second)
	sim.checkAnswered()
	sim.nodes[0].checkReplay()
	for _, req := range sim.requests {
		if req.finalCode != "completed" {
			t.Errorf("request %d of %s, sent at %v, ended as %s", req.id, req.node.name, req.sentAt, req.finalCode)
		}
	}
}

// TestInvariantsUnderFaults injects random faults. The simulation checks the invariants at
// each step; after the faults, all requests must be answered and the capacity usable.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSmallSimulation(r.Fatalf, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(3, 5).Draw(r, "nodes"))
		r.Repeat(sim.actions())
		sim.clearFaults()
		sim.checkCapacityUsable()
		sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(r, "replayed")].checkReplay()
	})
}

// TestVMRestartsWhileListIsFrozen restarts each VM as a new incarnation while the VM list is
// frozen. Requests sent before the list shows the new incarnation must count as running on
// it; otherwise a node would exceed the VM's slots.
func TestVMRestartsWhileListIsFrozen(t *testing.T) {
	sim := newSmallSimulation(t.Fatalf, 1, 3)
	sim.vms.frozen = true
	for _, name := range sim.vms.names {
		sim.vms.failVM(name)
		sim.vms.restoreVM(name)
	}
	for _, n := range sim.nodes {
		for range 12 {
			sim.sendRequest(n, "office", "", "GET", "/x", 4*time.Second)
		}
	}
	sim.advance(time.Second)
	sim.vms.frozen = false
	sim.vms.sync()
	sim.advance(20 * time.Second)
	sim.checkAnswered()
}

// TestLimitIsLoweredWhileFullyUsed lowers a limit while it is fully used. A node must not use
// a quota that it gains by the change before the other nodes have reduced their use.
func TestLimitIsLoweredWhileFullyUsed(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSmallSimulation(t.Fatalf, seed, 4)
		for step := range 60 {
			for _, n := range sim.nodes {
				sim.sendRequest(n, "orders", sim.keys["blue"], "GET", "/x", sim.randomDuration(time.Second, 4*time.Second))
			}
			if step%20 == 10 {
				sim.publishChange(false, func(f *spec.Fleet) { f.Teams[0].UpperLimit = vocab.Slots(1 + step/20) })
			}
			sim.advance(250 * time.Millisecond)
		}
	}
}

// TestPauseBetweenDecisionAndDispatch pauses a node after it decided to send requests on
// loans and before it sends them, until the leases of the loans have expired.
func TestPauseBetweenDecisionAndDispatch(t *testing.T) {
	sim := newSmallSimulation(t.Fatalf, 1, 3)
	send := func(n *entryNode, work time.Duration) {
		for range 7 {
			sim.sendRequest(n, "orders", sim.keys["blue"], "GET", "/x", work)
		}
	}
	for range 20 {
		send(sim.nodes[0], time.Second)
		sim.advance(1500 * time.Millisecond)
	}
	send(sim.nodes[0], 3*time.Second)
	sim.nodes[0].pause()
	for range 45 {
		send(sim.nodes[1], 900*time.Millisecond)
		sim.advance(time.Second)
	}
	send(sim.nodes[1], 3*time.Second)
	sim.advance(100 * time.Millisecond)
	sim.nodes[0].resume()
	sim.advance(20 * time.Second)
	sim.checkAnswered()
}

// TestLeavingAndWithdrawnKeySpreadInTime lets a VM report that it is draining and withdraws
// a key at one node while the log is down and the VM list is frozen. After 2 s no node may
// send requests to the VM or with the key.
func TestLeavingAndWithdrawnKeySpreadInTime(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSmallSimulation(t.Fatalf, seed, 24)
		sim.log.down, sim.vms.frozen = true, true
		u, key := sim.vms.byName["orders-1"], sim.keys["blue"]
		u.fault = faultDrain
		load := func(d time.Duration) (attempts, starts int) {
			for end := sim.now + d; sim.now < end; sim.advance(20 * time.Millisecond) {
				sim.burst(sim.nodes[sim.rng.IntN(len(sim.nodes))], 1, 200*time.Millisecond)
			}
			for _, req := range sim.requests {
				if req.key == key {
					starts += req.startCount
				}
			}
			return u.attempts, starts
		}
		for u.attempts == 0 && sim.now < time.Minute {
			load(20 * time.Millisecond)
		}
		sim.nodes[1].post(core.WithdrawKey{Key: key})
		attempts, starts := load(2 * time.Second)
		if a, s := load(20 * time.Second); a != attempts || s != starts {
			t.Errorf("seed %d: after 2 s the VM received %d more attempts, and %d more requests with the key started", seed, a-attempts, s-starts)
		}
	}
}

// TestVMRestartsUnseenDuringMove restarts a VM as a new incarnation while it is to be moved to
// another pool, before the lagging VM list shows the restart. Requests that were sent to the
// new incarnation must end before the VM is moved.
func TestVMRestartsUnseenDuringMove(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSmallSimulation(t.Fatalf, seed, 3)
		movingVM := func() *upstream {
			for name, e := range sim.log.state.Maintenance.VMs {
				if e.Move != nil {
					return sim.vms.byName[name]
				}
			}
			return nil
		}
		sim.vms.failVM("office-1")
		sim.vms.failVM("office-2")
		sim.vms.failVM("office-3")
		var u *upstream
		for u = movingVM(); u == nil && sim.now < time.Minute; u = movingVM() {
			sim.advance(10 * time.Millisecond)
		}
		if u == nil {
			t.Fatalf("seed %d: no VM is moved to another pool", seed)
		}
		sim.vms.failVM(u.row.Name)
		sim.vms.restoreVM(u.row.Name)
		for range 12 {
			sim.burst(sim.nodes[sim.rng.IntN(3)], 4, 4*time.Second)
			sim.advance(50 * time.Millisecond)
		}
		sim.advance(time.Minute)
		sim.checkAnswered()
	}
}
