package job

import (
	"encoding/json"
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
// owner's order may block a machine.
func (s *State) orderRetention() time.Duration {
	return max(minOrderRetention, 2*(s.settings.MinOrderGap+orderAuthority))
}

// orderRecord lists the machines that are about to receive an order, and those that have
// responded to one. A machine is in one of the lists.
type orderRecord struct {
	Open     []MachineID `json:"open,omitempty"`
	Answered []MachineID `json:"done,omitempty"`
	// At is the time of day when the record was written.
	At Millis `json:"at,omitempty"`
}

// lastOrder is the last order to a machine that this node has read of. readAt is the time
// when it was read, open is set until its response was read.
type lastOrder struct {
	readAt vocab.Instant
	open   bool
	// writtenAt is the time of day in the record; 0 in one of an earlier version.
	writtenAt Millis
}

// orderLog builds the records of an owner.
type orderLog struct {
	// periods is the number of the current period.
	periods   int
	startedAt vocab.Instant
	state     map[MachineID]bool // whether the machine's order is open
	machines  []MachineID        // keys of state, in the order of their first change
	changed   bool               // since the record was last written
}

// note adds the state of a machine's order to the record of the current period.
func (l *orderLog) note(now vocab.Instant, id MachineID, open bool) {
	if now.Sub(l.startedAt) >= orderPeriod && !l.changed {
		l.periods++
		l.startedAt, l.state, l.machines = now, map[MachineID]bool{}, nil
	}
	if _, listed := l.state[id]; !listed {
		l.machines = append(l.machines, id)
	}
	l.state[id] = open
	l.changed = true
}

// record returns the record of the current period for the owner with a fence.
func (l *orderLog) record(fence Fence, wall Millis) (Record, error) {
	l.changed = false
	r := orderRecord{At: wall}
	for _, id := range l.machines {
		if l.state[id] {
			r.Open = append(r.Open, id)
		} else {
			r.Answered = append(r.Answered, id)
		}
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
	for _, id := range record.Open {
		l.lastOrders[id] = lastOrder{now, true, record.At}
	}
	for _, id := range record.Answered {
		l.lastOrders[id] = lastOrder{now, false, record.At}
	}
	return nil
}

// foldEarlierFormat applies the list of orders in an owner record, as processes of earlier
// versions write it.
func (l *Ledger) foldEarlierFormat(now vocab.Instant, list []recentOrder) {
	for _, order := range list {
		readAt := now.Add(-time.Duration(order.AgeMS) * time.Millisecond)
		l.lastOrders[order.Machine] = lastOrder{readAt: readAt, open: order.Open}
	}
}

// expireOrders forgets the orders that are older than the retention.
func (l *Ledger) expireOrders(now vocab.Instant, retention time.Duration) {
	for id, order := range l.lastOrders {
		if now.Sub(order.readAt) > retention {
			delete(l.lastOrders, id)
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
