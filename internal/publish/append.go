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

// appended is what became of an appended record.
type appended struct {
	offset vocab.Offset
	change shared.Change
}

// append appends one record and folds up to it. After an append without an
// answer it first looks for the record on the stream. If the record is not
// there it is appended again under the same ID, so that the fold counts it
// once even if the first append arrives late. Every error but a rejected first
// append is ErrUnknown.
func (f *fold) append(ctx context.Context, body record.Body) (appended, error) {
	envelope, err := record.Encode(vocab.RecordID(uuid.NewString()), body)
	if err != nil {
		return appended{}, err
	}
	own := f.watchFor(envelope.ID)
	pauses := newPauses()
	for tries := 1; ; tries++ {
		_, err := f.client.Log.Append(ctx, shared.Stream, []record.Envelope{envelope})
		if errors.Is(err, services.ErrRejected) && tries == 1 {
			return appended{}, fromPlatform(err)
		}
		err = f.readToEnd(ctx)
		if own.offset != 0 {
			return *own, nil
		}
		if err != nil {
			return appended{}, errors.Mark(err, ErrUnknown)
		}
		if err := pause(ctx, pauses); err != nil {
			return appended{}, err
		}
	}
}

// watchFor returns where the result of a record's first folding will be found.
func (f *fold) watchFor(id vocab.RecordID) *appended {
	own := &appended{}
	before := f.onRecord
	f.onRecord = func(rec record.Sequenced, change shared.Change) {
		if before != nil {
			before(rec, change)
		}
		if rec.Envelope.ID == id && own.offset == 0 {
			*own = appended{offset: rec.Offset, change: change}
		}
	}
	return own
}

// pause waits before the next try. It fails with ErrUnknown when the context
// ends.
func pause(ctx context.Context, pauses *backoff.ExponentialBackOff) error {
	waited, cancel := context.WithTimeout(ctx, pauses.NextBackOff())
	defer cancel()
	<-waited.Done()
	return errors.Mark(errors.Wrap(ctx.Err(), ErrUnknown.Error()), ErrUnknown)
}
