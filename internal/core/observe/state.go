package observe

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxFailedProbes is the number of consecutive failed probes after which a VM is
// no longer ready.
const maxFailedProbes = 3

// leavingHold is the time for which a leaving report of an upstream takes
// precedence over healthy probes received after it. Those may have been sent
// before the report and have arrived out of order.
const leavingHold = 60 * time.Second

// leavingConfirmTimeout is the time for which a leaving report of an upstream is valid
// while the VM list still shows the VM as live. It exceeds the lag of the list. Without
// it, a VM that reported to be leaving and then stayed would never be ready again.
const leavingConfirmTimeout = 2 * time.Minute

// State holds what this process knows about all VMs. It is local: the states of
// processes that read the VM list at different times differ.
type State struct {
	now          vocab.Instant
	version      uint64 // version of the newest reading of the VM list
	observations map[vocab.VMID]*observation
	names        []vocab.VMID // sorted
	// earlyReports holds the leaving reports about incarnations that the VM list did not
	// show yet when the report arrived.
	earlyReports map[vocab.VMID]earlyReport
	ready        map[vocab.PoolID][]*VM
	readyStale   bool // ready must be rebuilt
	// generation grows each time ready is rebuilt.
	generation uint64
}

// earlyReport is a leaving report about an incarnation that is not known yet.
type earlyReport struct {
	incarnation vocab.VMIncarnation
	receivedAt  vocab.Instant
}

// New returns a State without VMs.
func New() *State {
	return &State{observations: map[vocab.VMID]*observation{}, earlyReports: map[vocab.VMID]earlyReport{}}
}

// ApplyListing applies one full reading of the VM list. It ignores a reading with
// a lower version than the newest one, and a row with an earlier incarnation than
// the known one. A known VM that is not in the reading is lost.
func (s *State) ApplyListing(now vocab.Instant, version uint64, rows []Row) {
	s.advanceClock(now)
	if version < s.version {
		return
	}
	s.version = version
	listedNames := make(map[vocab.VMID]bool, len(rows))
	for _, r := range rows {
		listedNames[r.Name] = true
		s.applyRow(r)
	}
	for _, name := range s.names {
		o := s.observations[name]
		o.inList = o.inList && listedNames[name]
		s.updatePhase(o)
	}
}

// applyRow applies one row unless its incarnation is earlier than the known one.
func (s *State) applyRow(r Row) {
	o := s.observationOf(r.Name)
	if r.Incarnation < o.vm.Incarnation {
		return
	}
	if r.Incarnation > o.vm.Incarnation {
		o.resetForNewIncarnation()
	}
	if o.listed.Phase == ListLeaving && r.Phase == ListLive {
		o.leavingIncarnation = 0 // the platform has cancelled the stop of the VM
	}
	o.listed = r
	o.inList = true
	o.vm.Incarnation = r.Incarnation
	o.vm.Region, o.vm.Zone, o.vm.Rack, o.vm.Address = r.Region, r.Zone, r.Rack, r.Address
	s.applyEarlyReport(o)
}

// applyEarlyReport applies a leaving report that arrived before the VM list showed the
// incarnation.
func (s *State) applyEarlyReport(o *observation) {
	early, found := s.earlyReports[o.vm.Name]
	if !found || early.incarnation > o.vm.Incarnation {
		return
	}
	delete(s.earlyReports, o.vm.Name)
	if early.incarnation == o.vm.Incarnation {
		o.leavingIncarnation, o.leavingReportedAt = early.incarnation, early.receivedAt
	}
}

// MarkLeaving records that the upstream on this incarnation of the VM reported to
// be leaving. It returns false if that is known already, or if this is not the
// current incarnation of a known VM. A report about an incarnation that the VM list
// does not show yet takes effect once it does.
func (s *State) MarkLeaving(vm vocab.VMID, incarnation vocab.VMIncarnation) bool {
	o, ok := s.observations[vm]
	if !ok || incarnation > o.vm.Incarnation {
		if incarnation >= s.earlyReports[vm].incarnation {
			s.earlyReports[vm] = earlyReport{incarnation, s.now}
		}
		return false
	}
	if incarnation != o.vm.Incarnation || o.leavingIncarnation == incarnation {
		return false
	}
	o.leavingIncarnation = incarnation
	o.leavingReportedAt = s.now
	s.updatePhase(o)
	return true
}

// ExpireLeavingReports clears the leaving reports that the VM list has not confirmed
// within leavingConfirmTimeout. Callers call it about once a second.
func (s *State) ExpireLeavingReports(now vocab.Instant) {
	s.advanceClock(now)
	maps.DeleteFunc(s.earlyReports, func(_ vocab.VMID, r earlyReport) bool {
		return s.now.Sub(r.receivedAt) >= leavingConfirmTimeout
	})
	for _, name := range s.names {
		o := s.observations[name]
		if o.leavingIncarnation == 0 || o.listed.Phase != ListLive || s.now.Sub(o.leavingReportedAt) < leavingConfirmTimeout {
			continue
		}
		o.leavingIncarnation = 0
		s.updatePhase(o)
	}
}

// MarkHealthy records a successful probe of this incarnation. It resets the
// failed probes and the unresponsive state, and clears a leaving report that is
// older than leavingHold.
func (s *State) MarkHealthy(now vocab.Instant, vm vocab.VMID, incarnation vocab.VMIncarnation) {
	s.advanceClock(now)
	o, ok := s.observations[vm]
	if !ok || incarnation != o.vm.Incarnation {
		return
	}
	o.failedProbes = 0
	o.unresponsive = false
	if s.now.Sub(o.leavingReportedAt) >= leavingHold {
		o.leavingIncarnation = 0
	}
	s.updatePhase(o)
}

// MarkProbeFailed records that a probe of this incarnation failed.
func (s *State) MarkProbeFailed(vm vocab.VMID, incarnation vocab.VMIncarnation) {
	if o, ok := s.observations[vm]; ok && incarnation == o.vm.Incarnation {
		o.failedProbes++
		s.updatePhase(o)
	}
}

// MarkUnresponsive records that connections to this incarnation got no response. The VM
// is not ready again until a probe succeeds.
func (s *State) MarkUnresponsive(vm vocab.VMID, incarnation vocab.VMIncarnation) {
	if o, ok := s.observations[vm]; ok && incarnation == o.vm.Incarnation {
		o.unresponsive = true
		s.updatePhase(o)
	}
}

// SetAssignment sets the VM's pool according to the maintenance ledger. Joining a
// pool clears a leaving report, since that was part of the move.
func (s *State) SetAssignment(vm vocab.VMID, a Assignment) {
	o := s.observationOf(vm)
	if o.assignment == a {
		return
	}
	o.assignment = a
	if a.Pool != "" {
		o.leavingIncarnation = 0
	}
	s.updatePhase(o)
}

// SetMaintenance sets the VM's maintenance according to the maintenance ledger.
func (s *State) SetMaintenance(vm vocab.VMID, u Maintenance) {
	o := s.observationOf(vm)
	if o.maintenance == u {
		return
	}
	o.maintenance = u
	s.updatePhase(o)
}

// Get returns the state of a VM, or nil if the VM is not known. Callers must not
// change the result.
func (s *State) Get(vm vocab.VMID) *VM {
	if o, ok := s.observations[vm]; ok {
		return &o.vm
	}
	return nil
}

// Version returns the version of the newest reading of the VM list.
func (s *State) Version() uint64 {
	return s.version
}

// Listed returns the newest accepted row of the VM list for the VM, and whether
// the newest reading still has the VM.
func (s *State) Listed(vm vocab.VMID) (Row, bool) {
	if o, ok := s.observations[vm]; ok {
		return o.listed, o.inList
	}
	return Row{}, false
}

// All returns all known VMs, sorted by name.
func (s *State) All() []*VM {
	all := make([]*VM, 0, len(s.names))
	for _, name := range s.names {
		all = append(all, &s.observations[name].vm)
	}
	return all
}

// Ready returns the ready VMs of the pool, sorted by name. Callers must not change
// the slice; it is valid until the next change of the State.
func (s *State) Ready(pool vocab.PoolID) []*VM {
	if s.readyStale {
		s.buildReady()
	}
	return s.ready[pool]
}

// Generation returns a number that grows each time the results of Ready are
// rebuilt. Callers can compare it to detect a change of the results. It does not
// account for changes since the last call of Ready.
func (s *State) Generation() uint64 {
	return s.generation
}

// buildReady rebuilds the ready VMs of each pool.
func (s *State) buildReady() {
	s.ready = map[vocab.PoolID][]*VM{}
	for _, name := range s.names {
		vm := &s.observations[name].vm
		if vm.Phase == PhaseReady {
			s.ready[vm.Pool] = append(s.ready[vm.Pool], vm)
		}
	}
	s.readyStale = false
	s.generation++
}

// advanceClock sets the time unless it is earlier than the latest one.
func (s *State) advanceClock(now vocab.Instant) {
	s.now = max(s.now, now)
}

// observationOf returns the observation of a VM and adds an empty one if the VM is
// not known yet.
func (s *State) observationOf(name vocab.VMID) *observation {
	if o, ok := s.observations[name]; ok {
		return o
	}
	o := &observation{vm: VM{Name: name}}
	s.observations[name] = o
	index, _ := slices.BinarySearch(s.names, name)
	s.names = slices.Insert(s.names, index, name)
	return o
}

// updatePhase derives the pool and phase of a VM again.
func (s *State) updatePhase(o *observation) {
	pool, phase := o.poolAndPhase()
	if pool == o.vm.Pool && phase == o.vm.Phase {
		return
	}
	o.vm.Pool, o.vm.Phase = pool, phase
	s.readyStale = true
}
