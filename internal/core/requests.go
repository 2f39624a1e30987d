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

// request is one request from its arrival to its end.
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
	expires    vocab.Instant
	attempts   int
	// notBefore is the earliest start of the next attempt.
	notBefore vocab.Instant
	// ranBefore is set once an earlier attempt may have run.
	ranBefore bool
	running   *attempt
}

// attempt is one sending of a request.
type attempt struct {
	id          vocab.AttemptID
	vm          vocab.VMID
	incarnation vocab.VMIncarnation
	started     vocab.Instant
	tokens      []limit.Token
}

// retryAfterOutage is what callers are told when nothing can be served.
const retryAfterOutage = 5 * time.Second

func (s *State) onRequestArrived(e RequestArrived) {
	service, team, problem := s.admit(e)
	if problem != nil {
		s.emit(Answer{Request: e.Request, Problem: *problem})
		return
	}
	rule := service.Rule(e.Method, e.Path)
	r := &request{
		id:         e.Request,
		queue:      s.queues[e.Queue],
		service:    service,
		team:       team,
		key:        e.Key,
		urgent:     rule.Urgent,
		idempotent: rule.Idempotent,
		replayable: e.Replayable,
		expires:    s.now.Add(patience(service, e.Patience)),
	}
	if problem := s.enqueue(r); problem != nil {
		s.emit(Answer{Request: e.Request, Problem: *problem})
		return
	}
	r.queue.budget.Earn()
	s.requests[r.id] = r
	s.dispatchNew(r.queue)
}

// admit checks whether the request may be taken at all.
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
	if service.Hold.BodyBytes > 0 && e.BodyBytes > service.Hold.BodyBytes {
		p := notRun(CodeBodyTooLarge, 0, "the body is larger than the queue accepts")
		return nil, "", &p
	}
	return service, team, nil
}

// authorize returns the team that the request counts for.
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

// patience returns how long a request may wait for its first attempt.
func patience(service *spec.Service, asked time.Duration) time.Duration {
	limit := service.Limits.Queue.D()
	if asked > 0 && asked < limit {
		return asked
	}
	return limit
}

func (s *State) enqueue(r *request) *Problem {
	verdict := r.queue.waiting.Push(s.now, admission.Item{
		Request:   r.id,
		Team:      r.team,
		Key:       r.key,
		Urgent:    r.urgent,
		Expires:   r.expires,
		NotBefore: r.notBefore,
		Again:     r.attempts > 0,
	})
	if verdict.HasEvicted {
		s.refuseEvicted(r.queue, verdict.Evicted)
	}
	switch verdict.Refusal {
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
	if r.running == nil {
		r.queue.waiting.Remove(r.id)
		delete(s.requests, r.id)
	}
}

func (s *State) onAttemptEnded(e AttemptEnded) {
	r, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(s.attempts, e.Attempt)
	a := r.running
	r.running = nil
	s.settleTokens(r, a, e.Result)
	r.queue.waiting.Ended(s.now, r.team, a.started)
	s.learn(r, a, e)
	s.conclude(r, e)
	s.dispatch(r.queue)
}

// settleTokens gives tokens back once the upstream has certainly ended; else
// they stay taken for as long as the upstream may run the request.
func (s *State) settleTokens(r *request, a *attempt, result retry.Result) {
	var until vocab.Instant
	if result == retry.Unknown {
		until = a.started.Add(sendWithin + r.service.Limits.Run.D())
	}
	s.leaveVM(a.vm, until)
	for _, token := range a.tokens {
		if until > s.now {
			s.limits.ReleaseAt(token, until)
			continue
		}
		s.limits.Release(s.now, token)
	}
}

// conclude retries the request, or gives it its final answer.
func (s *State) conclude(r *request, e AttemptEnded) {
	if e.Result == retry.Completed {
		delete(s.requests, r.id)
		return
	}
	decision := retry.Decide(retry.Facts{
		Now:        s.now,
		Result:     e.Result,
		Draining:   e.Draining,
		Idempotent: r.idempotent,
		Replayable: r.replayable || e.Result == retry.NotSent,
		Answering:  e.Answering,
		Attempts:   r.attempts,
		RanBefore:  r.ranBefore,
		Shedding:   r.queue.waiting.Shedding(s.now),
		Deadline:   r.expires,
		Seed:       s.seed(r.id),
	})
	r.notBefore = decision.RetryAt
	r.ranBefore = r.ranBefore || e.Result == retry.Unknown
	if decision.Retry && s.requeue(r) {
		return
	}
	delete(s.requests, r.id)
	s.emit(Answer{Request: r.id, Problem: Problem{
		Code:       CodeUpstreamFailed,
		Outcome:    decision.Outcome,
		RetryAfter: s.retryAfter(r),
		Detail:     "the upstream gave no whole answer",
	}})
}

// requeue puts a request back for another attempt, if its time, its key and
// the retry budget allow.
func (s *State) requeue(r *request) bool {
	if r.abandoned || r.expires <= s.now || !s.keyHolds(r.key) {
		return false
	}
	if !r.queue.budget.Spend() {
		return false
	}
	return s.enqueue(r) == nil
}

// refuseWaiting answers a request that was taken out of its queue.
func (s *State) refuseWaiting(id vocab.RequestID, p Problem) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	delete(s.requests, id)
	if r.ranBefore {
		p.Outcome = vocab.OutcomeUnknown
	}
	s.emit(Answer{Request: id, Problem: p})
}
