package services

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Workers is the platform's list of workers and the access to each worker.
type Workers interface {
	// List returns all workers. If since is the current version of the list, it
	// waits for a change for up to wait.
	List(ctx context.Context, since uint64, wait time.Duration) (WorkerListing, error)
	// Order sends an order once; the client never repeats it. On ErrUnavailable the
	// order may nevertheless have taken effect. A refusal by the worker is an
	// Answer, not an error.
	Order(ctx context.Context, order worker.Order) (worker.Answer, error)
	// Usage returns the worker's next report after the sequence number. If there is
	// none, it waits for up to wait.
	Usage(ctx context.Context, name vocab.VMID, after uint64, wait time.Duration) (worker.Usage, error)
}

// WorkerListing is the result of a read of the list of workers.
type WorkerListing struct {
	// Version grows with every change of the list.
	Version uint64        `json:"version"`
	Workers []worker.Info `json:"workers"`
}
