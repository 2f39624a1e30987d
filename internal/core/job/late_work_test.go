package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// overloadedOwner has a queue with a backlog of overdue jobs, and another one with fresh jobs, in
// pools of their own without a usable worker.
func overloadedOwner(overdue, fresh int) (o *owner, freshJobs []*activeJob) {
	o = fleetOf(0)
	o.s.config = &Config{
		Version: 1, Pools: []Pool{{Name: "hot"}, {Name: "fresh"}, {Name: "off", Spare: true}},
		Queues: []Queue{
			{Name: "hot", Pool: "hot", MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond},
			{Name: "fresh", Pool: "fresh", MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond},
		},
		Teams: []Team{{Name: "t", Weight: 1000}},
	}
	o.s.config.Index()
	o.fleet.machineIDs = []MachineID{"m"}
	o.fleet.machines["m"] = &machine{info: MachineInfo{ID: "m", Pool: "off", Capacity: Resources{CPU: 64_000, Memory: 256_000}}}
	for i := range overdue + fresh {
		j := addTestJob(o, i+1, Step{Count: 8, Need: Resources{CPU: 8000, Memory: 1000}, EstimateMS: 1000})
		j.acceptance.At, j.acceptance.Queue = o.s.wall, "fresh"
		if i < overdue {
			j.acceptance.At, j.acceptance.Queue = o.s.wall-20_000, "hot"
			continue
		}
		freshJobs = append(freshJobs, j)
	}
	return o, freshJobs
}

// planSupply runs placement passes and the planning of machines for a time.
func planSupply(o *owner, length time.Duration) map[vocab.PoolID]int {
	var need map[vocab.PoolID]int
	for range length / fleetInterval {
		o.s.now, o.s.wall = o.s.now.Add(fleetInterval), o.s.wall+Millis(fleetInterval.Milliseconds())
		o.plan()
		o.updateLateWork()
		need = o.machinesNeededByPool()
	}
	return need
}

// TestOverdueBacklogTakesNoMachinesFromFreshWork replays a day of overload on mta-lima: the pool of the hot
// queue held 32 of 49 machines for 20 s with jobs that had no value any more, while the jobs of two
// other pools, on time at first, became late. It gets machines again once no pool lacks any for work
// that can be on time.
func TestOverdueBacklogTakesNoMachinesFromFreshWork(t *testing.T) {
	g := gomega.NewWithT(t)
	o, fresh := overloadedOwner(200, 10)
	need := planSupply(o, 500*time.Millisecond)
	g.Expect(need["fresh"]).To(gomega.BeNumerically(">=", 10))
	g.Expect(need["hot"]).To(gomega.BeZero())
	g.Expect(o.dueWork()["hot"]).To(gomega.BeZero())
	for _, j := range fresh {
		o.finishJob(j, PhaseCancelled)
	}
	g.Expect(planSupply(o, 500*time.Millisecond)["hot"]).To(gomega.BeZero(), "the next fresh job may come at any moment")
	need = planSupply(o, lateWorkDelay)
	g.Expect(need["hot"]).To(gomega.BeNumerically(">=", 200), "nothing else needs the machines")
	g.Expect(o.dueWork()["hot"]).To(gomega.BeNumerically(">", 100))
}
