package simulation

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// budgetCheckGrace is the time after a failure in which the availability budget is not
// checked: the list lags, and orders decided before the failure may still be carried out.
const budgetCheckGrace = 60 * time.Second

// leavingReportTTL is the time for which a node must not send requests to a VM that
// reported to be leaving while the list still shows it as live.
const leavingReportTTL = 2 * time.Minute

// leavingReport is the first report to a node that an incarnation of a VM is leaving.
type leavingReport struct {
	incarnation vocab.VMIncarnation
	receivedAt  vocab.Instant
}

// isValid reports whether the report concerns the incarnation and has not expired.
func (l leavingReport) isValid(incarnation vocab.VMIncarnation, now vocab.Instant) bool {
	return l.incarnation == incarnation && incarnation != 0 && now.Sub(l.receivedAt) < leavingReportTTL
}

// receivedFacts are the facts that a node received. The checks derive them from its events,
// independently of the reducer.
type receivedFacts struct {
	withdrawn map[vocab.KeyID]bool
	leaving   map[vocab.VMID]leavingReport
	// gossiped holds the leaving reports known before, by gossip or from the VM itself. Gossip
	// repeats a report even after the VM stopped leaving.
	gossiped map[gossip.Leaving]bool
	// attemptVMs holds the VM of each attempt, whose response may report that it is leaving.
	attemptVMs map[vocab.AttemptID]vocab.VMID
	listedRows map[vocab.VMID]observe.Row
	version    uint64
	offset     vocab.Offset
	revision   vocab.Revision
}

func newReceivedFacts() receivedFacts {
	return receivedFacts{
		withdrawn:  map[vocab.KeyID]bool{},
		leaving:    map[vocab.VMID]leavingReport{},
		listedRows: map[vocab.VMID]observe.Row{},
		gossiped:   map[gossip.Leaving]bool{},
		attemptVMs: map[vocab.AttemptID]vocab.VMID{},
	}
}

// recordReceived records the facts that an event contains.
func (n *entryNode) recordReceived(ev event.Event) {
	facts := &n.received
	switch e := ev.(type) {
	case core.WithdrawKey:
		facts.withdrawn[e.Key] = true
	case core.AttemptEnded:
		if vm := facts.attemptVMs[e.Attempt]; e.Draining {
			n.recordLeaving(vm, facts.listedRows[vm].Incarnation)
		}
	case core.GossipArrived:
		n.recordWithdrawn(e.Message.Withdrawn)
		for _, l := range e.Message.Leaving {
			n.recordLeaving(l.VM, l.Incarnation)
		}
	case core.GossipReplied:
		n.recordWithdrawn(e.Message.Withdrawn)
		for _, l := range e.Message.Leaving {
			n.recordLeaving(l.VM, l.Incarnation)
		}
	case core.VMsListed:
		n.recordList(e)
	case core.RecordsRead:
		n.recordJoins(e)
	}
}

func (n *entryNode) recordWithdrawn(keys []vocab.KeyID) {
	for _, key := range keys {
		n.received.withdrawn[key] = true
	}
}

func (n *entryNode) recordLeaving(vm vocab.VMID, incarnation vocab.VMIncarnation) {
	fact := gossip.Leaving{VM: vm, Incarnation: incarnation}
	if n.received.listedRows[vm].Incarnation <= incarnation && !n.received.gossiped[fact] {
		n.received.gossiped[fact] = true
		n.received.leaving[vm] = leavingReport{incarnation: incarnation, receivedAt: n.now()}
	}
}

// recordList records a reading of the VM list. A VM that was listed as leaving and is listed
// as live has stopped leaving.
func (n *entryNode) recordList(e core.VMsListed) {
	if e.Version <= n.received.version {
		return
	}
	n.received.version = e.Version
	for _, row := range e.Rows {
		if n.received.listedRows[row.Name].Phase == observe.ListLeaving && row.Phase == observe.ListLive {
			delete(n.received.leaving, row.Name)
		}
		n.received.listedRows[row.Name] = row
	}
}

// recordJoins removes the leaving reports of VMs that joined a pool.
func (n *entryNode) recordJoins(e core.RecordsRead) {
	for _, rec := range e.Records {
		body, err := record.Decode(rec.Envelope)
		if err != nil {
			n.sim.fail("decoding a record: %v", err)
		}
		if joined, ok := body.(record.VMJoinedPool); ok {
			delete(n.received.leaving, joined.VM)
		}
	}
}

// checkState checks the invariants of a node's state after each step.
func (n *entryNode) checkState() {
	s, facts := n.state.Shared(), &n.received
	if s.Offset < facts.offset || s.Revision < facts.revision {
		n.sim.fail("%s went back from offset %d, revision %d to %d, %d", n.name, facts.offset, facts.revision, s.Offset, s.Revision)
	}
	for key := range facts.withdrawn {
		if n.state.KeyValid(key) {
			n.sim.fail("%s accepts key %s although it received the withdrawal", n.name, key)
		}
	}
	if s.Offset == facts.offset {
		return
	}
	for id, key := range s.Keys {
		if key.Withdrawn {
			facts.withdrawn[id] = true
		}
	}
	facts.offset, facts.revision = s.Offset, s.Revision
	if got, want := s.Digest(), n.sim.log.digests[s.Offset]; got != want {
		n.sim.fail("%s has digest %s at offset %d, want %s", n.name, got, s.Offset, want)
	}
}

// checkEffect checks an effect against the facts that the node received.
func (n *entryNode) checkEffect(effect event.Effect) {
	switch e := effect.(type) {
	case core.Dispatch:
		n.checkDispatch(e)
	case core.LogEvent:
		if e.ID == core.LogEventStateDiverged || e.ID == core.LogEventFoldStopped {
			n.sim.fail("%s: %s %s", n.name, e.ID, e.Detail)
		}
	}
}

// checkDispatch checks that a node may send this attempt to this VM.
func (n *entryNode) checkDispatch(e core.Dispatch) {
	req := n.requests[e.Request]
	row := n.received.listedRows[e.VM]
	switch {
	case req.finalCode != "":
		n.sim.fail("%s dispatches request %d after its answer %s", n.name, req.id, req.finalCode)
	case n.received.withdrawn[req.key]:
		n.sim.fail("%s sends a request with key %s although it received the withdrawal", n.name, req.key)
	case row.Phase != observe.ListLive:
		n.sim.fail("%s sends a request to %s, which is listed as %s", n.name, e.VM, row.Phase)
	case n.received.leaving[e.VM].isValid(row.Incarnation, n.now()):
		n.sim.fail("%s sends a request to %s, which was reported as leaving", n.name, e.VM)
	case !n.state.AcceptsWork(e.VM):
		n.sim.fail("%s sends a request to %s, which it does not consider ready", n.name, e.VM)
	}
	n.received.attemptVMs[e.Attempt] = e.VM
}

// checkStart checks the invariants of the cluster when an upstream starts an execution.
func (sim *simulation) checkStart(exec *execution) {
	req, u := exec.request, exec.upstream
	if req.notIdempotent && req.startCount > 1 {
		sim.fail("request %d of %s is not idempotent and started %d times", req.id, req.node.name, req.startCount)
	}
	if req.finalCode != "" {
		sim.fail("request %d of %s starts after its answer %s", req.id, req.node.name, req.finalCode)
	}
	if u.row.Pool != req.service.Pool {
		sim.fail("%s of pool %s starts a request for pool %s", u.row.Name, u.row.Pool, req.service.Pool)
	}
	pool, _ := sim.fleet.Pool(u.row.Pool)
	if len(u.executions) > int(pool.Slots) {
		sim.fail("%s runs %d requests in %d slots: %s", u.row.Name, len(u.executions), pool.Slots, describeExecutions(u.executions))
	}
	sim.checkTeam(req.team)
}

// describeExecutions lists executions with their node, team and times.
func describeExecutions(executions []*execution) string {
	var out string
	for _, exec := range executions {
		state := "running"
		if exec.request.node.dead {
			state = "dead"
		}
		out += fmt.Sprintf("[%s/%d %s, request %d of %s, decided %v, started %v]",
			exec.request.node.name, exec.request.node.incarnation, state, exec.request.id, exec.request.team, exec.dispatchDecidedAt, exec.startedAt)
	}
	return out
}

// countRunning counts the executions of a team's requests.
func (sim *simulation) countRunning(team vocab.TeamID) int {
	n := 0
	for _, name := range sim.vms.names {
		for _, exec := range sim.vms.byName[name].executions {
			if exec.request.team == team {
				n++
			}
		}
	}
	return n
}

// checkTeam checks a team's upper limit. A lowered limit is in effect after every node that
// may have requests running has reduced its use to its new quota.
func (sim *simulation) checkTeam(team vocab.TeamID) {
	t, exists := sim.fleet.Team(team)
	running := sim.countRunning(team)
	sim.maxRunning[team] = max(sim.maxRunning[team], running)
	if !exists || running <= int(t.UpperLimit) {
		return
	}
	if maxLimit := sim.highestLimit(team); running > int(maxLimit) {
		var executions []*execution
		for _, name := range sim.vms.names {
			executions = append(executions, sim.vms.byName[name].executions...)
		}
		sim.fail("team %s has %d running, its limit is %d: %s", team, running, maxLimit, describeExecutions(executions))
	}
}

// highestLimit returns the highest limit of a team that may still be in effect on a node.
// Requests of a killed node, or on loans that it granted, may start until the leases have
// expired and then run up to the run limit.
func (sim *simulation) highestLimit(team vocab.TeamID) vocab.Slots {
	settledOffset := sim.log.endOffset()
	for _, n := range sim.nodes {
		endsAt := n.killedAt + limit.DefaultLease + sim.fleet.MaxRunTime().D() + time.Second
		if !n.dead || sim.now < endsAt {
			settledOffset = min(settledOffset, n.state.Dump().Limits.Settled)
		}
	}
	var highest vocab.Slots
	var settledConfig vocab.Offset
	for at := range sim.log.configsInForce {
		if at <= settledOffset {
			settledConfig = max(settledConfig, at)
		}
	}
	for at, fleet := range sim.log.configsInForce {
		if t, ok := fleet.Team(team); ok && at >= settledConfig {
			highest = max(highest, t.UpperLimit)
		}
	}
	return highest
}

// checkAnswered checks that every request is answered, except for abandoned ones and those
// of killed nodes.
func (sim *simulation) checkAnswered() {
	for _, req := range sim.requests {
		if req.finalCode == "" && !req.abandoned && !req.nodeKilled {
			sim.fail("request %d of %s, sent at %v, has no answer at %v (started %d times)", req.id, req.node.name, req.sentAt, sim.now, req.startCount)
		}
	}
}
