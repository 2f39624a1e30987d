// Package standin contains stand-ins for the platform's services and for
// upstreams, for tests, measurements and the commands "dev" and "standin". They
// keep all state in memory. Faults can be injected into them.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxReadRecords is the maximum number of records in the result of one read.
const maxReadRecords = 1000

// Log is an in-memory implementation of services.Log. PlatformHandler serves it
// over HTTP.
type Log struct {
	mu      sync.Mutex
	streams map[vocab.StreamID]*stream
	faults  LogFaults
	appends int
}

// LogFaults are the faults that can be injected into a Log.
type LogFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers is the number of next appends that add their records and
	// still return ErrUnavailable.
	LoseAnswers int
	// Delay is added to the latency of every call.
	Delay time.Duration
}

// stream is one stream of the log.
type stream struct {
	// records holds the records from earliest on, in the order of their offsets.
	records []record.Sequenced
	// earliest is the lowest offset that can still be read.
	earliest vocab.Offset
	// next is the offset that the next appended record will get.
	next vocab.Offset
	// changed is closed and replaced when a record is added or the faults change.
	changed chan struct{}
}

// wakeReaders makes each waiting Read check the faults and the stream again.
func (s *stream) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[vocab.StreamID]*stream{}}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.wakeReaders()
	}
}

// Appends returns the number of append calls that added records.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes the records of a stream before an offset, as the log's retention
// does.
func (l *Log) Trim(id vocab.StreamID, before vocab.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(id)
	for len(s.records) > 0 && s.records[0].Offset < before {
		s.records = s.records[1:]
	}
	s.earliest = max(s.earliest, min(before, s.next))
}

// stream returns a stream, which it creates if needed. The caller holds l.mu.
func (l *Log) stream(id vocab.StreamID) *stream {
	s, ok := l.streams[id]
	if !ok {
		s = &stream{earliest: 1, next: 1, changed: make(chan struct{})}
		l.streams[id] = s
	}
	return s
}

// Append implements services.Log.
func (l *Log) Append(ctx context.Context, id vocab.StreamID, records []record.Envelope) (vocab.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	if len(records) == 0 {
		return 0, errors.Wrap(services.ErrRejected, "an append needs at least one record")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(id)
	first := s.next
	for _, r := range records {
		s.records = append(s.records, record.Sequenced{Offset: s.next, Envelope: r})
		s.next++
	}
	s.wakeReaders()
	l.appends++
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errors.Wrap(services.ErrUnavailable, "answer lost")
	}
	return first, nil
}

// Read implements services.Log.
func (l *Log) Read(ctx context.Context, id vocab.StreamID, from vocab.Offset, wait time.Duration) (services.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := l.applyFaults(ctx); err != nil {
			return services.Batch{}, err
		}
		batch, changed, err := l.readAvailable(id, from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return batch, nil
		case <-ctx.Done():
			return services.Batch{}, errors.Mark(ctx.Err(), services.ErrUnavailable)
		}
	}
}

// readAvailable reads without waiting. It also returns the channel that is closed
// on the stream's next change.
func (l *Log) readAvailable(id vocab.StreamID, from vocab.Offset) (services.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(id)
	batch := services.Batch{Earliest: s.earliest, Next: s.next}
	if from < s.earliest {
		return batch, nil, &services.TrimmedError{Earliest: s.earliest}
	}
	if from < s.next {
		rest := s.records[from-s.earliest:]
		batch.Records = append(batch.Records, rest[:min(len(rest), maxReadRecords)]...)
	}
	return batch, s.changed, nil
}

// applyFaults waits for the injected delay and returns an error if the log is
// down or ctx has ended.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), services.ErrUnavailable)
	}
	if faults.Down {
		return errors.Wrap(services.ErrUnavailable, "log service down")
	}
	return nil
}
