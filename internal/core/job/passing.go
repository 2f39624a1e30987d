package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A node whose own way to the store is lost or slow passes its callers' calls on to
// another node. This answers a store that turns some nodes away, cuts between nodes
// and the store, and a slow store: its one partition takes few appends a second, and
// what comes to the owner shares one.

// Request is a caller's call as one node passes it on to another.
type Request struct {
	Kind            RequestKind
	ID              ID
	Host, Path, Key string
	// Spec is set with RequestSubmit.
	Spec Spec
	// ConfigAtLeast is the oldest version of the configuration that may answer: the
	// passing node has shown its callers this one.
	ConfigAtLeast uint64
}

func (r Request) passed() Passed { return Passed{Once: true, ConfigAtLeast: r.ConfigAtLeast} }

// Passed is what an event of a call carries if another node passed it on.
type Passed struct {
	Once          bool
	ConfigAtLeast uint64
}

// RequestKind says what a caller asks for.
type RequestKind int

const (
	// RequestSubmit hands in a job.
	RequestSubmit RequestKind = iota
	// RequestQuery asks for a job's state.
	RequestQuery
	// RequestCancel ends a job.
	RequestCancel
	// RequestBacklog asks for a queue's backlog.
	RequestBacklog
)

// Event returns the request as the event of a call that is not passed on again.
func (r Request) Event(call CallID) event.Event {
	switch r.Kind {
	case RequestSubmit:
		return Submit{Call: call, ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Spec: r.Spec, Passed: r.passed()}
	case RequestCancel:
		return Cancel{Call: call, ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Passed: r.passed()}
	case RequestBacklog:
		return Backlog{Call: call, Host: r.Host, Path: r.Path, Key: r.Key, Passed: r.passed()}
	default:
		return Query{Call: call, ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Passed: r.passed()}
	}
}

// PassOn has another node answer a caller's call: PassedOn.
type PassOn struct {
	out
	Call    CallID
	Address string
	Request Request
	// Within bounds the wait for the answer.
	Within time.Duration
}

// PassedOn answers a PassOn. With OK the Reply is the other node's.
type PassedOn struct {
	in
	Call    CallID
	Outcome Outcome
	Reply   Reply
	Err     error
}

const (
	// mostPasses bounds the nodes that one call is passed on to.
	mostPasses = 3
	// passWithin bounds the wait for one node's answer, so that several are tried
	// within a caller's deadline of 3 s, passWithinSlow that for the owner's over a
	// slow store.
	passWithin     = 900 * time.Millisecond
	passWithinSlow = 2400 * time.Millisecond
	// passWhileSlow is how long calls are passed on after a slow append. It doubles
	// with each slow one that follows, up to mostPassWhileSlow: where hundreds of nodes
	// share one partition of 3 ms an append, trying it out is most of the load.
	passWhileSlow     = 1500 * time.Millisecond
	mostPassWhileSlow = 24 * time.Second
)

// passing is a call that is passed on.
type passing struct {
	request Request
	tried   []vocab.NodeID
	// unclear is set once an attempt may have been carried out.
	unclear bool
	// ownerOnly is set if no other node than the owner would do.
	ownerOnly bool
	// own is set while this node's own append for the call is under way.
	own bool
}

// streamLost reports whether this node cannot read the stream.
func (s *State) streamLost() bool { return s.stream.failedSince != 0 || !s.stream.known }

// passesOn passes a call on if this node cannot serve it well. It reports whether
// it did.
func (s *State) passesOn(call CallID, passed Passed, r Request) bool {
	if passed.Once {
		return s.refusedAsBehind(call, r.ID, passed.ConfigAtLeast)
	}
	slow := s.owner == nil && (s.now < s.slowUntil || s.stream.took > slowAppend)
	if !s.streamLost() && !slow && !s.behind() {
		return false
	}
	p := &passing{request: r}
	// The others have the same slow store: only the owner is better off.
	p.ownerOnly = slow && !s.streamLost() && !s.behind()
	return s.passNext(call, p) || s.behind() && s.refusedAsBehind(call, r.ID, s.shown)
}

// behind reports whether callers were shown a later configuration, by another node,
// than this node has. It must not answer by the earlier one then.
func (s *State) behind() bool { return s.configVersion() < s.shown }

// refusedAsBehind refuses a call that needs a later configuration than this node has.
func (s *State) refusedAsBehind(call CallID, id ID, atLeast uint64) bool {
	if s.configVersion() >= atLeast {
		return false
	}
	s.notServed(id, Reply{Call: call, Answer: Refused, RetryAfter: refusedRetry, Detail: "a later configuration is on its way"})
	return true
}

// passNext passes a call on to the next node, the owner first. It reports whether
// there was one left.
func (s *State) passNext(call CallID, p *passing) bool {
	node, address := s.passTo(call, p)
	if node == "" {
		return false
	}
	p.tried = append(p.tried, node)
	p.request.ConfigAtLeast = max(s.configVersion(), s.shown)
	s.passing[call] = p
	within := passWithin
	if p.ownerOnly {
		within = passWithinSlow
	}
	s.emit(PassOn{Call: call, Address: address, Request: p.request, Within: within})
	return true
}

func (s *State) passTo(call CallID, p *passing) (vocab.NodeID, string) {
	if len(p.tried) >= mostPasses {
		return "", ""
	}
	owner := s.ledger.owner.Node
	if address := s.ledger.members[owner].Address; address != "" && owner != s.self.Node && !slices.Contains(p.tried, owner) {
		return owner, address
	}
	if p.ownerOnly {
		return "", ""
	}
	nodes := s.others()
	for i := range nodes {
		// Calls are spread over the other nodes.
		node := nodes[(int(call)+i)%len(nodes)]
		if address := s.ledger.members[node].Address; address != "" && !slices.Contains(p.tried, node) {
			return node, address
		}
	}
	return "", ""
}

// others lists the other nodes, in the order of their names.
func (s *State) others() []vocab.NodeID {
	nodes := make([]vocab.NodeID, 0, len(s.ledger.members))
	for node := range s.ledger.members {
		if node != s.self.Node {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (s *State) passedOn(e PassedOn) {
	p := s.passing[e.Call]
	if p == nil {
		// The node's own append was sooner.
		return
	}
	answered := e.Outcome == OK && e.Reply.Answer != Refused && e.Reply.Answer != Unclear
	if answered {
		delete(s.passing, e.Call)
		e.Reply.Call = e.Call
		s.shown = max(s.shown, e.Reply.ConfigVersion)
		s.note(NotePassedOn, "job", p.request.ID, "answer", e.Reply.Answer.String(), "to", p.tried[len(p.tried)-1])
		s.reply(e.Reply)
		return
	}
	p.unclear = p.unclear || e.Outcome == Unknown || e.Outcome == OK && e.Reply.Answer == Unclear
	if s.passNext(e.Call, p) {
		return
	}
	delete(s.passing, e.Call)
	if !p.own {
		s.notPassed(e.Call, p, e)
	}
}

// notPassed answers a call that no other node served. What may have been carried
// out is not said to be refused.
func (s *State) notPassed(call CallID, p *passing, e PassedOn) {
	switch {
	case p.unclear && p.request.Kind != RequestQuery && p.request.Kind != RequestBacklog:
		s.notServed(p.request.ID, Reply{Call: call, Answer: Unclear, Detail: "no answer from another node: " + errText(e.Err)})
	case s.streamLost() || s.behind():
		s.notServed(p.request.ID, Reply{Call: call, Answer: Refused, RetryAfter: refusedRetry, Detail: "the job stream is not available"})
	default:
		s.handle(p.request.Event(call))
	}
}

// passOverdue passes the calls of an append on that has no answer in time, beside
// it: the jobs are known by their IDs, so that it does no harm if both are done.
func (s *State) passOverdue() {
	for _, batch := range s.appends {
		if batch.passed || s.now.Sub(batch.sentAt) < overdueAppend {
			continue
		}
		batch.passed = true
		s.ownAppendSlow()
		if s.owner != nil {
			continue
		}
		for _, c := range batch.calls {
			if c.call == 0 || c.request == nil || s.passing[c.call] != nil {
				continue
			}
			s.passNext(c.call, &passing{request: *c.request, own: true, ownerOnly: true})
		}
	}
}

// ownAppendSlow notes that the node's own append is slow or overdue, ownAppendFast that
// one was not.
func (s *State) ownAppendSlow() {
	if s.now < s.slowUntil {
		return
	}
	s.slowFor = min(max(2*s.slowFor, passWhileSlow), mostPassWhileSlow)
	s.slowUntil = s.now.Add(s.slowFor)
}

func (s *State) ownAppendFast() { s.slowFor = 0 }

// ownAppendFailed says that the node's own append for a call was not carried out,
// or may have been. It reports whether the call still waits for another node.
func (s *State) ownAppendFailed(call CallID, unclear bool) bool {
	p := s.passing[call]
	if p == nil {
		return false
	}
	p.own = false
	p.unclear = p.unclear || unclear
	return true
}
