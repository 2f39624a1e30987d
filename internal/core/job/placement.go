package job

import (
	"math"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// poolRoom is the room of one pool during a placement pass.
type poolRoom struct {
	workers []*worker
	// generation identifies the incarnations of these workers, or is 0.
	generation uint64
	// tooLarge holds the sizes of tasks without further constraints that fitted on no worker.
	// Room only shrinks during a pass, so larger tasks need not be tried.
	tooLarge []Resources
	// capacity is the largest capacity of a worker, once it is needed.
	capacity Resources
}

// plan places waiting tasks on workers. The demand of a pool may temporarily exceed its
// capacity: jobs are then served by value per remaining work, and tasks are packed so that
// large ones fit.
func (o *owner) plan() {
	pools := map[vocab.PoolID]*poolRoom{}
	for _, id := range o.workerIDs {
		w := o.workers[id]
		w.hold = nil
		if !w.usable(o.s.now) {
			continue
		}
		p := pools[w.info.Pool]
		if p == nil {
			p = &poolRoom{}
			pools[w.info.Pool] = p
		}
		p.workers = append(p.workers, w)
	}
	o.identifyPools(pools)
	o.refreshReservations()
	d, waiting := newDemandCollector(o), map[vocab.PoolID]bool{}
	candidates, granted := o.candidates(), maxWaitingGranted
	for _, c := range candidates {
		p := pools[c.pool]
		if p == nil {
			p = &poolRoom{}
			pools[c.pool] = p
		}
		c.job.class = c.class
		o.placeJob(c, p)
		o.extendGrants(c.job, p.workers, &granted)
		d.addJob(c.pool, c.job)
		if c.class < classOverdue && !waiting[c.pool] && c.job.hasWaitingTasks() {
			waiting[c.pool] = true
		}
	}
	o.requestAdvice()
	o.waitingPools = waiting
	o.recordDemand(d.pools)
	o.recordBacklog(candidates)
}

// placeJob places as many of a job's waiting tasks as fit.
func (o *owner) placeJob(c candidate, p *poolRoom) {
	room := o.recordRoomOf(c.job, p.workers)
	for _, occ := range c.job.occurrences.live {
		for _, st := range occ.steps {
			if st.waiting() <= 0 || !st.ready() || !room.open(st) {
				continue
			}
			placed := false
			if st.spec.Gang {
				placed = o.placeGang(st, p, room)
			} else {
				placed = o.placeTasks(st, p, room)
			}
			if room.full() {
				return
			}
			if !placed && c.class <= classOverRate {
				o.reserve(st, c.pool, p)
			}
		}
	}
}

// placementClass is what decides, besides the step, which workers a task may use. Tasks of a step that have
// the same class find a worker or find none alike, because room only shrinks during a pass.
type placementClass struct {
	onTrial      bool
	maxPerWorker int
}

func (o *owner) placementClassOf(t *task) placementClass {
	return placementClass{o.waitsForTrial(t), t.maxPerWorker(o.s.now)}
}

// placeTasks places waiting tasks of a step and reports whether all found a worker.
func (o *owner) placeTasks(st *step, p *poolRoom, room *recordRoom) bool {
	var blocked []placementClass
	worst := noObstacle
	for _, t := range st.tasks {
		if t.completed || t.worker != nil || t.held() || t.awaitsTerms() {
			continue
		}
		class := o.placementClassOf(t)
		if slices.Contains(blocked, class) {
			continue
		}
		best, why := o.findWorker(t, p)
		switch {
		case best != nil && !room.take(t):
			return false
		case best != nil:
			o.place(t, best)
		default:
			blocked = append(blocked, class)
			worst = max(worst, why)
			if why == lacksTicket && room.fits(t) {
				o.noteLackingTicket(t, p)
			}
		}
	}
	o.noteObstacle(st, worst)
	return len(blocked) == 0
}

// place assigns a task to a worker and counts it in what is known about the worker's end.
func (o *owner) place(t *task, w *worker) {
	end := o.endAfterStart(t)
	if w.hold != nil && w.hold.step != t.step {
		w.hold.Add(end, sizeOf(t.step.spec.Reserved()))
	}
	known := o.endOf(w)
	o.assign(t, w)
	w.endsAt, w.endsTasks = max(known, end), len(w.tasks)
}

// obstacle is the reason why a task found no worker.
type obstacle int

const (
	noObstacle obstacle = iota
	// overTeamLimit: the team has as much running as it may.
	overTeamLimit
	// noTrialLeft: as many tasks of the pool are on trial as may be.
	noTrialLeft
	// noRoom: no worker that the task may use has room.
	noRoom
	// keptBack: the workers with room are kept for a reservation or because of a trial.
	keptBack
	// refusedByPolicy: the advisor has refused all workers that have room.
	refusedByPolicy
	// lacksTicket: a ticket of the advisor is all that is missing.
	lacksTicket
)

var obstacleNames = map[obstacle]string{
	noObstacle: "", overTeamLimit: "team limit", noTrialLeft: "trials of others", noRoom: "room",
	keptBack: "a reservation or trial", refusedByPolicy: "an allowed worker", lacksTicket: "a ticket",
}

// obstacleLogInterval is the least time between two log events about what a step waits for.
const obstacleLogInterval = time.Second

// noteObstacle notes what a step waits for. It is logged if an advisor decides about the step, to tell a step
// that waits for room from one that waits for advice.
func (o *owner) noteObstacle(st *step, why obstacle) {
	st.obstacle = why
	if why == noObstacle {
		st.loggedObstacle, st.advice.lackingSince = noObstacle, 0
	}
	if why == st.loggedObstacle || o.advisorOf(st.job) == nil ||
		st.obstacleLoggedAt != 0 && o.s.now.Sub(st.obstacleLoggedAt) < obstacleLogInterval {
		return
	}
	st.loggedObstacle, st.obstacleLoggedAt = why, o.s.now
	o.s.logEvent(LogStepWaits, "job", st.job.record.ID, "occurrence", st.occurrence.number, "step", st.number, "team", st.job.acceptance.Team,
		"for", obstacleNames[why], "waiting", st.waiting())
}

// chooseWorker returns the worker that findWorker selects, or nil.
func (o *owner) chooseWorker(t *task, p *poolRoom) *worker {
	w, _ := o.findWorker(t, p)
	return w
}

// findWorker selects the worker for a task by best fit: among the eligible workers with
// enough free capacity, the one with the least capacity left, and among similar ones one
// that is in use as long anyway. If there is none, it returns the reason.
func (o *owner) findWorker(t *task, p *poolRoom) (*worker, obstacle) {
	st := t.step
	if !o.withinTeamLimit(st) {
		return nil, overTeamLimit
	}
	need := st.spec.Reserved()
	if p.knownTooLarge(need) {
		return nil, noRoom
	}
	if o.trialsExhausted(t, p) {
		return nil, noTrialLeft
	}
	hasAdvisor := o.advisorOf(st.job) != nil
	rack := st.commonRack(p.workers)
	end := o.endAfterStart(t)
	why := noRoom
	var best *worker
	var bestScore float64
	workers := st.notRefused(p)
	for _, w := range workers {
		if why == lacksTicket && len(st.advice.verdicts) == 0 {
			break // No worker has a ticket.
		}
		if !w.free().Holds(need) {
			continue
		}
		missing := noObstacle
		if hasAdvisor {
			missing = o.lacks(st, w)
		}
		if missing != noObstacle && missing <= why || !o.isEligible(t, w) {
			continue
		}
		if !o.mayUse(t, w, end) {
			why = max(why, keptBack)
			continue
		}
		if missing != noObstacle {
			why = max(why, missing)
			continue
		}
		score := o.workerScore(t, w, end, rack)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best != nil {
		return best, noObstacle
	}
	if why == noRoom && len(workers) < len(p.workers) && o.anyHasRoom(t, p.workers) {
		why = refusedByPolicy
	}
	if why == noRoom && !hasAdvisor && st.spec.Label == "" && t.maxPerWorker(o.s.now) == 0 {
		p.tooLarge = append(p.tooLarge, need)
	}
	return nil, why
}

// lacks returns what the advisor's verdict leaves missing for a start on the worker.
func (o *owner) lacks(st *step, w *worker) obstacle {
	v, known := st.verdictOn(w)
	switch {
	case v.isUsable(o.s.now) && known:
		return noObstacle
	case known && !v.allowed:
		return refusedByPolicy
	default:
		return lacksTicket
	}
}

// anyHasRoom reports whether one of the workers has room for a task and is eligible.
func (o *owner) anyHasRoom(t *task, workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool { return w.free().Holds(t.step.spec.Reserved()) && o.isEligible(t, w) })
}

// workerScore rates a worker for a task that would end at the given time and should run in the rack, if it is
// not empty. The lowest score is the best.
func (o *owner) workerScore(t *task, w *worker, end vocab.Instant, rack vocab.RackID) float64 {
	score := placementScore(t.step.spec, w) + w.coldPenalty(o.s.now) + o.outcomePenalty(t, w) + trialPenalty(t, w) + o.endScore(end, w)
	if rack != "" && w.info.Rack != rack {
		score += wrongRackPenalty
	}
	return score
}

// couldUse reports whether a task that would end at the given time could start on a worker, but for a ticket.
func (o *owner) couldUse(t *task, w *worker, end vocab.Instant) bool {
	return w.free().Holds(t.step.spec.Reserved()) && o.isEligible(t, w) && o.mayUse(t, w, end)
}

// mayUse reports whether a worker with room for a task, which would end at the given time, is kept neither
// for a reservation nor because of a trial.
func (o *owner) mayUse(t *task, w *worker, end vocab.Instant) bool {
	return o.allowsTrials(t, w) && (w.hold == nil || w.hold.step == t.step || w.hold.Admits(end, sizeOf(t.step.spec.Reserved())))
}

// largest is the capacity of the largest worker, by each resource.
func (p *poolRoom) largest() Resources {
	if p.capacity == (Resources{}) {
		for _, w := range p.workers {
			c := w.info.Capacity
			p.capacity = Resources{max(p.capacity.CPU, c.CPU), max(p.capacity.Memory, c.Memory), max(p.capacity.GPU, c.GPU)}
		}
	}
	return p.capacity
}

// knownTooLarge reports whether a task that needs no more found no worker in this pass.
func (p *poolRoom) knownTooLarge(need Resources) bool {
	for _, size := range p.tooLarge {
		if need.Holds(size) {
			return true
		}
	}
	return false
}

// withinTeamLimit reports whether the team's limit allows one more running task of the step.
func (o *owner) withinTeamLimit(st *step) bool {
	if o.s.config == nil {
		return false
	}
	return o.teamRoom(st.job).Holds(st.spec.Need)
}

// teamRoomFor is the number of tasks of the step that the team's limit allows beside those that run, at most all.
func (o *owner) teamRoomFor(st *step) int {
	return o.teamRoom(st.job).Count(st.spec.Need, len(st.tasks))
}

// teamRoom is what the team of a job may have running beside what runs.
func (o *owner) teamRoom(j *activeJob) Resources {
	team, limit := j.acceptance.Team, j.acceptance.Terms.TeamLimit
	if t := o.s.config.teams[team]; t != nil {
		limit = t.Limit
	}
	left := limit.Minus(o.teamUsage[team]).Minus(o.heldUsage[team])
	if limit.CPU == 0 {
		left.CPU = math.MaxInt64
	}
	if limit.Memory == 0 {
		left.Memory = math.MaxInt64
	}
	if limit.GPU == 0 {
		left.GPU = math.MaxInt64
	}
	return left
}

// isEligible reports whether a worker may run a task, apart from its free capacity.
func (o *owner) isEligible(t *task, w *worker) bool {
	spec := t.step.spec
	if spec.Label != "" && !w.info.HasLabel(spec.Label) {
		return false
	}
	limit := t.maxPerWorker(o.s.now)
	return limit == 0 || w.tasksOf(t.step) < limit
}

// tasksOf is the number of tasks of a step on the worker.
func (w *worker) tasksOf(st *step) int {
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	return n
}

// tasksThatFit is the number of tasks like this one for which a worker has room, at most those of its step.
func (o *owner) tasksThatFit(t *task, w *worker) int {
	if o.waitsForTrial(t) && !t.step.spec.Gang {
		return 1 // Nothing else starts beside a trial.
	}
	n := w.free().Count(t.step.spec.Reserved(), len(t.step.tasks))
	if limit := t.maxPerWorker(o.s.now); limit > 0 {
		n = min(n, limit-w.tasksOf(t.step))
	}
	return n
}

// spreadTimeout is the time for which a long-running task waits for a worker with few tasks of its
// step before it accepts any worker that the step allows.
const spreadTimeout = 500 * time.Millisecond

// maxPerWorker is the maximum number of tasks of the step on one worker, or 0 for no limit.
// After spreadTimeout only the step's own limit applies to a long-running task.
func (t *task) maxPerWorker(now vocab.Instant) int {
	if t.step.spec.LongRunning && now.Sub(max(t.releasedAt, t.step.job.firstSeenAt)) > spreadTimeout {
		return t.step.spec.MaxPerWorker
	}
	return t.step.preferredMaxPerWorker()
}

// wrongRackPenalty is added to the score of a worker outside the rack of the data or of the
// other tasks.
const wrongRackPenalty = 1e6

// commonRack returns the rack for the tasks of a step that should share one: the rack of a
// task that is assigned already, otherwise the rack with the most free CPU.
func (st *step) commonRack(workers []*worker) vocab.RackID {
	if !st.spec.SameRack {
		return ""
	}
	for _, t := range st.tasks {
		if t.worker != nil {
			return t.worker.info.Rack
		}
	}
	freeCPU := map[vocab.RackID]int64{}
	var best vocab.RackID
	for _, w := range workers {
		rack := w.info.Rack
		freeCPU[rack] += max(0, w.free().CPU)
		if freeCPU[rack] > freeCPU[best] || freeCPU[rack] == freeCPU[best] && rack < best {
			best = rack
		}
	}
	return best
}

// placementScore rates a worker for a task of the step. The lowest score is the best: it
// belongs to the worker with the least free capacity left.
func placementScore(spec *Step, w *worker) float64 {
	free := w.free().Minus(spec.Reserved())
	score := float64(free.CPU) / float64(max(w.info.Capacity.CPU, 1))
	score += float64(free.Memory) / float64(max(w.info.Capacity.Memory, 1)) / 4
	if spec.DataRack != "" && !w.info.HasLabel(spec.DataRack) {
		score += wrongRackPenalty
	}
	return score
}

// placeGang places all tasks of a gang at once, or none of them, and reports which. All
// members have the same run number and checkpoint.
func (o *owner) placeGang(st *step, p *poolRoom, room *recordRoom) bool {
	if st.assigned > 0 || st.completed > 0 {
		return true
	}
	var run Run
	checkpoint := ""
	for _, t := range st.tasks {
		run = max(run, t.lastRun)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	if st.tasks[0].awaitsTerms() {
		return true
	}
	if !room.take(st.tasks...) {
		return false
	}
	for _, t := range st.tasks {
		t.lastRun, t.checkpoint = run, checkpoint
		best, why := o.findWorker(t, p)
		if best == nil {
			o.noteObstacle(st, why)
			if why == lacksTicket {
				o.noteLackingTicket(t, p)
			}
			o.releasePlanned(st)
			p.tooLarge = nil
			return false
		}
		o.place(t, best)
	}
	o.noteObstacle(st, noObstacle)
	return true
}

// releasePlanned releases the tasks of a step whose start was not sent yet.
func (o *owner) releasePlanned(st *step) {
	for _, t := range st.tasks {
		if t.worker != nil && t.state == runPlanned {
			w := t.worker
			o.release(t)
			w.endsTasks = -1
		}
	}
	o.planDue = false
}
