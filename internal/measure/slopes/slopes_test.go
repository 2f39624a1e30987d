package slopes

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core"
)

func TestFitFindsExactLine(t *testing.T) {
	g := NewWithT(t)
	s := Slope{Points: []Point{{1, 5}, {2, 7}, {3, 9}, {10, 23}}, DesignSize: 100}
	f := s.Fit()
	g.Expect(f.Intercept).To(BeNumerically("~", 3, 1e-9))
	g.Expect(f.PerUnit).To(BeNumerically("~", 2, 1e-9))
	g.Expect(f.R2).To(BeNumerically("~", 1, 1e-9))
	g.Expect(f.AtDesign).To(BeNumerically("~", 203, 1e-9))
	g.Expect(f.AtDesignError).To(BeNumerically("<", 1e-6))
}

// TestFitReturnsStandardErrors uses points that deviate from the line y = x by +1,
// -1, -1 and +1. The expected errors are computed by hand from 2 degrees of freedom,
// a residual sum of squares of 4 and squared deviations of the sizes of 5 in total.
func TestFitReturnsStandardErrors(t *testing.T) {
	g := NewWithT(t)
	s := Slope{Points: []Point{{1, 2}, {2, 1}, {3, 2}, {4, 5}}, DesignSize: 2.5}
	f := s.Fit()
	g.Expect(f.PerUnit).To(BeNumerically("~", 1, 1e-9))
	g.Expect(f.PerUnitError).To(BeNumerically("~", math.Sqrt(2)/math.Sqrt(5), 1e-9))
	g.Expect(f.AtDesignError).To(BeNumerically("~", math.Sqrt(2)*math.Sqrt(1.25), 1e-9))
	g.Expect(Slope{Points: []Point{{1, 2}, {2, 1}}}.Fit().PerUnitError).To(BeNumerically("==", math.Inf(1)))
}

// TestEncodedSizesAreLinear checks that the encoded sizes that the page extrapolates
// grow linearly, and that they are the same in every run.
func TestEncodedSizesAreLinear(t *testing.T) {
	g := NewWithT(t)
	first := EncodedSizes()
	g.Expect(EncodedSizes()).To(Equal(first))
	for _, s := range first {
		f := s.Fit()
		g.Expect(len(s.Points)).To(BeNumerically(">=", 4), s.Name)
		g.Expect(f.R2).To(BeNumerically(">", 0.999), s.Name)
		g.Expect(f.AtDesignError).To(BeNumerically("<=", 0.01*f.AtDesign), s.Name)
		g.Expect(s.Points[0].Value).To(BeNumerically(">", 0), s.Name)
	}
}

// TestReducerHasTheDesignSize guards against measuring a reducer that has rejected
// its records or VM list: such a reducer would be nearly empty and so too cheap.
func TestReducerHasTheDesignSize(t *testing.T) {
	g := NewWithT(t)
	d := designSize().newDriver()
	g.Expect(d.state.Dump().VMs).To(HaveLen(designVMs))
	g.Expect(d.state.Dump().Keys).To(HaveLen(designTeams))
	g.Expect(d.state.Dump().Members).To(HaveLen(designNodes))
	g.Expect(d.state.Dump().NotReady).To(BeEmpty())
	for range designTeams {
		d.sendRequest()
	}
	g.Expect(d.attempts).NotTo(BeEmpty())
	end := d.now.Add(time.Second)
	for d.now.Before(end) {
		d.tick()
	}
	g.Expect(len(d.state.DemandReports())).To(BeNumerically(">=", designTeams/2))
	g.Expect(core.TickInterval).To(Equal(100 * time.Millisecond))
}

func TestTaskOwnerControllerOwnsStartedTasks(t *testing.T) {
	g := NewWithT(t)
	status := taskOwnerController(runningTasks(100)).Status()
	g.Expect(status.Started).To(Equal(100))
	g.Expect(status.Owner.Epoch).To(BeEquivalentTo(1))
}

func TestHeartbeatsDoNotTimeOutWithUpToEightNodes(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{3, 8} {
		g.Expect(simulateGossip(nodes, maxReportedDemands).FalseTimeouts).To(BeZero())
	}
}

// syntheticReport returns a report in which all machine-dependent slopes and those of
// loans and the task owner have the value 1,000 at each size. Only the rate of loan
// messages is 10 a second, which 1,000 bytes of loans can contain.
func syntheticReport() Report {
	r := Report{Slopes: EncodedSizes(), Platform: Exchange{271, 251, 140}, Peer: Exchange{331, 215, 160}, Heartbeats: []HeartbeatResult{{Nodes: 8}}}
	for _, name := range []string{
		"exchange-cpu", "append-cpu", "config-fold", "digest", "restore", "shared-heap", "request", "second-vms",
		"second-teams", "vm-list", "reducer-heap", "waiting-heap", "gossip-cpu", "plan-vms", "plan-pools", "plan-heap",
		"loan-bytes", "loan-bytes-steady", "loan-messages", "loan-cpu", "task-fold", "task-heap", "owner-cpu", "owner-heap", "owner-records", "owner-appends", "urgent-wait",
	} {
		s := Slope{Name: name, Axis: "VMs", Unit: "µs", MachineDependent: true, DesignSize: 1600}
		value := 1000.0
		if name == "loan-messages" {
			value = 10
		}
		for _, n := range vmCounts {
			s.add(n, value)
		}
		r.Slopes = append(r.Slopes, s)
	}
	for _, n := range vmCounts {
		r.Requests.Direct.add(n, float64(n)*100)
		r.Requests.Entry.add(n, float64(n)*200)
	}
	return r
}

// tableRow returns the first table row of the page whose first cell starts with name.
func tableRow(page, name string) string {
	for _, row := range strings.Split(page, "\n") {
		if strings.HasPrefix(row, "| "+name) && strings.Count(row, "|") > 6 {
			return row
		}
	}
	return ""
}

// TestPageMarksRowsOverBudget writes the page from a synthetic report, once with
// loans within the budget and once over it.
func TestPageMarksRowsOverBudget(t *testing.T) {
	g := NewWithT(t)
	r := syntheticReport()
	page, err := r.Page()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page).NotTo(ContainSubstring("<no value>"))
	g.Expect(tableRow(page, "limits")).To(ContainSubstring("within"))
	g.Expect(page).To(ContainSubstring("One request costs a node 100µs"))
	for i, s := range r.Slopes {
		if s.Name == "loan-bytes" {
			r.Slopes[i].Points = []Point{{3, 5000}, {8, 5000}, {16, 5000}, {32, 5000}}
		}
	}
	page, err = r.Page()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tableRow(page, "limits")).To(ContainSubstring("**over**: bytes"))
	g.Expect(page).To(ContainSubstring("- **limits (windows, loans)** (bytes): "))
}

func TestWritePageWritesPlots(t *testing.T) {
	g := NewWithT(t)
	r := syntheticReport()
	dir := t.TempDir()
	g.Expect(r.WritePage(filepath.Join(dir, "CAPACITY.md"))).To(Succeed())
	for _, s := range r.Slopes {
		_, err := os.Stat(filepath.Join(dir, plotDir, s.Name+".svg"))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestPageIsOfThisProgram compares the encoded sizes on docs/CAPACITY.md, which do
// not depend on the machine, with those of this program. After a change of a record
// or message, regenerate the page with sardinehead capacity-page.
func TestPageIsOfThisProgram(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "CAPACITY.md"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, s := range EncodedSizes() {
		g.Expect(tableRow(string(page), "["+s.Name+"]")).To(ContainSubstring(formatPoints(s.Points)), "write the page again")
	}
}

// TestEntryNodeEstimate compares estimates with values computed by hand: 12,800 slots
// with a mean run time of 1 s give 12,800 requests per second, which at 100 µs of
// processor time each take 1.28 cores. 100 ms take 10 times as many, and 10 ms 100
// times.
func TestEntryNodeEstimate(t *testing.T) {
	g := NewWithT(t)
	estimate := syntheticReport().entryNodeEstimate(100 * time.Millisecond)
	g.Expect(estimate.RequestsPerSecond).To(BeNumerically("~", 128_000, 1))
	g.Expect(estimate.NodesByCPU).To(Equal(6))
	g.Expect(estimate.Nodes).To(Equal(8))
	estimate = syntheticReport().entryNodeEstimate(10 * time.Millisecond)
	g.Expect(estimate.NodesByCPU).To(Equal(54))
	g.Expect(estimate.Nodes).To(Equal(62))
}
