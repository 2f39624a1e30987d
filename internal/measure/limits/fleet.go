package limits

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// tick is the time between two calls of Tick of a node.
	tick = 100 * time.Millisecond
	// longestRun is the longest run limit of the modelled queues.
	longestRun = 30 * time.Second
)

// fleet is a set of nodes that fold the same log and reach each other at once.
type fleet struct {
	now    vocab.Instant
	states []*limit.State
	ids    []vocab.Incarnation
	totals []limit.Total
	// lost marks nodes whose process has ended.
	lost []bool
	sent traffic
	// busy is the processor time spent in Tick, OnAsk, OnAnswer and OnReturn.
	busy time.Duration
}

// newFleet returns a fleet in which all nodes have confirmed their parts.
func newFleet(nodes int, totals []limit.Total) *fleet {
	f := &fleet{totals: totals, lost: make([]bool, nodes)}
	var members []limit.Member
	for i := range nodes {
		id := vocab.Incarnation(i + 1)
		f.ids = append(f.ids, id)
		f.states = append(f.states, limit.New(limit.Config{Self: id}))
		members = append(members, limit.Member{Incarnation: id})
	}
	f.fold(1, members)
	for _, s := range f.states {
		s.FoldTotals(f.now, 2, totals, longestRun)
		s.SetReachable(f.ids)
	}
	f.confirm()
	return f
}

func (f *fleet) fold(at vocab.Offset, members []limit.Member) {
	for i, s := range f.states {
		if !f.lost[i] {
			s.FoldMembers(f.now, at, members)
		}
	}
}

// confirm spreads the settled offsets of all live nodes.
func (f *fleet) confirm() {
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

// step lets one tick pass on every live node.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for i, s := range f.states {
		if f.lost[i] {
			continue
		}
		begin := time.Now()
		effects := s.Tick(f.now)
		f.busy += time.Since(begin)
		f.perform(effects)
	}
}

// run lets time pass, with reports of settled offsets once a second.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		if f.now%vocab.Instant(time.Second) == 0 {
			f.confirm()
		}
	}
}

// perform carries out effects and counts their messages.
func (f *fleet) perform(effects []event.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case limit.SendLoanRequest:
			f.ask(e.Request)
		case limit.SendLoanReturn:
			f.sent.addReturn(e.Return)
			if to := int(e.Return.To) - 1; !f.lost[to] {
				f.states[to].OnLoanReturn(f.now, e.Return)
			}
		}
	}
}

func (f *fleet) ask(ask limit.LoanRequest) {
	f.sent.addAsk(ask)
	to, from := int(ask.To)-1, int(ask.From)-1
	if f.lost[to] {
		f.perform(f.states[from].OnLoanRequestFailed(f.now, ask.Seq))
		return
	}
	begin := time.Now()
	answer := f.states[to].OnLoanRequest(f.now, ask)
	next := f.states[from].OnLoanReply(f.now, answer)
	f.busy += time.Since(begin)
	f.sent.addAnswer(answer)
	f.perform(next)
}

// usable returns how much of each node's demand it can run, over all accounts.
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
