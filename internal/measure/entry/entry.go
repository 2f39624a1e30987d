// Package entry measures what an entry node adds to a request on loopback:
// the same load goes to an upstream directly and through one node, in turns.
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
	// turn is the length of one load.
	turn = 3 * time.Second
	// turns is the number of times that direct and entry take turns.
	turns = 3
	// answerBytes is the size of each answer.
	answerBytes = 1024
	// settle is the time that a node needs to have its parts of limits.
	settle = 3 * time.Second
	// outstanding bounds the requests under way.
	outstanding = 512
)

// Rates are the loads, in requests per second.
var Rates = []float64{500, 2000, 8000, 20000}

// Row compares one rate.
type Row struct {
	Rate   float64
	Direct Figures
	Entry  Figures
}

// Figures are latencies from the moment when a request was due.
type Figures struct {
	P50, P99  time.Duration
	PerSecond float64
	// Bad counts requests without a whole answer, unsent or not completed.
	Bad int
}

// Report is the result of a measurement.
type Report struct {
	Rows []Row
}

// Run measures all rates on one node with the given configuration.
func Run(fleet spec.Fleet) (Report, error) {
	in, err := dev.Start(dev.Options{Fleet: fleet, Nodes: 1, LogOutput: io.Discard})
	if err != nil {
		return Report{}, errors.Wrap(err, "starting the installation")
	}
	defer in.Close()
	time.Sleep(settle)
	service := fleet.Services[0]
	target := fmt.Sprintf("/stock?bytes=%d", answerBytes)
	through := load.Options{
		URLs:        []string{"http://" + in.Nodes[0].Address + "/v1/" + string(service.Queue) + target},
		Key:         in.Keys[largestTeam(fleet)],
		Outstanding: outstanding,
	}
	direct := load.Options{Outstanding: outstanding}
	for _, row := range in.InitialVMs {
		if row.Pool == service.Pool {
			direct.URLs = append(direct.URLs, "http://"+row.Address+target)
		}
	}
	var report Report
	for _, rate := range Rates {
		report.Rows = append(report.Rows, compare(rate, direct, through))
	}
	return report, nil
}

func largestTeam(fleet spec.Fleet) vocab.TeamID {
	var best spec.Team
	for _, t := range fleet.Teams {
		if t.UpperLimit > best.UpperLimit {
			best = t
		}
	}
	return best.Name
}

// compare runs the loads in turns and keeps the best turn of each: what else
// the machine does can only add to a latency.
func compare(rate float64, direct, through load.Options) Row {
	row := Row{Rate: rate}
	for i := range turns {
		row.Direct = better(row.Direct, play(rate, direct), i == 0)
		row.Entry = better(row.Entry, play(rate, through), i == 0)
	}
	return row
}

func play(rate float64, o load.Options) Figures {
	o.Method = "GET"
	o.Rate = rate
	o.Duration = turn
	o.Timeout = 10 * time.Second
	r := load.Run(context.Background(), o)
	good := r.Outcomes["completed"] + r.Outcomes["direct"]
	return Figures{
		P50:       time.Duration(r.Latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:       time.Duration(r.Latency.ValueAtQuantile(99)) * time.Microsecond,
		PerSecond: float64(good) / r.Elapsed.Seconds(),
		Bad:       r.Sent + r.Unsent - good,
	}
}

func better(a, b Figures, first bool) Figures {
	if first || b.P99 < a.P99 {
		return b
	}
	return a
}

// String returns the report as a table.
func (r Report) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "requests/s\tdirect p50\tp99\tentry p50\tp99\tadded p99\tentry answers/s\tnot completed")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%.0f\t%s\t%s\t%s\t%s\t%s\t%.0f\t%d\n", row.Rate, row.Direct.P50, row.Direct.P99,
			row.Entry.P50, row.Entry.P99, row.Entry.P99-row.Direct.P99, row.Entry.PerSecond, row.Entry.Bad)
	}
	fmt.Fprintln(w, "goal\t\t\t\t\t1ms at 2,000\t20000 on 4 cores\t0")
	w.Flush()
	return text.String()
}
