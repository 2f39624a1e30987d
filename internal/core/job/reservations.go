package job

import (
	"github.com/sardinehead/sardinehead/internal/core/lookahead"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// maxReservations bounds the reservations of one pool: each keeps smaller tasks off the
	// reserved workers for a while.
	maxReservations = 4
	// largeTaskFraction is the part of a worker from which a task counts as large. Two smaller
	// tasks fit on one worker, so that each end of one makes room for another.
	largeTaskFraction = 0.5
	// maxReservationSlip is the delay of its date after which a reservation is made anew: as
	// long as a caller waits for a machine from another pool.
	maxReservationSlip = machineLead
)

// reservation is a date on named workers for tasks of a step that are too large for the free
// room. Smaller tasks may use these workers before if they are expected to end by then. It
// is derived from the running tasks: the next owner makes its own.
type reservation struct {
	step *step
	pool vocab.PoolID
	// at is the time from which the room is expected to be free, madeAt when the reservation
	// was made.
	at, madeAt vocab.Instant
	workers    []*worker
	// tasks[i] is the number of tasks on workers[i].
	tasks []int
}

// workerHold is the part of a reservation on one worker.
type workerHold struct {
	lookahead.Hold
	step *step
}

// refreshReservations drops the reservations that are no longer needed or possible, and holds
// the room of the others for the placement pass.
func (o *owner) refreshReservations() {
	kept := o.reservations[:0]
	for _, r := range o.reservations {
		if o.isReservationValid(r) && o.holdRoom(r) {
			kept = append(kept, r)
		}
	}
	clear(o.reservations[len(kept):])
	o.reservations = kept
}

func (o *owner) isReservationValid(r *reservation) bool {
	j := r.step.job
	if !o.policy.reservations || j.terminalPhase != 0 || o.jobs[j.record.ID] != j || r.step.waiting() == 0 || o.poolOf(j) != r.pool {
		return false
	}
	if t := o.timesOf(j); !t.known || t.slackUntilOverdue() < 0 && !t.starves() {
		return false
	}
	for _, w := range r.workers {
		if !w.usable(o.s.now) || w.info.Pool != r.pool || w.hold != nil {
			return false
		}
	}
	return true
}

// holdRoom keeps the room of a reservation for its step. Its date is not postponed, so that
// no later task is let in for a later date; it reports false if the tasks on the workers last
// much longer than expected, and the step gets a new date, on other workers if they are free
// before.
func (o *owner) holdRoom(r *reservation) bool {
	need, total := sizeOf(r.step.spec.Reserved()), 0
	rooms := make([]lookahead.Room, len(r.workers))
	for i, w := range r.workers {
		rooms[i] = o.roomOf(w, r.tasks[i])
		total += r.tasks[i]
	}
	again, ok := lookahead.Reserve(o.s.now, rooms, need, total)
	if !ok || again.At.Sub(r.at) > maxReservationSlip {
		return false
	}
	r.at = min(r.at, again.At)
	for i, w := range r.workers {
		w.hold = &workerHold{lookahead.NewHold(rooms[i], max(r.at, o.s.now), need, r.tasks[i]), r.step}
	}
	return true
}

// reserve gives a step whose tasks fit on no worker a date on named workers: all tasks of a
// gang, otherwise the next large task.
func (o *owner) reserve(st *step, pool vocab.PoolID, p *poolRoom) {
	if !o.policy.reservations || st.spec.LongRunning || o.advisorOf(st.job) != nil || !o.withinTeamLimit(st) ||
		!o.mayReserve(st, pool) || !needsReservation(st, p) {
		return
	}
	n := 1
	if st.spec.Gang {
		n = len(st.tasks)
	}
	var workers []*worker
	var rooms []lookahead.Room
	for _, w := range p.workers {
		if w.hold != nil || st.spec.Label != "" && !w.info.HasLabel(st.spec.Label) || !w.info.Capacity.Holds(st.spec.Reserved()) {
			continue
		}
		limit := st.spec.MaxPerWorker
		if limit == 0 {
			limit = n
		}
		workers, rooms = append(workers, w), append(rooms, o.roomOf(w, limit))
	}
	found, ok := lookahead.Reserve(o.s.now, rooms, sizeOf(st.spec.Reserved()), n)
	if !ok {
		return
	}
	r := &reservation{step: st, pool: pool, at: found.At, madeAt: o.s.now}
	for i, tasks := range found.Tasks {
		if tasks > 0 {
			r.workers, r.tasks = append(r.workers, workers[i]), append(r.tasks, tasks)
		}
	}
	if !o.holdRoom(r) {
		return
	}
	o.reservations = append(o.reservations, r)
	o.s.logEvent(LogRoomReserved, "pool", pool, "job", st.job.record.ID, "step", st.number, "tasks", n, "worker", r.workers[0].info.ID,
		"workers", len(r.workers), "in_ms", r.at.Sub(o.s.now).Milliseconds())
}

// needsReservation reports whether smaller tasks could take the room of the step for ever: its
// tasks are large for the workers of the pool, or have to run together.
func needsReservation(st *step, p *poolRoom) bool {
	if st.spec.Gang {
		return true
	}
	need, c := st.spec.Reserved(), p.largest()
	return float64(need.CPU) >= largeTaskFraction*float64(c.CPU) || float64(need.Memory) >= largeTaskFraction*float64(c.Memory)
}

// mayReserve reports whether the step has no reservation yet and its pool may have one more.
func (o *owner) mayReserve(st *step, pool vocab.PoolID) bool {
	n := 0
	for _, r := range o.reservations {
		if r.step == st {
			return false
		}
		if r.pool == pool {
			n++
		}
	}
	return n < maxReservations
}

// roomOf is the free capacity of a worker as a function of time, for at most limit tasks.
func (o *owner) roomOf(w *worker, limit int) lookahead.Room {
	room := lookahead.Room{Free: sizeOf(w.free()), Limit: limit}
	for _, t := range w.tasks {
		if end := o.expectedEnd(t); end != never {
			room.Releases = append(room.Releases, lookahead.Release{At: end, Size: sizeOf(t.step.spec.Reserved())})
		}
	}
	return room
}
