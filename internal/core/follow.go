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
		changes, err := s.fleet.Read(rec)
		s.onChanges(changes)
		if err != nil {
			s.stopFold(rec.Envelope.ID, err)
			return
		}
	}
	if e.CaughtUp && !s.fleet.Searching() {
		s.join()
	}
}

// onSnapshotFetched takes a peer's snapshot if it is later than the fold.
func (s *State) onSnapshotFetched(e SnapshotFetched) {
	changes, err := s.fleet.Adopt(e.Snapshot)
	s.onChanges(changes)
	if err != nil {
		s.notice(NoticeSnapshotRefused, "", err.Error())
	}
}

// stopFold makes the fold stand still: the configuration folded so far stays
// in force.
func (s *State) stopFold(id vocab.RecordID, err error) {
	s.foldStopped = true
	s.notice(NoticeFoldStopped, string(id), err.Error())
}

func (s *State) onChanges(changes []shared.Change) {
	for _, c := range changes {
		s.onChange(c)
	}
}

func (s *State) onChange(c shared.Change) {
	if c.Refused {
		s.notice(NoticeConfigRefused, "", "the configuration was based on a revision no longer in force")
	}
	if c.Config {
		s.adoptFleet()
		s.upkeep.Step(s.now, maintenance.FleetChanged{Fleet: s.Shared().Fleet})
		s.notice(NoticeConfigInForce, s.Shared().Fleet.Name, "")
	}
	if c.Withdrawn != "" {
		s.endKey(c.Withdrawn)
	}
	if c.Snapshot {
		s.snapshotAt = s.now
		s.endLostKeys()
		s.upkeep.Adopt(s.now, s.Shared().Maintenance)
	}
	if c.Members {
		s.forgetShares()
	}
	if c.Maintenance != nil {
		s.upkeep.Step(s.now, *c.Maintenance)
	}
	s.foldLimits(c)
}

// adoptFleet brings queues into line with the configuration in force.
func (s *State) adoptFleet() {
	fleet := s.Shared().Fleet
	s.numbers = number(fleet)
	for i := range fleet.Services {
		service := &fleet.Services[i]
		q, ok := s.queues[service.Queue]
		if !ok {
			q = &queue{
				id:      service.Queue,
				waiting: admission.New(admission.Bounds{}),
				budget:  retry.NewBudget(),
				turn:    uint64(s.self.Incarnation),
				health:  routing.NewHealth(),
				most:    math.MaxInt32,
			}
			s.queues[service.Queue] = q
		}
		s.configure(q, service)
	}
	for _, id := range s.names {
		if _, ok := fleet.Service(id); !ok {
			s.closeQueue(id)
		}
	}
	s.names = s.names[:0]
	for id := range s.queues {
		s.names = append(s.names, id)
	}
	slices.Sort(s.names)
}

func (s *State) configure(q *queue, service *spec.Service) {
	q.service = service
	q.pool, _ = s.Shared().Fleet.Pool(service.Pool)
	members := max(1, len(s.Shared().Members))
	q.waiting.SetBounds(admission.Bounds{
		Queued:        max(1, service.Hold.Queued/members),
		QueuedPerTeam: max(1, service.Hold.QueuedPerTeam/members),
	})
	for _, t := range s.Shared().Fleet.Teams {
		q.waiting.SetWeight(t.Name, float64(t.Share))
	}
}

// closeQueue refuses what waits in a queue that the configuration removed.
func (s *State) closeQueue(id vocab.QueueID) {
	q := s.queues[id]
	delete(s.queues, id)
	for _, it := range q.waiting.RemoveIf(func(admission.Item) bool { return true }) {
		s.refuseWaiting(it.Request, notRun(CodeNoQueue, 0, "the service was removed"))
	}
}

func (s *State) onLogStatus(e LogStatus) {
	if s.logDown == !e.Up {
		return
	}
	s.logDown = !e.Up
	if s.logDown {
		s.notice(NoticeLogDown, string(shared.Stream), "")
		return
	}
	s.notice(NoticeLogUp, string(shared.Stream), "")
}

func (s *State) onVMsListed(e VMsListed) {
	s.vms.ApplyListing(s.now, e.Version, e.Rows)
	s.foldTotals()
	s.dispatchAll()
}

func (s *State) onTick(e Tick) {
	for _, id := range s.names {
		q := s.queues[id]
		for _, it := range q.waiting.Expire(s.now) {
			after := q.waiting.RetryAfter(s.now, it.Team, s.seed(it.Request))
			s.refuseWaiting(it.Request, notRun(CodeWaitedTooLong, after, "no VM was free in time"))
		}
		q.waiting.Advance(s.now)
	}
	s.updateShares()
	s.emitLoans(s.limits.Tick(s.now))
	s.endLingering()
	s.gossipRound()
	s.removeGone()
	s.seekSnapshot()
	s.takeSnapshotIfDue()
	s.maintain(e.Unix)
	s.stepTasks(task.Tick{})
	s.dispatchAll()
}

// dispatchAll tries every queue.
func (s *State) dispatchAll() {
	for _, id := range s.names {
		s.dispatch(s.queues[id])
	}
}
