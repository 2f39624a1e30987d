// Package standin serves small stand-ins of the platform and of upstreams for
// tests, measurements and the "dev" command, with faults on demand. They keep
// everything in memory.
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

// readLimit is the most records that one read returns.
const readLimit = 1000

// Log is an in-memory log service. It implements services.Log directly; LogHandler
// serves it over HTTP.
type Log struct {
	mu      sync.Mutex
	streams map[vocab.StreamID]*stream
	faults  LogFaults
	appends int
}

// LogFaults are the faults that a Log can show.
type LogFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers makes the next appends succeed but answer ErrUnavailable.
	LoseAnswers int
	// Delay holds every call back.
	Delay time.Duration
}

type stream struct {
	records  []record.Sequenced
	earliest vocab.Offset
	next     vocab.Offset
	grown    chan struct{}
}

// wake ends the waits of readers, who look again.
func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[vocab.StreamID]*stream{}}
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.wake()
	}
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes the records of a stream before offset, as retention does.
func (l *Log) Trim(id vocab.StreamID, before vocab.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(id)
	for len(s.records) > 0 && s.records[0].Offset < before {
		s.records = s.records[1:]
	}
	s.earliest = max(s.earliest, min(before, s.next))
}

func (l *Log) stream(id vocab.StreamID) *stream {
	s, ok := l.streams[id]
	if !ok {
		s = &stream{earliest: 1, next: 1, grown: make(chan struct{})}
		l.streams[id] = s
	}
	return s
}

// Append implements services.Log.
func (l *Log) Append(ctx context.Context, id vocab.StreamID, records []record.Envelope) (vocab.Offset, error) {
	if err := l.admit(ctx); err != nil {
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
	s.wake()
	l.appends++
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errors.Wrap(services.ErrUnavailable, "answer lost")
	}
	return first, nil
}

// Read implements services.Log.
func (l *Log) Read(ctx context.Context, id vocab.StreamID, from vocab.Offset, wait time.Duration) (services.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := l.admit(ctx); err != nil {
			return services.Batch{}, err
		}
		batch, grown, err := l.readNow(id, from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return services.Batch{}, errors.Mark(ctx.Err(), services.ErrUnavailable)
		}
	}
}

func (l *Log) readNow(id vocab.StreamID, from vocab.Offset) (services.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(id)
	batch := services.Batch{Earliest: s.earliest, Next: s.next}
	if from < s.earliest {
		return batch, nil, &services.TrimmedError{Earliest: s.earliest}
	}
	if from < s.next {
		rest := s.records[from-s.earliest:]
		batch.Records = append(batch.Records, rest[:min(len(rest), readLimit)]...)
	}
	return batch, s.grown, nil
}

// admit applies delay and outage.
func (l *Log) admit(ctx context.Context) error {
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
