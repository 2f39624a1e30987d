package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// maxGrants bounds the loans in one answer.
	maxGrants = 256
	// reserveDivisor sets the part of an account that is not lent: one slot in
	// so many, so that a node can start its next request without asking.
	reserveDivisor = 16
)

// given is a giver's record of a loan.
type given struct {
	account  *account
	borrower vocab.Incarnation
	slots    vocab.Slots
	// run is the longest run limit of work that may be started on the loan.
	run time.Duration
	// lapse is an instant by which the borrower's lease has lapsed.
	lapse vocab.Instant
	// recalled means that a renewal was refused, for good.
	recalled bool
}

func (g *given) recall() {
	if !g.recalled {
		g.recalled = true
		g.account.recalling += g.slots
	}
}

// giver holds the loans that this node has given.
type giver struct {
	lastID LoanID
	loans  map[LoanID]*given
	// lastSeq is the highest ask seen of each borrower.
	lastSeq map[vocab.Incarnation]uint64
	// earliest is a lower bound of the instants at which a loan may be reclaimed.
	earliest vocab.Instant
}

func newGiver() giver {
	return giver{
		loans:   map[LoanID]*given{},
		lastSeq: map[vocab.Incarnation]uint64{},
	}
}

// OnAsk lends what this node does not need. An ask that is not later than the
// last one of the same borrower is a duplicate or was overtaken; it gets nothing.
func (s *State) OnAsk(now vocab.Instant, ask Ask) Answer {
	answer := Answer{From: s.cfg.Self, Seq: ask.Seq}
	if !s.mayLendTo(ask.From) || ask.Seq <= s.giver.lastSeq[ask.From] {
		answer.Refused = ask.Renew
		answer.Spare = make([]vocab.Slots, len(ask.Items))
		return answer
	}
	s.giver.lastSeq[ask.From] = ask.Seq
	run := max(ask.Run, s.longestRun)
	for _, id := range ask.Renew {
		if !s.renew(now, ask.From, id, run) {
			answer.Refused = append(answer.Refused, id)
		}
	}
	for _, item := range ask.Items {
		s.lendItem(now, ask, item, run, &answer)
		answer.Spare = append(answer.Spare, s.Spare(item.Account))
	}
	return answer
}

// OnReturn takes tokens back that the borrower no longer holds.
func (s *State) OnReturn(_ vocab.Instant, r Return) {
	for _, item := range r.Items {
		g, ok := s.giver.loans[item.ID]
		if ok && g.borrower == r.From {
			s.takeBack(item.ID, g, max(0, item.Keep))
		}
	}
}

// Spare returns how many tokens of an account, or of any VMs of a pool, this
// node would lend.
func (s *State) Spare(id Account) vocab.Slots {
	if s.draining {
		return 0
	}
	if id.Kind == KindPool {
		return s.poolSpare(vocab.PoolID(id.Name))
	}
	a, ok := s.accounts[id]
	if !ok {
		return 0
	}
	return s.spare(a)
}

func (s *State) spare(a *account) vocab.Slots {
	n := a.spare()
	if a.pool != "" {
		n = min(n, s.poolSpare(a.pool))
	}
	return n
}

// spare returns what is free, less what this node's own demand and a small
// reserve need.
func (a *account) spare() vocab.Slots {
	waiting := max(0, a.want()-a.own)
	reserve := a.window.least / reserveDivisor
	return max(0, a.free()-max(waiting, reserve))
}

func (s *State) poolSpare(id vocab.PoolID) vocab.Slots {
	p, ok := s.pools[id]
	if !ok {
		return 0
	}
	var spare, own vocab.Slots
	for _, a := range p.accounts {
		spare += a.spare()
		own += a.own
	}
	return max(0, spare-max(0, p.demand-own))
}

func (s *State) mayLendTo(borrower vocab.Incarnation) bool {
	if s.draining || borrower == s.cfg.Self {
		return false
	}
	p, ok := s.peers[borrower]
	return !ok || p.removal == RemovalNone
}

// renew extends a loan, unless it is unknown or this node needs the tokens.
func (s *State) renew(now vocab.Instant, borrower vocab.Incarnation, id LoanID, run time.Duration) bool {
	g, ok := s.giver.loans[id]
	if !ok || g.borrower != borrower {
		return false
	}
	if g.recalled || s.needsBack(g.account) {
		g.recall()
		return false
	}
	g.lapse = now.Add(s.cfg.Lease)
	g.run = max(g.run, run)
	return true
}

// needsBack reports whether this node's own demand exceeds what it has left of
// its parts, counting what was recalled already.
func (s *State) needsBack(a *account) bool {
	if s.draining || a.want() > a.own+a.free()+a.recalling {
		return true
	}
	p, ok := s.pools[a.pool]
	if !ok {
		return false
	}
	var left vocab.Slots
	for _, b := range p.accounts {
		left += b.own + b.free() + b.recalling
	}
	return p.demand > left
}

// lendItem lends what is asked for, or what this node can spare.
func (s *State) lendItem(now vocab.Instant, ask Ask, item AskItem, run time.Duration, answer *Answer) {
	if item.Account.Kind != KindPool {
		if a, ok := s.accounts[item.Account]; ok {
			s.lend(now, ask.From, a, min(item.Slots, s.spare(a)), run, answer)
		}
		return
	}
	p, ok := s.pools[vocab.PoolID(item.Account.Name)]
	if !ok || len(p.accounts) == 0 {
		return
	}
	left := min(item.Slots, s.poolSpare(vocab.PoolID(item.Account.Name)))
	start := int(ask.Seq % uint64(len(p.accounts)))
	for i := range p.accounts {
		a := p.accounts[(start+i)%len(p.accounts)]
		left -= s.lend(now, ask.From, a, min(left, a.spare()), run, answer)
	}
}

// lend subtracts tokens from this node's part and adds a grant to the answer.
func (s *State) lend(now vocab.Instant, to vocab.Incarnation, a *account, n vocab.Slots, run time.Duration, answer *Answer) vocab.Slots {
	if n <= 0 || len(answer.Grants) >= maxGrants {
		return 0
	}
	a.lent += n
	s.giver.lastID++
	g := &given{account: a, borrower: to, slots: n, run: run, lapse: now.Add(s.cfg.Lease)}
	s.giver.loans[s.giver.lastID] = g
	if len(s.giver.loans) == 1 {
		s.giver.earliest = s.reclaimAt(g)
	}
	s.giver.earliest = vocab.Earliest(s.giver.earliest, s.reclaimAt(g))
	answer.Grants = append(answer.Grants, Grant{ID: s.giver.lastID, Account: a.id, Slots: n})
	return n
}

// reclaimAt returns when all work on a loan has ended, wherever it ran.
func (s *State) reclaimAt(g *given) vocab.Instant {
	return g.lapse.Add(s.cfg.Guard + g.run)
}

// reclaim takes back the loans whose work has certainly ended.
func (s *State) reclaim(now vocab.Instant) {
	if len(s.giver.loans) == 0 || now.Before(s.giver.earliest) {
		return
	}
	first := true
	for id, g := range s.giver.loans {
		at := s.reclaimAt(g)
		if !now.Before(at) {
			s.takeBack(id, g, 0)
			continue
		}
		if first || at < s.giver.earliest {
			s.giver.earliest = at
		}
		first = false
	}
}

// takeBack lowers a loan to what the borrower keeps.
func (s *State) takeBack(id LoanID, g *given, keep vocab.Slots) {
	if keep >= g.slots {
		return
	}
	g.account.lent -= g.slots - keep
	if g.recalled {
		g.account.recalling -= g.slots - keep
	}
	g.slots = keep
	if keep == 0 {
		delete(s.giver.loans, id)
	}
	s.review(g.account)
}
