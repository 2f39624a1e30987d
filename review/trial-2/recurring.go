package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMB is memory_mb of a front machine of the small installation.
	memoryMB = 284
	// restartDelay is the time after which a process that was killed is started again.
	restartDelay = 500 * time.Millisecond
)

// residentMB is the memory of a process in MB, 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// newCommand returns a command that does the same again.
func newCommand(cmd *exec.Cmd) *exec.Cmd {
	again := exec.Command(cmd.Args[0], cmd.Args[1:]...)
	again.Stdout, again.Stderr = cmd.Stdout, cmd.Stderr
	return again
}

// kill ends a node's process without a word; startAgain starts it again.
func (t *trial) kill(n *node) {
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
}

func (t *trial) startAgain(n *node) {
	again := newCommand(n.cmd)
	if !launch(again) {
		unable("%s does not start again", n.name)
	}
	n.cmd = again
}

// limitMemory does what the platform does: it kills a process that exceeds its memory, and starts it
// again after a short delay.
func (t *trial) limitMemory(n *node, kills *int) {
	for t.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		cleanupMu.Lock()
		cmd := n.cmd
		cleanupMu.Unlock()
		mb := residentMB(cmd.Process.Pid)
		if mb <= memoryMB {
			continue
		}
		t.rec.note("over-memory", "node", n.name, "mb", mb)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		time.Sleep(restartDelay)
		again := newCommand(cmd)
		if !launch(again) {
			return
		}
		cleanupMu.Lock()
		n.cmd = again
		*kills++
		cleanupMu.Unlock()
	}
}

const (
	// occurrences and tasks are those of the job that is due at once.
	occurrences = 1000
	tasks       = 1000
	// longestWait is how long an accepted job of another tenant may have nothing running here, with idle
	// workers: finish_s of the site, the 3 s of the rule, and the 4 s before them.
	longestWait = (14 + 3 + 4) * time.Second
)

// recurringCase: a job of which many occurrences are due at once.
func recurringCase(t *trial) {
	t.configure(
		[]map[string]any{{"name": "q", "host": host, "path_prefix": prefix, "service": "orders", "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600}},
		[]map[string]any{{"name": "orders", "admission_check": true}},
		[]map[string]any{
			{"name": "t1", "weight": 10, "api_keys": []string{"key-1"}, "cap": map[string]int{"cpu": 16000}},
			{"name": "t2", "weight": 10, "api_keys": []string{"key-2"}},
		},
	)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		t.addWorker(newWorker(id, "orders", t.rec, func(string) time.Duration { return 800 * time.Millisecond }))
	}
	t.startNodes(3)
	kills := 0
	for _, n := range t.nodes {
		go t.limitMemory(n, &kills)
	}
	time.Sleep(time.Second)
	if t.trouble {
		// first_run_ms is left out: all occurrences are due.
		status, text := t.call(t.nodes[0], http.MethodPost, host, prefix+"5c0e7a21d94b36f0", "key-1", map[string]any{
			"spec": "catch up", "repeat_count": occurrences, "interval_ms": 60000,
			"steps": []map[string]any{{"count": tasks, "cpu": 800, "mem_mb": 64, "estimate_ms": 800}},
		})
		t.rec.note("client", "sends", "POST the job with many occurrences", "key", "key-1", "answer", status, "body", text)
	}
	time.Sleep(2 * time.Second)
	ids := []string{"5c0e7a21d94b3700", "5c0e7a21d94b3701", "5c0e7a21d94b3702"}
	for i, id := range ids {
		t.submitAnywhere(i, id)
	}
	for begun := time.Now(); time.Since(begun) < longestWait; time.Sleep(time.Second) {
		completed := 0
		for i, id := range ids {
			if t.state(t.nodes[i%3], prefix, "key-2", id) == "completed" {
				completed++
			}
		}
		if completed == len(ids) {
			break
		}
	}
	for _, id := range ids {
		t.rec.mu.Lock()
		_, ended := t.rec.done[id+".0.0.0"]
		t.rec.mu.Unlock()
		if !ended {
			t.verdict = append(t.verdict, fmt.Sprintf("job %s of another tenant was accepted and has had nothing running for %.0f s beside idle workers", id, longestWait.Seconds()))
		}
	}
	cleanupMu.Lock()
	t.rec.note("processes-over-memory", "times", kills)
	cleanupMu.Unlock()
}

// submitAnywhere hands a small job in, at one node after the other until one accepts it.
func (t *trial) submitAnywhere(first int, id string) {
	t.rec.mu.Lock()
	t.rec.demands[id] = [2]int{800, 64}
	t.rec.mu.Unlock()
	for i := range 30 {
		n := t.nodes[(first+i)%len(t.nodes)]
		status, text := t.call(n, http.MethodPost, host, prefix+id, "key-2", map[string]any{
			"spec": "price", "steps": []map[string]any{{"count": 2, "cpu": 800, "mem_mb": 64, "estimate_ms": 800}},
		})
		t.rec.note("client", "sends", "POST "+prefix+id, "to", n.name, "answer", status, "body", text)
		if status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.verdict = append(t.verdict, "no node accepts job "+id+" of another tenant")
}
