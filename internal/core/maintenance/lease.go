package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// lease follows who may plan. The owner's right runs from the moment when it
// sent a heartbeat that came back on the log; others wait for longer from the
// moment when they read the last one. Only one process's clock is used in each.
type lease struct {
	logUp   bool
	upSince vocab.Instant
	suspect bool

	heard  vocab.Instant            // when the owner's last record was read
	held   vocab.Instant            // when the owner, this process, sent the last one read
	sentAt map[uint64]vocab.Instant // heartbeats under way, by sequence
	next   vocab.Instant            // when the next heartbeat is due
	number uint64
	fenced vocab.Epoch // epoch that the platform called stale
}

func (l *lease) tick(now vocab.Instant, logUp, suspect bool) {
	if logUp && !l.logUp {
		l.upSince = now
	}
	l.logUp = logUp
	l.suspect = suspect
}

// begin starts an epoch. The right of a new owner begins with its first heartbeat.
func (l *lease) begin(now vocab.Instant, own bool) {
	l.heard = now
	l.held = 0
	l.next = now
	if own {
		clear(l.sentAt)
	}
}

// folded takes in an accepted record of the owner.
func (l *lease) folded(now vocab.Instant, body record.Body) {
	l.heard = now
	held, ok := body.(record.MaintenanceHeld)
	if !ok {
		return
	}
	if at, mine := l.sentAt[held.Sequence]; mine {
		l.held = max(l.held, at)
		delete(l.sentAt, held.Sequence)
	}
}

// fresh reports whether this process, the owner, may begin something new.
func (l *lease) fresh(now vocab.Instant) bool {
	return l.held != 0 && now.Sub(l.held) < leaseLife
}

// lapsed reports whether another node may claim the planning.
func (l *lease) lapsed(now vocab.Instant) bool {
	quiet := now.Sub(max(l.heard, l.upSince))
	return l.logUp && (quiet >= takeoverAnyway || (l.suspect && quiet >= takeoverAfter))
}

// heartbeat returns the number of the heartbeat that is due, or false.
func (l *lease) heartbeat(now vocab.Instant) (uint64, bool) {
	if !l.logUp || now.Before(l.next) {
		return 0, false
	}
	l.number++
	l.sentAt[l.number] = now
	l.next = now.Add(heartbeatEvery)
	return l.number, true
}
