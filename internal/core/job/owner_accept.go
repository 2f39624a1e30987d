package job

import (
	"encoding/json"
	"strings"
	"time"
)

// A partition takes one append at a time. While the store is slow, the acceptances of the
// owner's callers and its own state would take turns there, and a job's first start would
// wait for both. Hence the owner then writes the callers' records together with its own, and
// the first intents of a job in the append that accepts it. Nothing of the job starts and
// its caller has no answer before that append has succeeded. The append carries the fence,
// so that it never follows the claim of another owner that has begun to give orders.

// joinedAnswerTimeout is the time after which the calls of an append without an answer are
// answered as unclear: within the time for which nodes wait for the owner's reply.
const joinedAnswerTimeout = slowForwardTimeout - 400*time.Millisecond

// joinsBatches reports whether the records for callers are written in the owner's appends.
func (o *owner) joinsBatches() bool {
	return o.stage == stageActive && !o.resigned && o.storeSlow()
}

// storeSlow reports whether the owner's last append was slow, or the one in progress is.
func (o *owner) storeSlow() bool {
	return o.appendLatency > slowAppendLatency ||
		o.pendingAppend != nil && o.s.now.Sub(o.pendingAppend.firstSentAt) > slowAppendLatency
}

// takeBatch takes the records that wait for the next append for callers into the owner's
// next append, and schedules the jobs that they accept.
func (o *owner) takeBatch() {
	s := o.s
	if o.joined != nil || len(s.nextBatch.records) == 0 || !o.joinsBatches() || s.streamLost() {
		return
	}
	batch := s.nextBatch
	s.nextBatch = recordBatch{}
	batch.sentAt = s.now
	o.joined = &batch
	for _, r := range batch.records {
		o.addTentative(r)
	}
}

// isAppending reports whether the owner's next or pending append holds a caller's record with a
// key.
func (o *owner) isAppending(key string) bool {
	return o.joined != nil && o.joined.keys[key] ||
		o.pendingAppend != nil && o.pendingAppend.batch != nil && o.pendingAppend.batch.keys[key]
}

// addTentative schedules a job whose acceptance is about to be written. Its record joins
// the ledger once the acceptance is on the stream.
func (o *owner) addTentative(r Record) {
	id, accepts := strings.CutPrefix(r.Key, acceptedPrefix)
	if !accepts || o.s.ledger.Jobs[ID(id)] != nil {
		return
	}
	var a Acceptance
	if err := json.Unmarshal(r.Value, &a); err != nil {
		o.s.logEvent(LogRecordUnreadable, "key", r.Key, "error", err.Error())
		return
	}
	job := &JobRecord{ID: ID(id), Acceptance: &a, Phase: PhaseQueued}
	o.s.ledger.tentative[job.ID] = job
	o.jobChanged(job)
}

// answerOverdueCalls answers the calls of the append in progress as unclear if it takes too
// long. Their records may still be written, so that the jobs stay scheduled.
func (o *owner) answerOverdueCalls() {
	if p := o.pendingAppend; p != nil && p.batch != nil && o.s.now.Sub(p.firstSentAt) > joinedAnswerTimeout {
		o.s.answerUnclear(p.batch)
	}
}

// abandonBatch answers the calls whose records the owner took when it loses the ownership.
func (o *owner) abandonBatch() {
	if p := o.pendingAppend; p != nil && p.batch != nil {
		o.s.answerUnclear(p.batch)
	}
	o.s.ledger.tentative = map[ID]*JobRecord{}
}

// answerUnclear answers all calls of a batch as unclear.
func (s *State) answerUnclear(batch *recordBatch) {
	calls := batch.calls
	batch.calls = nil
	s.answerFailed(calls, Unknown)
}
