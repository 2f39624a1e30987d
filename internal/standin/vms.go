package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// VMs is an in-memory implementation of services.VMList and services.Pools.
// PlatformHandler serves it over HTTP.
type VMs struct {
	mu  sync.Mutex
	vms []services.VM
	// lastChanges is the version of the list in which each VM last changed.
	lastChanges map[vocab.VMID]uint64
	// highestEpochs is the highest epoch of the orders to each VM.
	highestEpochs map[vocab.VMID]vocab.Epoch
	version       uint64
	// changed is closed and replaced with each new version.
	changed chan struct{}
	faults  VMFaults
	// OnReboot, if set, is called when a VM is rebooted. It must not call the
	// methods of the VMs.
	OnReboot func(vocab.VMID)
}

// VMFaults are the faults that can be injected into a VMs.
type VMFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers is the number of next orders that are carried out and still
	// return ErrUnavailable.
	LoseAnswers int
	// Frozen keeps the version of the list, so that readers that have it are
	// sent no change.
	Frozen bool
}

// NewVMs returns a list with the given VMs.
func NewVMs(vms []services.VM) *VMs {
	return &VMs{
		vms:           append([]services.VM(nil), vms...),
		lastChanges:   map[vocab.VMID]uint64{},
		highestEpochs: map[vocab.VMID]vocab.Epoch{},
		version:       1,
		changed:       make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (v *VMs) SetFaults(f VMFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// SetPhase sets the phase of a VM, if the list has it.
func (v *VMs) SetPhase(name vocab.VMID, phase services.VMPhase) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vm := v.find(name); vm != nil {
		vm.Phase = phase
		v.recordChange(name)
	}
}

// Put adds a VM or replaces the one of the same name.
func (v *VMs) Put(vm services.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if listed := v.find(vm.Name); listed != nil {
		*listed = vm
	} else {
		v.vms = append(v.vms, vm)
	}
	v.recordChange(vm.Name)
}

// find returns the VM with a name, or nil. The caller holds v.mu.
func (v *VMs) find(name vocab.VMID) *services.VM {
	for i := range v.vms {
		if v.vms[i].Name == name {
			return &v.vms[i]
		}
	}
	return nil
}

// recordChange gives the list its next version, in which a VM has changed, unless
// the list is frozen.
func (v *VMs) recordChange(name vocab.VMID) {
	if v.faults.Frozen {
		return
	}
	v.version++
	v.lastChanges[name] = v.version
	close(v.changed)
	v.changed = make(chan struct{})
}

// List implements services.VMList.
func (v *VMs) List(ctx context.Context, since uint64, wait time.Duration) (services.VMListing, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		listing, changed, err := v.listChanges(since)
		if err != nil || listing.Version != since {
			return listing, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return listing, nil
		case <-ctx.Done():
			return services.VMListing{}, errors.Mark(ctx.Err(), services.ErrUnavailable)
		}
	}
}

// listChanges lists without waiting. It also returns the channel that is closed
// with the next version.
func (v *VMs) listChanges(since uint64) (services.VMListing, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faults.Down {
		return services.VMListing{}, nil, errors.Wrap(services.ErrUnavailable, "VM list down")
	}
	listing := services.VMListing{Version: v.version, Full: since == 0 || since > v.version}
	for _, vm := range v.vms {
		if listing.Full || v.lastChanges[vm.Name] > since {
			listing.VMs = append(listing.VMs, vm)
		}
	}
	return listing, v.changed, nil
}

// Drain implements services.Pools.
func (v *VMs) Drain(ctx context.Context, order services.VMOrder) error {
	return v.carryOut(ctx, order, func(vm *services.VM) { vm.Phase = services.VMLeaving })
}

// Reboot implements services.Pools.
func (v *VMs) Reboot(ctx context.Context, order services.VMOrder) error {
	return v.carryOut(ctx, order, func(vm *services.VM) {
		vm.Incarnation++
		vm.Phase = services.VMLive
		if v.OnReboot != nil {
			v.OnReboot(vm.Name)
		}
	})
}

// Assign implements services.Pools.
func (v *VMs) Assign(ctx context.Context, order services.VMOrder, pool vocab.PoolID) error {
	return v.carryOut(ctx, order, func(vm *services.VM) { vm.Pool = pool })
}

// carryOut applies change to the VM of an order. It returns ErrStaleEpoch if an
// order with a higher epoch came earlier. An order to another incarnation of the VM
// succeeds without effect.
func (v *VMs) carryOut(_ context.Context, order services.VMOrder, change func(*services.VM)) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faults.Down {
		return errors.Wrap(services.ErrUnavailable, "pools down")
	}
	if order.Epoch < v.highestEpochs[order.VM] {
		return errors.Wrapf(services.ErrStaleEpoch, "VM %s has seen epoch %d", order.VM, v.highestEpochs[order.VM])
	}
	vm := v.find(order.VM)
	if vm == nil {
		return errors.Wrapf(services.ErrRejected, "no VM %s", order.VM)
	}
	v.highestEpochs[order.VM] = order.Epoch
	if vm.Incarnation == order.Incarnation {
		change(vm)
		v.recordChange(vm.Name)
	}
	if v.faults.LoseAnswers > 0 {
		v.faults.LoseAnswers--
		return errors.Wrap(services.ErrUnavailable, "answer lost")
	}
	return nil
}
