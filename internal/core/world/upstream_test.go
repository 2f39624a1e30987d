package world

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

// fault is how an upstream misbehaves.
type fault string

const (
	faultNone   fault = ""
	faultReset  fault = "reset"  // resets after the request was written; the work goes on
	faultSilent fault = "silent" // takes the request and gives no sign of life
	faultRefuse fault = "refuse" // attests that it did not run the request
	faultDrain  fault = "drain"  // attests, and says that it is leaving
	faultCut    fault = "cut"    // cuts the answer short
)

// upstream is one VM with the service on it.
type upstream struct {
	row   observe.Row
	epoch vocab.Epoch
	down  bool // dead, or not back from its reboot
	fault fault
	// leaves is set while it leaves by no order of the fleet's.
	leaves bool
	asked  int // attempts that came
	jobs   []*job
}

// GoString keeps the draws of a failed test readable.
func (u *upstream) GoString() string { return string(u.row.Name) }

// job is a request that an upstream runs, answered or not.
type job struct {
	call *call
	vm   *upstream
	// decided is when its node decided to send it, started when it arrived.
	decided, started time.Duration
	// lost is told when the upstream dies with the job.
	lost func()
}

// call is one request of a caller.
type call struct {
	node    *entryNode
	id      vocab.RequestID
	key     vocab.KeyID
	team    vocab.TeamID
	service *spec.Service
	once    bool // not idempotent
	work    time.Duration
	starts  int
	decided time.Duration // when its last attempt was decided
	// final is the answer that the caller got.
	final     string
	outcome   vocab.Outcome
	abandoned bool
	orphaned  bool // its node was killed
	at, ended time.Duration
}

// GoString keeps the draws of a failed test readable.
func (c *call) GoString() string { return fmt.Sprintf("request %d of %s", c.id, c.node.name) }

// request sends a request to a node.
func (w *world) request(n *entryNode, queue vocab.QueueID, key vocab.KeyID, method, path string, work time.Duration) *call {
	service, _ := w.fleet.Service(queue)
	n.last++
	c := &call{
		node: n, id: n.last, key: key, team: w.teams[key], service: &service,
		once: !service.Rule(method, path).Idempotent, work: work, at: w.now,
	}
	n.calls[c.id] = c
	w.calls = append(w.calls, c)
	n.post(core.RequestArrived{
		Request: c.id, Queue: queue, Key: key, SecretHash: secretOf(key),
		Method: method, Path: path, Replayable: true,
	})
	return c
}

func (n *entryNode) abandon(c *call) {
	if c.final != "" {
		return
	}
	c.abandoned = true
	n.post(core.RequestAbandoned{Request: c.id})
}

// answer gives a caller its final answer.
func (n *entryNode) answer(c *call, outcome vocab.Outcome, code string) {
	switch {
	case c == nil:
		n.w.fail("%s answers a request that it never had", n.name)
	case c.final != "":
		n.w.fail("request %d of %s gets %s after %s", c.id, n.name, code, c.final)
	case outcome == vocab.OutcomeNotRun && c.starts > 0:
		n.w.fail("request %d of %s is answered not-run (%s) and was started %d times", c.id, n.name, code, c.starts)
	default:
		c.final, c.outcome, c.ended = code, outcome, n.w.now
	}
}

// dispatch sends an attempt to its VM.
func (n *entryNode) dispatch(e core.Dispatch) {
	c := n.calls[e.Request]
	if n.now() > e.SendBy {
		n.end(e, c, core.AttemptEnded{Result: retry.NotSent})
		return
	}
	n.w.after(n.w.between(time.Millisecond, 3*time.Millisecond), func() { n.w.vms.byName[e.VM].take(n, c, e) })
}

// take is the arrival of a request at an upstream.
func (u *upstream) take(n *entryNode, c *call, e core.Dispatch) {
	w := n.w
	u.asked++
	switch {
	case u.down || u.row.Address != e.Address:
		n.end(e, c, core.AttemptEnded{Result: retry.NotSent})
		return
	case u.row.Phase == observe.ListLeaving || u.fault == faultDrain:
		n.end(e, c, core.AttemptEnded{Result: retry.Refused, Draining: true})
		return
	case u.fault == faultRefuse:
		n.end(e, c, core.AttemptEnded{Result: retry.Refused})
		return
	case u.fault == faultSilent && w.chance(0.5):
		w.after(e.FirstByte, func() { n.end(e, c, core.AttemptEnded{FirstByteTimedOut: true}) })
		return
	}
	u.run(n, c, e)
}

// run starts a job and plans its end and what the node hears of it.
func (u *upstream) run(n *entryNode, c *call, e core.Dispatch) {
	w := n.w
	runs := min(c.work, c.service.Limits.Run.D())
	ended := false
	end := func(ev core.AttemptEnded) {
		if !ended {
			ended = true
			n.end(e, c, ev)
		}
	}
	j := &job{call: c, vm: u, decided: c.decided, started: w.now, lost: func() { end(core.AttemptEnded{}) }}
	u.jobs = append(u.jobs, j)
	c.starts++
	w.checkStart(j)
	silent, cut, reset := u.fault == faultSilent, u.fault == faultCut, u.fault == faultReset
	if reset {
		w.after(w.between(0, runs), func() { end(core.AttemptEnded{}) })
	}
	if runs > e.FirstByte || silent {
		w.after(e.FirstByte, func() { end(core.AttemptEnded{FirstByteTimedOut: silent}) })
	}
	w.after(runs, func() {
		if !u.drop(j) || silent || reset {
			return
		}
		if cut || c.work > runs {
			end(core.AttemptEnded{ResponseStarted: cut})
			return
		}
		end(core.AttemptEnded{Result: retry.Completed})
	})
}

// drop ends a job. It reports false if it had ended before.
func (u *upstream) drop(j *job) bool {
	at := slices.Index(u.jobs, j)
	if at < 0 {
		return false
	}
	u.jobs = slices.Delete(u.jobs, at, at+1)
	return true
}

// end tells the node of the end of an attempt, in trouble perhaps twice.
func (n *entryNode) end(e core.Dispatch, c *call, ev core.AttemptEnded) {
	ev.Attempt = e.Attempt
	n.w.after(n.w.between(time.Millisecond, 3*time.Millisecond), func() {
		n.receive(func() {
			if ev.Result == retry.Completed {
				n.answer(c, vocab.OutcomeCompleted, "completed")
			}
			n.step(ev)
		})
	})
	if n.w.trouble && n.w.chance(doubleRate) {
		n.w.after(n.w.between(time.Second, 2*time.Second), func() { n.post(ev) })
	}
}

// stop ends the VM and all that it runs.
func (u *upstream) stop() {
	u.down = true
	jobs := u.jobs
	u.jobs = nil
	for _, j := range jobs {
		j.lost()
	}
}

// fakeVMs is the platform's list of VMs and what carries out orders on them.
type fakeVMs struct {
	w       *world
	byName  map[vocab.VMID]*upstream
	names   []vocab.VMID
	version uint64
	// listed is what the lagging list shows.
	listed  []observe.Row
	frozen  bool
	lastBad time.Duration // when a VM was last made to fail
	// loseOrders makes orders or their answers go missing now and then.
	loseOrders bool
	rebootTime time.Duration
}

func newFakeVMs(w *world, fleet *spec.Fleet) fakeVMs {
	v := fakeVMs{w: w, byName: map[vocab.VMID]*upstream{}, rebootTime: 20 * time.Second}
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
	v.listed, v.version = v.rows(), 1
	return v
}

func (v *fakeVMs) rows() []observe.Row {
	rows := make([]observe.Row, 0, len(v.names))
	for _, name := range v.names {
		rows = append(rows, v.byName[name].row)
	}
	return rows
}

// changed makes a change visible on the list, a while later.
func (v *fakeVMs) changed() {
	v.w.after(v.w.between(100*time.Millisecond, time.Second), v.show)
}

func (v *fakeVMs) show() {
	if !v.frozen {
		v.listed, v.version = v.rows(), v.version+1
	}
}

// die makes a VM fail, and comeBack brings it back as a new incarnation.
func (v *fakeVMs) die(name vocab.VMID) {
	u := v.byName[name]
	u.row.Phase = observe.ListGone
	u.stop()
	v.lastBad = v.w.now
	v.changed()
}

func (v *fakeVMs) comeBack(name vocab.VMID) {
	u := v.byName[name]
	u.row.Incarnation++
	u.row.Phase = observe.ListLive
	u.down, u.fault = false, faultNone
	v.lastBad = v.w.now
	v.changed()
}
