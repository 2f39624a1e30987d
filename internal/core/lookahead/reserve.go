package lookahead

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Size is an amount of resources: millicores, MiB and accelerators.
type Size struct{ CPU, Memory, GPU int64 }

func (s Size) plus(o Size) Size  { return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.GPU + o.GPU} }
func (s Size) minus(o Size) Size { return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.GPU - o.GPU} }
func (s Size) holds(o Size) bool { return o.CPU <= s.CPU && o.Memory <= s.Memory && o.GPU <= s.GPU }

func (s Size) times(n int) Size {
	return Size{s.CPU * int64(n), s.Memory * int64(n), s.GPU * int64(n)}
}

// count is the number of tasks of a size that s holds, at most limit.
func (s Size) count(need Size, limit int) int {
	n := int64(limit)
	for _, r := range [3][2]int64{{s.CPU, need.CPU}, {s.Memory, need.Memory}, {s.GPU, need.GPU}} {
		switch {
		case r[0] < 0 && r[1] > 0:
			return 0
		case r[1] > 0:
			n = min(n, r[0]/r[1])
		}
	}
	return int(n)
}

// Release is the time at which a running task is expected to free its resources.
type Release struct {
	At   vocab.Instant
	Size Size
}

// Room is a worker's free capacity as a function of time.
type Room struct {
	Free     Size
	Releases []Release
	// Limit is the largest number of the tasks that the worker may hold.
	Limit int
}

// FreeAt is the capacity that is expected to be free at a time.
func (r Room) FreeAt(at vocab.Instant) Size {
	free := r.Free
	for _, e := range r.Releases {
		if e.At <= at {
			free = free.plus(e.Size)
		}
	}
	return free
}

// Reservation is the room for the tasks of a step: from a time on, Tasks[i] of them on the
// i-th room.
type Reservation struct {
	At    vocab.Instant
	Tasks []int
}

// Reserve returns the earliest time at which n tasks of a size fit at once, and where. It
// reports false if they never do.
func Reserve(now vocab.Instant, rooms []Room, need Size, n int) (Reservation, bool) {
	if n <= 0 {
		return Reservation{}, false
	}
	type step struct {
		at   vocab.Instant
		room int
	}
	var steps []step
	counts := make([]int, len(rooms))
	total := 0
	for i, r := range rooms {
		counts[i] = r.Free.count(need, r.Limit)
		total += counts[i]
		for _, e := range r.Releases {
			steps = append(steps, step{e.At, i})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		default:
			return a.room - b.room
		}
	})
	at := now
	for _, s := range steps {
		if total >= n {
			break
		}
		at = max(at, s.at)
		c := rooms[s.room].FreeAt(s.at).count(need, rooms[s.room].Limit)
		total += c - counts[s.room]
		counts[s.room] = c
	}
	if total < n {
		return Reservation{}, false
	}
	return Reservation{at, take(counts, n)}, true
}

// take assigns n tasks to the rooms that hold most of them, so that few workers are reserved.
func take(counts []int, n int) []int {
	order := make([]int, len(counts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return counts[b] - counts[a] })
	taken := make([]int, len(counts))
	for _, i := range order {
		taken[i] = min(n, counts[i])
		n -= taken[i]
	}
	return taken
}

// Hold is the part of a reservation on one worker.
type Hold struct {
	// At is the time from which the room is reserved, Spare what is left of the worker then.
	At    vocab.Instant
	Spare Size
}

// NewHold reserves room for tasks of a size on a worker from a time on.
func NewHold(r Room, at vocab.Instant, need Size, tasks int) Hold {
	return Hold{At: at, Spare: r.FreeAt(at).minus(need.times(tasks))}
}

// Admits reports whether another task may use the worker: it ends before the room is
// reserved, or leaves the reserved room free.
func (h Hold) Admits(end vocab.Instant, need Size) bool { return end <= h.At || h.Spare.holds(need) }

// Add counts a task that was placed on the worker.
func (h *Hold) Add(end vocab.Instant, need Size) {
	if end > h.At {
		h.Spare = h.Spare.minus(need)
	}
}
