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
	// LeaseMS is the time from the record until the end of the lease, in milliseconds.
	LeaseMS int64 `json:"ms"`
	Host    host  `json:"at"`
	// Bounded is set if the lease was granted by a lower bound of the worker's clock. In records of
	// earlier versions it may last longer than they say.
	Bounded bool `json:"bounded,omitempty"`
	// endsAt is the end of the lease for the node that has read the record.
	endsAt vocab.Instant
}

// silentRecord returns the record that the lease of a worker ends within a time.
func silentRecord(w *WorkerInfo, leaseLeft time.Duration) (Record, error) {
	value, err := json.Marshal(silentLease{LeaseMS: max(0, leaseLeft.Milliseconds()+1), Host: w.host(), Bounded: true})
	return Record{Key: silentPrefix + string(w.ID), Value: value}, errors.Wrap(err, "encoding the record of a silent worker")
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
	lease.endsAt = now.Add(time.Duration(lease.LeaseMS) * time.Millisecond)
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
	record, err := silentRecord(&w.info, w.leaseUntil.Sub(o.s.now))
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
		endsAt := lease.endsAt
		if !lease.Bounded {
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
