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

// longPollWait is the time for which a read of the fleet stream or of a list
// waits for changes. Together with the client's timeout it bounds the time for
// which a connection that has stopped working delays updates.
const longPollWait = 2 * time.Second

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	return b
}

// followLog reads the fleet stream until the context ends and posts its records
// as events.
func (n *Node) followLog(ctx context.Context) {
	next := vocab.Offset(1)
	backOff := newBackoff()
	for ctx.Err() == nil {
		batch, err := n.services.Log.Read(ctx, shared.Stream, next, longPollWait)
		var trimmed *services.TrimmedError
		if errors.As(err, &trimmed) && trimmed.Earliest > next {
			next = trimmed.Earliest
			n.Post(core.LogTrimmed{Earliest: next})
			continue
		}
		if err != nil {
			n.Post(core.LogStatus{Up: false})
			sleep(ctx, backOff.NextBackOff())
			continue
		}
		backOff.Reset()
		n.Post(core.LogStatus{Up: true})
		next += vocab.Offset(len(batch.Records))
		n.Post(core.RecordsRead{Records: batch.Records, CaughtUp: next == batch.Next})
	}
}

// poll calls step until the context ends. It waits after a failure, with
// exponential backoff.
func poll(ctx context.Context, step func() error) {
	backOff := newBackoff()
	for ctx.Err() == nil {
		if err := step(); err != nil {
			sleep(ctx, backOff.NextBackOff())
			continue
		}
		backOff.Reset()
	}
}

// followVMs reads the VM list until the context ends and posts the complete list
// after each change.
func (n *Node) followVMs(ctx context.Context) {
	var lastVersion uint64
	table := vmTable{}
	poll(ctx, func() error {
		listing, err := n.services.VMs.List(ctx, lastVersion, longPollWait)
		if err != nil || listing.Version == lastVersion {
			return err
		}
		lastVersion = listing.Version
		n.Post(core.VMsListed{Version: listing.Version, Rows: table.merge(listing)})
		return nil
	})
}

// vmTable is the VM list as assembled from complete listings and changes.
type vmTable map[vocab.VMID]observe.Row

// merge applies a listing and returns all rows, sorted by name.
func (t vmTable) merge(listing services.VMListing) []observe.Row {
	if listing.Full {
		clear(t)
	}
	for _, vm := range listing.VMs {
		t[vm.Name] = toRow(vm)
	}
	out := slices.Collect(maps.Values(t))
	slices.SortFunc(out, func(a, b observe.Row) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func toRow(vm services.VM) observe.Row {
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

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
