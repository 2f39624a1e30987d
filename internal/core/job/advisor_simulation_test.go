package job

import (
	"errors"
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxAdviceCalls is the number of calls of a node that an advisor lets wait.
const maxAdviceCalls = 32

// fakeAdvisor decides which workers may run a step. It handles the calls of each node one after the other, in the
// time that the queue's configuration states. A ticket permits a step to start on one incarnation of a worker
// until it expires; workers refuse starts without one.
type fakeAdvisor struct {
	sim    *simulation
	timing AdvisorTiming
	// allows is the policy: it does not change for a step and a worker.
	allows func(step StepRef, w WorkerID) bool
	// lost, if set, reports whether a call gets no response.
	lost      func(step StepRef) bool
	busyUntil map[*node]vocab.Instant
	waiting   map[*node]int
	tickets   map[string]fakeTicket
	// calls holds the calls in the order of arrival, refusedStarts counts the starts without a valid ticket.
	calls         []RequestAdvice
	refusedStarts int
}

type fakeTicket struct {
	step        StepRef
	worker      WorkerID
	incarnation Millis
	validUntil  vocab.Instant
}

// addAdvisor gives the queue an advisor, which restarts the nodes.
func (sim *simulation) addAdvisor(timing AdvisorTiming, allows func(StepRef, WorkerID) bool) *fakeAdvisor {
	sim.config.Queues[0].Advisor = &timing
	sim.advisor = &fakeAdvisor{
		sim: sim, timing: timing, allows: allows,
		busyUntil: map[*node]vocab.Instant{}, waiting: map[*node]int{}, tickets: map[string]fakeTicket{},
	}
	sim.restartNodes()
	return sim.advisor
}

// call handles a request of a node.
func (a *fakeAdvisor) call(n *node, e RequestAdvice, reply func(event.Event)) {
	answered := false
	answer := func(ev AdviceReceived) {
		if !answered {
			answered = true
			reply(ev)
		}
	}
	failed := func(reason string) {
		answer(AdviceReceived{Number: e.Number, Step: e.Step, Err: errors.New(reason)})
	}
	a.sim.after(e.Timeout, func() { failed("timeout") })
	if len(e.Workers) > 100 {
		a.sim.addViolation("a request for advice names %d workers", len(e.Workers))
	}
	a.calls = append(a.calls, e)
	if a.lost != nil && a.lost(e.Step) {
		return
	}
	if a.waiting[n] >= maxAdviceCalls {
		a.sim.after(a.sim.delay(), func() { failed("status 429") })
		return
	}
	a.waiting[n]++
	a.busyUntil[n] = max(a.busyUntil[n], a.sim.now).Add(a.timing.Decide + time.Duration(len(e.Workers))*a.timing.Each)
	a.sim.after(a.busyUntil[n].Sub(a.sim.now), func() {
		a.waiting[n]--
		answer(AdviceReceived{Number: e.Number, Step: e.Step, OK: true, Tickets: a.issue(e)})
	})
}

// issue returns tickets for the workers of a request that the policy allows.
func (a *fakeAdvisor) issue(e RequestAdvice) map[WorkerID]string {
	granted := map[WorkerID]string{}
	for _, id := range e.Workers {
		if !a.allows(e.Step, id) {
			continue
		}
		text := fmt.Sprintf("%s-%d-%d-%s-%d", e.Step.Job, e.Step.Occurrence, e.Step.Step, id, len(a.tickets))
		a.tickets[text] = fakeTicket{e.Step, id, a.sim.workers[id].info.Incarnation, a.sim.now.Add(a.timing.Valid)}
		granted[id] = text
	}
	return granted
}

// permits reports whether a start carries a ticket that is valid on the worker.
func (a *fakeAdvisor) permits(wk *fakeWorker, e Start) bool {
	t, found := a.tickets[e.Ticket]
	valid := found && t.step == StepRef{e.Task.Job, e.Task.Occurrence, e.Task.Step} && t.worker == wk.info.ID &&
		t.incarnation == wk.info.Incarnation && a.sim.now < t.validUntil
	if !valid {
		a.refusedStarts++
	}
	return valid
}

// callsFor counts the calls for a job.
func (a *fakeAdvisor) callsFor(id ID) int {
	n := 0
	for _, c := range a.calls {
		if c.Step.Job == id {
			n++
		}
	}
	return n
}

func allowAll(StepRef, WorkerID) bool { return true }
