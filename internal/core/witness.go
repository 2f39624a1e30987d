package core

import (
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// idleVMs returns the VMs that certainly run nothing for any member.
func (s *State) idleVMs() []vocab.VMID {
	if len(s.Shared().Members) != 1 {
		return nil
	}
	var out []vocab.VMID
	for _, vm := range s.vms.All() {
		if s.limits.InUse(vmAccount(vm)) == 0 {
			out = append(out, vm.Name)
		}
	}
	return out
}

// suspects returns the nodes that are suspected to have failed.
func (s *State) suspects() []vocab.NodeID {
	return nil
}
