package limit

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// DefaultLease is the time for which a borrower may start work on a loan
	// without renewal.
	DefaultLease = 20 * time.Second
	// DefaultGuard covers clock rates that differ between nodes and the time
	// between the last check of a lease and the dispatch.
	DefaultGuard = 2 * time.Second
	// DefaultIdleLoanTimeout is the time for which a borrower keeps loans that it does
	// not need.
	DefaultIdleLoanTimeout = 3 * time.Second
	// DefaultRequestTimeout is the time for which a borrower waits for the reply to a
	// loan request.
	DefaultRequestTimeout = time.Second
	// DefaultMaxItemsPerRequest bounds the accounts in one loan request.
	DefaultMaxItemsPerRequest = 256
)

// Config holds the settings of a State. All nodes must use the same Lease and Guard.
type Config struct {
	Self vocab.Incarnation
	// Lease is the time for which a borrower may start work on a loan, from
	// when it sent the loan request or the renewal.
	Lease time.Duration
	// Guard is added to every wait for another node's lease or work to end.
	Guard              time.Duration
	IdleLoanTimeout    time.Duration
	RequestTimeout     time.Duration
	MaxItemsPerRequest int
}

// withDefaults replaces zero settings by their defaults.
func (c Config) withDefaults() Config {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Guard == 0 {
		c.Guard = DefaultGuard
	}
	if c.IdleLoanTimeout == 0 {
		c.IdleLoanTimeout = DefaultIdleLoanTimeout
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.MaxItemsPerRequest == 0 {
		c.MaxItemsPerRequest = DefaultMaxItemsPerRequest
	}
	return c
}
