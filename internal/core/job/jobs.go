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
	if e.Cancelled && w.ended == 0 {
		o.endJob(w, PhaseCancelled)
	}
}

// addWork takes up a job as its records describe it.
func (o *owner) addWork(e *Entry) *work {
	w, rows, err := newWork(o.s.now, e)
	if err != nil {
		o.s.note(NoteRecordBad, "job", e.ID, "error", err.Error())
		return nil
	}
	e.rows = nil
	o.works[e.ID] = w
	w.excess = !o.withinRate(w)
	o.order = append(o.order, w)
	w.extend(o.s.wall)
	for _, row := range rows {
		o.restore(w, row)
	}
	o.expectWork(w)
	o.planDue = true
	return w
}

// restore takes one task's state from its record.
func (o *owner) restore(w *work, row taskRow) {
	if row.Occurrence >= w.total() || row.Step >= len(w.accepted.Spec.Steps) {
		return
	}
	occ := w.occurrence(row.Occurrence)
	st := occ.steps[row.Step]
	if row.All {
		for _, t := range st.tasks {
			t.done = true
		}
		st.done = len(st.tasks)
		occ.left--
		return
	}
	if row.Index >= len(st.tasks) {
		return
	}
	t := st.tasks[row.Index]
	t.lastRun, t.failed, t.checkpoint = row.Run, row.Failed, row.Checkpoint
	switch {
	case row.Done:
		t.done = true
		st.done++
		if st.done == len(st.tasks) {
			occ.left--
		}
	case row.Worker != "":
		host := o.worker(row.Worker)
		o.bind(t, host, row.Born)
		t.stage = unclear
	}
}

// endJob ends a job and stops what runs of it.
func (o *owner) endJob(w *work, phase Phase) {
	if w.ended != 0 {
		return
	}
	w.ended = phase
	o.stopAll(w)
	if phase != PhaseCancelled || w.running == 0 {
		o.touch(w)
	}
}

// stopAll stops every run of a job.
func (o *owner) stopAll(w *work) {
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
func (o *owner) dropIfIdle(w *work) {
	if w.running > 0 || !w.written || !w.entry.Phase.Ended() {
		return
	}
	delete(o.works, w.entry.ID)
	if i := slices.Index(o.order, w); i >= 0 {
		o.order = slices.Delete(o.order, i, i+1)
	}
}

// endsWritten shows callers the ends that are on the stream.
func (o *owner) endsWritten(ended []*work) {
	for _, w := range ended {
		w.entry.Phase, w.entry.endedAt = w.ended, o.s.now
		o.ended = append(o.ended, w.entry)
		o.s.note(NoteJobEnded, "job", w.entry.ID, "state", string(w.ended),
			"ms", int64(o.s.wall-w.accepted.At))
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
func (o *owner) shortAcceptance(w *work) []Record {
	short := *w.accepted
	short.Spec = Spec{}
	record, err := encodeAcceptance(w.entry.ID, &short)
	if err != nil {
		o.s.note(NoteRecordBad, "job", w.entry.ID, "error", err.Error())
		return nil
	}
	return []Record{record}
}
