package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const testSteps = 120

// Whatever the network, the log, clocks and processes do, no total is exceeded
// and no token is created; when the faults stop, all can be used again.
func TestTotalsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := &fleet{r: r, log: []version{{run: testRun}}, fixed: rapid.Bool().Draw(r, "fixed")}
		f.appendVersion(func(v *version) { setTotals(r, v) })
		for range rapid.IntRange(1, 4).Draw(r, "nodes") {
			f.start()
		}
		for range testSteps {
			f.step()
			f.check()
		}
		f.heal()
		f.checkAllUsable()
	})
}

func setTotals(r *rapid.T, v *version) {
	for _, a := range testAccounts {
		v.totals[a] = vocab.Slots(rapid.IntRange(0, 12).Draw(r, "total"))
	}
}

// step does one random thing to a random node.
func (f *fleet) step() {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.r, "node")]
	active := !n.dead && !n.paused
	switch action := rapid.IntRange(0, 59).Draw(f.r, "action"); {
	case action < 10:
		f.deliver(rapid.IntRange(0, 7).Draw(f.r, "lose") == 0)
	case action < 13:
		f.calm(rapid.IntRange(1, 6).Draw(f.r, "seconds"))
	case action < 16 && active:
		f.hog(n)
	case action < 18 && active:
		f.fill(n)
	case action < 19 && active:
		f.learn(n)
	case action < 24 && active:
		f.take(n)
	case action < 32 && active:
		f.dispatch(n)
	case action < 36 && active:
		f.gossip(n)
	case action < 41 && active:
		f.fold(n)
		if rapid.Bool().Draw(f.r, "learn") {
			f.learn(n)
			f.fill(n)
		}
	case action < 46 && active:
		n.state.SetDemand(testAccounts[0], vocab.Slots(rapid.IntRange(0, 12).Draw(f.r, "demand")))
		n.state.SetDemand(PoolAccount(testPool), vocab.Slots(rapid.IntRange(0, 12).Draw(f.r, "slots")))
		f.tick(n)
	case action < 49 && active:
		f.tick(n)
	case action < 50 && active:
		f.fail(n)
	case action < 53:
		f.pass(time.Duration(rapid.IntRange(1, 4000).Draw(f.r, "ms")) * time.Millisecond)
	case action < 59:
		f.disturb(n, action)
	}
}

func (f *fleet) take(n *node) {
	a := testAccounts[rapid.IntRange(0, len(testAccounts)-1).Draw(f.r, "account")]
	if t, ok := n.state.Take(n.clock(f.now), a); ok {
		n.tokens = append(n.tokens, t)
	}
}

// fill starts as much work as the node may, all of it as long as allowed.
func (f *fleet) fill(n *node) {
	for _, a := range testAccounts {
		for t, ok := n.state.Take(n.clock(f.now), a); ok; t, ok = n.state.Take(n.clock(f.now), a) {
			f.begin(n, t, n.state.longestRun)
		}
	}
}

// hog lets one node want everything, then fills it.
func (f *fleet) hog(n *node) {
	for _, o := range f.nodes {
		var demand vocab.Slots
		if o == n {
			demand = 24
		}
		o.state.SetDemand(testAccounts[0], demand)
		o.state.SetDemand(PoolAccount(testPool), demand)
	}
	f.calm(rapid.IntRange(1, 3).Draw(f.r, "seconds"))
	if rapid.Bool().Draw(f.r, "fill") {
		f.fill(n)
	}
}

// calm lets the active nodes and the network work for some seconds.
func (f *fleet) calm(seconds int) {
	for range seconds {
		f.pass(time.Second)
		for _, n := range f.nodes {
			if n.dead || n.paused {
				continue
			}
			for !f.logDown && int(n.next)+1 < len(f.log) {
				f.fold(n)
			}
			f.tick(n)
			f.gossip(n)
		}
		for len(f.packets) > 0 {
			f.deliver(false)
		}
		f.check()
	}
}

// disturb injects one fault or change of the fleet.
func (f *fleet) disturb(n *node, action int) {
	switch action {
	case 53:
		n.paused = !n.paused
	case 54:
		f.logDown = !f.logDown
	case 55:
		if !f.logDown && !f.fixed {
			f.appendVersion(func(v *version) { setTotals(f.r, v) })
		} else if !f.logDown {
			f.appendVersion(func(v *version) { v.run = 2 * testRun })
		}
	case 56:
		f.killOrReplace(n)
	case 57:
		f.leave(n)
	case 58:
		f.skip(n)
	}
}

// skip lets a node that is behind take the newest snapshot instead of records.
func (f *fleet) skip(n *node) {
	if n.dead || n.paused || f.logDown || int(n.next)+1 >= len(f.log) {
		return
	}
	n.next = vocab.Offset(len(f.log) - 1)
	n.state.FoldSnapshot(n.clock(f.now), n.next, f.last().members, f.last().list(n), f.last().run)
}

// killOrReplace ends a process; if it is dead already, its removal is recorded
// and a new process starts.
func (f *fleet) killOrReplace(n *node) {
	switch {
	case !n.dead:
		n.dead = true
		n.tokens = nil
		if !f.logDown && rapid.Bool().Draw(f.r, "noticed") {
			f.remove(n, RemovalLost)
			f.start()
		}
	case !n.removed && !f.logDown:
		f.remove(n, RemovalLost)
		f.start()
	}
}

// leave makes a process stop in order.
func (f *fleet) leave(n *node) {
	if n.dead || n.paused || f.logDown {
		return
	}
	n.leaving = true
	n.state.Drain()
	if len(n.tokens) == 0 && n.state.Close() {
		n.dead = true
		f.remove(n, RemovalLeft)
		if !f.healed {
			f.start()
		}
	}
}

// heal ends all faults and lets the fleet come to rest.
func (f *fleet) heal() {
	f.healed = true
	f.logDown = false
	for _, n := range f.nodes {
		n.paused = false
		if n.dead && !n.removed {
			f.remove(n, RemovalLost)
		}
	}
	f.start()
	for _, n := range f.nodes {
		for _, id := range []Account{testAccounts[0], PoolAccount(testPool)} {
			n.state.SetDemand(id, 0)
		}
	}
	f.run(time.Minute)
}

// run steps all live nodes with a network that loses nothing.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.pass(250 * time.Millisecond)
		for _, n := range f.nodes {
			if n.dead {
				continue
			}
			f.learn(n)
			for int(n.next)+1 < len(f.log) {
				f.fold(n)
			}
			for len(n.tokens) > 0 {
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
		for len(f.packets) > 0 {
			f.deliver(false)
		}
		f.check()
	}
}

// checkAllUsable fails unless the free tokens add up to the totals, and one
// node with all the demand gets them all.
func (f *fleet) checkAllUsable() {
	for _, a := range testAccounts {
		var free vocab.Slots
		for _, n := range f.nodes {
			if !n.dead {
				free += n.state.Free(n.clock(f.now), a)
			}
		}
		if total := f.last().totals[a]; free != total {
			f.r.Fatalf("%d of %v are free, the total is %d", free, a, total)
		}
	}
	only := f.nodes[len(f.nodes)-1]
	team := f.last().totals[testAccounts[0]]
	slots := f.last().totals[testAccounts[1]] + f.last().totals[testAccounts[2]]
	only.state.SetDemand(testAccounts[0], team)
	only.state.SetDemand(PoolAccount(testPool), slots)
	f.run(10 * time.Second)
	now := only.clock(f.now)
	if got := only.state.Free(now, testAccounts[0]); got != team {
		f.r.Fatalf("one node gets %d of the team's %d", got, team)
	}
	if got := only.state.Free(now, testAccounts[1]) + only.state.Free(now, testAccounts[2]); got != slots {
		f.r.Fatalf("one node gets %d of the pool's %d slots", got, slots)
	}
}
