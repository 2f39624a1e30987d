package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/load"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// loadTime is the length of one load.
	loadTime = 2 * time.Second
	// turns is the number of loads of each rate; the cheapest counts.
	turns = 2
	// readyTime is what a node needs to have its parts of limits.
	readyTime = 3 * time.Second
	// answerBytes is the size of each answer.
	answerBytes = 1024
	outstanding = 512
)

// requestRates are the loads, in requests a second.
var requestRates = []int{500, 1000, 2000, 4000}

// Requests is the load's cost and how many requests were not completed.
type Requests struct {
	// Direct and Entry are processor time of the whole process: load, upstream
	// and, in Entry, the node. Their difference in rise is the node's.
	Direct, Entry Slope
	// Bad counts requests through the node without a whole answer.
	Bad, Sent int
}

// Cost returns the node's processor time for one request and its standard error.
func (r Requests) Cost() (cost, err time.Duration) {
	direct, entry := r.Direct.Fit(), r.Entry.Fit()
	us := float64(time.Microsecond)
	return time.Duration((entry.Each - direct.Each) * us), time.Duration((entry.EachError + direct.EachError) * us)
}

// requestCosts sends loads to upstreams directly and through one node.
func requestCosts() (Requests, error) {
	r := Requests{
		Direct: Slope{Name: "requests-direct", Title: "load and upstream alone for one second", Axis: "requests/s", Unit: "µs", Timed: true, Design: 2000},
		Entry:  Slope{Name: "requests-entry", Title: "load, upstream and one entry node for one second", Axis: "requests/s", Unit: "µs", Timed: true, Design: 2000},
	}
	fleet := loadFleet()
	in, err := dev.Start(dev.Options{Fleet: fleet, Nodes: 1, LogOutput: io.Discard})
	if err != nil {
		return r, errors.Wrap(err, "starting the installation")
	}
	defer in.Close()
	time.Sleep(readyTime)
	target := fmt.Sprintf("/stock?bytes=%d", answerBytes)
	service := fleet.Services[0]
	through := load.Options{
		URLs: []string{"http://" + in.Nodes[0].Address + "/v1/" + string(service.Queue) + target}, Key: in.Keys[fleet.Teams[0].Name],
	}
	var direct load.Options
	for _, row := range in.InitialVMs {
		if row.Pool == service.Pool {
			direct.URLs = append(direct.URLs, "http://"+row.Address+target)
		}
	}
	for _, rate := range requestRates {
		alone, entry := play(rate, direct, nil), play(rate, through, &r)
		for range turns - 1 {
			alone, entry = min(alone, play(rate, direct, nil)), min(entry, play(rate, through, &r))
		}
		r.Direct.add(rate, alone)
		r.Entry.add(rate, entry)
	}
	return r, nil
}

// play returns the processor time of a load, in µs a second.
func play(rate int, o load.Options, count *Requests) float64 {
	o.Method, o.Rate, o.Duration = "GET", float64(rate), loadTime
	o.Timeout, o.Outstanding = 10*time.Second, outstanding
	begin := cpuTime()
	report := load.Run(context.Background(), o)
	used := cpuTime() - begin
	if count != nil {
		count.Sent += report.Sent + report.Unsent
		count.Bad += report.Sent + report.Unsent - report.Outcomes["completed"]
	}
	return micros(used) / report.Elapsed.Seconds()
}

// loadFleet has one pool with room for the loads.
func loadFleet() spec.Fleet {
	zones := []vocab.ZoneID{"zone-0"}
	s := service(0, 8)
	s.Budget = spec.AvailabilityBudget{MinReady: 1}
	fleet := spec.Fleet{
		Name: "load", Regions: []spec.Region{{Name: "north", Zones: zones}},
		Teams:       []spec.Team{{Name: teamName(0), Share: 1, UpperLimit: 512}},
		Pools:       []spec.Pool{{Name: poolName(0), VMs: 8, Slots: 64, MaxConnections: 128, Zones: zones}},
		Services:    []spec.Service{s},
		Maintenance: design().fleet().Maintenance,
	}
	return fleet.Normalized()
}
