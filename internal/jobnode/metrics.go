package jobnode

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// Log writes the reducer's lines.
type Log interface {
	Note(job.Note)
}

// nodeMetrics holds the counters and histograms of one node.
type nodeMetrics struct {
	set   *metrics.Set
	steps *metrics.Counter
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{set: set, steps: set.NewCounter("sardinehead_job_steps_total")}
}

var answerNames = map[job.Answer]string{
	job.Accepted: "accepted", job.NoQueue: "no_queue", job.NoKey: "no_key", job.NoJob: "no_job",
	job.Refused: "refused", job.Unclear: "unclear", job.Malformed: "malformed",
}

func (m *nodeMetrics) answered(r job.Reply) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_answers_total{answer=%q}`, answerNames[r.Answer])).Inc()
}

func (m *nodeMetrics) noted(n job.Note) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_events_total{event=%q}`, n.Event.String())).Inc()
}

func (m *nodeMetrics) append(o job.Outcome, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sardinehead_job_append_seconds{outcome=%q}`, o)).Update(took.Seconds())
}

func (m *nodeMetrics) start(o job.Outcome, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sardinehead_job_start_seconds{outcome=%q}`, o)).Update(took.Seconds())
}

// WriteMetrics writes the node's and the process's metrics in the Prometheus
// text format.
func (n *Node) WriteMetrics(w io.Writer) {
	n.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
