package main

import (
	"hash/fnv"
	"net/http"
	"time"
)

var cases = map[string]func(*trial){"ends": endsCase, "public": publicCase, "recurring": recurringCase, "wave": waveCase, "turns": turnsCase}

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
