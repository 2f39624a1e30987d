package services

import (
	"context"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Workers reaches the platform's workers.
type Workers interface {
	// List returns all workers. With since equal to the version last seen it
	// waits for a change for up to wait.
	List(ctx context.Context, since uint64, wait time.Duration) (WorkerListing, error)
	// Order sends one order. On ErrUnavailable the order may have taken effect;
	// it is sent once and never repeated by the client. A refusal by the worker
	// is an Answer, not an error.
	Order(ctx context.Context, order worker.Order) (worker.Answer, error)
	// Usage returns the worker's next report after the sequence number. With
	// nothing new it waits for up to wait.
	Usage(ctx context.Context, name vocab.VMID, after uint64, wait time.Duration) (worker.Usage, error)
}

// WorkerListing is one reading of the list of workers.
type WorkerListing struct {
	// Version grows with every change of the list.
	Version uint64        `json:"version"`
	Workers []worker.Info `json:"workers"`
}
