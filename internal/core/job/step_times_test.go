package job

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// unevenJob is a job of two steps of eight tasks, whose run times differ by the spread of the deployment
// mta-lima: the longest task of a step takes about half as long again as the mean.
func unevenJob(o *owner, number int, rng *rand.Rand) (j *activeJob, runTimes [][]time.Duration, longestChain time.Duration) {
	const meanMS, spread = 1000, 0.3
	steps := []Step{
		{Count: 8, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: meanMS},
		{Count: 8, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: meanMS, After: []int{0}},
	}
	j = addTestJob(o, number, steps...)
	for range steps {
		times, longest := make([]time.Duration, 8), time.Duration(0)
		for i := range times {
			times[i] = time.Duration(meanMS*math.Exp(spread*rng.NormFloat64())) * time.Millisecond
			longest = max(longest, times[i])
		}
		runTimes, longestChain = append(runTimes, times), longestChain+longest
	}
	return j, runTimes, longestChain
}

// runStep runs the tasks of a step beside each other, as long as given.
func runStep(o *owner, st *step, runTimes []time.Duration) {
	begin := o.s.now
	for i, t := range st.tasks {
		o.s.now = begin
		startOn(o, t, o.workers["w0000"])
		o.s.now = begin.Add(runTimes[i])
		o.handleRunEnd(t.worker, EndReport{Task: t.name(), Run: t.lastRun, End: EndCompleted})
	}
}

// TestJobOfUnevenTasksIsNotTakenForLate guards against objectives from mean run times: a third of the
// jobs of a quiet day counted as late, which were in time, and were served after all others.
func TestJobOfUnevenTasksIsNotTakenForLate(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 40 {
		j, times, _ := unevenJob(o, i+1, rng)
		runStep(o, j.occurrences.live[0].steps[0], times[0])
		runStep(o, j.occurrences.live[0].steps[1], times[1])
	}
	sumOfRatios := 0.0
	const jobs = 40
	for i := range jobs {
		j, times, longestChain := unevenJob(o, 100+i, rng)
		expected := o.criticalPath(j)
		sumOfRatios += expected.Seconds() / longestChain.Seconds()
		runStep(o, j.occurrences.live[0].steps[0], times[0])
		runStep(o, j.occurrences.live[0].steps[1], times[1])
		known := o.criticalPath(j)
		g.Expect(known.Seconds()).To(gomega.BeNumerically("~", longestChain.Seconds(), 0.02), "measured once the steps have run")
	}
	g.Expect(sumOfRatios/jobs).To(gomega.BeNumerically("~", 1, 0.1), "expected before they start")
}

// TestSlowWorkerDoesNotExtendTheObjective: a step that takes ten times as long as others did.
func TestSlowWorkerDoesNotExtendTheObjective(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range 40 {
		j, times, _ := unevenJob(o, i+1, rng)
		runStep(o, j.occurrences.live[0].steps[0], times[0])
	}
	j, times, _ := unevenJob(o, 100, rng)
	times[0][3] = 20 * time.Second
	expected := o.criticalPath(j)
	runStep(o, j.occurrences.live[0].steps[0], times[0])
	g.Expect(o.criticalPath(j)).To(gomega.BeNumerically("<=", 2*expected))
}

// TestNextOwnerInheritsWhatWasLearned guards against an owner that took jobs for late in the seconds after
// each takeover, since it knew no run times.
func TestNextOwnerInheritsWhatWasLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	o := fleetOf(1)
	rng := rand.New(rand.NewPCG(3, 3))
	for i := range 40 {
		j, times, _ := unevenJob(o, i+1, rng)
		runStep(o, j.occurrences.live[0].steps[0], times[0])
	}
	j, _, _ := unevenJob(o, 100, rng)
	expected := o.criticalPath(j)
	o.writeLearned()

	next := fleetOf(1)
	again, _, _ := unevenJob(next, 100, rng)
	g.Expect(next.criticalPath(again)).To(gomega.BeNumerically("<", expected*8/10))
	for _, r := range o.extraRecords {
		_, err := next.s.ledger.fold(next.s.now, r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	next.inheritLearned()
	next.s.now = next.s.now.Add(2 * learnedValidity)
	g.Expect(next.criticalPath(again).Seconds()).To(gomega.BeNumerically("~", expected.Seconds(), 0.01))
	g.Expect(next.extraRecords).To(gomega.BeEmpty())

	next.s.config.queues = map[vocab.QueueID]*Queue{}
	next.inheritLearned()
	g.Expect(next.extraRecords).To(gomega.HaveLen(1), "the queue is no longer configured")
	g.Expect(next.extraRecords[0].Value).To(gomega.BeEmpty())
	_, err := next.s.ledger.fold(next.s.now, Record{Key: learnedPrefix + "q", Value: []byte("[")})
	g.Expect(errors.Is(err, ErrBadRecord)).To(gomega.BeTrue())
}
