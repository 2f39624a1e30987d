package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// DefaultLease is how long a borrower may start work on a loan without renewal.
	DefaultLease = 20 * time.Second
	// DefaultGuard covers different clock rates and the time between the last
	// check of a lease and the dispatch.
	DefaultGuard = 2 * time.Second
	// DefaultIdleReturn is how long a borrower keeps loans that it does not need.
	DefaultIdleReturn = 3 * time.Second
	// DefaultAskTimeout is how long a borrower waits for the answer to an ask.
	DefaultAskTimeout = time.Second
	// DefaultItemsPerAsk bounds the accounts in one ask.
	DefaultItemsPerAsk = 256
)

// Config holds the settings of a State. All nodes must use the same Lease and Guard.
type Config struct {
	Self vocab.Incarnation
	// Lease is how long a borrower may start work on a loan, from when it sent
	// the ask or the renewal.
	Lease time.Duration
	// Guard is added to every wait for another node's lease or work to end.
	Guard       time.Duration
	IdleReturn  time.Duration
	AskTimeout  time.Duration
	ItemsPerAsk int
}

// withDefaults replaces zero settings by the defaults.
func (c Config) withDefaults() Config {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Guard == 0 {
		c.Guard = DefaultGuard
	}
	if c.IdleReturn == 0 {
		c.IdleReturn = DefaultIdleReturn
	}
	if c.AskTimeout == 0 {
		c.AskTimeout = DefaultAskTimeout
	}
	if c.ItemsPerAsk == 0 {
		c.ItemsPerAsk = DefaultItemsPerAsk
	}
	return c
}
