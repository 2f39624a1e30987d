package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const stepsPerRun = 120

// TestTotalsHoldUnderFaults injects random faults into the network, the log, clocks
// and processes. No total may be exceeded and no token created; once the faults are
// cleared, all tokens must be usable again.
func TestTotalsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := &fleet{r: r, log: []logVersion{{maxRunLimit: testRunLimit}}, fixedTotals: rapid.Bool().Draw(r, "fixed")}
		f.appendVersion(func(v *logVersion) { drawTotals(r, v) })
		for range rapid.IntRange(1, 4).Draw(r, "nodes") {
			f.startNode()
		}
		for range stepsPerRun {
			f.randomStep()
			f.checkInvariants()
		}
		f.clearFaults()
		f.checkAllUsable()
	})
}

func drawTotals(r *rapid.T, v *logVersion) {
	for _, a := range testAccounts {
		v.totals[a] = vocab.Slots(rapid.IntRange(0, 12).Draw(r, "total"))
	}
}

// randomStep takes one random action on a random node.
func (f *fleet) randomStep() {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.r, "node")]
	active := !n.dead && !n.paused
	switch action := rapid.IntRange(0, 59).Draw(f.r, "action"); {
	case action < 10:
		f.deliverOne(rapid.IntRange(0, 7).Draw(f.r, "lose") == 0)
	case action < 13:
		f.runActiveNodes(rapid.IntRange(1, 6).Draw(f.r, "seconds"))
	case action < 16 && active:
		f.concentrateDemand(n)
	case action < 18 && active:
		f.startAllowedWork(n)
	case action < 19 && active:
		f.completeVMList(n)
	case action < 24 && active:
		f.take(n)
	case action < 32 && active:
		f.dispatch(n)
	case action < 36 && active:
		f.gossip(n)
	case action < 41 && active:
		f.foldNext(n)
		if rapid.Bool().Draw(f.r, "learn") {
			f.completeVMList(n)
			f.startAllowedWork(n)
		}
	case action < 46 && active:
		n.state.SetDemand(testAccounts[0], vocab.Slots(rapid.IntRange(0, 12).Draw(f.r, "demand")))
		n.state.SetDemand(PoolAccount(testPool), vocab.Slots(rapid.IntRange(0, 12).Draw(f.r, "slots")))
		f.tick(n)
	case action < 49 && active:
		f.tick(n)
	case action < 50 && active:
		f.failRequest(n)
	case action < 53:
		f.advance(time.Duration(rapid.IntRange(1, 4000).Draw(f.r, "ms")) * time.Millisecond)
	case action < 59:
		f.injectFault(n, action)
	}
}

func (f *fleet) take(n *node) {
	a := testAccounts[rapid.IntRange(0, len(testAccounts)-1).Draw(f.r, "account")]
	if t, ok := n.state.Take(n.localTime(f.now), a); ok {
		n.undispatched = append(n.undispatched, t)
	}
}

// startAllowedWork starts as much work as the node may, all of it for the
// longest run limit.
func (f *fleet) startAllowedWork(n *node) {
	for _, a := range testAccounts {
		for t, ok := n.state.Take(n.localTime(f.now), a); ok; t, ok = n.state.Take(n.localTime(f.now), a) {
			f.startWork(n, t, n.state.maxRunLimit)
		}
	}
}

// concentrateDemand moves all demand to one node and sometimes starts work on
// all that it gets.
func (f *fleet) concentrateDemand(n *node) {
	for _, o := range f.nodes {
		var demand vocab.Slots
		if o == n {
			demand = 24
		}
		o.state.SetDemand(testAccounts[0], demand)
		o.state.SetDemand(PoolAccount(testPool), demand)
	}
	f.runActiveNodes(rapid.IntRange(1, 3).Draw(f.r, "seconds"))
	if rapid.Bool().Draw(f.r, "fill") {
		f.startAllowedWork(n)
	}
}

// runActiveNodes runs the nodes that are neither dead nor paused for some seconds.
// The network loses nothing; other faults remain.
func (f *fleet) runActiveNodes(seconds int) {
	for range seconds {
		f.advance(time.Second)
		for _, n := range f.nodes {
			if n.dead || n.paused {
				continue
			}
			for !f.logDown && int(n.folded)+1 < len(f.log) {
				f.foldNext(n)
			}
			f.tick(n)
			f.gossip(n)
		}
		for len(f.messages) > 0 {
			f.deliverOne(false)
		}
		f.checkInvariants()
	}
}

// injectFault injects one fault or changes the fleet.
func (f *fleet) injectFault(n *node, action int) {
	switch action {
	case 53:
		n.paused = !n.paused
	case 54:
		f.logDown = !f.logDown
	case 55:
		if !f.logDown && !f.fixedTotals {
			f.appendVersion(func(v *logVersion) { drawTotals(f.r, v) })
		} else if !f.logDown {
			f.appendVersion(func(v *logVersion) { v.maxRunLimit = 2 * testRunLimit })
		}
	case 56:
		f.killOrReplace(n)
	case 57:
		f.leave(n)
	case 58:
		f.installSnapshot(n)
	}
}

// installSnapshot makes a node that is behind fold the newest snapshot instead
// of the records.
func (f *fleet) installSnapshot(n *node) {
	if n.dead || n.paused || f.logDown || int(n.folded)+1 >= len(f.log) {
		return
	}
	n.folded = vocab.Offset(len(f.log) - 1)
	n.state.InstallSnapshot(n.localTime(f.now), n.folded, f.latest().members, f.latest().totalsFor(n), f.latest().maxRunLimit)
}

// killOrReplace ends a process. If it has already ended, its removal is recorded
// and a new process starts.
func (f *fleet) killOrReplace(n *node) {
	switch {
	case !n.dead:
		n.dead = true
		n.undispatched = nil
		if !f.logDown && rapid.Bool().Draw(f.r, "noticed") {
			f.recordRemoval(n, RemovalLost)
			f.startNode()
		}
	case !n.removed && !f.logDown:
		f.recordRemoval(n, RemovalLost)
		f.startNode()
	}
}

// leave drains a process and stops it once nothing is in use.
func (f *fleet) leave(n *node) {
	if n.dead || n.paused || f.logDown {
		return
	}
	n.leaving = true
	n.state.Drain()
	if len(n.undispatched) == 0 && n.state.Close() {
		n.dead = true
		f.recordRemoval(n, RemovalLeft)
		if !f.faultsCleared {
			f.startNode()
		}
	}
}

// clearFaults clears all faults, removes the demand and runs the fleet until
// everything has settled.
func (f *fleet) clearFaults() {
	f.faultsCleared = true
	f.logDown = false
	for _, n := range f.nodes {
		n.paused = false
		if n.dead && !n.removed {
			f.recordRemoval(n, RemovalLost)
		}
	}
	f.startNode()
	for _, n := range f.nodes {
		for _, id := range []Account{testAccounts[0], PoolAccount(testPool)} {
			n.state.SetDemand(id, 0)
		}
	}
	f.runAllNodes(time.Minute)
}

// runAllNodes runs all live nodes after the faults have been cleared. The network
// loses nothing.
func (f *fleet) runAllNodes(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.advance(250 * time.Millisecond)
		for _, n := range f.nodes {
			if n.dead {
				continue
			}
			f.completeVMList(n)
			for int(n.folded)+1 < len(f.log) {
				f.foldNext(n)
			}
			for len(n.undispatched) > 0 {
				f.dispatch(n)
			}
			f.tick(n)
			if n.leaving {
				f.leave(n)
			}
			if f.now%time.Second == 0 || f.now+time.Second >= end {
				f.gossip(n)
			}
		}
		for len(f.messages) > 0 {
			f.deliverOne(false)
		}
		f.checkInvariants()
	}
}

// checkAllUsable fails unless the free tokens add up to the totals, and one node
// with all the demand gets all of them.
func (f *fleet) checkAllUsable() {
	for _, a := range testAccounts {
		var free vocab.Slots
		for _, n := range f.nodes {
			if !n.dead {
				free += n.state.Free(n.localTime(f.now), a)
			}
		}
		if total := f.latest().totals[a]; free != total {
			f.r.Fatalf("%d of %v are free, the total is %d", free, a, total)
		}
	}
	only := f.nodes[len(f.nodes)-1]
	team := f.latest().totals[testAccounts[0]]
	slots := f.latest().totals[testAccounts[1]] + f.latest().totals[testAccounts[2]]
	only.state.SetDemand(testAccounts[0], team)
	only.state.SetDemand(PoolAccount(testPool), slots)
	f.runAllNodes(10 * time.Second)
	now := only.localTime(f.now)
	if got := only.state.Free(now, testAccounts[0]); got != team {
		f.r.Fatalf("one node with all the demand gets %d of the team's %d", got, team)
	}
	if got := only.state.Free(now, testAccounts[1]) + only.state.Free(now, testAccounts[2]); got != slots {
		f.r.Fatalf("one node with all the demand gets %d of the pool's %d slots", got, slots)
	}
}
