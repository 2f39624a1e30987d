package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestFailedRunOfGangCountsOnce guards against a gang that failed after its first failed run, because each member
// that reported the failure was counted.
func TestFailedRunOfGangCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, newOwner := range []bool{false, true} {
		sim := newSimulation(1, 3, 4, faults{failTask: 1})
		sim.run(3 * time.Second)
		id := sim.submit(Spec{Steps: []Step{{Count: 4, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 800, Gang: true}}})
		for sim.starts < 4 {
			sim.run(time.Millisecond)
		}
		if newOwner {
			for sim.jobs[id].failedRuns[TaskName{Job: id}] == 0 {
				sim.run(time.Millisecond)
			}
			sim.run(60 * time.Millisecond)
			sim.owningNode().kill()
		}
		sim.run(20 * time.Second)
		sim.report(t)
		for i := range 4 {
			g.Expect(sim.jobs[id].failedRuns[TaskName{id, 0, 0, i}]).To(gomega.Equal(3))
		}
		for _, n := range sim.nodes {
			if n.up {
				g.Expect(n.state.ledger.Jobs[id].Phase).To(gomega.Equal(PhaseFailed))
			}
		}
	}
}

// TestFailedRunOfGangIsOnTheStream: the ends of a run's other members may reach the next owner.
func TestFailedRunOfGangIsOnTheStream(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	gang := Step{Count: 2, Need: Resources{CPU: 1}, Gang: true}
	j := newJob(o, "00000000000000aa", gang)
	j.maxAttempts = 3
	for _, task := range j.occurrences.live[0].steps[0].tasks {
		o.assign(task, host)
		o.release(task)
	}
	o.failTask(firstTask(j), 1)
	next := newJob(o, "00000000000000aa", gang)
	next.maxAttempts = 3
	for _, row := range j.taskRows() {
		o.restoreTasks(next, row)
	}
	second := next.occurrences.live[0].steps[0].tasks[1]
	o.failTask(second, 1)
	g.Expect(second.failures).To(gomega.Equal(1))
	o.failTask(second, 2)
	g.Expect(firstTask(next).failures).To(gomega.Equal(2))
}
