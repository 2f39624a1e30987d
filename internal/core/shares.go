package core

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/share"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// shareState combines the computation of shares with this node's own usage.
type shareState struct {
	*share.State
	// ownReports are this node's own reports as of the last update.
	ownReports []share.DemandReport
	lastUpdate vocab.Instant
	// teamDemand is the number of running and waiting requests of each team, and
	// at the owner of the tasks also of its tasks.
	teamDemand map[vocab.TeamID]vocab.Slots
}

func newShareState(self vocab.Incarnation) shareState {
	return shareState{State: share.New(self), teamDemand: map[vocab.TeamID]vocab.Slots{}}
}

// observeDemand records a demand report from another node.
func (s *State) observeDemand(r share.DemandReport) {
	s.shares.Observe(s.now, r)
}

// DemandReports returns this node's demand reports for the other nodes, sorted by
// queue. Idle teams have no report. The slice is valid until the next Step.
func (s *State) DemandReports() []share.DemandReport {
	return s.shares.ownReports
}

// dropFormerMembers drops the reports of nodes that are no longer members.
func (s *State) dropFormerMembers() {
	s.shares.KeepMembers(func(node vocab.Incarnation) bool {
		_, ok := s.Shared().Members[node]
		return ok || node == s.self.Incarnation
	})
}

// updateShares recomputes the quotas of the teams every share.UpdateInterval
// and applies them to the queues and limits.
func (s *State) updateShares() {
	if s.Shared().Fleet == nil {
		return
	}
	if s.now.Sub(s.shares.lastUpdate) < share.UpdateInterval {
		return
	}
	interval := s.now.Sub(s.shares.lastUpdate)
	s.shares.lastUpdate = s.now
	s.reportUsage(interval)
	s.shares.SetTeams(s.shareTeams())
	for _, p := range s.Shared().Fleet.Pools {
		s.shares.SetCapacity(p.Name, vocab.Slots(len(s.vms.Ready(p.Name)))*p.Slots)
	}
	s.shares.Update(s.now)
	for _, id := range s.queueIDs {
		s.applyShares(s.queues[id])
	}
}

// reportUsage creates this node's reports from the usage measured by the queues
// over the interval, and sets the demand of the team limits.
func (s *State) reportUsage(interval time.Duration) {
	s.shares.ownReports = s.shares.ownReports[:0]
	clear(s.shares.teamDemand)
	for _, id := range s.queueIDs {
		q := s.queues[id]
		q.waiting.Report(func(u admission.Usage) {
			s.shares.teamDemand[u.Team] += vocab.Slots(u.Outstanding)
			s.shares.ownReports = append(s.shares.ownReports, s.shares.Report(s.now, share.DemandReport{
				Pool:               q.pool.Name,
				Team:               u.Team,
				Demand:             float64(u.Demand) / float64(interval),
				AccumulatedService: u.AccumulatedService,
			}))
		})
	}
	s.addTaskDemand()
	for _, t := range s.Shared().Fleet.Teams {
		s.limits.SetDemand(limit.TeamAccount(t.Name), s.shares.teamDemand[t.Name])
	}
}

// addTaskDemand adds the tasks that this node, as their owner, runs or would
// run. They count up to the node's own quota of each team's limit, since tasks
// use no loans.
func (s *State) addTaskDemand() {
	wanted := map[vocab.TeamID]vocab.Slots{}
	s.tasks.Demand(func(team vocab.TeamID, tasks int) {
		wanted[team] += vocab.Slots(tasks)
	})
	for team, n := range wanted {
		s.shares.teamDemand[team] += min(n, s.limits.OwnQuota(limit.TeamAccount(team)))
	}
}

func (s *State) shareTeams() []share.Team {
	out := make([]share.Team, len(s.Shared().Fleet.Teams))
	for i, t := range s.Shared().Fleet.Teams {
		out[i] = share.Team{Name: t.Name, Weight: float64(t.Share), Limit: t.UpperLimit}
	}
	return out
}

// applyShares applies the quotas of a queue's pool to the queue and to the
// limits.
func (s *State) applyShares(q *queue) {
	for _, quota := range s.shares.Allocations(q.pool.Name) {
		q.waiting.SetWeight(quota.Team, quota.Weight)
		q.waiting.SetTeamBound(quota.Team, share.NodeBound(q.service.QueueLimits.MaxQueuedPerTeam, len(s.Shared().Members), quota.Demand, quota.FleetDemand))
	}
	own, fleet := s.shares.Demand(q.pool.Name)
	q.waiting.SetBounds(admission.Bounds{
		Queued:        share.NodeBound(q.service.QueueLimits.MaxQueued, len(s.Shared().Members), own, fleet),
		QueuedPerTeam: share.NodeBound(q.service.QueueLimits.MaxQueuedPerTeam, len(s.Shared().Members), 0, 0),
	})
	want := vocab.Slots(math.Ceil(s.shares.NodeTarget(q.pool.Name)))
	if !s.shares.Contended(q.pool.Name) {
		want = max(want, vocab.Slots(q.waiting.Outstanding()))
	}
	q.runningTarget = s.shares.MaxConstrainedSlots(q.pool.Name)
	s.limits.SetDemand(limit.PoolAccount(q.pool.Name), want)
	q.health.Prune(s.now)
}

// refuseEvicted refuses a request that was evicted for a request of another
// team.
func (s *State) refuseEvicted(q *queue, it admission.Item) {
	after := q.waiting.RetryAfter(s.now, it.Team, s.seed(it.Request))
	s.refuseWaiting(it.Request, notRun(CodeQueueFull, after, "the queue is full and the team has the most waiting for its share"))
}

// retryAfter returns the time after which a refused caller should retry.
func (s *State) retryAfter(r *request) time.Duration {
	return r.queue.waiting.RetryAfter(s.now, r.team, s.seed(r.id))
}

// seed returns a seed for jitter that differs between requests and between
// processes.
func (s *State) seed(id vocab.RequestID) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // odd, so that distinct request IDs give distinct seeds
	return uint64(s.self.Incarnation) ^ uint64(id)*multiplier
}
