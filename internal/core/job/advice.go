package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Events and effects of the advisor. Some queues have an advisor, and only the advisor knows
// which workers may run a step.
type (
	// RequestAdvice asks the advisor which of the workers may run a step. The response is an
	// AdviceReceived event.
	RequestAdvice struct {
		effectMarker
		Step    StepRef
		Workers []WorkerID
		// Timeout is the timeout of the request.
		Timeout time.Duration
	}

	// AdviceReceived is the advisor's response to a RequestAdvice: a ticket for each allowed
	// worker, or an error.
	AdviceReceived struct {
		eventMarker
		Step    StepRef
		OK      bool
		Tickets map[WorkerID]string
		Err     error
	}

	// StepRef identifies a step within one occurrence of a job.
	StepRef struct {
		Job              ID
		Occurrence, Step int
	}
)

// ticket permits the tasks of a step to start on one incarnation of a worker until it
// expires.
type ticket struct {
	text        string
	incarnation Millis
	validUntil  vocab.Instant
}

const (
	// maxAdviceWorkers bounds the workers named in one advice request.
	maxAdviceWorkers = 30
	// adviceRetryInterval is the minimum time between two advice requests for a step that
	// found no free capacity.
	adviceRetryInterval = 800 * time.Millisecond
	// ticketExpiryMargin is the time before its expiry from which a ticket is no longer
	// used.
	ticketExpiryMargin = 500 * time.Millisecond
	// adviceTimeoutMargin is added to the response time that the queue's configuration states.
	adviceTimeoutMargin = 1500 * time.Millisecond
)

// ticketFor returns the step's ticket for a worker and whether it is still valid for the
// worker's incarnation.
func (st *step) ticketFor(w *worker, now vocab.Instant) (string, bool) {
	t, found := st.tickets[w.info.ID]
	return t.text, found && t.incarnation == w.info.Incarnation && now < t.validUntil
}

// advisorOf returns the advisor settings of the job's queue, or those of its acceptance if the queue is
// no longer configured; nil if it has no advisor.
func (o *owner) advisorOf(j *activeJob) *AdvisorTiming {
	if q := o.queueOf(j); q != nil {
		return q.Advisor
	}
	return j.acceptance.Terms.Advisor
}

// requestAdvice asks the advisor about the workers that a task could use if its step had tickets for them. Only
// one request is in flight at a time, because the advisor handles the requests of each node
// one after the other.
func (o *owner) requestAdvice(t *task, p *poolRoom) {
	st := t.step
	advisor := o.advisorOf(st.job)
	if advisor == nil || o.advicePending || o.s.now.Sub(st.adviceRequestedAt) < adviceRetryInterval && st.adviceRequestedAt != 0 {
		return
	}
	end := o.endAfterStart(t)
	var workerIDs []WorkerID
	for _, w := range p.workers {
		if _, valid := st.ticketFor(w, o.s.now); !valid && len(workerIDs) < maxAdviceWorkers &&
			w.free().Holds(st.spec.Reserved()) && o.isEligible(t, w) && o.mayUse(t, w, end) {
			workerIDs = append(workerIDs, w.info.ID)
		}
	}
	if len(workerIDs) == 0 {
		return
	}
	o.advicePending, st.adviceRequestedAt = true, o.s.now
	o.s.logEvent(LogAdviceRequested, "job", st.job.record.ID, "occurrence", st.occurrence.number, "step", st.number,
		"workers", len(workerIDs), "first", workerIDs[0])
	o.s.emit(RequestAdvice{
		Step: st.ref(), Workers: workerIDs, Timeout: advisor.Decide + time.Duration(len(workerIDs))*advisor.Each + adviceTimeoutMargin,
	})
}

func (st *step) ref() StepRef {
	return StepRef{st.job.record.ID, st.occurrence.number, st.number}
}

func (o *owner) handleAdviceReceived(e AdviceReceived) {
	o.advicePending, o.planDue = false, true
	j := o.jobs[e.Step.Job]
	if j == nil {
		return
	}
	occ := j.findOccurrence(e.Step.Occurrence)
	if occ == nil {
		return
	}
	st := occ.steps[e.Step.Step]
	advisor := o.advisorOf(j)
	if !e.OK || advisor == nil {
		o.s.logEvent(LogAdvisorAnswered, "job", e.Step.Job, "occurrence", e.Step.Occurrence, "step", e.Step.Step, "error", errorText(e.Err))
		return
	}
	if st.tickets == nil {
		st.tickets = map[WorkerID]ticket{}
	}
	ids := make([]WorkerID, 0, len(e.Tickets))
	for id := range e.Tickets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w := o.workers[id]; w != nil {
			// The ticket's validity counts from when the advisor issued it, which is no
			// earlier than when the request was sent.
			st.tickets[id] = ticket{e.Tickets[id], w.info.Incarnation, st.adviceRequestedAt.Add(advisor.Valid - ticketExpiryMargin)}
		}
	}
	o.s.logEvent(LogAdvisorAnswered, "job", e.Step.Job, "occurrence", e.Step.Occurrence, "step", e.Step.Step, "granted", len(ids))
}
