package simulation

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

// aliveNodes returns the running processes. Those that are stopping, and so accept no new
// requests, are included only with includeStopping.
func (sim *simulation) aliveNodes(includeStopping bool) []*entryNode {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(n *entryNode) bool { return n.dead || n.stopping && !includeStopping })
}

// isLastAccepting reports whether no other process accepts requests.
func (n *entryNode) isLastAccepting() bool {
	accepting := n.sim.aliveNodes(false)
	return len(accepting) == 0 || len(accepting) == 1 && accepting[0] == n
}

// deadNodes returns the nodes without a running process.
func (sim *simulation) deadNodes() []vocab.NodeID {
	var names []vocab.NodeID
	for _, n := range sim.nodes {
		if n.dead && sim.node(n.name) == nil && !slices.Contains(names, n.name) {
			names = append(names, n.name)
		}
	}
	return names
}

// restartNode starts a new process of a node in the node's zone.
func (sim *simulation) restartNode(name vocab.NodeID) {
	for _, n := range sim.nodes {
		if n.name == name {
			sim.startNode(name, n.zone)
			return
		}
	}
}

// stopGracefully stops a process with the same events and delays as the node's loop: it
// waits until all requests have ended.
func (n *entryNode) stopGracefully() {
	n.stopping = true
	n.post(core.LeaveRequested{})
	n.sim.schedule(500*time.Millisecond, func() { n.post(core.StopRequested{}) })
	var wait func()
	wait = func() {
		for _, req := range n.requests {
			if req.finalCode == "" && !req.abandoned {
				n.sim.schedule(100*time.Millisecond, func() { n.runWhenActive(wait) })
				return
			}
		}
		n.step(core.LastRequestEnded{})
		n.sim.schedule(5*time.Second, func() { n.runWhenActive(n.finishStop) })
	}
	n.sim.schedule(time.Second, func() { n.runWhenActive(wait) })
}

// finishStop ends a process after its graceful stop and checks that each request was
// answered.
func (n *entryNode) finishStop() {
	for _, req := range n.requests {
		if req.finalCode == "" && !req.abandoned {
			n.sim.fail("%s stops without an answer to request %d", n.name, req.id)
		}
	}
	n.kill()
}

// publishChange publishes an edited copy of the configuration in force. With stale, the
// copy is based on an earlier revision and must be refused.
func (sim *simulation) publishChange(stale bool, edit func(*spec.Fleet)) {
	fleet := *sim.log.state.Fleet
	fleet.Teams = slices.Clone(fleet.Teams)
	edit(&fleet)
	base := sim.log.state.Revision
	if !stale {
		sim.publish(base, fleet)
		return
	}
	sim.publish(base-1, fleet)
	if sim.log.state.Revision != base {
		sim.fail("a configuration based on revision %d replaced revision %d", base-1, base)
	}
}

// actions returns the faults and the load of the property test. An action that doesn't
// apply to the current state does nothing. rapid orders the actions by name, so that a
// renamed action changes what a seed does.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	node := func(r *rapid.T) *entryNode { return rapid.SampledFrom(sim.aliveNodes(true)).Draw(r, "node") }
	vm := func(r *rapid.T) *upstream {
		return sim.vms.byName[rapid.SampledFrom(sim.vms.names).Draw(r, "VM")]
	}
	advance := func(r *rapid.T) {
		sim.advance(time.Duration(rapid.IntRange(100, 6000).Draw(r, "ms")) * time.Millisecond)
	}
	burst := func(maxRequests int) func(*rapid.T) {
		return func(r *rapid.T) {
			if accepting := sim.aliveNodes(false); len(accepting) > 0 {
				sim.burst(rapid.SampledFrom(accepting).Draw(r, "node"), rapid.IntRange(1, maxRequests).Draw(r, "requests"), 5*time.Second)
			}
			sim.advance(50 * time.Millisecond)
		}
	}
	return map[string]func(*rapid.T){
		"pass": advance, "pass on": advance, "pass further": advance, "work": burst(8), "more work": burst(8), "spike": burst(40),
		"log":         func(*rapid.T) { sim.log.down = !sim.log.down },
		"lost answer": func(*rapid.T) { sim.log.answersToLose++ },
		"retention":   func(*rapid.T) { sim.log.trim() },
		"list":        func(*rapid.T) { sim.vms.frozen = !sim.vms.frozen },
		"orders":      func(*rapid.T) { sim.vms.loseOrders = !sim.vms.loseOrders },
		"trouble":     func(*rapid.T) { sim.messageFaults = !sim.messageFaults },
		"blind":       func(r *rapid.T) { n := node(r); n.readsHang = !n.readsHang },
		"cut": func(r *rapid.T) {
			pair := [2]vocab.NodeID{node(r).name, node(r).name}
			sim.net.partitioned[pair] = !sim.net.partitioned[pair]
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
			if n := node(r); !n.isLastAccepting() {
				n.kill()
			}
		},
		"stop": func(r *rapid.T) {
			if n := node(r); !n.isLastAccepting() && !n.stopping {
				n.stopGracefully()
			}
		},
		"restart": func(*rapid.T) {
			for _, name := range sim.deadNodes() {
				sim.restartNode(name)
			}
		},
		"upstream": func(r *rapid.T) {
			vm(r).fault = rapid.SampledFrom([]fault{faultNone, faultReset, faultSilent, faultRefuse, faultDrain, faultCut}).Draw(r, "fault")
		},
		"VM": func(r *rapid.T) {
			u := vm(r)
			switch {
			case u.row.Phase == observe.ListGone:
				sim.vms.restoreVM(u.row.Name)
			case !u.down:
				sim.vms.failVM(u.row.Name)
			}
		},
		"VM leaves": func(r *rapid.T) {
			u := vm(r)
			switch {
			case u.leavesUnordered:
				u.endUnorderedLeave()
			case !u.down && u.row.Phase == observe.ListLive:
				u.leavesUnordered, u.row.Phase = true, observe.ListLeaving
				sim.vms.lastUnorderedChangeAt = sim.now
			}
			sim.vms.scheduleSync()
		},
		"zone lost": func(r *rapid.T) {
			sim.failZone(rapid.SampledFrom(sim.fleet.Regions[0].Zones).Draw(r, "zone"))
		},
		"withdraw": func(r *rapid.T) { sim.replaceKey(node(r), rapid.Bool().Draw(r, "on the log")) },
		"abandon": func(r *rapid.T) {
			if len(sim.requests) > 0 {
				req := rapid.SampledFrom(sim.requests[max(0, len(sim.requests)-20):]).Draw(r, "request")
				req.node.abandon(req)
			}
		},
		"publish": func(r *rapid.T) {
			if sim.log.down {
				return
			}
			team := rapid.IntRange(0, 1).Draw(r, "team")
			limit := vocab.Slots(rapid.IntRange(1, 9).Draw(r, "limit"))
			sim.publishChange(rapid.IntRange(0, 3).Draw(r, "stale") == 0, func(f *spec.Fleet) { f.Teams[team].UpperLimit = limit })
		},
		"wave": func(*rapid.T) {
			if !sim.log.down {
				sim.operatorAppend(record.WaveStarted{Operator: "operator", Wave: sim.log.state.Maintenance.Wave.Number + 1, UnixSeconds: sim.unixTime()})
			}
		},
	}
}

// failZone makes all VMs and entry nodes of a zone fail, except for the last node that
// accepts requests.
func (sim *simulation) failZone(zone vocab.ZoneID) {
	for _, name := range sim.vms.names {
		if u := sim.vms.byName[name]; u.row.Zone == zone && u.row.Phase != observe.ListGone {
			sim.vms.failVM(name)
		}
	}
	for _, n := range sim.aliveNodes(true) {
		if n.zone == zone && !n.isLastAccepting() {
			n.kill()
		}
	}
}

// replaceKey withdraws the key of a random team, at a node or on the log, and issues another.
func (sim *simulation) replaceKey(n *entryNode, onLog bool) {
	team := sim.fleet.Teams[sim.rng.IntN(len(sim.fleet.Teams))].Name
	oldKey := sim.keys[team]
	switch {
	case !onLog:
		n.post(core.WithdrawKey{Key: oldKey})
	case sim.log.down:
		return
	default:
		sim.operatorAppend(record.KeyWithdrawn{Key: oldKey, Operator: "operator"})
	}
	if sim.log.down {
		return
	}
	// A withdrawn key stays withdrawn, so that this record must have no effect.
	sim.operatorAppend(record.KeyGiven{Key: oldKey, Team: team, SecretHash: secretHash(oldKey)})
	sim.issueKey(team)
}

// issueKey issues a new key to a team, in addition to its earlier keys.
func (sim *simulation) issueKey(team vocab.TeamID) {
	sim.keysIssued[team]++
	key := vocab.KeyID(fmt.Sprintf("%s-%d", team, sim.keysIssued[team]))
	sim.keys[team] = key
	sim.teams[key] = team
	sim.operatorAppend(record.KeyGiven{Key: key, Team: team, SecretHash: secretHash(key)})
}

// clearFaults ends all faults and restarts all nodes.
func (sim *simulation) clearFaults() {
	sim.log.down, sim.log.answersToLose = false, 0
	sim.vms.frozen, sim.vms.loseOrders, sim.messageFaults = false, false, false
	clear(sim.net.partitioned)
	for _, n := range sim.aliveNodes(true) {
		n.readsHang = false
		if n.paused {
			n.resume()
		}
	}
	for _, name := range sim.vms.names {
		u := sim.vms.byName[name]
		u.fault = faultNone
		u.endUnorderedLeave()
		if u.row.Phase == observe.ListGone {
			sim.vms.restoreVM(name)
		}
	}
	sim.vms.scheduleSync()
	sim.advance(10 * time.Second) // for graceful stops to end
	for _, name := range sim.deadNodes() {
		sim.restartNode(name)
	}
}

// endUnorderedLeave makes a VM that is leaving without an order live again.
func (u *upstream) endUnorderedLeave() {
	if u.leavesUnordered && u.row.Phase == observe.ListLeaving && !u.down {
		u.row.Phase = observe.ListLive
	}
	u.leavesUnordered = false
}

// checkCapacityUsable checks that all requests are answered and that one node can use a
// team's whole upper limit while the other nodes are idle.
func (sim *simulation) checkCapacityUsable() {
	sim.advance(150 * time.Second) // lost quotas return and leaving reports expire
	sim.checkAnswered()
	for _, t := range sim.log.state.Fleet.Teams {
		sim.issueKey(t.Name)
	}
	sim.advance(time.Second)
	team := sim.log.state.Fleet.Teams[0]
	n := sim.aliveNodes(false)[0]
	maxRunning, usable := 0, int(team.UpperLimit)
	for range 40 {
		for range 3 {
			sim.sendRequest(n, "orders", sim.keys[team.Name], "GET", "/x", 3*time.Second)
		}
		sim.advance(500 * time.Millisecond)
		maxRunning, usable = max(maxRunning, sim.countRunning(team.Name)), min(usable, sim.availableSlots("orders"))
	}
	sim.advance(10 * time.Second)
	sim.checkAnswered()
	if maxRunning < usable {
		sim.fail("%s uses at most %d of %d slots after all faults ended", n.name, maxRunning, usable)
	}
}

// availableSlots counts the slots of the live VMs of a pool.
func (sim *simulation) availableSlots(id vocab.PoolID) int {
	pool, _ := sim.fleet.Pool(id)
	slots := 0
	for _, u := range sim.vms.byName {
		if u.row.Pool == id && u.row.Phase == observe.ListLive && !u.down {
			slots += int(pool.Slots)
		}
	}
	return slots
}
