package job

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/crash"
)

// TestOverlappingOccurrencesFitTheStore guards against an owner that is stuck for good: the occurrences
// of a wide recurring job overlapped, its record outgrew what the store takes, and the refused append
// was repeated without end, so that nothing started for anybody.
func TestOverlappingOccurrencesFitTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 3, 6, faults{})
	sim.settings.MaxRecordBytes, sim.stream.maxRecordBytes = 32<<10, 32<<10
	sim.restartNodes()
	sim.config.Teams[0].Limit = Resources{}
	sim.run(3 * time.Second)
	wide := sim.submit(Spec{
		Steps:       []Step{{Count: 250, Need: Resources{CPU: 20, Memory: 1}, EstimateMS: 2500}},
		Occurrences: 8, FirstAt: sim.wall() + 500, IntervalMS: 500,
	})
	sim.run(4 * time.Second)
	small := sim.submit(Spec{Steps: []Step{{Count: 2, Need: Resources{CPU: 100, Memory: 1}, EstimateMS: 500}}})
	sim.run(4 * time.Second)
	g.Expect(sim.queryState(sim.nodes[0], small).State).To(gomega.Equal(PhaseCompleted))
	sim.run(20 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(sim.jobs[wide].completed).To(gomega.HaveLen(8 * 250))
	g.Expect(sim.starts).To(gomega.Equal(8*250 + 2))
}

// TestRecordOfEarlierVersionCompletes: an owner of an earlier version placed tasks of more occurrences
// than fit one record.
func TestRecordOfEarlierVersionCompletes(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, 6, faults{})
	sim.settings.MaxRecordBytes, sim.stream.maxRecordBytes = 32<<10, 32<<10
	sim.config.Teams[0].Limit = Resources{}
	sim.nodes[0].kill()
	const tasks, occurrences = 340, 4
	spec := Spec{Steps: []Step{{Count: tasks, Need: Resources{CPU: 20, Memory: 1}, EstimateMS: 500}}, Occurrences: occurrences + 2, FirstAt: 1}
	id := sim.addJob(spec)
	j := sim.jobs[id]
	j.accepted = true
	var rows []taskRow
	for k := range occurrences {
		for i := range tasks - 1 {
			rows = append(rows, taskRow{Occurrence: k, Index: i, Completed: true})
			name := TaskName{id, k, 0, i}
			j.completed[name], j.acknowledged[name] = true, true
		}
	}
	acceptance, err := encodeAcceptance(id, &Acceptance{Queue: "q", Pool: "p", Team: "t", Spec: spec})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	progress, err := encodeProgress(id, PhaseRunning, rows)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(progress.size()).To(gomega.BeNumerically(">", 30<<10))
	g.Expect(sim.stream.append(Append{Records: []Record{acceptance, progress}, At: -1}).Outcome).To(gomega.Equal(OK))
	sim.nodes[0].start()
	sim.run(30 * time.Second)
	sim.report(t)
	g.Expect(sim.unfinished()).To(gomega.BeEmpty())
	g.Expect(j.completed).To(gomega.HaveLen((occurrences + 2) * tasks))
}

// TestGrownRecordFitsTheStore: what the rows of a job gain after their tasks were placed leaves the
// record within the limit.
func TestGrownRecordFitsTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	active := newJob(o, "00000000000000aa", Step{Count: maxTasks, Need: Resources{CPU: 1}, Checkpoints: true})
	o.jobs[active.record.ID] = active
	tasks := active.occurrences.live[0].steps[0].tasks
	for _, task := range tasks[:1900] {
		o.assign(task, host)
		o.sendStart(task, 1)
		task.checkpoint = strings.Repeat("c", 100)
	}
	for _, task := range tasks[1900:] {
		o.assign(task, host)
	}
	g.Expect(o.encodeJob(active)[0].size()).To(gomega.BeNumerically("<", maxRecordBytes))
	for _, task := range tasks[1900:] {
		g.Expect(task.worker).To(gomega.BeNil(), "what was not started waits")
	}
	for _, task := range tasks[:1900] {
		g.Expect(task.worker).To(gomega.Equal(host))
	}
	last := o.s.effects[len(o.s.effects)-1].(LogEvent)
	g.Expect(last.ID).To(gomega.Equal(LogRecordTooLarge))
}

// TestJobThatNoRecordHoldsIsRejected: its append would be refused together with those of other callers.
func TestJobThatNoRecordHoldsIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, 3, faults{})
	sim.stream.maxRecordBytes = defaultRecordBytes
	sim.run(3 * time.Second)
	answer := func(spec Spec) Answer {
		id := sim.addJob(spec)
		n := sim.nodes[0]
		sim.calls++
		call := sim.calls
		n.post(n.incarnation, Submit{Call: call, ID: id, Host: "h", Path: "/q/" + string(id), Key: "k", Spec: spec})
		sim.run(time.Second)
		return sim.replies[call].Answer
	}
	step := Step{Count: 1, Need: Resources{CPU: 1}, EstimateMS: 1}
	labelled, after, gang := step, step, step
	labelled.Label = strings.Repeat("x", defaultRecordBytes)
	gang.Gang, gang.Count = true, maxTasks
	many := []Step{step}
	for i := 1; i < 900; i++ {
		after.After = append(after.After, i-1)
		many = append(many, after)
	}
	endless := Spec{Steps: make([]Step, 4), Occurrences: math.MaxInt / 2}
	for i := range endless.Steps {
		endless.Steps[i] = step
	}
	g.Expect(answer(Spec{Steps: []Step{labelled}})).To(gomega.Equal(Malformed))
	g.Expect(answer(Spec{Steps: many})).To(gomega.Equal(Malformed))
	g.Expect(answer(endless)).To(gomega.Equal(Malformed), "the product of steps and occurrences overflows")
	g.Expect(answer(Spec{Steps: []Step{step}, Occurrences: 2, FirstAt: sim.wall(), IntervalMS: math.MaxInt64})).To(gomega.Equal(Malformed))
	g.Expect(answer(Spec{Steps: []Step{gang}})).To(gomega.Equal(Accepted))
	g.Expect(answer(Spec{Steps: []Step{step}})).To(gomega.Equal(Accepted))
	sim.nodes[0].state.settings.MaxRecordBytes = 64 << 10
	g.Expect(answer(Spec{Steps: []Step{gang}})).To(gomega.Equal(Malformed))
	g.Expect(answer(Spec{Steps: []Step{{Count: maxTasks, Need: Resources{CPU: 1}}}})).To(gomega.Equal(Malformed))
}

// TestRemovalsOfManyFinishedJobsAreBounded: after a load all finished jobs expire at once.
func TestRemovalsOfManyFinishedJobsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	const jobs = 40_000
	for i := range jobs {
		o.finished = append(o.finished, &JobRecord{ID: ID(fmt.Sprintf("%016x", i)), Phase: PhaseCompleted})
	}
	o.s.now = o.s.now.Add(time.Hour)
	written := 0
	for len(o.finished) > 0 {
		o.removeExpiredJobs()
		o.removeExpiredJobs()
		o.flush()
		g.Expect(recordBytes(o.pendingAppend.records)).To(gomega.BeNumerically("<", maxAppendBytes))
		written += len(o.pendingAppend.records)
		o.completeAppend()
	}
	g.Expect(written).To(gomega.Equal(3 * jobs))
}

// TestRefusedAppendIsLogged: the log says what is in an append that the store keeps refusing.
func TestRefusedAppendIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	o.sendAppend([]Record{{Key: "p/1", Value: make([]byte, 100)}, {Key: "p/2", Value: make([]byte, 200)}}, nil)
	o.s.effects = o.s.effects[:0]
	for range 9 {
		o.handleAppended(Appended{ID: o.pendingAppend.id, Outcome: NotDone, Err: ErrBadRecord})
	}
	var times []any
	for _, e := range o.s.effects {
		if l, ok := e.(LogEvent); ok && l.ID == LogAppendRefused {
			times = append(times, l.Field("times"))
			g.Expect(l.Field("largest_key")).To(gomega.Equal("p/2"))
		}
	}
	g.Expect(times).To(gomega.Equal([]any{1, 2, 4, 8}))
}

// TestRowsAreMeasuredAsEncoded guards against jobs whose tasks ran one at a time, because their rows were taken for
// larger than they are.
func TestRowsAreMeasuredAsEncoded(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, row := range []taskRow{
		{},
		{Occurrence: 7, Step: 12, Index: 1899, Completed: true},
		{Index: 10, Run: 1},
		{
			Index: 1999, Run: 12, Failed: 2, FailedRun: 11, Worker: "i-0123456789", Incarnation: 1_783_300_000_000, Checkpoint: "00000bb87a21d94b",
			Crashes: 1, Possible: 10, Suspected: 2, Unexplained: 3, CentiLogRatio: -123, PlannedMS: -100_000,
		},
	} {
		encoded, err := json.Marshal(row)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(row.bytes()).To(gomega.BeNumerically("~", len(encoded)+1, 1), string(encoded))
	}
}

// TestLostTasksOfWideJobsStartTogether: crashes make the rows of waiting tasks larger.
func TestLostTasksOfWideJobsStartTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	o.s.settings.MaxRecordBytes = 32 << 10
	j := newJob(o, "00000000000000aa", Step{Count: 250, Need: Resources{CPU: 1}})
	j.acceptance.Spec.Occurrences = 2
	j.ensureOccurrence(1)
	o.jobs[j.record.ID], o.jobOrder = j, append(o.jobOrder, j)
	for _, occ := range j.occurrences.live {
		for _, task := range occ.steps[0].tasks {
			o.assign(task, host)
			o.release(task)
			task.crash = crash.Record{Suspected: 1, Unexplained: 1}
		}
	}
	room := o.recordRoomOf(j, []*worker{host})
	placed := 0
	for _, occ := range j.occurrences.live {
		g.Expect(room.open(occ.steps[0])).To(gomega.BeTrue())
		for _, task := range occ.steps[0].tasks {
			if room.take(task) {
				o.assign(task, host)
				placed++
			}
		}
	}
	g.Expect(placed).To(gomega.BeNumerically(">", 100), "many at once")
	g.Expect(o.encodeJob(j)[0].size()).To(gomega.BeNumerically("<=", 32<<10))
}
