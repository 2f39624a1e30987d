package core

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// numbering numbers pools and teams in the order of their names, as gossip does.
type numbering struct {
	pools map[vocab.PoolID]uint32
	teams map[vocab.TeamID]uint32
}

func number(fleet *spec.Fleet) numbering {
	n := numbering{pools: map[vocab.PoolID]uint32{}, teams: map[vocab.TeamID]uint32{}}
	for i, p := range fleet.Pools {
		n.pools[p.Name] = uint32(i)
	}
	for i, t := range fleet.Teams {
		n.teams[t.Name] = uint32(i)
	}
	return n
}

// idleVMs returns the VMs that get no new work and certainly run nothing for
// any member: every member's report of the last rounds says so. A member that
// is silent may still run something.
func (s *State) idleVMs() []vocab.VMID {
	busy := map[vocab.VMID]bool{}
	for id := range s.Shared().Members {
		if id == s.self.Incarnation {
			continue
		}
		r, at, ok := s.peers.gossip.Report(id)
		if !ok || s.now.Sub(at) > membership.SilenceLimit(len(s.Shared().Members)) {
			return nil
		}
		for _, vm := range r.Busy {
			busy[vm] = true
		}
	}
	var out []vocab.VMID
	for _, vm := range s.vms.All() {
		quiet := s.now.Sub(s.stoppedTaking(vm)) > 2*membership.SilenceLimit(len(s.Shared().Members))
		if vm.Phase != observe.PhaseReady && quiet && !busy[vm.Name] && s.running[vm.Name] == 0 {
			out = append(out, vm.Name)
		}
	}
	return out
}

// stoppedTaking returns since when this node sends the VM no new work. Reports
// that are older than that say nothing about it.
func (s *State) stoppedTaking(vm *observe.VM) vocab.Instant {
	since, ok := s.notTaking[vm.Name]
	if !ok || vm.Phase == observe.PhaseReady {
		since = s.now
	}
	s.notTaking[vm.Name] = since
	return since
}

// suspects returns the members that are suspected to have failed.
func (s *State) suspects() []vocab.NodeID {
	var out []vocab.NodeID
	for _, id := range s.peers.view.Suspect {
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

// linger is a request whose end was not seen and that may still run on a VM.
type linger struct {
	vm    vocab.VMID
	until vocab.Instant
}

// leaveVM notes that an attempt on a VM ended, or that it may run until later.
func (s *State) leaveVM(vm vocab.VMID, until vocab.Instant) {
	if until > s.now {
		s.lingering = append(s.lingering, linger{vm: vm, until: until})
		return
	}
	s.running[vm]--
	if s.running[vm] <= 0 {
		delete(s.running, vm)
	}
}

// endLingering ends the requests that cannot run any more.
func (s *State) endLingering() {
	s.lingering = slices.DeleteFunc(s.lingering, func(l linger) bool {
		if l.until > s.now {
			return false
		}
		s.leaveVM(l.vm, 0)
		return true
	})
}
