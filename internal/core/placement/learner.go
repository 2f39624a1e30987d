package placement

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// priorObservations is how many observations a declared size weighs.
	priorObservations = 2
	// cpuQuantile is the quantile of processor use that is reserved. Processor
	// time can be shared, so a median-like value serves.
	cpuQuantile = 0.6
	// memoryQuantile is the quantile of memory use that is reserved.
	memoryQuantile = 0.95
	// longRunQuantile is the quantile of run time beyond which a task is long.
	longRunQuantile = 0.99
	// memoryStep is the factor on memory after each lack of memory.
	memoryStep = 2
	// trustedObservations is the number of observations from which on the
	// learned run time bounds an attempt.
	trustedObservations = 8
	// maxSteps bounds the steps of memory after lacks of memory.
	maxSteps = 6
)

// Learner estimates sizes and run times per queue. It learns the observed
// values and their ratio to the declared ones, and uses whichever spreads less.
type Learner struct {
	queues map[vocab.QueueID]*queueStats
	// Off makes the learner return declared values.
	Off bool
}

type queueStats struct {
	observations int
	cpu          dimension
	memory       dimension
	run          dimension
}

type dimension struct {
	absolute sketch
	relative sketch
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
	q.memory.observe(mebibytes(peak.MemoryBytes), mebibytes(declared.MemoryBytes))
	q.run.observe(run.Seconds(), declaredRun.Seconds())
}

func mebibytes(b int64) float64 {
	return float64(b) / (1 << 20)
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
	return q.estimate(declared, declaredRun, lacks)
}

func (q *queueStats) estimate(declared Size, declaredRun time.Duration, lacks int) Estimate {
	memory := q.memory.quantile(memoryQuantile, mebibytes(declared.MemoryBytes))
	memory *= math.Pow(memoryStep, float64(min(lacks, maxSteps)))
	e := Estimate{
		Size: Size{
			MilliCPU:     int64(math.Ceil(q.cpu.quantile(cpuQuantile, float64(declared.MilliCPU)))),
			MemoryBytes:  int64(memory * (1 << 20)),
			Accelerators: declared.Accelerators,
		},
		Typical:      seconds(q.run.quantile(0.5, declaredRun.Seconds())),
		Observations: q.observations,
	}
	if q.observations >= trustedObservations {
		e.Long = seconds(q.run.quantile(longRunQuantile, declaredRun.Seconds()))
	}
	return e
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func (d *dimension) observe(observed, declared float64) {
	d.absolute.add(observed)
	if declared > 0 {
		d.relative.add(observed / declared)
	}
}

func (d *dimension) quantile(q, declared float64) float64 {
	if declared > 0 && d.relative.total > 0 && d.relative.spread() < d.absolute.spread() {
		return declared * valueOf(d.relative.quantile(q, sketchZero, priorObservations))
	}
	return valueOf(d.absolute.quantile(q, bucketOf(declared), priorObservations))
}
