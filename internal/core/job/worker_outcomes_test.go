package job

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestFailedTaskGoesToAnotherWorker: the worker that failed a task was free at once and the best
// fit, so that the task used up its attempts there (scale-2 of mta-lima-grown).
func TestFailedTaskGoesToAnotherWorker(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	j := newJob(o, "00000000000000aa", Step{Count: 1, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	failed := j.occurrences.live[0].steps[0].tasks[0]
	room := &poolRoom{workers: []*worker{o.workers[o.workerIDs[0]], o.workers[o.workerIDs[1]]}}
	first := o.chooseWorker(failed, room)
	o.noteOutcome(failed, first, true)
	second := o.chooseWorker(failed, room)
	g.Expect(second).NotTo(gomega.BeIdenticalTo(first))
	g.Expect(first.outcomes.failing(o.s.now)).To(gomega.BeFalse(), "one failure may be the task's own fault")
	g.Expect(o.chooseWorker(failed, &poolRoom{workers: []*worker{first}})).To(gomega.BeIdenticalTo(first), "no other worker")
}

// TestFailingWorkerIsAvoided while others have room, until its failures are some time ago or most
// of its runs complete, and in a new incarnation.
func TestFailingWorkerIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(2)
	j := newJob(o, "00000000000000aa", Step{Count: 8, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	tasks := j.occurrences.live[0].steps[0].tasks
	room := func() *poolRoom {
		return &poolRoom{workers: []*worker{o.workers[o.workerIDs[0]], o.workers[o.workerIDs[1]]}}
	}
	bad := o.chooseWorker(tasks[7], room())
	o.noteOutcome(tasks[0], bad, true)
	o.noteOutcome(tasks[1], bad, true)
	g.Expect(o.chooseWorker(tasks[7], room())).NotTo(gomega.BeIdenticalTo(bad))
	for _, done := range tasks[2:6] {
		o.noteOutcome(done, bad, false)
	}
	g.Expect(o.chooseWorker(tasks[7], room())).To(gomega.BeIdenticalTo(bad))
	o.noteOutcome(tasks[0], bad, true)
	o.noteOutcome(tasks[0], bad, true)
	o.noteOutcome(tasks[0], bad, true)
	g.Expect(bad.outcomes.failing(o.s.now)).To(gomega.BeTrue())
	o.s.now = o.s.now.Add(3 * outcomeWindow)
	g.Expect(bad.outcomes.failing(o.s.now)).To(gomega.BeFalse())
	o.s.now = o.s.now.Add(-3 * outcomeWindow)
	o.handleRestart(bad, bad.info.Incarnation, bad.info.Incarnation+1)
	g.Expect(bad.outcomes).To(gomega.Equal(runOutcomes{}))
}
