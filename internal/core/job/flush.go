package job

// The owner's state goes to the stream in appends of bounded size: the store refuses
// what is too large, and an append that is never taken would stop the owner for good.

// afterAppend is what is to be done once all jobs that were changed before it are on
// the stream.
type afterAppend struct {
	marks uint64
	do    func()
}

// then has something done once what has changed so far is on the stream.
func (o *owner) then(do func()) { o.after = append(o.after, afterAppend{o.marks, do}) }

// touch marks a job as changed.
func (o *owner) touch(w *activeJob) {
	if w.dirty {
		return
	}
	w.dirty = true
	o.marks++
	o.dirty = append(o.dirty, w)
}

// toWrite reports whether something waits for the next append.
func (o *owner) toWrite() bool {
	return len(o.dirty) > 0 || len(o.extra) > 0 || len(o.after) > 0 || len(o.waiting) > 0 || o.resigned
}

// flush writes changed jobs in one append, as many as it may hold; the next one takes
// the rest.
func (o *owner) flush() {
	records := o.extra
	o.extra = nil
	size := sizeOf(records)
	taken := 0
	var after []func()
	var ended []*activeJob
	for _, w := range o.dirty {
		if taken > 0 && size > mostAppend {
			break
		}
		taken++
		written := o.recordsOf(w)
		size += sizeOf(written)
		records = append(records, written...)
		if w.endWritten {
			ended = append(ended, w)
		} else if phase := w.phase(); phase != w.record.Phase {
			after = append(after, func() { w.record.Phase = phase })
		}
	}
	o.dirty = append(o.dirty[:0], o.dirty[taken:]...)
	after = append(o.due(), after...)
	if len(ended) > 0 {
		after = append(after, func() { o.endsWritten(ended) })
	}
	resigning := o.resigned && len(o.dirty) == 0
	if len(records) == 0 || len(o.waiting) > 0 || resigning {
		records = append(records, o.ownRecord(resigning))
	}
	if named := o.waiting; len(named) > 0 {
		o.waiting = nil
		after = append(after, func() { o.sendOrders(named) })
	}
	if resigning {
		// Nothing is written after the resignation: an append would disturb claims.
		after = append(after, func() { o.s.loseOwnership("handed over") })
	}
	o.send(records, after)
}

// due takes what may be done once the changes that are no longer dirty are on the
// stream.
func (o *owner) due() []func() {
	written := o.marks - uint64(len(o.dirty))
	var list []func()
	for len(o.after) > 0 && o.after[0].marks <= written {
		list = append(list, o.after[0].do)
		o.after = o.after[1:]
	}
	return list
}

// recordsOf encodes a changed job. One whose end is written already has none.
func (o *owner) recordsOf(w *activeJob) []Record {
	w.dirty = false
	if w.endWritten {
		return nil
	}
	record, err := encodeProgress(w.record.ID, w.phase(), w.taskRows())
	if err != nil {
		o.s.note(NoteRecordBad, "job", w.record.ID, "error", err.Error())
		return nil
	}
	if w.terminalPhase == 0 {
		return []Record{record}
	}
	w.endWritten = true
	return append([]Record{record}, o.shortAcceptance(w)...)
}

// sizeOf is about what records take in an append, in bytes.
func sizeOf(records []Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}
