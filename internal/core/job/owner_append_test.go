package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/crash"
)

// maxRecordBytes is the largest record that a store must accept.
const maxRecordBytes = 256 << 10

// flushOwner returns an active owner with one worker.
func flushOwner() (*owner, *worker) {
	o := demandOwner(Resources{})
	o.s.owner, o.stage, o.ordersUntil = o, stageActive, o.s.now.Add(time.Hour)
	host := o.worker("i-0123456789")
	host.info = WorkerInfo{ID: "i-0123456789", Address: "w", Capacity: Resources{CPU: 1 << 40, Memory: 1 << 40}, Incarnation: 1_700_000_000_000}
	host.listed, host.fenced = true, true
	return o, host
}

// completeAppend completes the append in progress and returns the number of starts that
// follow.
func (o *owner) completeAppend() int {
	o.s.effects = o.s.effects[:0]
	o.handleAppended(Appended{ID: o.pendingAppend.id, Outcome: OK, SentAt: o.s.now})
	starts := 0
	for _, e := range o.s.effects {
		if _, ok := e.(Start); ok {
			starts++
		}
	}
	return starts
}

// TestAppendsAreBounded checks that changes too large for one append are written in
// several, and that a run is started only after the append with its intent. An append
// above the store's limit, as with some thousand jobs, would be refused forever and
// block the owner.
func TestAppendsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	const jobs, tasks = 400, 40
	for i := range jobs {
		active := newJob(o, ID(fmt.Sprintf("%016x", i)), Step{Count: tasks, Need: Resources{CPU: 1}})
		o.jobs[active.record.ID] = active
		for _, task := range active.occurrences.live[0].steps[0].tasks {
			o.assign(task, host)
		}
	}
	appends, written, starts := 0, 0, 0
	for o.hasPendingWrites() {
		o.flush()
		appends++
		g.Expect(recordBytes(o.pendingAppend.records)).To(gomega.BeNumerically("<", maxAppendBytes+maxRecordBytes))
		written += len(o.pendingAppend.records) * tasks
		starts += o.completeAppend()
		g.Expect(starts).To(gomega.BeNumerically("<=", written))
	}
	g.Expect(appends).To(gomega.BeNumerically(">", 1))
	g.Expect(starts).To(gomega.Equal(jobs * tasks))
}

// TestResignationWaitsForAllChanges checks that the resignation is the owner's last
// record.
func TestResignationWaitsForAllChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	o, host := flushOwner()
	for i := range 400 {
		active := newJob(o, ID(fmt.Sprintf("%016x", i)), Step{Count: 40, Need: Resources{CPU: 1}})
		for _, task := range active.occurrences.live[0].steps[0].tasks {
			o.assign(task, host)
		}
	}
	o.resign()
	for o.s.owner == o {
		o.flush()
		last := o.pendingAppend.records[len(o.pendingAppend.records)-1]
		g.Expect(last.Key == ownerKey).To(gomega.Equal(len(o.dirty) == 0))
		g.Expect(o.completeAppend()).To(gomega.BeZero(), "an owner that resigned starts nothing")
	}
}

// TestLargestJobFitsOneRecord checks that the record of a job of the maximum size is
// within the store's limit, whatever the state of its tasks.
func TestLargestJobFitsOneRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	spec := Spec{Steps: []Step{{Count: maxTasks, Need: Resources{CPU: 1}}}}
	g.Expect(validateSpec(&spec)).To(gomega.BeEmpty())
	active := newJob(o, "00000000000000aa", spec.Steps...)
	for i, task := range active.occurrences.live[0].steps[0].tasks {
		w := o.worker(WorkerID(fmt.Sprintf("i-%010x", i)))
		w.info.Incarnation, w.info.Machine, w.info.Address = 1_783_300_000_000, MachineID(fmt.Sprintf("m-%010x", i)), "10.100.100.100:18583"
		o.bind(task, w, w.info.Incarnation)
		task.lastRun, task.failures, task.checkpoint = 12, 2, "00000bb87a21d94b"
		task.plannedWall = active.acceptance.At + 100_000
		task.crash = crash.Record{Crashes: 1, Possible: 1, Suspected: 2, Unexplained: 2, LogRatio: -23.45}
	}
	g.Expect(recordBytes(o.encodeJob(active))).To(gomega.BeNumerically("<", maxRecordBytes))
	repeated := Spec{Steps: make([]Step, 2), Occurrences: MaxSteps}
	g.Expect(validateSpec(&repeated)).NotTo(gomega.BeEmpty())
}

// TestCompletedStepIsOneRow checks that a completed step takes one row, and that completed
// tasks are restored from the rows.
func TestCompletedStepIsOneRow(t *testing.T) {
	g := gomega.NewWithT(t)
	o, _ := flushOwner()
	steps := []Step{{Count: 50, Need: Resources{CPU: 1}}, {Count: 3, Need: Resources{CPU: 1}, After: []int{0}}}
	active := newJob(o, "00000000000000aa", steps...)
	for _, task := range active.occurrences.live[0].steps[0].tasks {
		o.completeTask(task)
	}
	o.completeTask(active.occurrences.live[0].steps[1].tasks[1])
	g.Expect(active.taskRows()).To(gomega.HaveLen(2))
	again := newJob(o, "00000000000000aa", steps...)
	for _, row := range active.taskRows() {
		o.restoreTasks(again, row)
	}
	g.Expect(again.taskRows()).To(gomega.Equal(active.taskRows()))
	g.Expect(again.occurrences.live[0].remainingSteps).To(gomega.Equal(1))
	g.Expect(again.occurrences.live[0].steps[1].ready()).To(gomega.BeTrue())
}
