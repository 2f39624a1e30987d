package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// owningNode returns the node that owns the workers, or nil.
func (sim *simulation) owningNode() *node {
	for _, n := range sim.nodes {
		if n.up && n.state.Owning() {
			return n
		}
	}
	return nil
}

// longestPause runs the simulation for a duration and returns the longest time without a start.
func (sim *simulation) longestPause(duration time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	longest, pause, before := time.Duration(0), time.Duration(0), sim.starts
	for range duration / step {
		sim.run(step)
		if pause += step; sim.starts > before {
			pause, before = 0, sim.starts
		}
		longest = max(longest, pause)
	}
	return longest
}

// TestOrderedStopOfOwnerOnSlowStore replays the stop of an owner while each append takes 0.3 s:
// nothing started for four seconds, since the resignation, the claim and the append that fences
// the stream followed each other. Found on mta-lima, trouble-2.
func TestOrderedStopOfOwnerOnSlowStore(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 6, 30, faults{})
		sim.run(3 * time.Second)
		sim.after(0, func() { sim.load(25*time.Millisecond, 14*time.Second) })
		sim.slowStream(300*time.Millisecond, 14*time.Second)
		sim.run(4 * time.Second)
		owner := sim.owningNode()
		owner.post(owner.incarnation, Stopping{})
		g.Expect(sim.longestPause(5*time.Second)).To(gomega.BeNumerically("<=", time.Second), "seed %d", seed)
		g.Expect(sim.owningNode()).NotTo(gomega.Equal(owner))
		sim.run(60 * time.Second)
		sim.report(t)
		g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	}
}

// TestRollingStopOverSlowStore stops and starts all nodes in turn: each owner appoints the node
// that was started last, so that the ownership changes no more often than nodes are stopped.
func TestRollingStopOverSlowStore(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(11, 6, 30, faults{})
	sim.run(3 * time.Second)
	sim.after(0, func() { sim.load(30*time.Millisecond, 25*time.Second) })
	sim.slowStream(300*time.Millisecond, 20*time.Second)
	changes, last := 0, sim.owningNode()
	for _, n := range sim.nodes {
		n.post(n.incarnation, Stopping{})
		for range 20 {
			sim.run(100 * time.Millisecond)
			if now := sim.owningNode(); now != nil && now != last {
				changes, last = changes+1, now
			}
		}
		n.kill()
		n.start()
		sim.run(time.Second)
	}
	g.Expect(changes).To(gomega.BeNumerically("<=", 2))
	sim.run(80 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestHandoverWhileAnswersAreLost hands the ownership over again and again while responses of
// the store and of the workers are lost, and nodes are cut off from the store or suspended at any
// step of a handover.
func TestHandoverWhileAnswersAreLost(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 5, 8, faults{loseAppend: 0.1, loseOrder: 0.05, lateOrder: 0.03, failTask: 0.05})
		sim.run(3 * time.Second)
		sim.after(0, func() { sim.load(150*time.Millisecond, 30*time.Second) })
		if seed%2 == 0 {
			sim.slowStream(200*time.Millisecond, 25*time.Second)
		}
		for range 8 {
			sim.run(time.Duration(sim.rng.Int64N(int64(2 * time.Second))))
			stopped := sim.owningNode()
			if stopped == nil {
				continue
			}
			stopped.post(stopped.incarnation, Stopping{})
			sim.run(time.Duration(sim.rng.Int64N(int64(700 * time.Millisecond))))
			other := sim.nodes[sim.rng.IntN(len(sim.nodes))]
			switch sim.rng.IntN(4) {
			case 0:
				other.streamCut = true
				sim.after(2*time.Second, func() { other.streamCut = false })
			case 1:
				other.frozenUntil = sim.now.Add(2500 * time.Millisecond)
			case 2:
				other.kill()
				sim.after(time.Second, other.start)
			}
			sim.after(2*time.Second, func() {
				if stopped.up {
					stopped.kill()
					stopped.start()
				}
			})
		}
		sim.run(5 * time.Second)
		sim.clearFaults()
		sim.run(90 * time.Second)
		sim.report(t)
		g.Expect(sim.countOwners()).To(gomega.Equal(1), "seed %d", seed)
		g.Expect(sim.unfinished()).To(gomega.BeEmpty(), "seed %d", seed)
	}
}

// TestStoreThatTurnsSlowKeepsItsOwner: nodes had taken the read latency from before the store
// turned slow, and a former owner one from before it owned, and claimed from an owner whose
// appends took their time. Found on mta-lima, trouble-2 --seed 2.
func TestStoreThatTurnsSlowKeepsItsOwner(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 6, 30, faults{})
		sim.run(3 * time.Second)
		sim.after(0, func() { sim.load(40*time.Millisecond, 16*time.Second) })
		sim.run(2 * time.Second)
		owner := sim.owningNode()
		owner.post(owner.incarnation, Stopping{})
		sim.run(50*time.Millisecond + time.Duration(seed)*50*time.Millisecond)
		successor := sim.owningNode()
		sim.slowStream(300*time.Millisecond, 10*time.Second)
		sim.run(10 * time.Second)
		g.Expect(sim.owningNode()).To(gomega.Equal(successor), "seed %d", seed)
		sim.run(40 * time.Second)
		sim.report(t)
	}
}

// TestAppointmentAndClaim: whichever of a claim and an appointment comes first on the stream
// takes effect, for nodes that follow the stream as for those that load it later.
func TestAppointmentAndClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		name                string
		appointment, claim  int64
		wantNode            vocab.NodeID
		wantFence           Fence
		ownerRecordAfter    bool
		wantUnconfirmedNode bool
	}{
		{name: "appointed first", appointment: 20, claim: 21, wantNode: "b", wantFence: 21, wantUnconfirmedNode: true},
		{name: "claimed first", appointment: 21, claim: 20, wantNode: "c", wantFence: 21},
		{name: "renewed", appointment: 20, claim: 21, wantNode: "b", wantFence: 21, ownerRecordAfter: true},
	} {
		last := encodeOwner(ownerRecord{Node: "a", Incarnation: 1, Fence: 5, Resigned: true, Successor: "b", Appointed: 2})
		last.Offset = c.appointment
		claim, err := encodeClaim("k/x", claimRecord{Node: "c", Incarnation: 3, Replaces: 5})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		claim.Offset = c.claim
		first := encodeOwner(ownerRecord{Node: "a", Incarnation: 1, Fence: 5})
		first.Offset = 10
		inOrder, loaded := []Record{first, last, claim}, []Record{claim, last}
		if c.claim < c.appointment {
			inOrder = []Record{first, claim, last}
		}
		if c.ownerRecordAfter {
			renewal := encodeOwner(ownerRecord{Node: "b", Incarnation: 2, Fence: 21})
			renewal.Offset = 30
			inOrder, loaded = append(inOrder, renewal), []Record{renewal, claim}
		}
		for how, records := range map[string][]Record{"followed": inOrder, "loaded": sortedForFold(loaded)} {
			l := newLedger()
			for _, r := range records {
				_, err := l.fold(1, r)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(l.ownerFence).To(gomega.Equal(c.wantFence), "%s, %s", c.name, how)
			g.Expect(l.owner.Node).To(gomega.Equal(c.wantNode), "%s, %s", c.name, how)
			g.Expect(l.owner.unconfirmed).To(gomega.Equal(c.wantUnconfirmedNode), "%s, %s", c.name, how)
		}
	}
}

// TestDeadAppointeeIsReplaced: the appointed process ends before it reads the appointment.
func TestDeadAppointeeIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(5, 5, 8, faults{})
	sim.run(3 * time.Second)
	owner := sim.owningNode()
	owner.post(owner.incarnation, Stopping{})
	for range 100 {
		sim.run(time.Millisecond)
		if h := owner.state.owner.handover; h.appointee() != "" {
			for _, n := range sim.nodes {
				if n.state.self.Node == h.appointee() {
					n.kill()
				}
			}
			break
		}
	}
	owner.kill()
	sim.run(appointedTimeout + claimJitter + 400*time.Millisecond)
	g.Expect(sim.countOwners()).To(gomega.Equal(1))
	sim.report(t)
}

// TestIntendedRunIsStartedByTheNextOwner: a run whose start the earlier owner did not send, or
// whose worker refused it because of the fence, had been given up and placed again, which took
// one more append.
func TestIntendedRunIsStartedByTheNextOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	j := newJob(o, "00000000000000aa", Step{Count: 2, Need: Resources{CPU: 1}})
	o.jobs[j.record.ID] = j
	first, second := j.occurrences.live[0].steps[0].tasks[0], j.occurrences.live[0].steps[0].tasks[1]
	for _, task := range []*task{first, second} {
		o.bind(task, host, host.info.Incarnation)
		task.lastRun, task.state = 1, runStartUnknown
	}
	second.incarnation--
	host.pollInFlight = true
	o.s.effects = o.s.effects[:0]
	o.handlePolled(Polled{Worker: host.info.ID, Outcome: OK, Incarnation: host.info.Incarnation, SentAt: o.s.now, ReceivedAt: o.s.now})
	var starts []Start
	for _, e := range o.s.effects {
		if s, ok := e.(Start); ok {
			starts = append(starts, s)
		}
	}
	g.Expect(starts).To(gomega.HaveLen(1))
	g.Expect(starts[0].Task).To(gomega.Equal(first.name()))
	g.Expect(starts[0].Run).To(gomega.Equal(Run(1)))
	g.Expect(second.worker).To(gomega.BeNil(), "the worker has restarted since the intent")
}
