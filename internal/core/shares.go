package core

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/share"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// shareState is the node's knowledge of shares and of its own use.
type shareState struct {
	*share.State
	// facts are this node's own reports of the last update.
	facts   []share.Fact
	updated vocab.Instant
	// present is the number of running and waiting requests of each team.
	present map[vocab.TeamID]vocab.Slots
}

func newShareState(self vocab.Incarnation) shareState {
	return shareState{State: share.New(self), present: map[vocab.TeamID]vocab.Slots{}}
}

// ObserveShare takes in a report of another node.
func (s *State) ObserveShare(f share.Fact) {
	s.shares.Observe(s.now, f)
}

// ShareFacts returns this node's reports for the other nodes, sorted by
// queue. Reports about idle teams are left out. The slice is valid until the
// next Step.
func (s *State) ShareFacts() []share.Fact {
	return s.shares.facts
}

// forgetShares drops the reports of nodes whose membership ended.
func (s *State) forgetShares() {
	s.shares.KeepMembers(func(node vocab.Incarnation) bool {
		_, ok := s.Shared().Members[node]
		return ok || node == s.self.Incarnation
	})
}

// updateShares computes the parts of teams anew each share.UpdateInterval and
// gives them to queues and limits.
func (s *State) updateShares() {
	if s.Shared().Fleet == nil {
		return
	}
	if s.now.Sub(s.shares.updated) < share.UpdateInterval {
		return
	}
	interval := s.now.Sub(s.shares.updated)
	s.shares.updated = s.now
	s.reportUsage(interval)
	s.shares.SetTeams(s.shareTeams())
	for _, p := range s.Shared().Fleet.Pools {
		s.shares.SetCapacity(p.Name, vocab.Slots(len(s.vms.Ready(p.Name)))*p.Slots)
	}
	s.shares.Update(s.now)
	for _, id := range s.names {
		s.applyShares(s.queues[id])
	}
}

// reportUsage turns what the queues observed into reports.
func (s *State) reportUsage(interval time.Duration) {
	s.shares.facts = s.shares.facts[:0]
	clear(s.shares.present)
	for _, id := range s.names {
		q := s.queues[id]
		q.waiting.Report(func(u admission.Usage) {
			s.shares.present[u.Team] += vocab.Slots(u.Present)
			s.shares.facts = append(s.shares.facts, s.shares.Report(s.now, share.Fact{
				Pool:     q.pool.Name,
				Team:     u.Team,
				Demand:   float64(u.Wanted) / float64(interval),
				Attained: u.Attained,
			}))
		})
	}
	s.addTaskDemand()
	for _, t := range s.Shared().Fleet.Teams {
		s.limits.SetDemand(limit.TeamAccount(t.Name), s.shares.present[t.Name])
	}
}

// addTaskDemand adds what the owner of the tasks would run, as far as its own
// part of each limit goes: tasks take no loans.
func (s *State) addTaskDemand() {
	wanted := map[vocab.TeamID]vocab.Slots{}
	s.tasks.Demand(func(team vocab.TeamID, tasks int) {
		wanted[team] += vocab.Slots(tasks)
	})
	for team, n := range wanted {
		s.shares.present[team] += min(n, s.limits.Part(limit.TeamAccount(team)))
	}
}

func (s *State) shareTeams() []share.Team {
	out := make([]share.Team, len(s.Shared().Fleet.Teams))
	for i, t := range s.Shared().Fleet.Teams {
		out[i] = share.Team{Name: t.Name, Weight: float64(t.Share), Limit: t.UpperLimit}
	}
	return out
}

// applyShares gives one queue's parts to the queue and to the limits.
func (s *State) applyShares(q *queue) {
	for _, part := range s.shares.Parts(q.pool.Name) {
		q.waiting.SetWeight(part.Team, part.Weight)
		q.waiting.SetTeamBound(part.Team, share.Bound(q.service.Hold.QueuedPerTeam, len(s.Shared().Members), part.Demand, part.FleetDemand))
	}
	own, fleet := s.shares.Demand(q.pool.Name)
	q.waiting.SetBounds(admission.Bounds{
		Queued:        share.Bound(q.service.Hold.Queued, len(s.Shared().Members), own, fleet),
		QueuedPerTeam: share.Bound(q.service.Hold.QueuedPerTeam, len(s.Shared().Members), 0, 0),
	})
	want := vocab.Slots(math.Ceil(s.shares.NodeTarget(q.pool.Name)))
	if !s.shares.Contended(q.pool.Name) {
		want = max(want, vocab.Slots(q.waiting.Present()))
	}
	q.most = s.shares.Most(q.pool.Name)
	s.limits.SetDemand(limit.PoolAccount(q.pool.Name), want)
	q.health.Prune(s.now)
}

// refuseEvicted answers a request that gave way to one of another team.
func (s *State) refuseEvicted(q *queue, it admission.Item) {
	after := q.waiting.RetryAfter(s.now, it.Team, s.seed(it.Request))
	s.refuseWaiting(it.Request, notRun(CodeQueueFull, after, "the queue is full and the team has the most waiting for its share"))
}

// retryAfter returns when a refused caller should come back.
func (s *State) retryAfter(r *request) time.Duration {
	return r.queue.waiting.RetryAfter(s.now, r.team, s.seed(r.id))
}

// seed returns a number that differs from request to request and from process
// to process.
func (s *State) seed(id vocab.RequestID) uint64 {
	const spread = 0x9e3779b97f4a7c15 // odd, so that no two requests collide
	return uint64(s.self.Incarnation) ^ uint64(id)*spread
}
