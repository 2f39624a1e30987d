package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// demandOf is what jobs with the given steps ask for of machines of 16 cores and
// 32 GiB.
func demandOf(limit Resources, steps ...Step) poolDemand {
	o := demandOwner(limit)
	d := newDemand(o)
	for _, st := range steps {
		d.add("p", newJob(o, "00000000000000aa", st))
	}
	return d.pools["p"]
}

// demandOwner is an owner of machines of 16 cores and 32 GiB.
func demandOwner(limit Resources) *owner {
	s := New(Identity{Node: "a", Incarnation: 1}, Settings{LeaseMost: 6 * time.Second})
	s.now = vocab.Instant(time.Minute)
	s.config = &Config{Version: 1, Pools: []Pool{{Name: "p"}}, Teams: []Team{{Name: "t", Limit: limit}}}
	s.config.Index()
	o := newOwner(s, 5)
	o.fleet.ids = []MachineID{"m"}
	o.fleet.machines["m"] = &machine{info: MachineInfo{ID: "m", Room: Resources{CPU: 16000, Memory: 32768}}}
	return o
}

func newJob(o *owner, id ID, steps ...Step) *work {
	w, _, err := newWork(o.s.now, &JobRecord{ID: id, Phase: PhaseQueued, Acceptance: &Acceptance{
		Queue: "q", Pool: "p", Team: "t", At: o.s.wall, Spec: Spec{Steps: steps},
	}})
	if err != nil {
		panic(err)
	}
	w.extend(o.s.wall)
	return w
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

// TestForecastSeesATurnBeforeTheBacklog replays the begin of a turn of foster-place on
// refugio-reservas-grown: twenty jobs a second of two steps of eight tasks of 1.3 s and
// 8.8 cores. They keep 114 machines of 32 cores busy, of which the first steps that wait
// after half a second show a third.
func TestForecastSeesATurnBeforeTheBacklog(t *testing.T) {
	g := gomega.NewWithT(t)
	o := demandOwner(Resources{})
	o.fleet.machines["m"].info.Room = Resources{CPU: 32000, Memory: 65536}
	step := Step{Count: 8, Need: Resources{CPU: 8800, Memory: 2048}, EstimateMS: 1300}
	second := step
	second.After = []int{0}
	d := newDemand(o)
	arrive := func(d *demand, seconds float64) {
		for i := range int(20 * seconds) {
			o.s.now = o.s.now.Add(50 * time.Millisecond)
			o.s.wall += 50
			w := newJob(o, ID(fmt.Sprintf("%016x", i)), step, second)
			o.expectWork(w)
			d.add("p", w)
		}
	}
	arrive(d, 0.5)
	const kept = 20 * 2 * 8 * 1.3 / 3 // three tasks fill a machine
	g.Expect(o.forecast("p")).To(gomega.BeNumerically(">", kept/2))
	g.Expect(o.forecast("p")).To(gomega.BeNumerically(">", d.pools["p"].machines()))
	arrive(d, 2)
	g.Expect(o.forecast("p")).To(gomega.BeNumerically("~", kept/(1-packingLoss), kept/10))
	o.s.now = o.s.now.Add(3 * forecastMemory)
	g.Expect(o.forecast("p")).To(gomega.BeNumerically("<", kept/10), "the turn is over")
}

// TestForecastLeavesOutWhatNeedsNoMachines: jobs taken over from another owner are in
// the backlog already; long-running ones and those beyond their team's rate do not
// come again and again.
func TestForecastLeavesOutWhatNeedsNoMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	o := demandOwner(Resources{})
	o.s.wall = 100_000
	step := Step{Count: 100, Need: Resources{CPU: 8000}, EstimateMS: 1000}
	old := newJob(o, "0000000000000001", step)
	old.accepted.At -= 5000
	excess := newJob(o, "0000000000000002", step)
	excess.excess = true
	step.LongRunning = true
	for _, w := range []*work{old, excess, newJob(o, "0000000000000003", step)} {
		o.expectWork(w)
	}
	g.Expect(o.forecast("p")).To(gomega.BeZero())
}

// TestWaveLeavesABusyPoolItsMachines holds a fault of dukajaza-sched-grown scale-2: a wave
// with time in hand took 65 of the 220 machines of a pool whose turn had just begun,
// because all of its first steps had found room.
func TestWaveLeavesABusyPoolItsMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	o := demandOwner(Resources{})
	host := o.worker("w1")
	host.info = WorkerInfo{ID: "w1", Machine: "m", Pool: "p", Room: Resources{CPU: 16000, Memory: 32768}}
	host.listed, host.fenced = true, true
	m := o.fleet.machines["m"]
	m.info.Pool, m.info.Worker = "p", "w1"
	task := newJob(o, "00000000000000aa", Step{Count: 1, Need: Resources{CPU: 1000}}).occurrences[0].steps[0].tasks[0]
	o.bind(task, host, 0)
	o.fleet.need = map[vocab.PoolID]int{"p": 0}
	g.Expect(o.takeForUpkeep(1, m, false)).To(gomega.BeFalse())
	g.Expect(host.cordoned).To(gomega.BeFalse())
	o.fleet.need["p"] = -1
	g.Expect(o.takeForUpkeep(1, m, false)).To(gomega.BeTrue())
	o.fleet.need["p"], m.cordonedAt, host.cordoned = 0, 0, false
	g.Expect(o.takeForUpkeep(1, m, true)).To(gomega.BeTrue(), "its time runs out")
}
