package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// fullPercent is the whole of the reserved processor time.
const fullPercent = 100

// Run is an attempt for which room is reserved on a worker.
type Run struct {
	Task  vocab.TaskID
	Queue vocab.QueueID
	Team  vocab.TeamID
	Need  Size
	// Since is when the room was reserved.
	Since       vocab.Instant
	Urgent      bool
	Idempotent  bool
	Checkpoints bool
	// Percent is the part of the processor time that the attempt gets.
	Percent int
	// Leaving means that the attempt was told to make room.
	Leaving bool
}

func (r *Run) holds() Size {
	held := r.Need
	held.MilliCPU = held.MilliCPU * int64(r.Percent) / fullPercent
	return held
}

// domain is a rack, or with an empty rack a whole availability zone.
type domain struct {
	zone vocab.ZoneID
	rack vocab.RackID
}

// node is a worker with what is reserved on it.
type node struct {
	info worker.Info
	runs []Run
	held Size
	// observed is the use that the worker last reported, and observedAt the
	// instant it stands for.
	observed   Size
	observedAt vocab.Instant
	// gone keeps a worker that left the list while it still holds runs.
	gone bool
	// suspect keeps new work from a worker that did not answer.
	suspect bool
	health  workerHealth
}

// Fleet holds the workers and the room reserved on them.
type Fleet struct {
	nodes []*node
	// free is the room of each node, in the order of nodes, for fast scans.
	free   []Size
	index  map[vocab.VMID]int
	total  Size
	byTeam map[vocab.TeamID]Size
	// spread counts the runs of each queue in each zone and rack.
	spread map[vocab.QueueID]map[domain]int
	// throttled is the number of runs with less than their full processor time.
	throttled int
	queues    map[vocab.QueueID]*failures
	aside     int
	cursor    int
	// HealthOff keeps failing workers in use.
	HealthOff bool
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{
		index:  map[vocab.VMID]int{},
		byTeam: map[vocab.TeamID]Size{},
		spread: map[vocab.QueueID]map[domain]int{},
		queues: map[vocab.QueueID]*failures{},
	}
}

// Set takes the list of workers. It reports whether the capacity changed.
func (f *Fleet) Set(list []worker.Info) bool {
	listed := make(map[vocab.VMID]bool, len(list))
	changed := false
	for _, info := range list {
		listed[info.Worker] = true
		changed = f.setOne(info) || changed
	}
	for _, n := range f.nodes {
		if !listed[n.info.Worker] && !n.gone {
			n.gone = true
			changed = true
		}
	}
	f.rebuild()
	return changed
}

func (f *Fleet) setOne(info worker.Info) bool {
	i, ok := f.index[info.Worker]
	if !ok {
		f.index[info.Worker] = len(f.nodes)
		f.nodes = append(f.nodes, &node{info: info})
		return true
	}
	n := f.nodes[i]
	changed := n.gone || n.info != info
	if n.info.Incarnation != info.Incarnation {
		n.health = workerHealth{}
		n.observed = Size{}
	}
	n.info = info
	n.gone = false
	return changed
}

// rebuild sorts the nodes, drops those that are gone and empty, and recounts.
func (f *Fleet) rebuild() {
	f.nodes = slices.DeleteFunc(f.nodes, func(n *node) bool { return n.gone && len(n.runs) == 0 })
	slices.SortFunc(f.nodes, func(a, b *node) int { return cmp.Compare(a.info.Worker, b.info.Worker) })
	f.index = make(map[vocab.VMID]int, len(f.nodes))
	f.free = make([]Size, len(f.nodes))
	f.total = Size{}
	f.aside = 0
	for i, n := range f.nodes {
		f.index[n.info.Worker] = i
		f.refresh(i)
		if !n.gone {
			f.total = add(f.total, n.info.Capacity)
		}
		if n.health.aside {
			f.aside++
		}
	}
}

// closed is the room of a worker that takes no work.
var closed = Size{MilliCPU: -1, MemoryBytes: -1, Accelerators: -1}

// refresh works out the free room of one node. The use is what is reserved or,
// if more, what was reported plus what was reserved since the report's instant.
func (f *Fleet) refresh(i int) {
	n := f.nodes[i]
	if n.gone || n.suspect || n.info.Leaving || n.health.aside {
		f.free[i] = closed
		return
	}
	reported := n.observed
	for _, r := range n.runs {
		if !r.Since.Before(n.observedAt) {
			reported = add(reported, r.holds())
		}
	}
	used := n.held
	if n.observedAt != 0 {
		used.MemoryBytes = max(used.MemoryBytes, reported.MemoryBytes)
	}
	f.free[i] = sub(n.info.Capacity, used)
}

// Reserve holds room for an attempt, whether or not it fits.
func (f *Fleet) Reserve(name vocab.VMID, r Run) {
	i, ok := f.index[name]
	if !ok {
		i = len(f.nodes)
		f.index[name] = i
		f.nodes = append(f.nodes, &node{info: worker.Info{Worker: name}, gone: true})
		f.free = append(f.free, closed)
	}
	if r.Percent == 0 {
		r.Percent = fullPercent
	}
	n := f.nodes[i]
	n.runs = append(n.runs, r)
	n.held = add(n.held, r.holds())
	f.byTeam[r.Team] = add(f.byTeam[r.Team], r.Need)
	f.countSpread(r.Queue, &n.info, 1)
	f.refresh(i)
}

// Release gives back the room of a task's attempt.
func (f *Fleet) Release(name vocab.VMID, task vocab.TaskID) {
	i, k := f.find(name, task)
	if k < 0 {
		return
	}
	n := f.nodes[i]
	r := n.runs[k]
	n.runs = slices.Delete(n.runs, k, k+1)
	n.held = sub(n.held, r.holds())
	f.byTeam[r.Team] = sub(f.byTeam[r.Team], r.Need)
	f.countSpread(r.Queue, &n.info, -1)
	if r.Percent < fullPercent {
		f.throttled--
	}
	f.refresh(i)
}

func (f *Fleet) countSpread(queue vocab.QueueID, info *worker.Info, by int) {
	counts, ok := f.spread[queue]
	if !ok {
		counts = map[domain]int{}
		f.spread[queue] = counts
	}
	counts[domain{}] += by
	counts[domain{zone: info.Zone}] += by
	if info.Rack != "" {
		counts[domain{zone: info.Zone, rack: info.Rack}] += by
	}
}

func (f *Fleet) find(name vocab.VMID, task vocab.TaskID) (int, int) {
	i, ok := f.index[name]
	if !ok {
		return 0, -1
	}
	k := slices.IndexFunc(f.nodes[i].runs, func(r Run) bool { return r.Task == task })
	return i, k
}

// Observe takes a worker's report of its use, which is lag old at now.
func (f *Fleet) Observe(now vocab.Instant, name vocab.VMID, used Size, lag time.Duration) {
	i, ok := f.index[name]
	if !ok {
		return
	}
	f.nodes[i].observed = used
	f.nodes[i].observedAt = now.Add(-lag)
	f.refresh(i)
}

// SetSuspect keeps new work from a worker, or lets it have work again.
func (f *Fleet) SetSuspect(name vocab.VMID, suspect bool) {
	i, ok := f.index[name]
	if !ok {
		return
	}
	f.nodes[i].suspect = suspect
	f.refresh(i)
}

// MarkLeaving notes that an attempt was told to make room.
func (f *Fleet) MarkLeaving(name vocab.VMID, task vocab.TaskID) {
	if i, k := f.find(name, task); k >= 0 {
		f.nodes[i].runs[k].Leaving = true
	}
}

// SetPercent changes the part of the processor time that an attempt gets.
func (f *Fleet) SetPercent(name vocab.VMID, task vocab.TaskID, percent int) {
	i, k := f.find(name, task)
	if k < 0 {
		return
	}
	n := f.nodes[i]
	before := n.runs[k].holds()
	if n.runs[k].Percent < fullPercent {
		f.throttled--
	}
	if percent < fullPercent {
		f.throttled++
	}
	n.runs[k].Percent = percent
	n.runs[k].Leaving = false
	n.held = add(sub(n.held, before), n.runs[k].holds())
	f.refresh(i)
}

// Resize changes the room that is reserved for an attempt.
func (f *Fleet) Resize(name vocab.VMID, task vocab.TaskID, need Size) {
	i, k := f.find(name, task)
	if k < 0 {
		return
	}
	n := f.nodes[i]
	r := &n.runs[k]
	n.held = sub(n.held, r.holds())
	f.byTeam[r.Team] = add(sub(f.byTeam[r.Team], r.Need), need)
	r.Need = need
	n.held = add(n.held, r.holds())
	f.refresh(i)
}

// Worker returns what is known of a listed worker.
func (f *Fleet) Worker(name vocab.VMID) (worker.Info, bool) {
	i, ok := f.index[name]
	if !ok || f.nodes[i].gone {
		return worker.Info{}, false
	}
	return f.nodes[i].info, true
}

// Throttled reports whether some attempt has less than its processor time.
func (f *Fleet) Throttled() bool { return f.throttled > 0 }

// Total returns the capacity of all listed workers.
func (f *Fleet) Total() Size { return f.total }

// Use returns the room that a team holds.
func (f *Fleet) Use(team vocab.TeamID) Size { return f.byTeam[team] }

// Held returns the room that is held on a worker, and its free room.
func (f *Fleet) Held(name vocab.VMID) (held, free Size) {
	i, ok := f.index[name]
	if !ok {
		return Size{}, closed
	}
	return f.nodes[i].held, f.free[i]
}
