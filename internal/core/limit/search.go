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
	// firstPause is how long a borrower waits when several peers in a row had
	// nothing to lend. It doubles with each such wait, up to longestPause.
	firstPause = 500 * time.Millisecond
	// longestPause is the longest such wait.
	longestPause = 4 * time.Second
	// askInterval is the time between two looks at what is short.
	askInterval = 250 * time.Millisecond
	// orderInterval is how long a node keeps one order of its peers.
	orderInterval = time.Second
	// probesPerPause is the number of peers in a row with nothing before a wait.
	probesPerPause = 4
)

// search is the state of looking for tokens of one account or pool.
type search struct {
	// asking means that an ask is under way.
	asking bool
	// spare holds what peers last said they could lend.
	spare map[vocab.Incarnation]vocab.Slots
	// tried holds the peers that had nothing in this round.
	tried map[vocab.Incarnation]bool
	// misses counts the peers in a row that had nothing.
	misses int
	// pause is the last wait.
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
	w.restart()
}

// noteAnswer takes what a peer answered to an ask for an account or pool.
func (s *State) noteAnswer(now vocab.Instant, id Account, peer vocab.Incarnation, granted bool, spare vocab.Slots) {
	w, ok := s.borrower.wanting[id]
	if !ok {
		return
	}
	w.asking = false
	w.hint(peer, spare)
	if granted {
		w.restart()
	}
	if spare > 0 {
		return
	}
	w.tried[peer] = true
	if !granted {
		w.misses++
	}
	if _, ok := s.choosePeer(now, w); !ok {
		clear(w.tried)
		w.wait(now)
	} else if len(w.spare) == 0 && w.misses >= probesPerPause {
		w.wait(now)
	}
}

// wait makes the borrower pause before it asks more peers.
func (w *search) wait(now vocab.Instant) {
	w.misses = 0
	w.pause = min(max(2*w.pause, firstPause), longestPause)
	w.notBefore = now.Add(w.pause)
}

// restart ends the pauses: there is something to lend, or it is no longer needed.
func (w *search) restart() {
	w.misses = 0
	w.pause = 0
	w.notBefore = 0
}

// choosePeer returns the peer with the most to lend as far as is known, else
// the next one in an order that differs by node and second. Accounts that are
// short at the same time share the order, and so the asks.
func (s *State) choosePeer(now vocab.Instant, w *search) (vocab.Incarnation, bool) {
	var best vocab.Incarnation
	var bestSpare vocab.Slots
	var bestHash uint64
	order := uint64(s.cfg.Self) + uint64(now.Sub(0)/orderInterval)
	found := false
	for _, p := range s.borrower.reachable {
		if p == s.cfg.Self || w.tried[p] || !slices.Contains(s.present, p) {
			continue
		}
		spare, hash := w.spare[p], placement(order, p)
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

// askForShort adds asks for the accounts and pools that are short.
func (s *State) askForShort(now vocab.Instant, asks outbox) {
	for _, id := range s.watched() {
		s.askFor(now, id, asks)
	}
}

func (s *State) askFor(now vocab.Instant, id Account, asks outbox) {
	w, ok := s.borrower.wanting[id]
	if !ok || w.asking {
		return
	}
	short := s.short(now, id)
	if short <= 0 {
		w.restart()
		return
	}
	if now.Before(w.notBefore) {
		return
	}
	peer, ok := s.choosePeer(now, w)
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
