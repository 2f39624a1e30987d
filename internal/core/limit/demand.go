package limit

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolOf returns the state of a pool, making it known if it is not.
func (s *State) poolOf(id vocab.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = &pool{}
		s.pools[id] = p
	}
	return p
}

// careInterval is the time between looks at all loans, for renewal and return.
const careInterval = 500 * time.Millisecond

// pool groups the accounts of the VMs of one pool.
type pool struct {
	accounts []*account
	// demand is how many slots of any VM of the pool this node would use.
	demand vocab.Slots
}

// SetDemand tells how many tokens of the account this node would use: running
// and waiting. With a PoolAccount it is the demand for any VMs of the pool.
func (s *State) SetDemand(id Account, n vocab.Slots) {
	if id.Kind == KindPool {
		s.poolOf(vocab.PoolID(id.Name)).demand = n
	} else {
		s.account(id).demand = n
	}
	if n > 0 {
		s.watch(id)
	}
}

// SetTarget bounds the demand of the account by this node's fair part of it.
func (s *State) SetTarget(id Account, n vocab.Slots) {
	a := s.account(id)
	a.target = n
	a.hasTarget = true
}

// ClearTarget removes the bound that SetTarget has set.
func (s *State) ClearTarget(id Account) {
	s.account(id).hasTarget = false
}

// setPool puts a VM's account under its pool.
func (s *State) setPool(a *account, id vocab.PoolID) {
	if a.pool == id {
		return
	}
	if old, ok := s.pools[a.pool]; ok {
		old.accounts = slices.DeleteFunc(old.accounts, func(b *account) bool { return a == b })
	}
	a.pool = id
	if id == "" {
		return
	}
	p := s.poolOf(id)
	p.accounts = append(p.accounts, a)
	slices.SortFunc(p.accounts, func(b, c *account) int { return b.id.Compare(c.id) })
}

// Tick releases tokens whose time has come and returns what is to be sent to
// peers. It is called several times a second.
func (s *State) Tick(now vocab.Instant) []event.Effect {
	s.releaseDue(now)
	s.expireRemoved(now)
	s.reclaim(now)
	s.advance()
	s.giveUpLate(now)
	asks := newOutbox()
	if !now.Before(s.borrower.nextAsk) {
		s.borrower.nextAsk = now.Add(askInterval)
		s.askForShort(now, asks)
	}
	var effects []event.Effect
	if !now.Before(s.borrower.nextCare) {
		s.borrower.nextCare = now.Add(careInterval)
		effects = s.returns(now)
		s.askRenewals(now, asks)
		s.forgetIdle()
	}
	return append(effects, s.sendAll(now, asks)...)
}

// forgetIdle stops looking after accounts without demand and loans.
func (s *State) forgetIdle() {
	for id, w := range s.borrower.wanting {
		if !w.asking && !s.needsWatch(id) {
			delete(s.borrower.wanting, id)
		}
	}
}

func (s *State) needsWatch(id Account) bool {
	if id.Kind != KindPool {
		a, ok := s.accounts[id]
		return ok && (a.demand > 0 || len(a.borrowed) > 0)
	}
	p := s.poolOf(vocab.PoolID(id.Name))
	if p.demand > 0 {
		return true
	}
	return slices.ContainsFunc(p.accounts, func(a *account) bool { return len(a.borrowed) > 0 })
}

// Drain stops lending and returns loans as their work ends, before this node leaves.
func (s *State) Drain() {
	s.draining = true
}

// Close ends all use for good, if nothing is in use and no loan is out. It
// reports whether it did. Only then may the node record that it left.
func (s *State) Close() bool {
	if len(s.running) == 0 && len(s.giver.loans) == 0 && len(s.borrower.loans) == 0 {
		s.closed = true
		s.draining = true
		clear(s.borrower.asks)
	}
	return s.closed
}

func (s *State) releaseDue(now vocab.Instant) {
	for {
		token, ok := s.timers.due(now)
		if !ok {
			return
		}
		s.Release(now, token)
	}
}
