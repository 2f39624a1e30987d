package shares

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardinehead/sardinehead/internal/core/share"
)

// recorder takes down what happens in one run.
type recorder struct {
	scenario         scenario
	running, waiting []int
	// attained and wanted are the slot seconds of each team in this window.
	attained, wanted []float64
	deviations       []deviation
	windowEnd        time.Duration
	calls            int
	done             int
	given            int
	busy             float64
	urgent           *hdrhistogram.Histogram
	urgentCalls      int
}

func newRecorder(s scenario) *recorder {
	n := len(s.teams)
	return &recorder{
		scenario:  s,
		running:   make([]int, n),
		waiting:   make([]int, n),
		attained:  make([]float64, n),
		wanted:    make([]float64, n),
		windowEnd: warmUp,
		urgent:    hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

func (r *recorder) offered(c *call) {
	r.calls++
	if c.urgent {
		r.urgentCalls++
	}
}

// refused counts a request that its caller gave up.
func (r *recorder) refused(*call) {
	r.given++
}

// started counts the start of an attempt that has waited so long.
func (r *recorder) started(c *call, wait time.Duration) {
	r.waiting[c.team]--
	r.running[c.team]++
	if c.urgent {
		_ = r.urgent.RecordValue(int64(wait / time.Microsecond))
	}
}

func (r *recorder) ended(c *call) {
	r.running[c.team]--
	r.done++
}

// sample adds what runs and waits to the window, and closes it at its end.
func (r *recorder) sample(at time.Duration) {
	for i := range r.running {
		r.attained[i] += float64(r.running[i]) * sampleEvery.Seconds()
		r.wanted[i] += float64(r.running[i]+r.waiting[i]) * sampleEvery.Seconds()
		r.busy += float64(r.running[i]) * sampleEvery.Seconds()
	}
	if at < r.windowEnd {
		return
	}
	if r.windowEnd > r.from() {
		r.deviations = append(r.deviations, r.deviation())
	}
	clear(r.attained)
	clear(r.wanted)
	r.windowEnd += window
}

// from returns the start of the first window that counts.
func (r *recorder) from() time.Duration {
	if r.scenario.loses {
		return loseAt
	}
	return warmUp
}

// deviation is how far a window was from weighted max-min.
type deviation struct {
	// ofUsed is the largest difference between a team's slot time and its
	// weighted max-min part, as a part of the slot time used by all.
	ofUsed float64
	// ofOwn is the largest difference as a part of the team's own part, of the
	// teams that asked for more than they got.
	ofOwn float64
}

// deviation compares this window with the weighted max-min division of the slot
// time that was used.
func (r *recorder) deviation() deviation {
	used := 0.0
	claims := make([]share.NodeDemand, len(r.attained))
	for i, t := range r.scenario.teams {
		used += r.attained[i]
		claims[i] = share.NodeDemand{Team: t.name, Weight: t.weight, Demand: r.wanted[i]}
	}
	var most deviation
	for i, target := range share.Targets(used, claims) {
		off := math.Abs(r.attained[i] - target.Slots)
		most.ofUsed = max(most.ofUsed, off/max(used, 1))
		if target.CapacityLimited && target.Slots > 0 {
			most.ofOwn = max(most.ofOwn, off/target.Slots)
		}
	}
	return most
}
