package limit

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ensurePool returns the state of a pool and creates it if necessary.
func (s *State) ensurePool(id vocab.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = &pool{}
		s.pools[id] = p
	}
	return p
}

// loanReviewInterval is the time between reviews of all loans for renewal and
// return.
const loanReviewInterval = 500 * time.Millisecond

// pool groups the accounts of the VMs of one pool.
type pool struct {
	accounts []*account
	// demand is the number of slots, of any VMs of the pool, that this node
	// would use.
	demand vocab.Slots
}

// SetDemand sets how many tokens of the account this node would use, running and
// waiting work together. With a PoolAccount, it sets the demand for slots of any
// VMs of the pool.
func (s *State) SetDemand(id Account, n vocab.Slots) {
	if id.Kind == KindPool {
		s.ensurePool(vocab.PoolID(id.Name)).demand = n
	} else {
		s.ensureAccount(id).demand = n
	}
	if n > 0 {
		s.ensureSearch(id)
	}
}

// SetDemandCap caps the demand of the account at this node's fair share of it.
func (s *State) SetDemandCap(id Account, n vocab.Slots) {
	a := s.ensureAccount(id)
	a.demandCap = n
	a.hasDemandCap = true
}

// ClearDemandCap removes the cap set by SetDemandCap.
func (s *State) ClearDemandCap(id Account) {
	s.ensureAccount(id).hasDemandCap = false
}

// assignPool moves a VM's account to a pool; an empty ID removes it from its
// pool.
func (s *State) assignPool(a *account, id vocab.PoolID) {
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
	p := s.ensurePool(id)
	p.accounts = append(p.accounts, a)
	slices.SortFunc(p.accounts, func(b, c *account) int { return b.id.Compare(c.id) })
}

// Tick releases the tokens that are due, reclaims expired loans and returns the
// messages to send to peers. It must be called several times a second.
func (s *State) Tick(now vocab.Instant) []event.Effect {
	s.releaseDueTokens(now)
	s.expireLostMembers(now)
	s.reclaimExpired(now)
	s.advance()
	s.dropTimedOutRequests(now)
	batch := newRequestBatch()
	if !now.Before(s.borrower.nextRequestAt) {
		s.borrower.nextRequestAt = now.Add(requestInterval)
		s.requestShortfalls(now, batch)
	}
	var effects []event.Effect
	if !now.Before(s.borrower.nextReviewAt) {
		s.borrower.nextReviewAt = now.Add(loanReviewInterval)
		effects = s.returnExcess(now)
		s.requestRenewals(now, batch)
		s.removeIdleSearches()
	}
	return append(effects, s.sendRequests(now, batch)...)
}

// removeIdleSearches drops the searches of accounts without demand and loans.
func (s *State) removeIdleSearches() {
	for id, search := range s.borrower.searches {
		if !search.requestPending && !s.needsSearch(id) {
			delete(s.borrower.searches, id)
		}
	}
}

// needsSearch reports whether an account or pool has demand or borrowed loans.
func (s *State) needsSearch(id Account) bool {
	if id.Kind != KindPool {
		a, ok := s.accounts[id]
		return ok && (a.demand > 0 || len(a.borrowedLoans) > 0)
	}
	p := s.ensurePool(vocab.PoolID(id.Name))
	if p.demand > 0 {
		return true
	}
	return slices.ContainsFunc(p.accounts, func(a *account) bool { return len(a.borrowedLoans) > 0 })
}

// Drain makes this node stop lending, and return borrowed loans as the work on
// them ends, before it leaves.
func (s *State) Drain() {
	s.draining = true
}

// Close stops all use for good if nothing is in use and no loans are borrowed or
// granted, and reports whether it did. The node may record that it left only
// after Close has returned true.
func (s *State) Close() bool {
	if len(s.tokensInUse) == 0 && len(s.lender.loans) == 0 && len(s.borrower.loans) == 0 {
		s.closed = true
		s.draining = true
		clear(s.borrower.pending)
	}
	return s.closed
}

// releaseDueTokens releases the tokens whose ReleaseAt time has come.
func (s *State) releaseDueTokens(now vocab.Instant) {
	for {
		token, ok := s.timers.popDue(now)
		if !ok {
			return
		}
		s.Release(now, token)
	}
}
