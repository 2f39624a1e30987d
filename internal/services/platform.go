// Package services is the boundary to the platform's services: the append-only
// log, the VM list, the pools and the workers. It declares the interfaces that
// the rest of the program uses, the messages of the services' HTTP protocol,
// and clients for them. Package standin serves the same protocol in tests.
package services

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrUnavailable means that a service gave no answer or answered that it is
// down. Whether the call had an effect is unknown.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrTrimmed means that the log no longer keeps the offset that was asked for.
var ErrTrimmed = errors.New("log records before the earliest kept offset are gone")

// TrimmedError is the ErrTrimmed of one read.
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

// ErrStaleEpoch means that an order carried a lower epoch than the receiver
// has already seen.
var ErrStaleEpoch = errors.New("order carries a stale epoch")

// ErrRejected means that a service refused a call as malformed or forbidden.
// The call had no effect.
var ErrRejected = errors.New("platform service rejected the call")

// Log is the append-only log service. Streams come into being with their first
// record.
type Log interface {
	// Append adds records to the end of a stream, in order and without others
	// between them, and returns the offset of the first. On ErrUnavailable the
	// records may have been appended all the same.
	Append(ctx context.Context, stream vocab.StreamID, records []record.Envelope) (vocab.Offset, error)
	// Read returns records from the offset on. With none to return it waits for
	// up to wait. It fails with a TrimmedError if the offset is no longer kept.
	Read(ctx context.Context, stream vocab.StreamID, from vocab.Offset, wait time.Duration) (Batch, error)
}

// Batch is the result of one read of a stream.
type Batch struct {
	Records []record.Sequenced `json:"records"`
	// Earliest is the earliest offset that the log still keeps.
	Earliest vocab.Offset `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next vocab.Offset `json:"next"`
}

// VMPhase is what the VM list says of a VM.
type VMPhase string

const (
	// VMLive means that the VM runs.
	VMLive VMPhase = "live"
	// VMLeaving means that the VM is about to stop and must get no new work.
	VMLeaving VMPhase = "leaving"
	// VMGone means that the VM no longer exists.
	VMGone VMPhase = "gone"
)

// VM is one row of the VM list. The list lags behind the VMs.
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
	// List returns the VMs that changed after the version since, or all of them
	// for since 0 or a version that the list no longer knows. With nothing to
	// return it waits for up to wait.
	List(ctx context.Context, since uint64, wait time.Duration) (Listing, error)
}

// Listing is one reading of the VM list.
type Listing struct {
	// Version grows with every change of the list.
	Version uint64 `json:"version"`
	// Full is set if VMs holds every VM, not only those that changed.
	Full bool `json:"full"`
	VMs  []VM `json:"vms"`
}

// Pools carries out orders on the VMs of pools. Every order carries the epoch
// of its giver; an order with a lower epoch than one already seen fails with
// ErrStaleEpoch. Orders are idempotent under their epoch and VM incarnation.
type Pools interface {
	// Drain tells the platform that the VM will get no more work.
	Drain(ctx context.Context, order VMOrder) error
	// Reboot restarts a VM; the VM list shows it with a later incarnation.
	Reboot(ctx context.Context, order VMOrder) error
	// Assign puts a VM into another pool.
	Assign(ctx context.Context, order VMOrder, pool vocab.PoolID) error
}

// VMOrder addresses one VM under the epoch of the order's giver.
type VMOrder struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Epoch       vocab.Epoch         `json:"epoch"`
}
