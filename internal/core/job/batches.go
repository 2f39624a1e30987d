package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// uncertainRetention is the time for which the records of an append without an answer are
// taken as possibly written. The store may carry it out seconds later, and callers repeat a
// request without an answer within seconds.
const uncertainRetention = 10 * time.Second

// uncertainAppend is an append without an answer, by the keys of its records.
type uncertainAppend struct {
	keys  map[string]bool
	until vocab.Instant
}

// noteUncertain remembers an append without an answer, and forgets those of long ago.
func (s *State) noteUncertain(batch *recordBatch) {
	s.uncertain = slices.DeleteFunc(s.uncertain, func(u uncertainAppend) bool { return u.until <= s.now })
	s.uncertain = append(s.uncertain, uncertainAppend{batch.keys, s.now.Add(uncertainRetention)})
}

// mayBeAppended reports whether this node is appending the record with a key, will do so, or
// may have done so without an answer from the store.
func (s *State) mayBeAppended(key string) bool {
	if s.nextBatch.keys[key] {
		return true
	}
	for _, batch := range s.batches {
		if batch.keys[key] {
			return true
		}
	}
	for _, u := range s.uncertain {
		if u.keys[key] && s.now < u.until {
			return true
		}
	}
	return s.owner != nil && s.owner.isAppending(key)
}

// batchAppended replies to the calls of a batch when its append has completed.
func (s *State) batchAppended(batch *recordBatch, e Appended) {
	if e.Outcome == OK {
		s.foldBatch(batch, e)
		for _, c := range batch.calls {
			if c.call == 0 {
				continue
			}
			delete(s.forwards, c.call)
			s.logEvent(c.event, "job", c.id, "offset", e.Offset)
			s.reply(Reply{Call: c.call, Answer: Accepted})
		}
		return
	}
	s.answerFailed(batch.calls, e.Outcome)
	if e.Outcome == Unknown {
		s.noteUncertain(batch)
		// The next batch was not sent, so its calls are certainly not carried out and
		// can be refused at once.
		for _, c := range s.nextBatch.calls {
			if c.call == 0 {
				s.announced = false
				continue
			}
			s.refuse(c.call, c.id, "the job stream is not available")
		}
		s.nextBatch = recordBatch{}
	}
}

// answerFailed answers calls whose append failed or has an unknown outcome.
func (s *State) answerFailed(calls []waitingCall, outcome Outcome) {
	for _, c := range calls {
		if c.call == 0 {
			s.announced = false
			continue
		}
		if s.callAppendFailed(c.call, outcome == Unknown) {
			continue
		}
		if outcome == Unknown {
			s.logEvent(LogJobRefused, "job", c.id, "why", "the append had no answer", "outcome", outcome.String())
			s.reply(Reply{Call: c.call, Answer: Unclear, Detail: "the job stream gave no answer"})
			continue
		}
		s.refuse(c.call, c.id, "the job stream refused the append")
	}
}

// foldBatch folds the records of this node's own append before they are read from the
// stream, so that its callers can read their own writes.
func (s *State) foldBatch(batch *recordBatch, e Appended) {
	for i, r := range batch.records {
		r.Offset = e.Offset + int64(i)
		job, err := s.ledger.fold(s.now, r)
		if err != nil {
			s.logEvent(LogRecordUnreadable, "offset", r.Offset, "key", r.Key, "error", err.Error())
			continue
		}
		if s.owner != nil {
			s.owner.jobChanged(job)
		}
	}
}
