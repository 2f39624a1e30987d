// Package load generates an open-loop load: it sends requests at a fixed rate, also
// while earlier ones have no response yet, and measures each latency from the time
// at which the request was due. A slow server therefore cannot hide its latency by
// delaying further requests.
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

// Options describes a load.
type Options struct {
	// URLs are used in turn.
	URLs   []string
	Method string
	Body   string
	// Key is the API key; empty for none.
	Key string
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	// Timeout is the timeout of each request.
	Timeout time.Duration
	// Outstanding is the maximum number of requests in flight. A request that is due
	// while there are as many is not sent and counted as Unsent.
	Outstanding int
}

// Report is the result of a load.
type Report struct {
	Sent int
	// Unsent counts requests that were due while too many were in flight.
	Unsent int
	// Failed counts requests without a complete response.
	Failed int
	// Outcomes counts responses by the header Sardinehead-Outcome; those without it
	// count as "direct".
	Outcomes map[string]int
	// Latency holds the latencies in microseconds, measured from the time at which
	// a request was due.
	Latency *hdrhistogram.Histogram
	// Elapsed is the time until the last response.
	Elapsed time.Duration
}

const (
	// minLatencyMicros and maxLatencyMicros bound the range of the histogram, in
	// microseconds.
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	// significantDigits is the precision of the histogram in decimal digits.
	significantDigits = 3
)

// Run sends the load and waits for the last response.
func Run(ctx context.Context, o Options) Report {
	r := &runner{
		options: o,
		client:  newClient(o),
		report: Report{
			Outcomes: map[string]int{},
			Latency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		},
	}
	start := time.Now()
	r.sendAll(ctx, start)
	r.requests.Wait()
	r.report.Elapsed = time.Since(start)
	return r.report
}

// runner sends one load.
type runner struct {
	options  Options
	client   *http.Client
	requests sync.WaitGroup
	mu       sync.Mutex
	inFlight int
	report   Report
}

// newClient returns a client that can keep a connection for each request in flight.
func newClient(o Options) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: o.Outstanding, DisableCompression: true}
	return &http.Client{Transport: transport, Timeout: o.Timeout}
}

// sendAll starts each request at the time at which it is due.
func (r *runner) sendAll(ctx context.Context, start time.Time) {
	interval := time.Duration(float64(time.Second) / r.options.Rate)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= r.options.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(due))
		if !r.reserve() {
			continue
		}
		url := r.options.URLs[i%len(r.options.URLs)]
		r.requests.Go(func() { r.send(ctx, url, due) })
	}
}

// reserve counts a request as in flight, or returns false if there are too many.
func (r *runner) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.options.Outstanding {
		r.report.Unsent++
		return false
	}
	r.inFlight++
	r.report.Sent++
	return true
}

// send sends a request and records its result.
func (r *runner) send(ctx context.Context, url string, due time.Time) {
	outcome, ok := r.roundTrip(ctx, url)
	micros := time.Since(due).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if !ok {
		r.report.Failed++
		return
	}
	r.report.Outcomes[outcome]++
	_ = r.report.Latency.RecordValue(min(max(micros, minLatencyMicros), maxLatencyMicros))
}

// roundTrip sends a request and reads its response. It returns the outcome, and
// whether the response was complete.
func (r *runner) roundTrip(ctx context.Context, url string) (string, bool) {
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
