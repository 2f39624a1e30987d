package publish

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// appendResult describes a record that was appended and folded.
type appendResult struct {
	// offset is the record's offset; 0 until the record has been folded.
	offset vocab.Offset
	// change is what the record changed in the state.
	change shared.Change
}

// append appends one record and folds the stream up to it. After an append without
// a response it first searches the stream for the record. If the record is missing,
// it is appended again with the same ID, so that it takes effect only once even if
// the first append arrives late. A rejected first append fails with ErrRejected; all
// later errors are ErrUnknown.
func (f *fold) append(ctx context.Context, body record.Body) (appendResult, error) {
	envelope, err := record.Encode(vocab.RecordID(uuid.NewString()), body)
	if err != nil {
		return appendResult{}, err
	}
	own := f.captureResult(envelope.ID)
	delays := newBackoff()
	for attempt := 1; ; attempt++ {
		_, err := f.client.Log.Append(ctx, shared.Stream, []record.Envelope{envelope})
		if errors.Is(err, services.ErrRejected) && attempt == 1 {
			return appendResult{}, classifyLogError(err)
		}
		err = f.readToEnd(ctx)
		if own.offset != 0 {
			return *own, nil
		}
		if err != nil {
			return appendResult{}, errors.Mark(err, ErrUnknown)
		}
		if err := waitBackoff(ctx, delays); err != nil {
			return appendResult{}, err
		}
	}
}

// captureResult returns a result that is filled in when the record with the ID is
// folded for the first time.
func (f *fold) captureResult(id vocab.RecordID) *appendResult {
	own := &appendResult{}
	next := f.onRecord
	f.onRecord = func(rec record.Sequenced, change shared.Change) {
		if next != nil {
			next(rec, change)
		}
		if rec.Envelope.ID == id && own.offset == 0 {
			*own = appendResult{offset: rec.Offset, change: change}
		}
	}
	return own
}

// waitBackoff waits before the next append. It fails with ErrUnknown when the
// context ends.
func waitBackoff(ctx context.Context, delays *backoff.ExponentialBackOff) error {
	wait, cancel := context.WithTimeout(ctx, delays.NextBackOff())
	defer cancel()
	<-wait.Done()
	return errors.Mark(errors.Wrap(ctx.Err(), ErrUnknown.Error()), ErrUnknown)
}
