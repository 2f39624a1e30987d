// Package jobnode runs the job service of an entry node. It carries out the effects of the
// reducer in package job through interfaces and posts the results to the reducer as
// events. An adapter implements the interfaces for the platform of a deployment.
package jobnode

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// Stream is a compacted log: it retains the newest record of each key forever.
type Stream interface {
	// Load returns the newest record of each key and an offset. Every record that is missing
	// from the result can be read from this offset on.
	Load(ctx context.Context) ([]job.Record, int64, error)
	// Read returns records from an offset on, at least one and at most maxBytes of them. If
	// there is none, it waits up to wait. It fails with ErrTrimmed if the stream no longer
	// retains the offset.
	Read(ctx context.Context, from int64, wait time.Duration, maxBytes int) (ReadResult, error)
	// Append appends records in order and contiguously.
	Append(ctx context.Context, a job.Append) AppendResult
}

// ReadResult is the result of Stream.Read.
type ReadResult struct {
	Records []job.Record
	// Next is the offset of the next read, End the end of the stream.
	Next, End int64
}

// AppendResult is the result of Stream.Append.
type AppendResult struct {
	Outcome job.Outcome
	// Offset is the offset of the first appended record, End the end of the stream.
	Offset, End int64
	Err         error
}

// Directory is a compacted log that lists the nodes.
type Directory interface {
	// FollowDirectory calls read with the newest record of each key, and with the result of
	// each later read, until ctx ends.
	FollowDirectory(ctx context.Context, read func(job.DirectoryRead))
	// WriteDirectory appends records.
	WriteDirectory(ctx context.Context, records []job.Record) AppendResult
}

// Operators delivers the operators' configuration and waves, and the list of workers. Each
// method blocks until ctx ends.
type Operators interface {
	// FollowConfig calls evacuations after each read, then changed with each newer configuration
	// and wave with each wave of that read.
	FollowConfig(ctx context.Context, changed func(*job.Config), wave func(job.Wave), evacuations func(job.EvacuationsRead))
	// FollowWorkers calls changed with the list of workers and with each change of it.
	FollowWorkers(ctx context.Context, changed func(job.WorkersListed))
}

// Workers sends orders to workers. The node sets SentAt and ReceivedAt in the results.
type Workers interface {
	Poll(ctx context.Context, o job.Poll) job.Polled
	Start(ctx context.Context, o job.Start) job.StartAnswered
	Stop(ctx context.Context, o job.Stop) job.StopAnswered
	// Throttle throttles a run to a CPU share.
	Throttle(ctx context.Context, o job.Throttle) error
}

// Peers calls the other nodes.
type Peers interface {
	// Forward forwards a caller's call to the node at an address and returns the reply. The
	// outcome says whether a failed call may have been carried out.
	Forward(ctx context.Context, address string, r job.Request) (job.Reply, job.Outcome, error)
	// OfferOwnership offers the ownership of the workers to the node at an address. fence is the
	// owner's fencing token.
	OfferOwnership(ctx context.Context, address string, fence job.Fence) error
	// PrepareHandover asks a node to prepare for the ownership, and reports whether it is ready for
	// it and how many of the probed workers it reaches.
	PrepareHandover(ctx context.Context, e job.PrepareHandover) (ready bool, reached int, err error)
}

// Platform holds the interfaces through which a node uses its platform.
type Platform struct {
	Stream    Stream
	Operators Operators
	Workers   Workers
	Machines  Machines
	Advisor   Advisor
	// Directory may be nil if the settings have no directory.
	Directory Directory
	// Peers may be nil if calls are not forwarded.
	Peers Peers
}
