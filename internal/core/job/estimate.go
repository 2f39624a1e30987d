package job

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// estimator corrects declared run times by what runs of the same queue took.
// It fits log(actual) = a + b*log(declared): where callers guess well b is near
// 1, where they do not the queue's own mean counts.
type estimator struct {
	queues map[vocab.QueueID]*fit
}

// fit is a running regression of logarithms.
type fit struct {
	n, x, y, xx, xy float64
}

const (
	// priorRuns is how many observations the prior, that declared times are
	// right, counts for.
	priorRuns = 8
	// priorSpread is the variance of declared times that the prior assumes,
	// in squared logarithms.
	priorSpread = 0.25
)

func newEstimator() *estimator { return &estimator{queues: map[vocab.QueueID]*fit{}} }

// observe takes the run time of a task that was done.
func (e *estimator) observe(q vocab.QueueID, declaredMS int64, took time.Duration) {
	if declaredMS <= 0 || took <= 0 {
		return
	}
	f := e.queues[q]
	if f == nil {
		f = &fit{}
		e.queues[q] = f
	}
	x, y := math.Log(float64(declaredMS)), math.Log(float64(took.Milliseconds()+1))
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// runTime returns the expected run time of a task.
func (e *estimator) runTime(q vocab.QueueID, declaredMS int64) time.Duration {
	declared := time.Duration(max(declaredMS, 1)) * time.Millisecond
	f := e.queues[q]
	if f == nil || f.n < 2 {
		return declared
	}
	meanX, meanY := f.x/f.n, f.y/f.n
	varX := f.xx/f.n - meanX*meanX
	cov := f.xy/f.n - meanX*meanY
	slope := (cov*f.n + priorSpread*priorRuns) / (varX*f.n + priorSpread*priorRuns)
	slope = min(max(slope, 0), 1)
	// The prior pulls the mean ratio towards 1.
	shift := (meanY - meanX) * f.n / (f.n + priorRuns)
	at := meanX + shift + slope*(math.Log(float64(max(declaredMS, 1)))-meanX)
	return time.Duration(math.Exp(at)) * time.Millisecond
}
