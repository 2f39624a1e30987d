package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// answerTime is the time of an answer of the platform, slowBy the factor of a cloud_slow.
	answerTime = 4 * time.Millisecond
	slowBy     = 50
	// leaseTime is lease_ms of the installations.
	leaseTime = 3 * time.Second
	// upkeepTime is upkeep_s of the small installation.
	upkeepTime = 2 * time.Second
	waveNumber = 3
)

// machine is a machine of the platform.
type machine struct {
	id, pool string
	life     int
	worker   *worker
	upkeep   bool
	done     bool
	fence    uint64
}

// cloud is a stand-in for the platform's service for machines, written from the protocol page. It
// carries an order out when it arrives; the answer follows after the time of an answer.
type cloud struct {
	t       *trial
	address string
	slow    atomic.Bool
	// size machines are in the wave, and limit of them are down at once at most.
	size, limit int
	// ordered is called with the holder of each order that is carried out.
	ordered func(holder string)
	// orders holds the last order to each machine.
	orders map[string]machineOrder
	// turns lists the orders to a machine within leaseTime after one of another holder.
	turns []string

	mu       sync.Mutex
	machines []*machine
	byID     map[string]*machine
	inWave   map[string]bool
}

// newCloud starts the service with a number of machines, of which a wave takes the first ones.
func newCloud(t *trial, machines, size, limit int) *cloud {
	c := &cloud{t: t, size: size, limit: limit, byID: map[string]*machine{}, inWave: map[string]bool{}, orders: map[string]machineOrder{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-move", c.move)
	mux.HandleFunc("POST /machine-upkeep", c.keepUp)
	c.address = listen(mux)
	for i := range machines {
		m := &machine{id: fmt.Sprintf("m-%d", i+1), pool: "orders"}
		c.machines, c.byID[m.id] = append(c.machines, m), m
		c.join(m)
		if i < size {
			c.inWave[m.id] = true
		}
	}
	return c
}

// join starts the next minion on a machine.
func (c *cloud) join(m *machine) {
	m.life++
	w := newWorker(fmt.Sprintf("%s-%d", m.id, m.life), m.pool, c.t.rec, func(string) time.Duration { return time.Second })
	w.machine = m.id
	m.worker = w
	c.t.addWorker(w)
}

func (c *cloud) answer(rw http.ResponseWriter, status int, body any) {
	wait := answerTime
	if c.slow.Load() {
		wait *= slowBy
	}
	time.Sleep(wait)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	var rows []map[string]any
	for _, m := range c.machines {
		state := "up"
		if m.upkeep {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": state, "zone": "z-a", "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "id": m.worker.id,
		})
	}
	c.mu.Unlock()
	c.answer(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (c *cloud) move(rw http.ResponseWriter, _ *http.Request) {
	c.answer(rw, http.StatusBadRequest, map[string]any{})
}

func (c *cloud) keepUp(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	holder := r.Header.Get("X-Lease-Holder")
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		c.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	status, reason := c.carryOut(o.Machine, o.Wave, holder, fence)
	c.answer(rw, status, map[string]any{"reason": reason})
}

func (c *cloud) carryOut(id string, wave int64, holder string, fence uint64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.byID[id]
	c.noteOrder(id, holder, fence)
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case fence < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = fence
	switch {
	case wave != waveNumber || !c.inWave[id]:
		return http.StatusConflict, "wave"
	case m.upkeep || m.done:
		return http.StatusOK, ""
	}
	down := 0
	for _, other := range c.machines {
		if other.upkeep {
			down++
		}
	}
	c.t.rec.note("upkeep", "machine", id, "holder", holder, "fence", fence, "down_before", down)
	if down >= c.limit {
		c.t.rec.mu.Lock()
		c.t.verdict = append(c.t.verdict, fmt.Sprintf("%.3f s: %s orders %s down (fence %d) while %d machines of the wave are down, cap %d",
			time.Since(c.t.rec.begun).Seconds(), holder, id, fence, down, c.limit))
		c.t.rec.mu.Unlock()
	}
	m.upkeep, m.done = true, true
	m.worker.crash()
	c.t.store.Put("keyed.servers", m.worker.id, nil)
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.upkeep = false
		c.join(m)
	})
	if c.ordered != nil {
		go c.ordered(holder)
	}
	return http.StatusOK, ""
}

// machineOrder is an order to a machine as it arrived.
type machineOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

// noteOrder notes an order; the caller holds c.mu.
func (c *cloud) noteOrder(id, holder string, fence uint64) {
	c.t.rec.note("order", "machine", id, "holder", holder, "fence", fence)
	now := time.Now()
	if last, found := c.orders[id]; found && last.holder != holder && now.Sub(last.at) < leaseTime {
		c.turns = append(c.turns, fmt.Sprintf("%.3f s: %s (fence %d) orders %s %.0f ms after %s (fence %d)",
			now.Sub(c.t.rec.begun).Seconds(), holder, fence, id, float64(now.Sub(last.at).Microseconds())/1000, last.holder, last.fence))
	}
	c.orders[id] = machineOrder{holder, fence, now}
}

// request writes the operator's request for the wave.
func (c *cloud) request() {
	var ids []string
	for _, m := range c.machines[:c.size] {
		ids = append(ids, m.id)
	}
	c.t.rec.note("operator", "writes", fmt.Sprintf("op/wave/%d", waveNumber), "machines", c.size, "cap", c.limit)
	c.t.store.Put("keyed.op", fmt.Sprintf("wave/%d", waveNumber), map[string]any{
		"wave": waveNumber, "machines": ids, "duration_s": 26, "cap": c.limit,
	})
}

// conclude notes how far the wave has come. The case could not run if nothing was ordered.
func (c *cloud) conclude() {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := 0
	for _, m := range c.machines {
		if m.done {
			done++
		}
	}
	c.t.rec.note("wave", "done", done, "status", string(c.t.store.Newest("keyed.status", fmt.Sprintf("wave/%d", waveNumber))))
	if done == 0 {
		unable("no machine of the wave was ordered down")
	}
}

// waveCase: the owner gets SIGTERM while its orders to the machines of a wave are on their way.
func waveCase(t *trial) {
	t.configureOne()
	// 49 machines, of which the wave takes 0.48.
	c := newCloud(t, 49, 23, 16)
	t.machinesAddress = c.address
	t.startNodes(3)
	time.Sleep(3 * time.Second)
	c.slow.Store(t.trouble)
	time.Sleep(time.Second)
	var once sync.Once
	c.ordered = func(holder string) {
		once.Do(func() {
			for _, n := range t.nodes {
				if t.trouble && n.name == holder {
					t.rec.note("sigterm", "node", n.name)
					_ = n.cmd.Process.Signal(syscall.SIGTERM)
				}
			}
		})
	}
	c.request()
	time.Sleep(15 * time.Second)
	c.conclude()
}
