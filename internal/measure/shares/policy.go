package shares

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/share"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Policy names a way to decide.
type Policy string

const (
	// Fleet is the product: shares over the whole fleet.
	Fleet Policy = "fleet"
	// PerNode is fairness on each node alone with an even part of the slots.
	PerNode Policy = "per node"
	// Arrival is first come, first served with an even part of the slots.
	Arrival Policy = "arrival"
)

// decider is what one node decides with.
type decider interface {
	push(now vocab.Instant, it admission.Item) admission.PushResult
	// next returns what a node that runs so many requests starts next.
	next(now vocab.Instant, running int) (admission.Item, bool)
	ended(now vocab.Instant, team vocab.TeamID, started vocab.Instant)
	expire(now vocab.Instant) []admission.Item
	retryAfter(now vocab.Instant, team vocab.TeamID, seed uint64) time.Duration
	// update computes parts anew and returns what other nodes are to hear.
	update(now vocab.Instant) []share.DemandReport
	hear(now vocab.Instant, f share.DemandReport)
	// target is the number of slots that the node should hold.
	target() int
}

func newDecider(p Policy, node int, teams []teamLoad) decider {
	if p == Arrival {
		return &arrival{}
	}
	bounds := admission.Bounds{Queued: queued / nodes, QueuedPerTeam: queuedPerTeam / nodes}
	local := &perNode{queue: admission.New(bounds)}
	var shares []share.Team
	for _, t := range teams {
		local.queue.SetWeight(t.name, t.weight)
		shares = append(shares, share.Team{Name: t.name, Weight: t.weight})
	}
	if p == PerNode {
		return local
	}
	f := &fleet{perNode: local, state: share.New(vocab.Incarnation(node + 1))}
	f.state.SetTeams(shares)
	f.state.SetCapacity(pool, poolSlots)
	return f
}

const pool vocab.PoolID = "pool"

// perNode decides by the node's own queue alone.
type perNode struct {
	queue *admission.Queue
}

func (p *perNode) push(now vocab.Instant, it admission.Item) admission.PushResult {
	return p.queue.Push(now, it)
}

func (p *perNode) next(now vocab.Instant, _ int) (admission.Item, bool) {
	return p.queue.Next(now, func(vocab.TeamID) bool { return true })
}

func (p *perNode) ended(now vocab.Instant, team vocab.TeamID, started vocab.Instant) {
	p.queue.Finished(now, team, started)
}

func (p *perNode) expire(now vocab.Instant) []admission.Item {
	p.queue.Advance(now)
	return p.queue.Expire(now)
}

func (p *perNode) retryAfter(now vocab.Instant, team vocab.TeamID, seed uint64) time.Duration {
	return p.queue.RetryAfter(now, team, seed)
}

func (p *perNode) update(vocab.Instant) []share.DemandReport { return nil }

func (p *perNode) hear(vocab.Instant, share.DemandReport) {}

func (p *perNode) target() int { return poolSlots / nodes }

// fleet decides by the queue and by what the nodes report to each other.
type fleet struct {
	*perNode
	state   *share.State
	updated vocab.Instant
}

func (f *fleet) update(now vocab.Instant) []share.DemandReport {
	interval := now.Sub(f.updated)
	f.updated = now
	var facts []share.DemandReport
	f.queue.Report(func(u admission.Usage) {
		facts = append(facts, f.state.Report(now, share.DemandReport{
			Pool:               pool,
			Team:               u.Team,
			Demand:             float64(u.Demand) / float64(interval),
			AccumulatedService: u.AccumulatedService,
		}))
	})
	f.state.Update(now)
	for _, part := range f.state.Allocations(pool) {
		f.queue.SetWeight(part.Team, part.Weight)
		f.queue.SetTeamBound(part.Team, share.NodeBound(queuedPerTeam, nodes, part.Demand, part.FleetDemand))
	}
	own, all := f.state.Demand(pool)
	f.queue.SetBounds(admission.Bounds{Queued: share.NodeBound(queued, nodes, own, all), QueuedPerTeam: queuedPerTeam / nodes})
	return facts
}

func (f *fleet) hear(now vocab.Instant, fact share.DemandReport) {
	f.state.Observe(now, fact)
}

func (f *fleet) target() int {
	want := int(math.Ceil(f.state.NodeTarget(pool)))
	if !f.state.Contended(pool) {
		want = max(want, f.queue.Outstanding())
	}
	return want
}

func (f *fleet) next(now vocab.Instant, running int) (admission.Item, bool) {
	above := running >= int(f.state.MaxConstrainedSlots(pool))
	return f.queue.Next(now, func(team vocab.TeamID) bool {
		return !above || !f.state.Constrained(pool, team)
	})
}

// arrival serves in the order of arrival, whoever it is.
type arrival struct {
	waiting []admission.Item
}

func (a *arrival) push(_ vocab.Instant, it admission.Item) admission.PushResult {
	if len(a.waiting) >= queued/nodes {
		return admission.PushResult{Refusal: admission.QueueFull}
	}
	a.waiting = append(a.waiting, it)
	return admission.PushResult{}
}

func (a *arrival) next(vocab.Instant, int) (admission.Item, bool) {
	if len(a.waiting) == 0 {
		return admission.Item{}, false
	}
	it := a.waiting[0]
	a.waiting = a.waiting[1:]
	return it, true
}

func (a *arrival) ended(vocab.Instant, vocab.TeamID, vocab.Instant) {}

func (a *arrival) expire(now vocab.Instant) []admission.Item {
	var kept, expired []admission.Item
	for _, it := range a.waiting {
		if it.Expires <= now {
			expired = append(expired, it)
		} else {
			kept = append(kept, it)
		}
	}
	a.waiting = kept
	return expired
}

func (a *arrival) retryAfter(vocab.Instant, vocab.TeamID, uint64) time.Duration {
	return 2 * time.Second
}

func (a *arrival) update(vocab.Instant) []share.DemandReport { return nil }

func (a *arrival) hear(vocab.Instant, share.DemandReport) {}

func (a *arrival) target() int { return poolSlots / nodes }
