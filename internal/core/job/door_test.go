package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// doorSimulation returns a simulation with one owner, and two teams of which one has a limit of
// 4 cores.
func doorSimulation() *simulation {
	sim := newSimulation(40, 1, 4, faults{})
	for _, n := range sim.nodes {
		n.kill()
	}
	sim.settings.RefuseWorthless = true
	sim.config.Teams = []Team{
		{Name: "t", Keys: []string{"k"}, Weight: 10},
		{Name: "hot", Keys: []string{"hot"}, Weight: 10, Limit: Resources{CPU: 4000}},
	}
	for _, n := range sim.nodes {
		n.start()
	}
	sim.run(3 * time.Second)
	return sim
}

// twoCoreSpec is a job of one task of 2 cores for a second.
func twoCoreSpec() Spec {
	return Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 2000, Memory: 64}, EstimateMS: 1000}}}
}

// submitMany submits jobs one after the other, 30 ms apart, and returns the replies.
func (sim *simulation) submitMany(key string, first, count int) []Reply {
	var replies []Reply
	for i := range count {
		id := ID(fmt.Sprintf("%016x", first+i))
		spec := twoCoreSpec()
		sim.jobs[id] = &fakeJob{spec: spec, completed: map[TaskName]bool{}, acknowledged: map[TaskName]bool{}, failed: map[TaskName]int{}}
		reply, _ := sim.callNode(sim.nodes[0], 30*time.Millisecond, Request{Kind: RequestSubmit, ID: id, Host: "h", Path: "/q/" + string(id), Key: key, Spec: spec})
		sim.jobs[id].accepted = reply.Answer == Accepted
		replies = append(replies, reply)
	}
	return replies
}

func countAnswers(replies []Reply, a Answer) int {
	n := 0
	for _, r := range replies {
		if r.Answer == a {
			n++
		}
	}
	return n
}

// TestHotTeamIsRefusedWhatItsLimitCannotServe: a team that submits many times what its limit
// lets it run had every job accepted, and most of them served too late to have a value. The
// objective is 3 s (stretch 2 and 1 s), so a job is worthless after 9 s.
func TestHotTeamIsRefusedWhatItsLimitCannotServe(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := doorSimulation()
	hot := sim.submitMany("hot", 0x1000, 60)
	refused := countAnswers(hot, Overloaded)
	g.Expect(refused).To(gomega.BeNumerically(">", 15))
	g.Expect(countAnswers(hot, Accepted)+refused).To(gomega.Equal(60), "everything else is accepted")
	for _, r := range hot {
		if r.Answer == Overloaded {
			g.Expect(r.RetryAfter).To(gomega.BeNumerically(">=", minRetryAfter))
		}
	}
	others := sim.submitMany("k", 0x2000, 4)
	g.Expect(countAnswers(others, Accepted)).To(gomega.Equal(4), "the other team's jobs have room")
	sim.run(20 * time.Second)
	for id, j := range sim.jobs {
		if !j.accepted {
			g.Expect(j.completed).To(gomega.BeEmpty(), "a refused job never runs: %s", id)
		}
	}
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	sim.report(t)
}

// TestNothingIsRefusedWhileThereIsRoom: the same load within the team's limit.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := doorSimulation()
	g.Expect(countAnswers(sim.submitMany("k", 0x1000, 30), Accepted)).To(gomega.Equal(30))
}

// TestOldBacklogRefusesNothing: an owner that has not planned for a while, as while the store is
// away, does not know how much waits.
func TestOldBacklogRefusesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := doorSimulation()
	sim.submitMany("hot", 0x1000, 60)
	o := sim.nodes[0].state.owner
	a := &Acceptance{Queue: "q", Pool: "p", Team: "hot", At: o.s.wall, Spec: twoCoreSpec()}
	_, refused := o.refuseForLoad("00000000000000aa", &o.s.config.Queues[0], a)
	g.Expect(refused).To(gomega.BeTrue())
	o.door.updatedAt = o.s.now - vocab.Instant(2*maxBacklogPlanAge)
	_, refused = o.refuseForLoad("00000000000000aa", &o.s.config.Queues[0], a)
	g.Expect(refused).To(gomega.BeFalse())
}

// TestRefusalForLoadDoesNotOvertakeAnEarlierAttempt: while the acceptance of an earlier attempt is
// being appended, a later attempt joins it and is not told that the job never runs.
func TestRefusalForLoadDoesNotOvertakeAnEarlierAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := doorSimulation()
	sim.submitMany("hot", 0x1000, 60)
	s := sim.nodes[0].state
	const id = ID("00000000000000aa")
	s.nextBatch.keys = map[string]bool{acceptedPrefix + string(id): true}
	q := &s.config.Queues[0]
	a := &Acceptance{Queue: "q", Pool: "p", Team: "hot", At: s.wall, Spec: twoCoreSpec()}
	g.Expect(s.refuseForLoad(1, id, q, a)).To(gomega.BeFalse())
	s.nextBatch.keys = nil
	g.Expect(s.refuseForLoad(1, id, q, a)).To(gomega.BeTrue())
}

// doorOwner returns an owner of one worker with 4 cores and 10 long jobs ahead of any new one.
func doorOwner(step Step) (*owner, *worker, func() bool) {
	o, host := flushOwner()
	o.s.settings.RefuseWorthless = true
	o.s.config.Queues = []Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 2, Latency: time.Second}}
	o.s.config.Index()
	host.info.Pool, host.info.Capacity = "p", Resources{CPU: 4000, Memory: 16000}
	for i := range 10 {
		j := newJob(o, ID(fmt.Sprintf("%016x", i)), step, Step{Count: 100, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 10_000, After: []int{0}})
		o.jobOrder = append(o.jobOrder, j)
	}
	refused := func() bool {
		a := &Acceptance{Queue: "q", Pool: "p", Team: "t", At: o.s.wall, Spec: twoCoreSpec()}
		_, refused := o.refuseForLoad("00000000000000aa", &o.s.config.Queues[0], a)
		return refused
	}
	return o, host, refused
}

// recordJobs records all jobs as waiting ahead of any new one.
func (o *owner) recordJobs() {
	var list []candidate
	for _, j := range o.jobOrder {
		c := o.rank(j)
		c.class, c.score = classOnTime, 1e9
		list = append(list, c)
	}
	o.recordBacklog(list)
}

// TestJobWithRoomIsAdmitted: jobs that fit on no worker do not keep others waiting.
func TestJobWithRoomIsAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host, refused := doorOwner(Step{Count: 10, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 10_000, Label: "none has it"})
	o.recordJobs()
	g.Expect(refused()).To(gomega.BeFalse())
	host.used = Resources{CPU: 3000}
	g.Expect(refused()).To(gomega.BeTrue(), "no room")
}

// TestWorkThatCannotStartYetIsNotAhead: a task that depends on others takes no worker from a
// new job before they have completed.
func TestWorkThatCannotStartYetIsNotAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host, refused := doorOwner(Step{Count: 1, Need: Resources{CPU: 100, Memory: 64}, EstimateMS: 100})
	host.used = Resources{CPU: 3000}
	o.recordJobs()
	g.Expect(refused()).To(gomega.BeFalse())
}

// TestHeldJobsAreNotAhead: a job that waits for a worker on which an earlier owner may have
// started its tasks takes no other worker. The dump names the worker.
func TestHeldJobsAreNotAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host, refused := doorOwner(Step{Count: 10, Need: Resources{CPU: 4000, Memory: 64}, EstimateMS: 10_000})
	host.used = Resources{CPU: 3000}
	o.recordJobs()
	g.Expect(refused()).To(gomega.BeTrue())
	for _, j := range o.jobOrder {
		o.inheritGrants(j, []taskRow{{Grants: []grant{{Worker: "i-silent"}}}})
	}
	o.recordJobs()
	g.Expect(refused()).To(gomega.BeFalse())
	g.Expect(o.dumpWaitingJobs()[0].HeldBy).To(gomega.Equal([]WorkerID{"i-silent"}))
}

// TestAppendWithoutAnswerMayStillAccept: the store may carry out an append without an answer
// seconds later, so that a later attempt is not told that the job never runs.
func TestAppendWithoutAnswerMayStillAccept(t *testing.T) {
	g := gomega.NewWithT(t)
	s := doorSimulation().nodes[0].state
	key := acceptedPrefix + "00000000000000aa"
	for range 3 {
		s.batchAppended(&recordBatch{keys: map[string]bool{key: true}}, Appended{Outcome: Unknown})
	}
	g.Expect(s.mayBeAppended(key)).To(gomega.BeTrue())
	s.now = s.now.Add(uncertainRetention)
	g.Expect(s.mayBeAppended(key)).To(gomega.BeFalse())
	s.batchAppended(&recordBatch{}, Appended{Outcome: Unknown})
	g.Expect(s.uncertain).To(gomega.HaveLen(1), "appends of long ago are forgotten")
}
