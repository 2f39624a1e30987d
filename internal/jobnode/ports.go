// Package jobnode runs the jobs side of one entry node: it carries out the
// effects of the reducer in package job through ports and turns outcomes into
// events. An adapter implements the ports for a deployment's platform.
package jobnode

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// Stream is the log that keeps the newest record of each key for good.
type Stream interface {
	// Load returns the newest record of each key, and an offset from which
	// everything that the result may lack can be read.
	Load(ctx context.Context) ([]job.Record, int64, error)
	// Read returns records from an offset on. With none it waits for up to
	// wait. It fails with ErrTrimmed if the offset is no longer kept.
	Read(ctx context.Context, from int64, wait time.Duration) (ReadResult, error)
	// Append adds records, in order and without others between them.
	Append(ctx context.Context, a job.Append) AppendResult
}

// ReadResult is the result of one read.
type ReadResult struct {
	Records []job.Record
	// Next is the offset to read from, End where the stream ends.
	Next, End int64
}

// AppendResult is the result of one append.
type AppendResult struct {
	Outcome     job.Outcome
	Offset, End int64
	Err         error
}

// Operators follows what operators and workers publish. Each function blocks
// until ctx ends.
type Operators interface {
	// FollowConfig passes each newer configuration and each wave on.
	FollowConfig(ctx context.Context, changed func(*job.Config), wave func(job.Wave))
	// FollowWorkers passes the list of workers and its changes on.
	FollowWorkers(ctx context.Context, changed func(job.WorkersListed))
}

// Workers gives orders to workers. The results carry everything but the
// times, which the node adds.
type Workers interface {
	Poll(ctx context.Context, o job.Poll) job.Polled
	Start(ctx context.Context, o job.Start) job.StartAnswered
	Stop(ctx context.Context, o job.Stop) job.StopAnswered
	Pace(ctx context.Context, o job.Throttle) error
}

// Peers reaches the other nodes.
type Peers interface {
	// Pass has the node at an address answer a caller's call.
	Pass(ctx context.Context, address string, r job.Request) (job.Reply, job.Outcome, error)
	// Offer offers the ownership of the workers to the node at an address.
	Offer(ctx context.Context, address string, fence job.Fence) error
}

// Platform is all that a node needs of its platform.
type Platform struct {
	Stream    Stream
	Operators Operators
	Workers   Workers
	Machines  Machines
	Advisor   Advisor
	// Peers may be nil: then calls are not passed on.
	Peers Peers
}
