package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestSlowStoreAcceptsAndStartsInOneAppend replays a store that takes 0.3 s for an append:
// acceptances and intents took turns, and a job's first start waited for about four appends.
func TestSlowStoreAcceptsAndStartsInOneAppend(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(11, 3, 6, faults{})
	sim.run(3 * time.Second)
	owner := sim.owner()
	sim.stream.appendTime = 300 * time.Millisecond
	sim.run(2 * time.Second)
	for i := range 10 {
		call := sim.submitTo(owner, Spec{Payload: "x", Steps: []Step{{Count: 1, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: 50}}})
		// One append may be in progress when the call arrives.
		sim.run(2*sim.stream.appendTime + 80*time.Millisecond)
		g.Expect(sim.starts).To(gomega.Equal(i + 1))
		g.Expect(sim.replies[call].Answer).To(gomega.Equal(Accepted))
		sim.jobs[sim.jobIDs[i]].accepted = true
		sim.run(170 * time.Millisecond)
	}
	sim.run(20 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
}

// TestJoinedAcceptanceOfALostOwnerIsUnclear checks that a job does not start, and its
// caller is not told that it was refused, while the append with its acceptance has no answer.
func TestJoinedAcceptanceOfALostOwnerIsUnclear(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(12, 3, 6, faults{})
	sim.run(3 * time.Second)
	owner := sim.owner()
	sim.stream.appendTime = 300 * time.Millisecond
	sim.run(2 * time.Second)
	owner.streamCut = true
	call := sim.submitTo(owner, Spec{Payload: "x", Steps: []Step{{Count: 1, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: 50}}})
	sim.run(3 * time.Second)
	g.Expect(sim.starts).To(gomega.BeZero())
	if reply, answered := sim.replies[call]; answered {
		g.Expect(reply.Answer).NotTo(gomega.Equal(Accepted))
	}
	owner.streamCut, sim.stream.appendTime = false, 0
	sim.run(20 * time.Second)
	sim.report(t)
}

// owner returns the node that owns the workers.
func (sim *simulation) owner() *node {
	for _, n := range sim.nodes {
		if n.up && n.state.Owning() {
			return n
		}
	}
	return nil
}

// submitTo submits a job to a node, once.
func (sim *simulation) submitTo(n *node, spec Spec) CallID {
	id := sim.addJob(spec)
	sim.calls++
	call := sim.calls
	n.post(n.incarnation, Submit{Call: call, ID: id, Host: "h", Path: "/q/" + string(id), Key: "k", Spec: spec})
	return call
}
