package job

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Workers of a pool crash by themselves now and then, or all the time. The owner measures how often, so that
// a crash is no evidence against a task where it was to be expected. Its record has the measurement, for the
// next owner.

const (
	// crashRateMemory is the time constant with which crashes and the time of observation fade.
	crashRateMemory = time.Minute
	// priorCrashes in priorWorkerSeconds is the rate that is assumed before there is an observation.
	priorCrashes       = 1.0
	priorWorkerSeconds = 100.0
	// minCrashRate is the least rate that is assumed, in crashes a second: workers that have not crashed for long may
	// begin to, many at a time.
	minCrashRate = 0.005
	// crashRateInterval is the time between two additions to the time of observation.
	crashRateInterval = 250 * time.Millisecond
	// minKeptCrashes is the number below which faded crashes are forgotten.
	minKeptCrashes = 0.05
)

// machineCrashes is the number of crashes on a machine as of a time. It fades.
type machineCrashes struct {
	count float64
	at    vocab.Instant
}

func (m machineCrashes) countAt(now vocab.Instant) float64 {
	return m.count * math.Exp(-now.Sub(m.at).Seconds()/crashRateMemory.Seconds())
}

// countCrash counts the crash of a worker, or takes it back with a weight of -1.
func (o *owner) countCrash(pool vocab.PoolID, id MachineID, weight float64) {
	r := o.crashRateOf(pool)
	r.Crashes = max(0, r.Crashes+weight)
	if id != "" {
		o.machineCrashes[id] = machineCrashes{max(0, o.machineCrashes[id].countAt(o.s.now)+weight), o.s.now}
	}
}

// forgetCrashes removes crashes that are explained by a task: they say nothing about how often workers crash without it.
func (o *owner) forgetCrashes(pool vocab.PoolID, explained int) {
	r := o.crashRateOf(pool)
	r.Crashes = max(0, r.Crashes-float64(explained))
}

// crashRate is the number of crashes of a pool's workers in a time of observation. Both fade.
type crashRate struct {
	Crashes       float64 `json:"n"`
	WorkerSeconds float64 `json:"s"`
}

// observeCrashRates adds the time since the last call to the time of observation of workers with runs: the
// crash of one without is not noticed.
func (o *owner) observeCrashRates() {
	elapsed := o.s.now.Sub(o.crashRatesAt)
	if elapsed < crashRateInterval {
		return
	}
	o.crashRatesAt = o.s.now
	if elapsed > crashRateMemory {
		return // The first call, or the process was suspended.
	}
	kept := math.Exp(-elapsed.Seconds() / crashRateMemory.Seconds())
	for _, r := range o.crashRates {
		r.Crashes, r.WorkerSeconds = r.Crashes*kept, r.WorkerSeconds*kept
	}
	for id, m := range o.machineCrashes {
		if m.countAt(o.s.now) < minKeptCrashes {
			delete(o.machineCrashes, id)
		}
	}
	for _, id := range o.workerIDs {
		if w := o.workers[id]; len(w.tasks) > 0 && w.failedPolls == 0 && w.info.Pool != "" {
			o.crashRateOf(w.info.Pool).WorkerSeconds += elapsed.Seconds()
		}
	}
}

func (o *owner) crashRateOf(pool vocab.PoolID) *crashRate {
	r := o.crashRates[pool]
	if r == nil {
		r = &crashRate{}
		o.crashRates[pool] = r
	}
	return r
}

// silentBeside counts the other workers of the pool that do not respond: of several that crash at the same
// time, one is noticed first.
func (o *owner) silentBeside(w *worker, pool vocab.PoolID) int {
	n := 0
	for _, id := range o.workerIDs {
		if other := o.workers[id]; other != w && len(other.tasks) > 0 && other.failedPolls > 0 && o.poolOfLost(other, other.tasks) == pool {
			n++
		}
	}
	return n
}

// poolCrashRate returns the rate at which a worker of the pool crashes, in crashes a second. silent is the number of its
// workers that may have crashed and are not counted yet.
func (o *owner) poolCrashRate(pool vocab.PoolID, silent int) float64 {
	r := o.crashRateOf(pool)
	return max(minCrashRate, (r.Crashes+float64(silent)+priorCrashes)/(r.WorkerSeconds+priorWorkerSeconds))
}

// crashesPerSecond returns the rate at which the worker crashes, apart from the crash that is being attributed: that
// of its pool or of its machine, whichever is higher, since some machines crash more often than others.
func (o *owner) crashesPerSecond(w *worker, pool vocab.PoolID) float64 {
	onMachine := o.machineCrashes[w.info.Machine].countAt(o.s.now) / crashRateMemory.Seconds()
	return max(o.poolCrashRate(pool, o.silentBeside(w, pool)), onMachine)
}

// crashRateRecord returns the measurements for the owner's record. Pools without crashes are left out.
func (o *owner) crashRateRecord() map[vocab.PoolID]crashRate {
	var kept map[vocab.PoolID]crashRate
	for pool, r := range o.crashRates {
		if r.Crashes < minKeptCrashes {
			continue
		}
		if kept == nil {
			kept = map[vocab.PoolID]crashRate{}
		}
		kept[pool] = crashRate{math.Round(r.Crashes*100) / 100, math.Round(r.WorkerSeconds)}
	}
	return kept
}

// inheritCrashRates takes over the measurements of the earlier owner.
func (o *owner) inheritCrashRates() {
	o.crashRatesAt = o.s.now
	for pool, r := range o.s.ledger.crashRates {
		if r.Crashes >= 0 && r.WorkerSeconds >= 0 {
			o.crashRates[pool] = &r
		}
	}
}

// poolOfLost returns the pool of a worker that is lost. Of one that the platform did not list to this owner,
// the job of a task says it.
func (o *owner) poolOfLost(w *worker, tasks []*task) vocab.PoolID {
	if w.info.Pool != "" || len(tasks) == 0 {
		return w.info.Pool
	}
	return o.poolOf(tasks[0].step.job)
}
