package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// foldCost measures the fold of a first publish record.
func (z size) foldCost() time.Duration {
	publish := records(1, z.bodies()[0])[0]
	return costOf(func() {
		if _, err := shared.New().Apply(publish); err != nil {
			panic(err) // records built here always fold
		}
	})
}

// reducerCosts returns slopes of the whole reducer of one node.
func reducerCosts() []Slope {
	request := Slope{Name: "request", Title: "decisions of one request, arrival and end", Axis: "VMs", Unit: "µs", Timed: true, Design: designVMs}
	idle := Slope{Name: "second-vms", Title: "control of a node for one second, all decisions, 570 teams busy", Axis: "VMs", Unit: "µs", Timed: true, Design: designVMs}
	list := Slope{Name: "vm-list", Title: "one changed VM in the list", Axis: "VMs", Unit: "µs", Timed: true, Design: designVMs}
	heap := Slope{Name: "reducer-heap", Title: "heap of the reducer", Axis: "VMs", Unit: "bytes", Timed: true, Design: designVMs}
	for _, n := range vmSizes {
		z := design()
		z.vms = n
		request.add(n, micros(z.requestCost()))
		idle.add(n, micros(z.secondCost()))
		list.add(n, micros(z.listCost()))
		heap.add(n, heapOf(func() any { return z.state() }))
	}
	teams := Slope{Name: "second-teams", Title: "control of a node for one second, all decisions, all teams busy", Axis: "teams", Unit: "µs", Timed: true, Design: designTeams}
	for _, n := range teamSizes {
		z := design()
		z.teams = n
		teams.add(n, micros(z.secondCost()))
	}
	waiting := Slope{Name: "waiting-heap", Title: "heap of waiting requests in the reducer, without bodies", Axis: "waiting requests", Unit: "bytes", Timed: true, Design: waitingAtDesign}
	for _, n := range []int{1000, 4000, 16000, 32000} {
		waiting.add(n, z0().waitingHeap(n))
	}
	return []Slope{request, idle, teams, list, heap, waiting}
}

// waitingAtDesign is the requests that one of the design's nodes holds if each
// queue is as full as its configuration of this measurement allows.
const waitingAtDesign = (designPools - 1) * 4000 / designNodes

// z0 is the design size with no VM to run a request.
func z0() size {
	z := design()
	z.vms = 0
	return z
}

// driver hands requests to a reducer.
type driver struct {
	size
	state    *core.State
	now      vocab.Instant
	sent     int
	attempts []vocab.AttemptID
	// heard counts rounds of gossip, and digest is that of the shared state.
	heard, digest uint64
}

func (z size) driver() *driver {
	d := &driver{size: z, state: z.state(), now: vocab.Instant(time.Second)}
	for range int(10 * time.Second / core.TickInterval) {
		d.tick()
	}
	return d
}

// tick lets time pass; each second a round of gossip arrives.
func (d *driver) tick() {
	d.now = d.now.Add(core.TickInterval)
	d.state.Step(d.now, core.Tick{Unix: int64(d.now / vocab.Instant(time.Second))})
	if d.nodes > 1 && d.now%vocab.Instant(time.Second) == 0 {
		d.hearPeers()
	}
}

func (d *driver) request() {
	d.sent++
	effects := d.state.Step(d.now, core.RequestArrived{
		Request: vocab.RequestID(d.sent), Queue: vocab.QueueID(poolName(1 + d.sent%(d.pools-1))),
		Key: vocab.KeyID(teamName(d.sent % d.teams)), SecretHash: secretHash(), Method: "GET", Path: "/x", Replayable: true,
	})
	for _, e := range effects {
		if x, ok := e.(core.Dispatch); ok {
			d.attempts = append(d.attempts, x.Attempt)
		}
	}
}

func (d *driver) end() {
	if len(d.attempts) == 0 {
		return
	}
	d.state.Step(d.now, core.AttemptEnded{Attempt: d.attempts[0], Result: retry.Completed})
	d.attempts = d.attempts[1:]
}

// requestCost measures an arrival and an end, without the passing of time.
func (z size) requestCost() time.Duration {
	z.nodes = 1
	d := z.driver()
	for range 64 {
		d.request()
	}
	return costOf(func() {
		d.now = d.now.Add(20 * time.Microsecond)
		d.request()
		d.end()
	})
}

// secondCost measures the ticks of one second while each team has a request.
func (z size) secondCost() time.Duration {
	d := z.driver()
	for range z.teams {
		d.request()
	}
	return costOf(func() {
		for range int(time.Second / core.TickInterval) {
			d.tick()
		}
	})
}

// listCost measures a reading of the list in which one VM changed.
func (z size) listCost() time.Duration {
	d := z.driver()
	rows := z.rows()
	version := uint64(1)
	return costOf(func() {
		version++
		rows[0].Incarnation++
		d.now++
		d.state.Step(d.now, core.VMsListed{Version: version, Rows: rows})
	})
}

func (z size) waitingHeap(n int) float64 {
	d := z.driver()
	return heapOf(func() any {
		for range n {
			d.request()
		}
		return d
	})
}
