package observe

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestLaterIncarnationWins applies random, lagging and contradictory readings,
// leaving reports, reboots and moves. After each step, the newest incarnation must
// be known, a leaving or rebooted incarnation must not be ready, and each ready VM
// must count in exactly one pool.
func TestLaterIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		newest := map[vocab.VMID]vocab.VMIncarnation{}
		leaving := map[vocab.VMID]vocab.VMIncarnation{}
		rebooted := map[vocab.VMID]vocab.VMIncarnation{}
		name := rapid.Custom(func(t *rapid.T) vocab.VMID {
			return vocab.VMID(fmt.Sprint("vm", rapid.IntRange(1, 3).Draw(t, "vm")))
		})
		version := uint64(10)
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				version += uint64(rapid.IntRange(0, 2).Draw(t, "step"))
				r := Row{
					Name: name.Draw(t, "name"), Pool: rapid.SampledFrom([]vocab.PoolID{"a", "b"}).Draw(t, "pool"),
					Incarnation: vocab.VMIncarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")), Phase: ListLive,
				}
				newest[r.Name] = max(newest[r.Name], r.Incarnation)
				s.ApplyListing(0, version, []Row{r})
			},
			"old list": func(*rapid.T) {
				before := len(s.Ready("a")) + len(s.Ready("b"))
				s.ApplyListing(0, version-1, nil)
				if len(s.Ready("a"))+len(s.Ready("b")) != before {
					t.Fatal("an old reading was applied")
				}
			},
			"leaving": func(t *rapid.T) {
				vm := name.Draw(t, "name")
				inc := vocab.VMIncarnation(rapid.IntRange(1, 4).Draw(t, "incarnation"))
				if s.MarkLeaving(vm, inc) {
					leaving[vm] = inc
				}
			},
			"reboot": func(t *rapid.T) {
				vm := name.Draw(t, "name")
				rebooted[vm] = newest[vm]
				s.SetMaintenance(vm, Maintenance{Stage: MaintenanceRebooting, Incarnation: newest[vm]})
			},
			"move": func(t *rapid.T) {
				vm := name.Draw(t, "name")
				pool := rapid.SampledFrom([]vocab.PoolID{"", "a", "b"}).Draw(t, "pool")
				s.SetAssignment(vm, Assignment{Known: true, Pool: pool})
				if pool != "" {
					delete(leaving, vm)
				}
			},
			"": func(t *rapid.T) {
				count := map[vocab.VMID]int{}
				for _, pool := range []vocab.PoolID{"", "a", "b"} {
					for _, vm := range s.Ready(pool) {
						count[vm.Name]++
						if vm.Pool != pool || pool == "" || count[vm.Name] > 1 {
							t.Fatalf("%s is ready in %q, but belongs to another pool or is ready twice", vm.Name, pool)
						}
					}
				}
				for vm, inc := range newest {
					got := s.Get(vm)
					if got.Incarnation != inc {
						t.Fatalf("the newest listed incarnation of %s is %d, but the state has %d", vm, inc, got.Incarnation)
					}
					if got.Phase == PhaseReady && leaving[vm] == inc {
						t.Fatalf("%s is ready although incarnation %d is leaving", vm, inc)
					}
					if got.Phase == PhaseReady && rebooted[vm] >= inc {
						t.Fatalf("%s is ready although incarnation %d was ordered to reboot", vm, inc)
					}
				}
			},
		})
	})
}

// TestPhaseFollowsHealthAndList checks how probes, leaving reports and a missing
// row in the VM list change the phase of a VM.
func TestPhaseFollowsHealthAndList(t *testing.T) {
	g := NewWithT(t)
	s := New()
	row := Row{Name: "vm1", Incarnation: 1, Pool: "a", Phase: ListLive}
	s.ApplyListing(0, 1, []Row{row})
	phase := func() Phase { return s.Get("vm1").Phase }
	s.MarkUnresponsive("vm1", 1)
	g.Expect(phase()).To(Equal(PhaseUnknown))
	s.MarkHealthy(1, "vm1", 1)
	g.Expect(phase()).To(Equal(PhaseReady))
	s.MarkLeaving("vm1", 1)
	s.MarkHealthy(2, "vm1", 1)
	g.Expect(phase()).To(Equal(PhaseDraining), "a probe may arrive after the leaving report but be older")
	s.MarkHealthy(vocab.Instant(leavingHold)+1, "vm1", 1)
	g.Expect(phase()).To(Equal(PhaseReady))
	reportedAt := vocab.Instant(time.Hour)
	s.ExpireLeavingReports(reportedAt)
	s.MarkLeaving("vm1", 1)
	s.ExpireLeavingReports(reportedAt.Add(leavingConfirmTimeout - 1))
	g.Expect(phase()).To(Equal(PhaseDraining), "the VM list may lag")
	s.ExpireLeavingReports(reportedAt.Add(leavingConfirmTimeout))
	g.Expect(phase()).To(Equal(PhaseReady), "the VM list did not confirm the leaving report")
	s.ApplyListing(3, 2, nil)
	g.Expect(phase()).To(Equal(PhaseLost))
}

// TestLeavingReportBeforeListing delivers a leaving report by gossip to a process that has
// not read the VM list yet, as after a restart. The list lags and still shows the VM as
// live: the VM must not become ready.
func TestLeavingReportBeforeListing(t *testing.T) {
	g := NewWithT(t)
	row := func(incarnation vocab.VMIncarnation) []Row {
		return []Row{{Name: "vm1", Pool: "a", Incarnation: incarnation, Phase: ListLive}}
	}

	s := New()
	s.MarkLeaving("vm1", 2)
	s.ApplyListing(0, 1, row(1))
	g.Expect(s.Ready("a")).To(HaveLen(1), "the report concerns a later incarnation")
	s.ApplyListing(0, 2, row(2))
	g.Expect(s.Ready("a")).To(BeEmpty(), "the incarnation is leaving")
	s.ApplyListing(0, 3, row(3))
	g.Expect(s.Ready("a")).To(HaveLen(1), "the next incarnation is not leaving")

	s = New()
	s.MarkLeaving("vm1", 1)
	expired := vocab.Instant(0).Add(leavingConfirmTimeout)
	s.ExpireLeavingReports(expired)
	s.ApplyListing(expired, 1, row(1))
	g.Expect(s.Ready("a")).To(HaveLen(1), "the report has expired")
}
