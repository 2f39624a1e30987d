package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a minion that checks admission.
type worker struct {
	id, service string
	// kind is its first label.
	kind string
	cpu  int
	// address is where it listens.
	address string
	log     *record
	// advice, if set, is the service whose tickets a start needs.
	advice *adviser

	mu sync.Mutex
	// startedAt is the time of its last start by the steady clock, born the same by its time of day.
	startedAt time.Time
	born      int64
	// clockAhead is what its time of day is ahead of the true time.
	clockAhead time.Duration
	// down is set while it is crashed: it closes connections.
	down     bool
	seq      int
	fence    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	ends     []endRow
	lastEnd  int64
	highest  map[string]uint64
	added    chan struct{}
	// losesStart is set if the next start gets no answer and is carried out lateBy later.
	losesStart bool
	// lostPaces is the number of further calls of /pace whose channel is reset before they are carried out.
	lostPaces int
	// baseTail is the tail of a task that serves and is not disturbed, in milliseconds.
	baseTail int
}

// run is a run of a task.
type run struct {
	task      string
	spec      taskSpec
	number    uint64
	startedAt time.Time
	percent   int
}

type endRow struct {
	number int64
	row    []any
}

// order is the body of an order.
type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
}

const (
	// holdMost is the longest lease.
	holdMost = 6 * time.Second
	// entryLag is the time after its start at which a worker's entry is in the store: lag_ms of the site file.
	entryLag = 800 * time.Millisecond
	// lateBy is the time after which an order without an answer is carried out.
	lateBy = 4 * time.Second
	// startup is the time after which a task that lasts is at work.
	startup = 300 * time.Millisecond
	// disturbance is what a task that fills adds to the tail of a task that serves, in milliseconds.
	disturbance = 150
	// workerCPU is the capacity of a worker.
	workerCPU = 16000
	// beat is the interval of the entries in the store.
	beat = 1500 * time.Millisecond
)

func newWorker(log *record, id, service, kind string) *worker {
	w := &worker{id: id, service: service, kind: kind, cpu: workerCPU, log: log}
	w.start()
	return w
}

// start begins a new life.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.startedAt, w.born, w.down = now, now.Add(w.clockAhead).UnixMilli(), false
	w.fence, w.leaseEnd, w.lastEnd, w.ends = 0, 0, 0, nil
	w.runs, w.highest, w.added = map[string]*run{}, map[string]uint64{}, make(chan struct{})
	w.log.write("minion %s starts, born %d", w.id, w.born)
}

// crash ends everything that runs. The worker closes all connections until start.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.log.write("minion %s crashes under %s run %d", w.id, r.task, r.number)
		w.log.ended(w.id, r.task, r.number)
	}
	w.log.write("minion %s crashes", w.id)
	w.down, w.runs = true, map[string]*run{}
}

// setClock sets what the time of day is ahead of the true time.
func (w *worker) setClock(ahead time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockAhead = ahead
	w.log.write("minion %s: the time of day is %s ahead", w.id, ahead)
}

// entry returns its entry in the store.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": "z-a", "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": w.seq, "machine": "m-" + w.id, "labels": []string{w.kind, "r-1"},
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 32768, "gpu": 0}, "born": w.born,
	}
}

// publish writes its entry at intervals while it is up. The first entry of a life takes entryLag.
func (w *worker) publish(s *store, stop <-chan struct{}) {
	const tick = 50 * time.Millisecond
	var written time.Time
	for {
		w.mu.Lock()
		isDue := !w.down && time.Since(w.startedAt) >= entryLag && (time.Since(written) >= beat || written.Before(w.startedAt))
		w.mu.Unlock()
		if isDue {
			s.put("keyed.servers", w.id, w.entry())
			written = time.Now()
		}
		select {
		case <-stop:
			return
		case <-time.After(tick):
		}
	}
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /pace", w.handle(w.pace))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	return mux
}

func (w *worker) handle(carryOut func(order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		life := w.startedAt
		w.mu.Unlock()
		if w.isDown() {
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/run-start" && w.carriesOutLate(o) {
			<-r.Context().Done()
			return
		}
		if o.WaitMS > 0 {
			w.await(o.LastSeen, time.Duration(o.WaitMS)*time.Millisecond, r)
		}
		if r.URL.Path == "/pace" && w.losesPace() {
			w.log.write("minion %s: the channel of /pace %s to %d is reset", w.id, o.Task, o.Percent)
			panic(http.ErrAbortHandler)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down || w.startedAt != life {
			panic(http.ErrAbortHandler)
		}
		status, answer := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, answer = carryOut(o)
		}
		answer["clock_ms"], answer["born"] = w.clock().Milliseconds(), w.born
		writeJSON(rw, status, answer)
	}
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *worker) loseStart(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losesStart = on
}

// carriesOutLate reports whether a start gets no answer. It is carried out later, by whichever life of the
// worker is up then: orders name the id only.
func (w *worker) carriesOutLate(o order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.losesStart {
		return false
	}
	w.losesStart = false
	w.log.write("minion %s: the start of %s run %d gets no answer, and is carried out %s later", w.id, o.Task, o.Run, lateBy)
	time.AfterFunc(lateBy, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down || o.Fence < w.fence {
			w.log.write("minion %s does not carry out the late start of %s run %d", w.id, o.Task, o.Run)
			return
		}
		w.log.write("minion %s carries out the late start of %s run %d", w.id, o.Task, o.Run)
		w.fence = o.Fence
		w.runStart(o)
	})
	return true
}

func (w *worker) losesPace() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lostPaces == 0 {
		return false
	}
	w.lostPaces--
	return true
}

// clock is its steady clock, from its start. The caller holds w.mu.
func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

// await waits for an end with a number above lastSeen.
func (w *worker) await(lastSeen int64, most time.Duration, r *http.Request) {
	timeout := time.After(min(most, 2*time.Second))
	for {
		w.mu.Lock()
		found, added := w.lastEnd > lastSeen, w.added
		w.mu.Unlock()
		if found {
			return
		}
		select {
		case <-added:
		case <-timeout:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// extend extends the lease. Everything ends when it expires.
func (w *worker) extend(deadlineMS int64) {
	end := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMost)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	life := w.startedAt
	time.AfterFunc(end-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down || w.startedAt != life || w.clock() < w.leaseEnd {
			return
		}
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.log.ended(w.id, r.task, r.number)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, []any{w.lastEnd, r.task, r.number, how, ""}})
	w.log.write("minion %s (%s): %s run %d ends %s", w.id, w.service, r.task, r.number, how)
	close(w.added)
	w.added = make(chan struct{})
}

func (w *worker) runStart(o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		w.log.write("minion %s (%s) refuses %s run %d: %s", w.id, w.service, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return refuse("late")
	}
	w.extend(o.DeadlineMS)
	if w.runs[o.Task] != nil || o.Run <= w.highest[o.Task] {
		return refuse("old")
	}
	spec := parseSpec(o.Spec)
	used := spec.cpu
	for _, r := range w.runs {
		used += r.spec.cpu
	}
	if used > w.cpu {
		return refuse("room")
	}
	if w.advice != nil && !w.advice.valid(o.Task, w.id, o.Ticket) {
		return refuse("ticket")
	}
	r := &run{task: o.Task, spec: spec, number: o.Run, startedAt: time.Now(), percent: 100}
	w.runs[o.Task] = r
	w.log.started(w, o)
	if spec.kind != runs {
		return http.StatusOK, map[string]any{}
	}
	life := w.startedAt
	time.AfterFunc(spec.runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.down && w.startedAt == life && w.runs[r.task] == r {
			w.end(r, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(o order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(o order) (int, map[string]any) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		r.percent = o.Percent
		w.log.write("minion %s: %s works at %d percent", w.id, o.Task, o.Percent)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(o order) (int, map[string]any) {
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	kept := w.ends[:0:0]
	finished := [][]any{}
	for _, e := range w.ends {
		if e.number <= o.LastSeen {
			w.log.noted(e.row)
		}
		if e.number > o.LastSeen {
			kept = append(kept, e)
			if len(finished) < 500 {
				finished = append(finished, e.row)
			}
		}
	}
	w.ends = kept
	running := [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", w.progress(r), w.load(r)})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// progress is the percent of a run: a task that lasts is at work after its startup.
func (w *worker) progress(r *run) int {
	if r.spec.kind == lasts && time.Since(r.startedAt) > startup {
		return 100
	}
	return 0
}

// load is the rough figure of a run: the tail of a task that serves, in milliseconds, which grows with
// the share at which tasks that fill work beside it, and the cpu in use of any other.
func (w *worker) load(r *run) int {
	if r.spec.kind != lasts {
		return r.spec.cpu * r.percent / 100
	}
	return w.tail()
}

func (w *worker) tail() int {
	filling := 0
	for _, r := range w.runs {
		if r.spec.kind == fills {
			filling += r.percent
		}
	}
	return w.baseTail + filling*disturbance/100
}

// adviser is a stand-in for the service that decides which workers may run a step.
type adviser struct {
	mu sync.Mutex
	// allows is the policy: whether a worker may run a step.
	allows func(step, worker string) bool
	// decide and each are the times that a call takes, apart and for each worker named.
	decide, each time.Duration
	log          *record
	// issuedAt is the time when a ticket was last issued.
	issuedAt map[string]time.Time
	// busy is held while a call is handled: one at a time.
	busy sync.Mutex
}

// validMS is the time for which a ticket is valid, as on the wire's page.
const validMS = 3000

// setting is the entry of the configuration for a queue with this adviser.
func (a *adviser) setting() map[string]any {
	return map[string]any{"advice": map[string]int64{
		"decide_ms": a.decide.Milliseconds(), "each_ms": a.each.Milliseconds(), "valid_ms": validMS,
	}}
}

func (a *adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var asked struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&asked) != nil || len(asked.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.busy.Lock()
	defer a.busy.Unlock()
	time.Sleep(a.decide + a.each*time.Duration(len(asked.Workers)))
	granted := [][]string{}
	for _, id := range asked.Workers {
		if a.allows(asked.Step, id) {
			granted = append(granted, []string{id, a.issue(asked.Step, id)})
		}
	}
	a.log.write("advice on %s asked about %d minions (%s to %s), granted %d", asked.Step, len(asked.Workers),
		asked.Workers[0], asked.Workers[len(asked.Workers)-1], len(granted))
	writeJSON(rw, http.StatusOK, map[string]any{"granted": granted, "valid_ms": validMS})
}

func ticketFor(step, id string) string { return step + "/" + id }

func (a *adviser) issue(step, id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket := ticketFor(step, id)
	a.issuedAt[ticket] = time.Now()
	return ticket
}

// valid reports whether a start carries a ticket of its step that has not expired.
func (a *adviser) valid(task, id, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return ticket == ticketFor(step, id) && time.Since(a.issuedAt[ticket]) < validMS*time.Millisecond
}
