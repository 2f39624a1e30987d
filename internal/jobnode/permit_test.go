package jobnode

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// queueingMachines is a platform of which orders wait for a connection until send is closed.
type queueingMachines struct {
	Machines
	waiting chan struct{}
	send    chan struct{}
}

func (m *queueingMachines) OrderMachine(ctx context.Context, _ job.OrderMachine) (job.Outcome, error) {
	m.waiting <- struct{}{}
	select {
	case <-m.send:
	case <-ctx.Done():
	}
	if !UsePermit(ctx) {
		EndPermit(ctx)
		return job.NotDone, context.Canceled
	}
	return job.OK, nil
}

// TestWithdrawnOrdersAreNotSent guards against orders to machines that wait for a connection and are sent after the owner
// has handed over.
func TestWithdrawnOrdersAreNotSent(t *testing.T) {
	g := NewWithT(t)
	machines := &queueingMachines{waiting: make(chan struct{}), send: make(chan struct{})}
	n := New(job.Identity{Node: "n"}, job.Settings{}, Platform{Machines: machines}, &memoryLog{})
	ctx, later := context.Background(), Now().Add(time.Minute)
	order := func(fence job.Fence) chan job.Outcome {
		outcome := make(chan job.Outcome, 1)
		go func() {
			outcome <- n.orderMachine(ctx, job.OrderMachine{Fence: fence, Until: later}).(job.MachineOrderAnswered).Outcome
		}()
		<-machines.waiting
		return outcome
	}
	earlier, next := order(7), order(9)
	n.execute(ctx, job.WithdrawOrders{Fence: 7})
	g.Eventually(earlier).Should(Receive(Equal(job.NotDone)), "the order does not wait for its connection")
	late := order(7)
	g.Eventually(late).Should(Receive(Equal(job.NotDone)), "decided before and carried out after the withdrawal")
	close(machines.send)
	g.Eventually(next).Should(Receive(Equal(job.OK)))
	g.Expect(n.orders.open).To(BeEmpty())
}

// TestPermitIsUsedOnceItsCallIsSent: a withdrawal does not end a call whose request may have been sent, and a call that has
// ended without a request sends none any more.
func TestPermitIsUsedOnceItsCallIsSent(t *testing.T) {
	g := NewWithT(t)
	var permits orderPermits
	ctx, end := permits.grant(context.Background(), 1, Now().Add(time.Minute))
	defer end()
	g.Expect(UsePermit(ctx)).To(BeTrue())
	permits.withdraw(1)
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(EndPermit(ctx)).To(BeTrue())

	unused, permit := WithPermit(context.Background(), Now().Add(time.Minute))
	defer permit.Release()
	g.Expect(EndPermit(unused)).To(BeFalse())
	g.Expect(UsePermit(unused)).To(BeFalse())

	expired, permit := WithPermit(context.Background(), Now())
	defer permit.Release()
	g.Expect(UsePermit(expired)).To(BeFalse())
	g.Expect([]bool{UsePermit(context.Background()), EndPermit(context.Background())}).To(Equal([]bool{true, true}))
}
