package job

import "slices"

// jobChanged takes a job that was accepted or cancelled.
func (o *owner) jobChanged(e *Entry) {
	if o.stage != stageActive || e == nil || e.Acceptance == nil || e.Phase.Ended() {
		return
	}
	w := o.works[e.ID]
	if w == nil {
		w = o.addWork(e)
		if w == nil {
			return
		}
	}
	if e.Cancelled && w.terminalPhase == 0 {
		o.endJob(w, PhaseCancelled)
	}
}

// addWork takes up a job as its records describe it.
func (o *owner) addWork(e *Entry) *activeJob {
	w, rows, err := newActiveJob(o.s.now, e)
	if err != nil {
		o.s.note(NoteRecordBad, "job", e.ID, "error", err.Error())
		return nil
	}
	e.rows = nil
	o.works[e.ID] = w
	w.overTeamRate = !o.takeRateToken(w)
	o.order = append(o.order, w)
	w.addDueOccurrences(o.s.wall)
	for _, row := range rows {
		o.restore(w, row)
	}
	o.recordArrival(w)
	o.planDue = true
	return w
}

// restore takes one task's state from its record.
func (o *owner) restore(w *activeJob, row taskRow) {
	if row.Occurrence >= w.totalOccurrences() || row.Step >= len(w.acceptance.Spec.Steps) {
		return
	}
	occ := w.ensureOccurrence(row.Occurrence)
	st := occ.steps[row.Step]
	if row.All {
		for _, t := range st.tasks {
			t.completed = true
		}
		st.completed = len(st.tasks)
		occ.stepsLeft--
		return
	}
	if row.Index >= len(st.tasks) {
		return
	}
	t := st.tasks[row.Index]
	t.lastRun, t.failures, t.checkpoint = row.Run, row.Failed, row.Checkpoint
	switch {
	case row.Done:
		t.completed = true
		st.completed++
		if st.completed == len(st.tasks) {
			occ.stepsLeft--
		}
	case row.Worker != "":
		host := o.worker(row.Worker)
		o.bind(t, host, row.Born)
		t.state = runStartUnknown
	}
}

// endJob ends a job and stops what runs of it.
func (o *owner) endJob(w *activeJob, phase Phase) {
	if w.terminalPhase != 0 {
		return
	}
	w.terminalPhase = phase
	o.stopAll(w)
	if phase != PhaseCancelled || w.assignedTasks == 0 {
		o.touch(w)
	}
}

// stopAll stops every run of a job.
func (o *owner) stopAll(w *activeJob) {
	for _, occ := range w.occurrences {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.worker != nil {
					o.stopTask(t)
				}
			}
		}
	}
}

// dropIfIdle forgets a job whose end is written and of which nothing runs.
func (o *owner) dropIfIdle(w *activeJob) {
	if w.assignedTasks > 0 || !w.endWritten || !w.record.Phase.Ended() {
		return
	}
	delete(o.works, w.record.ID)
	if i := slices.Index(o.order, w); i >= 0 {
		o.order = slices.Delete(o.order, i, i+1)
	}
}

// endsWritten shows callers the ends that are on the stream.
func (o *owner) endsWritten(ended []*activeJob) {
	for _, w := range ended {
		w.record.Phase, w.record.endedAt = w.terminalPhase, o.s.now
		o.ended = append(o.ended, w.record)
		o.s.note(NoteJobEnded, "job", w.record.ID, "state", string(w.terminalPhase),
			"ms", int64(o.s.wall-w.acceptance.At))
		o.dropIfIdle(w)
	}
}

// forgetEnded drops jobs from the stream that were shown long enough.
func (o *owner) forgetEnded() {
	for len(o.ended) > 0 && o.s.now.Sub(o.ended[0].endedAt) > o.s.set.KeepEnded {
		e := o.ended[0]
		o.ended = o.ended[1:]
		for _, prefix := range []string{acceptedPrefix, progressPrefix, cancelledPrefix} {
			o.extra = append(o.extra, Record{Key: prefix + string(e.ID)})
		}
		delete(o.s.ledger.Jobs, e.ID)
	}
}

// shortAcceptance replaces the acceptance of an ended job by one without its
// steps, so that a process that starts has less to load.
func (o *owner) shortAcceptance(w *activeJob) []Record {
	short := *w.acceptance
	short.Spec = Spec{}
	record, err := encodeAcceptance(w.record.ID, &short)
	if err != nil {
		o.s.note(NoteRecordBad, "job", w.record.ID, "error", err.Error())
		return nil
	}
	return []Record{record}
}
