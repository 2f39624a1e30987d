package tasks

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/standin/workers"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

const (
	// tick is the step of the virtual clock.
	tick = 100 * time.Millisecond
	// window is the time over which shares are compared.
	window = 10 * time.Second
	// warmUp is left out of use and shares.
	warmUp = time.Minute
	// reportEvery is the time between a worker's reports, and their lag.
	reportEvery = time.Second
	// faultsAt is when workers begin to misbehave, and rackLostAt when a rack
	// restarts.
	faultsAt   = 2 * time.Minute
	rackLostAt = 4 * time.Minute
	rackSize   = 4
	// Of 100 workers, some fail all, some hang and some don't answer.
	failPercent, hangPercent, silentPercent = 3, 1, 1
)

func useBound(o Options) float64 {
	length := (o.Length - warmUp).Seconds()
	faulty := max(0, (o.Length - faultsAt).Seconds())
	return 1 - faulty/length*(failPercent+hangPercent+silentPercent)/100
}

// openAccount has no upper limits.
type openAccount struct{}

func (openAccount) TryAcquire(vocab.TeamID) bool  { return true }
func (openAccount) AcquireOverLimit(vocab.TeamID) {}
func (openAccount) Release(vocab.TeamID)          {}

// trial is one policy on one workload.
type trial struct {
	o       Options
	policy  Policy
	load    *workload
	c       *task.Controller
	now     vocab.Instant
	log     []record.Sequenced
	workers []*workers.Worker
	byName  map[vocab.VMID]*workers.Worker
	// inbox has the answers for the next step of the clock.
	inbox []event.Event

	// ends is set while a worker has ends to report.
	ends    bool
	started map[vocab.TaskID]bool
	waits   *hdrhistogram.Histogram
	useful  float64
	wasted  float64
	windows []float64
	use     map[vocab.TeamID]float64
	result  Result
}

func newTrial(seed uint64, o Options, p Policy) *trial {
	t := &trial{
		o: o, policy: p, load: newWorkload(seed), byName: map[vocab.VMID]*workers.Worker{},
		started: map[vocab.TaskID]bool{}, waits: newHistogram(), use: map[vocab.TeamID]float64{},
		result: Result{Policy: p, Kinds: map[record.Kind]int{}, Orders: map[worker.Kind]int{}},
	}
	t.c = task.NewController(task.Settings{
		Shard: "tasks/0", Node: "n0", Incarnation: 1, AppendInterval: o.AppendInterval,
		ResultRetention: time.Minute, LogRetention: time.Hour, MayOwn: true, Account: openAccount{}, Weight: weight,
		NoLearning:   p == NoLearning || p == FirstCome,
		NoQuarantine: p == NoSettingAside || p == FirstCome,
	})
	for i := range o.Workers {
		t.addWorker(i)
	}
	return t
}

// weight returns the share of team-N, which is N+1.
func weight(team vocab.TeamID) int {
	return int(team[len(team)-1]-'0') + 1
}

func (t *trial) addWorker(i int) {
	w := workers.New(worker.Info{
		Worker: vocab.VMID(fmt.Sprintf("w%04d", i)), Incarnation: 1,
		Zone: vocab.ZoneID(fmt.Sprint("z", i/rackSize%8)), Rack: vocab.RackID(fmt.Sprint("r", i/rackSize)),
		Capacity: record.TaskSize{MilliCPU: 32_000, MemoryBytes: 64 * gibibyte},
	}, func(ref worker.AttemptRef, _ worker.AttemptSpec) workers.Behavior { return t.load.actual[ref.Task] })
	w.OnStart = t.onStart
	w.OnEnd = t.onEnd
	t.workers = append(t.workers, w)
	t.byName[w.Info.Worker] = w
}

func (t *trial) onStart(ref worker.AttemptRef, _ worker.AttemptSpec) {
	if t.started[ref.Task] {
		return
	}
	t.started[ref.Task] = true
	t.result.Started++
	t.noteWait(ref.Task)
}

func (t *trial) noteWait(id vocab.TaskID) {
	if t.load.tasks[id].Urgent {
		t.result.Urgent++
		_ = t.waits.RecordValue(max(1, t.now.Sub(t.load.arrived[id]).Milliseconds()))
	}
}

func (t *trial) onEnd(_ worker.AttemptRef, actual workers.Behavior, phase worker.AttemptPhase, worked time.Duration) {
	t.ends = true
	work := worked.Seconds() * float64(actual.Use.MilliCPU)
	if phase == worker.Succeeded {
		t.result.Succeeded++
	}
	if time.Duration(t.now) < warmUp {
		return
	}
	if phase == worker.Succeeded || phase == worker.Checkpointed {
		t.useful += work
	} else {
		t.wasted += work
	}
}

func (t *trial) run() Result {
	for t.now = 1; time.Duration(t.now) < t.o.Length; t.now = t.now.Add(tick) {
		t.faults()
		t.submit()
		t.answers()
		t.step(task.Tick{})
		t.advance()
	}
	for id := range t.load.tasks {
		if !t.started[id] {
			t.noteWait(id)
		}
	}
	return t.summary()
}

func (t *trial) summary() Result {
	r := t.result
	capacity := float64(len(t.workers)) * 32_000 * (t.o.Length - warmUp).Seconds()
	r.Use = t.useful / capacity
	r.Wasted = t.wasted / max(1, t.useful+t.wasted)
	r.UrgentP50 = time.Duration(t.waits.ValueAtQuantile(50)) * time.Millisecond
	r.UrgentP99 = time.Duration(t.waits.ValueAtQuantile(99)) * time.Millisecond
	for _, d := range t.windows {
		r.Distance += d / float64(len(t.windows))
	}
	s := t.c.Status()
	r.Appends = float64(s.Appends) / t.o.Length.Seconds()
	r.Records = float64(s.Records) / t.o.Length.Seconds()
	r.StepTime = time.Duration(float64(r.StepTime) / t.o.Length.Seconds())
	return r
}

// every reports whether a period ends at this step of the clock.
func (t *trial) every(d time.Duration) bool {
	return (time.Duration(t.now)-1)%d == 0
}

func (t *trial) faults() {
	switch time.Duration(t.now) - 1 {
	case faultsAt:
		for i, w := range t.workers {
			w.Faults = faultsOf(i * 37 % 100)
		}
	case rackLostAt:
		for _, w := range t.workers[:min(rackSize, len(t.workers))] {
			w.Restart()
		}
	}
}

func faultsOf(place int) workers.Faults {
	switch {
	case place < failPercent:
		return workers.Faults{FailAll: true}
	case place < failPercent+hangPercent:
		return workers.Faults{HangAll: true}
	case place < failPercent+hangPercent+silentPercent:
		return workers.Faults{LoseOrders: true}
	default:
		return workers.Faults{}
	}
}

func (t *trial) submit() {
	total := int64(len(t.workers)) * 32_000
	for _, a := range t.load.due(t.now, tick, total) {
		if t.policy == FirstCome {
			a.Team, a.Urgent = "all-0", false
		}
		t.step(task.SubmitRequested{Request: vocab.RequestID(len(t.load.tasks)), Task: a, Deadline: t.now.Add(time.Minute)})
	}
}

func (t *trial) answers() {
	inbox := t.inbox
	t.inbox = nil
	for _, e := range inbox {
		t.step(e)
	}
	from := t.c.NextOffset()
	t.step(task.RecordsRead{Records: t.log[from-1:], Next: vocab.Offset(len(t.log) + 1)})
}

func (t *trial) step(e event.Event) {
	begin := time.Now()
	effects := t.c.Step(t.now, e)
	t.result.StepTime += time.Since(begin)
	for _, f := range effects {
		t.carryOut(f)
	}
}

func (t *trial) carryOut(f event.Effect) {
	switch f := f.(type) {
	case task.AppendRecords:
		for _, e := range f.Records {
			t.result.Kinds[e.Kind]++
			t.log = append(t.log, record.Sequenced{Offset: vocab.Offset(len(t.log) + 1), Envelope: e})
		}
		t.inbox = append(t.inbox, task.AppendCompleted{Batch: f.Batch, Code: task.Appended})
	case task.WorkerQuarantined:
		t.result.SetAside++
		if t.byName[f.Worker].Faults == (workers.Faults{}) {
			t.result.Wrongly++
		}
	case task.OrderWorker:
		t.result.Orders[f.To.Kind]++
		answer, ok := t.byName[f.To.Worker].Order(t.now, f.To)
		if !ok {
			answer = worker.Answer{Code: worker.NoAnswer}
		}
		t.inbox = append(t.inbox, task.OrderCompleted{Order: f.Order, Answer: answer})
	}
}

func (t *trial) advance() {
	var list []worker.Info
	for _, w := range t.workers {
		t.ends = false
		w.Advance(t.now)
		list = append(list, w.Info)
		// A report waits for something new: an end, or a fresh figure of use.
		if w.Faults.LoseOrders || !t.ends && !t.every(reportEvery) {
			continue
		}
		t.result.Reports++
		usage := w.Usage(t.now)
		usage.Lag = reportEvery
		t.step(task.WorkerReported{Worker: w.Info.Worker, Incarnation: w.Info.Incarnation, Usage: usage})
	}
	if t.every(reportEvery) {
		t.step(task.WorkersListed{Workers: list})
		t.sample()
	}
}

// sample adds the teams' use to the window, and closes the window when due.
func (t *trial) sample() {
	if time.Duration(t.now) < warmUp {
		return
	}
	for _, w := range t.workers {
		w.Visit(func(ref worker.AttemptRef, a workers.Behavior) {
			t.use[t.load.tasks[ref.Task].Team] += dominantUse(a.Use)
		})
	}
	if t.every(window) {
		t.windows = append(t.windows, distance(t.use))
		t.use = map[vocab.TeamID]float64{}
	}
}

func dominantUse(use record.TaskSize) float64 {
	return max(float64(use.MilliCPU)/32_000, float64(use.MemoryBytes)/(64*gibibyte))
}

func distance(use map[vocab.TeamID]float64) float64 {
	total, weights := 0.0, 0
	for i := range teamCount {
		team := vocab.TeamID(fmt.Sprint("team-", i))
		total += use[team]
		weights += weight(team)
	}
	sum := 0.0
	for i := range teamCount {
		team := vocab.TeamID(fmt.Sprint("team-", i))
		sum += math.Abs(use[team]/max(total, 1e-9) - float64(weight(team))/float64(weights))
	}
	return sum / 2
}
