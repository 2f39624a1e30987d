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

// unlimitedAccount is a placement.SlotAccount without upper limits.
type unlimitedAccount struct{}

func (unlimitedAccount) TryAcquire(vocab.TeamID) bool  { return true }
func (unlimitedAccount) AcquireOverLimit(vocab.TeamID) {}
func (unlimitedAccount) Release(vocab.TeamID)          {}

// TestTasksOverSockets runs a task controller with workers that it reaches over
// HTTP. One worker loses its answers, one fails all attempts, and on one all
// attempts hang. All tasks must finish, tasks that are not idempotent must start at
// most once, and the controller must quarantine the failing and the hanging worker
// and at most one other.
func TestTasksOverSockets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := NewService(clock)
	starts := map[vocab.TaskID]int{}
	faults := []Faults{{LoseAnswers: true}, {FailAll: true}, {HangAll: true}, {}, {}, {}, {}, {}, {}, {}}
	for i, f := range faults {
		w := New(worker.Info{
			Worker: vocab.VMID(fmt.Sprint("w", i)), Incarnation: 1, Capacity: record.TaskSize{MilliCPU: 4000, MemoryBytes: 8 << 30},
		}, func(worker.AttemptRef, worker.AttemptSpec) Behavior {
			return Behavior{Use: record.TaskSize{MilliCPU: 1000, MemoryBytes: 1 << 30}, RunTime: 2 * time.Second}
		})
		w.Faults = f
		w.OnStart = func(ref worker.AttemptRef, _ worker.AttemptSpec) { starts[ref.Task]++ }
		service.Add(w)
	}
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	quarantined := runController(t, clock, services.NewWorkersClient(server.URL), 120)
	if !quarantined["w1"] || !quarantined["w2"] || len(quarantined) > 3 {
		t.Errorf("quarantined: %v, want w1 and w2", quarantined)
	}
	for id, count := range starts {
		if id[0] == 'o' && count > 1 {
			t.Errorf("task %s is not idempotent and was started %d times", id, count)
		}
	}
}

// runController submits count tasks and runs a controller until all are finished.
// It returns the workers that the controller quarantined.
func runController(t *testing.T, clock *clockwork.FakeClock, client *services.WorkersClient, count int) map[vocab.VMID]bool {
	ctx := context.Background()
	c := task.NewController(task.Settings{
		Shard: "tasks/0", Node: "n0", Incarnation: 1, ResultRetention: time.Hour, MayOwn: true,
		Account: unlimitedAccount{}, Weight: func(vocab.TeamID) int { return 1 },
	})
	start := clock.Now()
	listing, err := client.List(ctx, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	var log []record.Sequenced
	quarantined := map[vocab.VMID]bool{}
	submitted := 0
	for round := 1; round < 4000; round++ {
		clock.Advance(100 * time.Millisecond)
		now := vocab.Instant(clock.Since(start))
		events := []any{task.WorkersListed{Workers: listing.Workers}, task.Tick{}}
		events = append(events, task.RecordsRead{Records: log[c.NextOffset()-1:], Next: vocab.Offset(len(log) + 1)})
		for _, info := range listing.Workers {
			if u, err := client.Usage(ctx, info.Worker, 0, 0); err == nil && round%10 == 0 {
				events = append(events, task.WorkerReported{Worker: info.Worker, Incarnation: 1, Usage: u})
			}
		}
		if submitted < count && round > 20 {
			events = append(events, submitRequested(submitted, now))
			submitted++
		}
		for len(events) > 0 {
			event := events[0]
			events = events[1:]
			for _, effect := range c.Step(now, event.(interface{ IsEvent() })) {
				switch effect := effect.(type) {
				case task.AppendRecords:
					for _, r := range effect.Records {
						log = append(log, record.Sequenced{Offset: vocab.Offset(len(log) + 1), Envelope: r})
					}
					events = append(events, task.AppendCompleted{Batch: effect.Batch, Code: task.Appended})
				case task.OrderWorker:
					events = append(events, task.OrderCompleted{Order: effect.Order, Answer: services.OrderAnswer(client.Order(ctx, effect.To))})
				case task.WorkerQuarantined:
					quarantined[effect.Worker] = true
				}
			}
		}
		if submitted == count && allFinished(c, count) {
			return quarantined
		}
	}
	t.Fatalf("tasks not finished: %+v", c.Status())
	return nil
}

// submitRequested returns the event that submits task i. Tasks with an even number are not
// idempotent; their names start with "o".
func submitRequested(i int, now vocab.Instant) task.SubmitRequested {
	name := []string{"o", "i"}[i%2]
	return task.SubmitRequested{Request: vocab.RequestID(i + 1), Deadline: now.Add(3 * time.Second), Task: record.TaskAccepted{
		Task: vocab.TaskID(fmt.Sprint(name, i)), Queue: "q", Team: "a", Idempotent: name == "i", RunTime: spec.Duration(2 * time.Second),
		Size: record.TaskSize{MilliCPU: 1000, MemoryBytes: 1 << 30},
	}}
}

func allFinished(c *task.Controller, count int) bool {
	s := c.Status()
	return s.Tasks == count && s.Waiting == 0 && s.Started == 0
}

// TestWorkerRefusesStaleOrders tests that a worker refuses orders with a lower epoch
// or for another incarnation, and the start of an attempt on which it has reported
// "never seen".
func TestWorkerRefusesStaleOrders(t *testing.T) {
	w := New(worker.Info{Incarnation: 2, Capacity: record.TaskSize{MilliCPU: 1, MemoryBytes: 1}}, func(worker.AttemptRef, worker.AttemptSpec) Behavior { return Behavior{} })
	send := func(kind worker.Kind, epoch vocab.Epoch, incarnation vocab.VMIncarnation, id vocab.TaskID) worker.Answer {
		answer, _ := w.Order(1, worker.Order{
			Kind: kind, Epoch: epoch, Incarnation: incarnation, Attempts: []worker.AttemptRef{{Task: id, Attempt: 1}}, Spec: &worker.AttemptSpec{},
		})
		return answer
	}
	send(worker.Query, 5, 2, "queried")
	for want, got := range map[any]any{
		worker.StaleEpoch:       send(worker.Start, 4, 2, "a").Code,
		worker.WrongIncarnation: send(worker.Start, 5, 1, "a").Code,
		worker.NeverSeen:        send(worker.Start, 5, 2, "queried").Attempts[0].Phase,
		worker.Running:          send(worker.Start, 6, 2, "a").Attempts[0].Phase,
	} {
		if got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}
