package job

import (
	"fmt"
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

// BenchmarkPlanLargeFleet measures one placement pass over 3,000 workers that are in use,
// with 600 waiting jobs of which some are too large for the free room.
func BenchmarkPlanLargeFleet(b *testing.B) {
	o := fleetOf(3000)
	busy := newJob(o, "00000000000000ff", Step{Count: 8, Need: Resources{CPU: 900, Memory: 900}, EstimateMS: 700})
	for i, id := range o.workerIDs {
		for range 8 + i%2 {
			t := &task{step: busy.occurrences.live[0].steps[0]}
			o.bind(t, o.workers[id], 1)
			t.startedAt = o.s.now.Add(-time.Duration(i) * time.Millisecond)
		}
	}
	for i := range 600 {
		id := ID(fmt.Sprintf("%016x", i+1))
		j := newJob(o, id, Step{Count: 8, Need: Resources{CPU: int64(1000 + 10*(i%500)), Memory: 1000}, EstimateMS: int64(300 + i)})
		o.jobs[id], o.jobOrder = j, append(o.jobOrder, j)
	}
	o.plan()
	b.ResetTimer()
	b.ReportAllocs()
	for range b.N {
		o.s.now++
		o.plan()
	}
}

// BenchmarkPlanAdvice measures one placement pass over 350 workers, with 600 waiting steps of a queue with an advisor
// that has not been asked, has refused all workers, or allows too few for a gang.
func BenchmarkPlanAdvice(b *testing.B) {
	for name, c := range map[string]struct {
		gang           bool
		asked, refused int
	}{"not asked": {}, "refused": {asked: 350, refused: 350}, "gangs that are allowed too few": {true, 350, 346}} {
		b.Run(name, func(b *testing.B) {
			o := fleetOf(350)
			o.s.config.Queues[0].Advisor = &testAdvisor
			for i := range 600 {
				j := addTestJob(o, i+1, Step{Count: 8, Need: Resources{CPU: int64(5000 + 10*(i%300)), Memory: 1000}, EstimateMS: int64(300 + i), Gang: c.gang})
				st := firstTask(j).step
				st.advice.verdicts = map[*worker]verdict{}
				o.advisor.verdicts += c.asked
				for k, id := range o.workerIDs[:c.asked] {
					st.advice.verdicts[o.workers[id]] = verdict{incarnation: 1, allowed: k >= c.refused}
				}
			}
			o.plan()
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				o.s.now++
				o.plan()
			}
		})
	}
}

// BenchmarkAllLeasesExpire measures the loss of all runs of 2,700 workers that do not respond.
func BenchmarkAllLeasesExpire(b *testing.B) {
	for range b.N {
		b.StopTimer()
		o := fleetOf(2700)
		for i, id := range o.workerIDs {
			j := addTestJob(o, i+1, Step{Count: 16, Need: Resources{CPU: 400, Memory: 100}, EstimateMS: 5000})
			for _, t := range j.occurrences.live[0].steps[0].tasks {
				startOn(o, t, o.workers[id])
			}
		}
		o.s.now = o.s.now.Add(10 * time.Second)
		for _, id := range o.workerIDs {
			o.workers[id].lastHeardAt, o.workers[id].failedPolls = o.s.now, unreachableAfterPolls
		}
		b.StartTimer()
		for _, id := range o.workerIDs {
			o.loseRuns(o.workers[id], o.workers[id].tasks, lossLeaseExpired)
		}
	}
}
