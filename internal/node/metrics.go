package node

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinehead/sardinehead/internal/core"
)

// nodeMetrics holds the metrics of one node.
type nodeMetrics struct {
	set   *metrics.Set
	steps *metrics.Counter
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{set: set, steps: set.NewCounter("sardinehead_reducer_steps_total")}
}

// countProblem counts a response that the node made itself instead of an
// upstream.
func (m *nodeMetrics) countProblem(p core.Problem) {
	name := fmt.Sprintf(`sardinehead_problems_total{code=%q,outcome=%q}`, p.Code, p.Outcome)
	m.set.GetOrCreateCounter(name).Inc()
}

// WriteMetrics writes the metrics of the node and of the process in the
// Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) {
	_ = n.Read(func(s *core.State) {
		for _, g := range s.Gauges() {
			n.metrics.set.GetOrCreateGauge(g.Name, nil).Set(g.Value)
		}
	})
	n.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
