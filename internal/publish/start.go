package publish

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// startFromLog returns the state to begin the fold with: that before the first
// record, or where the log no longer keeps it, that of a snapshot on the
// stream. It fails with ErrHistoryGone if there is none.
func (c *Client) startFromLog(ctx context.Context) (*shared.State, error) {
	var trimmed *services.TrimmedError
	_, err := c.readFrom(ctx, 1)
	if !errors.As(err, &trimmed) {
		// Other errors come up again in the read that follows.
		return shared.New(), nil
	}
	follower := shared.NewFollower()
	follower.ContinueFrom(trimmed.Earliest)
	for next := trimmed.Earliest; follower.CatchingUp(); {
		batch, err := c.readFrom(ctx, next)
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

func (c *Client) readFrom(ctx context.Context, from vocab.Offset) (services.Batch, error) {
	return retryUnavailable(ctx, func() (services.Batch, error) {
		return c.Log.Read(ctx, shared.Stream, from, 0)
	})
}
