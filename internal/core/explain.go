package core

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ExplainQuery selects what Explain explains: why work of a team waits in a queue,
// or if VM is set, why that VM gets no work.
type ExplainQuery struct {
	Queue vocab.QueueID
	Team  vocab.TeamID
	VM    vocab.VMID
}

// Explain returns one line per reason, the most important first.
func (s *State) Explain(q ExplainQuery) []string {
	if s.Shared().Fleet == nil {
		return s.NotReady()
	}
	if q.VM != "" {
		return s.explainVM(q.VM)
	}
	return s.explainQueue(q.Queue, q.Team)
}

func (s *State) explainVM(name vocab.VMID) []string {
	vm := s.vms.Get(name)
	if vm == nil {
		return []string{fmt.Sprintf("VM %s is not on the VM list", name)}
	}
	out := []string{fmt.Sprintf("VM %s is %s in pool %q, zone %s, incarnation %d", name, vm.Phase, vm.Pool, vm.Zone, vm.Incarnation)}
	if why := s.maintenance.Explain(name); why != "" {
		out = append(out, why)
	}
	if vm.Phase != observe.PhaseReady {
		return append(out, "it gets no new work until it is ready again")
	}
	free := s.limits.Free(s.now, vmAccount(vm))
	return append(out, fmt.Sprintf("this node may start %d more requests on it now", free))
}

func (s *State) explainQueue(id vocab.QueueID, team vocab.TeamID) []string {
	q, ok := s.queues[id]
	if !ok {
		return []string{fmt.Sprintf("no service is named %q", id)}
	}
	ready := s.vms.Ready(q.service.Pool)
	out := []string{fmt.Sprintf("queue %s: %d requests wait on this node, pool %s has %d ready VMs (budget %d)", id, q.waiting.Len(), q.service.Pool, len(ready), q.service.Budget.MinReady)}
	var free vocab.Slots
	for _, vm := range ready {
		free += s.limits.Free(s.now, vmAccount(vm))
	}
	out = append(out, fmt.Sprintf("this node may start %d more requests on the pool now", free))
	if team == "" {
		return out
	}
	return append(out, s.explainTeam(q, team)...)
}

func (s *State) explainTeam(q *queue, team vocab.TeamID) []string {
	t, ok := s.Shared().Fleet.Team(team)
	if !ok {
		return []string{fmt.Sprintf("no team is named %q", team)}
	}
	if !q.service.Admits(team) {
		return []string{fmt.Sprintf("team %s may not send work to %s", team, q.id)}
	}
	account := limit.TeamAccount(team)
	return []string{
		fmt.Sprintf("team %s: %d requests wait here, share %d", team, q.waiting.Waiting(team), t.Share),
		fmt.Sprintf("upper limit %d in the fleet; this node has %d running and may start %d more", t.UpperLimit, s.limits.InUse(account), s.limits.Free(s.now, account)),
	}
}
