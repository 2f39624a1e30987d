package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// refusedRetry is when a caller may come back after a failure of the
	// stream.
	refusedRetry = time.Second
	// backlogAge is how old the stream's last read may be in the answer to a
	// question for a backlog.
	backlogAge = time.Second
	// mostPause bounds the pause between two batches at a slow store.
	mostPause = 500 * time.Millisecond
	// mostWaiting bounds the calls that wait for one append or read.
	mostWaiting = 2000
)

// callers is what the node keeps for callers that wait.
type callers struct {
	lastAppend uint64
	// appends holds the batches under way, by append.
	appends map[uint64]*acceptBatch
	// next collects what comes while a batch is under way.
	next acceptBatch
	// nextFrom is when the next batch may be sent.
	nextFrom vocab.Instant
	queries  []waitingQuery
}

// acceptBatch is a set of acceptances and cancellations in one append.
type acceptBatch struct {
	records []Record
	calls   []waitingCall
	keys    map[string]bool
	size    int // of the records, in bytes
	sentAt  vocab.Instant
	// passed is set once the calls went to another node as well.
	passed bool
}

type waitingCall struct {
	call CallID
	id   ID
	note NoteID
	// request is what may be passed on, or nil.
	request *Request
}

// waitingQuery waits for a read that was sent after it came.
type waitingQuery struct {
	call   CallID
	id     ID
	who    asker
	cameAt vocab.Instant
	// cancel is set if the job is to be cancelled once it is found.
	cancel bool
	// backlog, if set, is the queue whose backlog is asked for.
	backlog vocab.QueueID
}

func (s *State) nextAppend() uint64 {
	s.lastAppend++
	return s.lastAppend
}

// admit finds the queue of a call and checks its key. It answers the call
// itself if it goes no further.
func (s *State) admit(call CallID, id ID, host, path, key string) (*Queue, vocab.TeamID, bool) {
	if s.config == nil {
		s.notServed(id, Reply{Call: call, Answer: Refused, RetryAfter: refusedRetry, Detail: "no configuration yet"})
		return nil, "", false
	}
	q := s.config.Match(host, path)
	if q == nil {
		s.notServed(id, Reply{Call: call, Answer: NoQueue, Detail: "no queue has this host and path"})
		return nil, "", false
	}
	team, known := s.config.TeamOf(key)
	if !known && !q.Open {
		s.notServed(id, Reply{Call: call, Answer: NoKey, Detail: "unknown key"})
		return nil, "", false
	}
	return q, team, true
}

func (s *State) reply(r Reply) {
	if r.ConfigVersion == 0 {
		r.ConfigVersion = s.configVersion()
	}
	s.emit(r)
}

// notServed answers a call about a job with something else than success, and
// says so in the log. The ID is empty for a question about a queue.
func (s *State) notServed(id ID, r Reply) {
	s.note(NoteNotServed, "job", id, "answer", r.Answer.String(), "why", r.Detail, "config", s.configVersion(),
		"offset", s.stream.next, "read_age_ms", s.now.Sub(s.stream.readAt).Milliseconds())
	s.reply(r)
}

func (s *State) submit(e Submit) {
	request := Request{Kind: RequestSubmit, ID: e.ID, Host: e.Host, Path: e.Path, Key: e.Key, Spec: e.Spec}
	if s.passesOn(e.Call, e.Passed, request) {
		return
	}
	q, team, ok := s.admit(e.Call, e.ID, e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	if !e.ID.valid() {
		s.notServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: "an ID is 16 hexadecimal digits"})
		return
	}
	if why := checkSpec(&e.Spec); why != "" {
		s.notServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: why})
		return
	}
	if known := s.ledger.Jobs[e.ID]; known != nil && known.Acceptance != nil {
		s.reply(Reply{Call: e.Call, Answer: Accepted})
		return
	}
	if s.streamLost() || len(s.next.calls) > mostWaiting || s.next.size > mostBatch {
		s.refuse(e.Call, e.ID, "the job stream is not available")
		return
	}
	record, err := encodeAcceptance(e.ID, &Acceptance{Queue: q.Name, Pool: q.Pool, Team: team, At: s.wall, Spec: e.Spec})
	if err != nil {
		s.notServed(e.ID, Reply{Call: e.Call, Answer: Malformed, Detail: err.Error()})
		return
	}
	c := waitingCall{call: e.Call, id: e.ID, note: NoteAccepted}
	if !e.Passed.Once {
		c.request = &request
	}
	s.addToBatch(record, c)
}

func (s *State) refuse(call CallID, id ID, why string) {
	s.note(NoteRefused, "job", id, "why", why, "config", s.configVersion())
	s.reply(Reply{Call: call, Answer: Refused, RetryAfter: refusedRetry, Detail: why})
}

func (s *State) configVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// addToBatch appends a record at once, or with the next batch while one is
// under way.
func (s *State) addToBatch(r Record, c waitingCall) {
	if s.next.keys == nil {
		s.next.keys = map[string]bool{}
	}
	if !s.next.keys[r.Key] {
		s.next.keys[r.Key] = true
		s.next.records = append(s.next.records, r)
		s.next.size += len(r.Key) + len(r.Value)
	}
	s.next.calls = append(s.next.calls, c)
	s.flushBatch()
}

func (s *State) flushBatch() {
	if len(s.appends) > 0 || len(s.next.records) == 0 || s.now < s.nextFrom {
		return
	}
	batch := s.next
	s.next = acceptBatch{}
	id := s.nextAppend()
	batch.sentAt = s.now
	s.appends[id] = &batch
	s.emit(Append{ID: id, Records: batch.records, At: -1})
}

func (s *State) appended(e Appended) {
	switch {
	case e.ID == s.claim.appendID:
		s.claimAppended(e)
	case s.appends[e.ID] != nil:
		batch := s.appends[e.ID]
		delete(s.appends, e.ID)
		switch took := s.now.Sub(e.SentAt); {
		case e.Outcome != OK || s.owner != nil:
		case took > slowAppend:
			s.nextFrom = s.now.Add(min(took, mostPause))
			s.ownAppendSlow()
		default:
			s.ownAppendFast()
		}
		s.batchAppended(batch, e)
		s.flushBatch()
	case s.owner != nil:
		s.owner.appended(e)
	}
}

func (s *State) batchAppended(batch *acceptBatch, e Appended) {
	if e.Outcome == OK {
		s.foldOwn(batch, e)
		for _, c := range batch.calls {
			if c.call == 0 {
				continue
			}
			delete(s.passing, c.call)
			s.note(c.note, "job", c.id, "offset", e.Offset)
			s.reply(Reply{Call: c.call, Answer: Accepted})
		}
		return
	}
	for _, c := range batch.calls {
		if c.call == 0 {
			s.announced = false
			continue
		}
		if s.ownAppendFailed(c.call, e.Outcome == Unknown) {
			continue
		}
		if e.Outcome == Unknown {
			s.note(NoteRefused, "job", c.id, "why", "the append had no answer", "outcome", e.Outcome.String())
			s.reply(Reply{Call: c.call, Answer: Unclear, Detail: "the job stream gave no answer"})
			continue
		}
		s.refuse(c.call, c.id, "the job stream refused the append")
	}
	if e.Outcome == Unknown {
		// What was not sent yet is refused truthfully instead of waiting.
		for _, c := range s.next.calls {
			if c.call == 0 {
				s.announced = false
				continue
			}
			s.refuse(c.call, c.id, "the job stream is not available")
		}
		s.next = acceptBatch{}
	}
}

// foldOwn folds this node's own records ahead of reading them, so that its
// callers see what they were told.
func (s *State) foldOwn(batch *acceptBatch, e Appended) {
	for i, r := range batch.records {
		r.Offset = e.Offset + int64(i)
		entry, err := s.ledger.fold(s.now, r)
		if err != nil {
			s.note(NoteRecordBad, "offset", r.Offset, "key", r.Key, "error", err.Error())
			continue
		}
		if s.owner != nil {
			s.owner.jobChanged(entry)
		}
	}
}

func (s *State) query(e Query) {
	if s.passesOn(e.Call, e.Passed, Request{Kind: RequestQuery, ID: e.ID, Host: e.Host, Path: e.Path, Key: e.Key}) {
		return
	}
	q, team, ok := s.admit(e.Call, e.ID, e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	who := asker{team, q.Open}
	entry := s.ledger.Jobs[e.ID]
	if entry.of(who) && (entry.Visible().Ended() || s.Owning()) {
		s.reply(Reply{Call: e.Call, Answer: Accepted, State: entry.Visible()})
		return
	}
	s.waitForRead(waitingQuery{call: e.Call, id: e.ID, who: who, cameAt: s.now})
}

func (s *State) cancel(e Cancel) {
	if s.passesOn(e.Call, e.Passed, Request{Kind: RequestCancel, ID: e.ID, Host: e.Host, Path: e.Path, Key: e.Key}) {
		return
	}
	q, team, ok := s.admit(e.Call, e.ID, e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	who := asker{team, q.Open}
	if entry := s.ledger.Jobs[e.ID]; entry.of(who) {
		s.cancelEntry(e.Call, entry)
		return
	}
	s.waitForRead(waitingQuery{call: e.Call, id: e.ID, who: who, cameAt: s.now, cancel: true})
}

func (s *State) cancelEntry(call CallID, entry *Entry) {
	if entry.Cancelled || entry.Phase.Ended() {
		s.reply(Reply{Call: call, Answer: Accepted})
		return
	}
	s.addToBatch(Record{Key: cancelledPrefix + string(entry.ID), Value: []byte{'1'}},
		waitingCall{call: call, id: entry.ID, note: NoteCancelled})
}

func (s *State) waitForRead(q waitingQuery) {
	if s.streamLost() || len(s.queries) > mostWaiting {
		s.answerStale(q)
		return
	}
	s.queries = append(s.queries, q)
	s.readSoon()
}

// answerQueries answers what came before a read was sent.
func (s *State) answerQueries(sentAt vocab.Instant) {
	kept := s.queries[:0]
	for _, q := range s.queries {
		if q.cameAt > sentAt {
			kept = append(kept, q)
			continue
		}
		s.answerQuery(q)
	}
	s.queries = kept
	if len(kept) > 0 {
		s.stream.dueAt = s.now
	}
}

func (s *State) answerQuery(q waitingQuery) {
	entry := s.ledger.Jobs[q.id]
	switch {
	case q.backlog != "":
		s.reply(Reply{Call: q.call, Answer: Accepted, Pending: s.pending(q.backlog)})
	case !entry.of(q.who):
		s.notServed(q.id, Reply{Call: q.call, Answer: NoJob, Detail: "no such job of this team"})
	case q.cancel:
		s.cancelEntry(q.call, entry)
	default:
		s.reply(Reply{Call: q.call, Answer: Accepted, State: entry.Visible()})
	}
}

// answerStale answers while the stream cannot be read: a known job by what is
// known of it, any other not at all.
func (s *State) answerStale(q waitingQuery) {
	entry := s.ledger.Jobs[q.id]
	if entry.of(q.who) {
		s.answerQuery(q)
		return
	}
	s.notServed(q.id, Reply{Call: q.call, Answer: Refused, RetryAfter: refusedRetry, Detail: "the job stream is not available"})
}

func (s *State) failQueries() {
	waiting := s.queries
	s.queries = nil
	for _, q := range waiting {
		s.answerStale(q)
	}
}

func (s *State) backlog(e Backlog) {
	if s.passesOn(e.Call, e.Passed, Request{Kind: RequestBacklog, Host: e.Host, Path: e.Path, Key: e.Key}) {
		return
	}
	q, _, ok := s.admit(e.Call, "", e.Host, e.Path, e.Key)
	if !ok {
		return
	}
	if s.stream.failedSince == 0 && s.stream.readAt != 0 && s.now.Sub(s.stream.readAt) < backlogAge {
		s.reply(Reply{Call: e.Call, Answer: Accepted, Pending: s.pending(q.Name)})
		return
	}
	s.waitForRead(waitingQuery{call: e.Call, cameAt: s.now, backlog: q.Name})
}

// pending counts the jobs of a queue of which no task has started.
func (s *State) pending(queue vocab.QueueID) int {
	n := 0
	for _, entry := range s.ledger.Jobs {
		if entry.Acceptance != nil && entry.Acceptance.Queue == queue && entry.Visible() == PhaseQueued {
			n++
		}
	}
	return n
}

// checkSpec returns why a job cannot be taken, or nothing.
func checkSpec(spec *Spec) string {
	if len(spec.Steps) == 0 || len(spec.Steps)*max(1, spec.Occurrences) > maxSteps {
		return "a job has 1 to 2000 steps, those of all occurrences taken together"
	}
	tasks := 0
	for i := range spec.Steps {
		step := &spec.Steps[i]
		tasks += step.Count
		if step.Count < 1 || tasks > maxTasks {
			return "a job has 1 to 2000 tasks, and each step at least one"
		}
		if step.Need.CPU < 0 || step.Need.Memory < 0 || step.Need.GPU < 0 {
			return "needs must not be negative"
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return "a step may depend on earlier steps only"
			}
		}
	}
	if spec.Occurrences < 0 {
		return "a job repeats 0 times or more"
	}
	return ""
}
