package core

import (
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dump is a copy of a node's state for operators. It contains neither secrets
// nor their hashes.
type Dump struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Zone        vocab.ZoneID      `json:"zone"`
	Ready       bool              `json:"ready"`
	NotReady    []string          `json:"not_ready,omitempty"`
	Stopping    bool              `json:"stopping"`
	LogUp       bool              `json:"log_up"`
	Offset      vocab.Offset      `json:"offset"`
	Revision    vocab.Revision    `json:"revision"`
	Digest      string            `json:"digest"`
	Fleet       string            `json:"fleet"`
	Members     []MemberDump      `json:"members"`
	Keys        []KeyDump         `json:"keys"`
	Queues      []QueueDump       `json:"queues"`
	VMs         []VMDump          `json:"vms"`
	Limits      limit.Dump        `json:"limits"`
	Running     int               `json:"running"`

	Maintenance maintenance.Status `json:"maintenance"`
	// PendingWithdrawals lists the keys whose withdrawal has not been folded from
	// the log yet.
	PendingWithdrawals []vocab.KeyID `json:"pending_withdrawals,omitempty"`
}

// MemberDump describes a member of the fleet.
type MemberDump struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Zone        vocab.ZoneID      `json:"zone"`
	PeerAddress string            `json:"peer_address"`
}

// KeyDump describes a key, without the hash of its secret.
type KeyDump struct {
	ID        vocab.KeyID  `json:"id"`
	Team      vocab.TeamID `json:"team"`
	Withdrawn bool         `json:"withdrawn"`
}

// QueueDump describes a queue on this node.
type QueueDump struct {
	Queue       vocab.QueueID `json:"queue"`
	Pool        vocab.PoolID  `json:"pool"`
	Waiting     int           `json:"waiting"`
	Teams       []TeamWaiting `json:"teams,omitempty"`
	Avoided     []vocab.VMID  `json:"avoided,omitempty"`
	ReadyVMs    int           `json:"ready_vms"`
	ReadyBudget int           `json:"ready_budget"`
	FreeSlots   vocab.Slots   `json:"free_slots_here"`
}

// TeamWaiting is the number of waiting requests of a team in a queue.
type TeamWaiting struct {
	Team    vocab.TeamID `json:"team"`
	Waiting int          `json:"waiting"`
}

// VMDump describes a VM as this node sees it.
type VMDump struct {
	VM          vocab.VMID          `json:"vm"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Pool        vocab.PoolID        `json:"pool"`
	Zone        vocab.ZoneID        `json:"zone"`
	Phase       string              `json:"phase"`
}

// Dump returns a copy of the state.
func (s *State) Dump() Dump {
	shared := s.Shared()
	d := Dump{
		Node:               s.self.Node,
		Incarnation:        s.self.Incarnation,
		Zone:               s.self.Zone,
		NotReady:           s.NotReady(),
		Stopping:           s.stopping,
		LogUp:              !s.logDown,
		Offset:             shared.Offset,
		Revision:           shared.Revision,
		Digest:             shared.Digest(),
		Limits:             s.limits.Dump(),
		Running:            len(s.requestsByAttempt),
		PendingWithdrawals: s.PendingWithdrawals(),
		Maintenance:        s.maintenance.Status(),
	}
	d.Ready = len(d.NotReady) == 0
	if shared.Fleet != nil {
		d.Fleet = shared.Fleet.Name
	}
	for _, m := range shared.SortedMembers() {
		d.Members = append(d.Members, MemberDump{Node: m.Node, Incarnation: m.Incarnation, Zone: m.Zone, PeerAddress: m.PeerAddress})
	}
	for _, k := range shared.SortedKeys() {
		d.Keys = append(d.Keys, KeyDump{ID: k.ID, Team: k.Team, Withdrawn: k.Withdrawn || s.pendingWithdrawals[k.ID]})
	}
	for _, id := range s.queueIDs {
		d.Queues = append(d.Queues, s.dumpQueue(s.queues[id]))
	}
	for _, vm := range s.vms.All() {
		d.VMs = append(d.VMs, VMDump{VM: vm.Name, Incarnation: vm.Incarnation, Pool: vm.Pool, Zone: vm.Zone, Phase: vm.Phase.String()})
	}
	return d
}

func (s *State) dumpQueue(q *queue) QueueDump {
	d := QueueDump{
		Queue:       q.id,
		Pool:        q.service.Pool,
		Waiting:     q.waiting.Len(),
		ReadyVMs:    len(s.vms.Ready(q.service.Pool)),
		ReadyBudget: q.service.Budget.MinReady,
	}
	for _, t := range s.Shared().Fleet.Teams {
		if n := q.waiting.Waiting(t.Name); n > 0 {
			d.Teams = append(d.Teams, TeamWaiting{Team: t.Name, Waiting: n})
		}
	}
	for _, vm := range s.vms.Ready(q.service.Pool) {
		d.FreeSlots += s.limits.Free(s.now, vmAccount(vm))
		if q.health.Status(s.now, healthKey(vm)).Avoided {
			d.Avoided = append(d.Avoided, vm.Name)
		}
	}
	return d
}

// NotReady returns the reasons why the load balancer should send no requests to
// this node, or nil if the node is ready.
func (s *State) NotReady() []string {
	var reasons []string
	if s.Shared().Fleet == nil {
		reasons = append(reasons, "no configuration yet")
	}
	if s.follower.CatchingUp() && s.Shared().Fleet == nil {
		reasons = append(reasons, "the log keeps no snapshot to start from")
	}
	if len(s.vms.All()) == 0 {
		reasons = append(reasons, "the VM list was not read yet")
	}
	if s.leaving {
		reasons = append(reasons, "stopping")
	}
	return reasons
}

// Serving reports whether the node is ready, is a member and has a free slot in
// the pool of each queue.
func (s *State) Serving() bool {
	if len(s.NotReady()) > 0 || !s.isMember() {
		return false
	}
	for _, id := range s.queueIDs {
		if s.dumpQueue(s.queues[id]).FreeSlots == 0 {
			return false
		}
	}
	return true
}

// LogUp reports whether the log service answered the last call.
func (s *State) LogUp() bool {
	return !s.logDown
}

// KeyValid reports whether work may be accepted and started under the key.
func (s *State) KeyValid(id vocab.KeyID) bool {
	return s.keyValid(id)
}

// Waiting returns the number of requests waiting in a queue of this node, or 0
// if there is no such queue.
func (s *State) Waiting(id vocab.QueueID) int {
	q, ok := s.queues[id]
	if !ok {
		return 0
	}
	return q.waiting.Len()
}

// Running returns the number of attempts of this node whose end has not been
// reported.
func (s *State) Running() int {
	return len(s.requestsByAttempt)
}

// AcceptsWork reports whether a VM accepts new work.
func (s *State) AcceptsWork(id vocab.VMID) bool {
	vm := s.vms.Get(id)
	return vm != nil && vm.Phase == observe.PhaseReady
}
