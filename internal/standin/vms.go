package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// VMs is an in-memory VM list with pools. It implements services.VMList and
// services.Pools.
type VMs struct {
	mu      sync.Mutex
	rows    []services.VM
	changes map[vocab.VMID]uint64 // version of each VM's last change
	epochs  map[vocab.VMID]vocab.Epoch
	version uint64
	changed chan struct{}
	faults  VMFaults
	// OnReboot is called, if set, when a VM is rebooted.
	OnReboot func(vocab.VMID)
}

// VMFaults are the faults that a VMs can show.
type VMFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers makes the next orders succeed but answer ErrUnavailable.
	LoseAnswers int
	// Frozen makes the list show no change.
	Frozen bool
}

// NewVMs returns a list of the given VMs.
func NewVMs(rows []services.VM) *VMs {
	return &VMs{
		rows:    append([]services.VM(nil), rows...),
		changes: map[vocab.VMID]uint64{},
		epochs:  map[vocab.VMID]vocab.Epoch{},
		version: 1,
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (v *VMs) SetFaults(f VMFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// SetPhase changes what the list says of a VM.
func (v *VMs) SetPhase(vm vocab.VMID, phase services.VMPhase) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if row := v.row(vm); row != nil {
		row.Phase = phase
		v.bump(vm)
	}
}

// Put adds a VM or replaces the one of the same name.
func (v *VMs) Put(vm services.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if row := v.row(vm.Name); row != nil {
		*row = vm
	} else {
		v.rows = append(v.rows, vm)
	}
	v.bump(vm.Name)
}

func (v *VMs) row(name vocab.VMID) *services.VM {
	for i := range v.rows {
		if v.rows[i].Name == name {
			return &v.rows[i]
		}
	}
	return nil
}

// bump makes a change of a VM visible, unless the list is frozen.
func (v *VMs) bump(vm vocab.VMID) {
	if v.faults.Frozen {
		return
	}
	v.version++
	v.changes[vm] = v.version
	close(v.changed)
	v.changed = make(chan struct{})
}

// List implements services.VMList.
func (v *VMs) List(ctx context.Context, since uint64, wait time.Duration) (services.VMListing, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		listing, changed, err := v.listNow(since)
		if err != nil || listing.Version != since {
			return listing, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return listing, nil
		case <-ctx.Done():
			return services.VMListing{}, errors.Mark(ctx.Err(), services.ErrUnavailable)
		}
	}
}

func (v *VMs) listNow(since uint64) (services.VMListing, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faults.Down {
		return services.VMListing{}, nil, errors.Wrap(services.ErrUnavailable, "VM list down")
	}
	listing := services.VMListing{Version: v.version, Full: since == 0 || since > v.version}
	for _, row := range v.rows {
		if listing.Full || v.changes[row.Name] > since {
			listing.VMs = append(listing.VMs, row)
		}
	}
	return listing, v.changed, nil
}

// Drain implements services.Pools.
func (v *VMs) Drain(ctx context.Context, order services.VMOrder) error {
	return v.order(ctx, order, func(row *services.VM) { row.Phase = services.VMLeaving })
}

// Reboot implements services.Pools.
func (v *VMs) Reboot(ctx context.Context, order services.VMOrder) error {
	return v.order(ctx, order, func(row *services.VM) {
		row.Incarnation++
		row.Phase = services.VMLive
		if v.OnReboot != nil {
			v.OnReboot(row.Name)
		}
	})
}

// Assign implements services.Pools.
func (v *VMs) Assign(ctx context.Context, order services.VMOrder, pool vocab.PoolID) error {
	return v.order(ctx, order, func(row *services.VM) { row.Pool = pool })
}

func (v *VMs) order(_ context.Context, order services.VMOrder, change func(*services.VM)) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faults.Down {
		return errors.Wrap(services.ErrUnavailable, "pools down")
	}
	if order.Epoch < v.epochs[order.VM] {
		return errors.Wrapf(services.ErrStaleEpoch, "VM %s has seen epoch %d", order.VM, v.epochs[order.VM])
	}
	row := v.row(order.VM)
	if row == nil {
		return errors.Wrapf(services.ErrRejected, "no VM %s", order.VM)
	}
	v.epochs[order.VM] = order.Epoch
	if row.Incarnation == order.Incarnation {
		change(row)
		v.bump(row.Name)
	}
	if v.faults.LoseAnswers > 0 {
		v.faults.LoseAnswers--
		return errors.Wrap(services.ErrUnavailable, "answer lost")
	}
	return nil
}
