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
	// windowLength is the length of the windows in which the teams' use is compared with
	// their shares.
	windowLength = 10 * time.Second
	// warmUp is the initial time that utilization and shares leave out.
	warmUp = time.Minute
	// reportInterval is the interval between two reports of a worker, and the age
	// of their figures.
	reportInterval = time.Second
	// faultsAt is the time at which some workers become faulty, and rackRestartAt
	// the time at which all workers of a rack restart.
	faultsAt      = 2 * time.Minute
	rackRestartAt = 4 * time.Minute
	rackSize      = 4
	// Of 100 workers, the numbers on which all tasks fail, on which all tasks hang,
	// and which don't answer orders.
	failPercent, hangPercent, silentPercent = 3, 1, 1
)

// utilizationBound returns the fraction of the workers' time without faults.
func utilizationBound(o Options) float64 {
	length := (o.Length - warmUp).Seconds()
	faulty := max(0, (o.Length - faultsAt).Seconds())
	return 1 - faulty/length*(failPercent+hangPercent+silentPercent)/100
}

// unlimitedAccount is a placement.SlotAccount without upper limits.
type unlimitedAccount struct{}

func (unlimitedAccount) TryAcquire(vocab.TeamID) bool  { return true }
func (unlimitedAccount) AcquireOverLimit(vocab.TeamID) {}
func (unlimitedAccount) Release(vocab.TeamID)          {}

// simulation runs one policy on one workload, with stand-in workers and an
// in-memory log.
type simulation struct {
	options    Options
	policy     Policy
	workload   *workload
	controller *task.Controller
	now        vocab.Instant
	log        []record.Sequenced
	workers    []*workers.Worker
	byName     map[vocab.VMID]*workers.Worker
	// replies holds the completions of appends and orders that the controller gets
	// at the next step of the clock.
	replies []event.Event

	// attemptEnded is set when an attempt ends on the current worker.
	attemptEnded bool
	started      map[vocab.TaskID]bool
	waits        *hdrhistogram.Histogram  // of urgent tasks, in milliseconds
	usefulWork   float64                  // milliCPU seconds
	wastedWork   float64                  // milliCPU seconds
	distances    []float64                // distance from the shares in each window
	useByTeam    map[vocab.TeamID]float64 // in the current window
	result       Result
}

func newSimulation(seed uint64, o Options, p Policy) *simulation {
	sim := &simulation{
		options: o, policy: p, workload: newWorkload(seed), byName: map[vocab.VMID]*workers.Worker{},
		started: map[vocab.TaskID]bool{}, waits: newHistogram(), useByTeam: map[vocab.TeamID]float64{},
		result: Result{Policy: p, Kinds: map[record.Kind]int{}, Orders: map[worker.Kind]int{}},
	}
	sim.controller = task.NewController(task.Settings{
		Shard: "tasks/0", Node: "n0", Incarnation: 1, AppendInterval: o.AppendInterval,
		ResultRetention: time.Minute, LogRetention: time.Hour, MayOwn: true, Account: unlimitedAccount{}, Weight: weight,
		NoLearning:   p == NoLearning || p == FirstCome,
		NoQuarantine: p == NoQuarantine || p == FirstCome,
	})
	for i := range o.Workers {
		sim.addWorker(i)
	}
	return sim
}

// weight returns the share of team-N, which is N+1.
func weight(team vocab.TeamID) int {
	return int(team[len(team)-1]-'0') + 1
}

func (sim *simulation) addWorker(i int) {
	w := workers.New(worker.Info{
		Worker: vocab.VMID(fmt.Sprintf("w%04d", i)), Incarnation: 1,
		Zone: vocab.ZoneID(fmt.Sprint("z", i/rackSize%8)), Rack: vocab.RackID(fmt.Sprint("r", i/rackSize)),
		Capacity: record.TaskSize{MilliCPU: 32_000, MemoryBytes: 64 * gibibyte},
	}, func(r worker.AttemptRef, _ worker.AttemptSpec) workers.Behavior { return sim.workload.actual[r.Task] })
	w.OnStart = sim.onStart
	w.OnEnd = sim.onEnd
	sim.workers = append(sim.workers, w)
	sim.byName[w.Info.Worker] = w
}

// onStart records the wait of a task at its first start.
func (sim *simulation) onStart(ref worker.AttemptRef, _ worker.AttemptSpec) {
	if sim.started[ref.Task] {
		return
	}
	sim.started[ref.Task] = true
	sim.result.Started++
	sim.recordWait(ref.Task)
}

// recordWait records the wait of an urgent task until now.
func (sim *simulation) recordWait(id vocab.TaskID) {
	if sim.workload.tasks[id].Urgent {
		sim.result.Urgent++
		_ = sim.waits.RecordValue(max(1, sim.now.Sub(sim.workload.arrived[id]).Milliseconds()))
	}
}

// onEnd counts the work of a finished attempt as useful or wasted.
func (sim *simulation) onEnd(_ worker.AttemptRef, actual workers.Behavior, phase worker.AttemptPhase, ran time.Duration) {
	sim.attemptEnded = true
	work := ran.Seconds() * float64(actual.Use.MilliCPU)
	if phase == worker.Succeeded {
		sim.result.Succeeded++
	}
	if time.Duration(sim.now) < warmUp {
		return
	}
	if phase == worker.Succeeded || phase == worker.Checkpointed {
		sim.usefulWork += work
	} else {
		sim.wastedWork += work
	}
}

// run simulates the whole length of the run.
func (sim *simulation) run() Result {
	for sim.now = 1; time.Duration(sim.now) < sim.options.Length; sim.now = sim.now.Add(tick) {
		sim.injectFaults()
		sim.submit()
		sim.deliverReplies()
		sim.step(task.Tick{})
		sim.advanceWorkers()
	}
	for id := range sim.workload.tasks {
		if !sim.started[id] {
			sim.recordWait(id)
		}
	}
	return sim.summary()
}

// summary computes the figures of the run.
func (sim *simulation) summary() Result {
	r := sim.result
	capacity := float64(len(sim.workers)) * 32_000 * (sim.options.Length - warmUp).Seconds()
	r.Utilization = sim.usefulWork / capacity
	r.Wasted = sim.wastedWork / max(1, sim.usefulWork+sim.wastedWork)
	r.UrgentP50 = time.Duration(sim.waits.ValueAtQuantile(50)) * time.Millisecond
	r.UrgentP99 = time.Duration(sim.waits.ValueAtQuantile(99)) * time.Millisecond
	for _, d := range sim.distances {
		r.ShareDistance += d / float64(len(sim.distances))
	}
	status := sim.controller.Status()
	r.AppendsPerSecond = float64(status.Appends) / sim.options.Length.Seconds()
	r.RecordsPerSecond = float64(status.Records) / sim.options.Length.Seconds()
	r.StepTimePerSecond = time.Duration(float64(r.StepTimePerSecond) / sim.options.Length.Seconds())
	return r
}

// every reports whether an interval of length d ends at this step of the clock.
func (sim *simulation) every(d time.Duration) bool {
	return (time.Duration(sim.now)-1)%d == 0
}

// injectFaults makes workers faulty and restarts a rack at their fixed times.
func (sim *simulation) injectFaults() {
	switch time.Duration(sim.now) - 1 {
	case faultsAt:
		for i, w := range sim.workers {
			w.Faults = faultsForPercentile(i * 37 % 100) // 37 spreads the faulty workers over the racks
		}
	case rackRestartAt:
		for _, w := range sim.workers[:min(rackSize, len(sim.workers))] {
			w.Restart()
		}
	}
}

// faultsForPercentile returns the faults of a worker by its rank from 0 to 99.
func faultsForPercentile(percentile int) workers.Faults {
	switch {
	case percentile < failPercent:
		return workers.Faults{FailAll: true}
	case percentile < failPercent+hangPercent:
		return workers.Faults{HangAll: true}
	case percentile < failPercent+hangPercent+silentPercent:
		return workers.Faults{LoseOrders: true}
	default:
		return workers.Faults{}
	}
}

// submit submits the tasks that are due. FirstCome ignores their teams and
// urgency.
func (sim *simulation) submit() {
	milliCPU := int64(len(sim.workers)) * 32_000
	for _, accepted := range sim.workload.due(sim.now, tick, milliCPU) {
		if sim.policy == FirstCome {
			accepted.Team, accepted.Urgent = "all-0", false
		}
		sim.step(task.SubmitRequested{Request: vocab.RequestID(len(sim.workload.tasks)), Task: accepted, Deadline: sim.now.Add(time.Minute)})
	}
}

// deliverReplies steps the controller with the replies of the previous step and
// the new records of the log.
func (sim *simulation) deliverReplies() {
	replies := sim.replies
	sim.replies = nil
	for _, e := range replies {
		sim.step(e)
	}
	from := sim.controller.NextOffset()
	sim.step(task.RecordsRead{Records: sim.log[from-1:], Next: vocab.Offset(len(sim.log) + 1)})
}

// step steps the controller, measures its time and carries out its effects.
func (sim *simulation) step(e event.Event) {
	begin := time.Now()
	effects := sim.controller.Step(sim.now, e)
	sim.result.StepTimePerSecond += time.Since(begin)
	for _, effect := range effects {
		sim.execute(effect)
	}
}

// execute carries out an effect of the controller. Its completion is delivered
// at the next step of the clock.
func (sim *simulation) execute(effect event.Effect) {
	switch effect := effect.(type) {
	case task.AppendRecords:
		for _, envelope := range effect.Records {
			sim.result.Kinds[envelope.Kind]++
			sim.log = append(sim.log, record.Sequenced{Offset: vocab.Offset(len(sim.log) + 1), Envelope: envelope})
		}
		sim.replies = append(sim.replies, task.AppendCompleted{Batch: effect.Batch, Code: task.Appended})
	case task.WorkerQuarantined:
		sim.result.Quarantined++
		if sim.byName[effect.Worker].Faults == (workers.Faults{}) {
			sim.result.WrongQuarantines++
		}
	case task.OrderWorker:
		sim.result.Orders[effect.To.Kind]++
		answer, ok := sim.byName[effect.To.Worker].Order(sim.now, effect.To)
		if !ok {
			answer = worker.Answer{Code: worker.NoAnswer}
		}
		sim.replies = append(sim.replies, task.OrderCompleted{Order: effect.Order, Answer: answer})
	}
}

// advanceWorkers advances the workers to the current time and delivers their
// reports and the list of workers to the controller.
func (sim *simulation) advanceWorkers() {
	var list []worker.Info
	for _, w := range sim.workers {
		sim.attemptEnded = false
		w.Advance(sim.now)
		list = append(list, w.Info)
		// A worker reports when an attempt has ended, and every reportInterval.
		if w.Faults.LoseOrders || !sim.attemptEnded && !sim.every(reportInterval) {
			continue
		}
		sim.result.Reports++
		usage := w.Usage(sim.now)
		usage.Lag = reportInterval
		sim.step(task.WorkerReported{Worker: w.Info.Worker, Incarnation: w.Info.Incarnation, Usage: usage})
	}
	if sim.every(reportInterval) {
		sim.step(task.WorkersListed{Workers: list})
		sim.sample()
	}
}

// sample adds the teams' current use to the window. At the end of a window it
// records the distance from the shares and starts the next window.
func (sim *simulation) sample() {
	if time.Duration(sim.now) < warmUp {
		return
	}
	for _, w := range sim.workers {
		w.Visit(func(ref worker.AttemptRef, a workers.Behavior) {
			sim.useByTeam[sim.workload.tasks[ref.Task].Team] += dominantUse(a.Use)
		})
	}
	if sim.every(windowLength) {
		sim.distances = append(sim.distances, shareDistance(sim.useByTeam))
		sim.useByTeam = map[vocab.TeamID]float64{}
	}
}

// dominantUse returns the larger of the fractions of a worker's CPU and memory
// that the use takes.
func dominantUse(use record.TaskSize) float64 {
	return max(float64(use.MilliCPU)/32_000, float64(use.MemoryBytes)/(64*gibibyte))
}

// shareDistance returns half of the sum of the differences between the teams'
// fractions of the use and their shares.
func shareDistance(use map[vocab.TeamID]float64) float64 {
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
