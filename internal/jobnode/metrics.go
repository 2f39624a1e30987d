package jobnode

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// Log writes log events.
type Log interface {
	// Write writes a line for the event, unless a rate limit drops it.
	Write(job.LogEvent)
	// DroppedLines returns the number of lines dropped so far.
	DroppedLines() uint64
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

func (m *nodeMetrics) gauge(name string, value float64) {
	m.set.GetOrCreateGauge(name, nil).Set(value)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *nodeMetrics) countReply(r job.Reply) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_answers_total{answer=%q}`, r.Answer)).Inc()
}

func (m *nodeMetrics) countLogEvent(e job.LogEvent) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_events_total{event=%q}`, e.ID.MetricLabel())).Inc()
	if cause, ok := e.Field("cause").(string); ok && e.ID == job.LogRunLost {
		m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_runs_lost_total{cause=%q}`, cause)).Inc()
	}
	if timeliness, ok := e.Field("timeliness").(string); ok && e.ID == job.LogJobFinished {
		m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_queue_finished_total{queue=%q,timeliness=%q}`, fmt.Sprint(e.Field("queue")), timeliness)).Inc()
		m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_team_finished_total{team=%q,timeliness=%q}`, fmt.Sprint(e.Field("team")), timeliness)).Inc()
	}
	if why, ok := e.Field("why").(string); ok && e.ID == job.LogOwnershipLost {
		m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_ownerships_lost_total{why=%q}`, why)).Inc()
	}
	if outcome, ok := e.Field("outcome").(string); ok && e.ID == job.LogAdvisorAnswered {
		m.set.GetOrCreateCounter(fmt.Sprintf(`sardinehead_job_advice_requests_total{outcome=%q}`, outcome)).Inc()
	}
	if waited, ok := e.Field("waited_ms").(int64); ok && e.ID == job.LogAdviceRequested {
		m.set.GetOrCreateHistogram("sardinehead_job_advice_wait_seconds").Update(float64(waited) / 1000)
	}
	if after, ok := e.Field("after_ms").(int64); ok && e.ID == job.LogPoolSupplied {
		m.set.GetOrCreateHistogram("sardinehead_job_pool_shortage_seconds").Update(float64(after) / 1000)
	}
}

func (m *nodeMetrics) observeAppend(o job.Outcome, latency time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sardinehead_job_append_seconds{outcome=%q}`, o)).Update(latency.Seconds())
}

func (m *nodeMetrics) observeStart(o job.Outcome, latency time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sardinehead_job_start_seconds{outcome=%q}`, o)).Update(latency.Seconds())
}

// WriteMetrics writes the node's and the process's metrics in the Prometheus
// text format.
func (n *Node) WriteMetrics(w io.Writer) {
	err := n.Read(func(s *job.State) {
		d := s.Dump()
		n.metrics.gauge("sardinehead_job_owning", boolToFloat(d.Owning))
		n.metrics.gauge("sardinehead_job_ready", boolToFloat(d.Ready))
		n.metrics.gauge("sardinehead_job_remote", boolToFloat(d.Remote))
		n.metrics.gauge("sardinehead_job_forwarded_calls", float64(d.Forwarded))
		n.metrics.gauge("sardinehead_job_config_version", float64(d.ConfigVersion))
		n.metrics.gauge("sardinehead_job_stream_offset", float64(d.Offset))
		n.metrics.gauge("sardinehead_job_stream_read_age_seconds", float64(d.ReadAgeMS)/1000)
		n.metrics.gauge("sardinehead_job_evacuated_zones", float64(len(d.Evacuations)))
		n.metrics.gauge("sardinehead_job_evacuations_current", boolToFloat(d.EvacuationsCurrent))
		left := 0
		for _, e := range d.Evacuations {
			left += e.LongRunningTasks + e.FiniteTasks
		}
		n.metrics.gauge("sardinehead_job_evacuated_tasks", float64(left))
		n.metrics.gauge("sardinehead_job_workers", float64(len(d.Workers)))
		n.metrics.gauge("sardinehead_job_unreachable_workers", float64(d.UnreachableWorkers))
		n.metrics.gauge("sardinehead_job_suspected_tasks", float64(d.SuspectedTasks))
		n.metrics.gauge("sardinehead_job_live_tasks", float64(d.LiveTasks))
		n.metrics.gauge("sardinehead_job_waiting_occurrences", float64(d.WaitingOccurrences))
		n.metrics.gauge("sardinehead_job_advice_lacking_steps", float64(d.Advice.LackingSteps))
		n.metrics.gauge("sardinehead_job_advice_verdicts", float64(d.Advice.Verdicts))
		n.metrics.gauge("sardinehead_job_reservations", float64(len(d.Reservations)))
		n.metrics.gauge("sardinehead_job_oldest_reservation_seconds", d.OldestReservation().Seconds())
	})
	if err != nil {
		fmt.Fprintln(w, "#", err)
	}
	n.metrics.gauge("sardinehead_log_lines_left_out", float64(n.log.DroppedLines()))
	n.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
