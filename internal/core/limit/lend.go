package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// maxGrantsPerReply bounds the loans in one reply.
	maxGrantsPerReply = 256
	// reserveDivisor sets the reserve of an account that is not lent, as one
	// slot in reserveDivisor, so that a node can start its next request without
	// borrowing.
	reserveDivisor = 16
)

// grantedLoan is the lender's record of a loan.
type grantedLoan struct {
	account  *account
	borrower vocab.Incarnation
	slots    vocab.Slots
	// runLimit is the longest run limit of work that may be started on the loan.
	runLimit time.Duration
	// expiry is the instant, on this node's clock, by which the borrower's lease
	// has expired.
	expiry vocab.Instant
	// recalled is set once a renewal was refused; later renewals are refused
	// too.
	recalled bool
}

// recall marks the loan as never to be renewed again.
func (g *grantedLoan) recall() {
	if !g.recalled {
		g.recalled = true
		g.account.recalling += g.slots
	}
}

// lender holds the loans that this node has granted.
type lender struct {
	lastID LoanID
	loans  map[LoanID]*grantedLoan
	// lastSeq is the sequence number of the latest loan request from each
	// borrower.
	lastSeq map[vocab.Incarnation]uint64
	// nextReclaimAt is no later than the first instant at which a loan may be
	// reclaimed.
	nextReclaimAt vocab.Instant
}

func newLender() lender {
	return lender{
		loans:   map[LoanID]*grantedLoan{},
		lastSeq: map[vocab.Incarnation]uint64{},
	}
}

// OnLoanRequest lends what this node does not need. A request whose sequence number is
// not higher than the last one from the same borrower is a duplicate or was
// overtaken, and is refused completely.
func (s *State) OnLoanRequest(now vocab.Instant, request LoanRequest) LoanReply {
	reply := LoanReply{From: s.cfg.Self, Seq: request.Seq}
	if !s.mayLendTo(request.From) || request.Seq <= s.lender.lastSeq[request.From] {
		reply.Refused = request.Renew
		reply.Surplus = make([]vocab.Slots, len(request.Items))
		return reply
	}
	s.lender.lastSeq[request.From] = request.Seq
	runLimit := max(request.RunLimit, s.maxRunLimit)
	for _, id := range request.Renew {
		if !s.renew(now, request.From, id, runLimit) {
			reply.Refused = append(reply.Refused, id)
		}
	}
	for _, item := range request.Items {
		s.lendItem(now, request, item, runLimit, &reply)
		reply.Surplus = append(reply.Surplus, s.Surplus(item.Account))
	}
	return reply
}

// OnLoanReturn takes back the tokens that the borrower no longer holds.
func (s *State) OnLoanReturn(_ vocab.Instant, r LoanReturn) {
	for _, item := range r.Items {
		granted, ok := s.lender.loans[item.ID]
		if ok && granted.borrower == r.From {
			s.reduceGranted(item.ID, granted, max(0, item.Keep))
		}
	}
}

// Surplus returns how many tokens of an account, or of any VMs of a pool, this
// node would lend.
func (s *State) Surplus(id Account) vocab.Slots {
	if s.draining {
		return 0
	}
	if id.Kind == KindPool {
		return s.poolSurplus(vocab.PoolID(id.Name))
	}
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	return s.lendable(a)
}

// lendable returns the account's surplus, bounded by the surplus of its pool.
func (s *State) lendable(a *account) vocab.Slots {
	n := a.surplus()
	if a.pool != "" {
		n = min(n, s.poolSurplus(a.pool))
	}
	return n
}

// surplus returns the free tokens that neither this node's own demand nor the
// reserve needs. See reserveDivisor.
func (a *account) surplus() vocab.Slots {
	waiting := max(0, a.cappedDemand()-a.ownRunning)
	reserve := a.window.minQuota / reserveDivisor
	return max(0, a.free()-max(waiting, reserve))
}

// poolSurplus returns the surplus of a pool's accounts that this node's demand
// for the pool does not need.
func (s *State) poolSurplus(id vocab.PoolID) vocab.Slots {
	p, ok := s.pools[id]
	if !ok {
		return 0
	}
	var surplus, running vocab.Slots
	for _, a := range p.accounts {
		surplus += a.surplus()
		running += a.ownRunning
	}
	return max(0, surplus-max(0, p.demand-running))
}

// mayLendTo reports whether this node lends to a borrower: not while draining,
// not to itself and not to a removed member.
func (s *State) mayLendTo(borrower vocab.Incarnation) bool {
	if s.draining || borrower == s.cfg.Self {
		return false
	}
	p, ok := s.peers[borrower]
	return !ok || p.removal == RemovalNone
}

// renew extends a loan, unless the loan is unknown or this node needs the tokens
// itself. It reports whether it did.
func (s *State) renew(now vocab.Instant, borrower vocab.Incarnation, id LoanID, runLimit time.Duration) bool {
	granted, ok := s.lender.loans[id]
	if !ok || granted.borrower != borrower {
		return false
	}
	if granted.recalled || s.mustRecall(granted.account) {
		granted.recall()
		return false
	}
	granted.expiry = now.Add(s.cfg.Lease)
	granted.runLimit = max(granted.runLimit, runLimit)
	return true
}

// mustRecall reports whether this node is draining or its own demand exceeds the
// quota that is not lent, counting recalled loans as not lent.
func (s *State) mustRecall(a *account) bool {
	if s.draining || a.cappedDemand() > a.ownRunning+a.free()+a.recalling {
		return true
	}
	p, ok := s.pools[a.pool]
	if !ok {
		return false
	}
	var remaining vocab.Slots
	for _, b := range p.accounts {
		remaining += b.ownRunning + b.free() + b.recalling
	}
	return p.demand > remaining
}

// lendItem lends the requested tokens, or as many of them as are surplus. For a
// pool, it spreads the loans over the pool's VMs, starting with a different VM
// for each request.
func (s *State) lendItem(now vocab.Instant, request LoanRequest, item LoanRequestItem, runLimit time.Duration, reply *LoanReply) {
	if item.Account.Kind != KindPool {
		if a, ok := s.accounts[item.Account]; ok {
			s.lend(now, request.From, a, min(item.Slots, s.lendable(a)), runLimit, reply)
		}
		return
	}
	p, ok := s.pools[vocab.PoolID(item.Account.Name)]
	if !ok || len(p.accounts) == 0 {
		return
	}
	remaining := min(item.Slots, s.poolSurplus(vocab.PoolID(item.Account.Name)))
	start := int(request.Seq % uint64(len(p.accounts)))
	for i := range p.accounts {
		a := p.accounts[(start+i)%len(p.accounts)]
		remaining -= s.lend(now, request.From, a, min(remaining, a.surplus()), runLimit, reply)
	}
}

// lend turns n tokens of this node's quota into a loan and adds it to the reply.
// It returns n, or 0 if the reply is full.
func (s *State) lend(now vocab.Instant, to vocab.Incarnation, a *account, n vocab.Slots, runLimit time.Duration, reply *LoanReply) vocab.Slots {
	if n <= 0 || len(reply.Grants) >= maxGrantsPerReply {
		return 0
	}
	a.lent += n
	s.lender.lastID++
	granted := &grantedLoan{account: a, borrower: to, slots: n, runLimit: runLimit, expiry: now.Add(s.cfg.Lease)}
	s.lender.loans[s.lender.lastID] = granted
	if len(s.lender.loans) == 1 {
		s.lender.nextReclaimAt = s.reclaimAt(granted)
	}
	s.lender.nextReclaimAt = vocab.Earliest(s.lender.nextReclaimAt, s.reclaimAt(granted))
	reply.Grants = append(reply.Grants, Grant{ID: s.lender.lastID, Account: a.id, Slots: n})
	return n
}

// reclaimAt returns when all work on a loan has certainly ended, on whichever VM
// it runs.
func (s *State) reclaimAt(granted *grantedLoan) vocab.Instant {
	return granted.expiry.Add(s.cfg.Guard + granted.runLimit)
}

// reclaimExpired takes back the loans on which all work has certainly ended.
func (s *State) reclaimExpired(now vocab.Instant) {
	if len(s.lender.loans) == 0 || now.Before(s.lender.nextReclaimAt) {
		return
	}
	first := true
	for id, granted := range s.lender.loans {
		at := s.reclaimAt(granted)
		if !now.Before(at) {
			s.reduceGranted(id, granted, 0)
			continue
		}
		if first || at < s.lender.nextReclaimAt {
			s.lender.nextReclaimAt = at
		}
		first = false
	}
}

// reduceGranted lowers a loan to the tokens that the borrower keeps. It never
// raises one.
func (s *State) reduceGranted(id LoanID, granted *grantedLoan, keep vocab.Slots) {
	if keep >= granted.slots {
		return
	}
	granted.account.lent -= granted.slots - keep
	if granted.recalled {
		granted.account.recalling -= granted.slots - keep
	}
	granted.slots = keep
	if keep == 0 {
		delete(s.lender.loans, id)
	}
	s.updateOverQuota(granted.account)
}
