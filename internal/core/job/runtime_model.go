package job

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/lookahead"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// runTimeModel corrects declared run times by the measured run times of the same queue.
// It fits log(actual) = a + b*log(declared): b is near 1 where callers estimate well, and
// where they do not, the mean run time of the queue dominates.
type runTimeModel struct {
	queues map[vocab.QueueID]*regression
}

// regression holds the sums of a linear regression of y, the logarithm of the actual run
// time, on x, the logarithm of the declared one.
type regression struct {
	n, sumX, sumY, sumXX, sumXY float64
	// spread is what the expected run times leave unexplained.
	spread lookahead.Spread
}

const (
	// priorRuns is the weight, in observations, of the prior assumption that declared run
	// times are correct.
	priorRuns = 8
	// priorVariance is the variance of the declared run times under the prior, in squared
	// logarithms.
	priorVariance = 0.25
)

func newRunTimeModel() *runTimeModel { return &runTimeModel{queues: map[vocab.QueueID]*regression{}} }

// observe adds the run time of a completed task.
func (m *runTimeModel) observe(q vocab.QueueID, declaredMS int64, actual time.Duration) {
	if declaredMS <= 0 || actual <= 0 {
		return
	}
	r := m.queues[q]
	if r == nil {
		r = &regression{}
		m.queues[q] = r
	}
	r.spread.Observe(m.runTime(q, declaredMS), actual)
	x, y := math.Log(float64(declaredMS)), math.Log(float64(actual.Milliseconds()+1))
	r.n++
	r.sumX += x
	r.sumY += y
	r.sumXX += x * x
	r.sumXY += x * y
}

// runTime returns the expected run time of a task with a declared run time.
func (m *runTimeModel) runTime(q vocab.QueueID, declaredMS int64) time.Duration {
	declared := time.Duration(max(declaredMS, 1)) * time.Millisecond
	r := m.queues[q]
	if r == nil || r.n < 2 {
		return declared
	}
	meanX, meanY := r.sumX/r.n, r.sumY/r.n
	varX := max(0, r.sumXX/r.n-meanX*meanX)
	cov := r.sumXY/r.n - meanX*meanY
	slope := (cov*r.n + priorVariance*priorRuns) / (varX*r.n + priorVariance*priorRuns)
	slope = min(max(slope, 0), 1)
	// The prior pulls the mean ratio of actual to declared run time towards 1.
	shift := (meanY - meanX) * r.n / (r.n + priorRuns)
	logEstimate := meanX + shift + slope*(math.Log(float64(max(declaredMS, 1)))-meanX)
	return time.Duration(math.Exp(logEstimate)) * time.Millisecond
}

// spread is the standard deviation of the logarithm of actual to expected run time.
func (m *runTimeModel) spread(q vocab.QueueID) float64 {
	if r := m.queues[q]; r != nil {
		return r.spread.Sigma()
	}
	return lookahead.Spread{}.Sigma()
}
