package job

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// simulation runs several reducers against one stream and a set of workers in simulated time
// and injects faults. It records what the workers observe and checks the invariants.
type simulation struct {
	rng *rand.Rand
	// network is the source of randomness for connections to workers that do not respond.
	network *rand.Rand
	now     vocab.Instant
	// seq is the number of calls that were scheduled so far, queue holds those to make. seq
	// orders calls that are due at the same time.
	seq    int
	queue  timers
	nodes  []*node
	stream *fakeStream
	// directory is the directory of the nodes, if the settings have one.
	directory *fakeStream
	settings  Settings
	workers   map[WorkerID]*fakeWorker
	workerIDs []WorkerID
	config    Config
	faults    faults
	jobs      map[ID]*fakeJob
	jobIDs    []ID
	replies   map[CallID]Reply
	// forwarded holds the handlers of the replies to forwarded calls.
	forwarded  map[CallID]func(Reply)
	calls      CallID
	violations []string
	starts     int
	// advisor is the queue's advisor, or nil.
	advisor *fakeAdvisor
	// fleet is the state of the machines, if the test has waves.
	fleet *fakeFleet
	// stopTime is the time that a worker takes to stop a run.
	stopTime time.Duration
	// pollsWait is set if workers carry out the wait of a poll.
	pollsWait   bool
	connections connections
	// gangsWorkTogether is set if the members of a gang wait for each other and end together.
	gangsWorkTogether bool
	// failOnly, if set, restricts the random failures to some tasks.
	failOnly func(TaskName) bool
	// trace, if set, receives the log events of all nodes.
	trace func(string)
	// logged, if set, receives the log events as well.
	logged func(LogEvent)
	// crashing holds the tasks that crash their workers, or is nil.
	crashing *crashingTasks
	// evacuated holds since when each availability zone is evacuated.
	evacuated map[vocab.ZoneID]vocab.Instant
	// givenUp holds the jobs of tasks that were given up because of crashes.
	givenUp map[ID]bool
	// clockRate, if set, is the rate of the workers' clocks.
	clockRate float64
	// route, if set, decides what becomes of an order that is being sent.
	route func(event.Effect, *fakeWorker) orderRoute
	// endsPerResponse is the maximum number of ends that a worker lists in the response to a poll.
	endsPerResponse int
	// strayStarts counts the starts whose lease ended at a reading of an earlier incarnation's clock.
	strayStarts int
}

// connections is how connections treat orders. With holdOrders they hold orders to workers that are cut off as
// well, and random crashes may be dark. With strayOrders, which include that, an order that is carried out late
// also reaches a worker that has restarted since.
type connections int

const (
	plainOrders connections = iota
	holdOrders
	strayOrders
)

// orderRoute is what becomes of an order: it is sent like any other, is lost, or is held by its connection for
// a time.
type orderRoute struct {
	lost bool
	held time.Duration
}

const (
	// orderTimeout and pollTimeout are the times after which a node gives up on an order and on a poll,
	// apart from the wait that the poll asks for.
	orderTimeout = 800 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// connectTimeout is the time after which a node gives up on opening a connection.
	connectTimeout = 700 * time.Millisecond
	// maxOrderHold is the time for which a connection transmits an order again to a worker that does not
	// respond: connectTimeout and a TCP user timeout of 1.5 s.
	maxOrderHold = connectTimeout + 1500*time.Millisecond
	// retransmitInterval is the time between two transmissions of a held order.
	retransmitInterval = 50 * time.Millisecond
	// listedWithoutReport is the time for which the platform lists a worker that sends no reports.
	listedWithoutReport = 3 * time.Second
)

// faults holds the probabilities of random faults, each between 0 and 1: of an append or an
// order whose reply is lost, of an order that is carried out late, and of a task that fails.
type faults struct {
	loseAppend, loseOrder, lateOrder, failTask float64
}

// node is a simulated node that runs one process at a time.
type node struct {
	sim            *simulation
	index          int
	incarnation    int
	up             bool
	streamCut      bool              // cannot reach the stream
	trimmed        bool              // its next read finds its records dropped
	workersCut     bool              // cannot reach the workers
	cutWorkers     map[WorkerID]bool // workers that it cannot reach
	peersCut       bool              // cannot reach the other nodes
	cutPeers       map[*node]bool    // other nodes that it cannot reach
	frozenUntil    vocab.Instant     // the process is suspended until then
	state          *State
	followsWorkers bool
	// followsDirectory is set while the process reads the directory, streamReads counts its
	// reads and loads of the stream.
	followsDirectory bool
	streamReads      int
	cpuShare         float64 // 0.4 if not set
	clockAhead       Millis  // of the simulated time of day
}

// fakeJob is a submitted job as its caller and the workers observe it.
type fakeJob struct {
	spec Spec
	// team is the position of the job's team in the configuration.
	team      int
	accepted  bool
	cancelled vocab.Instant
	// completed holds the tasks that a worker completed, acknowledged those whose
	// completion the owner acknowledged to the worker.
	completed, acknowledged map[TaskName]bool
	// failed counts the acknowledged failed runs of each task.
	failed map[TaskName]int
	// failedRuns counts the failed runs of each task as the workers have seen them.
	failedRuns map[TaskName]int
	// failedGangs holds the runs of each gang of which a member has failed, by the name of its first member.
	failedGangs map[TaskName]map[Run]bool
	// rejected is set if the first attempt to submit the job was refused.
	rejected bool
	// attempts is the number of failed runs of a task that its queue allowed when the job was submitted; 0
	// is that of the configuration.
	attempts int
}

type fakeStream struct {
	records []Record
	newest  map[string]int
	fence   Fence
	seq     uint64
	// answer is the response to the last append with a fence.
	answer Appended
	down   bool
	// appendTime, if set, is the duration of one append; freeAt is the time when the
	// stream accepts the next one.
	appendTime time.Duration
	freeAt     vocab.Instant
	// maxRecordBytes, if set, is the size of the largest record that the stream accepts.
	maxRecordBytes int
}

type fakeWorker struct {
	info        WorkerInfo
	up          bool
	unreachable bool
	// dark is set while a crashed worker is down without refusing connections, since downSince. unlisted is
	// set while the platform does not list the worker.
	dark      bool
	downSince vocab.Instant
	unlisted  bool
	// gone is set once another worker has the address.
	gone       bool
	fence      Fence
	leaseUntil vocab.Instant
	runs       map[TaskName]*fakeRun
	ends       []EndReport
	lastEnd    int64
	acked      int64
	// fencedOff is the highest run of each task that was stopped or has ended; only later
	// runs may start.
	fencedOff map[TaskName]Run
	// leaseExpiredAt is the time when the lease last expired, endedAt the time of each
	// end by its number.
	leaseExpiredAt vocab.Instant
	endedAt        map[int64]vocab.Instant
	// clockAhead is the time by which the clock of the worker's machine is ahead.
	clockAhead Millis
	// shrunkFrom is the capacity before the worker shrank at shrunkAt.
	shrunkFrom Resources
	shrunkAt   vocab.Instant
}

type fakeRun struct {
	run       Run
	fails     bool
	startedAt vocab.Instant
	stopping  bool
	// working is set for a member of a gang once all members are present.
	working bool
}

type timer struct {
	at  vocab.Instant
	seq int
	do  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, nodes, workers int, f faults) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), network: rand.New(rand.NewPCG(seed, 3)), now: vocab.Instant(time.Hour), faults: f,
		stream: &fakeStream{newest: map[string]int{}}, directory: &fakeStream{newest: map[string]int{}},
		settings: Settings{MaxLease: 6 * time.Second, KeepFinished: time.Hour},
		workers:  map[WorkerID]*fakeWorker{}, jobs: map[ID]*fakeJob{}, replies: map[CallID]Reply{},
		forwarded: map[CallID]func(Reply){}, givenUp: map[ID]bool{}, endsPerResponse: 500,
	}
	sim.config = Config{
		Version: 1,
		Queues:  []Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 2, Latency: time.Second}},
		Pools:   []Pool{{Name: "p", Guarded: false}},
		Teams:   []Team{{Name: "t", Keys: []string{"k"}, Weight: 10, Limit: Resources{CPU: int64(workers) * 6000}}},
	}
	for i := range workers {
		id := WorkerID(fmt.Sprintf("w%03d", i))
		sim.workerIDs = append(sim.workerIDs, id)
		sim.workers[id] = &fakeWorker{
			info: WorkerInfo{ID: id, Machine: MachineID(id), Pool: "p", Address: string(id), Capacity: Resources{CPU: 8000, Memory: 16000}, Incarnation: 1},
			up:   true, runs: map[TaskName]*fakeRun{}, fencedOff: map[TaskName]Run{}, endedAt: map[int64]vocab.Instant{},
		}
	}
	for i := range nodes {
		n := &node{sim: sim, index: i}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	return sim
}

// after schedules a call after a duration of simulated time.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, timer{sim.now.Add(d), sim.seq, do})
}

// run advances the simulation by a duration.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		t := heap.Pop(&sim.queue).(timer)
		sim.now = max(sim.now, t.at)
		t.do()
	}
	sim.now = end
}

func (sim *simulation) wall() Millis { return Millis(int64(sim.now) / int64(time.Millisecond)) }

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", time.Duration(sim.now)-time.Hour)+fmt.Sprintf(format, args...))
}

// delay returns a random one-way latency of a call.
func (sim *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(2*time.Millisecond)))
}

func (n *node) start() {
	n.incarnation++
	n.up, n.followsWorkers, n.frozenUntil = true, false, 0
	name := fmt.Sprint("n", n.index)
	self := Identity{
		Node: vocab.NodeID(name), PeerAddress: name, Incarnation: vocab.Incarnation(n.index*1000 + n.incarnation), CPUShare: 0.4,
	}
	if n.cpuShare != 0 {
		self.CPUShare = n.cpuShare
	}
	n.followsDirectory = false
	n.state = New(self, n.sim.settings)
	incarnation := n.incarnation
	config := n.sim.config
	n.post(incarnation, ConfigRead{Config: &config})
	n.tick(incarnation)
}

func (n *node) kill() { n.up = false }

// restartNodes starts all nodes again, with the present settings and configuration.
func (sim *simulation) restartNodes() {
	for _, n := range sim.nodes {
		n.kill()
		n.start()
	}
}

// cutFrom reports whether the node cannot reach a worker.
func (n *node) cutFrom(wk *fakeWorker) bool { return n.workersCut || n.cutWorkers[wk.info.ID] }

func (n *node) tick(incarnation int) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	n.post(incarnation, Tick{})
	n.sim.after(TickInterval, func() { n.tick(incarnation) })
}

// post delivers an event to the process of an incarnation, if it still runs.
func (n *node) post(incarnation int, ev event.Event) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	if n.sim.now < n.frozenUntil {
		n.sim.after(n.frozenUntil.Sub(n.sim.now)+1, func() { n.post(incarnation, ev) })
		return
	}
	effects := slices.Clone(n.state.Step(Clock{Now: n.sim.now, Wall: n.sim.wall() + n.clockAhead}, ev))
	for _, e := range effects {
		n.execute(incarnation, e)
	}
}

func (n *node) execute(incarnation int, effect event.Effect) {
	sim := n.sim
	reply := func(ev event.Event) { sim.after(sim.delay(), func() { n.post(incarnation, ev) }) }
	switch e := effect.(type) {
	case LogEvent:
		if e.ID == LogTaskGivenUp {
			sim.givenUp[e.Field("task").(TaskName).Job] = true
		}
		if sim.logged != nil {
			sim.logged(e)
		}
		if sim.trace != nil {
			sim.trace(fmt.Sprintf("%8.3f n%d %s %v", time.Duration(sim.now-vocab.Instant(time.Hour)).Seconds(), n.index, e.ID, e.Fields))
		}
	case Reply:
		if forwarded := sim.forwarded[e.Call]; forwarded != nil {
			forwarded(e)
			return
		}
		if _, answered := sim.replies[e.Call]; !answered {
			sim.replies[e.Call] = e
		}
	case OfferOwnership:
		sim.after(sim.delay(), func() {
			for _, to := range sim.nodes {
				if fmt.Sprint("n", to.index) == e.Address {
					to.post(to.incarnation, OwnershipOffered{Fence: e.Fence})
				}
			}
		})
	case PrepareHandover:
		sim.after(sim.delay(), func() { n.prepareHandover(e, reply) })
	case Forward:
		sim.after(sim.delay(), func() { n.forward(e, reply) })
	case FollowDirectory:
		n.followsDirectory = e.On
		if e.On {
			n.readDirectory(incarnation, -1)
		}
	case WriteDirectory:
		sim.after(sim.delay(), func() {
			answer := sim.directory.append(Append{Records: e.Records, At: -1})
			reply(DirectoryWritten{Outcome: answer.Outcome})
		})
	case LoadStream:
		sim.after(sim.delay(), func() { n.loadStream(reply) })
	case ReadStream:
		sent := sim.now
		sim.after(sim.delay(), func() { n.readStream(e, sent, reply) })
	case Append:
		sent := sim.now
		sim.after(sim.delay(), func() { n.appendStream(e, sent, reply) })
	case FollowWorkers:
		n.followsWorkers = e.On
		if e.On {
			n.listWorkers(incarnation)
		}
	case Poll:
		sent := sim.now
		sim.waitForEnd(e, e.Wait, func() {
			sim.deliver(n, e, e.Worker, reply, func() event.Event { return sim.pollWorker(e, sent) }, func(o Outcome) event.Event {
				return Polled{Worker: e.Worker, Fence: e.Fence, Outcome: o, SentAt: sent, ReceivedAt: sim.now}
			})
		})
	case Start:
		if sim.now >= e.Until {
			reply(StartAnswered{Worker: e.Worker, Fence: e.Fence, Task: e.Task, Run: e.Run, Outcome: NotDone})
			return
		}
		sim.deliver(n, e, e.Worker, reply, func() event.Event { return sim.startRun(e) }, func(o Outcome) event.Event {
			return StartAnswered{Worker: e.Worker, Fence: e.Fence, Task: e.Task, Run: e.Run, Outcome: o}
		})
	case RequestAdvice:
		sim.after(sim.delay(), func() { sim.advisor.call(n, e, reply) })
	case WithdrawOrders:
		if sim.fleet != nil {
			sim.fleet.withdraw(n.state.self.Node, e.Fence)
		}
	case ListMachines, OrderMachine, WriteStatus:
		if sim.fleet != nil {
			sim.fleet.execute(effect, reply)
		}
	case Stop:
		sim.deliver(n, e, e.Worker, reply, func() event.Event { return sim.stopRun(e) }, func(o Outcome) event.Event {
			return StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Outcome: o}
		})
	}
}

// forward delivers a call to another node. A node that is down sends no reply.
func (n *node) forward(e Forward, reply func(event.Event)) {
	sim := n.sim
	answered := false
	sim.after(800*time.Millisecond, func() {
		if !answered {
			reply(ForwardAnswered{Call: e.Call, Outcome: Unknown})
		}
	})
	for _, to := range sim.nodes {
		if fmt.Sprint("n", to.index) != e.Address || !to.up {
			continue
		}
		sim.calls++
		sim.forwarded[sim.calls] = func(r Reply) {
			answered = true
			reply(ForwardAnswered{Call: e.Call, Outcome: OK, Reply: r})
		}
		to.post(to.incarnation, e.Request.Event(sim.calls))
	}
}

// prepareHandover asks another node to prepare for the ownership. The response may be lost, and
// a node that is down sends none.
func (n *node) prepareHandover(e PrepareHandover, reply func(event.Event)) {
	sim := n.sim
	for _, to := range sim.nodes {
		if fmt.Sprint("n", to.index) != e.Address {
			continue
		}
		if n.peersCut || n.cutPeers[to] {
			reply(HandoverPrepared{Node: e.Node, Unreachable: true})
			return
		}
		if !to.up || sim.rng.Float64() < sim.faults.loseOrder {
			continue
		}
		sim.calls++
		reached := 0
		for _, p := range e.Probes {
			if wk := sim.workers[p.Worker]; !to.cutFrom(wk) && wk.up && !wk.unreachable {
				reached++
			}
		}
		sim.forwarded[sim.calls] = func(r Reply) {
			reply(HandoverPrepared{Node: e.Node, Ready: r.Answer == Accepted, Reached: reached})
		}
		to.post(to.incarnation, HandoverRequested{Call: sim.calls, Fence: e.Fence})
	}
}

// listWorkers sends the list of workers to the node, and again every second.
func (n *node) listWorkers(incarnation int) {
	if !n.followsWorkers || n.incarnation != incarnation {
		return
	}
	listed := WorkersListed{Full: true}
	for _, id := range n.sim.workerIDs {
		if wk := n.sim.workers[id]; wk.listed(n.sim.now) {
			listed.Workers = append(listed.Workers, wk.info)
		}
	}
	n.sim.after(n.sim.delay(), func() { n.post(incarnation, listed) })
	n.sim.after(time.Second, func() { n.listWorkers(incarnation) })
}

// readDirectory delivers the records of the directory from an offset on, all of them from
// -1 on, and again every 200 ms.
func (n *node) readDirectory(incarnation int, from int) {
	if !n.followsDirectory || n.incarnation != incarnation || !n.up {
		return
	}
	if n.streamCut || n.sim.stream.down {
		n.sim.after(200*time.Millisecond, func() { n.readDirectory(incarnation, from) })
		return
	}
	records := n.sim.directory.records
	read := DirectoryRead{Full: from < 0, Records: slices.Clone(records[max(0, from):])}
	n.sim.after(n.sim.delay(), func() { n.post(incarnation, read) })
	n.sim.after(200*time.Millisecond, func() { n.readDirectory(incarnation, len(records)) })
}

func (n *node) loadStream(reply func(event.Event)) {
	n.streamReads++
	s := n.sim.stream
	if n.streamCut || s.down {
		n.sim.after(700*time.Millisecond, func() { reply(StreamFailed{}) })
		return
	}
	var records []Record
	for _, at := range s.newest {
		if len(s.records[at].Value) > 0 {
			records = append(records, s.records[at])
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	reply(StreamLoaded{Records: records, From: int64(len(s.records))})
}

func (n *node) readStream(e ReadStream, sent vocab.Instant, reply func(event.Event)) {
	n.streamReads++
	s := n.sim.stream
	if n.streamCut || s.down {
		n.sim.after(700*time.Millisecond, func() { reply(StreamFailed{}) })
		return
	}
	if n.trimmed {
		n.trimmed = false
		reply(StreamFailed{Trimmed: true})
		return
	}
	end := int64(len(s.records))
	if end <= e.From && e.Wait > 0 {
		n.sim.after(min(e.Wait, 20*time.Millisecond), func() {
			n.readStream(ReadStream{From: e.From, Wait: e.Wait - 20*time.Millisecond}, sent, reply)
		})
		return
	}
	answer := StreamRead{Records: slices.Clone(s.records[e.From:]), Next: end, End: end, SentAt: sent}
	n.sim.after(s.appendTime, func() { reply(answer) })
}

func (n *node) appendStream(e Append, sent vocab.Instant, reply func(event.Event)) {
	s := n.sim.stream
	if n.streamCut || s.down {
		n.sim.after(700*time.Millisecond, func() { reply(Appended{ID: e.ID, Outcome: Unknown, SentAt: sent}) })
		return
	}
	if s.appendTime > 0 || s.freeAt > n.sim.now {
		n.slowAppend(e, sent, reply)
		return
	}
	answer := s.append(e)
	answer.ID, answer.SentAt = e.ID, sent
	if n.sim.rng.Float64() < n.sim.faults.loseAppend {
		n.sim.after(700*time.Millisecond, func() { reply(Appended{ID: e.ID, Outcome: Unknown, SentAt: sent}) })
		return
	}
	reply(answer)
}

// slowAppend appends to a slow stream, which processes one append at a time and rejects an
// append that would have to wait for more than two seconds.
func (n *node) slowAppend(e Append, sent vocab.Instant, reply func(event.Event)) {
	sim, s := n.sim, n.sim.stream
	s.freeAt = max(s.freeAt, sim.now)
	if s.freeAt.Sub(sim.now) > 2*time.Second {
		reply(Appended{ID: e.ID, Outcome: NotDone, SentAt: sent})
		return
	}
	s.freeAt = s.freeAt.Add(s.appendTime)
	sim.after(s.freeAt.Sub(sim.now), func() {
		answer := s.append(e)
		answer.ID, answer.SentAt = e.ID, sent
		reply(answer)
	})
}

func (s *fakeStream) append(e Append) Appended {
	end, before := int64(len(s.records)), *s
	if e.At >= 0 && e.At != end {
		return Appended{Outcome: Conflict, End: end}
	}
	if e.Fence != 0 {
		switch {
		case e.Fence < s.fence:
			return Appended{Outcome: Fenced}
		case e.Fence > s.fence:
			s.fence, s.seq = e.Fence, e.Seq
		case e.Seq <= s.seq:
			return s.answer
		default:
			s.seq = e.Seq
		}
	}
	for _, r := range e.Records {
		if s.maxRecordBytes > 0 && r.size() > s.maxRecordBytes {
			s.fence, s.seq = before.fence, before.seq
			return Appended{Outcome: NotDone}
		}
	}
	for _, r := range e.Records {
		r.Offset = int64(len(s.records))
		s.newest[r.Key] = len(s.records)
		s.records = append(s.records, r)
	}
	answer := Appended{Outcome: OK, Offset: end, End: int64(len(s.records))}
	if e.Fence != 0 {
		s.answer = answer
	}
	return answer
}

// listed reports whether the platform lists the worker. It notices a crash late.
func (wk *fakeWorker) listed(now vocab.Instant) bool {
	return !wk.unlisted && (wk.up || wk.dark && now.Sub(wk.downSince) < listedWithoutReport)
}

// deliver sends an order to a worker, and may lose the order or its reply. An order that a connection has held
// reaches the worker's present incarnation, whichever it was meant for; one that is carried out late does so
// with strayOrders.
func (sim *simulation) deliver(n *node, order event.Effect, id WorkerID, reply func(event.Event), execute func() event.Event, lostReply func(Outcome) event.Event) {
	wk := sim.workers[id]
	incarnation := wk.info.Incarnation
	timeout := orderTimeout
	if _, isPoll := order.(Poll); isPoll && sim.connections >= holdOrders {
		timeout = pollTimeout
	}
	if sim.route != nil {
		route := sim.route(order, wk)
		if route.lost {
			sim.after(timeout, func() { reply(lostReply(Unknown)) })
			return
		}
		if route.held > 0 {
			sim.holdOrder(n, wk, heldOrder{timeout: timeout, hold: route.held, connected: true}, reply, execute, lostReply)
			return
		}
	}
	switch {
	case (n.cutFrom(wk) || wk.unreachable) && sim.connections < holdOrders:
		sim.after(orderTimeout, func() { reply(lostReply(NotDone)) })
	case n.cutFrom(wk) || wk.unreachable || wk.dark:
		sim.holdOrder(n, wk, sim.randomHold(timeout), reply, execute, lostReply)
	case sim.rng.Float64() < sim.faults.lateOrder:
		sim.after(timeout, func() { reply(lostReply(Unknown)) })
		sim.after(2*time.Second+time.Duration(sim.rng.Int64N(int64(6*time.Second))), func() {
			if sim.connections == strayOrders || wk.info.Incarnation == incarnation {
				execute()
			}
		})
	case sim.rng.Float64() < sim.faults.loseOrder:
		sim.after(timeout, func() { reply(lostReply(Unknown)) })
		sim.after(sim.delay(), func() { execute() })
	default:
		sim.after(sim.delay(), func() {
			if wk.dark {
				sim.holdOrder(n, wk, sim.randomHold(timeout), reply, execute, lostReply)
				return
			}
			reply(execute())
		})
	}
}

// heldOrder is an order that its connection holds while the worker does not respond. connected is unset while
// the connection is not open: then the node knows that the order was not carried out.
type heldOrder struct {
	timeout, hold time.Duration
	connected     bool
}

// randomHold returns how an order to a worker that does not respond is held.
func (sim *simulation) randomHold(timeout time.Duration) heldOrder {
	limit, connected := maxOrderHold, sim.network.IntN(2) == 0
	if !connected {
		limit = min(timeout, connectTimeout)
	}
	return heldOrder{timeout: timeout, hold: time.Duration(1 + sim.network.Int64N(int64(limit))), connected: connected}
}

// holdOrder transmits an order from a time on until the worker responds or the connection gives up. Its reply
// is lost if it comes after the caller's timeout.
func (sim *simulation) holdOrder(n *node, wk *fakeWorker, h heldOrder, reply func(event.Event), execute func() event.Event, lostReply func(Outcome) event.Event) {
	sent, answered := sim.now, false
	limit, lost, timeout := maxOrderHold, Unknown, h.timeout
	if !h.connected {
		timeout = min(h.timeout, connectTimeout)
		limit, lost = timeout, NotDone
	}
	var transmit func()
	transmit = func() {
		switch {
		case !h.connected && answered:
		case !wk.up && !wk.dark || !n.cutFrom(wk) && !wk.unreachable && wk.up:
			answer := execute()
			if !answered {
				answered = true
				reply(answer)
			}
		case sim.now.Sub(sent) < limit:
			sim.after(retransmitInterval, transmit)
		}
	}
	sim.after(h.hold, transmit)
	sim.after(timeout, func() {
		if !answered {
			answered = true
			reply(lostReply(lost))
		}
	})
}

// reach returns the worker if the order reaches it and the worker accepts the fence.
func (sim *simulation) reach(id WorkerID, fence Fence) (*fakeWorker, Outcome) {
	wk := sim.workers[id]
	if wk.gone {
		return nil, Gone
	}
	if !wk.up || wk.unreachable {
		return nil, NotDone
	}
	if fence < wk.fence {
		return nil, Fenced
	}
	wk.fence = fence
	return wk, OK
}

func (sim *simulation) clock(wk *fakeWorker) time.Duration {
	elapsed := time.Duration(sim.now) - time.Duration(wk.info.Incarnation)*time.Millisecond
	if sim.clockRate > 0 {
		return time.Duration(float64(elapsed) * sim.clockRate)
	}
	return elapsed
}

// extendLease extends the lease of a worker, at most to the maximum lease, and schedules its expiry.
func (sim *simulation) extendLease(wk *fakeWorker, untilClock time.Duration) {
	left := min(untilClock-sim.clock(wk), sim.settings.MaxLease)
	if sim.clockRate > 0 {
		left = time.Duration(float64(left) / sim.clockRate)
	}
	until := sim.now.Add(left)
	if until <= max(wk.leaseUntil, sim.now) || untilClock == 0 {
		return
	}
	wk.leaseUntil = until
	incarnation := wk.info.Incarnation
	sim.after(until.Sub(sim.now), func() {
		if wk.info.Incarnation == incarnation && sim.now >= wk.leaseUntil {
			wk.leaseExpiredAt = sim.now
			for name, r := range wk.runs {
				sim.endRun(wk, name, r, EndLeaseExpired)
			}
		}
	})
}

// waitForEnd carries out a poll once its wait has passed or the worker has an end that the poll
// doesn't acknowledge. If the worker restarts meanwhile, a later incarnation gets the poll.
func (sim *simulation) waitForEnd(e Poll, wait time.Duration, carryOut func()) {
	wk := sim.workers[e.Worker]
	found := len(wk.ends) > 0 && wk.ends[len(wk.ends)-1].Number > e.Acked
	if !sim.pollsWait || wait <= 0 || found || !wk.up || wk.unreachable {
		carryOut()
		return
	}
	sim.after(10*time.Millisecond, func() { sim.waitForEnd(e, wait-10*time.Millisecond, carryOut) })
}

func (sim *simulation) pollWorker(e Poll, sent vocab.Instant) event.Event {
	wk, outcome := sim.reach(e.Worker, e.Fence)
	if wk == nil {
		return Polled{Worker: e.Worker, Fence: e.Fence, Outcome: outcome, SentAt: sent, ReceivedAt: sim.now}
	}
	sim.extendLease(wk, e.Lease)
	if e.Acked > wk.acked {
		for _, end := range wk.ends {
			// After the lease expired, the task may have been started on another worker.
			if end.Number <= e.Acked && wk.endedAt[end.Number] > wk.leaseExpiredAt {
				sim.ackEnd(end)
			}
		}
		wk.acked = e.Acked
		wk.ends = slices.DeleteFunc(wk.ends, func(end EndReport) bool { return end.Number <= e.Acked })
	}
	listed := min(len(wk.ends), sim.endsPerResponse)
	answer := Polled{
		Worker: e.Worker, Fence: e.Fence, Incarnation: wk.info.Incarnation, Clock: sim.clock(wk), Ended: slices.Clone(wk.ends[:listed]),
		MoreEnds: listed == sim.endsPerResponse, SentAt: sent, ReceivedAt: sim.now,
	}
	for _, name := range sortedNames(wk.runs) {
		answer.Running = append(answer.Running, RunReport{Task: name, Run: wk.runs[name].run, ProgressPercent: sim.progress(wk.runs[name])})
	}
	return answer
}

func sortedNames(runs map[TaskName]*fakeRun) []TaskName {
	names := make([]TaskName, 0, len(runs))
	for name := range runs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b TaskName) int { return strings.Compare(a.String(), b.String()) })
	return names
}

// ackEnd records an end whose storage on the stream was acknowledged to the worker.
func (sim *simulation) ackEnd(e EndReport) {
	j := sim.jobs[e.Task.Job]
	switch e.End {
	case EndCompleted:
		j.acknowledged[e.Task] = true
	case EndFailed:
		j.failed[e.Task]++
	}
}

func (sim *simulation) startRun(e Start) event.Event {
	answer := StartAnswered{Worker: e.Worker, Fence: e.Fence, Task: e.Task, Run: e.Run, SentAt: sim.now}
	wk, outcome := sim.reach(e.Worker, e.Fence)
	if wk == nil {
		answer.Outcome = outcome
		return answer
	}
	answer.Clock = sim.clock(wk)
	if r := wk.runs[e.Task]; r != nil && r.run == e.Run {
		sim.extendLease(wk, e.Lease)
		return answer
	}
	if e.Run <= wk.fencedOff[e.Task] || e.Lease <= sim.clock(wk) {
		// A worker extends the lease of its other runs when it refuses a start as stale.
		sim.extendLease(wk, e.Lease)
		answer.Outcome, answer.Refusal = NotDone, RefusalStaleRun
		return answer
	}
	if sim.advisor != nil && !sim.advisor.permits(wk, e) {
		sim.extendLease(wk, e.Lease)
		answer.Outcome, answer.Refusal = NotDone, RefusalTicket
		return answer
	}
	sim.checkStart(wk, e)
	sim.checkZone(wk, e)
	sim.extendLease(wk, e.Lease)
	if e.Lease-sim.clock(wk) > time.Minute {
		sim.strayStarts++
	}
	r := &fakeRun{run: e.Run, fails: sim.rng.Float64() < sim.faults.failTask, startedAt: sim.now}
	r.fails = r.fails && (sim.failOnly == nil || sim.failOnly(e.Task))
	wk.runs[e.Task] = r
	sim.starts++
	sim.noteCrashingStart(wk, e.Task, r)
	j := sim.jobs[e.Task.Job]
	duration := time.Duration(j.spec.Steps[e.Task.Step].EstimateMS) * time.Millisecond
	if r.fails && j.spec.Steps[e.Task.Step].LongRunning {
		duration = time.Duration(sim.rng.Int64N(int64(2 * time.Second)))
	}
	if sim.gangsWorkTogether && j.spec.Steps[e.Task.Step].Gang {
		sim.startMember(wk, e, r, duration)
		return answer
	}
	sim.after(duration, func() {
		if wk.runs[e.Task] != r {
			return
		}
		end := EndCompleted
		if r.fails {
			end = EndFailed
		}
		sim.endRun(wk, e.Task, r, end)
	})
	return answer
}

// endRun ends a run and adds its end to the worker's list.
func (sim *simulation) endRun(wk *fakeWorker, name TaskName, r *fakeRun, how End) {
	delete(wk.runs, name)
	switch how {
	case EndCompleted:
		sim.jobs[name.Job].completed[name] = true
	case EndFailed:
		sim.jobs[name.Job].failedRuns[name]++
		sim.jobs[name.Job].noteFailedGang(name, r.run)
	}
	wk.fencedOff[name] = max(wk.fencedOff[name], r.run)
	wk.lastEnd++
	wk.endedAt[wk.lastEnd] = sim.now
	wk.ends = append(wk.ends, EndReport{Number: wk.lastEnd, Task: name, Run: r.run, End: how})
}

func (sim *simulation) stopRun(e Stop) event.Event {
	wk, outcome := sim.reach(e.Worker, e.Fence)
	if wk == nil {
		return StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Outcome: outcome}
	}
	wk.fencedOff[e.Task] = max(wk.fencedOff[e.Task], e.Run)
	if r := wk.runs[e.Task]; r != nil && r.run <= e.Run {
		switch {
		case sim.fleet != nil:
			sim.fleet.stopRun(wk, e.Task, r)
		case sim.stopTime > 0:
			sim.after(sim.stopTime, func() {
				if wk.runs[e.Task] == r {
					sim.endRun(wk, e.Task, r, EndStopped)
				}
			})
		default:
			sim.endRun(wk, e.Task, r, EndStopped)
		}
	}
	return StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run}
}

// checkStart checks every invariant that a start could violate.
func (sim *simulation) checkStart(target *fakeWorker, e Start) {
	j := sim.jobs[e.Task.Job]
	if j == nil || j.rejected && !j.accepted {
		sim.addViolation("%s started, but its job was not reported as accepted", e.Task)
		return
	}
	st := j.spec.Steps[e.Task.Step]
	if j.acknowledged[e.Task] {
		sim.addViolation("%s run %d started after its end was acknowledged", e.Task, e.Run)
	}
	if !st.LongRunning && j.failed[e.Task] >= sim.attempts(j) {
		sim.addViolation("%s run %d started after %d failures", e.Task, e.Run, j.failed[e.Task])
	}
	if j.cancelled != 0 && sim.now.Sub(j.cancelled) > 3*time.Second {
		sim.addViolation("%s run %d started %v after the cancellation", e.Task, e.Run, sim.now.Sub(j.cancelled))
	}
	for _, before := range st.After {
		if !j.stepCompleted(e.Task.Occurrence, before) {
			sim.addViolation("%s started before step %d was done", e.Task, before)
		}
	}
	used, team := Resources{}, Resources{}
	for _, id := range sim.workerIDs {
		wk := sim.workers[id]
		for _, name := range sortedNames(wk.runs) {
			need := sim.jobs[name.Job].spec.Steps[name.Step].Need
			if sim.jobs[name.Job].team == j.team {
				team = team.Plus(need)
			}
			if wk == target {
				used = used.Plus(need)
			}
			if name == e.Task && wk.up {
				sim.addViolation("%s run %d started on %s while run %d is on %s", e.Task, e.Run, target.info.ID, wk.runs[name].run, id)
			}
		}
	}
	if !target.countedCapacity(sim.now).Holds(used.Plus(st.Need)) {
		sim.addViolation("%s does not fit on %s", e.Task, target.info.ID)
	}
	if limit := sim.config.Teams[j.team].Limit.CPU; limit > 0 && team.CPU+st.Need.CPU > limit+limit/10+st.Need.CPU {
		sim.addViolation("%s takes the team to %d of %d", e.Task, team.CPU+st.Need.CPU, limit)
	}
}

// stepCompleted reports whether the workers have completed a step of an occurrence. One completed member completes
// a gang.
func (j *fakeJob) stepCompleted(occurrence, number int) bool {
	st, completed := &j.spec.Steps[number], 0
	for name, done := range j.completed {
		if done && name.Occurrence == occurrence && name.Step == number {
			completed++
		}
	}
	return completed == st.Count || st.Gang && completed > 0
}

// noteFailedGang records the failed run of a member of a gang.
func (j *fakeJob) noteFailedGang(name TaskName, run Run) {
	if !j.spec.Steps[name.Step].Gang {
		return
	}
	name.Index = 0
	if j.failedGangs[name] == nil {
		j.failedGangs[name] = map[Run]bool{}
	}
	j.failedGangs[name][run] = true
}

// attempts returns the number of failed runs of a task after which the job fails.
func (sim *simulation) attempts(j *fakeJob) int {
	if j.attempts > 0 {
		return j.attempts
	}
	return sim.config.Queues[0].MaxAttempts
}

// submit submits a job to a random node.
func (sim *simulation) submit(spec Spec) ID {
	id := sim.addJob(spec)
	sim.trySubmit(id, 5)
	return id
}

// addJob adds a job that no node knows yet.
func (sim *simulation) addJob(spec Spec) ID {
	id := ID(fmt.Sprintf("%016x", len(sim.jobIDs)+1))
	sim.jobIDs = append(sim.jobIDs, id)
	sim.jobs[id] = &fakeJob{spec: spec, completed: map[TaskName]bool{}, acknowledged: map[TaskName]bool{}, failed: map[TaskName]int{}, failedRuns: map[TaskName]int{}, failedGangs: map[TaskName]map[Run]bool{}}
	return id
}

// trySubmit submits a job, and again while the outcome is unknown.
func (sim *simulation) trySubmit(id ID, attemptsLeft int) {
	j := sim.jobs[id]
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	sim.calls++
	call := sim.calls
	n.post(n.incarnation, Submit{Call: call, ID: id, Host: "h", Path: "/q/" + string(id), Key: sim.config.Teams[j.team].Keys[0], Spec: j.spec})
	sim.after(1500*time.Millisecond, func() {
		reply, answered := sim.replies[call]
		switch {
		case answered && reply.Answer == Accepted:
			j.accepted = true
		case answered && (reply.Answer == Refused || reply.Answer == Overloaded) && attemptsLeft == 5:
			j.rejected = true
		case attemptsLeft > 0:
			j.rejected = false
			sim.trySubmit(id, attemptsLeft-1)
		}
	})
}

// cancel cancels a job through a random node.
func (sim *simulation) cancel(id ID) {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	sim.calls++
	call := sim.calls
	n.post(n.incarnation, Cancel{Call: call, ID: id, Host: "h", Path: "/q/" + string(id), Key: sim.config.Teams[sim.jobs[id].team].Keys[0]})
	sim.after(1500*time.Millisecond, func() {
		if reply, answered := sim.replies[call]; answered && reply.Answer == Accepted && sim.jobs[id].cancelled == 0 {
			sim.jobs[id].cancelled = sim.now
		}
	})
}

// queryState queries the state of a job at a node.
func (sim *simulation) queryState(n *node, id ID) Reply {
	sim.calls++
	call := sim.calls
	n.post(n.incarnation, Query{Call: call, ID: id, Host: "h", Path: "/q/" + string(id), Key: "k"})
	sim.run(2 * time.Second)
	return sim.replies[call]
}

// countOwners counts the running nodes that consider themselves the owner.
func (sim *simulation) countOwners() int {
	n := 0
	for _, node := range sim.nodes {
		if node.up && node.state.Owning() {
			n++
		}
	}
	return n
}

// restartWorker restarts a worker in place, as a new incarnation without runs.
func (sim *simulation) restartWorker(wk *fakeWorker) {
	wk.info.Incarnation = sim.wall() + wk.clockAhead
	wk.fence, wk.leaseUntil, wk.lastEnd, wk.acked = 0, 0, 0, 0
	wk.runs, wk.ends, wk.fencedOff = map[TaskName]*fakeRun{}, nil, map[TaskName]Run{}
	wk.endedAt = map[int64]vocab.Instant{}
	wk.up, wk.dark = true, false
}
