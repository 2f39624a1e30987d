package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, in a text file.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begun  time.Time
	starts []*start
	// done holds the time at which an end done of a task was first taken note of.
	done map[string]time.Time
}

// start is the start of a run on a worker.
type start struct {
	at                          time.Time
	task, worker, service, kind string
	number                      uint64
	// endedAt is the time of the end of the run, zero while it runs.
	endedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now(), done: map[string]time.Time{}}, err
}

func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// started notes the start of a run. The caller holds the worker's lock.
func (r *record) started(w *worker, o order) {
	r.write("minion %s (%s, %s) starts %s run %d, fence %d", w.id, w.service, w.kind, o.Task, o.Run, o.Fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, &start{at: time.Now(), task: o.Task, worker: w.id, service: w.service, kind: w.kind, number: o.Run})
}

// ended notes the end of a run on a worker.
func (r *record) ended(worker, task string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if s.worker == worker && s.task == task && s.number == number && s.endedAt.IsZero() {
			s.endedAt = time.Now()
		}
	}
}

// noted notes that a worker may forget an end: [N, task, run, how, saved].
func (r *record) noted(row []any) {
	task, how := row[1].(string), row[3].(string)
	r.write("the end %s of %s run %v is taken note of", how, task, row[2])
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == "done" && r.done[task].IsZero() {
		r.done[task] = time.Now()
	}
}

// afterDone describes each start of a task of the submission after an end done of it was taken note of.
func (r *record) afterDone(id string) []string {
	var found []string
	for _, s := range r.startsOf(id) {
		r.mu.Lock()
		done := r.done[s.task]
		r.mu.Unlock()
		if !done.IsZero() && s.at.After(done) {
			found = append(found, fmt.Sprintf("%s: run %d on %s, %.1f s after an end done was taken note of", s.task, s.number, s.worker, s.at.Sub(done).Seconds()))
		}
	}
	return found
}

// startsOf returns the starts of the tasks of a submission.
func (r *record) startsOf(id string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, id+".") {
			list = append(list, *s)
		}
	}
	return list
}

// running reports whether a run of the submission is running.
func (r *record) running(id string) bool {
	for _, s := range r.startsOf(id) {
		if s.endedAt.IsZero() {
			return true
		}
	}
	return false
}

// overlaps describes each start of a task of the submission while another run of it was running.
func (r *record) overlaps(id string) []string {
	var found []string
	list := r.startsOf(id)
	for i, second := range list {
		for _, first := range list[:i] {
			if first.task == second.task && (first.endedAt.IsZero() || first.endedAt.After(second.at)) {
				found = append(found, fmt.Sprintf("%s: run %d on %s beside run %d on %s", second.task, second.number, second.worker, first.number, first.worker))
			}
		}
	}
	return found
}
