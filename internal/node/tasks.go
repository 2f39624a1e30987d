package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

const (
	// taskReadWait is the time for which a read of the task stream waits for records. It
	// is half of task.MaxReadInterval, so that two reads fit into the interval even if
	// the log is slow.
	taskReadWait = task.MaxReadInterval / 2
	// usageReadWait is the time for which a read of a worker's usage waits for a new
	// report.
	usageReadWait = 10 * time.Second
	// ownershipPollInterval is the time between two checks whether this node owns
	// the tasks.
	ownershipPollInterval = 500 * time.Millisecond
)

// CallTasks passes a call about tasks to the reducer and waits for the response.
// The function build returns the call for a request ID. CallTasks fails with
// ErrStopped or the context's error.
func (n *Node) CallTasks(ctx context.Context, build func(vocab.RequestID) core.TaskCall) (core.TaskResponse, error) {
	id, reply := n.calls.open()
	defer n.calls.close(id)
	n.Post(build(vocab.RequestID(id)))
	return awaitReply[core.TaskResponse](ctx, n, reply)
}

// followTasks reads the task stream until the context ends and posts its records
// as events.
func (n *Node) followTasks(ctx context.Context) {
	next := vocab.Offset(1)
	poll(ctx, func() error {
		batch, err := n.services.Log.Read(ctx, core.TaskStream, next, taskReadWait)
		var trimmed *services.TrimmedError
		if errors.As(err, &trimmed) && trimmed.Earliest > next {
			next = trimmed.Earliest
			n.Post(task.LogTrimmed{Earliest: next})
			return nil
		}
		if err != nil {
			n.Post(task.ReadFailed{})
			return err
		}
		next += vocab.Offset(len(batch.Records))
		n.Post(task.RecordsRead{Records: batch.Records, Next: batch.Next})
		return nil
	})
}

// isPast reports whether the latest instant for an effect has passed. It must be
// checked immediately before the write.
func (n *Node) isPast(notAfter vocab.Instant) bool {
	return n.now() > notAfter
}

// appendTaskRecords appends records at most once and posts the outcome.
func (n *Node) appendTaskRecords(e task.AppendRecords) {
	if n.isPast(e.NotAfter) {
		n.Post(task.AppendCompleted{Batch: e.Batch, Code: task.AppendNotSent})
		return
	}
	_, err := n.services.Log.Append(context.Background(), e.Stream, e.Records)
	n.Post(task.AppendCompleted{Batch: e.Batch, Code: appendCode(err)})
}

func appendCode(err error) task.AppendCode {
	switch {
	case err == nil:
		return task.Appended
	case errors.Is(err, services.ErrRejected):
		return task.AppendRejected
	default:
		return task.AppendUnknown
	}
}

// orderWorker sends an order to a worker at most once and posts the outcome.
func (n *Node) orderWorker(e task.OrderWorker) {
	answer := worker.Answer{Code: worker.NotSent}
	if n.services.Workers != nil && !n.isPast(e.NotAfter) {
		var err error
		answer, err = n.services.Workers.Order(context.Background(), e.To)
		if err != nil {
			answer = worker.Answer{Code: worker.NoAnswer}
		}
	}
	n.Post(task.OrderCompleted{Order: e.Order, Answer: answer})
}

// followWorkers reads the list of workers and, while this node owns the tasks, the
// reports of each worker. It runs until the context ends.
func (n *Node) followWorkers(ctx context.Context) {
	var lastVersion uint64
	reports := newReportReaders(n)
	defer reports.stopAll()
	go n.pollOwnership(ctx, reports)
	poll(ctx, func() error {
		listing, err := n.services.Workers.List(ctx, lastVersion, longPollWait)
		if err != nil || listing.Version == lastVersion {
			return err
		}
		lastVersion = listing.Version
		n.Post(task.WorkersListed{Workers: listing.Workers})
		reports.setWorkers(ctx, listing.Workers)
		return nil
	})
}

// pollOwnership polls whether this node owns the tasks, and starts and stops the
// readers accordingly.
func (n *Node) pollOwnership(ctx context.Context, reports *reportReaders) {
	for ctx.Err() == nil {
		var owns bool
		if err := n.Read(func(s *core.State) { owns = s.OwnsTasks() }); err != nil {
			return
		}
		reports.setOwner(ctx, owns)
		sleep(ctx, ownershipPollInterval)
	}
}

// reportReaders runs a reader of reports for each worker while the node owns the
// tasks.
type reportReaders struct {
	node    *Node
	mu      sync.Mutex
	isOwner bool
	workers []worker.Info
	cancels map[vocab.VMID]context.CancelFunc
}

func newReportReaders(n *Node) *reportReaders {
	return &reportReaders{node: n, cancels: map[vocab.VMID]context.CancelFunc{}}
}

func (r *reportReaders) setWorkers(ctx context.Context, workers []worker.Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = workers
	r.reconcile(ctx)
}

func (r *reportReaders) setOwner(ctx context.Context, owns bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOwner != owns {
		r.isOwner = owns
		r.reconcile(ctx)
	}
}

func (r *reportReaders) stopAll() {
	r.setOwner(context.Background(), false)
}

// reconcile starts missing readers and stops those that are no longer needed. The
// caller holds mu.
func (r *reportReaders) reconcile(ctx context.Context) {
	wanted := map[vocab.VMID]worker.Info{}
	if r.isOwner {
		for _, w := range r.workers {
			wanted[w.Worker] = w
		}
	}
	for name, cancel := range r.cancels {
		if _, ok := wanted[name]; !ok {
			cancel()
			delete(r.cancels, name)
		}
	}
	for name, w := range wanted {
		if _, ok := r.cancels[name]; !ok {
			readerCtx, cancel := context.WithCancel(ctx)
			r.cancels[name] = cancel
			go r.node.readReports(readerCtx, w)
		}
	}
}

// readReports reads the reports of a worker until the context ends and posts them
// as events.
func (n *Node) readReports(ctx context.Context, w worker.Info) {
	var after uint64
	poll(ctx, func() error {
		usage, err := n.services.Workers.Usage(ctx, w.Worker, after, usageReadWait)
		if err != nil || usage.Sequence == after {
			return err
		}
		after = usage.Sequence
		n.Post(task.WorkerReported{Worker: w.Worker, Incarnation: w.Incarnation, Usage: usage})
		return nil
	})
}
