package publish

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// initialStateFromLog returns the state with which the fold starts: the empty state,
// or if the log has been trimmed, that of a snapshot on the stream. It fails with
// ErrHistoryGone if there is no snapshot.
func (c *Client) initialStateFromLog(ctx context.Context) (*shared.State, error) {
	var trimmed *services.TrimmedError
	_, err := c.readBatch(ctx, 1)
	if !errors.As(err, &trimmed) {
		// The fold starts with the same read and returns other errors.
		return shared.New(), nil
	}
	follower := shared.NewFollower()
	follower.ContinueFrom(trimmed.Earliest)
	for next := trimmed.Earliest; follower.CatchingUp(); {
		batch, err := c.readBatch(ctx, next)
		if err != nil {
			return nil, err
		}
		for _, rec := range batch.Records {
			if _, err := follower.Read(rec); err != nil {
				return nil, errors.Mark(err, ErrNewerRecords)
			}
		}
		next += vocab.Offset(len(batch.Records))
		if next >= batch.Next && follower.CatchingUp() {
			return nil, errors.Wrapf(ErrHistoryGone, "no snapshot from offset %d on", trimmed.Earliest)
		}
	}
	return follower.State(), nil
}

// readBatch reads the records from an offset on. It retries while the log is
// unavailable.
func (c *Client) readBatch(ctx context.Context, from vocab.Offset) (services.Batch, error) {
	return retryUnavailable(ctx, func() (services.Batch, error) {
		return c.Log.Read(ctx, shared.Stream, from, 0)
	})
}
