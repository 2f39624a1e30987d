package job

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// waveState is what every node keeps of a wave. Done is on the stream.
type waveState struct {
	wave   Wave
	readAt vocab.Instant
	done   map[MachineID]bool
	// shown is the state that operators were shown.
	shownRunning, shownComplete bool
	// notedAt is when a line last said what the wave waits for.
	notedAt vocab.Instant
}

// waveRecord is the durable state of a wave.
type waveRecord struct {
	Done     []MachineID `json:"done"`
	Complete bool        `json:"complete,omitempty"`
}

const wavePrefix = "w/"

const (
	// upkeepTurn is about how long one machine takes from its order until it
	// is seen up again.
	upkeepTurn = 3500 * time.Millisecond
	// emptyWait is how long a machine waits for its short tasks to end before
	// its upkeep.
	emptyWait = 3 * time.Second
	// waveSlack times the time that a wave needs is when it no longer waits
	// for pools to be idle, and wavePatience the part of its time for which it
	// does at most: machines may be down by themselves at the end.
	waveSlack    = 2
	wavePatience = 0.4
)

func (s *State) waveOrdered(e WaveOrdered) {
	w := s.wave(e.Wave.Number)
	if len(w.wave.Machines) > 0 {
		return
	}
	w.wave, w.readAt = e.Wave, s.now
	s.logEvent(NoteWave, "wave", e.Wave.Number, "machines", len(e.Wave.Machines), "at_once", e.Wave.AtOnce,
		"within_s", e.Wave.Within.Seconds())
}

func (s *State) wave(number int64) *waveState {
	w := s.waves[number]
	if w == nil {
		w = &waveState{done: map[MachineID]bool{}}
		s.waves[number] = w
		at, _ := slices.BinarySearch(s.waveNumbers, number)
		s.waveNumbers = slices.Insert(s.waveNumbers, at, number)
	}
	return w
}

// foldWave takes the durable state of a wave.
func (s *State) foldWave(key string, value []byte) error {
	number, err := strconv.ParseInt(key, 10, 64)
	if err != nil {
		return ErrBadRecord
	}
	var r waveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return ErrBadRecord
	}
	w := s.wave(number)
	for _, id := range r.Done {
		w.done[id] = true
	}
	w.shownComplete = w.shownComplete || r.Complete
	return nil
}

func (o *owner) waveUnderWay() bool {
	for _, number := range o.s.waveNumbers {
		if w := o.s.waves[number]; len(w.wave.Machines) > 0 && !w.shownComplete {
			return true
		}
	}
	return false
}

// waveMachineDone notes that a machine of a wave had its upkeep, or is gone.
func (o *owner) waveMachineDone(number int64, id MachineID) {
	w := o.s.wave(number)
	if w.done[id] {
		return
	}
	w.done[id] = true
	o.writeWave(number, w, false)
}

func (o *owner) writeWave(number int64, w *waveState, complete bool) {
	r := waveRecord{Complete: complete}
	for id := range w.done {
		r.Done = append(r.Done, id)
	}
	slices.Sort(r.Done)
	value, err := json.Marshal(r)
	if err != nil {
		o.s.logEvent(NoteRecordBad, "wave", number, "error", err.Error())
		return
	}
	o.extraRecords = append(o.extraRecords, Record{Key: wavePrefix + strconv.FormatInt(number, 10), Value: value})
}

// planWaves takes the machines of a wave down: idle ones first, those of pools
// with waiting work only when time runs short.
func (o *owner) planWaves() {
	for _, number := range o.s.waveNumbers {
		w := o.s.waves[number]
		if len(w.wave.Machines) == 0 || w.shownComplete {
			continue
		}
		o.planWave(number, w)
	}
}

func (o *owner) planWave(number int64, w *waveState) {
	var left []*machine
	down, gone := 0, 0
	for _, id := range w.wave.Machines {
		m := o.fleet.machines[id]
		switch {
		case m == nil:
			gone++
		case m.ordered && m.order == OrderUpkeep && m.wave == number, m.info.State == MachineInUpkeep:
			down++
			if !w.done[id] && !m.ordered {
				left = append(left, m)
			}
		case !w.done[id]:
			left = append(left, m)
		}
	}
	o.showWave(number, w, len(left) == 0 && down == 0)
	passed := o.s.now.Sub(w.readAt)
	hurry := passed+waveSlack*turns(len(left), w.wave.AtOnce) > w.wave.Within ||
		passed.Seconds() > wavePatience*w.wave.Within.Seconds()
	room := max(1, w.wave.AtOnce) - down
	o.sortForUpkeep(left)
	if hurry && len(left) > 0 {
		o.noteWaveWaits(number, w, left[0])
	}
	for _, m := range left {
		if room <= 0 || o.fleet.orders < 1 {
			return
		}
		if m.info.State != MachineUp || !o.mayOrderMachine(m) {
			continue
		}
		if o.takeForUpkeep(number, m, hurry) {
			room--
		}
	}
}

// waveNoteEvery is the time between two lines on a wave that is short of time.
const waveNoteEvery = 2 * time.Second

// noteWaveWaits says what the next machine of a wave that is short of time waits for.
func (o *owner) noteWaveWaits(number int64, w *waveState, m *machine) {
	if o.s.now.Sub(w.notedAt) < waveNoteEvery {
		return
	}
	w.notedAt = o.s.now
	fields := []any{
		"wave", number, "waits_for", m.info.ID, "pool", m.info.Pool, "state", int(m.info.State), "ordered", m.ordered,
		"order", int(m.order), "answered", m.answered, "left_alone_ms", max(0, o.fleet.notBefore[m.info.ID].Sub(o.s.now)).Milliseconds(),
	}
	if host := o.workerOf(m); host != nil {
		fields = append(fields, "worker", host.info.ID, "tasks", len(host.tasks), "short", shortTasks(host),
			"may_end", o.mayEndTasks(host), "strays", host.strays.CPU)
	}
	o.s.logEvent(NoteWave, fields...)
}

func turns(left, atOnce int) time.Duration {
	atOnce = max(1, atOnce)
	return time.Duration((left+atOnce-1)/atOnce) * upkeepTurn
}

// sortForUpkeep puts the machines first that have the least to lose.
func (o *owner) sortForUpkeep(list []*machine) {
	cost := func(m *machine) int {
		w := o.workerOf(m)
		if w == nil {
			return 0
		}
		c := len(w.tasks)
		for _, t := range w.tasks {
			if t.step.spec.LongRunning {
				c += 10
			}
		}
		if m.cordonedAt != 0 {
			c -= 100
		}
		return c
	}
	slices.SortStableFunc(list, func(a, b *machine) int { return cmp.Compare(cost(a), cost(b)) })
}

// takeForUpkeep orders the upkeep of a machine, or empties it. It reports
// whether the machine takes a place of the wave.
func (o *owner) takeForUpkeep(number int64, m *machine, hurry bool) bool {
	w := o.workerOf(m)
	if w == nil || len(w.tasks) == 0 && w.strays == (Resources{}) {
		o.orderMachine(m, OrderUpkeep, "", number)
		return true
	}
	if m.cordonedAt == 0 {
		if !hurry && (o.poolWaits(m.info.Pool) || o.fleet.need[m.info.Pool] >= 0 && !o.isSpare(m.info.Pool)) {
			// The pool needs all that it has.
			return false
		}
		m.cordonedAt, w.cordoned = o.s.now, true
	}
	if !o.mayEndTasks(w) {
		o.evacuate(w)
		return true
	}
	if shortTasks(w) > 0 && o.s.now.Sub(m.cordonedAt) < emptyWait {
		return true
	}
	o.orderMachine(m, OrderUpkeep, "", number)
	return true
}

// evacuate stops the long-running tasks of a worker, as many of each step as
// may be missed at a time; they start again elsewhere.
func (o *owner) evacuate(w *worker) {
	for _, t := range slices.Clone(w.tasks) {
		if t.step.spec.LongRunning && t.stage == running && t.step.away(t) < max(1, t.step.spec.MayMiss) {
			o.stopTask(t)
		}
	}
}

// shortTasks counts the tasks that end by themselves.
func shortTasks(w *worker) int {
	n := 0
	for _, t := range w.tasks {
		if !t.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// poolWaits reports whether a pool has work that finds no room.
func (o *owner) poolWaits(pool vocab.PoolID) bool { return o.demand[pool].waits() }

// mayEndTasks reports whether every long-running task on a worker may be away
// for a while: fewer of its step are away than may be missed.
func (o *owner) mayEndTasks(w *worker) bool {
	for _, t := range w.tasks {
		if !t.step.spec.LongRunning || t.step.spec.MayMiss == 0 {
			continue
		}
		if t.step.awayWithout(w) > t.step.spec.MayMiss {
			return false
		}
	}
	return true
}

// atWork reports whether a long-running task serves, as far as is known.
func (t *task) atWork() bool {
	return t.worker != nil && t.stage == running && t.percent >= 100 && t.worker.failures == 0 && !t.worker.leaving
}

// away counts the tasks of the step that are not at work, one left out.
func (st *step) away(except *task) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && !t.atWork() {
			n++
		}
	}
	return n
}

// awayWithout counts the tasks of the step that are not at work, and those on a
// worker as well, whether they are known to be at work or not.
func (st *step) awayWithout(w *worker) int {
	n := 0
	for _, t := range st.tasks {
		if t.worker == w || !t.atWork() {
			n++
		}
	}
	return n
}

// showWave shows operators the state of a wave, first as running.
func (o *owner) showWave(number int64, w *waveState, over bool) {
	if o.fleet.writing {
		return
	}
	switch {
	case over && !w.shownComplete:
		o.fleet.writing = true
		o.s.emit(WriteStatus{Wave: number, Complete: true})
	case !w.shownRunning:
		o.fleet.writing = true
		o.s.emit(WriteStatus{Wave: number})
	}
}

func (o *owner) statusWritten(e StatusWritten) {
	o.fleet.writing = false
	if e.Outcome != OK {
		return
	}
	w := o.s.wave(e.Wave)
	w.shownRunning = true
	if e.Complete && !w.shownComplete {
		w.shownComplete = true
		o.s.logEvent(NoteWave, "wave", e.Wave, "complete", true, "after_s", o.s.now.Sub(w.readAt).Seconds())
		o.writeWave(e.Wave, w, true)
	}
}
