// Package load sends requests at a fixed rate, whether or not earlier ones were
// answered, and measures each from the moment it was due. A slow server
// therefore cannot slow the measurement down.
package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options describe a load.
type Options struct {
	// URLs are used in turn.
	URLs   []string
	Method string
	Body   string
	Key    string
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	// Outstanding bounds the requests under way; one that is due beyond it is
	// counted as Unsent.
	Outstanding int
}

// Report is the result of a load.
type Report struct {
	Sent int
	// Unsent counts requests that were due while too many were under way.
	Unsent int
	// Failed counts requests without a whole answer.
	Failed int
	// Outcomes counts answers by the header Sardinehead-Outcome, and those
	// without it by "direct".
	Outcomes map[string]int
	// Latency holds microseconds from the moment when a request was due.
	Latency *hdrhistogram.Histogram
	Elapsed time.Duration
}

const (
	// lowest and highest latency that is told apart, in microseconds.
	lowestMicros  = 1
	highestMicros = 120_000_000
	// digits is the precision of the histogram in decimal digits.
	digits = 3
)

// Run sends the load and waits for the last answer.
func Run(ctx context.Context, o Options) Report {
	r := &runner{
		options: o,
		client:  newClient(o),
		report: Report{
			Outcomes: map[string]int{},
			Latency:  hdrhistogram.New(lowestMicros, highestMicros, digits),
		},
	}
	start := time.Now()
	r.sendAll(ctx, start)
	r.wait.Wait()
	r.report.Elapsed = time.Since(start)
	return r.report
}

type runner struct {
	options Options
	client  *http.Client
	wait    sync.WaitGroup
	mu      sync.Mutex
	under   int
	report  Report
}

func newClient(o Options) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: o.Outstanding, DisableCompression: true}
	return &http.Client{Transport: transport, Timeout: o.Timeout}
}

// sendAll starts each request when it is due.
func (r *runner) sendAll(ctx context.Context, start time.Time) {
	interval := time.Duration(float64(time.Second) / r.options.Rate)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= r.options.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(due))
		if !r.begin() {
			continue
		}
		url := r.options.URLs[i%len(r.options.URLs)]
		r.wait.Go(func() { r.send(ctx, url, due) })
	}
}

// begin reports whether another request may be under way.
func (r *runner) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.under >= r.options.Outstanding {
		r.report.Unsent++
		return false
	}
	r.under++
	r.report.Sent++
	return true
}

func (r *runner) send(ctx context.Context, url string, due time.Time) {
	outcome, ok := r.exchange(ctx, url)
	micros := time.Since(due).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.under--
	if !ok {
		r.report.Failed++
		return
	}
	r.report.Outcomes[outcome]++
	_ = r.report.Latency.RecordValue(min(max(micros, lowestMicros), highestMicros))
}

func (r *runner) exchange(ctx context.Context, url string) (string, bool) {
	req, err := http.NewRequestWithContext(ctx, r.options.Method, url, strings.NewReader(r.options.Body))
	if err != nil {
		return "", false
	}
	if r.options.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.options.Key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", false
	}
	if outcome := resp.Header.Get("Sardinehead-Outcome"); outcome != "" {
		return outcome, true
	}
	return "direct", true
}
