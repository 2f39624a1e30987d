package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// plan places waiting tasks on workers. It answers demand that comes in turns:
// while a pool holds less than is asked of it, jobs that earn most for the work
// that is left go first, and tasks are packed so that large ones find room.
func (o *owner) plan() {
	pools := map[vocab.PoolID][]*worker{}
	for _, id := range o.workerIDs {
		w := o.workers[id]
		if w.usable(o.s.now) {
			pools[w.info.Pool] = append(pools[w.info.Pool], w)
		}
	}
	d := newDemand(o)
	for _, c := range o.candidates() {
		o.placeJob(c.work, pools[c.pool])
		d.add(c.pool, c.work)
	}
	o.noteDemand(d.pools)
}

// candidate is a job with tasks that wait.
type candidate struct {
	work  *work
	pool  vocab.PoolID
	class int
	score float64
}

// candidates lists the jobs with waiting tasks in the order of service.
func (o *owner) candidates() []candidate {
	var list []candidate
	for _, w := range o.jobOrder {
		if w.ended != 0 || !w.anyWaiting() {
			continue
		}
		list = append(list, o.rate(w))
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.class, b.class); c != 0 {
			return c
		}
		return cmp.Compare(b.score, a.score)
	})
	return list
}

func (w *work) anyWaiting() bool {
	for _, occ := range w.occurrences {
		for _, st := range occ.steps {
			if st.waiting() > 0 && st.ready() {
				return true
			}
		}
	}
	return false
}

// Order of service, lowest first.
const (
	classLasting = iota
	classInTime
	classExcess
	classLate
	classOverdue
)

// withinRate counts a new job against its team's rate: as many a second as the
// team's weight. One team that sends many times its usual does not hold the
// others up.
func (o *owner) withinRate(w *work) bool {
	if o.s.config == nil {
		return true
	}
	team := o.s.config.teams[w.accepted.Team]
	if team == nil || team.Weight <= 0 {
		return true
	}
	r := o.teamRates[team.Name]
	if r == nil {
		r = &teamRate{left: team.Weight * rateBurst.Seconds(), at: w.accepted.At}
		o.teamRates[team.Name] = r
	}
	passed := max(0, float64(w.accepted.At-r.at)/1000)
	r.left = min(r.left+passed*team.Weight, team.Weight*rateBurst.Seconds())
	r.at = max(r.at, w.accepted.At)
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}

// teamRate is what a team may still hand in at its rate.
type teamRate struct {
	left float64
	at   Millis
}

// rateBurst is the time for which an unused rate is kept.
const rateBurst = 2 * time.Second

// queueOf returns the queue of a job, or nil if it is no longer configured.
func (o *owner) queueOf(w *work) *Queue {
	if o.s.config == nil {
		return nil
	}
	return o.s.config.queues[w.accepted.Queue]
}

// poolOf returns the pool that runs a job: that of its queue, or the one that
// was the queue's when the job was accepted.
func (o *owner) poolOf(w *work) vocab.PoolID {
	if q := o.queueOf(w); q != nil {
		return q.Pool
	}
	return w.accepted.Pool
}

// rate gives a job its place in the order of service.
func (o *owner) rate(w *work) candidate {
	c := candidate{work: w, pool: o.poolOf(w)}
	q := o.queueOf(w)
	if w.lasting() {
		c.class = classLasting
		c.score = -float64(w.accepted.At)
		return c
	}
	total, left, chain := o.amounts(w)
	c.class = classInTime
	if q != nil {
		age := time.Duration(o.s.wall-w.accepted.At) * time.Millisecond
		objective := time.Duration(q.Stretch*float64(o.chain(w))) + q.Latency
		switch {
		case age+chain > lateFactor*objective:
			c.class = classOverdue
		case age+chain > objective:
			c.class = classLate
		case w.excess:
			c.class = classExcess
		}
	}
	// A fixed part and one by work is earned for a whole job.
	c.score = (fixedPart*meanWork + (1-fixedPart)*total) / max(left, leastWork)
	return c
}

const (
	// lateFactor times the objective is when a job earns nothing more.
	lateFactor = 3
	// fixedPart is the part of a job's value that does not grow with its work.
	fixedPart = 0.3
	// meanWork stands for the work of an ordinary job, in core-seconds.
	meanWork = 12.0
	// leastWork bounds the score of a job that is nearly done, in core-seconds.
	leastWork = 0.05
)

// lasting reports whether the job has long-running tasks.
func (w *work) lasting() bool {
	for i := range w.accepted.Spec.Steps {
		if w.accepted.Spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// amounts returns the work of the job and what is left of it, in core-seconds,
// and the longest chain that is left.
func (o *owner) amounts(w *work) (total, left float64, chain time.Duration) {
	for _, occ := range w.occurrences {
		ends := make([]time.Duration, len(occ.steps))
		for i, st := range occ.steps {
			one := o.estimates.runTime(w.accepted.Queue, st.spec.EstimateMS)
			each := float64(max(st.spec.Need.CPU, 1)) / 1000 * one.Seconds()
			total += each * float64(len(st.tasks))
			left += each * float64(len(st.tasks)-st.done)
			for _, before := range st.spec.After {
				ends[i] = max(ends[i], ends[before])
			}
			if st.done < len(st.tasks) {
				ends[i] += one
			}
			chain = max(chain, ends[i])
		}
	}
	return total, left, chain
}

// chain is the longest chain of work of one occurrence.
func (o *owner) chain(w *work) time.Duration {
	longest := make([]time.Duration, len(w.accepted.Spec.Steps))
	var most time.Duration
	for i := range w.accepted.Spec.Steps {
		st := &w.accepted.Spec.Steps[i]
		for _, before := range st.After {
			longest[i] = max(longest[i], longest[before])
		}
		longest[i] += o.estimates.runTime(w.accepted.Queue, st.EstimateMS)
		most = max(most, longest[i])
	}
	return most
}

// placeJob places as many of a job's waiting tasks as find room.
func (o *owner) placeJob(w *work, workers []*worker) {
	for _, occ := range w.occurrences {
		for _, st := range occ.steps {
			if st.waiting() <= 0 || !st.ready() {
				continue
			}
			if st.spec.Gang {
				o.placeGang(st, workers)
				continue
			}
			for _, t := range st.tasks {
				if t.done || t.worker != nil {
					continue
				}
				best := o.choose(t, workers)
				if best == nil {
					o.askAdvice(st, workers)
					break
				}
				o.assign(t, best)
			}
		}
	}
}

// choose filters and scores the workers for a task: of those with room the one
// that is left with the least.
func (o *owner) choose(t *task, workers []*worker) *worker {
	st := t.step
	if !o.withinLimit(st) {
		return nil
	}
	need := st.spec.Reserved()
	advised := o.advisedOf(st.work) != nil
	rack := st.commonRack(workers)
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if !w.free().Holds(need) || !o.suits(t, w) {
			continue
		}
		if _, held := st.ticketFor(w, o.s.now); advised && !held {
			continue
		}
		score := placementScore(st.spec, w)
		if rack != "" && w.info.Rack != rack {
			score += wrongRack
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// withinLimit reports whether the team may have one task more running.
func (o *owner) withinLimit(st *step) bool {
	if o.s.config == nil {
		return false
	}
	team := o.s.config.teams[st.work.accepted.Team]
	if team == nil {
		return true
	}
	use := o.teamUsage[team.Name].Plus(st.spec.Need)
	limit := team.Limit
	return (limit.CPU == 0 || use.CPU <= limit.CPU) && (limit.Memory == 0 || use.Memory <= limit.Memory) &&
		(limit.GPU == 0 || use.GPU <= limit.GPU)
}

// suits reports whether a worker may run a task, room apart.
func (o *owner) suits(t *task, w *worker) bool {
	spec := t.step.spec
	if spec.Label != "" && !w.info.HasLabel(spec.Label) {
		return false
	}
	if most := t.mostPerWorker(o.s.now); most > 0 {
		same := 0
		for _, other := range w.tasks {
			if other.step == t.step {
				same++
			}
		}
		if same >= most {
			return false
		}
	}
	return true
}

// spreadFor is how long a long-running task waits for a worker that has few of
// its step before it takes any.
const spreadFor = 500 * time.Millisecond

// mostPerWorker is the most tasks of a step on one worker, or 0 for no bound. A
// long-running task that has waited takes any worker that its step allows.
func (t *task) mostPerWorker(now vocab.Instant) int {
	if t.step.spec.LongRunning && now.Sub(max(t.freeAt, t.step.work.seenAt)) > spreadFor {
		return t.step.spec.MaxPerWorker
	}
	return t.step.spreadMost()
}

// wrongRack is added to the score of a worker far from the data.
const wrongRack = 1e6

// commonRack is the rack for the tasks of a step that run best within one: that
// of a task that runs already, else the one with the most room.
func (st *step) commonRack(workers []*worker) vocab.RackID {
	if !st.spec.SameRack {
		return ""
	}
	for _, t := range st.tasks {
		if t.worker != nil {
			return t.worker.info.Rack
		}
	}
	room := map[vocab.RackID]int64{}
	var best vocab.RackID
	for _, w := range workers {
		rack := w.info.Rack
		room[rack] += max(0, w.free().CPU)
		if room[rack] > room[best] || room[rack] == room[best] && rack < best {
			best = rack
		}
	}
	return best
}

func placementScore(spec *Step, w *worker) float64 {
	free := w.free().Minus(spec.Reserved())
	score := float64(free.CPU) / float64(max(w.info.Room.CPU, 1))
	score += float64(free.Memory) / float64(max(w.info.Room.Memory, 1)) / 4
	if spec.DataRack != "" && !w.info.HasLabel(spec.DataRack) {
		score += wrongRack
	}
	return score
}

// placeGang places all tasks of a gang at once, or none. All members carry one
// run number and one checkpoint.
func (o *owner) placeGang(st *step, workers []*worker) {
	if st.assigned > 0 || st.done > 0 {
		return
	}
	var run Run
	checkpoint := ""
	for _, t := range st.tasks {
		run = max(run, t.lastRun)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for _, t := range st.tasks {
		t.lastRun, t.checkpoint = run, checkpoint
		best := o.choose(t, workers)
		if best == nil {
			o.askAdvice(st, workers)
			o.releaseAll(st)
			return
		}
		o.assign(t, best)
	}
}

func (o *owner) releaseAll(st *step) {
	for _, t := range st.tasks {
		if t.worker != nil && t.stage == planned {
			o.release(t)
		}
	}
	o.planDue = false
}
