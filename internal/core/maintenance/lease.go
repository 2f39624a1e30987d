package maintenance

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// lease tracks how long the owner may begin disruptions and when other nodes
// may claim the ownership. The owner's lease runs from the time at which it
// sent the last heartbeat that it has read back from the log; other nodes wait
// for longer, from the time at which they read the last accepted record. Each
// interval is measured on the clock of a single process.
type lease struct {
	logUp          bool
	logUpSince     vocab.Instant
	ownerSuspected bool

	lastRecordAt    vocab.Instant            // when the last accepted record was read
	renewedAt       vocab.Instant            // when this process, as the owner, sent the newest heartbeat that it has read back
	sentAt          map[uint64]vocab.Instant // send times of heartbeats not read back yet, by sequence number
	nextHeartbeatAt vocab.Instant            // send time of the next heartbeat
	lastSequence    uint64
	fencedEpoch     vocab.Epoch // epoch that the platform refused as stale
}

func (l *lease) update(now vocab.Instant, logUp, suspected bool) {
	if logUp && !l.logUp {
		l.logUpSince = now
	}
	l.logUp = logUp
	l.ownerSuspected = suspected
}

// startEpoch resets the lease for a new owner, which holds it from its first
// heartbeat.
func (l *lease) startEpoch(now vocab.Instant, isOwner bool) {
	l.lastRecordAt = now
	l.renewedAt = 0
	l.nextHeartbeatAt = now
	if isOwner {
		clear(l.sentAt)
	}
}

// handleRecord updates the lease for an accepted record.
func (l *lease) handleRecord(now vocab.Instant, body record.Body) {
	l.lastRecordAt = now
	heartbeat, ok := body.(record.MaintenanceHeartbeat)
	if !ok {
		return
	}
	if at, mine := l.sentAt[heartbeat.Sequence]; mine {
		l.renewedAt = max(l.renewedAt, at)
		delete(l.sentAt, heartbeat.Sequence)
	}
}

// valid reports whether this process, being the owner, may begin disruptions.
func (l *lease) valid(now vocab.Instant) bool {
	return l.renewedAt != 0 && now.Sub(l.renewedAt) < leaseDuration
}

// expired reports whether another node may claim the ownership.
func (l *lease) expired(now vocab.Instant) bool {
	sinceRecord := now.Sub(max(l.lastRecordAt, l.logUpSince))
	return l.logUp && (sinceRecord >= takeoverDelay || (l.ownerSuspected && sinceRecord >= suspectedTakeoverDelay))
}

// nextHeartbeat returns the sequence number of the heartbeat to send now; false
// if none is due.
func (l *lease) nextHeartbeat(now vocab.Instant) (uint64, bool) {
	if !l.logUp || now.Before(l.nextHeartbeatAt) {
		return 0, false
	}
	l.lastSequence++
	l.sentAt[l.lastSequence] = now
	l.nextHeartbeatAt = now.Add(heartbeatInterval)
	return l.lastSequence, true
}
