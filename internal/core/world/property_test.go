package world

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// smallFleet has two services, a spare pool and two teams, small enough for
// limits and slots to be reached all the time.
func smallFleet() spec.Fleet {
	zones := []vocab.ZoneID{"a", "b", "c"}
	teams := []vocab.TeamID{"blue", "red"}
	fleet := spec.Fleet{
		Name:    "small",
		Regions: []spec.Region{{Name: "r", Zones: zones}},
		Teams:   []spec.Team{{Name: "blue", Share: 2, UpperLimit: 7}, {Name: "red", Share: 1, UpperLimit: 3}},
		Pools: []spec.Pool{
			{Name: "office", VMs: 3, Slots: 2, Connections: 8, Zones: zones, Spare: true},
			{Name: "orders", VMs: 4, Slots: 3, Connections: 8, Zones: zones},
		},
		Maintenance: spec.Maintenance{
			Every: spec.Duration(28 * 24 * time.Hour), Drain: spec.Duration(30 * time.Second),
			Reboot: spec.Duration(time.Minute), StopAfter: 2,
		},
	}
	for _, p := range []vocab.PoolID{"office", "orders"} {
		fleet.Services = append(fleet.Services, spec.Service{
			Queue: vocab.QueueID(p), Pool: p, Open: p == "office", Teams: teams,
			Hold:   spec.Hold{Queued: 40, QueuedPerTeam: 30},
			Keep:   spec.Keep{Ready: 1},
			Limits: spec.TimeLimits{Queue: spec.Duration(5 * time.Second), FirstByte: spec.Duration(time.Second), Run: spec.Duration(4 * time.Second)},
			Requests: []spec.RequestRule{
				{Methods: []string{"GET"}, PathPrefix: "/", Idempotent: true},
				{Methods: []string{"POST"}, PathPrefix: "/urgent", Urgent: true},
			},
		})
	}
	// Office work runs long, so that it outlasts what others wait for.
	fleet.Services[0].Limits.Run = spec.Duration(15 * time.Second)
	fleet.Services[0].Limits.FirstByte = spec.Duration(15 * time.Second)
	return fleet
}

// smallWorld returns a world of some nodes, one in each zone, with parts of
// all limits.
func smallWorld(fail func(string, ...any), seed uint64, nodes int) *world {
	w := newWorld(fail, seed, smallFleet())
	for i := range nodes {
		w.start(vocab.NodeID(fmt.Sprint("node-", i+1)), w.fleet.Regions[0].Zones[i%3])
	}
	w.run(8 * time.Second)
	return w
}

// burst sends some requests of mixed sorts to a node.
func (w *world) burst(n *entryNode, count int, most time.Duration) {
	for range count {
		queue := vocab.QueueID([]string{"orders", "orders", "office"}[w.rng.IntN(3)])
		key := w.keys[w.fleet.Teams[w.rng.IntN(2)].Name]
		method, path := "GET", "/x"
		if w.chance(0.5) {
			method = "POST"
		}
		if w.chance(0.1) {
			path = "/urgent"
		}
		work := w.between(10*time.Millisecond, most)
		if queue == "office" {
			work *= 2
		}
		w.request(n, queue, key, method, path, work)
	}
}

// TestServesWithoutFaults is the plain case: with nothing going wrong, all
// that is sent within the limits completes.
func TestServesWithoutFaults(t *testing.T) {
	w := smallWorld(t.Fatalf, 1, 3)
	for range 20 {
		for _, n := range w.nodes {
			w.burst(n, 1, 500*time.Millisecond)
		}
		w.run(time.Second)
	}
	w.run(10 * time.Second)
	w.checkAnswered()
	w.nodes[0].checkReplay()
	for _, c := range w.calls {
		if c.final != "completed" {
			t.Errorf("request %d of %s, sent at %v, ended as %s", c.id, c.node.name, c.at, c.final)
		}
	}
}

// TestPromisesUnderFaults runs the nodes through random faults. The world
// checks each step; after the faults, all must be answered and usable.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := smallWorld(r.Fatalf, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(3, 5).Draw(r, "nodes"))
		r.Repeat(w.actions())
		w.heal()
		w.checkUsable()
		w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(r, "replayed")].checkReplay()
	})
}

// TestVMReturnsUnseen lets a VM return under a new incarnation while the list
// stands still. Work sent before the news counts on the VM that runs it.
func TestVMReturnsUnseen(t *testing.T) {
	w := smallWorld(t.Fatalf, 1, 3)
	w.vms.frozen = true
	for _, name := range w.vms.names {
		w.vms.die(name)
		w.vms.comeBack(name)
	}
	for _, n := range w.nodes {
		for range 12 {
			w.request(n, "office", "", "GET", "/x", 4*time.Second)
		}
	}
	w.run(time.Second)
	w.vms.frozen = false
	w.vms.show()
	w.run(20 * time.Second)
	w.checkAnswered()
}

// TestLimitIsLoweredWhileFull lowers a limit while all of it is in use. No
// node may use a part that it got by the change before the others drew down.
func TestLimitIsLoweredWhileFull(t *testing.T) {
	for seed := range uint64(20) {
		w := smallWorld(t.Fatalf, seed, 4)
		for step := range 60 {
			for _, n := range w.nodes {
				w.request(n, "orders", w.keys["blue"], "GET", "/x", w.between(time.Second, 4*time.Second))
			}
			if step%20 == 10 {
				w.change(false, func(f *spec.Fleet) { f.Teams[0].UpperLimit = vocab.Slots(1 + step/20) })
			}
			w.run(250 * time.Millisecond)
		}
	}
}

// TestPauseBetweenDecisionAndDispatch pauses a node that has just decided to
// send work on borrowed tokens, until its leases have lapsed.
func TestPauseBetweenDecisionAndDispatch(t *testing.T) {
	w := smallWorld(t.Fatalf, 1, 3)
	send := func(n *entryNode, work time.Duration) {
		for range 7 {
			w.request(n, "orders", w.keys["blue"], "GET", "/x", work)
		}
	}
	for range 20 {
		send(w.nodes[0], time.Second)
		w.run(1500 * time.Millisecond)
	}
	send(w.nodes[0], 3*time.Second)
	w.nodes[0].pause()
	for range 45 {
		send(w.nodes[1], 900*time.Millisecond)
		w.run(time.Second)
	}
	send(w.nodes[1], 3*time.Second)
	w.run(100 * time.Millisecond)
	w.nodes[0].resume()
	w.run(20 * time.Second)
	w.checkAnswered()
}

// TestNewsIsEverywhereInTime has a VM say that it leaves and an operator
// withdraw a key, while the log is down and the VM list stands still. After
// two seconds no node sends the VM anything or starts work under the key.
func TestNewsIsEverywhereInTime(t *testing.T) {
	for seed := range uint64(3) {
		w := smallWorld(t.Fatalf, seed, 24)
		w.log.down, w.vms.frozen = true, true
		u, key := w.vms.byName["orders-1"], w.keys["blue"]
		u.fault = faultDrain
		load := func(d time.Duration) (asked, starts int) {
			for end := w.now + d; w.now < end; w.run(20 * time.Millisecond) {
				w.burst(w.nodes[w.rng.IntN(len(w.nodes))], 1, 200*time.Millisecond)
			}
			for _, c := range w.calls {
				if c.key == key {
					starts += c.starts
				}
			}
			return u.asked, starts
		}
		for u.asked == 0 && w.now < time.Minute {
			load(20 * time.Millisecond)
		}
		w.nodes[1].post(core.WithdrawKey{Key: key})
		asked, starts := load(2 * time.Second)
		if a, s := load(20 * time.Second); a != asked || s != starts {
			t.Errorf("seed %d: after 2 s the VM was asked %d times more, and %d requests started under the key", seed, a-asked, s-starts)
		}
	}
}

// TestVMReturnsUnseenInMove lets a VM that leaves its pool be replaced while
// the list stands still and one node reads no log. What that node sent to the
// later incarnation must end before the VM is moved.
func TestVMReturnsUnseenInMove(t *testing.T) {
	for seed := range uint64(10) {
		w := smallWorld(t.Fatalf, seed, 3)
		left := func() *upstream {
			for name, e := range w.log.truth.Maintenance.VMs {
				if e.Move != nil {
					return w.vms.byName[name]
				}
			}
			return nil
		}
		w.vms.die("office-1")
		w.vms.die("office-2")
		w.vms.die("office-3")
		var u *upstream
		for u = left(); u == nil && w.now < time.Minute; u = left() {
			w.run(10 * time.Millisecond)
		}
		if u == nil {
			t.Fatalf("seed %d: no VM is moved", seed)
		}
		w.vms.die(u.row.Name)
		w.vms.comeBack(u.row.Name)
		for range 12 {
			w.burst(w.nodes[w.rng.IntN(3)], 4, 4*time.Second)
			w.run(50 * time.Millisecond)
		}
		w.run(time.Minute)
		w.checkAnswered()
	}
}
