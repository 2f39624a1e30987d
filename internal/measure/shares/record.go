package shares

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardinehead/sardinehead/internal/core/share"
)

// recorder collects the figures of one run.
type recorder struct {
	scenario         scenario
	running, waiting []int
	// usedSlotSeconds and demandedSlotSeconds are those of each team in the
	// current window.
	usedSlotSeconds, demandedSlotSeconds []float64

	deviations       []deviation // of the completed windows
	windowEnd        time.Duration
	requests         int
	completed        int
	abandoned        int
	totalSlotSeconds float64 // used by all teams over the whole run
	urgentWaits      *hdrhistogram.Histogram
	urgentRequests   int
}

func newRecorder(s scenario) *recorder {
	n := len(s.teams)
	return &recorder{
		scenario:            s,
		running:             make([]int, n),
		waiting:             make([]int, n),
		usedSlotSeconds:     make([]float64, n),
		demandedSlotSeconds: make([]float64, n),
		windowEnd:           warmUp,
		urgentWaits:         hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// requestSent counts a new request.
func (r *recorder) requestSent(req *request) {
	r.requests++
	if req.urgent {
		r.urgentRequests++
	}
}

// requestAbandoned counts a request that its caller has abandoned.
func (r *recorder) requestAbandoned(*request) {
	r.abandoned++
}

// requestStarted counts the start of an attempt and records its wait if it is
// urgent.
func (r *recorder) requestStarted(req *request, wait time.Duration) {
	r.waiting[req.team]--
	r.running[req.team]++
	if req.urgent {
		_ = r.urgentWaits.RecordValue(int64(wait / time.Microsecond))
	}
}

// requestCompleted counts a served request.
func (r *recorder) requestCompleted(req *request) {
	r.running[req.team]--
	r.completed++
}

// sample adds the running and waiting requests to the current window. At the
// end of a window it records the deviation and starts the next window.
func (r *recorder) sample(at time.Duration) {
	for i := range r.running {
		r.usedSlotSeconds[i] += float64(r.running[i]) * sampleInterval.Seconds()
		r.demandedSlotSeconds[i] += float64(r.running[i]+r.waiting[i]) * sampleInterval.Seconds()
		r.totalSlotSeconds += float64(r.running[i]) * sampleInterval.Seconds()
	}
	if at < r.windowEnd {
		return
	}
	if r.windowEnd > r.measuredFrom() {
		r.deviations = append(r.deviations, r.windowDeviation())
	}
	clear(r.usedSlotSeconds)
	clear(r.demandedSlotSeconds)
	r.windowEnd += windowLength
}

// measuredFrom returns the start of the first window that counts.
func (r *recorder) measuredFrom() time.Duration {
	if r.scenario.losesNode {
		return nodeLossAt
	}
	return warmUp
}

// deviation is the distance of one window from the weighted max-min division.
type deviation struct {
	// ofTotal is the largest difference between a team's slot time and its
	// weighted max-min share, as a fraction of the slot time used by all teams.
	ofTotal float64
	// ofShare is the largest difference as a fraction of the team's own share,
	// among the teams with a higher demand than they got.
	ofShare float64
}

// windowDeviation compares the current window with the weighted max-min
// division of the slot time that was used in it.
func (r *recorder) windowDeviation() deviation {
	used := 0.0
	demands := make([]share.NodeDemand, len(r.usedSlotSeconds))
	for i, t := range r.scenario.teams {
		used += r.usedSlotSeconds[i]
		demands[i] = share.NodeDemand{Team: t.name, Weight: t.weight, Demand: r.demandedSlotSeconds[i]}
	}
	var largest deviation
	for i, target := range share.Targets(used, demands) {
		difference := math.Abs(r.usedSlotSeconds[i] - target.Slots)
		largest.ofTotal = max(largest.ofTotal, difference/max(used, 1))
		if target.CapacityLimited && target.Slots > 0 {
			largest.ofShare = max(largest.ofShare, difference/target.Slots)
		}
	}
	return largest
}
