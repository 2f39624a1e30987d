package placement

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// priorObservations is how many observations a declared value weighs.
	priorObservations = 2
	// ignoredPrior is the number of observations from which on the declared
	// value has no weight of its own.
	ignoredPrior = 24
	// cacheObservations is the number of observations after which cached
	// quantiles are worked out again.
	cacheObservations = 16
	// longRunLevel is the level of run time beyond which a task is long.
	longRunLevel = len(levels) - 1
	// medianLevel is the level of the median.
	medianLevel = 0
	// trustedObservations is the number of observations from which on the
	// learned run time bounds an attempt.
	trustedObservations = 8
	// maxSteps bounds how often memory is doubled after lacks of memory.
	maxSteps = 6
	// riskDeviations is the number of standard deviations of a worker's total
	// memory use for which room is kept: about one chance in 100 to lack it.
	riskDeviations = 2.33
)

// levels are the quantiles that are worked out, the median first.
var levels = [...]float64{0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.99}

// deviations are the standard deviations above the mean of the levels, for a
// normal distribution.
var deviations = [...]float64{0, 0.25, 0.52, 0.84, 1.28, 1.64, 2.33}

// levelFor returns the level to reserve for each of several tasks, so that
// together they lack room no more often than one task at the last level.
func levelFor(tasks float64) int {
	wanted := riskDeviations / math.Sqrt(max(1, tasks))
	for i, d := range deviations {
		if d >= wanted {
			return i
		}
	}
	return len(levels) - 1
}

// Learner estimates sizes and run times per queue. It learns the observed
// values and their ratio to the declared ones, and uses whichever spreads less.
type Learner struct {
	queues map[vocab.QueueID]*queueStats
	// Off makes the learner return declared values.
	Off bool
	// MemoryBytes is the memory of a typical worker. The more tasks fit one
	// worker, the closer to the median each task's memory is reserved.
	MemoryBytes int64
}

type queueStats struct {
	observations int
	cpu          dimension
	memory       dimension
	run          dimension
}

// dimension is what is learned of one quantity.
type dimension struct {
	absolute sketch
	relative sketch
	// cached has the quantiles as of a number of observations.
	cached   [len(levels)]float64
	cachedAt int
	// useRelative means that cached is to be multiplied by the declared value.
	useRelative  bool
	observations int
}

// Estimate is what a task of a queue is expected to need.
type Estimate struct {
	Size Size
	// Typical is the median run time.
	Typical time.Duration
	// Long is a run time that few tasks exceed; 0 if too little is known.
	Long         time.Duration
	Observations int
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{queues: map[vocab.QueueID]*queueStats{}}
}

// Observe takes what one complete attempt used and what was declared for it.
func (l *Learner) Observe(queue vocab.QueueID, declared, peak Size, declaredRun, run time.Duration) {
	q, ok := l.queues[queue]
	if !ok {
		q = &queueStats{}
		l.queues[queue] = q
	}
	q.observations++
	q.cpu.observe(float64(peak.MilliCPU), float64(declared.MilliCPU))
	q.memory.observe(float64(peak.MemoryBytes), float64(declared.MemoryBytes))
	q.run.observe(float64(run.Milliseconds()), float64(declaredRun.Milliseconds()))
}

// Estimate returns the expectation for a task that declares these values and
// has lacked memory the given number of times.
func (l *Learner) Estimate(queue vocab.QueueID, declared Size, declaredRun time.Duration, lacks int) Estimate {
	q, ok := l.queues[queue]
	if !ok || l.Off {
		e := Estimate{Size: declared, Typical: declaredRun}
		e.Size.MemoryBytes <<= min(lacks, maxSteps)
		return e
	}
	e := Estimate{
		Size: Size{
			MilliCPU:     int64(math.Ceil(q.cpu.value(medianLevel, float64(declared.MilliCPU)))),
			MemoryBytes:  l.memory(q, float64(declared.MemoryBytes), lacks),
			Accelerators: declared.Accelerators,
		},
		Typical:      milliseconds(q.run.value(medianLevel, float64(declaredRun.Milliseconds()))),
		Observations: q.observations,
	}
	if q.observations >= trustedObservations {
		e.Long = milliseconds(q.run.value(longRunLevel, float64(declaredRun.Milliseconds())))
	}
	return e
}

func (l *Learner) memory(q *queueStats, declared float64, lacks int) int64 {
	median := q.memory.value(medianLevel, declared)
	tasks := float64(l.MemoryBytes) / max(1, median)
	memory := q.memory.value(levelFor(tasks), declared)
	return int64(memory) << min(lacks, maxSteps)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func (d *dimension) observe(observed, declared float64) {
	d.observations++
	d.absolute.add(observed)
	if declared > 0 {
		d.relative.add(observed / declared)
	}
}

// value returns the value at a level for a declared value.
func (d *dimension) value(level int, declared float64) float64 {
	if d.observations < ignoredPrior {
		return d.withPrior(level, declared)
	}
	if d.cachedAt == 0 || d.observations-d.cachedAt >= cacheObservations {
		d.refresh()
	}
	if d.useRelative && declared > 0 {
		return declared * d.cached[level]
	}
	return d.cached[level]
}

func (d *dimension) relativeIsNarrower() bool {
	return d.relative.total > 0 && d.relative.spread() < d.absolute.spread()
}

func (d *dimension) withPrior(level int, declared float64) float64 {
	if declared > 0 && d.relativeIsNarrower() {
		return declared * valueOf(d.relative.quantile(levels[level], sketchZero, priorObservations))
	}
	return valueOf(d.absolute.quantile(levels[level], bucketOf(declared), priorObservations))
}

func (d *dimension) refresh() {
	d.cachedAt = d.observations
	d.useRelative = d.relativeIsNarrower()
	source := &d.absolute
	if d.useRelative {
		source = &d.relative
	}
	for i, q := range levels {
		d.cached[i] = valueOf(source.quantile(q, sketchZero, 0))
	}
}
