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
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// longPoll is how long a read of the log or the VM list waits for news. It
// bounds, with the client's time limit, how long a silent connection keeps
// news away.
const longPoll = 2 * time.Second

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
		var trimmed *services.TrimmedError
		if errors.As(err, &trimmed) && trimmed.Earliest > next {
			next = trimmed.Earliest
			n.Post(core.LogTrimmed{Earliest: next})
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

// poll calls step until the context ends. After failures it pauses, longer from
// one to the next.
func poll(ctx context.Context, step func() error) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if err := step(); err != nil {
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

// followVMs reads the VM list and turns its readings into events.
func (n *Node) followVMs(ctx context.Context) {
	var seen uint64
	list := vmList{}
	poll(ctx, func() error {
		listing, err := n.services.VMs.List(ctx, seen, longPoll)
		if err != nil || listing.Version == seen {
			return err
		}
		seen = listing.Version
		n.Post(core.VMsListed{Version: listing.Version, Rows: list.merge(listing)})
		return nil
	})
}

// vmList is the VM list as put together from its changes.
type vmList map[vocab.VMID]observe.Row

// merge takes a reading and returns all rows, sorted by name.
func (l vmList) merge(listing services.Listing) []observe.Row {
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

func row(vm services.VM) observe.Row {
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
