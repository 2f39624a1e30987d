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
	// firstPause is how long a borrower waits after a round in which no peer had
	// anything to lend. It doubles with each such round, up to longestPause.
	firstPause = 500 * time.Millisecond
	// longestPause is the longest wait between two rounds.
	longestPause = 4 * time.Second
	// probesPerRound bounds the peers asked in one round that had nothing.
	probesPerRound = 4
)

// search is the state of looking for tokens of one account or pool.
type search struct {
	// asking means that an ask is under way.
	asking bool
	// spare holds what peers last said they could lend.
	spare map[vocab.Incarnation]vocab.Slots
	// tried holds the peers that had nothing in this round.
	tried map[vocab.Incarnation]bool
	// round counts rounds over all peers, so that each starts elsewhere.
	round int
	// pause is the wait after the next round in vain.
	pause time.Duration
	// notBefore is the earliest next ask.
	notBefore vocab.Instant
	// idleSince is when this node first held more than it needs; valid if idle.
	idleSince vocab.Instant
	idle      bool
}

// watch makes Tick look after an account or pool.
func (s *State) watch(id Account) *search {
	w, ok := s.borrower.wanting[id]
	if !ok {
		w = &search{
			spare: map[vocab.Incarnation]vocab.Slots{},
			tried: map[vocab.Incarnation]bool{},
		}
		s.borrower.wanting[id] = w
	}
	return w
}

// OnSpare takes a hint, from gossip, of what a peer could lend.
func (s *State) OnSpare(peer vocab.Incarnation, id Account, n vocab.Slots) {
	if w, ok := s.borrower.wanting[id]; ok {
		w.hint(peer, n)
	}
}

func (w *search) hint(peer vocab.Incarnation, n vocab.Slots) {
	if n <= 0 {
		delete(w.spare, peer)
		return
	}
	w.spare[peer] = n
	delete(w.tried, peer)
	w.pause = 0
	w.notBefore = 0
}

func (s *State) noteAnswer(now vocab.Instant, id Account, peer vocab.Incarnation, spare vocab.Slots) {
	w, ok := s.borrower.wanting[id]
	if !ok {
		return
	}
	w.asking = false
	w.hint(peer, spare)
	if spare > 0 {
		return
	}
	w.tried[peer] = true
	if _, ok := s.choosePeer(id, w); !ok || len(w.tried) >= probesPerRound && len(w.spare) == 0 {
		w.endRound(now)
	}
}

// endRound makes the borrower wait before it asks peers again.
func (w *search) endRound(now vocab.Instant) {
	clear(w.tried)
	w.round++
	w.pause = min(max(2*w.pause, firstPause), longestPause)
	w.notBefore = now.Add(w.pause)
}

// choosePeer returns the peer with the most to lend as far as is known, else
// the next one in an order that differs by account and round.
func (s *State) choosePeer(id Account, w *search) (vocab.Incarnation, bool) {
	var best vocab.Incarnation
	var bestSpare vocab.Slots
	var bestHash uint64
	name := nameHash(id) + uint64(w.round)
	found := false
	for _, p := range s.borrower.reachable {
		if p == s.cfg.Self || w.tried[p] || !slices.Contains(s.present, p) {
			continue
		}
		spare, hash := w.spare[p], placement(name, p)
		if !found || spare > bestSpare || (spare == bestSpare && hash < bestHash) {
			best, bestSpare, bestHash, found = p, spare, hash, true
		}
	}
	return best, found
}

// short returns how many tokens of an account or pool this node lacks.
func (s *State) short(now vocab.Instant, id Account) vocab.Slots {
	if id.Kind == KindPool {
		p := s.poolOf(vocab.PoolID(id.Name))
		return p.demand - s.poolUsable(now, p)
	}
	a := s.account(id)
	return a.want() - s.usable(now, a)
}

func (s *State) poolUsable(now vocab.Instant, p *pool) vocab.Slots {
	var n vocab.Slots
	for _, a := range p.accounts {
		n += s.usable(now, a)
	}
	return n
}

// outbox collects one ask for each peer.
type outbox map[vocab.Incarnation]*Ask

func newOutbox() outbox {
	return outbox{}
}

// to returns the ask that is being put together for a peer.
func (o outbox) to(peer vocab.Incarnation) *Ask {
	if o[peer] == nil {
		o[peer] = &Ask{To: peer}
	}
	return o[peer]
}

// sendAll returns the effects of sending the collected asks.
func (s *State) sendAll(now vocab.Instant, asks outbox) []event.Effect {
	if s.closed {
		return nil
	}
	var effects []event.Effect
	for _, peer := range slices.Sorted(maps.Keys(asks)) {
		ask := asks[peer]
		if len(ask.Items) > 0 || len(ask.Renew) > 0 {
			effects = append(effects, s.send(now, *ask))
		}
	}
	return effects
}

// askForShort adds asks for those of the accounts and pools that are short.
func (s *State) askForShort(now vocab.Instant, ids []Account, asks outbox) {
	for _, id := range ids {
		s.askFor(now, id, asks)
	}
}

func (s *State) askFor(now vocab.Instant, id Account, asks outbox) {
	w, ok := s.borrower.wanting[id]
	if !ok || w.asking {
		return
	}
	short := s.short(now, id)
	if short <= 0 || now.Before(w.notBefore) {
		return
	}
	peer, ok := s.choosePeer(id, w)
	if !ok {
		return
	}
	ask := asks.to(peer)
	if len(ask.Items) >= s.cfg.ItemsPerAsk {
		return
	}
	ask.Items = append(ask.Items, AskItem{Account: id, Slots: short})
	w.asking = true
}

func (s *State) askRenewals(now vocab.Instant, asks outbox) {
	for _, key := range s.sortedLoans() {
		l := s.borrower.loans[key]
		if !l.needsRenewal(now, s.cfg.Lease, s.longestRun) || !s.isReachable(l.giver) {
			continue
		}
		l.renewing = true
		ask := asks.to(l.giver)
		ask.Renew = append(ask.Renew, l.id)
	}
}

func (s *State) isReachable(peer vocab.Incarnation) bool {
	_, ok := slices.BinarySearch(s.borrower.reachable, peer)
	return ok
}

// watched returns the accounts and pools that Tick looks after, in order.
func (s *State) watched() []Account {
	return slices.SortedFunc(maps.Keys(s.borrower.wanting), Account.Compare)
}

// sortedLoans returns the keys of all loans, by giver and number.
func (s *State) sortedLoans() []loanKey {
	return slices.SortedFunc(maps.Keys(s.borrower.loans), func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(a.giver, b.giver), cmp.Compare(a.id, b.id))
	})
}
