package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// fault is a fault of an upstream.
type fault string

const (
	faultNone   fault = ""
	faultReset  fault = "reset"  // resets the connection during the execution, which continues
	faultSilent fault = "silent" // never responds; runs half of the requests and drops the others
	faultRefuse fault = "refuse" // attests that it did not run the request
	faultDrain  fault = "drain"  // attests the same and reports that it is draining
	faultCut    fault = "cut"    // ends the response early
)

// upstream is a VM with the service that runs on it.
type upstream struct {
	row   observe.Row
	epoch vocab.Epoch
	down  bool // failed or rebooting
	fault fault
	// leavesUnordered is set while the VM is leaving without an order of a node.
	leavesUnordered bool
	attempts        int // attempts received
	executions      []*execution
}

// GoString shortens the values in rapid's report of a failed test.
func (u *upstream) GoString() string { return string(u.row.Name) }

// execution is a request that an upstream runs. Its caller may already have the answer.
type execution struct {
	request  *request
	upstream *upstream
	// dispatchDecidedAt is the time when the node decided to send the request, startedAt
	// when the request arrived.
	dispatchDecidedAt, startedAt time.Duration
	// onLost is called if the upstream fails before the end of the execution.
	onLost func()
}

// request is a request of a caller.
type request struct {
	node              *entryNode
	id                vocab.RequestID
	key               vocab.KeyID
	team              vocab.TeamID
	service           *spec.Service
	notIdempotent     bool
	workDuration      time.Duration
	startCount        int
	dispatchDecidedAt time.Duration // of the last attempt
	// finalCode is the code of the answer that the caller got, empty without an answer.
	finalCode          string
	outcome            vocab.Outcome
	abandoned          bool
	nodeKilled         bool
	sentAt, answeredAt time.Duration
}

// GoString shortens the values in rapid's report of a failed test.
func (req *request) GoString() string { return fmt.Sprintf("request %d of %s", req.id, req.node.name) }

// sendRequest sends a request of a caller to a node. Its execution takes workDuration.
func (sim *simulation) sendRequest(n *entryNode, queue vocab.QueueID, key vocab.KeyID, method, path string, workDuration time.Duration) *request {
	service, _ := sim.fleet.Service(queue)
	n.lastRequest++
	req := &request{
		node: n, id: n.lastRequest, key: key, team: sim.teams[key], service: &service,
		notIdempotent: !service.Rule(method, path).Idempotent, workDuration: workDuration, sentAt: sim.now,
	}
	n.requests[req.id] = req
	sim.requests = append(sim.requests, req)
	n.post(core.RequestArrived{
		Request: req.id, Queue: queue, Key: key, SecretHash: secretHash(key),
		Method: method, Path: path, Replayable: true,
	})
	return req
}

// abandon closes the caller's connection unless the request is answered.
func (n *entryNode) abandon(req *request) {
	if req.finalCode != "" {
		return
	}
	req.abandoned = true
	n.post(core.RequestAbandoned{Request: req.id})
}

// answerCaller records the final answer to a request.
func (n *entryNode) answerCaller(req *request, outcome vocab.Outcome, code string) {
	switch {
	case req == nil:
		n.sim.fail("%s answers a request that it did not receive", n.name)
	case req.finalCode != "":
		n.sim.fail("request %d of %s is answered %s after it was answered %s", req.id, n.name, code, req.finalCode)
	case outcome == vocab.OutcomeNotRun && req.startCount > 0:
		n.sim.fail("request %d of %s is answered not-run (%s) and was started %d times", req.id, n.name, code, req.startCount)
	default:
		req.finalCode, req.outcome, req.answeredAt = code, outcome, n.sim.now
	}
}

// dispatch sends an attempt to its VM, unless it is too late.
func (n *entryNode) dispatch(e core.Dispatch) {
	req := n.requests[e.Request]
	if n.now() > e.SendBy {
		n.endAttempt(e, req, core.AttemptEnded{Result: retry.NotSent})
		return
	}
	n.sim.schedule(n.sim.randomDuration(time.Millisecond, 3*time.Millisecond), func() { n.sim.vms.byName[e.VM].receive(n, req, e) })
}

// receive handles the arrival of an attempt at the upstream.
func (u *upstream) receive(n *entryNode, req *request, e core.Dispatch) {
	sim := n.sim
	u.attempts++
	switch {
	case u.down || u.row.Address != e.Address:
		n.endAttempt(e, req, core.AttemptEnded{Result: retry.NotSent})
		return
	case u.row.Phase == observe.ListLeaving || u.fault == faultDrain:
		n.endAttempt(e, req, core.AttemptEnded{Result: retry.Refused, Draining: true})
		return
	case u.fault == faultRefuse:
		n.endAttempt(e, req, core.AttemptEnded{Result: retry.Refused})
		return
	case u.fault == faultSilent && sim.chance(0.5):
		sim.schedule(e.FirstByte, func() { n.endAttempt(e, req, core.AttemptEnded{FirstByteTimedOut: true}) })
		return
	}
	u.startExecution(n, req, e)
}

// startExecution starts an execution and schedules its end and the events that the node
// gets.
func (u *upstream) startExecution(n *entryNode, req *request, e core.Dispatch) {
	sim := n.sim
	runTime := min(req.workDuration, req.service.TimeLimits.Run.D())
	ended := false
	end := func(ev core.AttemptEnded) {
		if !ended {
			ended = true
			n.endAttempt(e, req, ev)
		}
	}
	exec := &execution{request: req, upstream: u, dispatchDecidedAt: req.dispatchDecidedAt, startedAt: sim.now, onLost: func() { end(core.AttemptEnded{}) }}
	u.executions = append(u.executions, exec)
	req.startCount++
	sim.checkStart(exec)
	silent, cut, reset := u.fault == faultSilent, u.fault == faultCut, u.fault == faultReset
	if reset {
		sim.schedule(sim.randomDuration(0, runTime), func() { end(core.AttemptEnded{}) })
	}
	if runTime > e.FirstByte || silent {
		sim.schedule(e.FirstByte, func() { end(core.AttemptEnded{FirstByteTimedOut: silent}) })
	}
	sim.schedule(runTime, func() {
		if !u.removeExecution(exec) || silent || reset {
			return
		}
		if cut || req.workDuration > runTime {
			end(core.AttemptEnded{ResponseStarted: cut})
			return
		}
		end(core.AttemptEnded{Result: retry.Completed})
	})
}

// removeExecution removes an execution at its end. It returns false if the execution ended
// before.
func (u *upstream) removeExecution(exec *execution) bool {
	i := slices.Index(u.executions, exec)
	if i < 0 {
		return false
	}
	u.executions = slices.Delete(u.executions, i, i+1)
	return true
}

// endAttempt reports the end of an attempt to the node. While message faults are enabled,
// the report may be duplicated.
func (n *entryNode) endAttempt(e core.Dispatch, req *request, ev core.AttemptEnded) {
	ev.Attempt = e.Attempt
	n.sim.schedule(n.sim.randomDuration(time.Millisecond, 3*time.Millisecond), func() {
		n.runWhenActive(func() {
			if ev.Result == retry.Completed {
				n.answerCaller(req, vocab.OutcomeCompleted, "completed")
			}
			n.step(ev)
		})
	})
	if n.sim.messageFaults && n.sim.chance(duplicateRate) {
		n.sim.schedule(n.sim.randomDuration(time.Second, 2*time.Second), func() { n.post(ev) })
	}
}

// shutDown stops the VM and loses its executions.
func (u *upstream) shutDown() {
	u.down = true
	executions := u.executions
	u.executions = nil
	for _, exec := range executions {
		exec.onLost()
	}
}

// fakeVMs holds the VMs and the platform's list of them, and carries out the nodes' orders.
type fakeVMs struct {
	sim     *simulation
	byName  map[vocab.VMID]*upstream
	names   []vocab.VMID
	version uint64
	// listedRows are the rows of the VM list, which lags behind the VMs.
	listedRows            []observe.Row
	frozen                bool
	lastUnorderedChangeAt time.Duration // when a VM last failed, began to leave without an order or was restored
	// loseOrders makes the platform lose some orders and some results of orders.
	loseOrders bool
	rebootTime time.Duration
}

func newFakeVMs(sim *simulation, fleet *spec.Fleet) fakeVMs {
	v := fakeVMs{sim: sim, byName: map[vocab.VMID]*upstream{}, rebootTime: 20 * time.Second}
	for _, p := range fleet.Pools {
		for i := range p.VMs {
			name := vocab.VMID(fmt.Sprintf("%s-%d", p.Name, i+1))
			zone := p.Zones[i%len(p.Zones)]
			v.names = append(v.names, name)
			v.byName[name] = &upstream{row: observe.Row{
				Name: name, Incarnation: 1, Pool: p.Name, Region: fleet.Regions[0].Name, Zone: zone,
				Rack: vocab.RackID(fmt.Sprintf("%s-%d", zone, i/4)), Address: "10.1.0.1:" + string(name), Phase: observe.ListLive,
			}}
		}
	}
	slices.Sort(v.names)
	v.listedRows, v.version = v.currentRows(), 1
	return v
}

// currentRows returns the actual rows of all VMs.
func (v *fakeVMs) currentRows() []observe.Row {
	rows := make([]observe.Row, 0, len(v.names))
	for _, name := range v.names {
		rows = append(rows, v.byName[name].row)
	}
	return rows
}

// scheduleSync updates the list after its lag of 100 ms to 1 s.
func (v *fakeVMs) scheduleSync() {
	v.sim.schedule(v.sim.randomDuration(100*time.Millisecond, time.Second), v.sync)
}

// sync copies the actual rows to the list unless the list is frozen.
func (v *fakeVMs) sync() {
	if !v.frozen {
		v.listedRows, v.version = v.currentRows(), v.version+1
	}
}

// failVM makes a VM fail.
func (v *fakeVMs) failVM(name vocab.VMID) {
	u := v.byName[name]
	u.row.Phase = observe.ListGone
	u.shutDown()
	v.lastUnorderedChangeAt = v.sim.now
	v.scheduleSync()
}

// restoreVM starts a VM as a new incarnation without faults.
func (v *fakeVMs) restoreVM(name vocab.VMID) {
	u := v.byName[name]
	u.row.Incarnation++
	u.row.Phase = observe.ListLive
	u.down, u.fault = false, faultNone
	v.lastUnorderedChangeAt = v.sim.now
	v.scheduleSync()
}
