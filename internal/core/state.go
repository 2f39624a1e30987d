// Package core is the reducer that makes every decision of an entry node. It
// consumes events and returns effects. It does no I/O, reads no clock and
// starts no goroutine, so the same events always give the same effects.
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

// Identity describes the process and where peers reach it. It is fixed when the
// process starts.
type Identity struct {
	Node        vocab.NodeID
	Incarnation vocab.Incarnation
	Zone        vocab.ZoneID
	Region      vocab.RegionID
	PeerAddress string
	// FirstPeers lists the addresses of peers to fetch a snapshot from if the log
	// is unavailable when the process starts.
	FirstPeers []string
}

// State is the state of one entry node.
type State struct {
	self Identity
	now  vocab.Instant
	// follower folds the fleet stream into the shared state.
	follower    *shared.Follower
	vms         *observe.State
	limits      *limit.State
	maintenance *maintenance.Controller
	tasks       *task.Controller
	peers       peerState
	// indexes holds the gossip indexes of the configuration in force.
	indexes gossipIndexes
	// runningOnVM counts the requests from this node that may be running on each
	// VM, including those with an unknown outcome.
	runningOnVM map[vocab.VMID]int
	// unknownAttempts holds the ended attempts that may still be running.
	unknownAttempts []unknownAttempt
	// notReadySince holds the time from which this node has dispatched nothing to
	// a VM because it is not ready; for a ready VM, the time of the last check.
	notReadySince map[vocab.VMID]vocab.Instant
	// removalRequestedAt holds the time of the last removal request for each
	// member.
	removalRequestedAt map[vocab.Incarnation]vocab.Instant
	// lastRemovalCheck is the time of the last check for members to remove.
	lastRemovalCheck vocab.Instant
	// lastSnapshotFetch is the time of the last request to peers for a snapshot.
	lastSnapshotFetch vocab.Instant
	shares            shareState

	queues            map[vocab.QueueID]*queue
	queueIDs          []vocab.QueueID // keys of queues, sorted
	requests          map[vocab.RequestID]*request
	requestsByAttempt map[vocab.AttemptID]*request // by running attempt

	lastAttemptID    vocab.AttemptID
	lastRecordNumber uint64
	logDown          bool
	foldStopped      bool
	// leaving is set from the first step of a graceful stop: the node reports
	// itself not ready to the load balancer but still accepts requests.
	leaving bool
	// stopping is set from the second step of a graceful stop: new requests are
	// refused.
	stopping bool
	// ownRemovalRequested is set once this node has requested the end of its own
	// membership.
	ownRemovalRequested bool
	joinRequested       bool
	// lastMaintenance is the time of the last maintenance step.
	lastMaintenance vocab.Instant
	// lastSnapshot is the time at which a snapshot was last folded or written.
	lastSnapshot vocab.Instant
	// pendingWithdrawals holds the keys that this node refuses although their
	// withdrawal has not been folded from the log yet.
	pendingWithdrawals map[vocab.KeyID]bool

	effects []event.Effect
}

// queue is the state of the queue of one service on this node.
type queue struct {
	id          vocab.QueueID
	service     *spec.Service
	pool        spec.Pool
	waiting     *admission.Queue
	retryBudget *retry.Budget
	health      *routing.Health
	// runningTarget is the number of running requests at or above which only
	// teams below their share are served.
	runningTarget vocab.Slots
	// rotation is the index, modulo their number, of the first VM to consider for
	// the next attempt. It increases with each attempt so that all VMs are
	// considered.
	rotation uint64
	// blocked is set if the last dispatch stopped with requests waiting because
	// no VM had a free slot, or because the node had reached its target and no
	// waiting team was below its share.
	blocked bool
	// sameZone and otherZones cache the ready VMs of cachedPool in the node's own
	// zone and in the other zones, as of vmGeneration of the observed VMs.
	sameZone, otherZones []readyVM
	vmGeneration         uint64
	cachedPool           vocab.PoolID
	// candidates and candidateVMs are scratch buffers of dispatch with the same
	// order.
	candidates   []routing.Candidate
	candidateVMs []*readyVM
}

// New returns the state of a process that has just started.
func New(self Identity) *State {
	s := &State{
		self:              self,
		follower:          shared.NewFollower(),
		vms:               observe.New(),
		shares:            newShareState(self.Incarnation),
		limits:            limit.New(limit.Config{Self: self.Incarnation}),
		queues:            map[vocab.QueueID]*queue{},
		requests:          map[vocab.RequestID]*request{},
		requestsByAttempt: map[vocab.AttemptID]*request{},

		pendingWithdrawals: map[vocab.KeyID]bool{},

		peers:              newPeerState(self.Incarnation),
		runningOnVM:        map[vocab.VMID]int{},
		notReadySince:      map[vocab.VMID]vocab.Instant{},
		removalRequestedAt: map[vocab.Incarnation]vocab.Instant{},
	}
	s.maintenance = maintenance.NewController(self.Node, self.Incarnation, s.Shared().Maintenance, s.vms)
	s.tasks = s.newTasks()
	return s
}

// Shared returns the state folded from the fleet stream. Callers must not
// modify it.
func (s *State) Shared() *shared.State {
	return s.follower.State()
}

// Step applies an event and returns the resulting effects. The time now must
// not decrease between calls; an earlier time is replaced by the latest one.
// The returned slice is valid until the next call.
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
	case LogTrimmed:
		s.follower.ContinueFrom(e.Earliest)
	case SnapshotFetched:
		s.onSnapshotFetched(e)
	case WithdrawKey:
		s.withdrawKey(e.Key)
	case GossipArrived:
		s.mergeGossip(e.Message)
		s.emit(ReplyGossip{Call: e.Call, Message: s.peers.gossip.Compose(s.now)})
	case GossipReplied:
		s.mergeGossip(e.Message)
	case LoanRequestArrived:
		s.emit(ReplyLoanRequest{Call: e.Call, Reply: s.limits.OnLoanRequest(s.now, e.Request)})
	case limit.LoanReplyArrived:
		s.emitLoanMessages(s.limits.OnLoanReply(s.now, e.Reply))
		s.dispatchAll()
	case limit.LoanRequestFailed:
		s.emitLoanMessages(s.limits.OnLoanRequestFailed(s.now, e.Seq))
	case limit.LoanReturnArrived:
		s.limits.OnLoanReturn(s.now, e.Return)
		s.dispatchAll()
	case TaskSubmitted:
		s.onTaskSubmitted(e)
	case TaskQueried:
		s.onTaskQueried(e)
	case task.RecordsRead, task.ReadFailed, task.LogTrimmed, task.AppendCompleted,
		task.OrderCompleted, task.WorkerReported, task.WorkersListed:
		s.stepTasks(ev)
	case LogStatus:
		s.onLogStatus(e)
	case VMsListed:
		s.onVMsListed(e)
	case maintenance.OrderCompleted:
		s.effects = append(s.effects, s.maintenance.Step(s.now, e)...)
	case Tick:
		s.onTick(e)
	case LeaveRequested:
		s.leaving = true
		s.logEvent(LogEventStopping, string(s.self.Node), "readiness withdrawn")
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

func (s *State) logEvent(id LogEventID, subject, detail string) {
	s.emit(LogEvent{ID: id, Subject: subject, Detail: detail})
}

// newRecordID returns a record ID that is unique across processes: it consists
// of the incarnation and a counter.
func (s *State) newRecordID() vocab.RecordID {
	s.lastRecordNumber++
	return vocab.RecordID(strconv.FormatUint(uint64(s.self.Incarnation), 36) + "-" + strconv.FormatUint(s.lastRecordNumber, 36))
}
