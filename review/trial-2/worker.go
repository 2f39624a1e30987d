package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// endsPerResponse is the number of ends that a worker lists in one response.
	endsPerResponse = 500
	// maxHold is the longest lease that a worker grants.
	maxHold = 6 * time.Second
)

// worker is a stand-in for a minion, written from the protocol page.
type worker struct {
	id, service, address, machine string
	labels                        []string
	cpu, memory                   int
	rec                           *recorder
	// runTime returns the run time of a task.
	runTime func(task string) time.Duration

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	down     bool
	life     int
	born     time.Time
	fence    uint64
	leaseEnd time.Duration
	lease    *time.Timer
	runs     map[string]*activeRun
	ends     []end
	lastEnd  int64
	barred   map[string]uint64
	changed  chan struct{}
	seq      int
}

type activeRun struct {
	number   uint64
	order    order
	started  time.Time
	timer    *time.Timer
	cpu, mem int
}

type end struct {
	number    int64
	task, how string
	run       uint64
}

type order struct {
	Task       string `json:"task"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	Run        uint64 `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

type orderResponse struct {
	ClockMS  int64   `json:"clock_ms"`
	Born     int64   `json:"born"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

func newWorker(id, service string, rec *recorder, runTime func(string) time.Duration) *worker {
	w := &worker{
		id: id, service: service, machine: "m-" + id, labels: []string{"a", "r1"}, cpu: 16000, memory: 32768,
		rec: rec, runTime: runTime,
	}
	w.begin()
	w.listen("127.0.0.1:0")
	return w
}

// begin starts a life: the worker knows nothing of the one before.
func (w *worker) begin() {
	for _, r := range w.runs {
		r.timer.Stop()
	}
	if w.lease != nil {
		w.lease.Stop()
	}
	if w.changed != nil {
		close(w.changed)
	}
	w.life++
	w.born, w.fence, w.leaseEnd, w.lastEnd, w.ends = time.Now(), 0, 0, 0, nil
	w.runs, w.barred, w.changed = map[string]*activeRun{}, map[string]uint64{}, make(chan struct{})
}

func (w *worker) listen(address string) {
	l, err := net.Listen("tcp", address)
	for i := 0; err != nil && i < 100; i++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", address)
	}
	if err != nil {
		unable("a worker cannot listen: %v", err)
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	for _, path := range []string{"/run-start", "/run-stop", "/hold", "/pace"} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, path) })
	}
	w.listener, w.server = l, &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
}

// crash ends the worker's life without a word; nothing listens at its address any more.
func (w *worker) crash() {
	w.mu.Lock()
	w.rec.note("crash", "worker", w.id, "runs", len(w.runs))
	for task, r := range w.runs {
		w.rec.runEnded(w.id, w.life, task, r.number, "crash")
	}
	w.down = true
	w.begin()
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// entry is what the worker says of itself in the store.
func (w *worker) entry() (map[string]any, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": "z-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": w.seq, "machine": w.machine, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0},
		"labels": w.labels, "born": w.born.UnixMilli(),
	}, !w.down
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, path string) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	life := w.life
	w.mu.Unlock()
	if path == "/hold" && o.WaitMS > 0 {
		w.await(o.LastSeen, time.Duration(o.WaitMS)*time.Millisecond)
	}
	w.mu.Lock()
	if w.down || w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, response := w.carryOut(path, o)
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(response)
}

// await waits for an end above lastSeen.
func (w *worker) await(lastSeen int64, most time.Duration) {
	deadline := time.After(most)
	for {
		w.mu.Lock()
		found, changed := len(w.ends) > 0 && w.lastEnd > lastSeen, w.changed
		w.mu.Unlock()
		if found {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}

// carryOut carries out an order. The caller holds w.mu.
func (w *worker) carryOut(path string, o order) (int, orderResponse) {
	status, response := http.StatusConflict, orderResponse{Reason: "fence"}
	if o.Fence >= w.fence {
		w.fence = o.Fence
		switch path {
		case "/run-start":
			status, response = w.start(o)
		case "/run-stop":
			status, response = w.stop(o)
		case "/hold":
			status, response = w.hold(o)
		default:
			status, response = http.StatusOK, orderResponse{}
		}
	}
	response.ClockMS, response.Born = w.clock().Milliseconds(), w.born.UnixMilli()
	return status, response
}

func (w *worker) extend(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxHold)
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	if w.lease != nil {
		w.lease.Stop()
	}
	life := w.life
	w.lease = time.AfterFunc(until-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || w.clock() < w.leaseEnd {
			return
		}
		for task, r := range w.runs {
			w.finish(task, r, "lapsed")
		}
	})
}

func (w *worker) start(o order) (int, orderResponse) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, orderResponse{}
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, orderResponse{Reason: "late"}
	}
	w.extend(o.DeadlineMS)
	if o.Run <= w.barred[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, orderResponse{Reason: "old"}
	}
	cpu, mem := w.rec.demand(o.Task)
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu > w.cpu || mem > w.memory {
		return http.StatusConflict, orderResponse{Reason: "room"}
	}
	r := &activeRun{number: o.Run, order: o, started: time.Now()}
	r.cpu, r.mem = w.rec.demand(o.Task)
	life := w.life
	r.timer = time.AfterFunc(w.runTime(o.Task), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.runs[o.Task] == r {
			w.finish(o.Task, r, "done")
		}
	})
	w.runs[o.Task] = r
	w.rec.runStarted(w.id, w.life, o)
	return http.StatusOK, orderResponse{}
}

func (w *worker) finish(task string, r *activeRun, how string) {
	r.timer.Stop()
	delete(w.runs, task)
	w.barred[task] = max(w.barred[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, task, how, r.number})
	w.rec.runEnded(w.id, w.life, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(o order) (int, orderResponse) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		w.finish(o.Task, r, "stopped")
	}
	return http.StatusOK, orderResponse{}
}

func (w *worker) hold(o order) (int, orderResponse) {
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.rec.endTaken(w.id, w.life, e)
	}
	w.ends = kept
	response := orderResponse{Running: [][]any{}, Finished: [][]any{}}
	for _, e := range w.ends[:min(len(w.ends), endsPerResponse)] {
		response.Finished = append(response.Finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	for task, r := range w.runs {
		response.Running = append(response.Running, []any{task, r.number, "", 100, r.cpu})
	}
	return http.StatusOK, response
}

// recorder keeps what clients and workers see, and writes it to record.txt.
type recorder struct {
	mu      sync.Mutex
	begun   time.Time
	lines   []string
	demands map[string][2]int // by job
	running map[string][]string
	// done has the first end "done" of each task, taken whether the end was taken note of.
	done  map[string]string
	taken map[string]bool
	found []string
}

func newRecorder() *recorder {
	return &recorder{
		begun: time.Now(), demands: map[string][2]int{}, running: map[string][]string{}, done: map[string]string{}, taken: map[string]bool{},
	}
}

func (r *recorder) demand(task string) (cpu, mem int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.demands[strings.SplitN(task, ".", 2)[0]]
	return d[0], d[1]
}

func (r *recorder) note(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(what, fields...)
}

func (r *recorder) line(what string, fields ...any) {
	text := fmt.Sprintf("%9.3f %s", time.Since(r.begun).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		text += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	r.lines = append(r.lines, text)
}

func (r *recorder) runStarted(worker string, life int, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := fmt.Sprintf("%s/%d run %d", worker, life, o.Run)
	r.line("start", "task", o.Task, "run", o.Run, "worker", worker, "life", life, "fence", o.Fence)
	if first, ended := r.done[o.Task]; ended {
		r.found = append(r.found, fmt.Sprintf("%s|%.3f s: %s is started (%s) after it has ended done (%s)", o.Task, time.Since(r.begun).Seconds(), o.Task, run, first))
	}
	if others := r.running[o.Task]; len(others) > 0 {
		r.found = append(r.found, fmt.Sprintf("|%.3f s: %s is started (%s) while it runs (%s)", time.Since(r.begun).Seconds(), o.Task, run, strings.Join(others, ", ")))
	}
	r.running[o.Task] = append(r.running[o.Task], run)
}

func (r *recorder) runEnded(worker string, life int, task string, number uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := fmt.Sprintf("%s/%d run %d", worker, life, number)
	r.line("end", "task", task, "run", number, "worker", worker, "life", life, "how", how)
	var kept []string
	for _, other := range r.running[task] {
		if other != run {
			kept = append(kept, other)
		}
	}
	r.running[task] = kept
	if how == "done" && r.done[task] == "" {
		r.done[task] = run
	}
}

func (r *recorder) endTaken(worker string, life int, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.how == "done" && r.done[e.task] == fmt.Sprintf("%s/%d run %d", worker, life, e.run) {
		r.taken[e.task] = true
	}
}

// twice lists the breaches of TWICE: two runs of a task at the same time, or a start after an end
// "done" that is taken note of then or later.
func (r *recorder) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, f := range r.found {
		task, text, _ := strings.Cut(f, "|")
		if task == "" || r.taken[task] {
			list = append(list, text)
		}
	}
	sort.Strings(list)
	return list
}
