package node

import (
	"context"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// appendLimit is the most records in one append.
const appendLimit = 256

// appendRecords appends what the reducer asks for, in batches and in order.
func (n *Node) appendRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.appends:
			batch := n.moreAppends(first)
			n.appendBatch(ctx, batch)
			n.unappended.Add(-int64(len(batch)))
		}
	}
}

// moreAppends adds to a batch what is already waiting.
func (n *Node) moreAppends(first core.Append) []core.Append {
	batch := []core.Append{first}
	for len(batch) < appendLimit {
		select {
		case a := <-n.appends:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch appends a batch, one call for each run of records with the same
// stream and the same patience.
func (n *Node) appendBatch(ctx context.Context, batch []core.Append) {
	for len(batch) > 0 {
		run := 1
		for run < len(batch) && batch[run].Stream == batch[0].Stream && batch[run].NoRetry == batch[0].NoRetry {
			run++
		}
		n.appendRun(ctx, batch[:run])
		batch = batch[run:]
	}
}

func (n *Node) appendRun(ctx context.Context, run []core.Append) {
	envelopes := make([]record.Envelope, 0, len(run))
	for _, a := range run {
		envelope, err := record.Encode(a.ID, a.Body)
		if err != nil {
			n.services.Events.Warn(core.LogEventRecordNotEncoded, string(a.ID), err)
			continue
		}
		envelopes = append(envelopes, envelope)
	}
	if len(envelopes) == 0 {
		return
	}
	if run[0].NoRetry {
		_, _ = n.services.Log.Append(ctx, run[0].Stream, envelopes)
		return
	}
	n.appendUntilAnswered(ctx, run[0].Stream, envelopes)
}

// appendUntilAnswered repeats an append until the log has answered. A record
// appended twice has one ID and is folded once.
func (n *Node) appendUntilAnswered(ctx context.Context, stream vocab.StreamID, envelopes []record.Envelope) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if _, err := n.services.Log.Append(ctx, stream, envelopes); err == nil {
			return
		}
		sleep(ctx, pause.NextBackOff())
	}
}
