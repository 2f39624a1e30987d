package job

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The owner refuses a job at once if it knows that the job cannot complete while it still has
// a value: a team that submits many times what its limit lets it run, or a burst beyond what
// all machines that could serve it complete in time. Without the refusal such a job is
// accepted, waits and is never served in time, and its caller learns nothing.
//
// The estimate is a lower bound of the wait, so that no job is refused that could be served:
// it counts only work that could start now and comes before the job in the order of service,
// and all machines that no other pool waits for. A job that fits on a free worker is admitted.
// Nodes that are not the owner, and an owner that has not planned recently, admit every job.

const (
	// maxBacklogPlanAge is the age of the last placement pass up to which its backlog is
	// used. Passes are at most planInterval apart unless the owner cannot give orders.
	maxBacklogPlanAge = time.Second
	// refusedWorkWindow is the time constant with which refused work is forgotten: callers
	// return within maxLoadRetryAfter.
	refusedWorkWindow = 4 * time.Second
	// maxLoadRetryAfter bounds the delay after a refusal for load.
	maxLoadRetryAfter = 15 * time.Second
)

// poolBacklog is the work that waits for a pool, as of the last placement pass.
type poolBacklog struct {
	jobs []waitingJob // in the order of service
	// cores is the capacity for finite tasks that may serve the pool.
	cores float64
}

// waitingJob is a job with tasks that could start now. Only their work certainly comes before
// a new job: what runs may end at any moment, and what depends on it cannot start yet.
type waitingJob struct {
	candidate
	readyWork float64 // in core-seconds
}

// door holds what the owner decides about new jobs from.
type door struct {
	pools     map[vocab.PoolID]*poolBacklog
	updatedAt vocab.Instant
	refused   map[vocab.PoolID]*refusedWork
	// refusals counts the refused jobs by team.
	refusals map[vocab.TeamID]int
}

func newDoor() *door {
	return &door{pools: map[vocab.PoolID]*poolBacklog{}, refused: map[vocab.PoolID]*refusedWork{}, refusals: map[vocab.TeamID]int{}}
}

// refusedWork is the decayed sum of refused work, in core-seconds.
type refusedWork struct {
	seconds   float64
	updatedAt vocab.Instant
}

func (r *refusedWork) add(now vocab.Instant, seconds float64) {
	r.seconds = r.seconds*math.Exp(-float64(now.Sub(r.updatedAt))/float64(refusedWorkWindow)) + seconds
	r.updatedAt = now
}

// recordBacklog stores the jobs that wait after a placement pass, given in the order of
// service.
func (o *owner) recordBacklog(list []candidate) {
	o.door.updatedAt = o.s.now
	o.door.pools = map[vocab.PoolID]*poolBacklog{}
	for _, c := range list {
		if c.class == classLongRunning || !c.job.hasWaitingTasks() {
			continue
		}
		p := o.door.pools[c.pool]
		if p == nil {
			p = &poolBacklog{}
			o.door.pools[c.pool] = p
		}
		p.jobs = append(p.jobs, waitingJob{c, o.readyWork(c.job)})
	}
	if len(o.door.pools) == 0 {
		return
	}
	own, unclaimed := o.finiteCores()
	for id, p := range o.door.pools {
		p.cores = own[id] + unclaimed
	}
}

// readyWork returns the work of the tasks that wait for nothing but a worker, in core-seconds.
func (o *owner) readyWork(j *activeJob) float64 {
	work := 0.0
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if waiting := st.waiting() - st.heldTasks(); waiting > 0 && st.ready() {
				work += float64(waiting) * float64(st.spec.Need.CPU) / 1000 * o.runTimeOf(st).Seconds()
			}
		}
	}
	if waiting := j.occurrences.waiting(); waiting > 0 {
		for _, st := range j.modelOccurrence().steps {
			if len(st.spec.After) == 0 {
				work += float64(waiting*st.spec.Count) * float64(st.spec.Need.CPU) / 1000 * o.runTimeOf(st).Seconds()
			}
		}
	}
	return work
}

// hasRoom reports whether a task of a new job fits on a worker of its pool now. Work that
// waits does not keep the job waiting then: it needs what the free workers do not have.
func (o *owner) hasRoom(j *activeJob, pool vocab.PoolID) bool {
	for _, st := range j.occurrences.live[0].steps {
		if !st.ready() || !o.withinTeamLimit(st) {
			continue
		}
		for _, id := range o.workerIDs {
			w := o.workers[id]
			if w.info.Pool == pool && w.usable(o.s.now) && w.free().Holds(st.spec.Reserved()) && o.isEligible(st.tasks[0], w) {
				return true
			}
		}
	}
	return false
}

// finiteCores returns the cores that finite tasks may use: those of the machines of pools
// with a backlog and of the machines that are moving there, and those of all other machines.
func (o *owner) finiteCores() (own map[vocab.PoolID]float64, unclaimed float64) {
	own = map[vocab.PoolID]float64{}
	add := func(pool vocab.PoolID, milliCPU int64) {
		if o.door.pools[pool] == nil {
			unclaimed += float64(milliCPU) / 1000
			return
		}
		own[pool] += float64(milliCPU) / 1000
	}
	for _, id := range o.fleet.machineIDs {
		m := o.fleet.machines[id]
		milliCPU := m.info.Capacity.CPU
		if w := o.workerOf(m); w != nil {
			milliCPU -= w.longRunningMilliCPU()
		}
		pool := m.info.Pool
		if m.orderPending && m.order == OrderMove {
			pool = m.targetPool
		}
		add(pool, milliCPU)
	}
	for _, id := range o.workerIDs {
		// Not every platform lists the machines of its workers.
		if w := o.workers[id]; w.listed && o.fleet.machines[w.info.Machine] == nil {
			add(w.info.Pool, w.info.Capacity.CPU-w.longRunningMilliCPU())
		}
	}
	return own, unclaimed
}

// minWait is a lower bound of the time until a job with a rank in the order of service starts.
func (o *owner) minWait(c candidate) time.Duration {
	p := o.door.pools[c.pool]
	if p == nil || o.s.now.Sub(o.door.updatedAt) > maxBacklogPlanAge {
		return 0
	}
	ahead := admission.NewWorkAhead(p.cores)
	for _, waiting := range p.jobs {
		if waiting.compare(c) > 0 {
			break
		}
		team := waiting.job.acceptance.Team
		ahead.Add(team, o.teamCores(team), waiting.readyWork)
	}
	return ahead.MinWait(c.job.acceptance.Team)
}

// teamCores is a team's limit in cores, or 0 if it has none.
func (o *owner) teamCores(name vocab.TeamID) float64 {
	if t := o.s.config.teams[name]; t != nil {
		return float64(t.Limit.CPU) / 1000
	}
	return 0
}

// returnPolicy spreads the callers that are refused for load.
var returnPolicy = admission.ReturnPolicy{Min: minRetryAfter, Max: maxLoadRetryAfter}

// refuseForLoad reports whether a new job certainly completes too late, and after which time
// its caller should return.
func (o *owner) refuseForLoad(id ID, q *Queue, a *Acceptance) (retryAfter time.Duration, refused bool) {
	pool := o.door.pools[q.Pool]
	if !o.s.settings.RefuseWorthless || o.stage != stageActive || pool == nil || a.Spec.Occurrences > 0 {
		return 0, false
	}
	j := &activeJob{record: &JobRecord{ID: id}, acceptance: a}
	if j.hasLongRunningTasks() {
		return 0, false
	}
	j.ensureOccurrence(0)
	c := o.rank(j)
	if c.class <= classCanWait && o.wouldExceedRate(a.Team) {
		c.class = classOverRate
	}
	if !j.times.known {
		return 0, false
	}
	times := admission.WorkTimes{MinWait: o.minWait(c), Chain: j.times.remaining, WorthlessAfter: overdueFactor * j.times.objective}
	if times.Excess() <= 0 || o.hasRoom(j, q.Pool) {
		return 0, false
	}
	drain := o.noteRefusal(q.Pool, a.Team, c.remaining)
	retryAfter = returnPolicy.Delay(times, drain, seedOf(id))
	o.s.logEvent(LogJobRefusedForLoad, "job", id, "queue", q.Name, "team", a.Team, "wait_ms", times.MinWait.Milliseconds(),
		"chain_ms", times.Chain.Milliseconds(), "worthless_after_ms", times.WorthlessAfter.Milliseconds(),
		"waiting_jobs", len(pool.jobs), "cores", int(pool.cores), "team_cores", int(o.teamCores(a.Team)),
		"backlog_age_ms", o.s.now.Sub(o.door.updatedAt).Milliseconds(), "retry_after_ms", retryAfter.Milliseconds())
	return retryAfter, true
}

// noteRefusal counts a refused job and returns the time that its pool needs for the recently
// refused work.
func (o *owner) noteRefusal(pool vocab.PoolID, team vocab.TeamID, coreSeconds float64) time.Duration {
	o.door.refusals[team]++
	work := o.door.refused[pool]
	if work == nil {
		work = &refusedWork{}
		o.door.refused[pool] = work
	}
	work.add(o.s.now, coreSeconds)
	return time.Duration(work.seconds / max(o.door.pools[pool].cores, 1) * float64(time.Second))
}

func seedOf(id ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
