package job

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The forecast answers demand that jumps from a twentieth to several times its mean
// within a second: what a pool will need follows from the rate at which work is handed
// in, two seconds before the backlog shows it. Later steps of jobs wait unseen for
// earlier ones, and a machine takes about two seconds to come.

// forecastMemory is the time over which the rate of new work is averaged. Shorter than
// a machine takes to come, so that the end of a turn is seen as soon as its begin.
const forecastMemory = 600 * time.Millisecond

// workRate is the rate at which work comes to a pool, in machine-seconds a second: the
// number of machines that it keeps busy.
type workRate struct {
	machines float64
	at       vocab.Instant
}

// decay brings the rate up to a time.
func (r *workRate) decay(now vocab.Instant) {
	r.machines *= math.Exp(-float64(now.Sub(r.at)) / float64(forecastMemory))
	r.at = now
}

func (r *workRate) add(now vocab.Instant, machineSeconds float64) {
	r.decay(now)
	r.machines += machineSeconds / forecastMemory.Seconds()
}

// newWorkAge is the age of a job up to which it counts as new: older ones were taken
// over from another owner.
const newWorkAge = time.Second

// expectWork counts a new job for the forecast of its pool.
func (o *owner) expectWork(w *work) {
	if w.lasting() || w.excess || w.accepted.Spec.Occurrences > 0 ||
		time.Duration(o.s.wall-w.accepted.At)*time.Millisecond > newWorkAge {
		return
	}
	room := o.fleet.typicalRoom()
	sum := 0.0
	for _, st := range w.occurrences[0].steps {
		if fit := st.perMachine(room); fit > 0 {
			sum += float64(st.spec.Count) / float64(fit) * o.estimates.runTime(w.accepted.Queue, st.spec.EstimateMS).Seconds()
		}
	}
	pool := o.poolOf(w)
	if o.arrivals[pool] == nil {
		o.arrivals[pool] = &workRate{at: o.s.now}
	}
	o.arrivals[pool].add(o.s.now, sum)
}

// forecast is how many machines a pool will need for the work that comes to it.
func (o *owner) forecast(p vocab.PoolID) int {
	r := o.arrivals[p]
	if r == nil {
		return 0
	}
	r.decay(o.s.now)
	return int(r.machines / (1 - packingLoss))
}

// poolSizes counts the machines of each pool but the spare one that can take work that
// ends by itself:
// those that are up and not about to go, less what long-running tasks hold.
func (o *owner) poolSizes() map[vocab.PoolID]int {
	sizes, lasting := map[vocab.PoolID]int{}, map[vocab.PoolID]float64{}
	for _, id := range o.fleet.ids {
		m := o.fleet.machines[id]
		if m.info.State != MachineUp || m.ordered || m.cordonedAt != 0 || o.isSpare(m.info.Pool) {
			continue
		}
		sizes[m.info.Pool]++
		if w := o.workerOf(m); w != nil && m.info.Room.CPU > 0 {
			lasting[m.info.Pool] += float64(w.lastingCPU()) / float64(m.info.Room.CPU)
		}
	}
	for p, machines := range lasting {
		sizes[p] -= int(math.Ceil(machines))
	}
	return sizes
}

// lastingCPU is what long-running tasks hold of the worker, in thousandths of a core.
func (w *worker) lastingCPU() int64 {
	sum := int64(0)
	for _, t := range w.tasks {
		if t.step.spec.LongRunning {
			sum += t.step.spec.Reserved().CPU
		}
	}
	return sum
}
