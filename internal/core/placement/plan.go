package placement

import (
	"container/heap"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// SlotAccount counts the slots that a team uses for requests and tasks together, up to
// its upper limit.
type SlotAccount interface {
	// TryAcquire acquires one slot; it returns false at the upper limit.
	TryAcquire(team vocab.TeamID) bool
	// AcquireOverLimit counts a slot that is already in use, even above the upper limit.
	AcquireOverLimit(team vocab.TeamID)
	// Release releases one slot.
	Release(team vocab.TeamID)
}

// Input is the input of one placement pass. The pass reserves capacity in Fleet
// and removes from Waiting the tasks that it places or parks.
type Input struct {
	Now       vocab.Instant
	Waiting   *Waiting
	Fleet     *Fleet
	Estimator *Estimator
	Account   SlotAccount
	// Weight returns a team's weight; values below 1 count as 1.
	Weight func(vocab.TeamID) int
	// MaxDecisions is the maximum number of bindings, parkings and preemptions of the
	// pass.
	MaxDecisions int
	// Reservations is the number of workers that are already reserved for tasks that
	// would otherwise starve.
	Reservations int
}

// Output holds the decisions of one placement pass.
type Output struct {
	Bindings    []Binding
	Parkings    []Parking
	Preemptions []Preemption
	// Restores lists throttled attempts for which the full CPU share is free.
	Restores []Victim
}

// Binding assigns a task to a worker. Its slot is acquired and its capacity
// reserved.
type Binding struct {
	Task   vocab.TaskID
	Worker vocab.VMID
	Need   Size
}

// Parking parks a task that would not fit even on an empty worker.
type Parking struct {
	Task   vocab.TaskID
	Reason string
}

const (
	// classWindow is the number of a team's classes that a pass loads at a time.
	classWindow = 32
	// maxMisses is the number of consecutive classes without a fitting worker
	// after which a pass places no more tasks of the team.
	maxMisses = 32
)

// planner is the state of one placement pass.
type planner struct {
	Input
	out Output
	// unplaceable has sizes for which no worker had capacity in this pass.
	unplaceable []Size
	// probesDue is false once no worker is due for a probe.
	probesDue bool
	// unplacedUrgent has the urgent tasks for which no worker had capacity.
	unplacedUrgent []unplacedTask
	// maximalCapacities caches Fleet.maximalCapacities for the pass.
	maximalCapacities []Size
}

// unplacedTask is the first task of a class for which no worker had capacity.
type unplacedTask struct {
	entry
	class *classQueue
	need  Size
}

// Plan places waiting tasks: first urgent tasks, by preemption where needed, then
// the others. Each next task is taken from the team with the lowest weighted share
// of the fleet.
func Plan(in Input) Output {
	p := &planner{Input: in, probesDue: true}
	in.Estimator.WorkerMemoryBytes = in.Fleet.meanCapacity().MemoryBytes
	p.placeAll(true)
	p.preempt()
	p.placeAll(false)
	if len(p.unplacedUrgent) == 0 {
		p.restoreCPU()
	}
	return p.out
}

// limitReached reports whether the pass has made as many decisions as it may.
func (p *planner) limitReached() bool {
	return len(p.out.Bindings)+len(p.out.Parkings)+len(p.out.Preemptions) >= p.MaxDecisions
}

// placeAll places tasks, always of the team with the lowest weighted share, until
// none can be placed or the limit of the pass is reached.
func (p *planner) placeAll(urgent bool) {
	teams := p.teamsWithTasks(urgent)
	for teams.Len() > 0 && !p.limitReached() {
		t := teams[0]
		if p.placeNext(t) {
			t.weightedShare = p.weightedShare(t.id)
			heap.Fix(&teams, 0)
			continue
		}
		t.refill()
		if t.atLimit || t.misses >= maxMisses || t.classes.Len() == 0 {
			heap.Pop(&teams)
		}
	}
}

// teamsWithTasks returns the teams that have urgent, or other, waiting tasks.
func (p *planner) teamsWithTasks(urgent bool) teamHeap {
	var teams teamHeap
	for _, b := range p.Waiting.order {
		if b.urgent != urgent || len(b.classes) == 0 {
			continue
		}
		b.removeDropped(classWindow)
		t := &teamCursor{backlog: b, id: b.team, weightedShare: p.weightedShare(b.team)}
		t.refill()
		if t.classes.Len() > 0 {
			teams = append(teams, t)
		}
	}
	heap.Init(&teams)
	return teams
}

// weightedShare returns a team's dominant share of the fleet divided by its weight.
func (p *planner) weightedShare(team vocab.TeamID) float64 {
	return dominantShare(p.Fleet.reservedByTeam[team], p.Fleet.total) / float64(max(1, p.Weight(team)))
}

// placeNext places, parks or reserves a worker for the oldest task of a team's
// oldest class. If it can do none of these, it skips the class in this pass and
// returns false.
func (p *planner) placeNext(t *teamCursor) bool {
	q := t.classes[0]
	head, ok := p.Waiting.head(q)
	if !ok {
		p.Waiting.dropClass(q)
		heap.Pop(&t.classes)
		return false
	}
	need := p.Estimator.Estimate(q.Queue, q.Declared, q.DeclaredRun, q.OutOfMemoryCount).Size
	if reason := p.unsatisfiableReason(need); reason != "" {
		p.Waiting.Remove(head.task)
		p.out.Parkings = append(p.out.Parkings, Parking{Task: head.task, Reason: reason})
		return true
	}
	if !p.Account.TryAcquire(t.id) {
		t.atLimit = true
		return false
	}
	if p.bind(q, head, need) {
		heap.Fix(&t.classes, 0)
		t.misses = 0
		return true
	}
	p.Account.Release(t.id)
	if q.Urgent {
		p.unplacedUrgent = append(p.unplacedUrgent, unplacedTask{entry: head, class: q, need: need})
	}
	if !q.Urgent && p.reserveWorker(q, head, need) {
		return true
	}
	heap.Pop(&t.classes)
	t.misses++
	return false
}

// bind assigns a task to a worker that is due for a probe or has enough free
// capacity. It returns false if there is none.
func (p *planner) bind(q *classQueue, e entry, need Size) bool {
	i, ok := p.probeWorker(q, e, need)
	if !ok {
		i, ok = p.chooseWorker(q, e, need)
	}
	if !ok {
		return false
	}
	name := p.Fleet.nodes[i].info.Worker
	p.Fleet.Reserve(name, newRun(p.Now, q, e, need))
	p.Waiting.Remove(e.task)
	p.out.Bindings = append(p.out.Bindings, Binding{Task: e.task, Worker: name, Need: need})
	return true
}

// newRun returns the attempt of a task that is placed now.
func newRun(now vocab.Instant, q *classQueue, e entry, need Size) Run {
	return Run{
		Task: e.task, Queue: q.Queue, Team: q.Team, Need: need, ReservedAt: now,
		Urgent: q.Urgent, Idempotent: q.Idempotent, Checkpoints: q.Checkpoints,
	}
}

// probeWorker returns the index of a worker that is due for a probe if the task can
// serve as the probe. A task that has failed before cannot: another failure of it
// would be no evidence against the worker.
func (p *planner) probeWorker(q *classQueue, e entry, need Size) (int, bool) {
	if !p.probesDue || q.Urgent || !q.Idempotent || len(e.avoid) > 0 {
		return 0, false
	}
	i, ok := p.Fleet.dueProbe(p.Now)
	if !ok {
		p.probesDue = false
		return 0, false
	}
	return i, fits(need, p.Fleet.nodes[i].info.Capacity)
}

// unsatisfiableReason returns why the task fits on no listed worker even if that
// worker were empty. It returns "" if the task fits, or if no worker is listed.
func (p *planner) unsatisfiableReason(need Size) string {
	if p.maximalCapacities == nil {
		p.maximalCapacities = p.Fleet.maximalCapacities()
	}
	if len(p.maximalCapacities) == 0 {
		return ""
	}
	for _, c := range p.maximalCapacities {
		if fits(need, c) {
			return ""
		}
	}
	return "needs " + Describe(need) + "; no worker is that large"
}

// maximalCapacities returns the capacities of listed workers that are not contained
// in the capacity of another one. Any size that fits an empty worker fits one of
// these.
func (f *Fleet) maximalCapacities() []Size {
	var maximal []Size
	for _, n := range f.nodes {
		c := n.info.Capacity
		if n.delisted || slices.ContainsFunc(maximal, func(s Size) bool { return fits(c, s) }) {
			continue
		}
		maximal = slices.DeleteFunc(maximal, func(s Size) bool { return fits(s, c) })
		maximal = append(maximal, c)
	}
	return maximal
}

// meanCapacity returns the capacity of the listed workers divided by the number of
// nodes.
func (f *Fleet) meanCapacity() Size {
	count := int64(max(1, len(f.nodes)))
	return Size{
		MilliCPU:     f.total.MilliCPU / count,
		MemoryBytes:  f.total.MemoryBytes / count,
		Accelerators: f.total.Accelerators / count,
	}
}

// FitsEmptyWorker reports whether need would fit on some listed worker if that were
// empty.
func (f *Fleet) FitsEmptyWorker(need Size) bool {
	return slices.ContainsFunc(f.maximalCapacities(), func(c Size) bool { return fits(need, c) })
}
