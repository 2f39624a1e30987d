// Package services defines the access to the platform's services: the append-only
// log, the VM list, the pools and the workers. It declares the interfaces that
// the rest of the program uses, the messages of the services' HTTP API, and
// clients for them. Package standin serves the same API in tests.
package services

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrUnavailable means that a service sent no complete response or responded with
// a server error. Whether the call had an effect is unknown.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrTrimmed means that the log no longer keeps the requested offset.
var ErrTrimmed = errors.New("log records before the earliest kept offset are gone")

// TrimmedError is an ErrTrimmed with the earliest offset that can still be read.
type TrimmedError struct {
	// Earliest is the earliest offset that the log still keeps.
	Earliest vocab.Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return ErrTrimmed.Error() + "; earliest kept offset is " + strconv.FormatUint(uint64(e.Earliest), 10)
}

// Is reports that every TrimmedError is an ErrTrimmed.
func (e *TrimmedError) Is(target error) bool {
	return target == ErrTrimmed
}

// ErrStaleEpoch means that the epoch of an order is lower than one that the
// receiver has already seen.
var ErrStaleEpoch = errors.New("order carries a stale epoch")

// ErrRejected means that a service refused a call as malformed or forbidden.
// The call had no effect.
var ErrRejected = errors.New("platform service rejected the call")

// Log is the append-only log service. A stream exists from its first record on.
type Log interface {
	// Append appends records to a stream, in order and without other records
	// between them, and returns the offset of the first. On ErrUnavailable the
	// records may nevertheless have been appended.
	Append(ctx context.Context, stream vocab.StreamID, records []record.Envelope) (vocab.Offset, error)
	// Read returns records from the offset on. If there are none, it waits for them
	// for up to wait. It fails with a TrimmedError if the log no longer keeps the
	// offset.
	Read(ctx context.Context, stream vocab.StreamID, from vocab.Offset, wait time.Duration) (Batch, error)
}

// Batch is the result of a read of a stream.
type Batch struct {
	Records []record.Sequenced `json:"records"`
	// Earliest is the earliest offset that the log still keeps.
	Earliest vocab.Offset `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next vocab.Offset `json:"next"`
}

// VMPhase is the phase of a VM in the VM list.
type VMPhase string

const (
	// VMLive means that the VM runs.
	VMLive VMPhase = "live"
	// VMLeaving means that the VM will stop soon and must get no new work.
	VMLeaving VMPhase = "leaving"
	// VMGone means that the VM no longer exists.
	VMGone VMPhase = "gone"
)

// VM is a row of the VM list. The list lags behind the actual state of the VMs.
type VM struct {
	Name        vocab.VMID          `json:"name"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Pool        vocab.PoolID        `json:"pool"`
	Region      vocab.RegionID      `json:"region"`
	Zone        vocab.ZoneID        `json:"zone"`
	Rack        vocab.RackID        `json:"rack"`
	// Address is the IP:port on which the VM serves requests.
	Address string  `json:"address"`
	Phase   VMPhase `json:"phase"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	// List returns the VMs that changed after the version since, or all VMs if
	// since is 0 or a version for which the list no longer has the changes. If
	// there is nothing to return, it waits for a change for up to wait.
	List(ctx context.Context, since uint64, wait time.Duration) (VMListing, error)
}

// VMListing is the result of a read of the VM list.
type VMListing struct {
	// Version grows with every change of the list.
	Version uint64 `json:"version"`
	// Full reports whether VMs holds all VMs and not only the changed ones.
	Full bool `json:"full"`
	VMs  []VM `json:"vms"`
}

// Pools executes orders for the VMs of pools. Each order carries the epoch of its
// sender as a fencing token: an order with a lower epoch than one already seen
// fails with ErrStaleEpoch. Orders with the same epoch and VM incarnation are
// idempotent.
type Pools interface {
	// Drain reports to the platform that the VM gets no more work.
	Drain(ctx context.Context, order VMOrder) error
	// Reboot restarts a VM. Afterwards the VM list shows a later incarnation.
	Reboot(ctx context.Context, order VMOrder) error
	// Assign moves a VM to another pool.
	Assign(ctx context.Context, order VMOrder, pool vocab.PoolID) error
}

// VMOrder holds the VM of an order and the epoch of the order's sender.
type VMOrder struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Epoch       vocab.Epoch         `json:"epoch"`
}
