package job

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/lookahead"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// What an owner learns of the jobs of each queue is on the stream, so that the next owner has it when it
// takes over: owners change while nodes fail or the store is slow, and a job whose run times are not
// known is taken for late.

const (
	learnedPrefix = "e/"
	// learnedInterval is the time between two records of what an owner has learned of a queue.
	learnedInterval = 5 * time.Second
)

// learnedQueue is what an owner has learned of a queue's jobs. Single precision keeps the record small.
type learnedQueue struct {
	Runs  learnedTimes `json:"runs"`
	Steps learnedTimes `json:"steps"`
	// Jobs and CoreSeconds are the sums of workMean.
	Jobs        float32 `json:"jobs,omitempty"`
	CoreSeconds float32 `json:"core_s,omitempty"`
}

// learnedTimes holds the sums of a regression: n, x, y, xx and xy, and those of its spread.
type learnedTimes [8]float32

func (r *regression) learned() (t learnedTimes) {
	if r == nil {
		return t
	}
	n, sum, sumSquares := r.spread.Sums()
	for i, v := range []float64{r.n, r.sumX, r.sumY, r.sumXX, r.sumXY, n, sum, sumSquares} {
		t[i] = float32(v)
	}
	return t
}

// restore adds what an earlier owner has learned.
func (m *runTimeModel) restore(q vocab.QueueID, t learnedTimes) {
	if !(t[0] > 0) {
		return
	}
	m.queues[q] = &regression{
		n: float64(t[0]), sumX: float64(t[1]), sumY: float64(t[2]), sumXX: float64(t[3]), sumXY: float64(t[4]),
		spread: lookahead.SpreadOf(float64(t[5]), float64(t[6]), float64(t[7])),
	}
}

// writeLearned adds the records of the queues of which the owner has learned something.
func (o *owner) writeLearned() {
	o.learnedWrittenAt = o.s.now
	queues := make([]vocab.QueueID, 0, len(o.learnedQueues))
	for q := range o.learnedQueues {
		queues = append(queues, q)
	}
	slices.Sort(queues)
	clear(o.learnedQueues)
	for _, q := range queues {
		l := learnedQueue{Runs: o.estimates.queues[q].learned(), Steps: o.stepTimes.queues[q].learned()}
		if mean := o.queueWork.queues[q]; mean != nil {
			l.Jobs, l.CoreSeconds = float32(mean.jobs), float32(mean.coreSeconds)
		}
		key := learnedPrefix + string(q)
		value, err := json.Marshal(l)
		if err != nil {
			o.s.logEvent(LogRecordUnreadable, "key", key, "error", err.Error())
			continue
		}
		o.extraRecords = append(o.extraRecords, Record{Key: key, Value: value})
	}
}

// writeLearnedIfDue writes what was learned from time to time.
func (o *owner) writeLearnedIfDue() {
	if len(o.learnedQueues) > 0 && o.s.now.Sub(o.learnedWrittenAt) >= learnedInterval {
		o.writeLearned()
	}
}

// foldLearned applies a record of what was learned of a queue.
func (l *Ledger) foldLearned(q vocab.QueueID, value []byte) error {
	if len(value) == 0 {
		delete(l.learned, q)
		return nil
	}
	var learned learnedQueue
	if err := json.Unmarshal(value, &learned); err != nil {
		return errors.Mark(errors.Wrapf(err, "decoding what was learned of queue %s", q), ErrBadRecord)
	}
	l.learned[q] = learned
	return nil
}

// inheritLearned takes over what earlier owners have learned, and removes the records of queues that
// are no longer configured.
func (o *owner) inheritLearned() {
	queues := make([]vocab.QueueID, 0, len(o.s.ledger.learned))
	for q := range o.s.ledger.learned {
		queues = append(queues, q)
	}
	slices.Sort(queues)
	for _, q := range queues {
		if o.s.config != nil && o.s.config.queues[q] == nil {
			delete(o.s.ledger.learned, q)
			o.extraRecords = append(o.extraRecords, Record{Key: learnedPrefix + string(q)})
			continue
		}
		l := o.s.ledger.learned[q]
		o.estimates.restore(q, l.Runs)
		o.stepTimes.restore(q, l.Steps)
		if l.Jobs > 0 {
			o.queueWork.queues[q] = &workMean{jobs: float64(l.Jobs), coreSeconds: float64(l.CoreSeconds)}
		}
	}
}
