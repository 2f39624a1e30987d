package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A node that can't reach the store, or only slowly, forwards its callers' calls to
// another node. This covers a store that rejects some nodes, network failures between
// nodes and the store, and a slow store: its single partition takes few appends a
// second, and calls forwarded to the owner share one append.

// Request is a caller's call as one node forwards it to another.
type Request struct {
	Kind            RequestKind
	ID              ID
	Host, Path, Key string
	// Spec is set for RequestSubmit.
	Spec Spec
	// ConfigAtLeast is the lowest configuration version with which the other node may
	// reply: callers of the forwarding node have had replies based on this version.
	ConfigAtLeast uint64
	// FromRemote is set if the forwarding node is remote: the other node may forward the
	// call like one of its own callers.
	FromRemote bool
}

func (r Request) origin() Origin {
	return Origin{Forwarded: true, ConfigAtLeast: r.ConfigAtLeast, FromRemote: r.FromRemote}
}

// Origin describes how a call reached this node: from its caller, or forwarded by another
// node.
type Origin struct {
	Forwarded bool
	// ConfigAtLeast is the lowest configuration version with which this node may reply to a
	// forwarded call.
	ConfigAtLeast uint64
	// FromRemote is set if a remote node forwarded the call.
	FromRemote bool
}

// mayForward reports whether this node may forward the call. Other nodes forward calls to an
// owner for some time after it has handed over; the new owner does not forward them again.
func (s *State) mayForward(o Origin) bool {
	handedOver := s.owner != nil && s.owner.handover != nil || s.claim.transferredAt != 0 && s.now.Sub(s.claim.transferredAt) < minForwardPeriod
	return !o.Forwarded || o.FromRemote || handedOver
}

// RequestKind is the kind of a Request.
type RequestKind int

const (
	// RequestSubmit submits a job.
	RequestSubmit RequestKind = iota
	// RequestQuery queries the state of a job.
	RequestQuery
	// RequestCancel cancels a job.
	RequestCancel
	// RequestBacklog queries the backlog of a queue.
	RequestBacklog
)

// Event returns the event of a forwarded call, which the receiving node doesn't forward
// again.
func (r Request) Event(call CallID) event.Event {
	switch r.Kind {
	case RequestSubmit:
		return Submit{Call: call, ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Spec: r.Spec, Origin: r.origin()}
	case RequestCancel:
		return Cancel{Call: call, ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Origin: r.origin()}
	case RequestBacklog:
		return Backlog{Call: call, Host: r.Host, Path: r.Path, Key: r.Key, Origin: r.origin()}
	default:
		return Query{Call: call, ID: r.ID, Host: r.Host, Path: r.Path, Key: r.Key, Origin: r.origin()}
	}
}

// Forward forwards a caller's call to another node. The response is a ForwardAnswered event.
type Forward struct {
	effectMarker
	Call    CallID
	Address string
	Request Request
	// Timeout bounds the wait for the reply.
	Timeout time.Duration
}

// ForwardAnswered is the response to a Forward. If the Outcome is OK, Reply is the reply of the
// other node.
type ForwardAnswered struct {
	eventMarker
	Call    CallID
	Outcome Outcome
	Reply   Reply
	Err     error
}

const (
	// maxForwards bounds the number of nodes that one call is forwarded to.
	maxForwards = 3
	// forwardTimeout bounds the wait for the reply of one node, so that several nodes
	// can be tried within a caller's deadline of 3 s. slowForwardTimeout bounds the wait
	// for the owner's reply while the store is slow.
	forwardTimeout     = 900 * time.Millisecond
	slowForwardTimeout = 2400 * time.Millisecond
	// minForwardPeriod is the time for which calls are forwarded after a slow append. It
	// doubles with each further slow append, up to maxForwardPeriod: where hundreds of
	// nodes share one partition that takes 3 ms per append, their trial appends would
	// be most of its load.
	minForwardPeriod = 1500 * time.Millisecond
	maxForwardPeriod = 24 * time.Second
)

// forwardedCall is a call forwarded by this node that has no reply yet.
type forwardedCall struct {
	request Request
	tried   []vocab.NodeID
	// outcomeUnknown is set once an attempt may have been carried out.
	outcomeUnknown bool
	// ownerOnly is set if the call may be forwarded only to the owner.
	ownerOnly bool
	// retryAfter is the longest delay that another node named in a refusal.
	retryAfter time.Duration
	// sentAt is the time when the call was last forwarded.
	sentAt vocab.Instant
	// inFlight counts the attempts without a response: a call is forwarded again when the
	// owner changes.
	inFlight int
	// ownAppend is set while this node's own append for the call is in progress.
	ownAppend bool
}

// streamLost reports whether this node cannot read the stream.
func (s *State) streamLost() bool { return s.stream.failedSince != 0 || !s.stream.everLoaded }

// forwardIfNeeded forwards a call if this node cannot reach the store, reaches it only
// slowly, or has an old configuration. A call that must not be served by this node's
// configuration and can't be forwarded is refused. It reports whether the call was
// forwarded or refused.
func (s *State) forwardIfNeeded(call CallID, origin Origin, r Request) bool {
	if origin.Forwarded && s.refuseIfConfigBehind(call, r.ID, origin.ConfigAtLeast) {
		return true
	}
	if !s.mayForward(origin) {
		return false
	}
	throughOwner := s.isSlow() || s.appendsThroughOwner(r)
	if !s.streamLost() && !throughOwner && !s.configBehind() {
		return false
	}
	if s.config != nil && !s.configBehind() && s.reachesStore() {
		if _, _, ok := s.admit(call, r.ID, r.Host, r.Path, r.Key); !ok {
			return true
		}
	}
	fwd := &forwardedCall{request: r}
	// The store is as slow for the other nodes; only the owner batches the calls of
	// many nodes in one append.
	fwd.ownerOnly = throughOwner && !s.streamLost() && !s.configBehind()
	return s.forwardNext(call, fwd) || s.configBehind() && s.refuseIfConfigBehind(call, r.ID, s.shownConfigVersion)
}

// isSlow reports whether the store is slow for this node, which is not the owner.
func (s *State) isSlow() bool {
	return s.owner == nil && (s.now < s.forwardUntil || s.stream.readLatency > slowAppendLatency)
}

// appendsThroughOwner reports whether a call that needs an append is forwarded to the owner,
// which appends for all nodes: when the store turns slow, one append of each node would delay
// the owner's by seconds, before any of them has noticed.
func (s *State) appendsThroughOwner(r Request) bool {
	return s.owner == nil && r.appends() &&
		!s.ledger.owner.Resigned && s.now.Sub(s.claim.ownerTimeoutFrom) < ownerTimeout+ownerTimeoutReads*s.stream.readLatency
}

// reachesStore reports whether this node's last reads succeeded, so that its configuration is
// not older than the other nodes'.
func (s *State) reachesStore() bool {
	if s.directory.remote {
		return s.now.Sub(s.directory.readAt) < maxReadAge
	}
	return !s.streamLost()
}

// configBehind reports whether another node used a later configuration than this node has
// for the reply to a forwarded call. This node must not use its earlier one then.
func (s *State) configBehind() bool { return s.configVersion() < s.shownConfigVersion }

// refuseIfConfigBehind refuses a call that needs a later configuration than this node
// has, and reports whether it did.
func (s *State) refuseIfConfigBehind(call CallID, id ID, atLeast uint64) bool {
	if s.configVersion() >= atLeast {
		return false
	}
	s.replyNotServed(id, Reply{Call: call, Answer: Refused, RetryAfter: s.retryAfter(id), Detail: "a later configuration is on its way"})
	return true
}

// forwardNext forwards a call to the next node, starting with the owner. It reports
// whether there was a node left to try.
func (s *State) forwardNext(call CallID, fwd *forwardedCall) bool {
	node, address := s.nextForwardTarget(call, fwd)
	if node == "" {
		return false
	}
	fwd.tried = append(fwd.tried, node)
	fwd.request.ConfigAtLeast = max(s.configVersion(), s.shownConfigVersion)
	fwd.request.FromRemote = s.directory.remote
	fwd.inFlight++
	fwd.sentAt = s.now
	s.forwards[call] = fwd
	timeout := forwardTimeout
	if fwd.ownerOnly || fwd.request.appends() && s.now < s.directory.slowUntil {
		timeout = slowForwardTimeout
	}
	s.emit(Forward{Call: call, Address: address, Request: fwd.request, Timeout: timeout})
	return true
}

func (s *State) nextForwardTarget(call CallID, fwd *forwardedCall) (vocab.NodeID, string) {
	if len(fwd.tried) >= maxForwards {
		return "", ""
	}
	if s.directory.remote {
		return s.followerFor(fwd.request.routingKey(), fwd.tried)
	}
	owner := s.ledger.owner.Node
	if address := s.ledger.members[owner].Address; address != "" && owner != s.self.Node && !slices.Contains(fwd.tried, owner) {
		return owner, address
	}
	if fwd.ownerOnly {
		return "", ""
	}
	nodes := s.otherNodes()
	for i := range nodes {
		// The call ID spreads the calls over the other nodes.
		node := nodes[(int(call)+i)%len(nodes)]
		if address := s.ledger.members[node].Address; address != "" && !slices.Contains(fwd.tried, node) {
			return node, address
		}
	}
	return "", ""
}

// appends reports whether a call that succeeds has waited for an append.
func (r Request) appends() bool { return r.Kind == RequestSubmit || r.Kind == RequestCancel }

// routingKey is equal for all calls about a job, and for all calls about a queue.
func (r Request) routingKey() string {
	if r.ID != "" {
		return string(r.ID)
	}
	return r.Host + r.Path
}

// otherNodes lists the other nodes, sorted by name.
func (s *State) otherNodes() []vocab.NodeID {
	nodes := make([]vocab.NodeID, 0, len(s.ledger.members))
	for node := range s.ledger.members {
		if node != s.self.Node {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (s *State) handleForwardAnswered(e ForwardAnswered) {
	fwd := s.forwards[e.Call]
	if fwd == nil {
		// The node's own append completed first.
		return
	}
	s.noteForwarded(fwd.tried[len(fwd.tried)-1], e.Outcome == OK)
	fwd.inFlight--
	s.noteAppendLatency(fwd, e)
	if e.Outcome == OK && fwd.isFinalAnswer(e.Reply.Answer) {
		delete(s.forwards, e.Call)
		e.Reply.Call = e.Call
		s.shownConfigVersion = max(s.shownConfigVersion, e.Reply.ConfigVersion)
		s.logEvent(LogCallForwarded, "job", fwd.request.ID, "answer", e.Reply.Answer.String(), "to", fwd.tried[len(fwd.tried)-1])
		s.reply(e.Reply)
		return
	}
	fwd.outcomeUnknown = fwd.outcomeUnknown || e.Outcome == Unknown || e.Outcome == OK && e.Reply.Answer == Unclear
	fwd.retryAfter = max(fwd.retryAfter, e.Reply.RetryAfter)
	if s.forwardNext(e.Call, fwd) || fwd.inFlight > 0 {
		return
	}
	delete(s.forwards, e.Call)
	if !fwd.ownAppend {
		s.replyUnforwarded(e.Call, fwd, e)
	}
}

// isFinalAnswer reports whether the reply of one node may be passed on. A reply other than
// success says only that this attempt changed nothing: another one may have been carried
// out, under a configuration that still had the key or the queue.
func (f *forwardedCall) isFinalAnswer(a Answer) bool {
	if a == Refused || a == Unclear {
		return false
	}
	mayBeDone := f.outcomeUnknown || f.inFlight > 0 || f.ownAppend
	return a == Accepted || !mayBeDone || !f.request.appends()
}

// forwardToNewOwner forwards the calls that wait for an earlier owner to the new one. The
// earlier owner may be suspended or cut off, and would keep them until they time out.
func (s *State) forwardToNewOwner() {
	calls := make([]CallID, 0, len(s.forwards))
	for call, fwd := range s.forwards {
		if fwd.ownerOnly && fwd.inFlight > 0 {
			calls = append(calls, call)
		}
	}
	slices.Sort(calls)
	for _, call := range calls {
		s.forwardNext(call, s.forwards[call])
	}
}

// replyUnforwarded replies to a call that no other node served. A call that may have
// been carried out is not reported as refused.
func (s *State) replyUnforwarded(call CallID, fwd *forwardedCall, e ForwardAnswered) {
	switch {
	case fwd.outcomeUnknown && fwd.request.Kind != RequestQuery && fwd.request.Kind != RequestBacklog:
		s.replyNotServed(fwd.request.ID, Reply{Call: call, Answer: Unclear, Detail: "no answer from another node: " + errorText(e.Err)})
	case s.streamLost() || s.configBehind():
		s.replyNotServed(fwd.request.ID, Reply{Call: call, Answer: Refused, RetryAfter: max(fwd.retryAfter, s.retryAfter(fwd.request.ID)), Detail: "the job stream is not available"})
	default:
		s.handle(fwd.request.Event(call))
	}
}

// forwardOverdue forwards the calls of an append that is overdue, while the append
// continues. Calls are idempotent by job ID, so both may be carried out.
func (s *State) forwardOverdue() {
	for _, batch := range s.batches {
		if batch.forwarded || s.now.Sub(batch.sentAt) < appendOverdueAfter {
			continue
		}
		batch.forwarded = true
		s.appendSlow()
		if s.owner != nil {
			continue
		}
		for _, c := range batch.calls {
			if c.call == 0 || c.request == nil || s.forwards[c.call] != nil {
				continue
			}
			s.forwardNext(c.call, &forwardedCall{request: *c.request, ownAppend: true, ownerOnly: true})
		}
	}
}

// appendSlow starts the next forward period after a slow or overdue append of this
// node, unless one is running. appendFast resets the length of the period.
func (s *State) appendSlow() {
	if s.now < s.forwardUntil {
		return
	}
	s.forwardPeriod = min(max(2*s.forwardPeriod, minForwardPeriod), maxForwardPeriod)
	s.forwardUntil = s.now.Add(s.forwardPeriod)
}

func (s *State) appendFast() { s.forwardPeriod = 0 }

// callAppendFailed records for a forwarded call that this node's own append for it
// failed or has an unknown outcome. It reports whether the call still waits for the
// reply of another node.
func (s *State) callAppendFailed(call CallID, outcomeUnknown bool) bool {
	fwd := s.forwards[call]
	if fwd == nil {
		return false
	}
	fwd.ownAppend = false
	fwd.outcomeUnknown = fwd.outcomeUnknown || outcomeUnknown
	return true
}
