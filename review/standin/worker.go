package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a minion, written from PROTOCOL.md. A task's spec says what its runs
// do: "run_ms=N" is the run time, "fail=N" lets the first N runs end as failed.
type worker struct {
	id, machine, service, address string
	site                          *site
	holdMax                       time.Duration
	// rate is the rate of the worker's steady clock.
	rate float64

	mu       sync.Mutex
	born     time.Time
	fence    uint64
	deadline int64 // on the worker's clock
	runs     map[string]*taskRun
	ended    map[string]uint64 // highest run that ended or was stopped
	ends     []endRow
	lastEnd  int64
	endAdded chan struct{}
	seq      int
	// slow is the factor of the run time of runs that start, if it isn't 0.
	slow float64
	// cut is set while the worker is cut off: calls reach it no more and it goes on.
	cut     bool
	cutOver chan struct{}
}

type endRow struct {
	number     int64
	task       string
	run        uint64
	how, saved string
}

// taskRun is one run of a task, kept for the verdict.
type taskRun struct {
	task, worker string
	run          uint64
	start, end   time.Time
	how          string
	// noted is the time when last_seen reached the end.
	noted time.Time
	cpu   int64
	timer *time.Timer
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func newWorker(s *site, number int, rate float64) *worker {
	return &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), machine: fmt.Sprintf("m-%03d", number), service: "orders", site: s, rate: rate,
		holdMax: s.holdMax, born: time.Now(), runs: map[string]*taskRun{}, ended: map[string]uint64{}, endAdded: make(chan struct{}),
		cutOver: make(chan struct{}),
	}
}

// clock is the reading of the worker's steady clock, in milliseconds.
func (w *worker) clock() int64 {
	return 1000 + int64(float64(time.Since(w.born).Milliseconds())*w.rate)
}

func (w *worker) entry() (id string, entry map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "rv-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": w.seq, "born": w.born.UnixMilli(), "machine": w.machine, "labels": []string{"a", "r1"},
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": 32768, "gpu": 0},
	}
}

const workerCPU = 16000

// setCut cuts the worker off, or heals the cut.
func (w *worker) setCut(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == on {
		return
	}
	w.cut = on
	if on {
		w.cutOver = make(chan struct{})
	} else {
		close(w.cutOver)
	}
	w.site.rec.note("worker %s: cut off %v", w.id, on)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	w.mu.Lock()
	cut, over := w.cut, w.cutOver
	w.mu.Unlock()
	if cut {
		// A partition: the call is not delivered, and nothing comes back.
		select {
		case <-over:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if err != nil || r.Method != http.MethodPost {
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.URL.Path == "/hold" && o.WaitMS > 0 {
		w.waitForEnd(o, r)
	}
	w.mu.Lock()
	if w.cut {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, answer := w.carryOut(r.URL.Path, o)
	w.mu.Unlock()
	w.answer(rw, status, answer)
}

func (w *worker) answer(rw http.ResponseWriter, status int, answer map[string]any) {
	w.mu.Lock()
	answer["clock_ms"], answer["born"] = w.clock(), w.born.UnixMilli()
	w.mu.Unlock()
	writeJSON(rw, status, answer)
}

func (w *worker) waitForEnd(o order, r *http.Request) {
	deadline := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	w.mu.Lock()
	if o.Fence >= w.fence {
		w.fence = o.Fence
		w.extend(o.DeadlineMS)
		w.acknowledge(o.LastSeen)
	}
	waiting, added := len(w.ends) == 0, w.endAdded
	w.mu.Unlock()
	if !waiting {
		return
	}
	select {
	case <-added:
	case <-deadline:
	case <-r.Context().Done():
	}
}

// carryOut carries out an order. The caller holds w.mu.
func (w *worker) carryOut(path string, o order) (int, map[string]any) {
	if o.Fence < w.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.fence = o.Fence
	switch path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		w.ended[o.Task] = max(w.ended[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
			w.finish(r, "stopped")
		}
		return http.StatusOK, map[string]any{}
	case "/hold":
		w.extend(o.DeadlineMS)
		w.acknowledge(o.LastSeen)
		return http.StatusOK, w.lists()
	case "/pace":
		return http.StatusOK, map[string]any{}
	default:
		return http.StatusNotFound, map[string]any{}
	}
}

func (w *worker) start(o order) (int, map[string]any) {
	w.extend(o.DeadlineMS)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.ended[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if o.DeadlineMS <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	cpu := int64(number(o.Spec, "cpu", 1000))
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > workerCPU {
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	r := &taskRun{task: o.Task, worker: w.id, run: o.Run, start: time.Now(), cpu: cpu}
	w.runs[o.Task] = r
	w.site.rec.started(r)
	how := "done"
	if o.Run <= uint64(number(o.Spec, "fail", 0)) {
		how = "failed"
	}
	runTime := time.Duration(number(o.Spec, "run_ms", 1000)) * time.Millisecond
	if w.slow > 0 {
		runTime = time.Duration(float64(runTime) * w.slow)
	}
	r.timer = time.AfterFunc(runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == r {
			w.finish(r, how)
		}
	})
	return http.StatusOK, map[string]any{}
}

// number returns the value of NAME=N in a spec.
func number(spec, name string, otherwise int) int {
	for _, word := range strings.Fields(spec) {
		if text, found := strings.CutPrefix(word, name+"="); found {
			if n, err := strconv.Atoi(text); err == nil {
				return n
			}
		}
	}
	return otherwise
}

// finish ends a run. The caller holds w.mu.
func (w *worker) finish(r *taskRun, how string) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, endRow{number: w.lastEnd, task: r.task, run: r.run, how: how})
	w.site.rec.ended(r, how)
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

// extend moves the lease of all runs. It never shortens, and is holdMax at most.
func (w *worker) extend(deadlineMS int64) {
	deadlineMS = min(deadlineMS, w.clock()+w.holdMax.Milliseconds())
	if deadlineMS <= w.deadline {
		return
	}
	w.deadline = deadlineMS
	w.lapseLater()
}

func (w *worker) lapseLater() {
	left := time.Duration(float64(w.deadline-w.clock())/w.rate) * time.Millisecond
	time.AfterFunc(left+2*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.deadline {
			return
		}
		for _, r := range w.runs {
			w.finish(r, "lapsed")
		}
	})
}

// acknowledge forgets the ends up to last_seen.
func (w *worker) acknowledge(lastSeen int64) {
	var kept []endRow
	for _, e := range w.ends {
		if e.number > lastSeen {
			kept = append(kept, e)
			continue
		}
		w.site.rec.noted(w.id, e.task, e.run)
	}
	w.ends = kept
}

func (w *worker) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", 50, 900})
	}
	for i, e := range w.ends {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"running": running, "finished": finished}
}
