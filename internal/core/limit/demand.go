package limit

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// SetPoolDemand tells how many slots this node would use on any VMs of the pool.
func (s *State) SetPoolDemand(id vocab.PoolID, n vocab.Slots) {
	s.poolOf(id).demand = n
}

// poolOf returns the state of a pool, making it known if it is not.
func (s *State) poolOf(id vocab.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = &pool{}
		s.pools[id] = p
	}
	return p
}

// pool groups the accounts of the VMs of one pool.
type pool struct {
	accounts []*account
	// demand is how many slots of any VM of the pool this node would use.
	demand vocab.Slots
}

// SetDemand tells how many tokens of the account this node would use: running
// and waiting.
func (s *State) SetDemand(id Account, n vocab.Slots) {
	s.account(id).demand = n
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
	s.advance()
	return nil
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
