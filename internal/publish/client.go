// Package publish implements the operations of operators that change the state of
// the fleet: publishing a configuration, giving and withdrawing API keys, and
// directing maintenance waves. Each operation is one record on the fleet stream. It
// reads the stream to its end, appends its record, and reads on until it finds the
// record. Only then is it known whether the record took effect.
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
	// initialBackoff and maxBackoff bound the wait between calls to an unavailable
	// log.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Client carries out the operations of operators. While the log is unavailable,
// its methods retry until their context ends.
type Client struct {
	Log services.Log
	// Operator is the name recorded with each change.
	Operator string
	// Start returns the state with which the fold starts. If it is nil, the fold
	// starts before the first record, or at a snapshot on the stream if the log has
	// been trimmed.
	Start func(ctx context.Context) (*shared.State, error)
}

// foldStream folds the stream to its end and returns the state.
func (c *Client) foldStream(ctx context.Context) (*shared.State, error) {
	start := c.Start
	if start == nil {
		start = c.initialStateFromLog
	}
	state, err := start(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrHistoryGone)
	}
	f := fold{client: c, state: state}
	if err := f.readToEnd(ctx); err != nil {
		return nil, readError(err)
	}
	return state, nil
}

// readError converts the error of a read before any append. Nothing can have
// changed, so ErrUnknown becomes ErrLogDown.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return errors.WithSecondaryError(ErrLogDown, err)
	}
	return err
}

// fold applies the records of the stream to a state.
type fold struct {
	client *Client
	state  *shared.State
	// onRecord, if set, is called with every record and what it changed.
	onRecord func(rec record.Sequenced, change shared.Change)
}

// readToEnd folds all remaining records.
func (f *fold) readToEnd(ctx context.Context) error {
	for {
		atEnd, err := f.readOnce(ctx)
		if err != nil || atEnd {
			return err
		}
	}
}

// readOnce folds one batch and reports whether it reached the end of the stream.
// It retries while the log is unavailable, and fails with ErrUnknown when the
// context ends.
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

// retryUnavailable repeats a call until the log is available or the context ends.
func retryUnavailable[T any](ctx context.Context, call func() (T, error)) (T, error) {
	result, err := backoff.Retry(ctx, func() (T, error) {
		result, err := call()
		if err != nil && !errors.Is(err, services.ErrUnavailable) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}, backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(0))
	return result, classifyLogError(err)
}

// newBackoff returns the exponential backoff for calls to an unavailable log.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// classifyLogError marks an error of the log with one of this package's errors.
func classifyLogError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, services.ErrTrimmed):
		return errors.Mark(err, ErrHistoryGone)
	case errors.Is(err, services.ErrRejected):
		return errors.Mark(errors.Wrap(err, "log service"), ErrRejected)
	default:
		return errors.Mark(errors.Wrap(err, ErrUnknown.Error()), ErrUnknown)
	}
}
