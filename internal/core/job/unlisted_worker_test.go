package job

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestWorkerIsPolledAgainOnceListed guards against a worker that stays unreachable for good: its
// entry expired while polls failed, as during an outage of the store, so that the polls ended, and
// the entry of the same incarnation came back (random faults, seed 660: an owner without workers).
func TestWorkerIsPolledAgainOnceListed(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := evacuationOwner(Step{})
	w := o.workers["w1"]
	w.failedPolls, w.nextPollAt = unreachableAfterPolls, 0
	o.markUnlisted("w1")
	o.sendPoll(w)
	o.handlePolled(Polled{Worker: "w1", Outcome: Unknown})
	g.Expect(w.nextPollAt).To(gomega.Equal(never))
	o.s.effects = nil
	o.handleWorkersListed(WorkersListed{Workers: []WorkerInfo{w.info}})
	g.Expect(o.s.effects).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(Poll{})))
	o.handlePolled(Polled{Worker: "w1", Outcome: OK, Incarnation: 1})
	g.Expect(w.usable(o.s.now)).To(gomega.BeTrue())
}
