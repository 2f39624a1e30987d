package job

import (
	"testing"
	"time"
)

// BenchmarkBusyOwner simulates ten seconds of an owner of 350 workers that receives 60 jobs
// and completes about 600 runs per second. The result includes the cost of the simulation.
func BenchmarkBusyOwner(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		sim := newSimulation(1, 1, 350, faults{})
		sim.run(2 * time.Second)
		sim.after(0, func() { sim.load(16*time.Millisecond, 10*time.Second) })
		sim.run(10 * time.Second)
		sim.report(b)
	}
}

// BenchmarkPlan measures one placement pass over 350 workers with 2,000 waiting tasks.
func BenchmarkPlan(b *testing.B) {
	sim := newSimulation(1, 1, 350, faults{})
	sim.config.Teams[0].Limit = Resources{}
	sim.run(2 * time.Second)
	for range 600 {
		sim.submit(randomSpec(sim))
	}
	sim.run(300 * time.Millisecond)
	o := sim.nodes[0].state.owner
	// No task can be placed because the team's limit is reached, so all of them keep waiting.
	sim.nodes[0].state.config.Teams[0].Limit = Resources{CPU: 1}
	b.ResetTimer()
	b.ReportAllocs()
	for range b.N {
		o.plan()
	}
}
