package admission

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// minWeight is the lower bound of a team's weight, which must not be zero.
	minWeight = 0.01
	// maxInitialCharge bounds the slot seconds that a request is charged in advance,
	// so that the first requests of teams with long requests are not delayed.
	maxInitialCharge = 3.0
	// assumedDrainSeconds is the time in which waiting items are assumed to be
	// served when a team's demand is computed.
	assumedDrainSeconds = 2.0
	// initialRunSeconds is the mean run time assumed before the first observation.
	initialRunSeconds = 0.1
	// runSmoothing is the weight of a new run time in the moving average.
	runSmoothing = 0.1
)

// team is the state of one team in a queue.
type team struct {
	id     vocab.TeamID
	serial int // position in Queue.teamList; breaks ties
	weight float64
	// urgent and normal have the ready items.
	urgent entryList
	normal entryList
	// waiting counts the ready and the delayed items.
	waiting int
	running int
	// weightedService is the slot time used up to accruedAt, in seconds per weight.
	// It is raised if the team lags behind virtual time.
	weightedService float64
	accruedAt       vocab.Instant
	// meanRunSeconds is the moving average of the run time of finished requests.
	meanRunSeconds float64
	finishedRuns   int
	// orderKey is weightedService plus the initial charges of the running requests.
	// The ready team with the lowest key is served first.
	orderKey float64
	// service is the slot time used since the queue was created, and reportedService
	// its value at the last Report.
	service, reportedService time.Duration
	// waitingTime is the total time that items have waited since the last Report.
	// offeredTime is the expected run time of the items pushed since then, admitted
	// or not.
	waitingTime, offeredTime time.Duration
	// Indexes in the heaps of the queue; -1 if the team is not in the heap.
	readyIndex, urgentIndex, backlogIndex int
	// active means that the team is in Queue.active, and reportedIdle that it had no
	// demand in the last Report.
	active, reportedIdle bool
}

// ready returns the number of items that may start now.
func (t *team) ready() int {
	return t.urgent.count + t.normal.count
}

// accrue charges the team for its running requests since the last call and updates
// orderKey.
func (t *team) accrue(now vocab.Instant) {
	elapsed := now.Sub(t.accruedAt)
	t.service += time.Duration(t.running) * elapsed
	if t.running > 0 {
		t.weightedService += float64(t.running) * elapsed.Seconds() / t.weight
	}
	t.accruedAt = now
	t.orderKey = t.weightedService + float64(t.running)*t.initialCharge()/t.weight
}

// initialCharge returns the slot seconds that are charged when a request starts and
// refunded when it ends.
func (t *team) initialCharge() float64 {
	return min(t.meanRunSeconds, maxInitialCharge)
}

// weightedBacklog returns the number of waiting items per weight.
func (t *team) weightedBacklog() float64 {
	return float64(t.waiting) / t.weight
}

// demand returns the slot time that the team would have used since the last Report
// without competition: the expected run time of new items, and of waiting ones as far
// as they would be served at a rate that empties the queue in assumedDrainSeconds. It
// is at least the slot time used.
func (t *team) demand() time.Duration {
	drained := float64(t.waitingTime) * min(1, t.meanRunSeconds/assumedDrainSeconds)
	return max(t.service-t.reportedService, t.offeredTime+time.Duration(drained))
}

// recordRun updates the mean with the run time of a finished request.
func (t *team) recordRun(runTime time.Duration) {
	t.finishedRuns++
	t.meanRunSeconds += max(runSmoothing, 1/float64(t.finishedRuns)) * (runTime.Seconds() - t.meanRunSeconds)
}

// servedLessThan orders teams by orderKey.
func (t *team) servedLessThan(o *team) bool {
	if t.orderKey != o.orderKey {
		return t.orderKey < o.orderKey
	}
	return t.serial < o.serial
}

// backlogExceeds orders teams by weighted backlog, the largest first.
func (t *team) backlogExceeds(o *team) bool {
	if a, b := t.weightedBacklog(), o.weightedBacklog(); a != b {
		return a > b
	}
	return t.serial < o.serial
}
