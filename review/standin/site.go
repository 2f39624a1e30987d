package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// site is a small deployment: stand-ins of the platform and its workers in this process, and the
// project's own program in processes of its own.
type site struct {
	rec     *recorder
	store   *store
	workers []*worker
	nodes   []*node
	dir     string
	holdMax time.Duration
	client  *http.Client
	stop    []func()
	storeAt string
}

type node struct {
	name, front string
	command     *exec.Cmd
}

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
	// maxAttempts is max_attempts of the routes.
	maxAttempts = 3
)

func newSite(rec *recorder, dir string, holdMax time.Duration) *site {
	return &site{rec: rec, store: newStore(rec), dir: dir, holdMax: holdMax, client: &http.Client{Timeout: 4 * time.Second}}
}

// serve serves a handler on a free port of the loopback address.
func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	s.stop = append(s.stop, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// start starts the stand-ins and the processes.
func (s *site) start(config map[string]any, workers, nodes int, rate float64) error {
	mux := http.NewServeMux()
	s.store.register(mux)
	mux.HandleFunc("GET /machines", s.listMachines)
	busy := func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
	}
	mux.HandleFunc("POST /machine-move", busy)
	mux.HandleFunc("POST /machine-upkeep", busy)
	var err error
	if s.storeAt, err = s.serve(mux); err != nil {
		return err
	}
	for i := range workers {
		w := newWorker(s, i, rate)
		if w.address, err = s.serve(w); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = append(s.stop, cancel)
	for _, w := range s.workers {
		go s.beat(ctx, w)
	}
	s.configure(config)
	for i := range nodes {
		if err := s.startNode(i); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// beat writes a worker's entry every beat_ms, unless it is cut off.
func (s *site) beat(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		w.mu.Lock()
		absent := w.cut
		w.mu.Unlock()
		if !absent {
			id, entry := w.entry()
			s.store.put("keyed.servers", id, entry)
		}
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (s *site) listMachines(rw http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, w := range s.workers {
		list = append(list, map[string]any{
			"machine": w.machine, "pool": w.service, "state": "up", "zone": "rv-a", "labels": []string{"a", "r1"}, "id": w.id,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": 32768, "gpu": 0},
		})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// configure writes op/config as the operator does.
func (s *site) configure(config map[string]any) {
	s.store.put("keyed.op", "config", config)
	s.rec.note("operator: version %v is acknowledged, routes %s", config["version"], routeNames(config))
}

func routeNames(config map[string]any) string {
	names := ""
	for _, r := range config["routes"].([]map[string]any) {
		names += fmt.Sprintf("%v ", r["name"])
	}
	return names
}

func route(name, path string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": path, "service": "orders", "priority": 0, "max_attempts": maxAttempts, "stretch": 1.6,
		"target_latency_ms": 600, "kind": "non_idempotent", "timeout_ms": 3000, "public": false,
	}
}

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "orders", "admission_check": true, "spare": false, "health_path": "/health", "max_conns": 64}},
		"limits":   map[string]any{"max_body_bytes": 262144, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{
			{"name": "kijiji", "api_keys": []string{"key-kijiji"}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "soko", "api_keys": []string{"key-soko"}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}},
		},
	}
}

// freePorts returns addresses of an IP address with ports that are free. Each node has an address
// of its own, so that no outgoing connection takes its ports meanwhile.
func freePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startNode starts a process of the project with the command of the deploy file, and with
// settings as its template fills them in.
func (s *site) startNode(i int) error {
	addresses, err := freePorts(fmt.Sprintf("127.0.0.%d", 11+i), 4)
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("front-rv-a-%d", i+1), front: addresses[0]}
	settings := map[string]any{
		"node": n.name, "zone": "rv-a", "strength": "0.4", "memory_mib": 284, "callers": addresses[0], "readiness": addresses[1],
		"operators": addresses[2], "peers": addresses[3], "store": "http://" + s.storeAt, "machines": "http://" + s.storeAt,
		"orders_per_second": "64", "order_gap": "3000ms", "keep_ended": "120s", "refuse_worthless": true, "grace": "6s",
		"lease_most": fmt.Sprintf("%dms", s.holdMax.Milliseconds()),
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, n.name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(s.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.command = exec.Command("target/sardinehead", "serve", "--settings", path)
	n.command.Stdout, n.command.Stderr = out, out
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	s.rec.note("process %s started", n.name)
	s.nodes = append(s.nodes, n)
	s.stop = append(s.stop, func() {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
		_ = out.Close()
	})
	return nil
}

// awaitReady waits until a submission is accepted and done.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	id := "00000000000000f0"
	if !s.submit("key-kijiji", prefix, id, "run_ms=100", oneStep(1, 100)) {
		return fmt.Errorf("no submission was accepted")
	}
	for time.Now().Before(deadline) {
		if _, state := s.state(0, "key-kijiji", prefix, id); state == "completed" {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the first submission is not done")
}

func oneStep(count, estimateMS int) []map[string]any {
	return []map[string]any{{"count": count, "cpu": 1000, "mem_mb": 256, "estimate_ms": estimateMS}}
}

// call makes one consumer's call to a node. Status 0 means no answer.
func (s *site) call(n int, method, key, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		reader = bytes.NewReader(raw)
	}
	target := s.nodes[n%len(s.nodes)]
	request, err := http.NewRequest(method, "http://"+target.front+path, reader)
	if err != nil {
		return 0, ""
	}
	request.Host = host
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		s.rec.note("%s %s %s (%s): no answer", target.name, method, path, key)
		return 0, ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		s.rec.note("%s %s %s (%s): the answer broke off", target.name, method, path, key)
		return 0, ""
	}
	s.rec.note("%s %s %s (%s): %d %s", target.name, method, path, key, response.StatusCode, bytes.TrimSpace(raw))
	return response.StatusCode, string(raw)
}

// submit hands a submission in, with retries at other nodes as consumers do.
func (s *site) submit(key, path, id, spec string, steps []map[string]any) bool {
	for try := range 30 {
		status, _ := s.call(try, http.MethodPost, key, path+id, map[string]any{"spec": spec, "steps": steps})
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks a node for the state of a submission.
func (s *site) state(n int, key, path, id string) (int, string) {
	status, raw := s.call(n, http.MethodGet, key, path+id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(raw), &body)
	return status, body.State
}

// end ends all processes and servers.
func (s *site) end() {
	for i := len(s.stop) - 1; i >= 0; i-- {
		s.stop[i]()
	}
}
