package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// pendingRequest is a loan request without a reply yet.
type pendingRequest struct {
	request LoanRequest
	sentAt  vocab.Instant
}

// borrower holds this node's loan requests to other nodes and the loans granted
// to it.
type borrower struct {
	lastSeq uint64
	// pending indexes the requests without a reply by their sequence number.
	pending map[uint64]*pendingRequest
	// loans indexes the borrowed loans by lender and loan ID.
	loans map[loanKey]*borrowedLoan
	// reachable lists, in order, the peers that may be sent a loan request.
	reachable []vocab.Incarnation
	// searches holds the accounts and pools with demand or loans.
	searches map[Account]*loanSearch
	// nextRequestAt is the time when this node next requests loans for its
	// shortfalls.
	nextRequestAt vocab.Instant
	// nextReviewAt is the time when all loans are next reviewed for return and
	// renewal.
	nextReviewAt vocab.Instant
}

type loanKey struct {
	lender vocab.Incarnation
	id     LoanID
}

func newBorrower() borrower {
	return borrower{
		pending:  map[uint64]*pendingRequest{},
		loans:    map[loanKey]*borrowedLoan{},
		searches: map[Account]*loanSearch{},
	}
}

// SetReachable sets the members that respond at present. Loan requests are sent
// only to them.
func (s *State) SetReachable(peers []vocab.Incarnation) {
	s.borrower.reachable = slices.Clone(peers)
	slices.SortFunc(s.borrower.reachable, cmp.Compare)
}

// OnLoanReply adds the loans that a reply grants. If the request was dropped before
// the reply arrived, its grants are returned unused. Remaining shortfalls of all
// accounts are requested together by the next Tick.
func (s *State) OnLoanReply(now vocab.Instant, reply LoanReply) []event.Effect {
	p, ok := s.borrower.pending[reply.Seq]
	if !ok || p.request.To != reply.From {
		return s.returnLateGrants(reply)
	}
	delete(s.borrower.pending, reply.Seq)
	s.applyRenewals(p, reply)
	grantedAccounts := map[Account]bool{}
	for _, g := range reply.Grants {
		a := s.addLoan(p, g)
		grantedAccounts[a.id] = true
		grantedAccounts[PoolAccount(a.pool)] = true
	}
	for i, item := range p.request.Items {
		s.recordReply(now, item.Account, reply.From, grantedAccounts[item.Account], surplusAt(reply.Surplus, i))
	}
	return nil
}

// OnLoanRequestFailed drops a failed loan request and requests the same from other
// peers. Loans granted by a late reply will be returned.
func (s *State) OnLoanRequestFailed(now vocab.Instant, seq uint64) []event.Effect {
	p, ok := s.borrower.pending[seq]
	if !ok {
		return nil
	}
	s.dropRequest(now, seq)
	batch := newRequestBatch()
	for _, item := range p.request.Items {
		s.requestShortfall(now, item.Account, batch)
	}
	return s.sendRequests(now, batch)
}

// dropRequest removes a pending request and counts it as a reply without grants.
func (s *State) dropRequest(now vocab.Instant, seq uint64) {
	p, ok := s.borrower.pending[seq]
	if !ok {
		return
	}
	delete(s.borrower.pending, seq)
	for _, id := range p.request.Renew {
		if l, ok := s.borrower.loans[loanKey{p.request.To, id}]; ok {
			l.renewing = false
		}
	}
	for _, item := range p.request.Items {
		s.recordReply(now, item.Account, p.request.To, false, 0)
	}
}

// dropTimedOutRequests drops the requests without a reply within RequestTimeout,
// in the order in which they were sent.
func (s *State) dropTimedOutRequests(now vocab.Instant) {
	var late []uint64
	for seq, p := range s.borrower.pending {
		if !now.Before(p.sentAt.Add(s.cfg.RequestTimeout)) {
			late = append(late, seq)
		}
	}
	slices.Sort(late)
	for _, seq := range late {
		s.dropRequest(now, seq)
	}
}

// surplusAt returns the surplus reported for item i of a request, or 0 if the
// reply has none.
func surplusAt(surplus []vocab.Slots, i int) vocab.Slots {
	if i < len(surplus) {
		return surplus[i]
	}
	return 0
}

// returnLateGrants returns the loans of a reply that comes too late. Loans held
// already from an earlier copy of the same reply are kept.
func (s *State) returnLateGrants(reply LoanReply) []event.Effect {
	r := LoanReturn{From: s.cfg.Self, To: reply.From}
	for _, g := range reply.Grants {
		if _, held := s.borrower.loans[loanKey{reply.From, g.ID}]; !held {
			r.Items = append(r.Items, LoanReturnItem{ID: g.ID})
		}
	}
	if len(r.Items) == 0 {
		return nil
	}
	return []event.Effect{SendLoanReturn{Return: r}}
}

// applyRenewals extends the loans that a reply renewed. The lease runs from when
// the request was sent.
func (s *State) applyRenewals(p *pendingRequest, reply LoanReply) {
	for _, id := range p.request.Renew {
		l, ok := s.borrower.loans[loanKey{p.request.To, id}]
		if !ok {
			continue
		}
		l.renewing = false
		if slices.Contains(reply.Refused, id) {
			l.recalled = true
			continue
		}
		l.expiry = max(l.expiry, p.sentAt.Add(s.cfg.Lease))
		l.runLimit = max(l.runLimit, p.request.RunLimit)
	}
}

// addLoan adds a granted loan to its account, which it returns.
func (s *State) addLoan(p *pendingRequest, g Grant) *account {
	a := s.ensureAccount(g.Account)
	l := &borrowedLoan{
		account:  a,
		lender:   p.request.To,
		id:       g.ID,
		slots:    g.Slots,
		runLimit: p.request.RunLimit,
		expiry:   p.sentAt.Add(s.cfg.Lease),
	}
	a.borrowedLoans = append(a.borrowedLoans, l)
	s.borrower.loans[loanKey{l.lender, l.id}] = l
	s.ensureSearch(a.id)
	return a
}

// sendRequest returns the effect that sends a loan request and keeps the request
// until its reply arrives.
func (s *State) sendRequest(now vocab.Instant, request LoanRequest) event.Effect {
	s.borrower.lastSeq++
	request.From = s.cfg.Self
	request.Seq = s.borrower.lastSeq
	request.RunLimit = s.maxRunLimit
	s.borrower.pending[request.Seq] = &pendingRequest{request: request, sentAt: now}
	return SendLoanRequest{Request: request}
}

// needsRenewal reports whether the loan's lease or run limit should be extended
// now.
func (l *borrowedLoan) needsRenewal(now vocab.Instant, lease time.Duration, runLimit time.Duration) bool {
	if l.renewing || l.recalled || !now.Before(l.expiry) {
		return false
	}
	return l.runLimit < runLimit || l.expiry.Sub(now) < lease/2
}
