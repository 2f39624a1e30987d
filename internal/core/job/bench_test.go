package job

import (
	"testing"
	"time"
)

// BenchmarkBusyOwner plays ten seconds of an owner of 350 workers that gets 60
// jobs and ends about 600 runs a second. The time includes the model's own.
func BenchmarkBusyOwner(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		w := newWorld(1, 1, 350, faults{})
		w.run(2 * time.Second)
		w.after(0, func() { w.load(16*time.Millisecond, 10*time.Second) })
		w.run(10 * time.Second)
		w.report(b)
	}
}

// BenchmarkPlan measures one pass of placement at 350 workers with 2,000 tasks
// that wait.
func BenchmarkPlan(b *testing.B) {
	w := newWorld(1, 1, 350, faults{})
	w.config.Teams[0].Limit = Resources{}
	w.run(2 * time.Second)
	for range 600 {
		w.submit(randomSpec(w))
	}
	w.run(300 * time.Millisecond)
	o := w.nodes[0].state.owner
	// A limit that is reached leaves everything waiting.
	w.nodes[0].state.config.Teams[0].Limit = Resources{CPU: 1}
	b.ResetTimer()
	b.ReportAllocs()
	for range b.N {
		o.plan()
	}
}
