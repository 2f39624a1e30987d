package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// State is one node's knowledge of its parts, loans and running work.
type State struct {
	cfg      Config
	accounts map[Account]*account
	pools    map[vocab.PoolID]*pool
	// members and totals are as of the folded offset.
	present []vocab.Incarnation
	peers   map[vocab.Incarnation]*peer
	history history
	// complete is false until a snapshot or the whole log has been folded, and
	// after a gap in the log.
	complete  bool
	folded    vocab.Offset
	settled   vocab.Offset
	confirmed vocab.Offset
	// longestRun is the longest run limit ever seen.
	longestRun time.Duration
	// over holds the accounts with more in use than the smallest part of the window.
	over map[Account]*account
	// pending holds the accounts whose window has more than one part.
	pending  map[Account]*account
	running  map[uint64]*work
	nextID   uint64
	timers   timers
	giver    giver
	borrower borrower
	// draining means that this node lends nothing more and returns what it can.
	draining bool
	// closed means that this node takes and lends nothing for good.
	closed bool
}

// account is one account's state on this node.
type account struct {
	id     Account
	pool   vocab.PoolID
	total  vocab.Slots
	window window
	// own counts running work on this node's part.
	own vocab.Slots
	// lent counts what borrowers may use of this node's part.
	lent vocab.Slots
	// recalling counts those of lent whose renewal was refused.
	recalling vocab.Slots
	// borrowed lists loans from others, oldest first.
	borrowed  []*loan
	demand    vocab.Slots
	target    vocab.Slots
	hasTarget bool
}

// used returns what of this node's part is in use, here or by borrowers.
func (a *account) used() vocab.Slots {
	return a.own + a.lent
}

// free returns what of this node's part may still be used.
func (a *account) free() vocab.Slots {
	return max(0, a.window.least-a.used())
}

// forgettable reports whether nothing is left of an account.
func (a *account) forgettable() bool {
	if a.total > 0 || a.window.least > 0 || a.used() > 0 || len(a.borrowed) > 0 {
		return false
	}
	return a.demand == 0 && !a.hasTarget
}

// want returns what this node would use if it had it.
func (a *account) want() vocab.Slots {
	if a.hasTarget {
		return min(a.demand, a.target)
	}
	return a.demand
}

// New returns the state of a process that has folded nothing.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg.withDefaults(),
		accounts: map[Account]*account{},
		pools:    map[vocab.PoolID]*pool{},
		peers:    map[vocab.Incarnation]*peer{},
		complete: true,
		over:     map[Account]*account{},
		pending:  map[Account]*account{},
		history:  newHistory(),
		giver:    newGiver(),
		borrower: newBorrower(),
		running:  map[uint64]*work{},
	}
}

// account returns the state of an account, making it known if it is not.
func (s *State) account(id Account) *account {
	a, ok := s.accounts[id]
	if !ok {
		a = &account{id: id}
		a.window.push(partAt{})
		s.accounts[id] = a
	}
	return a
}

// review keeps the set of accounts that use more than their part.
func (s *State) review(a *account) {
	if a.used() > a.window.least {
		s.over[a.id] = a
		return
	}
	if _, ok := s.over[a.id]; ok {
		delete(s.over, a.id)
		s.advance()
	}
}
