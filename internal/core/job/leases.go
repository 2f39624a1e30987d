package job

import (
	"hash/fnv"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A lease ends at a reading of the worker's clock, which may run slower than this node's. The owner
// grants it from a lower bound of the present reading, so that by this node's clock it never lasts
// longer than maxLeaseSpan, however old the last reading is.

// clockAtLeast returns a reading that the worker's clock has certainly reached.
func (w *worker) clockAtLeast(now vocab.Instant) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockReadAt))*minClockRate)
}

// grantLease returns the reading of the worker's clock until which the lease in an order lasts.
func (o *owner) grantLease(w *worker) time.Duration {
	w.leaseSentAt, w.leaseClockAge = o.s.now, o.s.now.Sub(w.clockReadAt)
	w.leaseUntil = max(w.leaseUntil, o.s.now.Add(o.s.maxLeaseSpan()))
	return w.clockAtLeast(o.s.now) + o.s.lease()
}

// nextClockReading is the time by which the clock of a worker without tasks is read again. The interval
// differs by worker, so that the workers which an owner polled at its takeover are not due at once.
func (w *worker) nextClockReading() vocab.Instant {
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.info.ID))
	return w.clockReadAt.Add(clockReadInterval - clockReadJitter*time.Duration(h.Sum32()%1000)/1000)
}

// resetClock forgets the clock of an earlier incarnation.
func (o *owner) resetClock(w *worker) {
	o.noteStrayOrders(w)
	w.clock, w.clockReadAt = 0, 0
}

// lease returns the lease to request from workers.
func (s *State) lease() time.Duration { return min(s.settings.MaxLease, preferredLease) }

// maxLeaseSpan returns how long after the last request a lease may last by this node's clock.
func (s *State) maxLeaseSpan() time.Duration { return leaseSpan(s.lease()) }

// longestLeaseSpan returns how long after an order a lease may last by this node's clock, whatever
// the order requested.
func (s *State) longestLeaseSpan() time.Duration { return leaseSpan(s.settings.MaxLease) }

func leaseSpan(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + leaseMargin
}

// earlierLeaseSpan returns how long leases of earlier owners may last by this node's clock.
func (s *State) earlierLeaseSpan() time.Duration {
	if ms := s.ledger.owner.LeaseMS; ms > 0 && ms <= maxLeaseMS {
		return max(time.Duration(ms)*time.Millisecond, s.maxLeaseSpan())
	}
	return max(s.longestLeaseSpan(), s.maxLeaseSpan())
}

// longestLease returns the longest time that a lease may last from now on, also one that an
// earlier owner granted.
func (o *owner) longestLease() time.Duration {
	return max(o.s.maxLeaseSpan(), o.earlierLeasesUntil.Sub(o.s.now)-leaseAuthority)
}
