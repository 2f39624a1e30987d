package bound

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var midnight = time.Date(2026, 7, 1, 0, 0, 0, 0, time.UTC)

// job returns a job with its times after midnight.
func job(pool string, arrival, objective, took time.Duration, work, value float64) Job {
	return Job{Pool: pool, Arrival: midnight.Add(arrival), Work: work, Value: value, Objective: objective, Took: took}
}

func steadySupply(pool string, cores float64) (list []Supply) {
	for s := range 20 {
		list = append(list, Supply{At: midnight.Add(time.Duration(s) * time.Second), Pool: pool, Cores: cores})
	}
	return list
}

func TestOverloadIsNotServableByAnyPolicy(t *testing.T) {
	g := gomega.NewWithT(t)
	var day Day
	for range 20 {
		day.Jobs = append(day.Jobs, job("a", 0, 2*time.Second, 5*time.Second, 8, 8))
	}
	report := Compute(day, Fleet{Machines: 4, CoresPerMachine: 10})
	g.Expect(report.All.Offered).To(gomega.Equal(160.0))
	g.Expect(report.All.Served).To(gomega.BeZero())
	// 40 cores for 2 s, up to the end of the slot of the deadline.
	g.Expect(report.All.WithFleet).To(gomega.BeNumerically("~", 85, 6))
	g.Expect(report.All.MachineSeconds).To(gomega.BeNumerically("~", 16, 1e-6))
}

func TestTheMostValuableWorkIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	day := Day{Jobs: []Job{
		job("a", 0, time.Second, time.Second, 10, 1), job("b", 0, time.Second, 9*time.Second, 10, 30),
	}}
	report := Compute(day, Fleet{Machines: 1, CoresPerMachine: 8})
	g.Expect(report.Pools[1].WithFleet).To(gomega.BeNumerically("~", 30, 0.1))
	g.Expect(report.Pools[0].WithFleet).To(gomega.BeNumerically("<", 0.5))
	g.Expect(report.Pools[0].Served).To(gomega.Equal(1.0))
	g.Expect(report.Pools[1].Served).To(gomega.BeZero())
}

// TestLossOfSupplyIsToldFromLossOfOrder: pool a had too few machines, pool b had them and was late.
func TestLossOfSupplyIsToldFromLossOfOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	day := Day{Supply: append(steadySupply("a", 1), steadySupply("b", 20)...)}
	for i := range 5 {
		arrival := time.Duration(i) * 2 * time.Second
		day.Jobs = append(day.Jobs, job("a", arrival, 2*time.Second, 6*time.Second, 20, 20), job("b", arrival, 2*time.Second, 6*time.Second, 20, 20))
	}
	report := Compute(day, Fleet{Machines: 3, CoresPerMachine: 10})
	a, b := report.Pools[0], report.Pools[1]
	g.Expect(a.WithFleet).To(gomega.Equal(100.0))
	g.Expect(a.WithSupply).To(gomega.BeNumerically("<", 15))
	g.Expect(b.WithSupply).To(gomega.Equal(100.0))
	g.Expect(b.Served).To(gomega.BeZero())
	g.Expect(report.String()).To(gomega.ContainSubstring("all"))
}

func TestJobWithoutTimeForItsChainIsNotServable(t *testing.T) {
	g := gomega.NewWithT(t)
	late := job("a", 0, time.Second, 2*time.Second, 1, 1)
	late.Chain = 1500 * time.Millisecond
	g.Expect(Compute(Day{Jobs: []Job{late}}, Fleet{Machines: 9, CoresPerMachine: 9}).All.WithFleet).To(gomega.BeZero())
	g.Expect(Compute(Day{}, Fleet{Machines: 9, CoresPerMachine: 9}).Pools).To(gomega.BeEmpty())
}

func TestReadTakesCompletedJobsAndSupply(t *testing.T) {
	g := gomega.NewWithT(t)
	finished := `{"time":"2026-07-01T00:00:05Z","event":613,"job":"j1","state":%q,"ms":2000,"pool":"a","core_s":4.5,"value":6,"chain_ms":900,"objective_ms":2500}`
	text := strings.Join([]string{
		"  5.0 node-1 " + fmt.Sprintf(finished, "d"), fmt.Sprintf(finished, "d"),
		strings.ReplaceAll(fmt.Sprintf(finished, "x"), "j1", "j2"),
		`{"time":"2026-07-01T00:00:06Z","event":624,"pool":"a","machines":4,"usable":2,"room":64000,"lasting":2000}`,
		`{"time":"2026-07-01T00:00:06Z","event":632,"machines":49,"state":3}`, "not a line of the log",
	}, "\n")
	day, err := Read(strings.NewReader(text))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(day.Jobs).To(gomega.Equal([]Job{{
		ID: "j1", Pool: "a", Arrival: midnight.Add(3 * time.Second), Work: 4.5, Value: 6,
		Chain: 900 * time.Millisecond, Objective: 2500 * time.Millisecond, Took: 2 * time.Second,
	}}))
	g.Expect(day.Supply).To(gomega.Equal([]Supply{{At: midnight.Add(6 * time.Second), Pool: "a", Cores: 30}}))
	_, err = Read(strings.NewReader(`{"event":613,"job":5}`))
	g.Expect(err).To(gomega.HaveOccurred())
}
