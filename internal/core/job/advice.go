package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/advice"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Some queues have an advisor: only the advisor knows which workers may run a step. Its policy does not change, so
// that each answer is kept for the life of the worker. The advisor handles one request of a node at a time; a step
// requests advice only if a ticket is all that is missing, and internal/core/advice decides which step does.

// Events and effects of the advisor.
type (
	// RequestAdvice asks the advisor which of the workers may run a step. The response is an
	// AdviceReceived event with the same Number.
	RequestAdvice struct {
		effectMarker
		Number  uint64
		Step    StepRef
		Workers []WorkerID
		// Timeout is the timeout of the request.
		Timeout time.Duration
	}

	// AdviceReceived is the advisor's response to a RequestAdvice: a ticket for each allowed
	// worker, or an error.
	AdviceReceived struct {
		eventMarker
		Number  uint64
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

// adviceTimeoutMargin is added to the response time that the queue's configuration states.
const adviceTimeoutMargin = 1500 * time.Millisecond

// stepAdvice is what a step knows of the advisor's policy, and the requests for it.
type stepAdvice struct {
	verdicts map[*worker]verdict
	// candidates are the workers of a generation of the pool that were not refused, or all if few were.
	candidates   []*worker
	candidatesOf uint64
	// requests counts the requests since a task of the step last started, unused those of them that brought
	// tickets.
	requests, unused int
	requestedAt      vocab.Instant
	// lackingSince is the time since which the step waits for its turn to request advice, or 0.
	lackingSince vocab.Instant
	// failedUntil is the time before which a step whose request failed does not repeat it.
	failedUntil vocab.Instant
}

// advisorCalls is the owner's use of the advisor.
type advisorCalls struct {
	// pending is the request without a response yet, or nil.
	pending *adviceRequest
	// failures counts the failed requests in a row, pausedUntil is the end of the pause after the last one.
	failures    int
	pausedUntil vocab.Instant
	turns       advice.Turns
	// shares holds how many workers the advisor allows, by queue.
	shares map[vocab.QueueID]*advice.Share
	// lacking holds the steps to which a ticket is all that is missing, as of the last placement pass.
	lacking []lackingStep
	// lackingSteps is the number of these steps.
	lackingSteps int
	// verdicts is the number of verdicts in memory.
	verdicts int
	// pools holds the usable workers of each pool as of the last placement pass, generations counts their changes.
	pools       map[vocab.PoolID]poolGeneration
	generations uint64
}

// adviceRequest is a request with the incarnations of the workers that it is about.
type adviceRequest struct {
	number       uint64
	step         *step
	workers      []*worker
	incarnations []Millis
	sentAt       vocab.Instant
}

// lackingStep is a step with a task to which a ticket is all that is missing.
type lackingStep struct {
	step  *step
	task  *task
	class int
	pool  *poolRoom
}

func (st *step) ref() StepRef {
	return StepRef{st.job.record.ID, st.occurrence.number, st.number}
}

// advisorOf returns the advisor settings of the job's queue, or those of its acceptance if the queue is
// no longer configured; nil if it has no advisor.
func (o *owner) advisorOf(j *activeJob) *AdvisorTiming {
	if q := o.queueOf(j); q != nil {
		return q.Advisor
	}
	return j.acceptance.Terms.Advisor
}

// noteLackingTicket notes that a ticket is all that a task of a job in a service class is missing.
func (o *owner) noteLackingTicket(t *task, p *poolRoom) {
	st := t.step
	if st.advice.lackingSince == 0 {
		st.advice.lackingSince = o.s.now
	}
	o.advisor.lacking = append(o.advisor.lacking, lackingStep{st, t, st.job.class, p})
}

// requestAdvice requests advice for the step whose turn it is, after a placement pass.
func (o *owner) requestAdvice() {
	lacking := o.advisor.lacking
	o.advisor.lacking, o.advisor.lackingSteps = nil, 0
	for i, l := range lacking {
		if i == 0 || l.step != lacking[i-1].step {
			o.advisor.lackingSteps++
		}
	}
	if o.advisor.pending != nil || o.s.now < o.advisor.pausedUntil {
		return
	}
	lacking = slices.DeleteFunc(lacking, func(l lackingStep) bool { return o.s.now < l.step.advice.failedUntil })
	candidates := make([]advice.Candidate, len(lacking))
	for i, l := range lacking {
		candidates[i] = advice.Candidate{
			Team: l.step.job.acceptance.Team, Class: l.class, Since: l.step.advice.lackingSince, Requests: l.step.advice.requests,
		}
	}
	for _, i := range o.advisor.turns.Order(candidates) {
		if workers := o.workersToAskAbout(lacking[i]); len(workers) > 0 {
			o.sendAdviceRequest(lacking[i].step, workers)
			return
		}
	}
}

// sendAdviceRequest asks the advisor about workers.
func (o *owner) sendAdviceRequest(st *step, workers []*worker) {
	o.s.adviceRequests++
	r := &adviceRequest{number: o.s.adviceRequests, step: st, workers: workers, sentAt: o.s.now}
	ids := make([]WorkerID, len(workers))
	for i, w := range workers {
		ids[i], r.incarnations = w.info.ID, append(r.incarnations, w.info.Incarnation)
	}
	a, advisor := &st.advice, o.advisorOf(st.job)
	o.s.logEvent(LogAdviceRequested, "job", st.job.record.ID, "occurrence", st.occurrence.number, "step", st.number,
		"team", st.job.acceptance.Team, "workers", len(workers), "first", workers[0].info.ID, "requests", a.requests,
		"waited_ms", o.s.now.Sub(a.lackingSince).Milliseconds())
	o.advisor.pending = r
	a.requestedAt, a.lackingSince = o.s.now, 0
	a.requests++
	o.s.emit(RequestAdvice{
		Number: r.number, Step: st.ref(), Workers: ids,
		Timeout: advisor.Decide + time.Duration(len(workers))*advisor.Each + adviceTimeoutMargin,
	})
}

// askableWorker is a worker that a step could use if it had a ticket.
type askableWorker struct {
	worker *worker
	advice.Worker
	score float64
}

// unknownPenalty is added to the score of a worker that the advisor may refuse.
const unknownPenalty = 1

// workersToAskAbout returns the workers for which a step requests tickets: as many as its waiting tasks can use,
// those that placement would choose first. It returns none if the answer could not let a task start.
func (o *owner) workersToAskAbout(l lackingStep) []*worker {
	st, t := l.step, l.task
	advisor := o.advisorOf(st.job)
	tasks := min(st.waiting(), o.teamRoomFor(st))
	if advisor == nil || tasks == 0 {
		return nil
	}
	renew := o.s.now >= st.advice.requestedAt.Add(advice.Wait(st.advice.unused))
	end, rack := o.endAfterStart(t), st.commonRack(l.pool.workers)
	room, ready := 0, 0
	var list []askableWorker
	for _, w := range st.notRefused(l.pool) {
		v, known := st.verdictOn(w)
		if known && !v.allowed || !o.couldUse(t, w, end) {
			continue
		}
		fits := o.tasksThatFit(t, w)
		room += fits
		switch {
		case known && v.isUsable(o.s.now):
			ready += fits
		case known && !renew:
			// The last tickets were not used.
		default:
			list = append(list, askableWorker{worker: w, Worker: advice.Worker{Allowed: known, Tasks: fits}})
		}
	}
	if st.spec.Gang {
		if room < len(st.tasks) || tasks < len(st.tasks) {
			return nil
		}
		tasks = max(1, tasks-ready)
	}
	for i := range list {
		a := &list[i]
		a.score = o.workerScore(t, a.worker, end, rack)
		if !a.Allowed {
			a.score += unknownPenalty
		}
	}
	slices.SortStableFunc(list, func(a, b askableWorker) int { return cmp.Compare(a.score, b.score) })
	ranked := make([]advice.Worker, len(list))
	for i, a := range list {
		ranked[i] = a.Worker
	}
	list = list[:advice.Count(tasks, ranked, o.allowedShare(st), advice.Timing(*advisor))]
	workers := make([]*worker, len(list))
	for i, a := range list {
		workers[i] = a.worker
	}
	return workers
}

// allowedShare estimates which part of the workers the advisor allows to the step.
func (o *owner) allowedShare(st *step) float64 {
	allowed, refused := 0, 0
	for _, v := range st.advice.verdicts {
		if v.allowed {
			allowed++
		} else {
			refused++
		}
	}
	return o.shareOf(st.job.acceptance.Queue).Of(allowed, refused)
}

func (o *owner) shareOf(queue vocab.QueueID) *advice.Share {
	s := o.advisor.shares[queue]
	if s == nil {
		s = &advice.Share{}
		o.advisor.shares[queue] = s
	}
	return s
}

// handleAdviceReceived keeps the advisor's answer. A response to a request of an earlier owner in this process is
// ignored.
func (o *owner) handleAdviceReceived(e AdviceReceived) {
	r := o.advisor.pending
	if r == nil || r.number != e.Number {
		return
	}
	o.advisor.pending, o.planDue = nil, true
	st := r.step
	taken := o.s.now.Sub(r.sentAt)
	o.advisor.turns.Charge(st.job.acceptance.Team, taken)
	advisor := o.advisorOf(st.job)
	if !e.OK || advisor == nil {
		o.advisor.failures++
		o.advisor.pausedUntil = o.s.now.Add(advice.Pause(o.advisor.failures))
		st.advice.failedUntil = o.s.now.Add(advice.Wait(st.advice.requests))
		o.s.logEvent(LogAdvisorAnswered, "job", e.Step.Job, "occurrence", e.Step.Occurrence, "step", e.Step.Step,
			"outcome", "failed", "after_ms", taken.Milliseconds(), "error", errorText(e.Err))
		return
	}
	o.advisor.failures = 0
	granted := o.keepVerdicts(r, e, advisor)
	outcome := "refused"
	if granted > 0 {
		outcome = "granted"
		st.advice.unused++
	}
	o.shareOf(st.job.acceptance.Queue).Observe(len(r.workers), granted)
	o.s.logEvent(LogAdvisorAnswered, "job", e.Step.Job, "occurrence", e.Step.Occurrence, "step", e.Step.Step,
		"outcome", outcome, "granted", granted, "refused", len(r.workers)-granted, "after_ms", taken.Milliseconds())
	o.boundVerdicts(st)
}

// noteTicketUsed notes that a task of the step has started.
func (st *step) noteTicketUsed() { st.advice.requests, st.advice.unused = 0, 0 }
