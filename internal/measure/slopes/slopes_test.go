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

func TestFitFindsAKnownLine(t *testing.T) {
	g := NewWithT(t)
	s := Slope{Points: []Point{{1, 5}, {2, 7}, {3, 9}, {10, 23}}, Design: 100}
	f := s.Fit()
	g.Expect(f.Fixed).To(BeNumerically("~", 3, 1e-9))
	g.Expect(f.Each).To(BeNumerically("~", 2, 1e-9))
	g.Expect(f.R2).To(BeNumerically("~", 1, 1e-9))
	g.Expect(f.AtDesign).To(BeNumerically("~", 203, 1e-9))
	g.Expect(f.AtDesignError).To(BeNumerically("<", 1e-6))
}

// TestFitShowsItsError uses points off the line y = x by +1, -1, -1 and +1, for
// which the errors follow by hand: 2 degrees of freedom, squares of 4, and a
// spread of the sizes of 5.
func TestFitShowsItsError(t *testing.T) {
	g := NewWithT(t)
	s := Slope{Points: []Point{{1, 2}, {2, 1}, {3, 2}, {4, 5}}, Design: 2.5}
	f := s.Fit()
	g.Expect(f.Each).To(BeNumerically("~", 1, 1e-9))
	g.Expect(f.EachError).To(BeNumerically("~", math.Sqrt(2)/math.Sqrt(5), 1e-9))
	g.Expect(f.AtDesignError).To(BeNumerically("~", math.Sqrt(2)*math.Sqrt(1.25), 1e-9))
	g.Expect(Slope{Points: []Point{{1, 2}, {2, 1}}}.Fit().EachError).To(BeNumerically("==", math.Inf(1)))
}

// TestBytesGrowInStraightLines holds the bytes that the page extrapolates to
// lines, and finds them equal in every run.
func TestBytesGrowInStraightLines(t *testing.T) {
	g := NewWithT(t)
	first := Bytes()
	g.Expect(Bytes()).To(Equal(first))
	for _, s := range first {
		f := s.Fit()
		g.Expect(len(s.Points)).To(BeNumerically(">=", 4), s.Name)
		g.Expect(f.R2).To(BeNumerically(">", 0.999), s.Name)
		g.Expect(f.AtDesignError).To(BeNumerically("<=", 0.01*f.AtDesign), s.Name)
		g.Expect(s.Points[0].Value).To(BeNumerically(">", 0), s.Name)
	}
}

// TestStateIsOfTheDesignSize guards the slopes against a reducer that refused
// what it was given.
func TestStateIsOfTheDesignSize(t *testing.T) {
	g := NewWithT(t)
	d := design().driver()
	g.Expect(d.state.Dump().VMs).To(HaveLen(designVMs))
	g.Expect(d.state.Dump().Keys).To(HaveLen(designTeams))
	g.Expect(d.state.Dump().Members).To(HaveLen(designNodes))
	g.Expect(d.state.Dump().NotReady).To(BeEmpty())
	for range designTeams {
		d.request()
	}
	g.Expect(d.attempts).NotTo(BeEmpty())
	ahead := d.now.Add(time.Second)
	for d.now.Before(ahead) {
		d.tick()
	}
	g.Expect(len(d.state.ShareReports())).To(BeNumerically(">=", designTeams/2))
	g.Expect(core.TickInterval).To(Equal(100 * time.Millisecond))
}

func TestOwnerLooksAfterRunningTasks(t *testing.T) {
	g := NewWithT(t)
	status := ownerOf(runningTasks(100)).Status()
	g.Expect(status.Started).To(Equal(100))
	g.Expect(status.Owner.Epoch).To(BeEquivalentTo(1))
}

func TestLivingNodesOfTodayHearEachOther(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{3, 8} {
		g.Expect(hearingRun(nodes, demandRows).Wrong).To(BeZero())
	}
}

// invented returns a report in which each timed slope is 1,000 everywhere, but
// for 10 messages of loans a second, which 1,000 bytes can hold.
func invented() Report {
	r := Report{Slopes: Bytes(), Platform: Exchange{271, 251, 140}, Peer: Exchange{331, 215, 160}, Hearings: []Hearing{{Nodes: 8}}}
	for _, name := range []string{
		"exchange-cpu", "append-cpu", "config-fold", "digest", "restore", "shared-heap", "request", "second-vms",
		"second-teams", "vm-list", "reducer-heap", "waiting-heap", "gossip-cpu", "plan-vms", "plan-pools", "plan-heap",
		"loan-bytes", "loan-bytes-steady", "loan-messages", "loan-cpu", "task-fold", "task-heap", "owner-cpu", "owner-heap", "owner-records", "owner-appends", "urgent-wait",
	} {
		s := Slope{Name: name, Axis: "VMs", Unit: "µs", Timed: true, Design: 1600}
		value := 1000.0
		if name == "loan-messages" {
			value = 10
		}
		for _, n := range vmSizes {
			s.add(n, value)
		}
		r.Slopes = append(r.Slopes, s)
	}
	for _, n := range vmSizes {
		r.Requests.Direct.add(n, float64(n)*100)
		r.Requests.Entry.add(n, float64(n)*200)
	}
	return r
}

func rowOf(page, name string) string {
	for _, row := range strings.Split(page, "\n") {
		if strings.HasPrefix(row, "| "+name) && strings.Count(row, "|") > 6 {
			return row
		}
	}
	return ""
}

// TestPageMarksRowsOverBudget writes the page from invented figures, once with
// loans within the budget and once beyond it.
func TestPageMarksRowsOverBudget(t *testing.T) {
	g := NewWithT(t)
	r := invented()
	page, err := r.Page()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page).NotTo(ContainSubstring("<no value>"))
	g.Expect(rowOf(page, "limits")).To(ContainSubstring("within"))
	g.Expect(page).To(ContainSubstring("One request costs a node 100µs"))
	for i, s := range r.Slopes {
		if s.Name == "loan-bytes" {
			r.Slopes[i].Points = []Point{{3, 5000}, {8, 5000}, {16, 5000}, {32, 5000}}
		}
	}
	page, err = r.Page()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rowOf(page, "limits")).To(ContainSubstring("**over**: bytes"))
	g.Expect(page).To(ContainSubstring("- **limits (windows, loans)** (bytes): "))
}

func TestPageComesWithItsPlots(t *testing.T) {
	g := NewWithT(t)
	r := invented()
	dir := t.TempDir()
	g.Expect(r.WritePage(filepath.Join(dir, "CAPACITY.md"))).To(Succeed())
	for _, s := range r.Slopes {
		_, err := os.Stat(filepath.Join(dir, plotDir, s.Name+".svg"))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestPageIsOfThisProgram compares the bytes on the written page, which do not
// depend on the machine, with those of this program. After a change of a
// record or message, write the page again: sardinehead capacity-page.
func TestPageIsOfThisProgram(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "CAPACITY.md"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, s := range Bytes() {
		g.Expect(rowOf(string(page), "["+s.Name+"]")).To(ContainSubstring(pointsText(s.Points)), "write the page again")
	}
}

// TestNodesForRequests works a need out by hand: 12,800 requests of a second
// at 100 µs are 1.28 cores.
func TestNodesForRequests(t *testing.T) {
	g := NewWithT(t)
	n := invented().entryNeed(100 * time.Millisecond)
	g.Expect(n.Requests).To(BeNumerically("~", 128_000, 1))
	g.Expect(n.ByCost).To(Equal(6))
	g.Expect(n.Nodes).To(Equal(8))
	n = invented().entryNeed(10 * time.Millisecond)
	g.Expect(n.ByCost).To(Equal(54))
	g.Expect(n.Nodes).To(Equal(62))
}
