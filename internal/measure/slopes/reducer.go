package slopes

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// publishFoldCPUTime measures decoding and folding the first publish record.
func (size fleetSize) publishFoldCPUTime() time.Duration {
	publish := sequencedRecords(1, size.recordBodies()[0])[0]
	return cpuTimePerCall(func() {
		if _, err := shared.New().Apply(publish); err != nil {
			panic(err) // records built here always fold
		}
	})
}

// reducerCosts returns slopes of the processor time and heap of one node's reducer.
func reducerCosts() []Slope {
	request := Slope{Name: "request", Title: "decisions of one request, arrival and end", Axis: "VMs", Unit: "µs", MachineDependent: true, DesignSize: designVMs}
	second := Slope{Name: "second-vms", Title: "control of a node for one second, all decisions, 570 teams busy", Axis: "VMs", Unit: "µs", MachineDependent: true, DesignSize: designVMs}
	list := Slope{Name: "vm-list", Title: "one changed VM in the list", Axis: "VMs", Unit: "µs", MachineDependent: true, DesignSize: designVMs}
	heap := Slope{Name: "reducer-heap", Title: "heap of the reducer", Axis: "VMs", Unit: "bytes", MachineDependent: true, DesignSize: designVMs}
	for _, n := range vmCounts {
		size := designSize()
		size.vms = n
		request.add(n, toMicroseconds(size.requestCPUTime()))
		second.add(n, toMicroseconds(size.controlCPUTime()))
		list.add(n, toMicroseconds(size.listChangeCPUTime()))
		heap.add(n, retainedHeapBytes(func() any { return size.reducer() }))
	}
	teams := Slope{Name: "second-teams", Title: "control of a node for one second, all decisions, all teams busy", Axis: "teams", Unit: "µs", MachineDependent: true, DesignSize: designTeams}
	for _, n := range teamCounts {
		size := designSize()
		size.teams = n
		teams.add(n, toMicroseconds(size.controlCPUTime()))
	}
	waiting := Slope{Name: "waiting-heap", Title: "heap of waiting requests in the reducer, without bodies", Axis: "waiting requests", Unit: "bytes", MachineDependent: true, DesignSize: designWaitingRequests}
	for _, n := range []int{1000, 4000, 16000, 32000} {
		waiting.add(n, designSizeWithoutVMs().waitingHeapBytes(n))
	}
	return []Slope{request, second, teams, list, heap, waiting}
}

// designWaitingRequests is the number of requests that each of the design's nodes
// holds if all queues are full, at 4000 requests for each queue (see poolService).
const designWaitingRequests = (designPools - 1) * 4000 / designNodes

// designSizeWithoutVMs returns the design size without VMs, so that all requests
// wait.
func designSizeWithoutVMs() fleetSize {
	size := designSize()
	size.vms = 0
	return size
}

// driver steps a reducer through time, gossip and requests.
type driver struct {
	fleetSize
	state    *core.State
	now      vocab.Instant
	sent     int
	attempts []vocab.AttemptID
	// gossipRounds counts the rounds of received gossip, and digest is the digest of
	// the shared state.
	gossipRounds, digest uint64
}

// newDriver returns a driver of a new reducer after 10 s of virtual time.
func (size fleetSize) newDriver() *driver {
	d := &driver{fleetSize: size, state: size.reducer(), now: vocab.Instant(time.Second)}
	for range int(10 * time.Second / core.TickInterval) {
		d.tick()
	}
	return d
}

// tick advances the time by one tick. Once a second it also delivers a round of
// gossip.
func (d *driver) tick() {
	d.now = d.now.Add(core.TickInterval)
	d.state.Step(d.now, core.Tick{Unix: int64(d.now / vocab.Instant(time.Second))})
	if d.nodes > 1 && d.now%vocab.Instant(time.Second) == 0 {
		d.receiveGossip()
	}
}

// sendRequest steps the arrival of a request of the next team at the next queue and
// collects the attempts that the reducer dispatches.
func (d *driver) sendRequest() {
	d.sent++
	effects := d.state.Step(d.now, core.RequestArrived{
		Request: vocab.RequestID(d.sent), Queue: vocab.QueueID(poolName(1 + d.sent%(d.pools-1))),
		Key: vocab.KeyID(teamName(d.sent % d.teams)), SecretHash: placeholderSecretHash(), Method: "GET", Path: "/x", Replayable: true,
	})
	for _, e := range effects {
		if dispatch, ok := e.(core.Dispatch); ok {
			d.attempts = append(d.attempts, dispatch.Attempt)
		}
	}
}

// endAttempt completes the oldest dispatched attempt, if there is one.
func (d *driver) endAttempt() {
	if len(d.attempts) == 0 {
		return
	}
	d.state.Step(d.now, core.AttemptEnded{Attempt: d.attempts[0], Result: retry.Completed})
	d.attempts = d.attempts[1:]
}

// requestCPUTime measures the arrival and the end of a request, without ticks.
func (size fleetSize) requestCPUTime() time.Duration {
	size.nodes = 1
	d := size.newDriver()
	for range 64 {
		d.sendRequest()
	}
	return cpuTimePerCall(func() {
		d.now = d.now.Add(20 * time.Microsecond)
		d.sendRequest()
		d.endAttempt()
	})
}

// controlCPUTime measures the ticks of one second while each team has a request.
func (size fleetSize) controlCPUTime() time.Duration {
	d := size.newDriver()
	for range size.teams {
		d.sendRequest()
	}
	return cpuTimePerCall(func() {
		for range int(time.Second / core.TickInterval) {
			d.tick()
		}
	})
}

// listChangeCPUTime measures the step for a VM list in which one VM has changed.
func (size fleetSize) listChangeCPUTime() time.Duration {
	d := size.newDriver()
	rows := size.vmRows()
	version := uint64(1)
	return cpuTimePerCall(func() {
		version++
		rows[0].Incarnation++
		d.now++
		d.state.Step(d.now, core.VMsListed{Version: version, Rows: rows})
	})
}

// waitingHeapBytes returns the heap that n waiting requests retain.
func (size fleetSize) waitingHeapBytes(n int) float64 {
	d := size.newDriver()
	return retainedHeapBytes(func() any {
		for range n {
			d.sendRequest()
		}
		return d
	})
}
