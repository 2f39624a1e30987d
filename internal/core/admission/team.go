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
	mostAdvance = 3.0
	// drainTime is the time in which waiting items are assumed to be served, in
	// what a team is reported to want.
	drainTime = 2.0
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
	// meanRun is the mean run time in seconds of the requests that ended, and
	// runs their number.
	meanRun float64
	runs    int
	key     float64
	// attained is the slot time used since the queue was made, and reported what
	// the last Report said of it.
	attained, reported time.Duration
	// waited is the time that items waited and offered the usual run time of
	// the items that came, let in or not, since the last Report.
	waited, offered time.Duration
	// Indexes in the heaps of the queue; -1 outside.
	inReady, inUrgent, inExcess int
	// active is set while Advance looks at the team, and quiet once a Report
	// said that it wants nothing.
	active, quiet bool
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

// wanted returns the slot time that the team would have used since the last
// Report: what came, and what waited as far as it can be served in drainTime.
func (t *team) wanted() time.Duration {
	drained := float64(t.waited) * min(1, t.meanRun/drainTime)
	return max(t.attained-t.reported, t.offered+time.Duration(drained))
}

// observeRun takes in the run time of a request that ended.
func (t *team) observeRun(ran time.Duration) {
	t.runs++
	t.meanRun += max(runSmoothing, 1/float64(t.runs)) * (ran.Seconds() - t.meanRun)
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
