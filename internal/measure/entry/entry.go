// Package entry measures the latency that an entry node adds to requests on the
// loopback interface. The same load runs directly against an upstream and
// through one entry node, alternately.
package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/load"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// loadDuration is the duration of one load run.
	loadDuration = 3 * time.Second
	// runsPerRate is the number of direct and of entry runs at each rate.
	runsPerRate = 3
	// responseBytes is the size of each response body.
	responseBytes = 1024
	// quotaDelay is the time after which a new node has its quotas of all limits.
	quotaDelay = 3 * time.Second
	// maxOutstanding is the maximum number of concurrent requests.
	maxOutstanding = 512
)

// Rates are the measured loads, in requests per second.
var Rates = []float64{500, 2000, 8000, 20000}

// Row holds the direct and the entry figures of one rate.
type Row struct {
	Rate   float64
	Direct Figures
	Entry  Figures
}

// Figures holds the results of one load run.
type Figures struct {
	// P50 and P99 are percentiles of the latency, measured from the time at which
	// a request was due.
	P50, P99 time.Duration
	// PerSecond is the rate of completed requests.
	PerSecond float64
	// NotCompleted counts the requests that were not sent or got no complete
	// response.
	NotCompleted int
}

// Report holds the results of all rates.
type Report struct {
	Rows []Row
}

// Run measures all rates on an installation of one node with the given
// configuration. Requests use the first service, and the key of the team with
// the highest upper limit.
func Run(fleet spec.Fleet) (Report, error) {
	installation, err := dev.Start(dev.Options{Fleet: fleet, Nodes: 1, LogOutput: io.Discard})
	if err != nil {
		return Report{}, errors.Wrap(err, "starting the installation")
	}
	defer installation.Close()
	time.Sleep(quotaDelay)
	service := fleet.Services[0]
	target := fmt.Sprintf("/stock?bytes=%d", responseBytes)
	viaNode := load.Options{
		URLs:        []string{"http://" + installation.Nodes[0].Address + "/v1/" + string(service.Queue) + target},
		Key:         installation.Keys[largestTeam(fleet)],
		Outstanding: maxOutstanding,
	}
	direct := load.Options{Outstanding: maxOutstanding}
	for _, row := range installation.InitialVMs {
		if row.Pool == service.Pool {
			direct.URLs = append(direct.URLs, "http://"+row.Address+target)
		}
	}
	var report Report
	for _, rate := range Rates {
		report.Rows = append(report.Rows, compare(rate, direct, viaNode))
	}
	return report, nil
}

// largestTeam returns the team with the highest upper limit.
func largestTeam(fleet spec.Fleet) vocab.TeamID {
	var largest spec.Team
	for _, t := range fleet.Teams {
		if t.UpperLimit > largest.UpperLimit {
			largest = t
		}
	}
	return largest.Name
}

// compare alternates direct and entry runs and keeps the best run of each,
// because other activity on the machine can only increase latencies.
func compare(rate float64, direct, viaNode load.Options) Row {
	row := Row{Rate: rate}
	for i := range runsPerRate {
		row.Direct = better(row.Direct, runLoad(rate, direct), i == 0)
		row.Entry = better(row.Entry, runLoad(rate, viaNode), i == 0)
	}
	return row
}

// runLoad runs one load at the given rate.
func runLoad(rate float64, o load.Options) Figures {
	o.Method = "GET"
	o.Rate = rate
	o.Duration = loadDuration
	o.Timeout = 10 * time.Second
	r := load.Run(context.Background(), o)
	completed := r.Outcomes["completed"] + r.Outcomes["direct"]
	return Figures{
		P50:          time.Duration(r.Latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:          time.Duration(r.Latency.ValueAtQuantile(99)) * time.Microsecond,
		PerSecond:    float64(completed) / r.Elapsed.Seconds(),
		NotCompleted: r.Sent + r.Unsent - completed,
	}
}

// better returns the figures with the lower P99. first reports that best is not
// set yet.
func better(best, next Figures, first bool) Figures {
	if first || next.P99 < best.P99 {
		return next
	}
	return best
}

// String returns the report as a table.
func (r Report) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "requests/s\tdirect p50\tp99\tentry p50\tp99\tadded p99\tentry answers/s\tnot completed")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%.0f\t%s\t%s\t%s\t%s\t%s\t%.0f\t%d\n", row.Rate, row.Direct.P50, row.Direct.P99,
			row.Entry.P50, row.Entry.P99, row.Entry.P99-row.Direct.P99, row.Entry.PerSecond, row.Entry.NotCompleted)
	}
	fmt.Fprintln(w, "goal\t\t\t\t\t1ms at 2,000\t20000 on 4 cores\t0")
	w.Flush()
	return text.String()
}
