package job

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// An owner that is about to stop, or that is in no state to go on, hands the ownership over
// in one append. It asks other nodes to prepare for it, goes on meanwhile, and names one that
// is ready in its last record. This record makes the named process the owner: it needs neither
// a claim nor an append that fences the stream, because no append of the earlier owner follows
// this one, and it has the list of workers already. Over a slow store every append saved is a
// third of a second without starts.
//
// If no node is ready the last record names a successor, which claims first.

const (
	// maxPreparing bounds the nodes that are asked to prepare.
	maxPreparing = 3
	// prepareTimeout is the time for which an owner waits for a node that is ready. Its own
	// appends over a slow store take longer.
	prepareTimeout = 150 * time.Millisecond
	// preparedFor is the time for which a node stays prepared: the last appends of the owner
	// and the read of its record over a slow store. Its callers wait meanwhile.
	preparedFor = 1500 * time.Millisecond
	// appointedTimeout is the time without a record of an appointed owner after which other
	// nodes claim: it renews its ownership at once, so that only the reads take time.
	appointedTimeout = ownerTimeout - 2*ownerRenewInterval
	// awaitWorkersFor is the time after a takeover for which the first append waits for the
	// workers' responses, so that it holds the first intents as well.
	awaitWorkersFor = 100 * time.Millisecond
)

// Events and effects of a handover.
type (
	// PrepareHandover asks a node to prepare for the ownership and to try to reach some workers.
	// The response is HandoverPrepared.
	PrepareHandover struct {
		effectMarker
		Node    vocab.NodeID
		Address string
		Fence   Fence
		Probes  []Probe
	}

	// Probe names a worker to reach.
	Probe struct {
		Worker      WorkerID
		Address     string
		Incarnation Millis
	}

	// HandoverRequested is a request of the owner with the fence to prepare for the ownership.
	// The reply is Accepted if the node is ready.
	HandoverRequested struct {
		eventMarker
		Call  CallID
		Fence Fence
	}

	// HandoverPrepared is the response to a PrepareHandover.
	HandoverPrepared struct {
		eventMarker
		Node  vocab.NodeID
		Ready bool
		// Reached is the number of the probed workers that have responded to the node.
		Reached int
		// Unreachable is set if the node has not responded.
		Unreachable bool
	}
)

// handover is the state of an owner that hands the ownership over.
type handover struct {
	startedAt vocab.Instant
	// candidates are the nodes that were asked, the preferred one first.
	candidates []vocab.NodeID
	// prepared holds the responses.
	prepared map[vocab.NodeID]HandoverPrepared
	// probes are workers that do not respond to the owner. If reachOnly is set, the owner keeps the
	// ownership unless another node reaches most of them.
	probes    []Probe
	reachOnly bool
}

// resign hands the ownership over once a node is ready for it. Without one that could be
// asked, the last record follows at once.
func (o *owner) resign() {
	o.withdrawOrders()
	if h := o.handover; h != nil {
		h.reachOnly = false
	}
	if o.resigned || o.handover != nil {
		return
	}
	o.s.logEvent(LogOwnershipResigned, "fence", o.fence)
	o.beginHandover(false)
}

// beginHandover asks other nodes to prepare. With reachOnly the ownership is handed over only to a
// node that reaches workers which this one does not.
func (o *owner) beginHandover(reachOnly bool) {
	h := &handover{
		startedAt: o.s.now, prepared: map[vocab.NodeID]HandoverPrepared{}, probes: o.unreachableSample(), reachOnly: reachOnly,
	}
	o.handover = h
	for _, p := range h.probes {
		o.workers[p.Worker].pollBy(o.s.now)
	}
	h.candidates = o.preparableSuccessors()
	if reachOnly {
		h.candidates = spreadSample(h.candidates, maxReachCandidates)
	} else {
		h.candidates = h.candidates[:min(maxPreparing, len(h.candidates))]
	}
	for _, node := range h.candidates {
		o.s.emit(PrepareHandover{Node: node, Address: o.s.ledger.members[node].Address, Fence: o.fence, Probes: h.probes})
	}
	switch {
	case len(h.candidates) > 0:
	case reachOnly:
		o.handover = nil
	default:
		o.resigned = true
	}
}

// successors lists the nodes that may take over: those with a CPU share that is not much lower
// than the highest, the last one started first. When nodes are restarted in turn, that one
// stays for the longest time.
func (o *owner) successors() []vocab.NodeID {
	members := o.s.ledger.members
	var nodes []vocab.NodeID
	for _, node := range o.s.otherNodes() {
		if members[node].CPUShare >= lowShareRatio*o.s.ledger.maxCPUShare {
			nodes = append(nodes, node)
		}
	}
	slices.SortStableFunc(nodes, func(a, b vocab.NodeID) int { return cmp.Compare(members[b].since, members[a].since) })
	return nodes
}

// preparableSuccessors lists the successors that can be asked to prepare.
func (o *owner) preparableSuccessors() []vocab.NodeID {
	return slices.DeleteFunc(o.successors(), func(node vocab.NodeID) bool {
		m := o.s.ledger.members[node]
		return m.Incarnation == 0 || m.Address == ""
	})
}

func (o *owner) handleHandoverPrepared(e HandoverPrepared) {
	if o.handover != nil {
		o.handover.prepared[e.Node] = e
	}
}

// appointee returns the node that reaches the most workers of those that are ready, the preferred
// one among equals, or "". Without enough reach there is none where the reach is the reason.
func (h *handover) appointee() vocab.NodeID {
	var best vocab.NodeID
	reached := -1
	if h.reachOnly {
		reached = int(minReachFraction * float64(len(h.probes)))
	}
	for _, node := range h.candidates {
		if p := h.prepared[node]; p.Ready && p.Reached > reached {
			best, reached = node, p.Reached
		}
	}
	return best
}

// complete reports whether no further response can change the appointee, or none is waited for.
func (h *handover) complete(now vocab.Instant) bool {
	all := len(h.prepared) == len(h.candidates)
	if len(h.probes) == 0 {
		return all || h.appointee() != "" || now.Sub(h.startedAt) > prepareTimeout
	}
	return all || now.Sub(h.startedAt) > probeTimeout
}

// resignIfPrepared resigns once the responses are complete. A handover for reach ends without that
// if no node reaches more.
func (o *owner) resignIfPrepared() {
	h := o.handover
	if h == nil || !h.complete(o.s.now) {
		return
	}
	if h.reachOnly && (h.appointee() == "" && !h.cutOff() || !o.stillUnreachable(h.probes)) {
		o.handover = nil
		return
	}
	o.withdrawOrders()
	o.resigned = true
}

// lastRecord returns the owner's last record. It appoints the node that is ready, or names
// the one that claims first.
func (o *owner) lastRecord() Record {
	record := o.ownerRecord()
	record.Resigned, record.Overloaded = true, o.overloaded || o.handover.reachOnly
	if o.handover.reachOnly {
		o.s.logEvent(LogOwnershipResigned, "fence", o.fence, "why", "workers do not respond to this node that another one reaches, or no node does")
	}
	if record.Successor = o.handover.appointee(); record.Successor != "" {
		record.Appointed = o.s.ledger.members[record.Successor].Incarnation
		o.s.logEvent(LogOwnershipTransferred, "fence", o.fence, "to", record.Successor,
			"after_ms", o.s.now.Sub(o.handover.startedAt).Milliseconds(),
			"probed", len(o.handover.probes), "reached", o.handover.prepared[record.Successor].Reached)
	} else {
		record.Successor = o.firstClaimant()
	}
	return encodeOwner(record)
}

// firstClaimant returns the node that should claim first if none is appointed, or "". A node that has
// responded to an owner which is cut off is likely to be cut off with it.
func (o *owner) firstClaimant() vocab.NodeID {
	nodes := o.successors()
	if o.handover.reachOnly {
		for _, node := range nodes {
			if p, asked := o.handover.prepared[node]; asked && p.Unreachable {
				return node
			}
		}
	}
	if len(nodes) == 0 {
		return ""
	}
	return nodes[0]
}

// completeHandover ends the ownership after the last append. Runs that this append intends are
// started by the next owner.
func (o *owner) completeHandover(sent *ownerAppend, e Appended) {
	last := sent.records[len(sent.records)-1]
	last.Offset = e.Offset + int64(len(sent.records)) - 1
	if err := o.s.ledger.foldOwner(o.s.now, last); err != nil {
		o.s.logEvent(LogRecordUnreadable, "key", last.Key, "offset", last.Offset, "error", err.Error())
	}
	if o.handover.reachOnly {
		o.s.claim.handedOverAt = o.s.now
	}
	slow := o.appendLatency > slowAppendLatency
	o.s.loseOwnership("resigned")
	if o.s.ledger.owner.Node == o.s.self.Node {
		return // No node was ready; the one named in the record claims.
	}
	o.s.claim.transferredAt = o.s.now
	if slow {
		o.s.appendSlow()
		o.s.forwardBatch()
	}
}

// handoverOverSlowStore reports whether the store is slow while this node is about to become the
// owner, or to lose the ownership. The partition takes one append at a time, so that an append for
// callers would delay the handover.
func (s *State) handoverOverSlowStore() bool {
	if s.owner != nil {
		return s.owner.resigned && s.owner.pendingAppend != nil && s.owner.pendingAppend.last && s.owner.storeSlow()
	}
	return s.preparation != nil && s.stream.readLatency > slowAppendLatency
}

// forwardBatch forwards the calls that wait for the next append to the new owner, which writes
// their records along with its own.
func (s *State) forwardBatch() {
	waiting := s.nextBatch
	s.nextBatch = recordBatch{}
	records := make(map[string]Record, len(waiting.records))
	for _, r := range waiting.records {
		records[r.Key] = r
	}
	for _, c := range waiting.calls {
		if c.request != nil && s.forwardNext(c.call, &forwardedCall{request: *c.request, ownerOnly: true}) {
			continue
		}
		for _, prefix := range []string{acceptedPrefix, cancelledPrefix} {
			if r, found := records[prefix+string(c.id)]; found {
				s.addToBatch(r, c)
			}
		}
	}
}

// wroteLast reports whether a record that was read is the last one of this owner, whose append
// has no response yet.
func (o *owner) wroteLast(r Record) bool {
	p := o.pendingAppend
	return p != nil && p.last && r.Key == ownerKey && bytes.Equal(r.Value, p.records[len(p.records)-1].Value)
}

// takeOver makes an appointed node the owner. The record that appoints it was appended after
// the last read that had reached the end of the stream, so that its authority counts from
// there until its own first append.
func (o *owner) takeOver() {
	o.ordersUntil = o.s.stream.caughtUpAt.Add(orderAuthority)
	o.leasesUntil = o.s.stream.caughtUpAt.Add(leaseAuthority)
	o.stage = stageReading
	o.activateIfRead()
}

// followWorkers starts to follow the workers, or takes over the list of a preparation.
func (o *owner) followWorkers() {
	p := o.s.preparation
	o.s.preparation = nil
	if p == nil || !p.listed {
		o.s.emit(FollowWorkers{On: true})
		return
	}
	o.awaitWorkersUntil = o.s.now.Add(awaitWorkersFor)
	o.handleWorkersListed(WorkersListed{Full: true, Workers: p.list()})
}

// awaitsWorkers reports whether the first append still waits for workers to respond.
func (o *owner) awaitsWorkers() bool {
	if o.s.now >= o.awaitWorkersUntil {
		return false
	}
	for _, w := range o.workers {
		if w.listed && !w.fenced && w.failedPolls == 0 {
			return true
		}
	}
	o.awaitWorkersUntil = 0
	return false
}

// resumeStart starts a run that an earlier owner intended and that its worker does not list, and
// reports whether it could. The worker refuses the earlier owner's start by now, and starts a run
// once at most. The tickets of an earlier owner are not known.
func (o *owner) resumeStart(t *task) bool {
	w := t.worker
	if t.state != runStartUnknown || t.startSentAt != 0 || t.step.spec.Gang || t.incarnation != w.info.Incarnation ||
		t.step.job.terminalPhase != 0 || !o.mayStart() || w.info.Draining || !w.usable(o.s.now) || w.overcommitted() ||
		o.advisorOf(t.step.job) != nil && o.lacks(t.step, w) != noObstacle {
		return false
	}
	t.state, t.startSentAt = runStarting, o.s.now
	o.emitStart(t)
	return true
}
