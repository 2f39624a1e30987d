package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// demandOf is what jobs with the given steps ask for of machines of 16 cores and
// 32 GiB.
func demandOf(limit Resources, steps ...Step) poolDemand {
	s := New(Identity{Node: "a", Incarnation: 1}, Settings{LeaseMost: 6 * time.Second})
	s.now = vocab.Instant(time.Minute)
	s.config = &Config{Version: 1, Teams: []Team{{Name: "t", Limit: limit}}}
	s.config.Index()
	o := newOwner(s, 5)
	o.fleet.ids = []MachineID{"m"}
	o.fleet.machines["m"] = &machine{info: MachineInfo{ID: "m", Room: Resources{CPU: 16000, Memory: 32768}}}
	d := newDemand(o)
	for _, st := range steps {
		e := &Entry{ID: "00000000000000aa", Phase: PhaseQueued, Acceptance: &Acceptance{Team: "t", Spec: Spec{Steps: []Step{st}}}}
		w, _, err := newWork(s.now, e)
		if err != nil {
			panic(err)
		}
		w.extend(0)
		d.add("p", w)
	}
	return d.pools["p"]
}

// TestSpreadTasksAskForAsManyMachines holds a fault of all sites: long-running tasks of
// 2 cores that must be spread asked for one machine after the other, two seconds each.
func TestSpreadTasksAskForAsManyMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	spread := Step{Count: 24, Need: Resources{CPU: 500, Memory: 500}, LongRunning: true, MaxPerWorker: 3}
	g.Expect(demandOf(Resources{}, spread).machines()).To(gomega.Equal(8))
	missable := Step{Count: 24, Need: Resources{CPU: 500, Memory: 500}, LongRunning: true, MayMiss: 4}
	g.Expect(demandOf(Resources{}, missable).machines()).To(gomega.Equal(6))
	g.Expect(demandOf(Resources{}, spread, spread).machines()).To(gomega.Equal(8), "steps share machines")
}

// TestDemandCountsTheScarcestResource: a pool whose memory is short asks for it.
func TestDemandCountsTheScarcestResource(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := Step{Count: 24, Need: Resources{CPU: 100, Memory: 16384}, LongRunning: true}
	g.Expect(demandOf(Resources{}, memory).machines()).To(gomega.Equal(12))
}

// TestWorkThatCannotRunAsksForNothing: tasks that no machine holds, and those beyond
// their team's limit, bring no machines.
func TestWorkThatCannotRunAsksForNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(demandOf(Resources{}, Step{Count: 8, Need: Resources{CPU: 17000}}).waits()).To(gomega.BeFalse())
	step := Step{Count: 100, Need: Resources{CPU: 1000, Memory: 64}}
	g.Expect(demandOf(Resources{CPU: 8000}, step, step).waiting.CPU).To(gomega.BeEquivalentTo(8000))
}
