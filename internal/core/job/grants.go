package job

import (
	"hash/fnv"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// While the store is slow, the intent of each later step of a job would wait for an append.
// Hence the record that a job's first intents are written in also grants the start of all
// its tasks that were never intended: run 1 of each may start on any of the workers that the
// record names, in their present incarnation, without another append.
//
// A later owner holds such tasks back until each of these workers has answered under its
// fence, after which it refuses starts of earlier owners, or until its last possible lease
// has passed. What a worker lists of them is adopted, running or ended. Meanwhile the held
// tasks count towards their team's limit. Afterwards run 1 counts as used.

const (
	// maxGrants bounds the workers that a job's grant names: a later owner waits for all of
	// them, and each takes about 60 bytes of the job's record.
	maxGrants = 8
	// maxWaitingGranted bounds the jobs that are granted workers in one placement pass
	// although none of their tasks fits: about 40 KiB of an append.
	maxWaitingGranted = 64
	// grantInterval is the minimum time between two passes over the granted tasks.
	grantInterval = TickInterval / 2
	// grantsOccurrence marks the row with the grants. No job has so many occurrences.
	grantsOccurrence = 1 << 30
)

// grant is a worker on which tasks of a job may start under its grant.
type grant struct {
	Worker      WorkerID `json:"w"`
	Incarnation Millis   `json:"b"`
	// written is set once the grant is on the stream.
	written bool
}

// grantable reports whether the tasks of the job may start under a grant: they are finite,
// independent of each other and started by this owner's decision only.
func (o *owner) grantable(j *activeJob) bool {
	if j.terminalPhase != 0 || len(j.inherited) > 0 || j.acceptance.Spec.Occurrences != 0 || o.advisorOf(j) != nil {
		return false
	}
	for i := range j.acceptance.Spec.Steps {
		if st := &j.acceptance.Spec.Steps[i]; st.LongRunning || st.Gang || st.Speculative || st.BestEffort {
			return false
		}
	}
	return true
}

// neverIntended returns a task of the job that was never intended, or nil.
func (j *activeJob) neverIntended() *task {
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.completed == len(st.tasks) {
				continue
			}
			for _, t := range st.tasks {
				if t.lastRun == 0 && !t.completed {
					return t
				}
			}
		}
	}
	return nil
}

// extendGrants grants a job workers while the store is slow, if its record is about to be
// written or it is one of the first that wait for room.
func (o *owner) extendGrants(j *activeJob, workers []*worker, waiting *int) {
	if !o.storeSlow() || len(j.grants) >= maxGrants || !j.dirty && (*waiting <= 0 || len(j.grants) > 0) || !o.grantable(j) {
		return
	}
	t := j.neverIntended()
	if t == nil {
		return
	}
	if !j.dirty {
		*waiting--
	}
	added := o.grantWorkers(j, t, workers)
	if len(added) == 0 {
		return
	}
	o.markChanged(j)
	o.afterWrite(func() {
		for _, g := range added {
			g.written = true
		}
	})
}

// grantWorkers adds grants for the workers of the job's tasks, then for those with room for
// a task, then for others that could hold it.
func (o *owner) grantWorkers(j *activeJob, t *task, workers []*worker) []*grant {
	o.pruneGrants(j)
	before := len(j.grants)
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			for _, other := range st.tasks {
				if other.worker != nil {
					j.addGrant(other.worker, o.s.now)
				}
			}
		}
	}
	if len(workers) == 0 {
		return slices.Clone(j.grants[before:])
	}
	need := t.step.spec.Reserved()
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.record.ID))
	first := int(h.Sum32() % uint32(len(workers)))
	for _, withRoom := range []bool{true, false} {
		for i := range workers {
			w := workers[(first+i)%len(workers)]
			room := w.info.Capacity
			if withRoom {
				room = w.free()
			}
			if len(j.grants) < maxGrants && room.Holds(need) && o.isEligible(t, w) {
				j.addGrant(w, o.s.now)
			}
		}
	}
	return slices.Clone(j.grants[before:])
}

func (j *activeJob) addGrant(w *worker, now vocab.Instant) {
	if len(j.grants) < maxGrants && w.usable(now) && j.grantOn(w) == nil {
		j.grants = append(j.grants, &grant{Worker: w.info.ID, Incarnation: w.info.Incarnation})
	}
}

// grantOn returns the grant for the present incarnation of a worker, or nil.
func (j *activeJob) grantOn(w *worker) *grant {
	for _, g := range j.grants {
		if g.Worker == w.info.ID && g.Incarnation == w.info.Incarnation {
			return g
		}
	}
	return nil
}

// revokeGrants removes the grants for a worker that does not respond, so that a later owner
// does not wait for it.
func (o *owner) revokeGrants(w *worker) {
	for _, j := range o.jobOrder {
		if kept := withoutWorker(j.grants, w.info.ID); len(kept) < len(j.grants) {
			j.grants = kept
			o.markChanged(j)
		}
	}
}

// pruneGrants removes the grants for workers that are about to leave, have left or were
// restarted: a later owner would wait for them.
func (o *owner) pruneGrants(j *activeJob) {
	j.grants = slices.DeleteFunc(j.grants, func(g *grant) bool {
		w := o.workers[g.Worker]
		return w == nil || !w.listed || w.leaving || w.info.Draining || w.info.Incarnation != g.Incarnation
	})
}

// withoutWorker returns a copy of the grants without those for a worker.
func withoutWorker(grants []*grant, id WorkerID) []*grant {
	var kept []*grant
	for _, g := range grants {
		if g.Worker != id {
			kept = append(kept, g)
		}
	}
	return kept
}

// startGranted starts tasks under grants while the store is slow.
func (o *owner) startGranted() {
	if !o.planDue || !o.storeSlow() || !o.workersKnown || !o.mayStart() || o.s.now.Sub(o.grantsUsedAt) < grantInterval {
		return
	}
	o.grantsUsedAt = o.s.now
	for _, c := range o.candidates() {
		if len(c.job.grants) > 0 && o.grantable(c.job) {
			o.startGrantedOf(c)
		}
	}
}

func (o *owner) startGrantedOf(c candidate) {
	pool := &poolRoom{}
	for _, g := range c.job.grants {
		w := o.workers[g.Worker]
		if w != nil && g.written && g.Incarnation == w.info.Incarnation && w.info.Pool == c.pool && w.usable(o.s.now) {
			pool.workers = append(pool.workers, w)
		}
	}
	room := o.recordRoomOf(c.job, pool.workers)
	for _, occ := range c.job.occurrences.live {
		for _, st := range occ.steps {
			if st.waiting() <= 0 || !st.ready() || !room.open(st) {
				continue
			}
			for _, t := range st.tasks {
				if t.completed || t.worker != nil || t.lastRun != 0 {
					continue
				}
				w := o.chooseWorker(t, pool)
				if w == nil || !room.take(t) {
					break
				}
				o.assignGranted(t, w)
			}
		}
	}
}

// assignGranted starts run 1 of a task on a worker at once. The intent follows with the
// next append.
func (o *owner) assignGranted(t *task, w *worker) {
	o.bind(t, w, w.info.Incarnation)
	t.lastRun, t.state, t.startSentAt = 1, runStarting, o.s.now
	t.plannedAt, t.plannedWall = o.s.now, o.s.wall
	o.markChanged(t.step.job)
	o.emitStart(t)
}

// grantRows returns the row with the grants of the job, if any.
func (j *activeJob) grantRows() []taskRow {
	grants := j.grants
	if len(j.inherited) > 0 {
		grants = j.inherited
	}
	if len(grants) == 0 || j.neverIntended() == nil {
		return nil
	}
	row := taskRow{Occurrence: grantsOccurrence}
	for _, g := range grants {
		row.Grants = append(row.Grants, *g)
	}
	return []taskRow{row}
}

// inheritGrants holds the tasks back that an earlier owner may have started under a grant.
func (o *owner) inheritGrants(j *activeJob, rows []taskRow) {
	for _, row := range rows {
		for _, g := range row.Grants {
			j.inherited = append(j.inherited, &g)
			w := o.worker(g.Worker)
			w.inheritedBy = append(w.inheritedBy, j)
		}
	}
	if len(j.inherited) > 0 {
		o.countHeld(j, Resources.Plus)
	}
}

// countHeld adds the demand of the job's held tasks to its team's use, or removes it.
func (o *owner) countHeld(j *activeJob, add func(Resources, Resources) Resources) {
	team := j.acceptance.Team
	for _, t := range j.heldTasks() {
		o.heldUsage[team] = add(o.heldUsage[team], t.step.spec.Need)
	}
}

// held reports whether an earlier owner may have started the task under a grant.
func (t *task) held() bool {
	return len(t.step.job.inherited) > 0 && t.lastRun == 0 && !t.completed
}

// heldTasks is the number of the step's held tasks that are not assigned.
func (st *step) heldTasks() int {
	n := 0
	for _, t := range st.tasks {
		if t.held() && t.worker == nil {
			n++
		}
	}
	return n
}

func (j *activeJob) heldTasks() []*task {
	var held []*task
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.held() {
					held = append(held, t)
				}
			}
		}
	}
	return held
}

// adoptGranted assigns a held task to the worker that has reported its run 1.
func (o *owner) adoptGranted(t *task, w *worker, run Run) {
	if t == nil || run != 1 || !t.held() {
		return
	}
	team := t.step.job.acceptance.Team
	o.heldUsage[team] = o.heldUsage[team].Minus(t.step.spec.Need)
	o.bind(t, w, w.info.Incarnation)
	t.lastRun, t.state = 1, runStartUnknown
	// The earlier owner's record of the start is not on the stream.
	t.plannedAt, t.plannedWall = o.s.now, o.s.wall
	o.markChanged(t.step.job)
}

// resolveGrants notes that nothing can be running on a worker under inherited grants but
// what has been adopted. Once that holds for all workers of a job, its tasks may start.
func (o *owner) resolveGrants(w *worker) {
	jobs := w.inheritedBy
	w.inheritedBy = nil
	for _, j := range jobs {
		kept := withoutWorker(j.inherited, w.info.ID)
		if len(kept) > 0 {
			j.inherited = kept
			continue
		}
		held := j.heldTasks()
		o.countHeld(j, Resources.Minus)
		j.inherited = nil
		for _, t := range held {
			t.lastRun, t.lostRuns = 1, append(t.lostRuns, 1)
		}
		if len(held) > 0 && j.terminalPhase == 0 {
			o.markChanged(j)
		}
		o.planDue = true
	}
}
