package core

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// gossipIndexes maps pools and teams to the indexes that stand for them in
// gossip: their positions in the configuration, which is sorted by name.
type gossipIndexes struct {
	pools map[vocab.PoolID]uint32
	teams map[vocab.TeamID]uint32
}

func newGossipIndexes(fleet *spec.Fleet) gossipIndexes {
	n := gossipIndexes{pools: map[vocab.PoolID]uint32{}, teams: map[vocab.TeamID]uint32{}}
	for i, p := range fleet.Pools {
		n.pools[p.Name] = uint32(i)
	}
	for i, t := range fleet.Teams {
		n.teams[t.Name] = uint32(i)
	}
	return n
}

// idleVMs returns the VMs that accept no new work and on which no member has
// requests running, according to recent reports of every member. It returns
// none while the report of any member is too old, since that member may still
// have requests running on any VM.
func (s *State) idleVMs() []vocab.VMID {
	busy := map[vocab.VMID]bool{}
	for id := range s.Shared().Members {
		if id == s.self.Incarnation {
			continue
		}
		r, at, ok := s.peers.gossip.Report(id)
		if !ok || s.now.Sub(at) > membership.HeartbeatTimeout(len(s.Shared().Members)) {
			return nil
		}
		for _, vm := range r.BusyUnreadyVMs {
			busy[vm] = true
		}
	}
	var out []vocab.VMID
	for _, vm := range s.vms.All() {
		longNotReady := s.now.Sub(s.updateNotReadySince(vm)) > 2*membership.HeartbeatTimeout(len(s.Shared().Members))
		if vm.Phase != observe.PhaseReady && longNotReady && !busy[vm.Name] && s.runningOnVM[vm.Name] == 0 {
			out = append(out, vm.Name)
		}
	}
	return out
}

// updateNotReadySince returns the time from which this node has sent no new
// work to the VM, which is now for a ready VM. Reports from before that time do
// not show that the VM is idle.
func (s *State) updateNotReadySince(vm *observe.VM) vocab.Instant {
	since, ok := s.notReadySince[vm.Name]
	if !ok || vm.Phase == observe.PhaseReady {
		since = s.now
	}
	s.notReadySince[vm.Name] = since
	return since
}

// suspectedNodes returns the nodes that are suspected to have failed, and the
// owner of the maintenance if it is no longer a member.
func (s *State) suspectedNodes() []vocab.NodeID {
	var out []vocab.NodeID
	for _, id := range s.peers.view.Suspected {
		out = append(out, s.nodeOf(id))
	}
	if owner := s.Shared().Maintenance.Owner; owner.Epoch != 0 {
		if _, member := s.Shared().Members[owner.Incarnation]; !member {
			out = append(out, owner.Node)
		}
	}
	return out
}

func millis(n uint64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// unknownAttempt is an attempt with an unknown outcome, which may be running on
// the VM until the given time.
type unknownAttempt struct {
	vm          vocab.VMID
	mayRunUntil vocab.Instant
}

// stopCounting stops counting an attempt on a VM, at once or, if until is
// later, when that time has passed.
func (s *State) stopCounting(vm vocab.VMID, until vocab.Instant) {
	if until > s.now {
		s.unknownAttempts = append(s.unknownAttempts, unknownAttempt{vm: vm, mayRunUntil: until})
		return
	}
	s.runningOnVM[vm]--
	if s.runningOnVM[vm] <= 0 {
		delete(s.runningOnVM, vm)
	}
}

// expireUnknownAttempts stops counting the attempts with an unknown outcome
// that can no longer be running.
func (s *State) expireUnknownAttempts() {
	s.unknownAttempts = slices.DeleteFunc(s.unknownAttempts, func(a unknownAttempt) bool {
		if a.mayRunUntil > s.now {
			return false
		}
		s.stopCounting(a.vm, 0)
		return true
	})
}
