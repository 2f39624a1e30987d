package maintenance

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestInvariantsUnderFaults runs three nodes through random faults. The
// simulation checks each decision and order. After the faults have been
// cleared, every disruption must finish and every VM must be maintained.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t.Fatalf, 3)
		sim.tick(time.Second)
		sim.appendRecord(record.WaveStarted{Operator: "op", Wave: 1, UnixSeconds: 1})
		vm := func(t *rapid.T) *fakeVM { return sim.vms[rapid.SampledFrom(sim.names).Draw(t, "vm")] }
		node := func(t *rapid.T) *fakeNode { return rapid.SampledFrom(sim.nodes).Draw(t, "node") }
		flip := func(b *bool) func(*rapid.T) { return func(*rapid.T) { *b = !*b } }
		pass := func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				sim.tick(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": pass, "pass on": pass, "pass further": pass,
			"log": flip(&sim.logDown), "list": flip(&sim.listLags), "appends": flip(&sim.loseAppends),
			"delay": flip(&sim.delayAppends), "answers": flip(&sim.loseReplies),
			"orders": func(t *rapid.T) {
				for kind := range sim.loseOrders {
					sim.loseOrders[kind] = rapid.Bool().Draw(t, "lost")
				}
			},
			"late": func(*rapid.T) { sim.appendDelayed() },
			"node pauses or wakes": func(t *rapid.T) {
				n := node(t)
				n.paused = !n.paused
				if !n.paused {
					sim.runNode(n, false) // acts before it reads the log
				}
			},
			"VM dies or returns": func(t *rapid.T) {
				v := vm(t)
				v.dead = !v.dead
				v.row.Incarnation++
				v.row.Phase = observe.ListLive
				v.rebootEndsAt = 0
			},
			"zone lost": func(t *rapid.T) {
				zone := rapid.SampledFrom([]vocab.ZoneID{"z1", "z2"}).Draw(t, "zone")
				for _, name := range sim.names {
					v := sim.vms[name]
					v.dead = v.dead || v.row.Zone == zone
				}
			},
			"bad image": func(t *rapid.T) { vm(t).badImage = true },
			"silent":    func(t *rapid.T) { v := vm(t); node(t).observed.MarkUnresponsive(v.row.Name, v.row.Incarnation) },
			"demand":    func(t *rapid.T) { sim.demandSlots["a"] = vocab.Slots(rapid.IntRange(0, 60).Draw(t, "slots")) },
			"budget":    func(t *rapid.T) { sim.setMinReady(rapid.IntRange(2, 4).Draw(t, "keep")) },
			"resume": func(*rapid.T) {
				if p := sim.ledger.Wave.PauseOffset; p != 0 {
					sim.appendRecord(record.WaveResumed{Operator: "op", Wave: sim.ledger.Wave.Number, Paused: p})
				}
			},
			"": func(t *rapid.T) { sim.checkAgreement() },
		})
		sim.clearFaults()
		sim.checkAllFinished()
	})
}

func (sim *simulation) appendDelayed() {
	delayed := sim.delayedAppends
	sim.delayedAppends = nil
	for _, b := range delayed {
		sim.appendRecord(b)
	}
}

func (sim *simulation) setMinReady(ready int) {
	f := *sim.fleet
	f.Services = append([]spec.Service(nil), f.Services...)
	f.Services[0].Budget.MinReady = ready
	sim.setFleet(&f)
}

// checkAgreement checks that nodes at the same offset have equal ledgers, that
// each node has every VM in the ledger's pool, and that a VM in transition
// between pools is ready in none.
func (sim *simulation) checkAgreement() {
	ledgers := map[int]string{}
	for _, n := range sim.nodes {
		digest, _ := json.Marshal(n.ledger)
		if first, ok := ledgers[n.offset]; ok && first != string(digest) {
			sim.fail("ledgers differ at offset %d", n.offset)
		}
		ledgers[n.offset] = string(digest)
		for _, vm := range n.observed.All() {
			e := n.ledger.VMs[vm.Name]
			if e.Move != nil && (vm.Pool != "" || vm.Phase == observe.PhaseReady) {
				sim.fail("%s counts %s in pool %q during its move", n.name, vm.Name, vm.Pool)
			}
			if e.Move == nil && e.Pool != "" && vm.Pool != e.Pool {
				sim.fail("%s has %s in pool %s, the ledger in %s", n.name, vm.Name, vm.Pool, e.Pool)
			}
		}
	}
}

// clearFaults ends all faults and lets six hours pass, or less if every VM is
// finished before. It resumes a paused wave every ten minutes.
func (sim *simulation) clearFaults() {
	sim.logDown, sim.listLags, sim.loseAppends, sim.delayAppends, sim.loseReplies = false, false, false, false, false
	sim.loseOrders = [3]bool{}
	sim.appendDelayed()
	sim.setMinReady(3)
	sim.demandSlots["a"] = 6
	for _, name := range sim.names {
		v := sim.vms[name]
		if v.dead || v.badImage {
			v.row.Incarnation++
			v.row.Phase, v.rebootEndsAt = observe.ListLive, 0
		}
		v.dead, v.badImage = false, false
	}
	for _, n := range sim.nodes {
		n.paused = false
	}
	for step := range 6 * 360 {
		if sim.unfinishedVM() == "" {
			return
		}
		sim.tick(10 * time.Second)
		for _, n := range sim.nodes {
			for _, name := range sim.names {
				n.observed.MarkHealthy(sim.now+n.skew, name, sim.vms[name].row.Incarnation)
			}
		}
		if p := sim.ledger.Wave.PauseOffset; p != 0 && step%60 == 0 {
			sim.appendRecord(record.WaveResumed{Operator: "op", Wave: sim.ledger.Wave.Number, Paused: p})
		}
	}
}

func (sim *simulation) checkAllFinished() {
	if vm := sim.unfinishedVM(); vm != "" {
		status, _ := json.Marshal(sim.nodes[0].controller.Status())
		sim.fail("%s is not finished: %+v; %s; %s; %s", vm, sim.ledger.VMs[vm], sim.nodes[0].controller.Explain(vm), status, sim.vmsByPool())
	}
}

// vmsByPool lists each VM with its pool in the ledger.
func (sim *simulation) vmsByPool() string {
	var text []string
	for _, name := range sim.names {
		text = append(text, string(name)+":"+string(sim.ledger.VMs[name].Pool))
	}
	return strings.Join(text, " ")
}

// unfinishedVM returns a VM that is in a disruption or still due, or "".
func (sim *simulation) unfinishedVM() vocab.VMID {
	for _, name := range sim.names {
		if e := sim.ledger.VMs[name]; e.disrupted() || e.LastWave != sim.ledger.Wave.Number {
			return name
		}
	}
	return ""
}
