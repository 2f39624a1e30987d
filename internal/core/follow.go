package core

import (
	"math"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/core/routing"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

func (s *State) onRecordsRead(e RecordsRead) {
	for _, rec := range e.Records {
		if s.foldStopped {
			return
		}
		changes, err := s.follower.Read(rec)
		s.applyChanges(changes)
		if err != nil {
			s.stopFold(rec.Envelope.ID, err)
			return
		}
	}
	if e.CaughtUp && !s.follower.CatchingUp() {
		s.join()
	}
}

// onSnapshotFetched installs a peer's snapshot if its offset is later than the
// folded one.
func (s *State) onSnapshotFetched(e SnapshotFetched) {
	changes, err := s.follower.Install(e.Snapshot)
	s.applyChanges(changes)
	if err != nil {
		s.logEvent(LogEventSnapshotRefused, "", err.Error())
	}
}

// stopFold stops folding the fleet stream for good, because a record cannot be
// folded. The configuration folded so far stays in force.
func (s *State) stopFold(id vocab.RecordID, err error) {
	s.foldStopped = true
	s.logEvent(LogEventFoldStopped, string(id), err.Error())
}

func (s *State) applyChanges(changes []shared.Change) {
	for _, c := range changes {
		s.applyChange(c)
	}
}

func (s *State) applyChange(c shared.Change) {
	if c.ConfigRefused {
		s.logEvent(LogEventConfigRefused, "", "the configuration was based on a revision no longer in force")
	}
	if c.ConfigChanged {
		s.applyConfig()
		s.maintenance.Step(s.now, maintenance.FleetChanged{Fleet: s.Shared().Fleet})
		s.logEvent(LogEventConfigInForce, s.Shared().Fleet.Name, "")
	}
	if c.WithdrawnKey != "" {
		s.applyWithdrawal(c.WithdrawnKey)
	}
	if c.Snapshot {
		s.lastSnapshot = s.now
		s.refuseInactiveKeys()
		s.maintenance.Install(s.now, s.Shared().Maintenance)
	}
	if c.MembersChanged {
		s.dropFormerMembers()
	}
	if c.Maintenance != nil {
		s.maintenance.Step(s.now, *c.Maintenance)
	}
	s.foldLimits(c)
}

// applyConfig creates, reconfigures and removes queues according to the
// configuration in force.
func (s *State) applyConfig() {
	fleet := s.Shared().Fleet
	s.indexes = newGossipIndexes(fleet)
	for i := range fleet.Services {
		service := &fleet.Services[i]
		q, ok := s.queues[service.Queue]
		if !ok {
			q = &queue{
				id:            service.Queue,
				waiting:       admission.New(admission.Bounds{}),
				retryBudget:   retry.NewBudget(),
				rotation:      uint64(s.self.Incarnation),
				health:        routing.NewHealth(),
				runningTarget: math.MaxInt32,
			}
			s.queues[service.Queue] = q
		}
		s.configureQueue(q, service)
	}
	for _, id := range s.queueIDs {
		if _, ok := fleet.Service(id); !ok {
			s.closeQueue(id)
		}
	}
	s.queueIDs = s.queueIDs[:0]
	for id := range s.queues {
		s.queueIDs = append(s.queueIDs, id)
	}
	slices.Sort(s.queueIDs)
}

func (s *State) configureQueue(q *queue, service *spec.Service) {
	q.service = service
	q.pool, _ = s.Shared().Fleet.Pool(service.Pool)
	members := max(1, len(s.Shared().Members))
	q.waiting.SetBounds(admission.Bounds{
		Queued:        max(1, service.QueueLimits.MaxQueued/members),
		QueuedPerTeam: max(1, service.QueueLimits.MaxQueuedPerTeam/members),
	})
	for _, t := range s.Shared().Fleet.Teams {
		q.waiting.SetWeight(t.Name, float64(t.Share))
	}
}

// closeQueue removes a queue that is no longer in the configuration and refuses
// the requests waiting in it.
func (s *State) closeQueue(id vocab.QueueID) {
	q := s.queues[id]
	delete(s.queues, id)
	for _, item := range q.waiting.RemoveIf(func(admission.Item) bool { return true }) {
		s.refuseWaiting(item.Request, notRun(CodeNoQueue, 0, "the service was removed"))
	}
}

func (s *State) onLogStatus(e LogStatus) {
	if s.logDown == !e.Up {
		return
	}
	s.logDown = !e.Up
	if s.logDown {
		s.logEvent(LogEventLogDown, string(shared.Stream), "")
		return
	}
	s.logEvent(LogEventLogUp, string(shared.Stream), "")
}

func (s *State) onVMsListed(e VMsListed) {
	s.vms.ApplyListing(s.now, e.Version, e.Rows)
	s.foldTotals()
	s.dispatchAll()
}

func (s *State) onTick(e Tick) {
	for _, id := range s.queueIDs {
		q := s.queues[id]
		for _, item := range q.waiting.Expire(s.now) {
			after := q.waiting.RetryAfter(s.now, item.Team, s.seed(item.Request))
			s.refuseWaiting(item.Request, notRun(CodeWaitedTooLong, after, "no VM was free in time"))
		}
		q.waiting.Advance(s.now)
	}
	s.updateShares()
	s.emitLoanMessages(s.limits.Tick(s.now))
	s.expireUnknownAttempts()
	s.gossipRound()
	s.removeGoneMembers()
	s.fetchSnapshotFromPeers()
	s.appendSnapshotIfDue()
	s.stepMaintenance(e.Unix)
	s.stepTasks(task.Tick{})
	s.dispatchAll()
}

// dispatchAll dispatches from every queue.
func (s *State) dispatchAll() {
	for _, id := range s.queueIDs {
		s.dispatch(s.queues[id])
	}
}
