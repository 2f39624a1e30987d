package workers

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

type openAccount struct{}

func (openAccount) TryAcquire(vocab.TeamID) bool  { return true }
func (openAccount) AcquireOverLimit(vocab.TeamID) {}
func (openAccount) Release(vocab.TeamID)          {}

// TestTasksOverSockets runs a controller against workers behind real sockets:
// one loses answers, one fails everything, one hangs. Every task ends, those
// that are not idempotent start at most once, and the failing worker and the
// hanging one are set aside.
func TestTasksOverSockets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := NewService(clock)
	starts := map[vocab.TaskID]int{}
	faults := []Faults{{LoseAnswers: true}, {FailAll: true}, {HangAll: true}, {}, {}, {}, {}, {}, {}, {}}
	for i, f := range faults {
		w := New(worker.Info{
			Worker: vocab.VMID(fmt.Sprint("w", i)), Incarnation: 1, Capacity: record.TaskSize{MilliCPU: 4000, MemoryBytes: 8 << 30},
		}, func(worker.AttemptRef, worker.AttemptSpec) Actual {
			return Actual{Use: record.TaskSize{MilliCPU: 1000, MemoryBytes: 1 << 30}, RunTime: 2 * time.Second}
		})
		w.Faults = f
		w.OnStart = func(ref worker.AttemptRef, _ worker.AttemptSpec) { starts[ref.Task]++ }
		service.Add(w)
	}
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	aside := drive(t, clock, services.NewWorkersClient(server.URL), 120)
	if !aside["w1"] || !aside["w2"] || len(aside) > 3 {
		t.Errorf("set aside: %v, want w1 and w2", aside)
	}
	for id, count := range starts {
		if id[0] == 'o' && count > 1 {
			t.Errorf("task %s is not idempotent and was started %d times", id, count)
		}
	}
}

// drive hands in tasks and steps a controller until all have ended.
func drive(t *testing.T, clock *clockwork.FakeClock, client *services.WorkersClient, count int) map[vocab.VMID]bool {
	ctx := context.Background()
	c := task.NewController(task.Settings{
		Shard: "tasks/0", Node: "n0", Incarnation: 1, ResultRetention: time.Hour, MayOwn: true,
		Account: openAccount{}, Weight: func(vocab.TeamID) int { return 1 },
	})
	start := clock.Now()
	listing, err := client.List(ctx, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	var log []record.Sequenced
	aside := map[vocab.VMID]bool{}
	accepted := 0
	for round := 1; round < 4000; round++ {
		clock.Advance(100 * time.Millisecond)
		now := vocab.Instant(clock.Since(start))
		queue := []any{task.WorkersListed{Workers: listing.Workers}, task.Tick{}}
		queue = append(queue, task.RecordsRead{Records: log[c.NextOffset()-1:], Next: vocab.Offset(len(log) + 1)})
		for _, info := range listing.Workers {
			if u, err := client.Usage(ctx, info.Worker, 0, 0); err == nil && round%10 == 0 {
				queue = append(queue, task.WorkerReported{Worker: info.Worker, Incarnation: 1, Usage: u})
			}
		}
		if accepted < count && round > 20 {
			queue = append(queue, submission(accepted, now))
			accepted++
		}
		for len(queue) > 0 {
			e := queue[0]
			queue = queue[1:]
			for _, f := range c.Step(now, e.(interface{ IsEvent() })) {
				switch f := f.(type) {
				case task.AppendRecords:
					for _, r := range f.Records {
						log = append(log, record.Sequenced{Offset: vocab.Offset(len(log) + 1), Envelope: r})
					}
					queue = append(queue, task.AppendCompleted{Batch: f.Batch, Code: task.Appended})
				case task.OrderWorker:
					queue = append(queue, task.OrderCompleted{Order: f.Order, Answer: services.OrderAnswer(client.Order(ctx, f.To))})
				case task.WorkerQuarantined:
					aside[f.Worker] = true
				}
			}
		}
		if accepted == count && done(c, count) {
			return aside
		}
	}
	t.Fatalf("not done: %+v", c.Status())
	return nil
}

func submission(i int, now vocab.Instant) task.SubmitRequested {
	// Tasks with names in "o" must run once.
	name := []string{"o", "i"}[i%2]
	return task.SubmitRequested{Request: vocab.RequestID(i + 1), Deadline: now.Add(3 * time.Second), Task: record.TaskAccepted{
		Task: vocab.TaskID(fmt.Sprint(name, i)), Queue: "q", Team: "a", Idempotent: name == "i", RunTime: spec.Duration(2 * time.Second),
		Size: record.TaskSize{MilliCPU: 1000, MemoryBytes: 1 << 30},
	}}
}

func done(c *task.Controller, count int) bool {
	s := c.Status()
	return s.Tasks == count && s.Waiting == 0 && s.Started == 0
}

// TestWorkerKeepsTheRulesOfOrders: a worker refuses lower epochs and other
// incarnations, and a start that follows its answer "never seen".
func TestWorkerKeepsTheRulesOfOrders(t *testing.T) {
	w := New(worker.Info{Incarnation: 2, Capacity: record.TaskSize{MilliCPU: 1, MemoryBytes: 1}}, func(worker.AttemptRef, worker.AttemptSpec) Actual { return Actual{} })
	give := func(kind worker.Kind, epoch vocab.Epoch, incarnation vocab.VMIncarnation, id vocab.TaskID) worker.Answer {
		answer, _ := w.Order(1, worker.Order{
			Kind: kind, Epoch: epoch, Incarnation: incarnation, Attempts: []worker.AttemptRef{{Task: id, Attempt: 1}}, Job: &worker.AttemptSpec{},
		})
		return answer
	}
	give(worker.Ask, 5, 2, "asked")
	for want, got := range map[any]any{
		worker.StaleEpoch:       give(worker.Start, 4, 2, "a").Code,
		worker.WrongIncarnation: give(worker.Start, 5, 1, "a").Code,
		worker.NeverSeen:        give(worker.Start, 5, 2, "asked").Attempts[0].Phase,
		worker.Running:          give(worker.Start, 6, 2, "a").Attempts[0].Phase,
	} {
		if got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}
