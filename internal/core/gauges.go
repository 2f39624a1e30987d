package core

import "fmt"

// Gauge is a metric with its current value. The name includes its labels.
type Gauge struct {
	Name  string
	Value float64
}

// Gauges returns the metrics of the state in a fixed order.
func (s *State) Gauges() []Gauge {
	out := []Gauge{
		{Name: "sardinehead_fleet_offset", Value: float64(s.Shared().Offset)},
		{Name: "sardinehead_fleet_revision", Value: float64(s.Shared().Revision)},
		{Name: "sardinehead_members", Value: float64(len(s.Shared().Members))},
		{Name: "sardinehead_attempts_running", Value: float64(len(s.requestsByAttempt))},
		{Name: "sardinehead_log_up", Value: boolValue(!s.logDown)},
		{Name: "sardinehead_ready", Value: boolValue(len(s.NotReady()) == 0)},
	}
	for _, id := range s.queueIDs {
		q := s.queues[id]
		out = append(out,
			Gauge{Name: fmt.Sprintf(`sardinehead_queue_waiting{queue=%q}`, id), Value: float64(q.waiting.Len())},
			Gauge{Name: fmt.Sprintf(`sardinehead_pool_ready_vms{pool=%q}`, q.service.Pool), Value: float64(len(s.vms.Ready(q.service.Pool)))},
		)
	}
	return out
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
