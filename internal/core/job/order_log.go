package job

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The orders to machines are on the stream before they are sent, so that the next owner can
// keep the minimum time between the orders of two owners to one machine. Each record has
// the changes of a short period only: a fleet of thousands of machines is sent hundreds of
// orders a second, and every node reads the stream.

const (
	ordersPrefix = "o/"
	// orderPeriod is the period of one record. The record is written again while its
	// period lasts.
	orderPeriod = 125 * time.Millisecond
	// minOrderRetention is the minimum time for which the records are kept.
	minOrderRetention = 10 * time.Second
)

// orderRetention is the time for which records of orders are kept: longer than an earlier
// owner's order may block a machine, and until the next owner has given up the runs of a worker
// that the last order of an earlier one has ended, and that it could not reach.
func (s *State) orderRetention() time.Duration {
	takeover := orderAuthority + ownerTimeout + claimJitter + leaseAuthority
	return max(minOrderRetention, 2*(s.settings.MinOrderGap+orderAuthority),
		takeover+s.strayLeaseSpan()+2*orderReadDelay)
}

// orderRecord lists the machines that are about to receive an order, and those that have
// responded to one. A machine is in one of the lists.
type orderRecord struct {
	Open     []MachineID `json:"open,omitempty"`
	Answered []MachineID `json:"done,omitempty"`
	// At is the time of day when the record was written.
	At Millis `json:"at,omitempty"`
	// Workers are the workers that the orders end, of the machines in Open and then in Answered; "" where none
	// is known. Records of earlier versions don't have them.
	Workers []WorkerID `json:"w,omitempty"`
	// Waves are the waves of the orders, in the order of Workers, noWave for orders that are not for maintenance. Records
	// of earlier versions don't have them.
	Waves []int64 `json:"v,omitempty"`
	// Drains are the workers with tasks that the owner has seen draining. Earlier versions ignore them.
	Drains []drainedWorker `json:"drain,omitempty"`
}

// drainedWorker is an incarnation of a worker that was draining.
type drainedWorker struct {
	Worker      WorkerID `json:"w"`
	Incarnation Millis   `json:"b"`
}

// worker returns the worker that the order to the i-th machine of Open and Answered ends, or "".
func (r *orderRecord) worker(i int) WorkerID {
	if i < len(r.Workers) {
		return r.Workers[i]
	}
	return ""
}

// wave returns the wave of the order to the i-th machine of Open and Answered, noWave or anyWave.
func (r *orderRecord) wave(i int) int64 {
	if i < len(r.Waves) {
		return r.Waves[i]
	}
	return anyWave
}

// lastOrder is the last order to a machine that this node has read of. readAt is the time
// when it was read, open is set until its response was read.
type lastOrder struct {
	readAt vocab.Instant
	open   bool
	// writtenAt is the time of day in the record; 0 in one of an earlier version.
	writtenAt Millis
	// worker is the worker that the order ends; "" if it is not known.
	worker WorkerID
	// wave is the wave of the order, noWave or anyWave.
	wave int64
}

// orderState is the state of an order to a machine.
type orderState struct {
	open   bool
	worker WorkerID
	wave   int64
}

// orderLog builds the records of an owner.
type orderLog struct {
	// periods is the number of the current period.
	periods   int
	startedAt vocab.Instant
	state     map[MachineID]orderState
	machines  []MachineID // keys of state, in the order of their first change
	drains    []drainedWorker
	changed   bool // since the record was last written
}

// note adds the state of a machine's order to the record of the current period.
func (l *orderLog) note(now vocab.Instant, id MachineID, state orderState) {
	l.beginPeriod(now)
	if _, listed := l.state[id]; !listed {
		l.machines = append(l.machines, id)
	}
	l.state[id] = state
	l.changed = true
}

// noteDrain adds a worker that is draining to the record of the current period.
func (l *orderLog) noteDrain(now vocab.Instant, w drainedWorker) {
	l.beginPeriod(now)
	l.drains = append(l.drains, w)
	l.changed = true
}

// beginPeriod begins a new period if the current one is over and its record is written.
func (l *orderLog) beginPeriod(now vocab.Instant) {
	if l.periods > 0 && (now.Sub(l.startedAt) < orderPeriod || l.changed) {
		return
	}
	l.periods++
	l.startedAt, l.state, l.machines, l.drains = now, map[MachineID]orderState{}, nil, nil
}

// record returns the record of the current period for the owner with a fence.
func (l *orderLog) record(fence Fence, wall Millis) (Record, error) {
	l.changed = false
	r := orderRecord{At: wall, Drains: l.drains}
	var workers []WorkerID
	named := false
	for _, open := range []bool{true, false} {
		for _, id := range l.machines {
			state := l.state[id]
			if state.open != open {
				continue
			}
			if open {
				r.Open = append(r.Open, id)
			} else {
				r.Answered = append(r.Answered, id)
			}
			workers, r.Waves = append(workers, state.worker), append(r.Waves, state.wave)
			named = named || state.worker != ""
		}
	}
	if named {
		r.Workers = workers
	}
	value, err := json.Marshal(r)
	key := ordersPrefix + strconv.FormatUint(uint64(fence), 36) + "-" + strconv.Itoa(l.periods)
	return Record{Key: key, Value: value}, errors.Wrap(err, "encoding orders to machines")
}

// foldOrders applies a record of orders.
func (l *Ledger) foldOrders(now vocab.Instant, r Record) error {
	if len(r.Value) == 0 {
		delete(l.orderRecords, r.Key)
		return nil
	}
	var record orderRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding orders to machines"), ErrBadRecord)
	}
	l.orderRecords[r.Key] = now
	for i, id := range slices.Concat(record.Open, record.Answered) {
		order := lastOrder{readAt: now, open: i < len(record.Open), writtenAt: record.At, worker: record.worker(i), wave: record.wave(i)}
		l.noteOrder(id, order)
	}
	for _, d := range record.Drains {
		l.drains[d.Worker] = drain{d.Incarnation, now}
	}
	return nil
}

func (l *Ledger) noteOrder(id MachineID, order lastOrder) {
	l.lastOrders[id] = order
	if order.worker != "" {
		l.ordersByWorker[order.worker] = order
	}
}

// orderTo returns the last order that may have ended a worker: one that names it, which the platform need not list any
// more, or one to its machine that names none.
func (l *Ledger) orderTo(w *WorkerInfo) (lastOrder, bool) {
	if order, found := l.ordersByWorker[w.ID]; found {
		return order, true
	}
	order, found := l.lastOrders[w.Machine]
	return order, found && order.worker == ""
}

// foldEarlierFormat applies the list of orders in an owner record, as processes of earlier
// versions write it.
func (l *Ledger) foldEarlierFormat(now vocab.Instant, list []recentOrder) {
	for _, order := range list {
		readAt := now.Add(-time.Duration(order.AgeMS) * time.Millisecond)
		l.lastOrders[order.Machine] = lastOrder{readAt: readAt, open: order.Open, wave: anyWave}
	}
}

// expireOrders forgets the orders that are older than the retention.
func (l *Ledger) expireOrders(now vocab.Instant, retention time.Duration) {
	for id, order := range l.lastOrders {
		if now.Sub(order.readAt) > retention {
			delete(l.lastOrders, id)
		}
	}
	for id, order := range l.ordersByWorker {
		if now.Sub(order.readAt) > retention {
			delete(l.ordersByWorker, id)
		}
	}
	for id, d := range l.drains {
		if now.Sub(d.notedAt) > retention {
			delete(l.drains, id)
		}
	}
}

// expiredOrderRecords returns the keys of the records of orders that are older than the
// retention, in no particular order.
func (l *Ledger) expiredOrderRecords(now vocab.Instant, retention time.Duration) []string {
	var keys []string
	for key, readAt := range l.orderRecords {
		if now.Sub(readAt) > retention {
			keys = append(keys, key)
		}
	}
	return keys
}

// isOrderRecord reports whether a key is that of a record of orders.
func isOrderRecord(key string) bool { return strings.HasPrefix(key, ordersPrefix) }
