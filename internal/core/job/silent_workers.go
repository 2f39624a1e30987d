package job

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The tasks of a worker that does not respond start again elsewhere once its lease has
// expired. A later owner cannot know when an earlier one last extended the lease, and would
// have to wait as if that had been just before its takeover. Hence an owner puts on the
// stream that it extends the lease of a silent worker no more, and when the lease ends. It
// extends the lease again only once the removal of that record is on the stream.

const silentPrefix = "u/"

// silentLease is the content of the record of a silent worker. It says where the worker can be
// reached: if it ends before the next owner takes over, the platform lists it no more.
type silentLease struct {
	// LeaseMS is the time from the record until the end of all leases, in milliseconds.
	LeaseMS int64 `json:"ms"`
	// KnownMS is the same for the leases of runs that were started for certain, OpenMS for runs whose start
	// has no result. Records of earlier versions don't have them.
	KnownMS *int64 `json:"known_ms,omitempty"`
	OpenMS  int64  `json:"open_ms,omitempty"`
	Host    host   `json:"at"`
	// Bounded is set if the lease was granted by a lower bound of the worker's clock. In records of
	// earlier versions it may last longer than they say.
	Bounded bool `json:"bounded,omitempty"`
	// readAt is the time when the node has read the record.
	readAt vocab.Instant
}

// silentRecord returns the record that the leases of a worker end within some time.
func (o *owner) silentRecord(w *worker) (Record, error) {
	all, open := max(w.leaseUntil, w.strayUntil), vocab.Instant(0)
	for _, t := range w.tasks {
		all, open = max(all, o.runExpiresAt(t)), max(open, o.openStartsUntil(t))
	}
	left := func(until vocab.Instant) int64 { return max(0, until.Sub(o.s.now).Milliseconds()+1) }
	known, lease := left(w.leaseUntil), silentLease{LeaseMS: left(all), Host: w.info.host(), Bounded: true}
	if lease.KnownMS = &known; open != 0 {
		// Copies of starts are still sent for a moment.
		lease.OpenMS = left(open.Add(startRepeatDelay))
	}
	value, err := json.Marshal(lease)
	return Record{Key: silentPrefix + string(w.info.ID), Value: value}, errors.Wrap(err, "encoding the record of a silent worker")
}

// end returns the end of leases that last for some milliseconds from the record.
func (l *silentLease) end(ms int64) vocab.Instant {
	return l.readAt.Add(time.Duration(ms) * time.Millisecond)
}

// foldSilent applies a record of a silent worker. The time counts from the append, and so
// from the reading at the latest.
func (l *Ledger) foldSilent(now vocab.Instant, id WorkerID, value []byte) error {
	if len(value) == 0 {
		delete(l.silent, id)
		return nil
	}
	var lease silentLease
	// Records of earlier versions hold the time alone.
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if lease.LeaseMS = ms; err != nil {
		err = json.Unmarshal(value, &lease)
	}
	if err != nil || lease.LeaseMS < 0 || lease.LeaseMS > maxLeaseMS {
		return errors.Wrapf(ErrBadRecord, "lease of worker %s", id)
	}
	if lease.KnownMS != nil && (*lease.KnownMS < 0 || *lease.KnownMS > maxLeaseMS) || lease.OpenMS < 0 || lease.OpenMS > maxLeaseMS {
		return errors.Wrapf(ErrBadRecord, "lease of worker %s", id)
	}
	lease.readAt = now
	l.silent[id] = lease
	return nil
}

// maxLeaseMS bounds the time in a record, in milliseconds. It is longer than any lease.
const maxLeaseMS = 600_000

// noteSilent records that the lease of a worker with tasks is not extended any more, and that
// nothing starts on the worker under a grant.
func (o *owner) noteSilent(w *worker) {
	if w.silent {
		return
	}
	o.revokeGrants(w)
	if len(w.tasks) == 0 {
		return
	}
	record, err := o.silentRecord(w)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "key", record.Key, "error", err.Error())
		return
	}
	w.silent = true
	o.extraRecords = append(o.extraRecords, record)
}

// endSilence lets a worker that responds again have its lease extended, once the stream says
// so.
func (o *owner) endSilence(w *worker) {
	if !w.silent || w.silenceEnding {
		return
	}
	w.silenceEnding = true
	o.extraRecords = append(o.extraRecords, Record{Key: silentPrefix + string(w.info.ID)})
	o.afterWrite(func() {
		w.silent, w.silenceEnding = false, false
		w.pollBy(o.s.now)
		o.planDue = true
	})
}

// inheritSilence applies what an earlier owner wrote about a worker.
func (o *owner) inheritSilence(w *worker) {
	if lease, found := o.s.ledger.silent[w.info.ID]; found {
		w.silent = true
		endsAt := lease.end(lease.LeaseMS)
		switch {
		case lease.KnownMS != nil:
			endsAt = lease.end(*lease.KnownMS)
			w.openUntil = lease.end(lease.OpenMS)
		case !lease.Bounded:
			endsAt = endsAt.Add(o.s.longestLeaseSpan() - o.s.maxLeaseSpan())
		}
		w.leaseUntil = min(w.leaseUntil, endsAt)
		o.adoptHost(w, lease.Host)
	}
}

// removeStaleSilence removes the records of workers that the owner does not know.
func (o *owner) removeStaleSilence() {
	var stale []string
	for id := range o.s.ledger.silent {
		if o.workers[id] == nil {
			stale = append(stale, silentPrefix+string(id))
		}
	}
	slices.Sort(stale)
	for _, key := range stale {
		o.extraRecords = append(o.extraRecords, Record{Key: key})
	}
}
