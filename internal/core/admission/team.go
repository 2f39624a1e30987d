package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// leastWeight keeps a team's weight above zero, in slots.
	leastWeight = 0.01
	// mostAdvance bounds the slot seconds that a request is charged in advance,
	// so that teams with long requests are not held back for their first ones.
	mostAdvance = 1.0
	// firstRun is the run time assumed before any was observed, in seconds.
	firstRun = 0.1
	// runSmoothing is the weight of a new run time in the mean.
	runSmoothing = 0.1
)

// team is one team's part of a queue.
type team struct {
	id     vocab.TeamID
	serial int // order in which teams came, for ties
	weight float64
	urgent list
	normal list
	// waiting counts the items in both lists and those that are delayed.
	waiting int
	running int
	// served is the slot time used, in seconds per weight, up to accrued.
	served  float64
	accrued vocab.Instant
	meanRun float64 // seconds
	key     float64
	// attained is the slot time used since the queue was made, and wanted that
	// of running and waiting items since the last Report.
	attained, wanted time.Duration
	// Indexes in the heaps of the queue; -1 outside.
	inReady, inUrgent, inExcess int
	active                      bool
}

// ready returns the number of items that may go now.
func (t *team) ready() int {
	return t.urgent.n + t.normal.n
}

// accrue charges what ran since the last call and brings the key up to date.
func (t *team) accrue(now vocab.Instant) {
	elapsed := now.Sub(t.accrued)
	t.attained += time.Duration(t.running) * elapsed
	if t.running > 0 {
		t.served += float64(t.running) * elapsed.Seconds() / t.weight
	}
	t.accrued = now
	t.key = t.served + float64(t.running)*t.advance()/t.weight
}

// advance returns what a request is charged when it starts, in seconds. The
// advance is taken back when the request ends.
func (t *team) advance() float64 {
	return min(t.meanRun, mostAdvance)
}

// excess returns how much the team has waiting for its weight.
func (t *team) excess() float64 {
	return float64(t.waiting) / t.weight
}

func (t *team) observeRun(seconds float64) {
	t.meanRun += runSmoothing * (seconds - t.meanRun)
}

// before orders teams by service received.
func (t *team) before(o *team) bool {
	if t.key != o.key {
		return t.key < o.key
	}
	return t.serial < o.serial
}

// exceeds orders teams by what they have waiting, the most first.
func (t *team) exceeds(o *team) bool {
	if a, b := t.excess(), o.excess(); a != b {
		return a > b
	}
	return t.serial < o.serial
}
