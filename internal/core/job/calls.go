package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// maxBacklogAge is the maximum age of the last read for a backlog query to be
	// answered without another read.
	maxBacklogAge = time.Second
	// maxBatchPause bounds the pause between two batches when the store is slow.
	maxBatchPause = 500 * time.Millisecond
	// maxWaitingCalls bounds the calls that wait for the next append or read.
	maxWaitingCalls = 2000
)

// callerState holds the batches of records for callers and the calls that wait for
// them or for a read.
type callerState struct {
	lastAppendID uint64
	// batches holds the batches being appended, by the ID of the append.
	batches map[uint64]*recordBatch
	// nextBatch collects records while a batch is being appended.
	nextBatch recordBatch
	// nextBatchFrom is the earliest time to send the next batch.
	nextBatchFrom vocab.Instant
	// uncertain holds the appends without an answer, which may still be carried out.
	uncertain []uncertainAppend
	queries   []waitingQuery
}

// recordBatch is a set of acceptances, cancellations and member records written in one
// append, with the calls that wait for it.
type recordBatch struct {
	records []Record
	calls   []waitingCall
	keys    map[string]bool // of the records; a key is added only once
	bytes   int
	sentAt  vocab.Instant
	// forwarded is set once the append is overdue and its calls were also forwarded.
	forwarded bool
}

// waitingCall is a call that waits for the append of a batch. The call ID is 0 for a
// member record, for which no caller waits.
type waitingCall struct {
	call  CallID
	id    ID
	event LogEventID
	// request is the call as it may be forwarded; nil if it was forwarded to this node.
	request *Request
}

// waitingQuery is a call that waits for a read sent after the call was received.
type waitingQuery struct {
	call       CallID
	id         ID
	from       caller
	receivedAt vocab.Instant
	// cancel is set if the job is to be cancelled once it is found.
	cancel bool
	// backlog, if set, is the queue whose backlog is queried.
	backlog vocab.QueueID
}

func (s *State) newAppendID() uint64 {
	s.lastAppendID++
	return s.lastAppendID
}

// admit returns the queue of a call and the team of its key. If there is no such queue
// or the key is unknown, it replies to the call and returns false.
func (s *State) admit(call CallID, id ID, host, path, key string) (*Queue, vocab.TeamID, bool) {
	if s.config == nil {
		s.replyNotServed(id, Reply{Call: call, Answer: Refused, RetryAfter: s.retryAfter(id), Detail: "no configuration yet"})
		return nil, "", false
	}
	q := s.config.Match(host, path)
	if q == nil {
		s.replyNotServed(id, Reply{Call: call, Answer: NoQueue, Detail: "no queue has this host and path"})
		return nil, "", false
	}
	team, known := s.config.TeamOf(key)
	if !known && !q.Open {
		s.replyNotServed(id, Reply{Call: call, Answer: NoKey, Detail: "unknown key"})
		return nil, "", false
	}
	return q, team, true
}

// reply replies to a call, by the node's own configuration unless the reply has another
// version.
func (s *State) reply(r Reply) {
	if r.ConfigVersion == 0 {
		r.ConfigVersion = s.configVersion()
	}
	s.emit(r)
}

// replyNotServed replies to a call with a result other than success and logs it. The
// ID is empty for a call about a queue.
func (s *State) replyNotServed(id ID, r Reply) {
	s.logEvent(LogCallNotServed, "job", id, "answer", r.Answer.String(), "why", r.Detail, "config", s.configVersion(),
		"offset", s.stream.nextOffset, "read_age_ms", s.now.Sub(s.stream.lastReadAt).Milliseconds())
	s.reply(r)
}

func (s *State) handleSubmit(e Submit) {
	request := Request{Kind: RequestSubmit, ID: e.ID, Host: e.Host, Path: e.Path, Key: e.Key, Spec: e.Spec}
	if s.forwardIfNeeded(e.Call, e.Origin, request) {
		return
	}
	q, team, ok := s.admit(e.Call, e.ID, e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	if !e.ID.valid() {
		s.replyNotServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: "an ID is 16 hexadecimal digits"})
		return
	}
	if reason := validateSpec(&e.Spec); reason != "" {
		s.replyNotServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: reason})
		return
	}
	if known := s.ledger.Jobs[e.ID]; known != nil && known.Acceptance != nil {
		s.reply(Reply{Call: e.Call, Answer: Accepted})
		return
	}
	if s.streamLost() || len(s.nextBatch.calls) > maxWaitingCalls || s.nextBatch.bytes > min(maxBatchBytes, s.appendLimit()/2) {
		s.refuse(e.Call, e.ID, "the job stream is not available")
		return
	}
	acceptance := &Acceptance{Queue: q.Name, Pool: q.Pool, Team: team, At: s.wall, Spec: e.Spec, Terms: s.config.terms(q, team)}
	if s.refuseForLoad(e.Call, e.ID, q, acceptance) {
		return
	}
	record, err := encodeAcceptance(e.ID, acceptance)
	if err != nil {
		s.replyNotServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: err.Error()})
		return
	}
	if reason := s.validateSubmission(&e.Spec, record); reason != "" {
		s.replyNotServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: reason})
		return
	}
	if !s.mayBeAppended(record.Key) && !s.hasRoomForTasks(acceptance) {
		s.refuse(e.Call, e.ID, "the jobs of the team have as many tasks as a node has memory for")
		return
	}
	s.liveTasks.add(acceptance)
	c := waitingCall{call: e.Call, id: e.ID, event: LogJobAccepted}
	if s.mayForward(e.Origin) {
		c.request = &request
	}
	s.addToBatch(record, c)
}

// refuse replies that a call was not carried out and may be retried.
func (s *State) refuse(call CallID, id ID, reason string) {
	s.logEvent(LogJobRefused, "job", id, "why", reason, "config", s.configVersion())
	s.reply(Reply{Call: call, Answer: Refused, RetryAfter: s.retryAfter(id), Detail: reason})
}

// refuseForLoad refuses a job that the owner knows to be too late, and reports whether it
// did. A job of which this node may have appended an earlier attempt is not refused.
func (s *State) refuseForLoad(call CallID, id ID, q *Queue, a *Acceptance) bool {
	if s.owner == nil || s.mayBeAppended(acceptedPrefix+string(id)) {
		return false
	}
	retryAfter, refused := s.owner.refuseForLoad(id, q, a)
	if refused {
		s.reply(Reply{Call: call, Answer: Overloaded, RetryAfter: retryAfter, Detail: "the job cannot be served in time"})
	}
	return refused
}

func (s *State) configVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// addToBatch adds a record to the next batch, and sends the batch unless another one
// is being appended.
func (s *State) addToBatch(r Record, c waitingCall) {
	if s.nextBatch.keys == nil {
		s.nextBatch.keys = map[string]bool{}
	}
	if !s.nextBatch.keys[r.Key] {
		s.nextBatch.keys[r.Key] = true
		s.nextBatch.records = append(s.nextBatch.records, r)
		s.nextBatch.bytes += len(r.Key) + len(r.Value)
	}
	s.nextBatch.calls = append(s.nextBatch.calls, c)
	s.sendBatch()
}

// sendBatch sends the next batch unless another one is being appended, the pause for a slow
// store has not passed, or the owner writes the records.
func (s *State) sendBatch() {
	if len(s.batches) > 0 || len(s.nextBatch.records) == 0 || s.now < s.nextBatchFrom {
		return
	}
	if s.owner != nil && s.owner.joinsBatches() || s.handoverOverSlowStore() {
		return // The records join an append of this or the next owner.
	}
	batch := s.nextBatch
	s.nextBatch = recordBatch{}
	id := s.newAppendID()
	batch.sentAt = s.now
	s.batches[id] = &batch
	s.emit(Append{ID: id, Records: batch.records, At: -1})
}

func (s *State) handleAppended(e Appended) {
	switch {
	case e.ID == s.claim.appendID:
		s.claimAppended(e)
	case s.batches[e.ID] != nil:
		batch := s.batches[e.ID]
		delete(s.batches, e.ID)
		switch latency := s.now.Sub(e.SentAt); {
		case e.Outcome != OK || s.owner != nil:
		case latency > slowAppendLatency:
			s.nextBatchFrom = s.now.Add(min(latency, maxBatchPause))
			s.appendSlow()
		default:
			s.appendFast()
		}
		s.batchAppended(batch, e)
		s.sendBatch()
	case s.owner != nil:
		s.owner.handleAppended(e)
	}
}

func (s *State) handleQuery(e Query) {
	if s.forwardIfNeeded(e.Call, e.Origin, Request{Kind: RequestQuery, ID: e.ID, Host: e.Host, Path: e.Path, Key: e.Key}) {
		return
	}
	q, team, ok := s.admit(e.Call, e.ID, e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	from := caller{team, q.Open}
	job := s.ledger.Jobs[e.ID]
	if job.accessibleTo(from) && (job.VisiblePhase().Finished() || s.Owning()) {
		s.reply(Reply{Call: e.Call, Answer: Accepted, State: job.VisiblePhase()})
		return
	}
	s.waitForRead(waitingQuery{call: e.Call, id: e.ID, from: from, receivedAt: s.now})
}

func (s *State) handleCancel(e Cancel) {
	if s.forwardIfNeeded(e.Call, e.Origin, Request{Kind: RequestCancel, ID: e.ID, Host: e.Host, Path: e.Path, Key: e.Key}) {
		return
	}
	q, team, ok := s.admit(e.Call, e.ID, e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	from := caller{team, q.Open}
	if job := s.ledger.Jobs[e.ID]; job.accessibleTo(from) {
		s.cancelJob(e.Call, job)
		return
	}
	s.waitForRead(waitingQuery{call: e.Call, id: e.ID, from: from, receivedAt: s.now, cancel: true})
}

func (s *State) cancelJob(call CallID, job *JobRecord) {
	if job.Cancelled || job.Phase.Finished() {
		s.reply(Reply{Call: call, Answer: Accepted})
		return
	}
	if s.streamLost() {
		s.refuse(call, job.ID, "the job stream is not available")
		return
	}
	s.addToBatch(Record{Key: cancelledPrefix + string(job.ID), Value: []byte{'1'}},
		waitingCall{call: call, id: job.ID, event: LogJobCancelled})
}

// waitForRead lets a query wait for the next read, so that the reply is up to date.
func (s *State) waitForRead(q waitingQuery) {
	if s.streamLost() || len(s.queries) > maxWaitingCalls {
		s.answerStale(q)
		return
	}
	s.queries = append(s.queries, q)
	s.readNow()
}

// answerQueries answers the calls that were received before the read was sent.
func (s *State) answerQueries(sentAt vocab.Instant) {
	kept := s.queries[:0]
	for _, q := range s.queries {
		if q.receivedAt > sentAt {
			kept = append(kept, q)
			continue
		}
		s.answerQuery(q)
	}
	s.queries = kept
	if len(kept) > 0 {
		s.stream.nextReadAt = s.now
	}
}

func (s *State) answerQuery(q waitingQuery) {
	job := s.ledger.Jobs[q.id]
	switch {
	case q.backlog != "":
		s.reply(Reply{Call: q.call, Answer: Accepted, Pending: s.countQueued(q.backlog)})
	case !job.accessibleTo(q.from):
		s.replyNotServed(q.id, Reply{Call: q.call, Answer: NoJob, Detail: "no such job of this team"})
	case q.cancel:
		s.cancelJob(q.call, job)
	default:
		s.reply(Reply{Call: q.call, Answer: Accepted, State: job.VisiblePhase()})
	}
}

// answerStale answers a query while the stream cannot be read: from the ledger if the
// job is known, else with a refusal.
func (s *State) answerStale(q waitingQuery) {
	job := s.ledger.Jobs[q.id]
	if job.accessibleTo(q.from) {
		s.answerQuery(q)
		return
	}
	s.replyNotServed(q.id, Reply{Call: q.call, Answer: Refused, RetryAfter: s.retryAfter(q.id), Detail: "the job stream is not available"})
}

func (s *State) answerQueriesStale() {
	waiting := s.queries
	s.queries = nil
	for _, q := range waiting {
		s.answerStale(q)
	}
}

func (s *State) handleBacklog(e Backlog) {
	if s.forwardIfNeeded(e.Call, e.Origin, Request{Kind: RequestBacklog, Host: e.Host, Path: e.Path, Key: e.Key}) {
		return
	}
	q, _, ok := s.admit(e.Call, "", e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	if s.stream.failedSince == 0 && s.stream.lastReadAt != 0 && s.now.Sub(s.stream.lastReadAt) < maxBacklogAge {
		s.reply(Reply{Call: e.Call, Answer: Accepted, Pending: s.countQueued(q.Name)})
		return
	}
	s.waitForRead(waitingQuery{call: e.Call, receivedAt: s.now, backlog: q.Name})
}

// countQueued returns the number of jobs of a queue of which no task has started.
func (s *State) countQueued(queue vocab.QueueID) int {
	n := 0
	for _, job := range s.ledger.Jobs {
		if job.Acceptance != nil && job.Acceptance.Queue == queue && job.VisiblePhase() == PhaseQueued {
			n++
		}
	}
	return n
}
