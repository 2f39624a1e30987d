package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestCallersOfAnOutageDoNotReturnTogether replays an outage of the store of 4.2 s with 60
// jobs a second, whose callers come back up to four times when they are told to (trouble-3
// of the large site). All are told one second where the delay does not depend on the outage:
// 664 calls, and those of each second come back together.
func TestCallersOfAnOutageDoNotReturnTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	const outage, attempts = 4200 * time.Millisecond, 5
	lost, calls := 0, 0
	returns := map[int]int{} // in each tenth of a second
	for i := range 252 {
		id := ID(fmt.Sprintf("%016x", i*7919))
		at := time.Duration(i) * outage / 252
		for range attempts {
			if at > outage {
				break
			}
			calls++
			s := New(Identity{}, Settings{})
			s.stream.failedSince, s.now = 1, 1
			s.now = s.now.Add(at)
			at += s.retryAfter(id)
		}
		if at <= outage {
			lost++
		}
		returns[int(at/(100*time.Millisecond))]++
	}
	g.Expect(lost).To(gomega.BeZero())
	g.Expect(calls).To(gomega.BeNumerically("<", 2*252+60), "one second for all takes 655 calls")
	for tenth, n := range returns {
		g.Expect(n).To(gomega.BeNumerically("<=", 24), "callers that return in one tenth of a second (%d): four times the usual", tenth)
	}
}

// TestCancellationIsRefusedWhileTheStoreIsAway: it would wait for an append that cannot
// succeed, until its caller's deadline.
func TestCancellationIsRefusedWhileTheStoreIsAway(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(60, 3, 4, faults{})
	sim.run(3 * time.Second)
	id := sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 100, Memory: 64}, EstimateMS: 60_000}}})
	sim.run(2 * time.Second)
	sim.stream.down = true
	sim.run(2 * time.Second)
	for _, n := range sim.nodes {
		if n.state.Owning() {
			reply, answered := sim.callNode(n, 100*time.Millisecond, jobRequest(RequestCancel, id))
			g.Expect(answered).To(gomega.BeTrue())
			g.Expect(reply.Answer).To(gomega.Equal(Refused))
		}
	}
}
