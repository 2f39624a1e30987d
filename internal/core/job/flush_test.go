package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// mostRecord is the largest record that a store must take, in bytes.
const mostRecord = 256 << 10

// flushOwner is an active owner with one worker.
func flushOwner() (*owner, *worker) {
	o := demandOwner(Resources{})
	o.s.owner, o.stage, o.ordersUntil = o, stageActive, o.s.now.Add(time.Hour)
	host := o.worker("i-0123456789")
	host.info = WorkerInfo{ID: "i-0123456789", Address: "w", Room: Resources{CPU: 1 << 40, Memory: 1 << 40}, Born: 1_700_000_000_000}
	host.listed, host.fenced = true, true
	return o, host
}

// answer has the append under way succeed and returns the effects that follow.
func (o *owner) answer() int {
	o.s.effects = o.s.effects[:0]
	o.appended(Appended{ID: o.sent.id, Outcome: OK, SentAt: o.s.now})
	starts := 0
	for _, e := range o.s.effects {
		if _, ok := e.(Start); ok {
			starts++
		}
	}
	return starts
}

// TestAppendsAreBounded: what is too large for one append goes in several, and a start
// follows the append that has its intent. With some thousand jobs an append beyond the
// store's bound would have been refused again and again, and the owner stood still.
func TestAppendsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	const jobs, tasks = 400, 40
	for i := range jobs {
		w := newJob(o, ID(fmt.Sprintf("%016x", i)), Step{Count: tasks, Need: Resources{CPU: 1}})
		o.works[w.record.ID] = w
		for _, task := range w.occurrences[0].steps[0].tasks {
			o.assign(task, host)
		}
	}
	appends, written, starts := 0, 0, 0
	for o.toWrite() {
		o.flush()
		appends++
		g.Expect(sizeOf(o.sent.records)).To(gomega.BeNumerically("<", mostAppend+mostRecord))
		written += len(o.sent.records) * tasks
		starts += o.answer()
		g.Expect(starts).To(gomega.BeNumerically("<=", written))
	}
	g.Expect(appends).To(gomega.BeNumerically(">", 1))
	g.Expect(starts).To(gomega.Equal(jobs * tasks))
}

// TestResignationWaitsForAllChanges: the record that hands the ownership over is the
// last one.
func TestResignationWaitsForAllChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	for i := range 400 {
		w := newJob(o, ID(fmt.Sprintf("%016x", i)), Step{Count: 40, Need: Resources{CPU: 1}})
		for _, task := range w.occurrences[0].steps[0].tasks {
			o.assign(task, host)
		}
	}
	o.resign()
	for o.s.owner == o {
		o.flush()
		last := o.sent.records[len(o.sent.records)-1]
		g.Expect(last.Key == ownerKey).To(gomega.Equal(len(o.dirty) == 0))
		g.Expect(o.answer()).To(gomega.BeZero(), "an owner that resigned starts nothing")
	}
}

// TestLargestJobFitsOneRecord: a job as large as is accepted has a record that the
// store takes, at any time of its life.
func TestLargestJobFitsOneRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	spec := Spec{Steps: []Step{{Count: maxTasks, Need: Resources{CPU: 1}}}}
	g.Expect(checkSpec(&spec)).To(gomega.BeEmpty())
	w := newJob(o, "00000000000000aa", spec.Steps...)
	for _, task := range w.occurrences[0].steps[0].tasks {
		o.bind(task, host, host.info.Born)
		task.lastRun, task.failures, task.checkpoint = 12, 2, "00000bb87a21d94b"
	}
	g.Expect(sizeOf(o.recordsOf(w))).To(gomega.BeNumerically("<", mostRecord))
	repeated := Spec{Steps: make([]Step, 2), Occurrences: maxSteps}
	g.Expect(checkSpec(&repeated)).NotTo(gomega.BeEmpty())
}

// TestDoneStepsAreOneRow: what is done of a job comes back from its record.
func TestDoneStepsAreOneRow(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	steps := []Step{{Count: 50, Need: Resources{CPU: 1}}, {Count: 3, Need: Resources{CPU: 1}, After: []int{0}}}
	w := newJob(o, "00000000000000aa", steps...)
	for _, task := range w.occurrences[0].steps[0].tasks {
		o.completeTask(task)
	}
	o.completeTask(w.occurrences[0].steps[1].tasks[1])
	g.Expect(w.taskRows()).To(gomega.HaveLen(2))
	again := newJob(o, "00000000000000aa", steps...)
	for _, row := range w.taskRows() {
		o.restore(again, row)
	}
	g.Expect(again.taskRows()).To(gomega.Equal(w.taskRows()))
	g.Expect(again.occurrences[0].stepsLeft).To(gomega.Equal(1))
	g.Expect(again.occurrences[0].steps[1].ready()).To(gomega.BeTrue())
}
