package world

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// living returns the processes that run; unless all is set, only those that
// take callers.
func (w *world) living(all bool) []*entryNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *entryNode) bool { return n.dead || n.stopping && !all })
}

// alone reports whether no other process takes callers.
func (n *entryNode) alone() bool {
	takers := n.w.living(false)
	return len(takers) == 0 || len(takers) == 1 && takers[0] == n
}

// deadNames returns the nodes without a process.
func (w *world) deadNames() []vocab.NodeID {
	var out []vocab.NodeID
	for _, n := range w.nodes {
		if n.dead && w.node(n.name) == nil && !slices.Contains(out, n.name) {
			out = append(out, n.name)
		}
	}
	return out
}

func (w *world) restart(name vocab.NodeID) {
	for _, n := range w.nodes {
		if n.name == name {
			w.start(name, n.zone)
			return
		}
	}
}

// stopGracefully stops a process as the node's loop does.
func (n *entryNode) stopGracefully() {
	n.stopping = true
	n.post(core.LeaveRequested{})
	n.w.after(500*time.Millisecond, func() { n.post(core.StopRequested{}) })
	var wait func()
	wait = func() {
		for _, c := range n.calls {
			if c.final == "" && !c.abandoned {
				n.w.after(100*time.Millisecond, func() { n.receive(wait) })
				return
			}
		}
		n.step(core.LastRequestEnded{})
		n.w.after(5*time.Second, func() { n.receive(n.checkLeft) })
	}
	n.w.after(time.Second, func() { n.receive(wait) })
}

// checkLeft ends a process that stopped gracefully and cut off nobody.
func (n *entryNode) checkLeft() {
	for _, c := range n.calls {
		if c.final == "" && !c.abandoned {
			n.w.fail("%s stops without an answer for request %d", n.name, c.id)
		}
	}
	n.kill()
}

// change publishes a configuration made from the one in force.
func (w *world) change(stale bool, edit func(*spec.Fleet)) {
	fleet := *w.log.truth.Fleet
	fleet.Teams = slices.Clone(fleet.Teams)
	edit(&fleet)
	base := w.log.truth.Revision
	if !stale {
		w.publish(base, fleet)
		return
	}
	w.publish(base-1, fleet)
	if w.log.truth.Revision != base {
		w.fail("a configuration on revision %d replaced revision %d", base-1, base)
	}
}

// actions are the faults and the load of the property test. An action that
// makes no sense at the moment does nothing.
func (w *world) actions() map[string]func(*rapid.T) {
	node := func(r *rapid.T) *entryNode { return rapid.SampledFrom(w.living(true)).Draw(r, "node") }
	vm := func(r *rapid.T) *upstream {
		return w.vms.byName[rapid.SampledFrom(w.vms.names).Draw(r, "VM")]
	}
	pass := func(r *rapid.T) {
		w.run(time.Duration(rapid.IntRange(100, 6000).Draw(r, "ms")) * time.Millisecond)
	}
	burst := func(most int) func(*rapid.T) {
		return func(r *rapid.T) {
			if takers := w.living(false); len(takers) > 0 {
				w.burst(rapid.SampledFrom(takers).Draw(r, "node"), rapid.IntRange(1, most).Draw(r, "requests"), 5*time.Second)
			}
			w.run(50 * time.Millisecond)
		}
	}
	return map[string]func(*rapid.T){
		"pass": pass, "pass on": pass, "pass further": pass, "work": burst(8), "more work": burst(8), "spike": burst(40),
		"log":         func(*rapid.T) { w.log.down = !w.log.down },
		"lost answer": func(*rapid.T) { w.log.loseAnswers++ },
		"retention":   func(*rapid.T) { w.log.trim() },
		"list":        func(*rapid.T) { w.vms.frozen = !w.vms.frozen },
		"orders":      func(*rapid.T) { w.vms.loseOrders = !w.vms.loseOrders },
		"trouble":     func(*rapid.T) { w.trouble = !w.trouble },
		"blind":       func(r *rapid.T) { n := node(r); n.blind = !n.blind },
		"cut": func(r *rapid.T) {
			pair := [2]vocab.NodeID{node(r).name, node(r).name}
			w.net.cut[pair] = !w.net.cut[pair]
		},
		"pause": func(r *rapid.T) {
			n := node(r)
			if n.paused {
				n.resume()
				return
			}
			n.pause()
		},
		"kill": func(r *rapid.T) {
			if n := node(r); !n.alone() {
				n.kill()
			}
		},
		"stop": func(r *rapid.T) {
			if n := node(r); !n.alone() && !n.stopping {
				n.stopGracefully()
			}
		},
		"restart": func(*rapid.T) {
			for _, name := range w.deadNames() {
				w.restart(name)
			}
		},
		"upstream": func(r *rapid.T) {
			vm(r).fault = rapid.SampledFrom([]fault{faultNone, faultReset, faultSilent, faultRefuse, faultDrain, faultCut}).Draw(r, "fault")
		},
		"VM": func(r *rapid.T) {
			u := vm(r)
			switch {
			case u.row.Phase == observe.ListGone:
				w.vms.comeBack(u.row.Name)
			case !u.down:
				w.vms.die(u.row.Name)
			}
		},
		"VM leaves": func(r *rapid.T) {
			u := vm(r)
			switch {
			case u.leaves:
				u.stay()
			case !u.down && u.row.Phase == observe.ListLive:
				u.leaves, u.row.Phase = true, observe.ListLeaving
				w.vms.lastBad = w.now
			}
			w.vms.changed()
		},
		"zone lost": func(r *rapid.T) {
			w.loseZone(rapid.SampledFrom(w.fleet.Regions[0].Zones).Draw(r, "zone"))
		},
		"withdraw": func(r *rapid.T) { w.renewKey(node(r), rapid.Bool().Draw(r, "on the log")) },
		"abandon": func(r *rapid.T) {
			if len(w.calls) > 0 {
				c := rapid.SampledFrom(w.calls[max(0, len(w.calls)-20):]).Draw(r, "request")
				c.node.abandon(c)
			}
		},
		"publish": func(r *rapid.T) {
			if w.log.down {
				return
			}
			team := rapid.IntRange(0, 1).Draw(r, "team")
			limit := vocab.Slots(rapid.IntRange(1, 9).Draw(r, "limit"))
			w.change(rapid.IntRange(0, 3).Draw(r, "stale") == 0, func(f *spec.Fleet) { f.Teams[team].UpperLimit = limit })
		},
		"wave": func(*rapid.T) {
			if !w.log.down {
				w.operatorAppend(record.WaveStarted{Operator: "operator", Wave: w.log.truth.Maintenance.Wave.Number + 1, UnixSeconds: w.unix()})
			}
		},
	}
}

// loseZone makes all VMs and entry nodes of a zone fail, but for the last node.
func (w *world) loseZone(zone vocab.ZoneID) {
	for _, name := range w.vms.names {
		if u := w.vms.byName[name]; u.row.Zone == zone && u.row.Phase != observe.ListGone {
			w.vms.die(name)
		}
	}
	for _, n := range w.living(true) {
		if n.zone == zone && !n.alone() {
			n.kill()
		}
	}
}

// renewKey withdraws a team's key, at a node or on the log, and gives another.
func (w *world) renewKey(n *entryNode, onLog bool) {
	team := w.fleet.Teams[w.rng.IntN(len(w.fleet.Teams))].Name
	old := w.keys[team]
	switch {
	case !onLog:
		n.post(core.WithdrawKey{Key: old})
	case w.log.down:
		return
	default:
		w.operatorAppend(record.KeyWithdrawn{Key: old, Operator: "operator"})
	}
	if w.log.down {
		return
	}
	w.operatorAppend(record.KeyGiven{Key: old, Team: team, SecretHash: secretOf(old)}) // changes nothing
	w.giveKey(team)
}

// giveKey gives a team another key. A key that was withdrawn stays so.
func (w *world) giveKey(team vocab.TeamID) {
	w.given[team]++
	key := vocab.KeyID(fmt.Sprintf("%s-%d", team, w.given[team]))
	w.keys[team] = key
	w.teams[key] = team
	w.operatorAppend(record.KeyGiven{Key: key, Team: team, SecretHash: secretOf(key)})
}

// heal ends all faults.
func (w *world) heal() {
	w.log.down, w.log.loseAnswers = false, 0
	w.vms.frozen, w.vms.loseOrders, w.trouble = false, false, false
	clear(w.net.cut)
	for _, n := range w.living(true) {
		n.blind = false
		if n.paused {
			n.resume()
		}
	}
	for _, name := range w.vms.names {
		u := w.vms.byName[name]
		u.fault = faultNone
		u.stay()
		if u.row.Phase == observe.ListGone {
			w.vms.comeBack(name)
		}
	}
	w.vms.changed()
	w.run(10 * time.Second) // graceful stops end
	for _, name := range w.deadNames() {
		w.restart(name)
	}
}

// stay takes back that a VM leaves by itself.
func (u *upstream) stay() {
	if u.leaves && u.row.Phase == observe.ListLeaving && !u.down {
		u.row.Phase = observe.ListLive
	}
	u.leaves = false
}

// checkUsable checks that all requests are answered and that one node can use
// as much as the limits allow, though the others stand idle.
func (w *world) checkUsable() {
	w.run(150 * time.Second) // lost parts return, signs of leaving end
	w.checkAnswered()
	for _, t := range w.log.truth.Fleet.Teams {
		w.giveKey(t.Name)
	}
	w.run(time.Second)
	team := w.log.truth.Fleet.Teams[0]
	n := w.living(false)[0]
	most, slots := 0, int(team.UpperLimit)
	for range 40 {
		for range 3 {
			w.request(n, "orders", w.keys[team.Name], "GET", "/x", 3*time.Second)
		}
		w.run(500 * time.Millisecond)
		most, slots = max(most, w.running(team.Name)), min(slots, w.slots("orders"))
	}
	w.run(10 * time.Second)
	w.checkAnswered()
	if most < slots {
		w.fail("%s can use %d of %d after all faults are over", n.name, most, slots)
	}
}

// slots counts the slots of the VMs of a pool that are not in maintenance.
func (w *world) slots(id vocab.PoolID) int {
	pool, _ := w.fleet.Pool(id)
	n := 0
	for _, u := range w.vms.byName {
		if u.row.Pool == id && u.row.Phase == observe.ListLive && !u.down {
			n += int(pool.Slots)
		}
	}
	return n
}
