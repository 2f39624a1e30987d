package job

import "github.com/sardinehead/sardinehead/internal/vocab"

const (
	// fixedValueFraction is the part of a job's value that does not depend on its work.
	fixedValueFraction = 0.3
	// maxValueRatio bounds the value of a job, in values of the mean job of its queue.
	maxValueRatio = 4
	// priorCoreSeconds is the assumed mean work of a queue's jobs, in core-seconds, with the
	// weight of priorJobs jobs, until the queue's own jobs are known.
	priorCoreSeconds = 12.0
	priorJobs        = 4
)

// queueWork learns the mean work of the jobs of each queue. The value of a job has a fixed
// part and a part proportional to its work, both relative to that mean: a queue's jobs may
// have a few core-seconds or hundreds.
type queueWork struct {
	queues map[vocab.QueueID]*workMean
}

// workMean is a sum of jobs and of their work.
type workMean struct{ jobs, coreSeconds float64 }

func newQueueWork() *queueWork { return &queueWork{queues: map[vocab.QueueID]*workMean{}} }

// observe adds a job that runs to completion.
func (w *queueWork) observe(q vocab.QueueID, coreSeconds float64) {
	m := w.queues[q]
	if m == nil {
		m = &workMean{jobs: priorJobs, coreSeconds: priorJobs * priorCoreSeconds}
		w.queues[q] = m
	}
	m.jobs++
	m.coreSeconds += coreSeconds
}

// mean is the mean work of a queue's jobs, in core-seconds.
func (w *queueWork) mean(q vocab.QueueID) float64 {
	if m := w.queues[q]; m != nil {
		return m.coreSeconds / m.jobs
	}
	return priorCoreSeconds
}

// value is the value of a job with this work, in core-seconds. It is earned only when the
// whole job completes.
func (w *queueWork) value(q vocab.QueueID, coreSeconds float64) float64 {
	mean := w.mean(q)
	return min(fixedValueFraction*mean+(1-fixedValueFraction)*coreSeconds, maxValueRatio*mean)
}
