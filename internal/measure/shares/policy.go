package shares

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/share"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Policy is a way to divide the slots among teams.
type Policy string

const (
	// Fleet is the policy of the product: shares over the whole fleet.
	Fleet Policy = "fleet"
	// PerNode is fairness on each node alone, with an equal number of slots per
	// node.
	PerNode Policy = "per node"
	// FirstComeFirstServed serves each node's requests in the order of arrival,
	// with an equal number of slots per node.
	FirstComeFirstServed Policy = "arrival"
)

// scheduler makes the admission and scheduling decisions of one node under a
// policy.
type scheduler interface {
	// push queues a request, or refuses it or another one.
	push(now vocab.Instant, item admission.Item) admission.PushResult
	// next removes the request to start next from the queue. running is the number
	// of requests that the node runs.
	next(now vocab.Instant, running int) (admission.Item, bool)
	// finished accounts for a request that has run since started.
	finished(now vocab.Instant, team vocab.TeamID, started vocab.Instant)
	// expire removes the requests that have waited too long from the queue.
	expire(now vocab.Instant) []admission.Item
	// retryAfter returns the delay after which a refused caller may retry.
	retryAfter(now vocab.Instant, team vocab.TeamID, seed uint64) time.Duration
	// updateShares recomputes the node's shares and returns its reports for the
	// other nodes.
	updateShares(now vocab.Instant) []share.DemandReport
	// observe applies a report of another node.
	observe(now vocab.Instant, r share.DemandReport)
	// slotTarget returns the number of slots that the node should have.
	slotTarget() int
}

func newScheduler(p Policy, node int, teams []teamLoad) scheduler {
	if p == FirstComeFirstServed {
		return &firstComeFirstServed{}
	}
	bounds := admission.Bounds{Queued: maxQueued / nodeCount, QueuedPerTeam: maxQueuedPerTeam / nodeCount}
	single := &perNode{queue: admission.New(bounds)}
	var shares []share.Team
	for _, t := range teams {
		single.queue.SetWeight(t.name, t.weight)
		shares = append(shares, share.Team{Name: t.name, Weight: t.weight})
	}
	if p == PerNode {
		return single
	}
	f := &fleetWide{perNode: single, state: share.New(vocab.Incarnation(node + 1))}
	f.state.SetTeams(shares)
	f.state.SetCapacity(poolID, poolSlots)
	return f
}

const poolID vocab.PoolID = "pool"

// perNode schedules by the node's own queue alone.
type perNode struct {
	queue *admission.Queue
}

func (p *perNode) push(now vocab.Instant, item admission.Item) admission.PushResult {
	return p.queue.Push(now, item)
}

func (p *perNode) next(now vocab.Instant, _ int) (admission.Item, bool) {
	return p.queue.Next(now, func(vocab.TeamID) bool { return true })
}

func (p *perNode) finished(now vocab.Instant, team vocab.TeamID, started vocab.Instant) {
	p.queue.Finished(now, team, started)
}

func (p *perNode) expire(now vocab.Instant) []admission.Item {
	p.queue.Advance(now)
	return p.queue.Expire(now)
}

func (p *perNode) retryAfter(now vocab.Instant, team vocab.TeamID, seed uint64) time.Duration {
	return p.queue.RetryAfter(now, team, seed)
}

func (p *perNode) updateShares(vocab.Instant) []share.DemandReport { return nil }

func (p *perNode) observe(vocab.Instant, share.DemandReport) {}

func (p *perNode) slotTarget() int { return poolSlots / nodeCount }

// fleetWide schedules by the node's queue and by the reports of all nodes, as
// the product does.
type fleetWide struct {
	*perNode
	state      *share.State
	lastUpdate vocab.Instant
}

func (f *fleetWide) updateShares(now vocab.Instant) []share.DemandReport {
	interval := now.Sub(f.lastUpdate)
	f.lastUpdate = now
	var reports []share.DemandReport
	f.queue.Report(func(u admission.Usage) {
		reports = append(reports, f.state.Report(now, share.DemandReport{
			Pool:               poolID,
			Team:               u.Team,
			Demand:             float64(u.Demand) / float64(interval),
			AccumulatedService: u.AccumulatedService,
		}))
	})
	f.state.Update(now)
	for _, a := range f.state.Allocations(poolID) {
		f.queue.SetWeight(a.Team, a.Weight)
		f.queue.SetTeamBound(a.Team, share.NodeBound(maxQueuedPerTeam, nodeCount, a.Demand, a.FleetDemand))
	}
	own, all := f.state.Demand(poolID)
	f.queue.SetBounds(admission.Bounds{Queued: share.NodeBound(maxQueued, nodeCount, own, all), QueuedPerTeam: maxQueuedPerTeam / nodeCount})
	return reports
}

func (f *fleetWide) observe(now vocab.Instant, r share.DemandReport) {
	f.state.Observe(now, r)
}

func (f *fleetWide) slotTarget() int {
	slots := int(math.Ceil(f.state.NodeTarget(poolID)))
	if !f.state.Contended(poolID) {
		slots = max(slots, f.queue.Outstanding())
	}
	return slots
}

func (f *fleetWide) next(now vocab.Instant, running int) (admission.Item, bool) {
	atMax := running >= int(f.state.MaxConstrainedSlots(poolID))
	return f.queue.Next(now, func(team vocab.TeamID) bool {
		return !atMax || !f.state.Constrained(poolID, team)
	})
}

// firstComeFirstServed starts requests in the order of arrival, without regard
// to their teams.
type firstComeFirstServed struct {
	waiting []admission.Item
}

func (a *firstComeFirstServed) push(_ vocab.Instant, item admission.Item) admission.PushResult {
	if len(a.waiting) >= maxQueued/nodeCount {
		return admission.PushResult{Refusal: admission.QueueFull}
	}
	a.waiting = append(a.waiting, item)
	return admission.PushResult{}
}

func (a *firstComeFirstServed) next(vocab.Instant, int) (admission.Item, bool) {
	if len(a.waiting) == 0 {
		return admission.Item{}, false
	}
	item := a.waiting[0]
	a.waiting = a.waiting[1:]
	return item, true
}

func (a *firstComeFirstServed) finished(vocab.Instant, vocab.TeamID, vocab.Instant) {}

func (a *firstComeFirstServed) expire(now vocab.Instant) []admission.Item {
	var kept, expired []admission.Item
	for _, item := range a.waiting {
		if item.Expires <= now {
			expired = append(expired, item)
		} else {
			kept = append(kept, item)
		}
	}
	a.waiting = kept
	return expired
}

func (a *firstComeFirstServed) retryAfter(vocab.Instant, vocab.TeamID, uint64) time.Duration {
	return 2 * time.Second
}

func (a *firstComeFirstServed) updateShares(vocab.Instant) []share.DemandReport { return nil }

func (a *firstComeFirstServed) observe(vocab.Instant, share.DemandReport) {}

func (a *firstComeFirstServed) slotTarget() int { return poolSlots / nodeCount }
