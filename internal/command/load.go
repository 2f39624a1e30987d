package command

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/load"
)

// Load sends requests at a fixed rate and reports latencies.
type Load struct {
	OutputOptions
	To          []string      `long:"to" default:"http://127.0.0.1:8180" value-name:"URL" description:"address of an entry node; may be repeated"`
	Key         string        `long:"key" env:"SARDINEHEAD_KEY" description:"key of the team"`
	Method      string        `long:"method" default:"GET" description:"HTTP method"`
	Data        string        `long:"data" description:"body of each request"`
	Rate        float64       `long:"rate" default:"100" description:"requests per second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"time during which requests are sent"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"timeout of each request"`
	Outstanding int           `long:"outstanding" default:"1000" description:"maximum number of requests in flight; one that is due beyond it is not sent"`
	Args        struct {
		Queue string `positional-arg-name:"QUEUE" required:"yes"`
		Path  string `positional-arg-name:"PATH"`
	} `positional-args:"yes"`
}

// loadResult is the JSON output of Load.
type loadResult struct {
	Sent               int            `json:"sent"`
	Unsent             int            `json:"unsent"`
	Failed             int            `json:"failed"`
	Outcomes           map[string]int `json:"outcomes"`
	ResponsesPerSecond float64        `json:"answers_per_second"`
	P50Micros          int64          `json:"p50_us"`
	P99Micros          int64          `json:"p99_us"`
	P999Micros         int64          `json:"p999_us"`
	MaxMicros          int64          `json:"max_us"`
}

// Execute implements flags.Commander.
func (l *Load) Execute([]string) error {
	report := load.Run(context.Background(), load.Options{
		URLs:        l.urls(),
		Method:      l.Method,
		Body:        l.Data,
		Key:         l.Key,
		Rate:        l.Rate,
		Duration:    l.Duration,
		Timeout:     l.Timeout,
		Outstanding: l.Outstanding,
	})
	result := newLoadResult(report)
	return l.print(result, loadResultLines(result))
}

func (l *Load) urls() []string {
	out := make([]string, len(l.To))
	for i, to := range l.To {
		out[i] = strings.TrimSuffix(to, "/") + "/v1/" + l.Args.Queue + "/" + strings.TrimPrefix(l.Args.Path, "/")
	}
	return out
}

func newLoadResult(r load.Report) loadResult {
	return loadResult{
		Sent:               r.Sent,
		Unsent:             r.Unsent,
		Failed:             r.Failed,
		Outcomes:           r.Outcomes,
		ResponsesPerSecond: float64(r.Latency.TotalCount()) / r.Elapsed.Seconds(),
		P50Micros:          r.Latency.ValueAtQuantile(50),
		P99Micros:          r.Latency.ValueAtQuantile(99),
		P999Micros:         r.Latency.ValueAtQuantile(99.9),
		MaxMicros:          r.Latency.Max(),
	}
}

func loadResultLines(r loadResult) []string {
	lines := []string{
		fmt.Sprintf("sent %d, unsent %d, without a whole answer %d", r.Sent, r.Unsent, r.Failed),
		fmt.Sprintf("answers per second %.0f", r.ResponsesPerSecond),
		fmt.Sprintf("latency in us: p50 %d, p99 %d, p99.9 %d, max %d", r.P50Micros, r.P99Micros, r.P999Micros, r.MaxMicros),
	}
	var outcomes []string
	for outcome, n := range r.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf("outcome %s: %d", outcome, n))
	}
	slices.Sort(outcomes)
	return append(lines, outcomes...)
}
