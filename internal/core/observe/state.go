package observe

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxFailedProbes is the number of failed probes in a row that puts a VM in doubt.
const maxFailedProbes = 3

// leavingSignLife is how long an upstream's word that it is leaving outranks
// its later healthy answers. It covers answers that overtake each other.
const leavingSignLife = 60 * time.Second

// leavingSignTrust is how long an upstream's word that it is leaving stands
// while the VM list goes on to call the VM live. It is longer than the list
// lags. Without it a VM that took its word back would be lost for good.
const leavingSignTrust = 2 * time.Minute

// State is what this process knows of all VMs. It is local state: processes
// that read the list at different times differ.
type State struct {
	now     vocab.Instant
	version uint64
	byName  map[vocab.VMID]*facts
	names   []vocab.VMID // sorted
	ready   map[vocab.PoolID][]*VM
	stale   bool // ready must be built again
	// generation grows each time ready is built.
	generation uint64
}

// New returns a State that knows no VM.
func New() *State {
	return &State{byName: map[vocab.VMID]*facts{}}
}

// ApplyListing folds one full reading of the VM list. A reading older than one
// already folded is ignored, and so is a row with an earlier incarnation than
// one already seen. A known VM that the reading lacks is lost.
func (s *State) ApplyListing(now vocab.Instant, version uint64, rows []Row) {
	s.advance(now)
	if version < s.version {
		return
	}
	s.version = version
	inList := make(map[vocab.VMID]bool, len(rows))
	for _, r := range rows {
		inList[r.Name] = true
		s.applyRow(r)
	}
	for _, name := range s.names {
		f := s.byName[name]
		f.present = f.present && inList[name]
		s.update(f)
	}
}

func (s *State) applyRow(r Row) {
	f := s.fact(r.Name)
	if r.Incarnation < f.vm.Incarnation {
		return
	}
	if r.Incarnation > f.vm.Incarnation {
		f.resetSigns()
	}
	if f.listed.Phase == ListLeaving && r.Phase == ListLive {
		f.leaving = 0 // the platform took the VM's leaving back
	}
	f.listed = r
	f.present = true
	f.vm.Incarnation = r.Incarnation
	f.vm.Region, f.vm.Zone, f.vm.Rack, f.vm.Address = r.Region, r.Zone, r.Rack, r.Address
}

// MarkLeaving records that this incarnation of the VM itself said it is
// leaving. It reports whether that was news.
func (s *State) MarkLeaving(vm vocab.VMID, incarnation vocab.VMIncarnation) bool {
	f, ok := s.byName[vm]
	if !ok || incarnation != f.vm.Incarnation || f.leaving == incarnation {
		return false
	}
	f.leaving = incarnation
	f.leavingAt = s.now
	s.update(f)
	return true
}

// DropOldSigns ends the signs of leaving that the VM list has not confirmed in
// leavingSignTrust. It is called every second or so.
func (s *State) DropOldSigns(now vocab.Instant) {
	s.advance(now)
	for _, name := range s.names {
		f := s.byName[name]
		if f.leaving == 0 || f.listed.Phase != ListLive || s.now.Sub(f.leavingAt) < leavingSignTrust {
			continue
		}
		f.leaving = 0
		s.update(f)
	}
}

// MarkHealthy records that this incarnation answered a probe well. It ends all
// doubt about its health and an old sign of its leaving.
func (s *State) MarkHealthy(now vocab.Instant, vm vocab.VMID, incarnation vocab.VMIncarnation) {
	s.advance(now)
	f, ok := s.byName[vm]
	if !ok || incarnation != f.vm.Incarnation {
		return
	}
	f.failedProbes = 0
	f.silent = false
	if s.now.Sub(f.leavingAt) >= leavingSignLife {
		f.leaving = 0
	}
	s.update(f)
}

// MarkProbeFailed records that a probe of this incarnation failed.
func (s *State) MarkProbeFailed(vm vocab.VMID, incarnation vocab.VMIncarnation) {
	if f, ok := s.byName[vm]; ok && incarnation == f.vm.Incarnation {
		f.failedProbes++
		s.update(f)
	}
}

// MarkSilent records that connections to this incarnation gave no answer. Only
// a healthy probe ends the doubt.
func (s *State) MarkSilent(vm vocab.VMID, incarnation vocab.VMIncarnation) {
	if f, ok := s.byName[vm]; ok && incarnation == f.vm.Incarnation {
		f.silent = true
		s.update(f)
	}
}

// SetAssignment records the ledger's word on the VM's pool. Joining a pool ends
// a sign of leaving, which belonged to the move.
func (s *State) SetAssignment(vm vocab.VMID, a Assignment) {
	f := s.fact(vm)
	if f.assignment == a {
		return
	}
	f.assignment = a
	if a.Pool != "" {
		f.leaving = 0
	}
	s.update(f)
}

// SetUpkeep records the ledger's word on the VM's maintenance.
func (s *State) SetUpkeep(vm vocab.VMID, u Upkeep) {
	f := s.fact(vm)
	if f.upkeep == u {
		return
	}
	f.upkeep = u
	s.update(f)
}

// Get returns what is known of a VM, or nil. Callers must not change the result.
func (s *State) Get(vm vocab.VMID) *VM {
	if f, ok := s.byName[vm]; ok {
		return &f.vm
	}
	return nil
}

// Version returns the version of the newest reading of the VM list.
func (s *State) Version() uint64 {
	return s.version
}

// Listed returns the newest row of the VM list that was believed, and whether
// the newest reading still has the VM.
func (s *State) Listed(vm vocab.VMID) (Row, bool) {
	if f, ok := s.byName[vm]; ok {
		return f.listed, f.present
	}
	return Row{}, false
}

// All returns every VM in the order of their names.
func (s *State) All() []*VM {
	all := make([]*VM, 0, len(s.names))
	for _, name := range s.names {
		all = append(all, &s.byName[name].vm)
	}
	return all
}

// Ready returns the pool's ready VMs in the order of their names. Callers must
// not change the slice; it is valid until the next change of the State.
func (s *State) Ready(pool vocab.PoolID) []*VM {
	if s.stale {
		s.index()
	}
	return s.ready[pool]
}

// Generation returns a number that grows whenever a result of Ready changes. It
// holds for the results returned since the last change.
func (s *State) Generation() uint64 {
	return s.generation
}

func (s *State) index() {
	s.ready = map[vocab.PoolID][]*VM{}
	for _, name := range s.names {
		vm := &s.byName[name].vm
		if vm.Phase == PhaseReady {
			s.ready[vm.Pool] = append(s.ready[vm.Pool], vm)
		}
	}
	s.stale = false
	s.generation++
}

func (s *State) advance(now vocab.Instant) {
	s.now = max(s.now, now)
}

func (s *State) fact(name vocab.VMID) *facts {
	if f, ok := s.byName[name]; ok {
		return f
	}
	f := &facts{vm: VM{Name: name}}
	s.byName[name] = f
	at, _ := slices.BinarySearch(s.names, name)
	s.names = slices.Insert(s.names, at, name)
	return f
}

func (s *State) update(f *facts) {
	pool, phase := f.conclude()
	if pool == f.vm.Pool && phase == f.vm.Phase {
		return
	}
	f.vm.Pool, f.vm.Phase = pool, phase
	s.stale = true
}
