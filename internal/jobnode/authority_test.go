package jobnode

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// recordingWorkers records the orders that reach the workers.
type recordingWorkers struct {
	Workers
	starts int
	leases []time.Duration
}

func (w *recordingWorkers) Start(_ context.Context, o job.Start) job.StartAnswered {
	w.starts++
	return job.StartAnswered{Worker: o.Worker, Outcome: job.OK}
}

func (w *recordingWorkers) Poll(_ context.Context, o job.Poll) job.Polled {
	w.leases = append(w.leases, o.Lease)
	return job.Polled{Worker: o.Worker, Outcome: job.OK}
}

// recordingMachines records the orders that reach the machines.
type recordingMachines struct {
	Machines
	orders int
}

func (m *recordingMachines) OrderMachine(context.Context, job.OrderMachine) (job.Outcome, error) {
	m.orders++
	return job.OK, nil
}

// TestOrdersAfterAPauseAreNotSent: a process that was paused between its decision and the
// sending finds that its authority has ended, by a clock that counts the pause.
func TestOrdersAfterAPauseAreNotSent(t *testing.T) {
	g := NewWithT(t)
	workers, machines := &recordingWorkers{}, &recordingMachines{}
	n := New(job.Identity{Node: "n"}, job.Settings{}, Platform{Workers: workers, Machines: machines}, &memoryLog{})
	ctx, past, later := context.Background(), Now(), Now().Add(time.Minute)

	g.Expect(n.start(ctx, job.Start{Until: past})).To(HaveField("Outcome", job.NotDone))
	g.Expect(n.orderMachine(ctx, job.OrderMachine{Until: past})).To(HaveField("Outcome", job.NotDone))
	n.poll(ctx, job.Poll{Until: past, Lease: time.Second})
	g.Expect(workers.starts).To(BeZero())
	g.Expect(machines.orders).To(BeZero())
	g.Expect(workers.leases).To(Equal([]time.Duration{0}), "the poll extends no lease")

	n.start(ctx, job.Start{Until: later})
	n.orderMachine(ctx, job.OrderMachine{Until: later})
	n.poll(ctx, job.Poll{Until: later, Lease: time.Second})
	g.Expect(workers.starts).To(Equal(1))
	g.Expect(machines.orders).To(Equal(1))
	g.Expect(workers.leases).To(HaveLen(2))
	g.Expect(workers.leases[1]).To(Equal(time.Second))
}
