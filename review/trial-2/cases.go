package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

var cases = map[string]func(*trial){"ends": endsCase, "public": publicCase, "flap": flapCase, "hold": holdCase, "recurring": recurringCase}

// between returns a time between two bounds that depends on a task's name alone.
func between(task string, least, most time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task))
	return least + time.Duration(h.Sum64()%uint64(most-least))
}

// endsCase: more runs end on one worker than it lists in one answer while the store is down.
func endsCase(t *trial) {
	t.configureOne()
	w := newWorker("i-1", "orders", t.rec, func(task string) time.Duration { return between(task, 2500*time.Millisecond, 4500*time.Millisecond) })
	t.addWorker(w)
	t.startNodes(3)
	ids := []string{"5c0e7a21d94b36f1", "5c0e7a21d94b36f2"}
	for _, id := range ids {
		t.submit(t.nodes[0], prefix, "key-1", id, map[string]any{
			"spec": "recount", "steps": []map[string]any{{"count": 600, "cpu": 10, "mem_mb": 8, "estimate_ms": 3500}},
		}, 10, 8)
	}
	t.waitFor("start of all tasks", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.runs)+int(w.lastEnd) >= 1100
	})
	if t.trouble {
		t.rec.note("store-down")
		t.storeDown.Store(true)
		time.Sleep(4500 * time.Millisecond)
		t.storeDown.Store(false)
		t.rec.note("store-up")
	}
	for _, id := range ids {
		t.awaitState(t.nodes[1], prefix, "key-1", id, 15*time.Second, "completed")
	}
	time.Sleep(time.Second)
	t.verdict = t.rec.twice()
}

// publicCase: a caller without a key asks for and cancels another tenant's job at a public route.
func publicCase(t *trial) {
	t.configure(
		[]map[string]any{
			{"name": "q", "host": host, "path_prefix": prefix, "service": "orders", "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600},
			{"name": "p", "host": host, "path_prefix": "/open7/", "service": "orders", "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600, "public": true},
		},
		[]map[string]any{{"name": "orders", "admission_check": true}},
		[]map[string]any{{"name": "t1", "weight": 10, "api_keys": []string{"key-1"}}},
	)
	t.addWorker(newWorker("i-1", "orders", t.rec, func(string) time.Duration { return 3 * time.Second }))
	t.startNodes(3)
	const id = "5c0e7a21d94b36f8"
	t.submit(t.nodes[0], prefix, "key-1", id, map[string]any{
		"spec": "pack", "steps": []map[string]any{{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 3000}},
	}, 500, 256)
	t.awaitState(t.nodes[0], prefix, "key-1", id, 5*time.Second, "running")
	if t.trouble {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			status, text := t.call(t.nodes[1], method, host, "/open7/"+id, "", nil)
			t.rec.note("stranger", "sends", method+" /open7/"+id, "key", "none", "answer", status, "body", text)
			if status/100 == 2 {
				t.verdict = append(t.verdict, method+" without a key for a tenant's job of another route is answered with success: "+text)
			}
		}
	}
	if state := t.awaitState(t.nodes[2], prefix, "key-1", id, 10*time.Second, "completed", "canceled", "failed"); state != "completed" {
		t.verdict = append(t.verdict, "the tenant's job, which the tenant has not cancelled, is shown as "+state)
	}
}

const (
	// flapGap and flapFor are gap_s and for_s of a srv_flap of the Mejnik installation.
	flapGap = 880 * time.Millisecond
	flapFor = 5700 * time.Millisecond
)

// flapCase: the one worker that a job may run on goes down and up by turns.
func flapCase(t *trial) {
	t.configureOne()
	runTime := func(string) time.Duration { return 3500 * time.Millisecond }
	var flapping *worker
	for i := range 30 {
		id := fmt.Sprintf("i-%d", i+1)
		w := newWorker(id, "orders", t.rec, runTime)
		if id == "i-4" {
			w.labels = []string{"b", "r1"}
			flapping = w
		}
		t.addWorker(w)
	}
	t.startNodes(3)
	const id = "5c0e7a21d94b36f8"
	t.submit(t.nodes[0], prefix, "key-1", id, map[string]any{
		"spec": "route", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 3500, "requires": "b"}},
	}, 2000, 512)
	t.waitFor("start of the task", func() bool {
		flapping.mu.Lock()
		defer flapping.mu.Unlock()
		return len(flapping.runs) > 0
	})
	if t.trouble {
		time.Sleep(flapGap)
		for begun := time.Now(); time.Since(begun) < flapFor; time.Sleep(flapGap) {
			flapping.crash()
			time.Sleep(flapGap)
			flapping.revive()
			t.announce(flapping)
		}
	}
	if state := t.awaitState(t.nodes[2], prefix, "key-1", id, 20*time.Second, "completed", "canceled", "failed"); state != "completed" {
		t.verdict = append(t.verdict, "the job is shown as "+state+", and no run of it has ended failed")
	}
}

// holdCase: a call that acknowledges ends has no answer and is carried out later, after the worker
// has started again under its id.
func holdCase(t *trial) {
	t.configureOne()
	w := newWorker("i-1", "orders", t.rec, func(task string) time.Duration { return between(task, 400*time.Millisecond, 1500*time.Millisecond) })
	held := false
	armed := time.Time{}
	w.late = func(path string, o order) (time.Duration, bool) {
		if !t.trouble || held || armed.IsZero() || path != "/hold" || o.LastSeen < 30 {
			return 0, false
		}
		held = true
		return 4 * time.Second, true
	}
	t.addWorker(w)
	t.startNodes(3)
	for i, id := range []string{"5c0e7a21d94b36f1", "5c0e7a21d94b36f2", "5c0e7a21d94b36f3"} {
		t.submit(t.nodes[0], prefix, "key-1", id, map[string]any{
			"spec": "recount", "steps": []map[string]any{{"count": 100, "cpu": 800, "mem_mb": 64, "estimate_ms": 900}},
		}, 800, 64)
		if i == 0 {
			time.Sleep(1500 * time.Millisecond)
			armed = time.Now()
		}
	}
	if t.trouble {
		t.waitFor("held call", func() bool { return held })
		time.Sleep(500 * time.Millisecond)
		w.crash()
		time.Sleep(time.Second)
		w.revive()
		t.announce(w)
	}
	for _, id := range []string{"5c0e7a21d94b36f1", "5c0e7a21d94b36f2", "5c0e7a21d94b36f3"} {
		t.awaitState(t.nodes[1], prefix, "key-1", id, 40*time.Second, "completed")
	}
	t.verdict = t.rec.twice()
}
