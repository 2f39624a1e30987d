package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// configure delivers a configuration to all nodes.
func (sim *simulation) configure(c Config) {
	sim.config = c
	for _, n := range sim.nodes {
		config := c
		config.Queues = slices.Clone(c.Queues)
		n.post(n.incarnation, ConfigRead{Config: &config})
	}
}

// withoutQueue returns the next version of the configuration, in which the queue is replaced by another.
func (sim *simulation) withoutQueue() Config {
	c := sim.config
	other := c.Queues[0]
	other.Name, other.Prefix = "other", "/other/"
	c.Version, c.Queues = c.Version+1, []Queue{other}
	return c
}

// dropTerms makes the acceptance of a job one of an earlier version.
func (s *fakeStream) dropTerms(g *gomega.WithT, id ID) {
	at := s.newest[acceptedPrefix+string(id)]
	var fields map[string]json.RawMessage
	g.Expect(json.Unmarshal(s.records[at].Value, &fields)).To(gomega.Succeed())
	delete(fields, "o")
	value, err := json.Marshal(fields)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.records[at].Value = value
}

// TestJobKeepsItsAttemptsWhileItsQueueIsAway guards against jobs that failed after their first failed run:
// the limit of attempts came from the configuration of that moment, which did not have the queue.
func TestJobKeepsItsAttemptsWhileItsQueueIsAway(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, earlierVersion := range []bool{false, true} {
			for _, newOwner := range []bool{false, true} {
				t.Run(fmt.Sprint("gang ", gang, ", earlier version ", earlierVersion, ", new owner ", newOwner), func(t *testing.T) {
					g := gomega.NewWithT(t)
					sim := newSimulation(1, 3, 4, faults{failTask: 1})
					sim.run(3 * time.Second)
					id := sim.submit(Spec{Steps: []Step{{Count: 3, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 4000, Gang: gang}}})
					sim.run(2 * time.Second)
					g.Expect(sim.starts).To(gomega.Equal(3), "runs that will fail")
					sim.faults.failTask = 0
					before := sim.config
					if earlierVersion {
						sim.stream.dropTerms(g, id)
					}
					sim.configure(sim.withoutQueue())
					if newOwner {
						for _, n := range sim.nodes {
							if n.state.Owning() || earlierVersion {
								n.kill()
								n.start()
							}
						}
					}
					sim.run(9 * time.Second)
					g.Expect(sim.jobs[id].failedRuns).NotTo(gomega.BeEmpty())
					before.Version = sim.config.Version + 1
					sim.configure(before)
					sim.run(30 * time.Second)
					sim.report(t)
					for _, n := range sim.nodes {
						g.Expect(sim.queryState(n, id).State).To(gomega.Equal(PhaseCompleted))
					}
				})
			}
		}
	}
}

// TestAttemptsUsedUpWhileTheQueueIsAway: the job fails after as many failed runs as it was accepted with, not
// later; a job of an earlier version once its queue is configured again.
func TestAttemptsUsedUpWhileTheQueueIsAway(t *testing.T) {
	for _, earlierVersion := range []bool{false, true} {
		g := gomega.NewWithT(t)
		sim := newSimulation(1, 3, 4, faults{failTask: 1})
		sim.run(3 * time.Second)
		id := sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 500}}})
		sim.run(300 * time.Millisecond)
		before := sim.config
		before.Queues = []Queue{before.Queues[0]}
		if earlierVersion {
			before.Queues[0].MaxAttempts = 1
			sim.stream.dropTerms(g, id)
		}
		sim.configure(sim.withoutQueue())
		sim.restartNodes()
		sim.run(15 * time.Second)
		name := TaskName{Job: id}
		if earlierVersion {
			g.Expect(sim.jobs[id].failedRuns[name]).To(gomega.Equal(1), "it is not known whether it may run again")
			before.Version = sim.config.Version + 1
			sim.configure(before)
			sim.run(3 * time.Second)
		} else {
			g.Expect(sim.jobs[id].failedRuns[name]).To(gomega.Equal(3))
		}
		g.Expect(sim.nodes[0].state.ledger.Jobs[id].Phase).To(gomega.Equal(PhaseFailed))
		sim.report(t)
	}
}

// TestChangedAttemptsHoldForLaterJobs: a job keeps the number of attempts that it was accepted with.
func TestChangedAttemptsHoldForLaterJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 3, 4, faults{failTask: 1})
	sim.run(3 * time.Second)
	spec := Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 500}}}
	earlier := sim.submit(spec)
	sim.run(300 * time.Millisecond)
	c := sim.config
	c.Version, c.Queues = c.Version+1, []Queue{c.Queues[0]}
	c.Queues[0].MaxAttempts = 1
	accepted := sim.config.Queues[0].MaxAttempts
	sim.configure(c)
	sim.config.Queues[0].MaxAttempts = accepted // of the check of starts
	later := sim.submit(spec)
	sim.run(10 * time.Second)
	g.Expect(sim.jobs[earlier].failedRuns[TaskName{Job: earlier}]).To(gomega.Equal(accepted))
	g.Expect(sim.jobs[later].failedRuns[TaskName{Job: later}]).To(gomega.Equal(1))
}

// TestTermsOfAcceptanceHoldWithoutConfiguration: the advisor of a queue and the limit of a team hold for the
// jobs that were accepted with them.
func TestTermsOfAcceptanceHoldWithoutConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	config := &Config{
		Version: 1, Queues: []Queue{{Name: "q", MaxAttempts: 2, Advisor: &AdvisorTiming{Decide: time.Second, Valid: time.Minute}}},
		Teams: []Team{{Name: "t", Limit: Resources{CPU: 1500}}},
	}
	config.Index()
	acceptance := Acceptance{Queue: "q", Team: "t", Terms: config.terms(&config.Queues[0], "t")}
	record, err := encodeAcceptance("00000000000000aa", &acceptance)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var read Acceptance
	g.Expect(json.Unmarshal(record.Value, &read)).To(gomega.Succeed())
	g.Expect(read).To(gomega.Equal(acceptance))

	o := demandOwner(Resources{})
	o.s.config = &Config{Version: 2}
	o.s.config.Index()
	j := newJob(o, "00000000000000aa", Step{Count: 2, Need: Resources{CPU: 1000}})
	j.acceptance.Team, j.acceptance.Queue, j.acceptance.Terms = "t", "q", read.Terms
	st := j.occurrences.live[0].steps[0]
	g.Expect(o.advisorOf(j)).To(gomega.Equal(config.Queues[0].Advisor))
	g.Expect(o.withinTeamLimit(st)).To(gomega.BeTrue())
	o.teamUsage["t"] = Resources{CPU: 1000}
	g.Expect(o.withinTeamLimit(st)).To(gomega.BeFalse())
	g.Expect(strings.Contains(string(o.compactAcceptance(j)[0].Value), `"o"`)).To(gomega.BeFalse())
}
