package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// initialBackoff is the time for which a borrower waits after missesPerBackoff peers
	// in a row had nothing to lend. The wait doubles each time up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// requestInterval is the time between checks for shortfalls.
	requestInterval = 250 * time.Millisecond
	// peerOrderInterval is the time for which a node keeps one order in which
	// it sends loan requests to peers without a known surplus.
	peerOrderInterval = time.Second
	// missesPerBackoff is the number of consecutive peers without surplus before
	// a wait.
	missesPerBackoff = 4
)

// loanSearch is the state of a search for loans of one account or pool.
type loanSearch struct {
	// requestPending is set while a loan request for the account has no reply
	// yet.
	requestPending bool
	// surplus is what each peer last reported that it could lend.
	surplus map[vocab.Incarnation]vocab.Slots
	// tried holds the peers without surplus; they are not tried again until all
	// reachable peers have been.
	tried map[vocab.Incarnation]bool
	// misses counts the consecutive peers that had nothing to lend.
	misses int
	// backoff is the duration of the last wait.
	backoff time.Duration
	// notBefore is the earliest time of the next loan request.
	notBefore vocab.Instant
	// excessSince is the time when this node's capacity first exceeded its
	// demand; valid if hasExcess is set.
	excessSince vocab.Instant
	hasExcess   bool
}

// ensureSearch returns the search of an account or pool and starts one if
// necessary. Tick then requests, renews and returns loans for it.
func (s *State) ensureSearch(id Account) *loanSearch {
	search, ok := s.borrower.searches[id]
	if !ok {
		search = &loanSearch{
			surplus: map[vocab.Incarnation]vocab.Slots{},
			tried:   map[vocab.Incarnation]bool{},
		}
		s.borrower.searches[id] = search
	}
	return search
}

// OnSurplus records what a peer could lend, as reported by gossip.
func (s *State) OnSurplus(peer vocab.Incarnation, id Account, n vocab.Slots) {
	if search, ok := s.borrower.searches[id]; ok {
		search.recordSurplus(peer, n)
	}
}

// recordSurplus records what a peer could lend. A surplus ends the backoff.
func (ls *loanSearch) recordSurplus(peer vocab.Incarnation, n vocab.Slots) {
	if n <= 0 {
		delete(ls.surplus, peer)
		return
	}
	ls.surplus[peer] = n
	delete(ls.tried, peer)
	ls.resetBackoff()
}

// recordReply records what a peer replied to a loan request for an account or
// pool.
func (s *State) recordReply(now vocab.Instant, id Account, peer vocab.Incarnation, granted bool, surplus vocab.Slots) {
	search, ok := s.borrower.searches[id]
	if !ok {
		return
	}
	search.requestPending = false
	search.recordSurplus(peer, surplus)
	if granted {
		search.resetBackoff()
	}
	if surplus > 0 {
		return
	}
	search.tried[peer] = true
	if !granted {
		search.misses++
	}
	if _, ok := s.chooseLender(now, search); !ok {
		clear(search.tried)
		search.backOff(now)
	} else if len(search.surplus) == 0 && search.misses >= missesPerBackoff {
		search.backOff(now)
	}
}

// backOff delays the next loan request.
func (ls *loanSearch) backOff(now vocab.Instant) {
	ls.misses = 0
	ls.backoff = min(max(2*ls.backoff, initialBackoff), maxBackoff)
	ls.notBefore = now.Add(ls.backoff)
}

// resetBackoff ends the wait: a peer has surplus, or no more is needed.
func (ls *loanSearch) resetBackoff() {
	ls.misses = 0
	ls.backoff = 0
	ls.notBefore = 0
}

// chooseLender returns the untried peer with the largest known surplus. Without
// a known surplus, it returns the next untried peer in an order that depends on
// the node and changes every peerOrderInterval. Accounts with a shortfall at the
// same time share that order, so their items go out in one loan request.
func (s *State) chooseLender(now vocab.Instant, search *loanSearch) (vocab.Incarnation, bool) {
	var best vocab.Incarnation
	var bestSurplus vocab.Slots
	var bestHash uint64
	orderSeed := uint64(s.cfg.Self) + uint64(now.Sub(0)/peerOrderInterval)
	found := false
	for _, p := range s.borrower.reachable {
		if p == s.cfg.Self || search.tried[p] || !slices.Contains(s.present, p) {
			continue
		}
		surplus, peerHash := search.surplus[p], memberHash(orderSeed, p)
		if !found || surplus > bestSurplus || (surplus == bestSurplus && peerHash < bestHash) {
			best, bestSurplus, bestHash, found = p, surplus, peerHash, true
		}
	}
	return best, found
}

// shortfall returns by how much the demand for an account or pool exceeds this
// node's capacity; it is negative if there is an excess.
func (s *State) shortfall(now vocab.Instant, id Account) vocab.Slots {
	if id.Kind == KindPool {
		p := s.ensurePool(vocab.PoolID(id.Name))
		return p.demand - s.poolCapacity(now, p)
	}
	a := s.ensureAccount(id)
	return a.cappedDemand() - s.capacity(now, a)
}

// poolCapacity returns the capacity of all accounts of a pool.
func (s *State) poolCapacity(now vocab.Instant, p *pool) vocab.Slots {
	var n vocab.Slots
	for _, a := range p.accounts {
		n += s.capacity(now, a)
	}
	return n
}

// requestBatch collects the items and renewals for each peer in one loan
// request.
type requestBatch map[vocab.Incarnation]*LoanRequest

func newRequestBatch() requestBatch {
	return requestBatch{}
}

// requestTo returns the loan request that is being assembled for a peer.
func (b requestBatch) requestTo(peer vocab.Incarnation) *LoanRequest {
	if b[peer] == nil {
		b[peer] = &LoanRequest{To: peer}
	}
	return b[peer]
}

// sendRequests returns the effects that send the collected loan requests.
func (s *State) sendRequests(now vocab.Instant, batch requestBatch) []event.Effect {
	if s.closed {
		return nil
	}
	var effects []event.Effect
	for _, peer := range slices.Sorted(maps.Keys(batch)) {
		request := batch[peer]
		if len(request.Items) > 0 || len(request.Renew) > 0 {
			effects = append(effects, s.sendRequest(now, *request))
		}
	}
	return effects
}

// requestShortfalls adds loan requests for all accounts and pools with a
// shortfall.
func (s *State) requestShortfalls(now vocab.Instant, batch requestBatch) {
	for _, id := range s.searchedAccounts() {
		s.requestShortfall(now, id, batch)
	}
}

// requestShortfall adds a loan request for one account or pool if it has a
// shortfall, no request pending and no backoff.
func (s *State) requestShortfall(now vocab.Instant, id Account, batch requestBatch) {
	search, ok := s.borrower.searches[id]
	if !ok || search.requestPending {
		return
	}
	missing := s.shortfall(now, id)
	if missing <= 0 {
		search.resetBackoff()
		return
	}
	if now.Before(search.notBefore) {
		return
	}
	peer, ok := s.chooseLender(now, search)
	if !ok {
		return
	}
	request := batch.requestTo(peer)
	if len(request.Items) >= s.cfg.MaxItemsPerRequest {
		return
	}
	request.Items = append(request.Items, LoanRequestItem{Account: id, Slots: missing})
	search.requestPending = true
}

// requestRenewals adds requests to renew the loans that are near expiry or have
// a run limit that is too short.
func (s *State) requestRenewals(now vocab.Instant, batch requestBatch) {
	for _, key := range s.sortedLoanKeys() {
		l := s.borrower.loans[key]
		if !l.needsRenewal(now, s.cfg.Lease, s.maxRunLimit) || !s.isReachable(l.lender) {
			continue
		}
		l.renewing = true
		request := batch.requestTo(l.lender)
		request.Renew = append(request.Renew, l.id)
	}
}

func (s *State) isReachable(peer vocab.Incarnation) bool {
	_, ok := slices.BinarySearch(s.borrower.reachable, peer)
	return ok
}

// searchedAccounts returns the accounts and pools with a search, in order.
func (s *State) searchedAccounts() []Account {
	return slices.SortedFunc(maps.Keys(s.borrower.searches), Account.Compare)
}

// sortedLoanKeys returns the keys of all borrowed loans, ordered by lender and
// ID.
func (s *State) sortedLoanKeys() []loanKey {
	return slices.SortedFunc(maps.Keys(s.borrower.loans), func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(a.lender, b.lender), cmp.Compare(a.id, b.id))
	})
}
