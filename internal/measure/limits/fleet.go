package limits

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// tick is the interval between two calls of limit.State.Tick on each node.
	tick = 100 * time.Millisecond
	// maxRunLimit is the longest run limit of the simulated queues.
	maxRunLimit = 30 * time.Second
)

// fleet is a set of simulated nodes that fold the same log and exchange
// messages without delay.
type fleet struct {
	now    vocab.Instant
	states []*limit.State
	ids    []vocab.Incarnation
	totals []limit.Total
	// lost marks nodes whose process has ended.
	lost []bool
	sent traffic
	// cpuTime is the processor time spent in Tick, OnLoanRequest and OnLoanReply.
	cpuTime time.Duration
}

// newFleet returns a fleet in which all nodes have confirmed their quotas.
func newFleet(nodes int, totals []limit.Total) *fleet {
	f := &fleet{totals: totals, lost: make([]bool, nodes)}
	var members []limit.Member
	for i := range nodes {
		id := vocab.Incarnation(i + 1)
		f.ids = append(f.ids, id)
		f.states = append(f.states, limit.New(limit.Config{Self: id}))
		members = append(members, limit.Member{Incarnation: id})
	}
	f.foldMembers(1, members)
	for _, s := range f.states {
		s.FoldTotals(f.now, 2, totals, maxRunLimit)
		s.SetReachable(f.ids)
	}
	f.exchangeSettled()
	return f
}

// foldMembers folds a member list at a log offset on all live nodes.
func (f *fleet) foldMembers(at vocab.Offset, members []limit.Member) {
	for i, s := range f.states {
		if !f.lost[i] {
			s.FoldMembers(f.now, at, members)
		}
	}
}

// exchangeSettled delivers the settled offset of each live node to all others.
func (f *fleet) exchangeSettled() {
	for i, from := range f.states {
		if f.lost[i] {
			continue
		}
		settled, confirmed := from.Settled()
		for j, to := range f.states {
			if i != j && !f.lost[j] {
				to.OnSettled(f.now, f.ids[i], settled, confirmed)
			}
		}
	}
}

// step advances the clock by one tick and calls Tick on every live node.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for i, s := range f.states {
		if f.lost[i] {
			continue
		}
		begin := time.Now()
		effects := s.Tick(f.now)
		f.cpuTime += time.Since(begin)
		f.execute(effects)
	}
}

// run advances the clock by d. Once a second the nodes exchange their settled
// offsets.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		if f.now%vocab.Instant(time.Second) == 0 {
			f.exchangeSettled()
		}
	}
}

// execute carries out effects of a node and counts their messages.
func (f *fleet) execute(effects []event.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case limit.SendLoanRequest:
			f.requestLoans(e.Request)
		case limit.SendLoanReturn:
			f.sent.addReturn(e.Return)
			if to := int(e.Return.To) - 1; !f.lost[to] {
				f.states[to].OnLoanReturn(f.now, e.Return)
			}
		}
	}
}

// requestLoans delivers a loan request and its reply, and executes the effects
// of the reply.
func (f *fleet) requestLoans(request limit.LoanRequest) {
	f.sent.addRequest(request)
	to, from := int(request.To)-1, int(request.From)-1
	if f.lost[to] {
		f.execute(f.states[from].OnLoanRequestFailed(f.now, request.Seq))
		return
	}
	begin := time.Now()
	reply := f.states[to].OnLoanRequest(f.now, request)
	effects := f.states[from].OnLoanReply(f.now, reply)
	f.cpuTime += time.Since(begin)
	f.sent.addReply(reply)
	f.execute(effects)
}

// usable returns the slots that the live nodes can use of their demand, summed
// over all accounts. demand returns a node's demand for each account.
func (f *fleet) usable(demand func(node int) vocab.Slots) vocab.Slots {
	var sum vocab.Slots
	for i, s := range f.states {
		for _, t := range f.totals {
			if !f.lost[i] {
				sum += min(demand(i), s.Free(f.now, t.Account))
			}
		}
	}
	return sum
}
