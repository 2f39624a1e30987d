// Package core is the reducer: it takes every decision of an entry node. It
// consumes events and returns effects; it does no I/O, reads no clock and
// starts no goroutine. Equal events give equal effects.
package core

import (
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/core/routing"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// Identity is what a process is told about itself at its start.
type Identity struct {
	Node        vocab.NodeID
	Incarnation vocab.Incarnation
	Zone        vocab.ZoneID
	Region      vocab.RegionID
	PeerAddress string
	// FirstPeers are peer addresses to ask when the log is down at the start.
	FirstPeers []string
}

// State is the state of one entry node.
type State struct {
	self   Identity
	now    vocab.Instant
	fleet  *shared.Follower
	vms    *observe.State
	limits *limit.State
	upkeep *maintenance.Controller
	tasks  *task.Controller
	peers  peerState
	// numbers are those of the configuration in force.
	numbers numbering
	// running counts the requests that may run on each VM for this node.
	running   map[vocab.VMID]int
	lingering []linger
	// notTaking is since when a VM gets no new work from this node.
	notTaking map[vocab.VMID]vocab.Instant
	// removals is when the removal of a member was last asked for.
	removals  map[vocab.Incarnation]vocab.Instant
	removalAt vocab.Instant
	// soughtAt is when peers were last asked for a snapshot.
	soughtAt vocab.Instant
	shares   shareState

	queues   map[vocab.QueueID]*queue
	names    []vocab.QueueID // keys of queues, sorted
	requests map[vocab.RequestID]*request
	attempts map[vocab.AttemptID]*request

	lastAttempt vocab.AttemptID
	lastRecord  uint64
	logDown     bool
	foldStopped bool
	// leaving is set once a graceful stop began: the node still serves, and
	// tells the balancer that it is not ready.
	leaving bool
	// stopping is set once no new request is taken.
	stopping bool
	// left is set once the end of the membership was asked for.
	left      bool
	joinAsked bool
	// upkeepAt is when moves and maintenance were last looked at.
	upkeepAt vocab.Instant
	// snapshotAt is when a snapshot was last read or asked for.
	snapshotAt vocab.Instant
	// pendingWithdrawals holds keys that were withdrawn while the log was down.
	pendingWithdrawals map[vocab.KeyID]bool

	effects []event.Effect
}

// queue is what the node keeps for one service.
type queue struct {
	id      vocab.QueueID
	service *spec.Service
	pool    spec.Pool
	waiting *admission.Queue
	budget  *retry.Budget
	health  *routing.Health
	// most is the number of running requests above which only teams that use
	// less than their share are served.
	most vocab.Slots
	turn uint64
	// blocked is set while no VM has a free slot for what waits.
	blocked bool
	// near and far are the pool's ready VMs in the node's own zone and in
	// others, as of a generation of the observed VMs.
	near, far  []server
	generation uint64
	listed     vocab.PoolID
	// candidates and chosen are scratch space of dispatch.
	candidates []routing.Candidate
	chosen     []*server
}

// New returns the state of a process that has just started.
func New(self Identity) *State {
	s := &State{
		self:     self,
		fleet:    shared.NewFollower(),
		vms:      observe.New(),
		shares:   newShareState(self.Incarnation),
		limits:   limit.New(limit.Config{Self: self.Incarnation}),
		queues:   map[vocab.QueueID]*queue{},
		requests: map[vocab.RequestID]*request{},
		attempts: map[vocab.AttemptID]*request{},

		pendingWithdrawals: map[vocab.KeyID]bool{},

		peers:     newPeerState(self.Incarnation),
		running:   map[vocab.VMID]int{},
		notTaking: map[vocab.VMID]vocab.Instant{},
		removals:  map[vocab.Incarnation]vocab.Instant{},
	}
	s.upkeep = maintenance.NewController(self.Node, self.Incarnation, s.Shared().Maintenance, s.vms)
	s.tasks = s.newTasks()
	return s
}

// Shared returns the folded state. Callers must not change it.
func (s *State) Shared() *shared.State {
	return s.fleet.State()
}

// Step takes one event and returns what is to be done. Now must not go back
// from call to call. The returned slice is valid until the next call.
func (s *State) Step(now vocab.Instant, ev event.Event) []event.Effect {
	s.now = max(s.now, now)
	s.effects = s.effects[:0]
	switch e := ev.(type) {
	case RequestArrived:
		s.onRequestArrived(e)
	case RequestAbandoned:
		s.onRequestAbandoned(e)
	case AttemptEnded:
		s.onAttemptEnded(e)
	case RecordsRead:
		s.onRecordsRead(e)
	case StreamBegins:
		s.fleet.Begin(e.Earliest)
	case SnapshotFetched:
		s.onSnapshotFetched(e)
	case WithdrawKey:
		s.withdrawKey(e.Key)
	case GossipArrived:
		s.takeGossip(e.Message)
		s.emit(ReplyGossip{Call: e.Call, Message: s.peers.gossip.Compose(s.now)})
	case GossipAnswered:
		s.takeGossip(e.Message)
	case AskArrived:
		s.emit(ReplyAsk{Call: e.Call, Answer: s.limits.OnAsk(s.now, e.Ask)})
	case limit.AnswerArrived:
		s.emitLoans(s.limits.OnAnswer(s.now, e.Answer))
		s.dispatchAll()
	case limit.AskFailed:
		s.emitLoans(s.limits.OnAskFailed(s.now, e.Seq))
	case limit.ReturnArrived:
		s.limits.OnReturn(s.now, e.Return)
		s.dispatchAll()
	case TaskArrived:
		s.onTaskArrived(e)
	case TaskAsked:
		s.onTaskAsked(e)
	case task.RecordsRead, task.ReadFailed, task.LogTrimmed, task.AppendAnswered,
		task.WorkerAnswered, task.WorkerReported, task.WorkersListed:
		s.stepTasks(ev)
	case LogStatus:
		s.onLogStatus(e)
	case VMsListed:
		s.onVMsListed(e)
	case maintenance.OrderAnswered:
		s.effects = append(s.effects, s.upkeep.Step(s.now, e)...)
	case Tick:
		s.onTick(e)
	case LeaveRequested:
		s.leaving = true
		s.notice(NoticeStopping, string(s.self.Node), "readiness withdrawn")
	case StopRequested:
		s.onStopRequested()
	case LastRequestEnded:
		s.onLastRequestEnded()
	}
	return s.effects
}

func (s *State) emit(e event.Effect) {
	s.effects = append(s.effects, e)
}

func (s *State) notice(id NoticeID, subject, detail string) {
	s.emit(Notice{Event: id, Subject: subject, Detail: detail})
}

// newRecordID returns an ID that no other record has.
func (s *State) newRecordID() vocab.RecordID {
	s.lastRecord++
	return vocab.RecordID(strconv.FormatUint(uint64(s.self.Incarnation), 36) + "-" + strconv.FormatUint(s.lastRecord, 36))
}
