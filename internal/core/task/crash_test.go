package task

import (
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestTaskThatCrashesWorkersIsParked guards against issue 34: an attempt that was lost with its
// worker did not count, and one idempotent task crashed worker after worker.
func TestTaskThatCrashesWorkersIsParked(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed, 3, 6)
		for range 20 {
			sim.tick()
		}
		crashing := sim.submit(sim.nodes[0], "crashing", true, false, "")
		var others []vocab.TaskID
		crashes := 0
		for end := sim.now.Add(10 * time.Minute); sim.now < end; {
			if sim.ticks%20 == 0 && len(others) < 100 {
				others = append(others, sim.submit(sim.nodes[1], "invoices", true, false, ""))
			}
			sim.tick()
			for _, wk := range sim.workers {
				for _, ref := range wk.Running() {
					if ref.Task == crashing {
						crashes++
						wk.Restart()
						break
					}
				}
			}
		}
		must(t, sim.check())
		if crashes < 2 || crashes > 5 {
			t.Errorf("seed %d: %d workers have crashed under the task, want 2 to 5", seed, crashes)
		}
		if task, ok := sim.reference.Task(crashing); !ok || task.State != Parked {
			t.Errorf("seed %d: the task is not parked: %+v", seed, task)
		}
		for _, id := range others {
			if task, ok := sim.reference.Task(id); ok && (task.State == Parked && len(task.FailedOn) < poisonWorkerThreshold || task.State == Waiting) {
				t.Errorf("seed %d: task %s, which crashes nothing, is %s", seed, id, task.State)
			}
		}
	}
}
