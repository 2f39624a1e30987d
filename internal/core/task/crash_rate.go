package task

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// Workers crash without a task's doing as well. A crash speaks against a task by how unlikely it was
// so soon after the start of the attempt, at the rate at which workers crash under other tasks.

const (
	// crashHalfLife is the time after which a crash and the time without one count half.
	crashHalfLife = 10 * time.Minute
	// priorWorkerTime is the time of workers with one crash that is assumed before anything was seen.
	priorWorkerTime = time.Minute
	// crashSettleTime is the run time below which crashes are equally strong evidence: the log and the
	// list of workers show starts and crashes no more exactly.
	crashSettleTime = time.Second
	// maxCrashTime is the run time after which a crash says nothing, and what was held against the
	// task before is forgotten.
	maxCrashTime = time.Hour
)

// crashRate is the rate at which a group of workers crashes. What is long ago counts less.
type crashRate struct {
	// workers is the number of listed workers of the group.
	workers   int
	crashes   float64
	seconds   float64
	updatedAt vocab.Instant
}

// update counts the time of the listed workers up to now.
func (r *crashRate) update(now vocab.Instant) {
	factor := math.Exp2(-now.Sub(r.updatedAt).Seconds() / crashHalfLife.Seconds())
	r.crashes *= factor
	r.seconds = r.seconds*factor + float64(r.workers)*(1-factor)*crashHalfLife.Seconds()/math.Ln2
	r.updatedAt = now
}

// logEvidence returns the natural logarithm of the evidence of a crash after a run time of at most
// ran against a task, without own of the crashes and with a prior of one crash in priorTime. Its
// exponential is 1 at most on average for tasks that don't crash their workers, so that its product
// over successive crashes reaches a threshold for one task in as many, however often workers crash.
func (r *crashRate) logEvidence(own float64, priorTime, ran time.Duration) float64 {
	crashes := 1 + max(0, r.crashes-own)
	seconds := priorTime.Seconds() + r.seconds
	within := func(d time.Duration) float64 {
		return -math.Expm1(-crashes * math.Log1p(d.Seconds()/seconds))
	}
	shortest := within(crashSettleTime)
	return -math.Log(within(max(ran, crashSettleTime))) - math.Log1p(math.Log(within(maxCrashTime)/shortest))
}

// meanTime returns the mean time of a worker between two crashes, without own of them.
func (r *crashRate) meanTime(own float64) time.Duration {
	seconds := (priorWorkerTime.Seconds() + r.seconds) / (1 + max(0, r.crashes-own))
	return time.Duration(seconds * float64(time.Second))
}

// workerCrashes is the rate at which one worker crashes, and its incarnation.
type workerCrashes struct {
	crashRate
	zone        vocab.ZoneID
	incarnation vocab.VMIncarnation
	// since is the time when the incarnation was first listed.
	since vocab.Instant
}

// crashRates holds the rates at which workers crash, as this node sees it in the list of workers: of
// all workers, of each zone and of each worker.
type crashRates struct {
	fleet   crashRate
	zones   map[vocab.ZoneID]*crashRate
	workers map[vocab.VMID]*workerCrashes
}

func newCrashRates() crashRates {
	return crashRates{zones: map[vocab.ZoneID]*crashRate{}, workers: map[vocab.VMID]*workerCrashes{}}
}

// observe counts the incarnations that have ended since the last list of workers.
func (r *crashRates) observe(now vocab.Instant, list []worker.Info) {
	r.fleet.update(now)
	r.fleet.workers = len(list)
	for _, zone := range r.zones {
		zone.update(now)
		zone.workers = 0
	}
	for _, w := range r.workers {
		w.update(now)
		w.workers = 0
	}
	for _, info := range list {
		zone := r.zones[info.Zone]
		if zone == nil {
			zone = &crashRate{updatedAt: now}
			r.zones[info.Zone] = zone
		}
		zone.workers++
		w := r.workers[info.Worker]
		if w == nil {
			w = &workerCrashes{crashRate: crashRate{updatedAt: now}, incarnation: info.Incarnation, since: now}
			r.workers[info.Worker] = w
		}
		w.workers, w.zone = 1, info.Zone
		if w.incarnation != info.Incarnation {
			w.incarnation, w.since = info.Incarnation, now
			w.crashes++
			zone.crashes++
			r.fleet.crashes++
		}
	}
	for id, w := range r.workers {
		if w.workers == 0 && w.seconds < 1 {
			delete(r.workers, id)
		}
	}
}

// endedBy returns the time at which an incarnation of a worker had ended at the latest, and whether
// its end counts in the rates already.
func (r *crashRates) endedBy(now vocab.Instant, id vocab.VMID, incarnation vocab.VMIncarnation) (vocab.Instant, bool) {
	w := r.workers[id]
	if w == nil || w.incarnation == incarnation {
		return now, false
	}
	return w.since, true
}

// logEvidence returns the evidence of the crash of a worker, by the rate that explains it best.
func (r *crashRates) logEvidence(now vocab.Instant, id vocab.VMID, own float64, ran time.Duration) float64 {
	r.fleet.update(now)
	evidence := r.fleet.logEvidence(own, priorWorkerTime, ran)
	if w := r.workers[id]; w != nil {
		zone := r.zones[w.zone]
		w.update(now)
		zone.update(now)
		prior := r.fleet.meanTime(own)
		evidence = min(evidence, w.logEvidence(own, prior, ran), zone.logEvidence(own, prior, ran))
	}
	return evidence
}
