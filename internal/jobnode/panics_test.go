package jobnode

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
)

// memoryLog collects log events.
type memoryLog struct {
	mu     sync.Mutex
	events []job.LogEventID
}

func (l *memoryLog) Write(e job.LogEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e.ID)
}

func (l *memoryLog) DroppedLines() uint64 { return 0 }

func (l *memoryLog) count(id job.LogEventID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.events {
		if e == id {
			n++
		}
	}
	return n
}

// panickingStream is an empty stream whose next calls panic.
type panickingStream struct {
	loads, panics atomic.Int64
}

func (s *panickingStream) Load(context.Context) ([]job.Record, int64, error) {
	s.loads.Add(1)
	if s.panics.Add(-1) >= 0 {
		panic("malformed response")
	}
	return nil, 0, nil
}

func (s *panickingStream) Read(context.Context, int64, time.Duration, int) (ReadResult, error) {
	return ReadResult{}, nil
}

func (s *panickingStream) Append(context.Context, job.Append) AppendResult {
	return AppendResult{Outcome: job.OK}
}

// panickingOperators panics in the first call of each method.
type panickingOperators struct{ calls atomic.Int64 }

func (o *panickingOperators) FollowConfig(ctx context.Context, changed func(*job.Config), _ func(job.Wave), _ func(job.EvacuationsRead)) {
	if o.calls.Add(1) == 1 {
		panic("malformed record")
	}
	changed(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Open: true}}})
	<-ctx.Done()
}

func (o *panickingOperators) FollowWorkers(ctx context.Context, _ func(job.WorkersListed)) {
	<-ctx.Done()
}

// startNode runs a node until the test ends.
func startNode(t *testing.T, stream Stream, operators Operators, log Log) *Node {
	n := New(job.Identity{Node: "n", Incarnation: 1, CPUShare: 1}, job.Settings{MaxLease: time.Second}, Platform{Stream: stream, Operators: operators}, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

// TestPanicInACallDoesNotEndTheProcess: a response that makes the adapter panic counts as a
// failed call, and a follower that panics is started again.
func TestPanicInACallDoesNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	log, stream := &memoryLog{}, &panickingStream{}
	stream.panics.Store(1)
	n := startNode(t, stream, &panickingOperators{}, log)
	g.Eventually(n.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
	g.Expect(log.count(job.LogInternalError)).To(Equal(2))
	g.Expect(stream.loads.Load()).To(BeNumerically(">=", 2))
}

// TestPanicOfTheReducerDoesNotEndTheProcess: the node answers the call, reads the stream
// again and serves.
func TestPanicOfTheReducerDoesNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	log, stream := &memoryLog{}, &panickingStream{}
	n := startNode(t, stream, &panickingOperators{}, log)
	g.Eventually(n.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
	panicsBefore, loadsBefore := log.count(job.LogInternalError), stream.loads.Load()

	n.post(job.ConfigRead{})
	g.Eventually(func() int { return log.count(job.LogInternalError) }).Should(Equal(panicsBefore + 1))
	g.Eventually(n.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
	g.Expect(stream.loads.Load()).To(BeNumerically(">", loadsBefore))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := n.Call(ctx, "", func(id job.CallID) event.Event {
		return job.Backlog{Call: id, Host: "h", Path: "/q/"}
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Answer).To(Equal(job.Accepted))
}
