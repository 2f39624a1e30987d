package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// pendingAsk is an ask without an answer yet.
type pendingAsk struct {
	ask    Ask
	sentAt vocab.Instant
}

// borrower holds this node's asks to others.
type borrower struct {
	lastSeq uint64
	asks    map[uint64]*pendingAsk
	// loans indexes all loans by giver and number.
	loans map[loanKey]*loan
	// reachable lists the peers that may be asked.
	reachable []vocab.Incarnation
	// wanting holds the accounts and pools with demand or loans.
	wanting map[Account]*search
	// nextAsk is when this node next looks at what is short.
	nextAsk vocab.Instant
	// nextCare is when all loans are next looked at.
	nextCare vocab.Instant
}

type loanKey struct {
	giver vocab.Incarnation
	id    LoanID
}

func newBorrower() borrower {
	return borrower{
		asks:    map[uint64]*pendingAsk{},
		loans:   map[loanKey]*loan{},
		wanting: map[Account]*search{},
	}
}

// SetReachable tells which members answer at present. Only they are asked.
func (s *State) SetReachable(peers []vocab.Incarnation) {
	s.borrower.reachable = slices.Clone(peers)
	slices.SortFunc(s.borrower.reachable, cmp.Compare)
}

// OnAnswer takes the loans of an answer. Grants of an answer that comes after
// the ask was given up are returned unused. The next Tick asks for what is
// still short, all accounts together.
func (s *State) OnAnswer(now vocab.Instant, answer Answer) []event.Effect {
	p, ok := s.borrower.asks[answer.Seq]
	if !ok || p.ask.To != answer.From {
		return s.returnGrants(answer)
	}
	delete(s.borrower.asks, answer.Seq)
	s.renewed(p, answer)
	granted := map[Account]bool{}
	for _, g := range answer.Grants {
		a := s.addLoan(p, g)
		granted[a.id] = true
		granted[PoolAccount(a.pool)] = true
	}
	for i, item := range p.ask.Items {
		s.noteAnswer(now, item.Account, answer.From, granted[item.Account], spareAt(answer.Spare, i))
	}
	return nil
}

// OnAskFailed gives an ask up and asks other peers for the same. Loans of a
// late answer will be returned.
func (s *State) OnAskFailed(now vocab.Instant, seq uint64) []event.Effect {
	p, ok := s.borrower.asks[seq]
	if !ok {
		return nil
	}
	s.giveUp(now, seq)
	asks := newOutbox()
	for _, item := range p.ask.Items {
		s.askFor(now, item.Account, asks)
	}
	return s.sendAll(now, asks)
}

func (s *State) giveUp(now vocab.Instant, seq uint64) {
	p, ok := s.borrower.asks[seq]
	if !ok {
		return
	}
	delete(s.borrower.asks, seq)
	for _, id := range p.ask.Renew {
		if l, ok := s.borrower.loans[loanKey{p.ask.To, id}]; ok {
			l.renewing = false
		}
	}
	for _, item := range p.ask.Items {
		s.noteAnswer(now, item.Account, p.ask.To, false, 0)
	}
}

// giveUpLate gives up asks that have waited too long, in the order they were sent.
func (s *State) giveUpLate(now vocab.Instant) {
	var late []uint64
	for seq, p := range s.borrower.asks {
		if !now.Before(p.sentAt.Add(s.cfg.AskTimeout)) {
			late = append(late, seq)
		}
	}
	slices.Sort(late)
	for _, seq := range late {
		s.giveUp(now, seq)
	}
}

func spareAt(spare []vocab.Slots, i int) vocab.Slots {
	if i < len(spare) {
		return spare[i]
	}
	return 0
}

// returnGrants gives back loans that this node will never use, but for loans
// that it holds from an earlier copy of the same answer.
func (s *State) returnGrants(answer Answer) []event.Effect {
	r := Return{From: s.cfg.Self, To: answer.From}
	for _, g := range answer.Grants {
		if _, held := s.borrower.loans[loanKey{answer.From, g.ID}]; !held {
			r.Items = append(r.Items, ReturnItem{ID: g.ID})
		}
	}
	if len(r.Items) == 0 {
		return nil
	}
	return []event.Effect{SendReturn{Return: r}}
}

// renewed extends the loans that an answer renewed. The lease counts from when
// the ask was sent.
func (s *State) renewed(p *pendingAsk, answer Answer) {
	for _, id := range p.ask.Renew {
		l, ok := s.borrower.loans[loanKey{p.ask.To, id}]
		if !ok {
			continue
		}
		l.renewing = false
		if slices.Contains(answer.Refused, id) {
			l.recalled = true
			continue
		}
		l.lapse = max(l.lapse, p.sentAt.Add(s.cfg.Lease))
		l.run = max(l.run, p.ask.Run)
	}
}

func (s *State) addLoan(p *pendingAsk, g Grant) *account {
	a := s.account(g.Account)
	l := &loan{
		account: a,
		giver:   p.ask.To,
		id:      g.ID,
		slots:   g.Slots,
		run:     p.ask.Run,
		lapse:   p.sentAt.Add(s.cfg.Lease),
	}
	a.borrowed = append(a.borrowed, l)
	s.borrower.loans[loanKey{l.giver, l.id}] = l
	s.watch(a.id)
	return a
}

// send makes an effect of an ask and keeps it until it is answered.
func (s *State) send(now vocab.Instant, ask Ask) event.Effect {
	s.borrower.lastSeq++
	ask.From = s.cfg.Self
	ask.Seq = s.borrower.lastSeq
	ask.Run = s.longestRun
	s.borrower.asks[ask.Seq] = &pendingAsk{ask: ask, sentAt: now}
	return SendAsk{Ask: ask}
}

// needsRenewal reports whether a loan's lease should be extended now.
func (l *loan) needsRenewal(now vocab.Instant, lease time.Duration, run time.Duration) bool {
	if l.renewing || l.recalled || !now.Before(l.lapse) {
		return false
	}
	return l.run < run || l.lapse.Sub(now) < lease/2
}
