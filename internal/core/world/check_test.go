package world

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

// budgetGrace is how long after a failure the budget is not checked: the list
// lags, and what was decided before may still be carried out.
const budgetGrace = 60 * time.Second

// leavingTrust is how long a VM's word that it is leaving must be heeded while
// the list goes on to call it live.
const leavingTrust = 2 * time.Minute

// leavingWord is a VM's word that it is leaving, as a node first heard it.
type leavingWord struct {
	incarnation vocab.VMIncarnation
	heard       vocab.Instant
}

func (l leavingWord) holds(incarnation vocab.VMIncarnation, now vocab.Instant) bool {
	return l.incarnation == incarnation && incarnation != 0 && now.Sub(l.heard) < leavingTrust
}

// knowledge is what a node was told, kept apart from what it concluded.
type knowledge struct {
	withdrawn map[vocab.KeyID]bool
	leaving   map[vocab.VMID]leavingWord
	// told holds what gossip said before. It repeats old facts, also after the
	// platform took a VM's leaving back.
	told     map[gossip.Leaving]bool
	listed   map[vocab.VMID]observe.Row
	version  uint64
	offset   vocab.Offset
	revision vocab.Revision
}

func newKnowledge() knowledge {
	return knowledge{
		withdrawn: map[vocab.KeyID]bool{},
		leaving:   map[vocab.VMID]leavingWord{},
		listed:    map[vocab.VMID]observe.Row{},
		told:      map[gossip.Leaving]bool{},
	}
}

// learn notes what an event tells the node.
func (n *entryNode) learn(ev event.Event) {
	k := &n.seen
	switch e := ev.(type) {
	case core.WithdrawKey:
		k.withdrawn[e.Key] = true
	case core.GossipArrived:
		n.learnGossip(e.Message.Withdrawn)
		for _, l := range e.Message.Leaving {
			n.learnLeaving(l.VM, l.Incarnation)
		}
	case core.GossipReplied:
		n.learnGossip(e.Message.Withdrawn)
		for _, l := range e.Message.Leaving {
			n.learnLeaving(l.VM, l.Incarnation)
		}
	case core.VMsListed:
		n.learnList(e)
	case core.RecordsRead:
		n.learnRecords(e)
	}
}

func (n *entryNode) learnGossip(keys []vocab.KeyID) {
	for _, key := range keys {
		n.seen.withdrawn[key] = true
	}
}

func (n *entryNode) learnLeaving(vm vocab.VMID, incarnation vocab.VMIncarnation) {
	fact := gossip.Leaving{VM: vm, Incarnation: incarnation}
	if n.seen.listed[vm].Incarnation == incarnation && !n.seen.told[fact] {
		n.seen.told[fact] = true
		n.seen.leaving[vm] = leavingWord{incarnation: incarnation, heard: n.now()}
	}
}

// learnList takes a reading. A VM that was leaving and lives is back.
func (n *entryNode) learnList(e core.VMsListed) {
	if e.Version <= n.seen.version {
		return
	}
	n.seen.version = e.Version
	for _, row := range e.Rows {
		if n.seen.listed[row.Name].Phase == observe.ListLeaving && row.Phase == observe.ListLive {
			delete(n.seen.leaving, row.Name)
		}
		n.seen.listed[row.Name] = row
	}
}

// learnRecords takes the records that end a VM's leaving.
func (n *entryNode) learnRecords(e core.RecordsRead) {
	for _, rec := range e.Records {
		body, err := record.Decode(rec.Envelope)
		if err != nil {
			n.w.fail("record: %v", err)
		}
		if joined, ok := body.(record.VMJoinedPool); ok {
			delete(n.seen.leaving, joined.VM)
		}
	}
}

// checkState checks what must hold of a node after each step.
func (n *entryNode) checkState() {
	s, k := n.state.Shared(), &n.seen
	if s.Offset < k.offset || s.Revision < k.revision {
		n.w.fail("%s went back from offset %d, revision %d to %d, %d", n.name, k.offset, k.revision, s.Offset, s.Revision)
	}
	for key := range k.withdrawn {
		if n.state.KeyValid(key) {
			n.w.fail("%s knows that key %s was withdrawn and takes it", n.name, key)
		}
	}
	if s.Offset == k.offset {
		return
	}
	for id, key := range s.Keys {
		if key.Withdrawn {
			k.withdrawn[id] = true
		}
	}
	k.offset, k.revision = s.Offset, s.Revision
	if got, want := s.Digest(), n.w.log.digests[s.Offset]; got != want {
		n.w.fail("%s has digest %s at offset %d, the log gives %s", n.name, got, s.Offset, want)
	}
}

// checkEffect checks what a node decided against what it was told.
func (n *entryNode) checkEffect(effect event.Effect) {
	switch e := effect.(type) {
	case core.Dispatch:
		n.checkDispatch(e)
	case core.LogEvent:
		if e.ID == core.LogEventStateDiverged || e.ID == core.LogEventFoldStopped {
			n.w.fail("%s: %s %s", n.name, e.ID, e.Detail)
		}
	}
}

func (n *entryNode) checkDispatch(e core.Dispatch) {
	c := n.calls[e.Request]
	row := n.seen.listed[e.VM]
	switch {
	case c.final != "":
		n.w.fail("%s dispatches request %d after its answer %s", n.name, c.id, c.final)
	case n.seen.withdrawn[c.key]:
		n.w.fail("%s starts work under key %s, which it knows was withdrawn", n.name, c.key)
	case row.Phase != observe.ListLive:
		n.w.fail("%s sends work to %s, which it read is %s", n.name, e.VM, row.Phase)
	case n.seen.leaving[e.VM].holds(row.Incarnation, n.now()):
		n.w.fail("%s sends work to %s, which it heard is leaving", n.name, e.VM)
	case !n.state.AcceptsWork(e.VM):
		n.w.fail("%s sends work to %s, which it counts as not ready", n.name, e.VM)
	}
}

// checkStart checks the truth when an upstream starts to run a request.
func (w *world) checkStart(j *job) {
	c, u := j.call, j.vm
	if c.once && c.starts > 1 {
		w.fail("request %d of %s is not idempotent and started %d times", c.id, c.node.name, c.starts)
	}
	if c.final != "" {
		w.fail("request %d of %s starts after its answer %s", c.id, c.node.name, c.final)
	}
	if u.row.Pool != c.service.Pool {
		w.fail("%s of pool %s starts a request for pool %s", u.row.Name, u.row.Pool, c.service.Pool)
	}
	pool, _ := w.fleet.Pool(u.row.Pool)
	if len(u.jobs) > int(pool.Slots) {
		w.fail("%s runs %d requests in %d slots: %s", u.row.Name, len(u.jobs), pool.Slots, describe(u.jobs))
	}
	w.checkTeam(c.team)
}

// describe tells whose work runs, since when, and when it was decided.
func describe(jobs []*job) string {
	var out string
	for _, j := range jobs {
		state := "lives"
		if j.call.node.dead {
			state = "dead"
		}
		out += fmt.Sprintf("[%s/%d %s, request %d of %s, decided %v, started %v]",
			j.call.node.name, j.call.node.incarnation, state, j.call.id, j.call.team, j.decided, j.started)
	}
	return out
}

// running counts what upstreams run for a team.
func (w *world) running(team vocab.TeamID) int {
	n := 0
	for _, name := range w.vms.names {
		for _, j := range w.vms.byName[name].jobs {
			if j.call.team == team {
				n++
			}
		}
	}
	return n
}

// checkTeam checks a team's upper limit. A limit that was lowered holds once
// all nodes that may have work running have drawn down to it.
func (w *world) checkTeam(team vocab.TeamID) {
	t, known := w.fleet.Team(team)
	running := w.running(team)
	w.most[team] = max(w.most[team], running)
	if !known || running <= int(t.UpperLimit) {
		return
	}
	if bound := w.highestLimit(team); running > int(bound) {
		var jobs []*job
		for _, name := range w.vms.names {
			jobs = append(jobs, w.vms.byName[name].jobs...)
		}
		w.fail("team %s has %d running, its limit is %d: %s", team, running, bound, describe(jobs))
	}
}

// highestLimit is the highest limit that some node may still draw down from. A
// dead node's work, and work on what it lent, may start until the leases have
// lapsed and then runs to the run limit.
func (w *world) highestLimit(team vocab.TeamID) vocab.Slots {
	settled := w.log.end()
	for _, n := range w.nodes {
		ended := n.diedAt + limit.DefaultLease + w.fleet.LongestRun().D() + time.Second
		if !n.dead || w.now < ended {
			settled = min(settled, n.state.Dump().Limits.Settled)
		}
	}
	var most vocab.Slots
	var inForce vocab.Offset
	for at := range w.log.configs {
		if at <= settled {
			inForce = max(inForce, at)
		}
	}
	for at, fleet := range w.log.configs {
		if t, ok := fleet.Team(team); ok && at >= inForce {
			most = max(most, t.UpperLimit)
		}
	}
	return most
}

// checkAnswered checks that every request got its answer.
func (w *world) checkAnswered() {
	for _, c := range w.calls {
		if c.final == "" && !c.abandoned && !c.orphaned {
			w.fail("request %d of %s, sent at %v, has no answer at %v (started %d times)", c.id, c.node.name, c.at, w.now, c.starts)
		}
	}
}
