package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// State is one node's state of its quotas, loans and running work.
type State struct {
	cfg      Config
	accounts map[Account]*account
	pools    map[vocab.PoolID]*pool
	// present lists the present members as of the folded offset, in order.
	present []vocab.Incarnation
	peers   map[vocab.Incarnation]*peer
	history memberHistory
	// logContiguous is false while a snapshot is being folded over records that
	// this node has not folded.
	logContiguous bool
	folded        vocab.Offset
	settled       vocab.Offset
	confirmed     vocab.Offset
	// maxRunLimit is the longest run limit ever folded. It never decreases,
	// because work may still run under an earlier limit.
	maxRunLimit time.Duration
	// overQuota holds the accounts with more in use than the smallest base quota
	// of their window.
	overQuota map[Account]*account
	// unconfirmed holds the accounts whose window may still have more than one
	// quota.
	unconfirmed map[Account]*account
	tokensInUse map[uint64]*heldToken
	lastTokenID uint64
	timers      releaseTimers
	lender      lender
	borrower    borrower
	// draining means that this node lends nothing more and returns the loans
	// that it can.
	draining bool
	// closed means that this node will never start work or lend again.
	closed bool
}

// account is this node's state of one account.
type account struct {
	id     Account
	pool   vocab.PoolID
	total  vocab.Slots
	window quotaWindow
	// ownRunning counts the running work on this node's own quota.
	ownRunning vocab.Slots
	// lent counts the tokens of this node's own quota that borrowers may use.
	lent vocab.Slots
	// recalling counts the lent tokens whose renewal was refused.
	recalling vocab.Slots
	// borrowedLoans lists the loans from other nodes, oldest first.
	borrowedLoans []*borrowedLoan
	demand        vocab.Slots
	demandCap     vocab.Slots
	hasDemandCap  bool
}

// used returns how much of this node's own quota is in use, by its own work or
// by borrowers.
func (a *account) used() vocab.Slots {
	return a.ownRunning + a.lent
}

// free returns how much of this node's own quota may still be used.
func (a *account) free() vocab.Slots {
	return max(0, a.window.minQuota-a.used())
}

// isUnused reports whether the account can be removed: it has no total, quota,
// use, loans or demand.
func (a *account) isUnused() bool {
	if a.total > 0 || a.window.minQuota > 0 || a.used() > 0 || len(a.borrowedLoans) > 0 {
		return false
	}
	return a.demand == 0 && !a.hasDemandCap
}

// cappedDemand returns the demand, bounded by the demand cap if there is one.
func (a *account) cappedDemand() vocab.Slots {
	if a.hasDemandCap {
		return min(a.demand, a.demandCap)
	}
	return a.demand
}

// New returns the state of a process that has folded no records yet.
func New(cfg Config) *State {
	return &State{
		cfg:           cfg.withDefaults(),
		accounts:      map[Account]*account{},
		pools:         map[vocab.PoolID]*pool{},
		peers:         map[vocab.Incarnation]*peer{},
		logContiguous: true,
		overQuota:     map[Account]*account{},
		unconfirmed:   map[Account]*account{},
		history:       newMemberHistory(),
		lender:        newLender(),
		borrower:      newBorrower(),
		tokensInUse:   map[uint64]*heldToken{},
	}
}

// ensureAccount returns the state of an account and creates it if necessary.
func (s *State) ensureAccount(id Account) *account {
	a, ok := s.accounts[id]
	if !ok {
		a = &account{id: id}
		a.window.push(quotaVersion{})
		s.accounts[id] = a
	}
	return a
}

// updateOverQuota adds the account to overQuota or removes it, and advances the
// settled offset after a removal.
func (s *State) updateOverQuota(a *account) {
	if a.used() > a.window.minQuota {
		s.overQuota[a.id] = a
		return
	}
	if _, ok := s.overQuota[a.id]; ok {
		delete(s.overQuota, a.id)
		s.advance()
	}
}
