package node

import (
	"context"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxBatchRecords is the maximum number of records in one append.
const maxBatchRecords = 256

// appendRecords executes Append effects in order and in batches until the context
// ends.
func (n *Node) appendRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.appends:
			batch := n.collectBatch(first)
			n.appendBatch(ctx, batch)
			n.pendingAppends.Add(-int64(len(batch)))
		}
	}
}

// collectBatch returns a batch of first and the effects that are already queued,
// up to maxBatchRecords.
func (n *Node) collectBatch(first core.Append) []core.Append {
	batch := []core.Append{first}
	for len(batch) < maxBatchRecords {
		select {
		case a := <-n.appends:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch appends a batch in order, with one call for each group of
// consecutive records that have the same stream and the same NoRetry.
func (n *Node) appendBatch(ctx context.Context, batch []core.Append) {
	for len(batch) > 0 {
		size := 1
		for size < len(batch) && batch[size].Stream == batch[0].Stream && batch[size].NoRetry == batch[0].NoRetry {
			size++
		}
		n.appendToStream(ctx, batch[:size])
		batch = batch[size:]
	}
}

// appendToStream appends a group of records to the stream of the first. It skips
// records that cannot be encoded and logs them.
func (n *Node) appendToStream(ctx context.Context, group []core.Append) {
	envelopes := make([]record.Envelope, 0, len(group))
	for _, a := range group {
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
	if group[0].NoRetry {
		_, _ = n.services.Log.Append(ctx, group[0].Stream, envelopes)
		return
	}
	n.appendWithRetry(ctx, group[0].Stream, envelopes)
}

// appendWithRetry repeats an append until the log confirms it. A record that is
// appended twice keeps its ID and is folded only once.
func (n *Node) appendWithRetry(ctx context.Context, stream vocab.StreamID, envelopes []record.Envelope) {
	backOff := newBackoff()
	for ctx.Err() == nil {
		if _, err := n.services.Log.Append(ctx, stream, envelopes); err == nil {
			return
		}
		sleep(ctx, backOff.NextBackOff())
	}
}
