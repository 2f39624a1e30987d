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
	// taskPoll is how long a read of the task stream waits for news. Two reads
	// have to fit into task.MaxReadInterval, also when the log is slow.
	taskPoll = task.MaxReadInterval / 2
	// usagePoll is how long a worker may hold back a report without news.
	usagePoll = 10 * time.Second
	// ownerPoll is the time between two looks at whether this node owns the tasks.
	ownerPoll = 500 * time.Millisecond
)

// CallTasks hands a call about tasks to the reducer and waits for its answer.
// It fails with ErrStopped or the context's error.
func (n *Node) CallTasks(ctx context.Context, build func(vocab.RequestID) core.TaskCall) (core.TaskResponse, error) {
	id, answer := n.calls.open()
	defer n.calls.close(id)
	n.Post(build(vocab.RequestID(id)))
	return await[core.TaskResponse](ctx, n, answer)
}

// followTasks reads the task stream and turns its records into events.
func (n *Node) followTasks(ctx context.Context) {
	next := vocab.Offset(1)
	poll(ctx, func() error {
		batch, err := n.services.Log.Read(ctx, core.TaskStream, next, taskPoll)
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

// tooLate reports whether the time of an effect has passed. It is asked last
// thing before the write.
func (n *Node) tooLate(notAfter vocab.Instant) bool {
	return n.now() > notAfter
}

// appendTasks appends once.
func (n *Node) appendTasks(e task.AppendRecords) {
	if n.tooLate(e.NotAfter) {
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

// orderWorker gives an order once.
func (n *Node) orderWorker(e task.OrderWorker) {
	answer := worker.Answer{Code: worker.NotSent}
	if n.services.Workers != nil && !n.tooLate(e.NotAfter) {
		var err error
		answer, err = n.services.Workers.Order(context.Background(), e.To)
		if err != nil {
			answer = worker.Answer{Code: worker.NoAnswer}
		}
	}
	n.Post(task.OrderCompleted{Order: e.Order, Answer: answer})
}

// followWorkers reads the list of workers, and while this node owns the tasks
// the reports of each worker.
func (n *Node) followWorkers(ctx context.Context) {
	var seen uint64
	reports := newReportReaders(n)
	defer reports.stopAll()
	go n.watchOwnership(ctx, reports)
	poll(ctx, func() error {
		listing, err := n.services.Workers.List(ctx, seen, longPoll)
		if err != nil || listing.Version == seen {
			return err
		}
		seen = listing.Version
		n.Post(task.WorkersListed{Workers: listing.Workers})
		reports.setWorkers(ctx, listing.Workers)
		return nil
	})
}

// watchOwnership starts and stops the reading of reports with the ownership.
func (n *Node) watchOwnership(ctx context.Context, reports *reportReaders) {
	for ctx.Err() == nil {
		var owns bool
		if err := n.Read(func(s *core.State) { owns = s.OwnsTasks() }); err != nil {
			return
		}
		reports.setOwner(ctx, owns)
		sleep(ctx, ownerPoll)
	}
}

// reportReaders runs one reader for each worker while the node owns the tasks.
type reportReaders struct {
	node    *Node
	mu      sync.Mutex
	owns    bool
	workers []worker.Info
	cancel  map[vocab.VMID]context.CancelFunc
}

func newReportReaders(n *Node) *reportReaders {
	return &reportReaders{node: n, cancel: map[vocab.VMID]context.CancelFunc{}}
}

func (r *reportReaders) setWorkers(ctx context.Context, workers []worker.Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = workers
	r.adjust(ctx)
}

func (r *reportReaders) setOwner(ctx context.Context, owns bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owns != owns {
		r.owns = owns
		r.adjust(ctx)
	}
}

func (r *reportReaders) stopAll() {
	r.setOwner(context.Background(), false)
}

// adjust starts missing readers and stops those of workers that went.
func (r *reportReaders) adjust(ctx context.Context) {
	wanted := map[vocab.VMID]worker.Info{}
	if r.owns {
		for _, w := range r.workers {
			wanted[w.Worker] = w
		}
	}
	for name, cancel := range r.cancel {
		if _, ok := wanted[name]; !ok {
			cancel()
			delete(r.cancel, name)
		}
	}
	for name, w := range wanted {
		if _, ok := r.cancel[name]; !ok {
			reading, cancel := context.WithCancel(ctx)
			r.cancel[name] = cancel
			go r.node.readReports(reading, w)
		}
	}
}

// readReports turns one worker's reports into events.
func (n *Node) readReports(ctx context.Context, w worker.Info) {
	var after uint64
	poll(ctx, func() error {
		usage, err := n.services.Workers.Usage(ctx, w.Worker, after, usagePoll)
		if err != nil || usage.Sequence == after {
			return err
		}
		after = usage.Sequence
		n.Post(task.WorkerReported{Worker: w.Worker, Incarnation: w.Incarnation, Usage: usage})
		return nil
	})
}
