package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/platform"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// longPoll is how long a read of the log or the VM list waits for news. It
// bounds, with the client's time limit, how long a silent connection keeps
// news away.
const longPoll = 2 * time.Second

// appendLimit is the most records in one append.
const appendLimit = 256

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	return b
}

// followLog reads the fleet stream and turns its records into events.
func (n *Node) followLog(ctx context.Context) {
	next := vocab.Offset(1)
	pause := newBackoff()
	for ctx.Err() == nil {
		batch, err := n.services.Log.Read(ctx, shared.Stream, next, longPoll)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) && trimmed.Earliest > next {
			next = trimmed.Earliest
			n.Post(core.StreamBegins{Earliest: next})
			continue
		}
		if err != nil {
			n.Post(core.LogStatus{Up: false})
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		n.Post(core.LogStatus{Up: true})
		next += vocab.Offset(len(batch.Records))
		n.Post(core.RecordsRead{Records: batch.Records, CaughtUp: next == batch.Next})
	}
}

// followVMs reads the VM list and turns its readings into events.
func (n *Node) followVMs(ctx context.Context) {
	var seen uint64
	list := vmList{}
	pause := newBackoff()
	for ctx.Err() == nil {
		listing, err := n.services.VMs.List(ctx, seen, longPoll)
		if err != nil {
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		if listing.Version == seen {
			continue
		}
		seen = listing.Version
		n.Post(core.VMsListed{Version: listing.Version, Rows: list.merge(listing)})
	}
}

// vmList is the VM list as put together from its changes.
type vmList map[vocab.VMID]observe.Row

// merge takes a reading and returns all rows, sorted by name.
func (l vmList) merge(listing platform.Listing) []observe.Row {
	if listing.Full {
		clear(l)
	}
	for _, vm := range listing.VMs {
		l[vm.Name] = row(vm)
	}
	out := slices.Collect(maps.Values(l))
	slices.SortFunc(out, func(a, b observe.Row) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func row(vm platform.VM) observe.Row {
	return observe.Row{
		Name:        vm.Name,
		Incarnation: vm.Incarnation,
		Pool:        vm.Pool,
		Region:      vm.Region,
		Zone:        vm.Zone,
		Rack:        vm.Rack,
		Address:     vm.Address,
		Phase:       observe.ListPhase(vm.Phase),
	}
}

// appendRecords appends what the reducer asks for, in batches, until the log
// has answered. A record appended twice has one ID and is folded once.
func (n *Node) appendRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.appends:
			n.appendBatch(ctx, n.moreAppends(first))
		}
	}
}

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

func (n *Node) appendBatch(ctx context.Context, batch []core.Append) {
	byStream := map[vocab.StreamID][]record.Envelope{}
	for _, a := range batch {
		envelope, err := record.Encode(a.ID, a.Body)
		if err != nil {
			n.services.Events.Warn(core.NoticeFoldStopped, string(a.ID), err)
			continue
		}
		byStream[a.Stream] = append(byStream[a.Stream], envelope)
	}
	for stream, envelopes := range byStream {
		n.appendUntilAnswered(ctx, stream, envelopes)
	}
}

func (n *Node) appendUntilAnswered(ctx context.Context, stream vocab.StreamID, envelopes []record.Envelope) {
	pause := newBackoff()
	for ctx.Err() == nil {
		_, err := n.services.Log.Append(ctx, stream, envelopes)
		if err == nil {
			n.unappended.Add(-int64(len(envelopes)))
			return
		}
		sleep(ctx, pause.NextBackOff())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
