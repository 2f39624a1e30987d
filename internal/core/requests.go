package core

import (
	"crypto/subtle"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// request is a request from its arrival until it is completed, refused or
// abandoned.
type request struct {
	id         vocab.RequestID
	queue      *queue
	service    *spec.Service
	team       vocab.TeamID
	key        vocab.KeyID
	urgent     bool
	idempotent bool
	replayable bool
	abandoned  bool
	// startDeadline is the latest instant at which an attempt may start.
	startDeadline vocab.Instant
	// attemptCount is the number of attempts started so far.
	attemptCount int
	// notBefore is the earliest instant at which the next attempt may start.
	notBefore vocab.Instant
	// mayHaveRun is set if an earlier attempt may have run.
	mayHaveRun bool
	// activeAttempt is the current attempt; nil while the request waits.
	activeAttempt *attempt
}

// attempt is one attempt to run a request on a VM.
type attempt struct {
	id          vocab.AttemptID
	vm          vocab.VMID
	incarnation vocab.VMIncarnation
	startedAt   vocab.Instant
	tokens      []limit.Token
}

// retryAfterOutage is the retry delay given to callers while the node cannot
// serve any request.
const retryAfterOutage = 5 * time.Second

func (s *State) onRequestArrived(e RequestArrived) {
	service, team, problem := s.admit(e)
	if problem != nil {
		s.emit(RespondProblem{Request: e.Request, Problem: *problem})
		return
	}
	rule := service.Rule(e.Method, e.Path)
	r := &request{
		id:            e.Request,
		queue:         s.queues[e.Queue],
		service:       service,
		team:          team,
		key:           e.Key,
		urgent:        rule.Urgent,
		idempotent:    rule.Idempotent,
		replayable:    e.Replayable,
		startDeadline: s.now.Add(queueTimeout(service, e.Timeout)),
	}
	if problem := s.enqueue(r); problem != nil {
		s.emit(RespondProblem{Request: e.Request, Problem: *problem})
		return
	}
	r.queue.retryBudget.Earn()
	s.requests[r.id] = r
	s.dispatchAfterArrival(r.queue)
}

// admit checks whether the node may accept the request and returns its service
// and the team that it counts for.
func (s *State) admit(e RequestArrived) (*spec.Service, vocab.TeamID, *Problem) {
	if s.stopping {
		p := stoppingProblem()
		return nil, "", &p
	}
	if s.Shared().Fleet == nil {
		p := notRun(CodeNoConfig, retryAfterOutage, "this entry node has no configuration yet")
		return nil, "", &p
	}
	q, ok := s.queues[e.Queue]
	if !ok {
		p := notRun(CodeNoQueue, 0, "no service is named "+string(e.Queue))
		return nil, "", &p
	}
	service := q.service
	team, problem := s.authorize(service, e)
	if problem != nil {
		return nil, "", problem
	}
	if service.QueueLimits.MaxBodyBytes > 0 && e.BodyBytes > service.QueueLimits.MaxBodyBytes {
		p := notRun(CodeBodyTooLarge, 0, "the body is larger than the queue accepts")
		return nil, "", &p
	}
	return service, team, nil
}

// authorize checks the request's key and returns the team that the request
// counts for. The team is empty for a request without a key to an open service.
func (s *State) authorize(service *spec.Service, e RequestArrived) (vocab.TeamID, *Problem) {
	if e.Key == "" {
		if service.Open {
			return "", nil
		}
		p := notRun(CodeKeyMissing, 0, "send the header \"Authorization: Bearer KEY\"")
		return "", &p
	}
	key, ok := s.activeKey(e.Key)
	if !ok || subtle.ConstantTimeCompare(key.SecretHash, e.SecretHash) != 1 {
		p := notRun(CodeKeyRefused, 0, "the key is unknown or was withdrawn")
		return "", &p
	}
	if service.Admits(key.Team) {
		return key.Team, nil
	}
	p := notRun(CodeTeamRefused, 0, "team "+string(key.Team)+" may not send work to "+string(service.Queue))
	return "", &p
}

// queueTimeout returns how long a request may wait in the queue: the service's
// queue limit, or the caller's timeout if that is shorter.
func queueTimeout(service *spec.Service, requested time.Duration) time.Duration {
	limit := service.TimeLimits.Queue.D()
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

func (s *State) enqueue(r *request) *Problem {
	result := r.queue.waiting.Push(s.now, admission.Item{
		Request:      r.id,
		Team:         r.team,
		Key:          r.key,
		Urgent:       r.urgent,
		Expires:      r.startDeadline,
		NotBefore:    r.notBefore,
		Redispatched: r.attemptCount > 0,
	})
	if result.HasEvicted {
		s.refuseEvicted(r.queue, result.Evicted)
	}
	switch result.Refusal {
	case admission.QueueFull:
		p := notRun(CodeQueueFull, s.retryAfter(r), "the queue is full")
		return &p
	case admission.TeamFull:
		p := notRun(CodeTeamQueueFull, s.retryAfter(r), "the team's part of the queue is full")
		return &p
	case admission.TooLate:
		p := notRun(CodeNoCapacity, s.retryAfter(r), "the request could not start before its deadline")
		return &p
	default:
		return nil
	}
}

func (s *State) onRequestAbandoned(e RequestAbandoned) {
	r, ok := s.requests[e.Request]
	if !ok {
		return
	}
	r.abandoned = true
	if r.activeAttempt == nil {
		r.queue.waiting.Remove(r.id)
		delete(s.requests, r.id)
	}
}

func (s *State) onAttemptEnded(e AttemptEnded) {
	r, ok := s.requestsByAttempt[e.Attempt]
	if !ok {
		return
	}
	delete(s.requestsByAttempt, e.Attempt)
	a := r.activeAttempt
	r.activeAttempt = nil
	s.releaseTokens(r, a, e.Result)
	r.queue.waiting.Finished(s.now, r.team, a.startedAt)
	s.observeAttemptEnd(r, a, e)
	s.retryOrRespond(r, e)
	s.dispatch(r.queue)
}

// releaseTokens releases the tokens of an attempt if it has certainly ended. If
// its outcome is unknown, the tokens stay taken for as long as the upstream may
// run the request.
func (s *State) releaseTokens(r *request, a *attempt, result retry.Result) {
	var until vocab.Instant
	if result == retry.Unknown {
		until = a.startedAt.Add(maxSendDelay + r.service.TimeLimits.Run.D())
	}
	s.stopCounting(a.vm, until)
	for _, token := range a.tokens {
		if until > s.now {
			s.limits.ReleaseAt(token, until)
			continue
		}
		s.limits.Release(s.now, token)
	}
}

// retryOrRespond decides what follows an attempt: nothing if it completed, a
// retry, or a problem as the response.
func (s *State) retryOrRespond(r *request, e AttemptEnded) {
	if e.Result == retry.Completed {
		delete(s.requests, r.id)
		return
	}
	decision := retry.Decide(retry.FailedAttempt{
		Now:              s.now,
		Result:           e.Result,
		Draining:         e.Draining,
		Idempotent:       r.idempotent,
		Replayable:       r.replayable || e.Result == retry.NotSent,
		ResponseStarted:  e.ResponseStarted,
		Attempts:         r.attemptCount,
		MayHaveRunBefore: r.mayHaveRun,
		Shedding:         r.queue.waiting.Shedding(s.now),
		Deadline:         r.startDeadline,
		Seed:             s.seed(r.id),
	})
	r.notBefore = decision.RetryAt
	r.mayHaveRun = r.mayHaveRun || e.Result == retry.Unknown
	if decision.Retry && s.requeue(r) {
		return
	}
	delete(s.requests, r.id)
	s.emit(RespondProblem{Request: r.id, Problem: Problem{
		Code:       CodeUpstreamFailed,
		Outcome:    decision.Outcome,
		RetryAfter: s.retryAfter(r),
		Detail:     "the upstream gave no whole answer",
	}})
}

// requeue returns a request to its queue for another attempt. It reports false
// if the caller is gone, the deadline has passed, the key is no longer valid,
// the retry budget is used up or the queue refuses the request.
func (s *State) requeue(r *request) bool {
	if r.abandoned || r.startDeadline <= s.now || !s.keyValid(r.key) {
		return false
	}
	if !r.queue.retryBudget.Spend() {
		return false
	}
	return s.enqueue(r) == nil
}

// refuseWaiting responds with a problem to a request that was removed from its
// queue. The outcome is unknown if an earlier attempt may have run.
func (s *State) refuseWaiting(id vocab.RequestID, p Problem) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	delete(s.requests, id)
	if r.mayHaveRun {
		p.Outcome = vocab.OutcomeUnknown
	}
	s.emit(RespondProblem{Request: id, Problem: p})
}
