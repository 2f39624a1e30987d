package task

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// goldenSession is a controller with a log, both driven by a script in testdata.
type goldenSession struct {
	c   *Controller
	log []record.Sequenced
	// lastAppend is the last append that the controller emitted.
	lastAppend AppendRecords
}

// TestGolden replays the sessions in testdata. Each command gives its time in
// milliseconds and prints the controller's effects. Run with -rewrite to update
// the expected output.
//
//	submit ms=N id=T [idempotent] [urgent]    cancel ms=N ids=(T,...)
//	tick ms=N    read ms=N    read-failed ms=N    workers ms=N names=(W,...) [milli=N]
//	appended ms=N [code=C] [lost]   outcome of the last append; lost: not on the log
//	foreign ms=N                    records of other nodes: kind and JSON, one a line
//	answer ms=N order=N code=C [task=T attempt=N phase=P]
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/golden", func(t *testing.T, path string) {
		sim := &simulation{}
		s := &goldenSession{c: sim.newNode(0, 1).c}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms int
			d.ScanArgs(t, "ms", &ms)
			e := s.event(t, d, vocab.Instant(ms)*vocab.Instant(time.Millisecond))
			if e == nil {
				return "ok\n"
			}
			var out strings.Builder
			for _, f := range s.c.Step(vocab.Instant(ms)*vocab.Instant(time.Millisecond), e) {
				s.print(&out, f)
			}
			if d.Cmd == "read" {
				s.printTasks(&out)
			}
			return out.String()
		})
	})
}

func (s *goldenSession) event(t *testing.T, d *datadriven.TestData, now vocab.Instant) event.Event {
	switch d.Cmd {
	case "submit":
		a := record.TaskAccepted{Queue: "q", Team: "a", Size: record.TaskSize{MilliCPU: 1000, MemoryBytes: 1 << 30}}
		d.ScanArgs(t, "id", (*string)(&a.Task))
		a.Idempotent, a.Urgent = d.HasArg("idempotent"), d.HasArg("urgent")
		return SubmitRequested{Request: 1, Task: a, Deadline: now.Add(3 * time.Second)}
	case "cancel":
		var ids []string
		d.ScanArgs(t, "ids", &ids)
		e := CancelRequested{Request: 2, Deadline: now.Add(3 * time.Second)}
		for _, id := range ids {
			e.Tasks = append(e.Tasks, vocab.TaskID(id))
		}
		return e
	case "tick":
		return Tick{}
	case "read":
		return RecordsRead{Records: s.log[s.c.NextOffset()-1:], Next: vocab.Offset(len(s.log) + 1)}
	case "read-failed":
		return ReadFailed{}
	case "workers":
		return s.workers(t, d)
	case "appended":
		return s.appended(t, d)
	case "answer":
		return s.answer(t, d)
	default:
		s.foreign(t, d)
		return nil
	}
}

func (s *goldenSession) workers(t *testing.T, d *datadriven.TestData) event.Event {
	var names []string
	d.ScanArgs(t, "names", &names)
	milli := 2000
	d.MaybeScanArgs(t, "milli", &milli)
	var e WorkersListed
	for _, n := range names {
		e.Workers = append(e.Workers, worker.Info{Worker: vocab.VMID(n), Incarnation: 1, Capacity: record.TaskSize{MilliCPU: int64(milli), MemoryBytes: 4 << 30}})
	}
	return e
}

func (s *goldenSession) appended(t *testing.T, d *datadriven.TestData) event.Event {
	code := string(Appended)
	d.MaybeScanArgs(t, "code", &code)
	if !d.HasArg("lost") {
		for _, e := range s.lastAppend.Records {
			s.log = append(s.log, record.Sequenced{Offset: vocab.Offset(len(s.log) + 1), Envelope: e})
		}
	}
	return AppendCompleted{Batch: s.lastAppend.Batch, Code: AppendCode(code)}
}

func (s *goldenSession) answer(t *testing.T, d *datadriven.TestData) event.Event {
	var order, attempt int
	var code, phase, id string
	d.ScanArgs(t, "order", &order)
	d.ScanArgs(t, "code", &code)
	e := OrderCompleted{Order: OrderID(order), Answer: worker.Answer{Code: worker.Code(code)}}
	if d.MaybeScanArgs(t, "phase", &phase) {
		d.ScanArgs(t, "task", &id)
		d.ScanArgs(t, "attempt", &attempt)
		ref := worker.AttemptRef{Task: vocab.TaskID(id), Attempt: record.Attempt(attempt)}
		e.Answer.Attempts = []worker.AttemptReport{{AttemptRef: ref, Phase: worker.AttemptPhase(phase)}}
	}
	return e
}

func (s *goldenSession) foreign(t *testing.T, d *datadriven.TestData) {
	for _, line := range strings.Split(d.Input, "\n") {
		kind, body, _ := strings.Cut(line, " ")
		offset := vocab.Offset(len(s.log) + 1)
		e := record.Envelope{ID: vocab.RecordID(fmt.Sprint("f", offset)), Kind: record.Kind(kind), Body: json.RawMessage(body)}
		s.log = append(s.log, record.Sequenced{Offset: offset, Envelope: e})
	}
}

func (s *goldenSession) print(out *strings.Builder, f event.Effect) {
	switch f := f.(type) {
	case AppendRecords:
		s.lastAppend = f
		fmt.Fprintf(out, "append batch=%d not-after=%s\n", f.Batch, time.Duration(f.NotAfter))
		for _, e := range f.Records {
			fmt.Fprintf(out, "  %s %s\n", e.Kind, e.Body)
		}
	case OrderWorker:
		fmt.Fprintf(out, "order %d: %s %v on %s epoch=%d not-after=%s\n", f.Order, f.To.Kind, f.To.Attempts, f.To.Worker, f.To.Epoch, time.Duration(f.NotAfter))
	default:
		fmt.Fprintf(out, "%T %+v\n", f, f)
	}
}

func (s *goldenSession) printTasks(out *strings.Builder) {
	l := s.c.Ledger()
	fmt.Fprintf(out, "offset %d owner %s epoch %d digest %016x\n", l.Offset(), l.owner.Node, l.owner.Epoch, l.Digest())
	for _, t := range l.sortedTasks() {
		fmt.Fprintf(out, "  %s %s attempt=%d %s%s\n", t.Task, t.State, t.Attempt, t.Result, t.Reason)
	}
}
