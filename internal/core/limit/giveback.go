package limit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// returns gives back the tokens of loans that this node no longer needs or may
// no longer use. Tokens with work running stay.
func (s *State) returns(now vocab.Instant) []event.Effect {
	byGiver := map[vocab.Incarnation]*Return{}
	for _, key := range s.sortedLoans() {
		l := s.borrower.loans[key]
		give := l.slots - l.running
		if !l.recalled && now.Before(l.lapse) {
			give = min(give, s.surplus(now, l.account))
		}
		if give > 0 {
			s.giveBack(byGiver, l, give)
		}
	}
	var effects []event.Effect
	for _, giver := range slices.SortedFunc(maps.Keys(byGiver), cmp.Compare) {
		effects = append(effects, SendReturn{Return: *byGiver[giver]})
	}
	return effects
}

// giveBack lowers a loan and adds that to the return to its giver.
func (s *State) giveBack(byGiver map[vocab.Incarnation]*Return, l *loan, n vocab.Slots) {
	l.slots -= n
	r, ok := byGiver[l.giver]
	if !ok {
		r = &Return{From: s.cfg.Self, To: l.giver}
		byGiver[l.giver] = r
	}
	r.Items = append(r.Items, ReturnItem{ID: l.id, Keep: l.slots})
	if l.slots > 0 {
		return
	}
	delete(s.borrower.loans, loanKey{l.giver, l.id})
	a := l.account
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b *loan) bool { return b == l })
}

// surplus returns how many tokens of an account this node has not needed for a
// while: of the account, and of the pool if it is a VM's account.
func (s *State) surplus(now vocab.Instant, a *account) vocab.Slots {
	n := s.idle(now, a.id)
	if a.pool == "" {
		return n
	}
	return min(n, s.idle(now, PoolAccount(a.pool)))
}

// idle returns what is more than the demand, once it has been so for a while.
func (s *State) idle(now vocab.Instant, id Account) vocab.Slots {
	w := s.watch(id)
	excess := -s.short(now, id)
	if excess <= 0 {
		w.idle = false
		return 0
	}
	if !w.idle {
		w.idle = true
		w.idleSince = now
	}
	if s.draining || now.Sub(w.idleSince) >= s.cfg.IdleReturn {
		return excess
	}
	return 0
}
