// Command trial-2 plays the cases of the second independent review: it starts the project's own
// program as separate processes on loopback addresses, beside stand-ins for the platform's store,
// the workers and the callers, and judges what these have seen.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinehead/sardinehead/platform/standin"
)

// trial is one play of a case.
type trial struct {
	rec     *recorder
	store   *standin.Store
	trouble bool
	dir     string
	// storeDown is set while the store answers no call.
	storeDown                     atomic.Bool
	storeAddress, machinesAddress string
	workers                       []*worker
	nodes                         []*node
	version                       int
	// ordersPerSecond is duty_per_s; 64 if it is not set.
	ordersPerSecond string
	// shares are the CPU shares of the nodes; 0.4 each if there are none.
	shares  []string
	keys    map[string][]string
	ctx     context.Context
	verdict []string
}

type node struct {
	name, callers string
	cmd           *exec.Cmd
}

var (
	cleanupMu sync.Mutex
	started   []*exec.Cmd
	// ended is set once the trial has ended: no process is started any more.
	ended   bool
	tempDir string
)

func cleanUp() {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	ended = true
	for _, cmd := range started {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	started = nil
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
}

// launch starts a process, unless the trial has ended, and reports whether it runs.
func launch(cmd *exec.Cmd) bool {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	if ended || cmd.Start() != nil {
		return false
	}
	started = append(started, cmd)
	return true
}

// unable ends a trial that cannot run.
func unable(format string, args ...any) {
	cleanUp()
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 {
		unable("usage: trial-2 CASE RECORD")
	}
	play, known := cases[os.Args[1]]
	if !known {
		unable("no case %q", os.Args[1])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	t := &trial{rec: newRecorder(), store: standin.NewStore(), trouble: os.Getenv("TROUBLE") != "0", ctx: ctx, keys: map[string][]string{}}
	var err error
	if tempDir, err = os.MkdirTemp("", "trial-2-"); err != nil {
		unable("%v", err)
	}
	t.dir = tempDir
	context.AfterFunc(ctx, func() {
		if ctx.Err() == context.DeadlineExceeded {
			unable("it takes too long")
		}
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() { unable("%s", <-signals) }()
	t.serveStore()
	play(t)
	cancel()
	cleanUp()
	t.rec.note("verdict", "broken", len(t.verdict), "trouble", t.trouble)
	t.rec.mu.Lock()
	text := strings.Join(t.rec.lines, "\n") + "\n"
	t.rec.mu.Unlock()
	for _, v := range t.verdict {
		text += "BROKEN " + v + "\n"
	}
	if err := os.WriteFile(os.Args[2], []byte(text), 0o644); err != nil {
		unable("%v", err)
	}
	if len(t.verdict) > 0 {
		fmt.Printf("broken: %d times; the first: %s\n", len(t.verdict), t.verdict[0])
		os.Exit(1)
	}
	fmt.Println("held")
}

// serveStore serves the store. While it is down, it takes calls and answers none.
func (t *trial) serveStore() {
	handler := t.store.Handler()
	t.storeAddress = listen(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if t.storeDown.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(answerTime)
		handler.ServeHTTP(rw, r)
	}))
}

// listen serves a handler on a free port of the loopback address, and returns the address.
func listen(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: handler}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// addWorker adds a worker, which writes its entry at intervals while it is up and the store as well.
func (t *trial) addWorker(w *worker) {
	t.workers = append(t.workers, w)
	go func() {
		for {
			if entry, up := w.entry(); up && !t.storeDown.Load() {
				t.store.Put("keyed.servers", w.id, entry)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
)

// configure writes a configuration with the routes and tenants given.
func (t *trial) configure(routes, services, tenants []map[string]any) {
	t.version += 3
	t.store.Put("keyed.op", "config", map[string]any{
		"version": t.version, "routes": routes, "services": services, "tenants": tenants, "limits": map[string]any{"max_body_bytes": 262144},
	})
}

// configureOne writes a configuration with one queue and one tenant.
func (t *trial) configureOne() {
	t.configure(
		[]map[string]any{{
			"name": "q", "host": host, "path_prefix": prefix, "service": "orders", "priority": 0, "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600,
		}},
		[]map[string]any{{"name": "orders", "admission_check": true}},
		[]map[string]any{{"name": "t1", "weight": 10, "api_keys": []string{"key-1"}}},
	)
}

// freePorts returns free loopback addresses below the ports that outgoing connections get, so that
// none is taken before the process that it is for listens there.
func freePorts(n int) []string {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries > 1000 {
			unable("no free ports")
		}
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		l, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(list, address) {
			continue
		}
		_ = l.Close()
		list = append(list, address)
	}
	return list
}

// startNodes starts entry processes with the command of the deploy file and settings like those of
// a small deployment.
func (t *trial) startNodes(n int) {
	program := filepath.Join("target", "sardinehead")
	if _, err := os.Stat(program); err != nil {
		unable("%s is not built", program)
	}
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range n {
		ports := freePorts(4)
		name, share := fmt.Sprintf("front-%s-%d", zones[i%3], i+1), "0.4"
		if len(t.shares) > 0 {
			share = t.shares[i]
		}
		fields := map[string]any{
			"node": name, "zone": zones[i%3], "strength": share, "memory_mib": 284, "callers": ports[0], "readiness": ports[1],
			"operators": ports[2], "peers": ports[3], "store": "http://" + t.storeAddress, "orders_per_second": cmp.Or(t.ordersPerSecond, "64"),
			"record_bytes": 262144, "append_bytes": 2097152, "order_gap": "3000ms", "keep_ended": "120s", "refuse_worthless": true,
			"grace": "6s", "lease_most": "6000ms",
		}
		if t.machinesAddress != "" {
			fields["machines"] = "http://" + t.machinesAddress
		}
		settings, err := json.Marshal(fields)
		if err != nil {
			unable("%v", err)
		}
		file := filepath.Join(t.dir, name+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			unable("%v", err)
		}
		cmd := exec.Command(program, "serve", "--settings", file)
		log, err := os.Create(filepath.Join(t.dir, name+".log"))
		if err != nil {
			unable("%v", err)
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if log, err = os.Create(filepath.Join(keep, name+".log")); err != nil {
				unable("%v", err)
			}
		}
		cmd.Stdout, cmd.Stderr = log, log
		if !launch(cmd) {
			unable("%s does not start", name)
		}
		t.nodes = append(t.nodes, &node{name, ports[0], cmd})
		t.rec.note("node", "name", name)
	}
	for _, nd := range t.nodes {
		t.waitFor("node "+nd.name, func() bool { status, _ := t.call(nd, http.MethodGet, host, prefix, "key-1", nil); return status == 200 })
	}
}

func (t *trial) waitFor(what string, done func() bool) {
	for begun := time.Now(); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 15*time.Second {
			unable("no %s in 15 s", what)
		}
	}
}

// call sends a caller's request to a node. The status is 0 if there was no answer.
func (t *trial) call(n *node, method, hostName, path, key string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			unable("%v", err)
		}
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(t.ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, reader)
	if err != nil {
		unable("%v", err)
	}
	req.Host = hostName
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// submit hands a job in until it is accepted.
func (t *trial) submit(n *node, path, key, id string, body map[string]any, cpu, mem int) {
	t.rec.mu.Lock()
	t.rec.demands[id] = [2]int{cpu, mem}
	t.rec.mu.Unlock()
	for range 5 {
		status, text := t.call(n, http.MethodPost, host, path+id, key, body)
		t.rec.note("client", "sends", "POST "+path+id, "to", n.name, "answer", status, "body", text)
		if status/100 == 2 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	unable("a submission is not accepted")
}

// state asks for the state of a job.
func (t *trial) state(n *node, path, key, id string) string {
	status, text := t.call(n, http.MethodGet, host, path+id, key, nil)
	t.rec.note("client", "sends", "GET "+path+id, "to", n.name, "answer", status, "body", text)
	var body struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal([]byte(text), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// awaitState asks for the state of a job until it is one of those given, or the time is over.
func (t *trial) awaitState(n *node, path, key, id string, most time.Duration, states ...string) string {
	state := ""
	for begun := time.Now(); time.Since(begun) < most; time.Sleep(250 * time.Millisecond) {
		state = t.state(n, path, key, id)
		for _, s := range states {
			if s == state {
				return state
			}
		}
	}
	return state
}
