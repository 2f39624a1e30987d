// Package publish carries out what operators do: publish a configuration, give
// and withdraw keys. Each is one record on the fleet stream. An operation reads
// the stream to its end, appends its record, and reads on until it meets the
// record itself; only then is it known whether it took effect.
package publish

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
)

const (
	// firstPause and longestPause bound the pauses between calls to a log that
	// gives no answer.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// Client carries out operators' changes. Its methods try until their context
// ends.
type Client struct {
	Log services.Log
	// Operator is recorded with each change.
	Operator string
	// Start returns the state to begin the fold with. With nil the fold begins at
	// the first record, or at a snapshot on the stream if that is gone.
	Start func(ctx context.Context) (*shared.State, error)
}

// read folds the stream up to its end.
func (c *Client) read(ctx context.Context) (*shared.State, error) {
	start := c.Start
	if start == nil {
		start = c.startFromLog
	}
	state, err := start(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrHistoryGone)
	}
	f := fold{client: c, state: state}
	if err := f.readToEnd(ctx); err != nil {
		return nil, notUnknown(err)
	}
	return state, nil
}

// notUnknown turns the error of a read that came before any append.
func notUnknown(err error) error {
	if errors.Is(err, ErrUnknown) {
		return errors.WithSecondaryError(ErrLogDown, err)
	}
	return err
}

// fold follows the stream with a state.
type fold struct {
	client *Client
	state  *shared.State
	// onRecord, if set, sees every record with what it changed.
	onRecord func(rec record.Sequenced, change shared.Change)
}

// readToEnd folds until no record is left.
func (f *fold) readToEnd(ctx context.Context) error {
	for {
		atEnd, err := f.readOnce(ctx)
		if err != nil || atEnd {
			return err
		}
	}
}

// readOnce folds one batch and reports whether it reached the end. A log that
// gives no answer is asked again until the context ends, which is ErrUnknown.
func (f *fold) readOnce(ctx context.Context) (bool, error) {
	batch, err := retryUnavailable(ctx, func() (services.Batch, error) {
		return f.client.Log.Read(ctx, shared.Stream, f.state.Offset+1, 0)
	})
	if err != nil {
		return false, err
	}
	for _, rec := range batch.Records {
		change, err := f.state.Apply(rec)
		if err != nil {
			return false, errors.Mark(err, ErrNewerRecords)
		}
		if f.onRecord != nil {
			f.onRecord(rec, change)
		}
	}
	return f.state.Offset+1 >= batch.Next, nil
}

// retryUnavailable calls until the log answers or the context ends.
func retryUnavailable[T any](ctx context.Context, call func() (T, error)) (T, error) {
	result, err := backoff.Retry(ctx, func() (T, error) {
		result, err := call()
		if err != nil && !errors.Is(err, services.ErrUnavailable) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}, backoff.WithBackOff(newPauses()), backoff.WithMaxElapsedTime(0))
	return result, fromPlatform(err)
}

func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	return pauses
}

// fromPlatform turns an error of the platform's layer into one of this layer.
func fromPlatform(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, services.ErrTrimmed):
		return errors.Mark(err, ErrHistoryGone)
	case errors.Is(err, services.ErrRejected):
		return errors.Mark(errors.Wrap(err, "log"), ErrRejected)
	default:
		return errors.Mark(errors.Wrap(err, ErrUnknown.Error()), ErrUnknown)
	}
}
