package placement

import (
	"container/heap"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Account counts what a team has running, requests and tasks together, against
// its upper limit.
type Account interface {
	// Take reserves one slot; it reports false at the upper limit.
	Take(team vocab.TeamID) bool
	// Adopt counts a slot that is in use already, whatever the limit says.
	Adopt(team vocab.TeamID)
	// Release gives back one slot.
	Release(team vocab.TeamID)
}

// Input is what one pass of placement works on. The pass reserves room in
// Fleet and removes the tasks it places from Waiting.
type Input struct {
	Now     vocab.Instant
	Waiting *Waiting
	Fleet   *Fleet
	Learner *Learner
	Account Account
	// Weight returns a team's share; values below 1 count as 1.
	Weight func(vocab.TeamID) int
	// Limit is the most bindings and parkings of the pass.
	Limit int
	// Drains is the number of workers on which room is being held already for
	// tasks that waited long.
	Drains int
}

// Output is what one pass decided.
type Output struct {
	Bindings    []Binding
	Parkings    []Parking
	Preemptions []Preemption
	// Restores lists throttled attempts that can have their full processor time.
	Restores []Victim
}

// Binding places a task on a worker. Its slot is taken and its room reserved.
type Binding struct {
	Task   vocab.TaskID
	Worker vocab.VMID
	Need   Size
}

// Parking names a task that no worker could run even if it were empty.
type Parking struct {
	Task   vocab.TaskID
	Reason string
}

const (
	// classWindow is the number of a team's classes that are looked at together.
	classWindow = 32
	// maxMisses is the number of classes in a row for which a team may find no
	// room before it waits for the next pass.
	maxMisses = 32
)

type planner struct {
	Input
	out Output
	// unfit has sizes that found no room in this pass.
	unfit []Size
	// probes is false once no worker is due for a probe.
	probes bool
	// short has the urgent tasks that found no room.
	short []shortage
	// largest caches Fleet.largest for the pass.
	largest []Size
}

type shortage struct {
	entry
	class *classQueue
	need  Size
}

// Plan places waiting tasks: urgent ones first, then team by team, the team
// with the least use for its share first.
func Plan(in Input) Output {
	p := &planner{Input: in, probes: true}
	in.Learner.MemoryBytes = in.Fleet.typical().MemoryBytes
	p.lane(true)
	p.preempt()
	p.lane(false)
	if len(p.short) == 0 {
		p.restore()
	}
	return p.out
}

func (p *planner) full() bool {
	return len(p.out.Bindings)+len(p.out.Parkings)+len(p.out.Preemptions) >= p.Limit
}

func (p *planner) lane(urgent bool) {
	teams := p.teams(urgent)
	for teams.Len() > 0 && !p.full() {
		t := teams[0]
		if p.placeNext(t) {
			t.use = p.weightedUse(t.name)
			heap.Fix(&teams, 0)
			continue
		}
		t.refill()
		if t.blocked || t.misses >= maxMisses || t.classes.Len() == 0 {
			heap.Pop(&teams)
		}
	}
}

func (p *planner) teams(urgent bool) teamHeap {
	var teams teamHeap
	for _, l := range p.Waiting.order {
		if l.urgent != urgent || len(l.classes) == 0 {
			continue
		}
		l.trim(classWindow)
		t := &teamWork{lane: l, name: l.team, use: p.weightedUse(l.team)}
		t.refill()
		if t.classes.Len() > 0 {
			teams = append(teams, t)
		}
	}
	heap.Init(&teams)
	return teams
}

func (p *planner) weightedUse(team vocab.TeamID) float64 {
	return dominant(p.Fleet.byTeam[team], p.Fleet.total) / float64(max(1, p.Weight(team)))
}

// placeNext places the oldest task of a team's oldest class. It reports false,
// and drops the class, if there is no room for it.
func (p *planner) placeNext(t *teamWork) bool {
	q := t.classes[0]
	head, ok := p.Waiting.head(q)
	if !ok {
		p.Waiting.drop(q)
		heap.Pop(&t.classes)
		return false
	}
	need := p.Learner.Estimate(q.Queue, q.Declared, q.DeclaredRun, q.Lacks).Size
	if reason := p.impossible(need); reason != "" {
		p.Waiting.Remove(head.task)
		p.out.Parkings = append(p.out.Parkings, Parking{Task: head.task, Reason: reason})
		return true
	}
	if !p.Account.Take(t.name) {
		t.blocked = true
		return false
	}
	if p.bind(q, head, need) {
		heap.Fix(&t.classes, 0)
		t.misses = 0
		return true
	}
	p.Account.Release(t.name)
	if q.Urgent {
		p.short = append(p.short, shortage{entry: head, class: q, need: need})
	}
	if !q.Urgent && p.drain(q, head, need) {
		return true
	}
	heap.Pop(&t.classes)
	t.misses++
	return false
}

// bind filters, scores and reserves.
func (p *planner) bind(q *classQueue, e entry, need Size) bool {
	i, ok := p.probeFor(q, e, need)
	if !ok {
		i, ok = p.choose(q, e, need)
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

func newRun(now vocab.Instant, q *classQueue, e entry, need Size) Run {
	return Run{
		Task: e.task, Queue: q.Queue, Team: q.Team, Need: need, Since: now,
		Urgent: q.Urgent, Idempotent: q.Idempotent, Checkpoints: q.Checkpoints,
	}
}

// probeFor returns a worker that is due for a probe, if the task is fit to be
// one. A task that failed before tells nothing of the worker.
func (p *planner) probeFor(q *classQueue, e entry, need Size) (int, bool) {
	if !p.probes || q.Urgent || !q.Idempotent || len(e.avoid) > 0 {
		return 0, false
	}
	i, ok := p.Fleet.probe(p.Now)
	if !ok {
		p.probes = false
		return 0, false
	}
	return i, fits(need, p.Fleet.nodes[i].info.Capacity)
}

// impossible returns why no listed worker could run the task even if empty.
func (p *planner) impossible(need Size) string {
	if p.largest == nil {
		p.largest = p.Fleet.largest()
	}
	if len(p.largest) == 0 {
		return ""
	}
	for _, c := range p.largest {
		if fits(need, c) {
			return ""
		}
	}
	return "needs " + Describe(need) + "; no worker is that large"
}

// largest returns the capacities that no other listed worker's contains.
func (f *Fleet) largest() []Size {
	var all []Size
	for _, n := range f.nodes {
		c := n.info.Capacity
		if n.gone || slices.ContainsFunc(all, func(s Size) bool { return fits(c, s) }) {
			continue
		}
		all = slices.DeleteFunc(all, func(s Size) bool { return fits(s, c) })
		all = append(all, c)
	}
	return all
}

// typical returns the mean capacity of a listed worker.
func (f *Fleet) typical() Size {
	count := int64(max(1, len(f.nodes)))
	return Size{
		MilliCPU:     f.total.MilliCPU / count,
		MemoryBytes:  f.total.MemoryBytes / count,
		Accelerators: f.total.Accelerators / count,
	}
}

// Fits reports whether some listed worker could run the size if it were empty.
func (f *Fleet) Fits(need Size) bool {
	return slices.ContainsFunc(f.largest(), func(c Size) bool { return fits(need, c) })
}
