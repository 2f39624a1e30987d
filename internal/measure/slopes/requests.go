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
	// loadDuration is the duration of one load.
	loadDuration = 2 * time.Second
	// runsPerRate is the number of loads at each rate, of which the least processor
	// time is kept.
	runsPerRate = 2
	// quotaDelay is the time after which a new node has its quotas of all limits.
	quotaDelay = 3 * time.Second
	// responseBytes is the size of each response body.
	responseBytes = 1024
	// maxOutstanding is the maximum number of concurrent requests of a load.
	maxOutstanding = 512
)

// requestRates are the measured loads in requests per second.
var requestRates = []int{500, 1000, 2000, 4000}

// Requests holds the cost of forwarding requests and the outcome of the loads.
type Requests struct {
	// Direct and Entry are the processor time of the whole process: that of the load
	// and the upstream and, in Entry, of the entry node. The difference of their
	// gradients is the processor time of the node for one request.
	Direct, Entry Slope
	// NotCompleted counts the requests through the node that got no complete
	// response, out of Sent.
	NotCompleted, Sent int
}

// CPUPerRequest returns the node's processor time for one request and the sum of the
// standard errors of both gradients.
func (r Requests) CPUPerRequest() (cost, standardError time.Duration) {
	direct, entry := r.Direct.Fit(), r.Entry.Fit()
	us := float64(time.Microsecond)
	return time.Duration((entry.PerUnit - direct.PerUnit) * us), time.Duration((entry.PerUnitError + direct.PerUnitError) * us)
}

// requestCosts measures loads that go to the upstreams directly and loads that go
// through one entry node.
func requestCosts() (Requests, error) {
	r := Requests{
		Direct: Slope{Name: "requests-direct", Title: "load and upstream alone for one second", Axis: "requests/s", Unit: "µs", MachineDependent: true, DesignSize: 2000},
		Entry:  Slope{Name: "requests-entry", Title: "load, upstream and one entry node for one second", Axis: "requests/s", Unit: "µs", MachineDependent: true, DesignSize: 2000},
	}
	fleet := loadFleet()
	installation, err := dev.Start(dev.Options{Fleet: fleet, Nodes: 1, LogOutput: io.Discard})
	if err != nil {
		return r, errors.Wrap(err, "starting the installation")
	}
	defer installation.Close()
	time.Sleep(quotaDelay)
	target := fmt.Sprintf("/stock?bytes=%d", responseBytes)
	service := fleet.Services[0]
	viaEntry := load.Options{
		URLs: []string{"http://" + installation.Nodes[0].Address + "/v1/" + string(service.Queue) + target}, Key: installation.Keys[fleet.Teams[0].Name],
	}
	var direct load.Options
	for _, row := range installation.InitialVMs {
		if row.Pool == service.Pool {
			direct.URLs = append(direct.URLs, "http://"+row.Address+target)
		}
	}
	for _, rate := range requestRates {
		directMicros, entryMicros := measureLoad(rate, direct, nil), measureLoad(rate, viaEntry, &r)
		for range runsPerRate - 1 {
			directMicros, entryMicros = min(directMicros, measureLoad(rate, direct, nil)), min(entryMicros, measureLoad(rate, viaEntry, &r))
		}
		r.Direct.add(rate, directMicros)
		r.Entry.add(rate, entryMicros)
	}
	return r, nil
}

// measureLoad runs a load and returns its processor time in µs per second. It adds
// the outcome to count unless that is nil.
func measureLoad(rate int, o load.Options, count *Requests) float64 {
	o.Method, o.Rate, o.Duration = "GET", float64(rate), loadDuration
	o.Timeout, o.Outstanding = 10*time.Second, maxOutstanding
	begin := cpuTime()
	report := load.Run(context.Background(), o)
	used := cpuTime() - begin
	if count != nil {
		count.Sent += report.Sent + report.Unsent
		count.NotCompleted += report.Sent + report.Unsent - report.Outcomes["completed"]
	}
	return toMicroseconds(used) / report.Elapsed.Seconds()
}

// loadFleet returns a configuration with one pool that has enough capacity for the
// loads.
func loadFleet() spec.Fleet {
	zones := []vocab.ZoneID{"zone-0"}
	s := poolService(0, 8)
	s.Budget = spec.AvailabilityBudget{MinReady: 1}
	fleet := spec.Fleet{
		Name: "load", Regions: []spec.Region{{Name: "north", Zones: zones}},
		Teams:       []spec.Team{{Name: teamName(0), Share: 1, UpperLimit: 512}},
		Pools:       []spec.Pool{{Name: poolName(0), VMs: 8, Slots: 64, MaxConnections: 128, Zones: zones}},
		Services:    []spec.Service{s},
		Maintenance: designSize().configuration().Maintenance,
	}
	return fleet.Normalized()
}
