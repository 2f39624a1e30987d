package job

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The forecast handles demand that rises from a twentieth to several times its mean within a few
// seconds. It derives the machines that a pool will need from the rate at which work is
// submitted, two seconds before the backlog shows the need: later steps of a job are not in
// the backlog while they wait for earlier ones. A machine takes about two seconds to move into a
// pool, so that a rate that rises is extrapolated to the time when a machine ordered now can
// start tasks.

// forecastTimeConstant is the time constant of the exponentially weighted average of the
// arrival rate. It is shorter than a machine takes to move, so that the end of a burst is
// detected as early as its start.
const forecastTimeConstant = 600 * time.Millisecond

// trendTimeConstant is the time constant of the second, slower average of the arrival rate. While
// the rate changes steadily the two averages differ by the change between their time constants.
const trendTimeConstant = 3 * forecastTimeConstant

// arrivalRate is the rate at which work arrives at a pool, in machine-seconds per second,
// which is the number of machines that the work keeps busy.
type arrivalRate struct {
	machines float64
	// slowMachines is the average over trendTimeConstant.
	slowMachines float64
	updatedAt    vocab.Instant
}

// decay ages the rate to the given time.
func (r *arrivalRate) decay(now vocab.Instant) {
	elapsed := float64(now.Sub(r.updatedAt))
	r.machines *= math.Exp(-elapsed / float64(forecastTimeConstant))
	r.slowMachines *= math.Exp(-elapsed / float64(trendTimeConstant))
	r.updatedAt = now
}

func (r *arrivalRate) add(now vocab.Instant, machineSeconds float64) {
	r.decay(now)
	r.machines += machineSeconds / forecastTimeConstant.Seconds()
	r.slowMachines += machineSeconds / trendTimeConstant.Seconds()
}

// whenMoved is the rate expected at the time when a machine that is ordered now can start tasks. A
// falling rate is not extrapolated: the work that has arrived keeps the machines for longer.
func (r *arrivalRate) whenMoved(now vocab.Instant) float64 {
	r.decay(now)
	changePerSecond := (r.machines - r.slowMachines) / (trendTimeConstant - forecastTimeConstant).Seconds()
	return r.machines + max(0, changePerSecond)*(forecastTimeConstant+machineLead).Seconds()
}

// maxNewJobAge is the age up to which a job counts as new. Older jobs were taken over from
// another owner.
const maxNewJobAge = time.Second

// recordArrival counts a new job in the arrival rate of its pool. Long-running, recurring and
// old jobs, and those beyond their team's rate, are left out.
func (o *owner) recordArrival(j *activeJob) {
	if j.hasLongRunningTasks() || j.overTeamRate || j.acceptance.Spec.Occurrences > 0 ||
		time.Duration(o.s.wall-j.acceptance.At)*time.Millisecond > maxNewJobAge {
		return
	}
	capacity := o.fleet.typicalCapacity()
	machineSeconds := 0.0
	for _, st := range j.modelOccurrence().steps {
		if perMachine := st.tasksPerMachine(capacity); perMachine > 0 {
			machineSeconds += float64(st.spec.Count) / float64(perMachine) * o.estimates.runTime(j.acceptance.Queue, st.spec.EstimateMS).Seconds()
		}
	}
	pool := o.poolOf(j)
	if o.arrivals[pool] == nil {
		o.arrivals[pool] = &arrivalRate{updatedAt: o.s.now}
	}
	o.arrivals[pool].add(o.s.now, machineSeconds)
}

// forecastMachines is the number of machines that a pool will need for the work that arrives.
func (o *owner) forecastMachines(p vocab.PoolID) int {
	r := o.arrivals[p]
	if r == nil {
		return 0
	}
	return int(r.whenMoved(o.s.now) / (1 - packingLossFraction))
}

// machinesForFiniteTasks is the number of machines of each pool, except the spare pool, that
// can run finite tasks, in typical machines: those that are up and not about to leave, minus the
// share of them that long-running tasks occupy.
func (o *owner) machinesForFiniteTasks() map[vocab.PoolID]float64 {
	sizes := map[vocab.PoolID]float64{}
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		if m.info.State != MachineUp || m.orderPending || m.cordonedAt != 0 || o.isSparePool(m.info.Pool) || o.evacuatedMachine(m) {
			continue
		}
		sizes[m.info.Pool] += o.fleet.relativeCapacity(m)
		if w := o.workerOf(m); w != nil && m.info.Capacity.CPU > 0 {
			sizes[m.info.Pool] -= o.fleet.relativeCapacity(m) * float64(w.longRunningMilliCPU()) / float64(m.info.Capacity.CPU)
		}
	}
	return sizes
}

// longRunningMilliCPU is the CPU reserved by long-running tasks on the worker, in millicores.
func (w *worker) longRunningMilliCPU() int64 {
	sum := int64(0)
	for _, t := range w.tasks {
		if t.step.spec.LongRunning {
			sum += t.step.spec.Reserved().CPU
		}
	}
	return sum
}
