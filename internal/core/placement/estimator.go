package placement

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// priorObservations is the weight of the declared value, in observations.
	priorObservations = 2
	// minWithoutPrior is the number of observations from which on the declared
	// value is no longer used as a prior.
	minWithoutPrior = 24
	// refreshObservations is the number of observations after which cached
	// quantiles are recomputed.
	refreshObservations = 16
	// longRunQuantile is the index of the quantile that Estimate.LongRunTime is
	// taken from.
	longRunQuantile = len(quantiles) - 1
	// medianQuantile is the index of the median.
	medianQuantile = 0
	// minRunTimeObservations is the number of observations from which on
	// Estimate.LongRunTime is set.
	minRunTimeObservations = 8
	// maxMemoryDoublings is the maximum number of times that memory is doubled after
	// attempts that ran out of memory.
	maxMemoryDoublings = 6
	// memoryMarginDeviations is the margin for the total memory usage on a worker,
	// in standard deviations. With 2.33, about 1% of the workers' usage exceeds it.
	memoryMarginDeviations = 2.33
)

// quantiles are the quantiles that are computed, in ascending order.
var quantiles = [...]float64{0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.99}

// quantileDeviations are the distances of the quantiles from the mean of a normal
// distribution, in standard deviations.
var quantileDeviations = [...]float64{0, 0.25, 0.52, 0.84, 1.28, 1.64, 2.33}

// memoryQuantile returns the index of the lowest quantile at which memory can be
// reserved for each of several tasks on one worker so that their total exceeds the
// reservations no more often than a single task exceeds the last quantile. The
// relative deviation of a sum falls with the square root of the number of tasks.
func memoryQuantile(tasks float64) int {
	needed := memoryMarginDeviations / math.Sqrt(max(1, tasks))
	for i, d := range quantileDeviations {
		if d >= needed {
			return i
		}
	}
	return len(quantiles) - 1
}

// Estimator estimates sizes and run times per queue. It keeps the distributions of
// the observed values and of their ratios to the declared values, and estimates
// from the one with the smaller spread.
type Estimator struct {
	queues map[vocab.QueueID]*queueStats
	// Disabled makes Estimate return the declared values.
	Disabled bool
	// WorkerMemoryBytes is the mean memory of a worker. The more tasks fit on one
	// worker, the closer to the median is the memory reserved for each.
	WorkerMemoryBytes int64
}

// queueStats holds the observations of a queue's completed attempts.
type queueStats struct {
	observations int
	cpu          quantityStats
	memory       quantityStats
	runTime      quantityStats
}

// quantityStats holds the distributions of one quantity of a queue's attempts.
type quantityStats struct {
	// absolute has the observed values, and relative their ratios to the declared
	// values.
	absolute sketch
	relative sketch
	// cached has the quantiles as of cachedAt observations.
	cached   [len(quantiles)]float64
	cachedAt int
	// useRelative means that cached has quantiles of relative.
	useRelative  bool
	observations int
}

// Estimate is the expected resource usage and run time of a task.
type Estimate struct {
	Size Size
	// MedianRunTime is the median run time.
	MedianRunTime time.Duration
	// LongRunTime is the 99th percentile of the run time; 0 with fewer observations than
	// minRunTimeObservations.
	LongRunTime  time.Duration
	Observations int
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{queues: map[vocab.QueueID]*queueStats{}}
}

// Observe records the peak usage and the run time of a completed attempt, with the
// values declared for its task.
func (l *Estimator) Observe(queue vocab.QueueID, declared, peak Size, declaredRun, run time.Duration) {
	q, ok := l.queues[queue]
	if !ok {
		q = &queueStats{}
		l.queues[queue] = q
	}
	q.observations++
	q.cpu.observe(float64(peak.MilliCPU), float64(declared.MilliCPU))
	q.memory.observe(float64(peak.MemoryBytes), float64(declared.MemoryBytes))
	q.runTime.observe(float64(run.Milliseconds()), float64(declaredRun.Milliseconds()))
}

// Estimate returns the estimate for a task with these declared values that ran out
// of memory outOfMemory times. Memory doubles with each time.
func (l *Estimator) Estimate(queue vocab.QueueID, declared Size, declaredRun time.Duration, outOfMemory int) Estimate {
	q, ok := l.queues[queue]
	if !ok || l.Disabled {
		e := Estimate{Size: declared, MedianRunTime: declaredRun}
		e.Size.MemoryBytes <<= min(outOfMemory, maxMemoryDoublings)
		return e
	}
	e := Estimate{
		Size: Size{
			MilliCPU:     int64(math.Ceil(q.cpu.quantile(medianQuantile, float64(declared.MilliCPU)))),
			MemoryBytes:  l.memory(q, float64(declared.MemoryBytes), outOfMemory),
			Accelerators: declared.Accelerators,
		},
		MedianRunTime: milliseconds(q.runTime.quantile(medianQuantile, float64(declaredRun.Milliseconds()))),
		Observations:  q.observations,
	}
	if q.observations >= minRunTimeObservations {
		e.LongRunTime = milliseconds(q.runTime.quantile(longRunQuantile, float64(declaredRun.Milliseconds())))
	}
	return e
}

// memory returns the memory to reserve for a task.
func (l *Estimator) memory(q *queueStats, declared float64, outOfMemory int) int64 {
	median := q.memory.quantile(medianQuantile, declared)
	tasks := float64(l.WorkerMemoryBytes) / max(1, median)
	memory := q.memory.quantile(memoryQuantile(tasks), declared)
	return int64(memory) << min(outOfMemory, maxMemoryDoublings)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *quantityStats) observe(observed, declared float64) {
	s.observations++
	s.absolute.add(observed)
	if declared > 0 {
		s.relative.add(observed / declared)
	}
}

// quantile returns the quantile with the given index for a declared value.
func (s *quantityStats) quantile(index int, declared float64) float64 {
	if s.observations < minWithoutPrior {
		return s.quantileWithPrior(index, declared)
	}
	if s.cachedAt == 0 || s.observations-s.cachedAt >= refreshObservations {
		s.updateCache()
	}
	if s.useRelative && declared > 0 {
		return declared * s.cached[index]
	}
	return s.cached[index]
}

// relativeSpreadsLess reports whether the ratios to the declared values spread less
// than the values themselves.
func (s *quantityStats) relativeSpreadsLess() bool {
	return s.relative.total > 0 && s.relative.spread() < s.absolute.spread()
}

// quantileWithPrior returns the quantile with the declared value counted as
// priorObservations observations.
func (s *quantityStats) quantileWithPrior(index int, declared float64) float64 {
	if declared > 0 && s.relativeSpreadsLess() {
		return declared * valueOf(s.relative.quantile(quantiles[index], unitBucket, priorObservations))
	}
	return valueOf(s.absolute.quantile(quantiles[index], bucketOf(declared), priorObservations))
}

// updateCache recomputes the cached quantiles from the distribution with the smaller
// spread.
func (s *quantityStats) updateCache() {
	s.cachedAt = s.observations
	s.useRelative = s.relativeSpreadsLess()
	source := &s.absolute
	if s.useRelative {
		source = &s.relative
	}
	for i, q := range quantiles {
		s.cached[i] = valueOf(source.quantile(q, unitBucket, 0))
	}
}
