package task

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const benchmarkTasks = 100_000

// acceptedRecords returns a stream with a claim by node n0 and count waiting
// tasks.
func acceptedRecords(count int) []record.Sequenced {
	bodies := []record.Body{record.TaskOwnerClaimed{Shard: testShard, Node: "n0", Incarnation: 1}}
	for i := range count {
		bodies = append(bodies, record.TaskAccepted{
			Task: vocab.TaskID(fmt.Sprintf("%032x", i)), Queue: vocab.QueueID(fmt.Sprint("queue", i%74)),
			Team: vocab.TeamID(fmt.Sprint("team", i%570)), Idempotent: i%2 == 0, RunTime: spec.Duration(time.Minute),
			IdempotencyKey: fmt.Sprint("key", i), Body: make([]byte, 256),
			Size: record.TaskSize{MilliCPU: 1000, MemoryBytes: 1 << 30},
		})
	}
	list := make([]record.Sequenced, 0, len(bodies))
	for i, b := range bodies {
		e, err := record.Encode(vocab.RecordID(fmt.Sprint("r", i)), b)
		if err != nil {
			panic(err)
		}
		list = append(list, record.Sequenced{Offset: vocab.Offset(i + 1), Envelope: e})
	}
	return list
}

// ownerOf returns the controller of node n0 after it read a stream in one read.
func ownerOf(list []record.Sequenced) *Controller {
	sim := &simulation{}
	c := sim.newNode(0, 1).c
	c.Step(0, RecordsRead{Records: list, Next: list[len(list)-1].Offset + 1})
	return c
}

// BenchmarkWaiting100000 measures the heap of an owner with 100,000 waiting tasks.
func BenchmarkWaiting100000(b *testing.B) {
	list := acceptedRecords(benchmarkTasks)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := ownerOf(list)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		if c.Status().Waiting != benchmarkTasks {
			b.Fatal(c.Status())
		}
	}
}

// BenchmarkRecovery100000 measures the recovery of an owner with 100,000 tasks from
// a snapshot and 20,000 records after it, until it can place the tasks.
func BenchmarkRecovery100000(b *testing.B) {
	list := acceptedRecords(benchmarkTasks)
	at := benchmarkTasks - 20_000
	ledger := NewLedger(testShard)
	for _, s := range list[:at] {
		if _, err := ledger.Fold(s); err != nil {
			b.Fatal(err)
		}
	}
	chunks, err := ledger.Snapshot()
	must(b, err)
	tail := list[at:]
	next := list[len(list)-1].Offset
	bodies := make([]record.Body, 0, len(chunks)+1)
	for _, chunk := range chunks {
		bodies = append(bodies, chunk)
	}
	bodies = append(bodies, record.TaskSnapshotDone{Offset: ledger.Offset(), Parts: len(chunks)})
	for _, body := range bodies {
		next++
		e, err := record.Encode(vocab.RecordID(fmt.Sprint("s", next)), body)
		must(b, err)
		tail = append(tail, record.Sequenced{Offset: next, Envelope: e})
	}
	b.ResetTimer()
	for range b.N {
		if c := ownerOf(tail); c.Status().Waiting != benchmarkTasks {
			b.Fatal(c.Status())
		}
	}
}

// BenchmarkSnapshot100000 measures the encoding of a snapshot of 100,000 waiting
// tasks.
func BenchmarkSnapshot100000(b *testing.B) {
	c := ownerOf(acceptedRecords(benchmarkTasks))
	b.ResetTimer()
	for range b.N {
		_, err := c.loader.ledger.Snapshot()
		must(b, err)
	}
}
