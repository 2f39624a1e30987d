package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

// site is a small deployment on loopback addresses.
type site struct {
	log     *record
	folder  string // for settings and logs
	program string
	store   *store
	workers []*worker
	nodes   []*node
	adviser *adviser
	stop    chan struct{}
}

// node is a process of the project.
type node struct {
	name, callers string
	command       *exec.Cmd
	logFile       *os.File
}

const host = "shop.example"

func newSite(log *record, program string) (*site, error) {
	folder, err := os.MkdirTemp("", "case-")
	return &site{log: log, folder: folder, program: program, store: newStore(), stop: make(chan struct{})}, err
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePort returns a loopback address with a free port.
func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (s *site) addWorker(w *worker) error {
	address, err := serve(w.handler())
	if err != nil {
		return err
	}
	w.address, w.advice = address, s.adviser
	s.workers = append(s.workers, w)
	go w.publish(s.store, s.stop)
	return nil
}

// worker returns the worker with an id.
func (s *site) worker(id string) *worker {
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// addNode starts a process with the command of the deploy file and the settings of its template.
func (s *site) addNode(name string) (*node, error) {
	const tries = 3
	var n *node
	var err error
	for range tries { // Another process may have taken a port meanwhile.
		if n, err = s.tryNode(name); err == nil {
			return n, nil
		}
	}
	return nil, err
}

func (s *site) tryNode(name string) (*node, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	storeAddress, err := serve(s.store.handler(name))
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node": name, "zone": "z-a", "strength": "0.4", "memory_mib": 284, "descriptors": 4100,
		"callers": addresses[0], "readiness": addresses[1], "operators": addresses[2], "peers": addresses[3],
		"store": "http://" + storeAddress, "record_bytes": 262144, "append_bytes": 2097152, "order_gap": "3000ms",
		"keep_ended": "120s", "refuse_worthless": true, "grace": "6s", "lease_most": "6000ms",
	}
	if s.adviser != nil {
		address, err := serve(s.adviser)
		if err != nil {
			return nil, err
		}
		settings["advisor"] = "http://" + address
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	n := &node{name: name, callers: addresses[0], command: exec.Command(s.program, "serve", "--settings", path), logFile: logFile}
	n.command.Stdout, n.command.Stderr = logFile, logFile
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + addresses[1] + "/readiness"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return n, nil
			}
		}
	}
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	s.nodes = s.nodes[:len(s.nodes)-1]
	return nil, errors.New(name + " does not get ready")
}

// close ends all processes.
func (s *site) close() {
	close(s.stop)
	for _, n := range s.nodes {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
		n.logFile.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs of the processes:", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// awaitOwner waits until a node owns the workers, and returns it.
func (s *site) awaitOwner() (*node, error) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		name := s.store.owner()
		for _, n := range s.nodes {
			if n.name != name {
				continue
			}
			time.Sleep(2 * time.Second) // The takeover completes.
			if s.store.owner() == name {
				return n, nil
			}
		}
	}
	return nil, errors.New("no node owns the workers")
}

// route is a route of the configuration.
func route(name, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "service": service, "kind": "non_idempotent", "priority": 0,
		"max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600, "timeout_ms": 3000,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// tenantKey is the key of each of two tenants.
var tenantKey = []string{"key-of-tenant-1", "key-of-tenant-2"}

func (s *site) configure(services []string, routes ...map[string]any) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "admission_check": true, "spare": false})
	}
	s.store.put("keyed.op", "config", map[string]any{
		"version": 3, "routes": routes, "services": list, "limits": map[string]any{"max_body_bytes": 262144},
		"tenants": []map[string]any{
			{"name": "tenant-1", "api_keys": []string{tenantKey[0]}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "tenant-2", "api_keys": []string{tenantKey[1]}, "weight": 100, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}},
		},
	})
}

// call makes a consumer's call and returns the status, 0 without an answer, and the body.
func (s *site) call(n *node, method, path, key string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, "http://"+n.callers+path, reader)
	if err != nil {
		panic(err)
	}
	const deadline = 3 * time.Second
	request.Host = host
	request.Header.Set("Api-Key", key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		s.log.write("consumer at %s: %s %s: no answer (%v)", n.name, method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	s.log.write("consumer at %s: %s %s: %d %s", n.name, method, path, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// state asks for the state of a submission.
func (s *site) state(n *node, path, key string) (int, string) {
	status, body := s.call(n, http.MethodGet, path, key, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) != nil {
		return status, ""
	}
	return status, answer.State
}

// taskKind is how a task behaves.
type taskKind string

const (
	// runs: the task ends done.
	runs taskKind = "runs"
	// lasts: the task runs until it is stopped, and may serve.
	lasts taskKind = "lasts"
	// fills: the task runs until it is stopped, in the capacity that others leave.
	fills taskKind = "fills"
)

// taskSpec is what a minion knows of a task: the text "KIND CPU MS" in the spec of its submission.
type taskSpec struct {
	kind    taskKind
	cpu     int
	runTime time.Duration
}

func parseSpec(text string) taskSpec {
	var s taskSpec
	var ms int64
	_, _ = fmt.Sscanf(text, "%s %d %d", &s.kind, &s.cpu, &ms)
	s.runTime = time.Duration(ms) * time.Millisecond
	return s
}

// submission is a submission of one step of tasks that request cpu thousandths of a core.
func submission(kind taskKind, count, cpu int, runTime time.Duration, more map[string]any) map[string]any {
	step := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": runTime.Milliseconds()}
	for k, v := range more {
		step[k] = v
	}
	if kind == fills {
		cpu = 0 // Not counted against the capacity.
	}
	return map[string]any{"spec": fmt.Sprintf("%s %d %d", kind, cpu, runTime.Milliseconds()), "steps": []any{step}}
}
