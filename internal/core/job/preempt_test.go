package job

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestOwnerChangesAfterPreemption kills the owner between the stops of a preemption and the
// next starts: no task runs twice, and every job completes.
func TestOwnerChangesAfterPreemption(t *testing.T) {
	for seed := range uint64(40) {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 3, 4, faults{})
		sim.run(3 * time.Second)
		for range 4 {
			sim.submit(Spec{Steps: []Step{{Count: 6, Need: Resources{CPU: 1000, Memory: 256}, EstimateMS: 3000, Checkpoints: true}}})
		}
		sim.run(time.Second)
		owner := sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.state.Owning() })]
		stopped := 0
		sim.after(0, func() {
			o := owner.state.owner
			owner.state.effects = nil
			for _, id := range o.workerIDs {
				w := o.workers[id]
				if !o.mayPreempt(w) {
					continue
				}
				stopped += len(w.tasks)
				o.preempt(&machine{info: MachineInfo{ID: w.info.Machine, Worker: id}}, "other")
				g.Expect(o.mayPreempt(w)).To(gomega.BeFalse(), "no second stop")
			}
			for _, e := range slices.Clone(owner.state.effects) {
				owner.execute(owner.incarnation, e)
			}
		})
		sim.run(time.Duration(seed) * 10 * time.Millisecond)
		g.Expect(stopped).To(gomega.BeNumerically(">", 0))
		owner.kill()
		sim.run(30 * time.Second)
		sim.report(t)
		g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	}
}

// TestPreemptionNeedsCheckpointAndSlack: only a running task that resumes and whose job stays
// on time is stopped, once.
func TestPreemptionNeedsCheckpointAndSlack(t *testing.T) {
	g := gomega.NewWithT(t)
	o := demandOwner(Resources{})
	o.s.config.Queues = []Queue{{Name: "q", Pool: "p", Stretch: 1.6, Latency: 600 * time.Millisecond}}
	o.s.config.Index()
	o.ordersUntil = never
	mayPreempt := func(change func(*Step), age Millis) bool {
		spec := Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 2100, Checkpoints: true}
		change(&spec)
		second := Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 2100, After: []int{0}}
		j := newJob(o, "00000000000000aa", spec, second)
		j.acceptance.At -= age
		w := &worker{info: WorkerInfo{ID: "w"}}
		task := j.occurrences[0].steps[0].tasks[0]
		o.bind(task, w, 0)
		task.state, task.startedAt = runRunning, o.s.now
		return o.mayPreempt(w)
	}
	g.Expect(mayPreempt(func(*Step) {}, 0)).To(gomega.BeTrue())
	g.Expect(mayPreempt(func(*Step) {}, 2000)).To(gomega.BeFalse(), "the job would be late")
	g.Expect(mayPreempt(func(st *Step) { st.Checkpoints = false }, 0)).To(gomega.BeFalse())
	g.Expect(mayPreempt(func(st *Step) { st.Gang = true }, 0)).To(gomega.BeFalse())
	g.Expect(mayPreempt(func(st *Step) { st.LongRunning = true }, 0)).To(gomega.BeFalse())
	o.s.config.queues["q"].Priority = 1
	g.Expect(mayPreempt(func(*Step) {}, 2000)).To(gomega.BeTrue(), "lower priority yields earlier")
}
