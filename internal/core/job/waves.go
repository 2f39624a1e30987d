package job

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// waveState is the state of a wave that every node keeps. Only the completed machines and the
// completion of the wave are on the stream.
type waveState struct {
	wave       Wave
	receivedAt vocab.Instant
	// done holds the machines whose maintenance is done or that do not exist any more.
	done map[MachineID]bool
	// reportedRunning and reportedComplete are set once the state was reported to operators.
	reportedRunning, reportedComplete bool
	// loggedAt is the time when a log event last said what the wave waits for.
	loggedAt vocab.Instant
}

// waveRecord is the state of a wave that is stored on the stream.
type waveRecord struct {
	// Done lists the machines whose maintenance is done or that do not exist any more.
	Done     []MachineID `json:"done"`
	Complete bool        `json:"complete,omitempty"`
}

const wavePrefix = "w/"

const (
	// maintenanceCycle is about the time from the order to a machine until the machine is
	// seen up again.
	maintenanceCycle = 3500 * time.Millisecond
	// drainTimeout is the time for which the finite tasks of a machine may run on before
	// its maintenance starts.
	drainTimeout = 3 * time.Second
	// A wave takes machines of pools that need them once less than waveTimeMargin times the
	// estimated time for the remaining machines is left, or after maxDeferralFraction of the
	// wave's time limit. The rest of the limit is a reserve, because machines may be down
	// without an order near the end.
	waveTimeMargin      = 2
	maxDeferralFraction = 0.4
)

// handleWaveRequested stores a new wave. A repeated request has no effect.
func (s *State) handleWaveRequested(e WaveRequested) {
	ws := s.ensureWave(e.Wave.Number)
	if len(ws.wave.Machines) > 0 {
		return
	}
	ws.wave, ws.receivedAt = e.Wave, s.now
	s.logEvent(LogWave, "wave", e.Wave.Number, "machines", len(e.Wave.Machines), "at_once", e.Wave.MaxDown,
		"within_s", e.Wave.TimeLimit.Seconds())
}

// ensureWave returns the state of a wave and creates it if it is missing.
func (s *State) ensureWave(number int64) *waveState {
	ws := s.waves[number]
	if ws == nil {
		ws = &waveState{done: map[MachineID]bool{}}
		s.waves[number] = ws
		at, _ := slices.BinarySearch(s.waveNumbers, number)
		s.waveNumbers = slices.Insert(s.waveNumbers, at, number)
	}
	return ws
}

// foldWave applies a wave record of the stream.
func (s *State) foldWave(key string, value []byte) error {
	number, err := strconv.ParseInt(key, 10, 64)
	if err != nil {
		return ErrBadRecord
	}
	var record waveRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return ErrBadRecord
	}
	ws := s.ensureWave(number)
	for _, id := range record.Done {
		ws.done[id] = true
	}
	ws.reportedComplete = ws.reportedComplete || record.Complete
	return nil
}

// hasActiveWave reports whether a wave is not complete.
func (o *owner) hasActiveWave() bool {
	for _, number := range o.s.waveNumbers {
		if ws := o.s.waves[number]; len(ws.wave.Machines) > 0 && !ws.reportedComplete {
			return true
		}
	}
	return false
}

// markWaveMachineDone records that a machine of a wave had its maintenance, or does not exist
// any more.
func (o *owner) markWaveMachineDone(number int64, id MachineID) {
	ws := o.s.ensureWave(number)
	if ws.done[id] {
		return
	}
	ws.done[id] = true
	o.writeWave(number, ws, false)
}

// writeWave adds the record of a wave to the next append.
func (o *owner) writeWave(number int64, ws *waveState, complete bool) {
	record := waveRecord{Complete: complete}
	for id := range ws.done {
		record.Done = append(record.Done, id)
	}
	slices.Sort(record.Done)
	value, err := json.Marshal(record)
	if err != nil {
		o.s.logEvent(LogRecordUnreadable, "wave", number, "error", err.Error())
		return
	}
	o.extraRecords = append(o.extraRecords, Record{Key: wavePrefix + strconv.FormatInt(number, 10), Value: value})
}

// planWaves takes the machines of waves down: idle machines first, and machines of pools that
// need them only when little time is left.
func (o *owner) planWaves() {
	for _, number := range o.s.waveNumbers {
		ws := o.s.waves[number]
		if len(ws.wave.Machines) == 0 || ws.reportedComplete {
			continue
		}
		o.planWave(number, ws)
	}
}

// planWave reports the state of a wave and takes its next machines down.
func (o *owner) planWave(number int64, ws *waveState) {
	var remaining []*machine
	down, gone := 0, 0
	for _, id := range ws.wave.Machines {
		m := o.fleet.machines[id]
		switch {
		case m == nil:
			gone++
		case m.orderPending && m.order == OrderMaintenance && m.wave == number, m.info.State == MachineInMaintenance:
			down++
			if !ws.done[id] && !m.orderPending {
				remaining = append(remaining, m)
			}
		case !ws.done[id]:
			remaining = append(remaining, m)
			if o.mayGoDown(id, number) {
				down++
			}
		}
	}
	o.reportWave(number, ws, len(remaining) == 0 && down == 0)
	elapsed := o.s.now.Sub(ws.receivedAt)
	urgent := elapsed+waveTimeMargin*estimateWaveTime(len(remaining), ws.wave.MaxDown) > ws.wave.TimeLimit ||
		elapsed.Seconds() > maxDeferralFraction*ws.wave.TimeLimit.Seconds()
	available := max(1, ws.wave.MaxDown) - down
	o.sortForMaintenance(remaining)
	if urgent && len(remaining) > 0 {
		o.logWaveDelay(number, ws, remaining[0])
	}
	for _, m := range remaining {
		if o.fleet.waveTokens < 1 {
			return
		}
		counted := o.mayGoDown(m.info.ID, number)
		if available <= 0 && !counted || m.info.State != MachineUp || !o.acceptsOrder(m) {
			continue
		}
		if o.prepareMaintenance(number, m, urgent) && !counted {
			available--
		}
	}
}

// waveLogInterval is the time between two log events about a wave that has little time left.
const waveLogInterval = 2 * time.Second

// logWaveDelay logs what the next machine of a wave with little time left waits for.
func (o *owner) logWaveDelay(number int64, ws *waveState, m *machine) {
	if o.s.now.Sub(ws.loggedAt) < waveLogInterval {
		return
	}
	ws.loggedAt = o.s.now
	fields := []any{
		"wave", number, "waits_for", m.info.ID, "pool", m.info.Pool, "state", int(m.info.State), "ordered", m.orderPending,
		"order", int(m.order), "answered", m.orderConfirmed, "unresolved", len(o.fleet.unresolved),
		"left_alone_ms", max(0, o.fleet.orderNotBefore[m.info.ID].Sub(o.s.now)).Milliseconds(),
	}
	if w := o.workerOf(m); w != nil {
		fields = append(fields, "worker", w.info.ID, "tasks", len(w.tasks), "short", countFiniteTasks(w),
			"may_end", o.canInterruptTasks(w), "strays", w.orphaned.CPU)
	}
	o.s.logEvent(LogWave, fields...)
}

// estimateWaveTime estimates how long the maintenance of the remaining machines takes.
func estimateWaveTime(remaining, maxConcurrent int) time.Duration {
	maxConcurrent = max(1, maxConcurrent)
	return time.Duration((remaining+maxConcurrent-1)/maxConcurrent) * maintenanceCycle
}

// sortForMaintenance sorts machines by the tasks that their maintenance interrupts, fewest
// first.
func (o *owner) sortForMaintenance(list []*machine) {
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
			// Machines that are being drained come first.
			c -= 100
		}
		return c
	}
	slices.SortStableFunc(list, func(a, b *machine) int { return cmp.Compare(cost(a), cost(b)) })
}

// prepareMaintenance schedules the maintenance of a machine, or drains the machine first. It
// reports whether the machine counts towards the wave's limit of machines that are down.
func (o *owner) prepareMaintenance(number int64, m *machine, urgent bool) bool {
	w := o.workerOf(m)
	if w == nil || len(w.tasks) == 0 && w.orphaned == (Resources{}) {
		o.scheduleOrder(m, OrderMaintenance, "", number)
		return true
	}
	if m.cordonedAt == 0 {
		if !urgent && !w.evacuated && (o.poolNeedsMachines(m.info.Pool) || o.fleet.machinesNeeded[m.info.Pool] >= 0 && !o.isSparePool(m.info.Pool)) {
			// The pool needs all its machines.
			return false
		}
		m.cordonedAt, w.cordoned = o.s.now, true
	}
	if !o.canInterruptTasks(w) {
		o.evacuate(w)
		return true
	}
	if countFiniteTasks(w) > 0 && o.s.now.Sub(m.cordonedAt) < drainTimeout {
		return true
	}
	o.scheduleOrder(m, OrderMaintenance, "", number)
	return true
}

// interruptionHold is the time after a takeover for which the owner interrupts no long-running
// task. A worker still lists a task that an earlier owner told it to stop as serving until the
// stop has completed, which takes up to a second.
const interruptionHold = 2 * time.Second

// knowsInterruptions reports whether the interruptions by earlier owners show in the reports
// of the workers.
func (o *owner) knowsInterruptions() bool { return o.s.now.Sub(o.activeAt) >= interruptionHold }

// evacuate stops the long-running tasks of a worker, as many of each step as may be
// unavailable at a time. They start again on other workers.
func (o *owner) evacuate(w *worker) {
	if !o.knowsInterruptions() {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		if t.step.spec.LongRunning && t.state == runRunning && t.step.unavailable(t) < max(1, t.step.spec.MaxUnavailable) {
			o.stopTask(t)
		}
	}
}

// countFiniteTasks counts the tasks that run to completion.
func countFiniteTasks(w *worker) int {
	n := 0
	for _, t := range w.tasks {
		if !t.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// poolNeedsMachines reports whether a pool has waiting tasks that additional machines would
// help.
func (o *owner) poolNeedsMachines(pool vocab.PoolID) bool { return o.demand[pool].needsMachines() }

// canInterruptTasks reports whether every long-running task on a worker may be unavailable
// for a while: no step would have more unavailable tasks than its availability budget allows.
func (o *owner) canInterruptTasks(w *worker) bool {
	if !o.knowsInterruptions() && countFiniteTasks(w) < len(w.tasks) {
		return false
	}
	for _, t := range w.tasks {
		if !t.step.spec.LongRunning || t.step.spec.MaxUnavailable == 0 {
			continue
		}
		if t.step.unavailableWithout(w) > t.step.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// isServing reports whether a long-running task is known to be serving.
func (t *task) isServing() bool {
	return t.worker != nil && t.state == runRunning && t.progressPercent >= 100 && t.worker.failedPolls == 0 && !t.worker.leaving && !t.endUnread
}

// unavailable counts the tasks of the step that are not serving, not counting one task.
func (st *step) unavailable(excluded *task) int {
	n := 0
	for _, t := range st.tasks {
		if t != excluded && !t.isServing() {
			n++
		}
	}
	return n
}

// unavailableWithout counts the tasks of the step that would not be serving without a worker:
// those that are not serving, and all tasks on that worker.
func (st *step) unavailableWithout(w *worker) int {
	n := 0
	for _, t := range st.tasks {
		if t.worker == w || !t.isServing() {
			n++
		}
	}
	return n
}

// reportWave reports to operators that a wave is running or, once all its machines are
// done, complete. Only one report is in flight at a time.
func (o *owner) reportWave(number int64, ws *waveState, complete bool) {
	if o.fleet.statusWriteInFlight {
		return
	}
	switch {
	case complete && !ws.reportedComplete:
		o.fleet.statusWriteInFlight = true
		o.s.emit(WriteStatus{Wave: number, Complete: true})
	case !ws.reportedRunning:
		o.fleet.statusWriteInFlight = true
		o.s.emit(WriteStatus{Wave: number})
	}
}

func (o *owner) handleStatusWritten(e StatusWritten) {
	o.fleet.statusWriteInFlight = false
	if e.Outcome != OK {
		return
	}
	ws := o.s.ensureWave(e.Wave)
	ws.reportedRunning = true
	if e.Complete && !ws.reportedComplete {
		ws.reportedComplete = true
		o.s.logEvent(LogWave, "wave", e.Wave, "complete", true, "after_s", o.s.now.Sub(ws.receivedAt).Seconds())
		o.writeWave(e.Wave, ws, true)
	}
}
