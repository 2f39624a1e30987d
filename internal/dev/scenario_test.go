package dev_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestScenarios runs the scripts under testdata against installations over real
// sockets. docs/SCENARIOS.md describes the commands.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{t: t, outcomes: map[string]chan string{}, tasks: map[string]vocab.TaskID{}}
		defer s.close()
		datadriven.RunTest(t, path, s.run)
	})
}

// scenario is the state of one script.
type scenario struct {
	t     *testing.T
	in    *dev.Installation
	fleet spec.Fleet
	// outcomes has a channel for each ID of "begin", which receives the outcomes of
	// its requests.
	outcomes map[string]chan string
	// tasks are the IDs of the submitted tasks, by name.
	tasks  map[string]vocab.TaskID
	client http.Client
}

// isVMOrInPool reports whether a VM has a name or belongs to the pool with that
// name.
func isVMOrInPool(vm vocab.VMID, name string) bool {
	return string(vm) == name || strings.HasPrefix(string(vm), name+"-")
}

func (s *scenario) close() {
	if s.in != nil {
		s.in.Close()
	}
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	commands := map[string]func(*datadriven.TestData) string{
		"start": s.start, "fault": s.fault, "log": s.log, "vm": s.vm, "send": s.send,
		"begin": s.begin, "answer": s.answer, "runs": s.runs, "withdraw": s.withdraw,
		"stop": s.stop, "burst": s.burst, "wait": s.wait, "most": s.most, "fresh": s.fresh, "limit": s.limit, "kill": s.kill, "task": s.task, "ask": s.ask,
	}
	command, ok := commands[d.Cmd]
	if !ok {
		d.Fatalf(t, "no command %q", d.Cmd)
	}
	return command(d)
}

// start nodes=N config=DIR: starts an installation in place of the previous one.
func (s *scenario) start(d *datadriven.TestData) string {
	s.close()
	nodes, config := 1, "duka-jaza"
	d.MaybeScanArgs(s.t, "nodes", &nodes)
	d.MaybeScanArgs(s.t, "config", &config)
	fleet, err := spec.Load(filepath.Join("../../examples", config))
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	for i := range fleet.Services {
		fleet.Services[i].TimeLimits.FirstByte = spec.Duration(time.Second)
		fleet.Services[i].TimeLimits.Run = spec.Duration(4 * time.Second)
	}
	s.fleet = fleet
	s.in, err = dev.Start(dev.Options{Fleet: fleet, Nodes: nodes, LogOutput: io.Discard})
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return s.waitReady()
}

// waitReady waits until every node is ready, is a member and has a free slot in
// the pool of each queue.
func (s *scenario) waitReady() string {
	for _, n := range s.in.Nodes {
		s.waitUntil(func(st *core.State) bool { return st.Serving() }, n.Node)
	}
	return "ready\n"
}

// waitUntil waits until a condition holds for the state of a node. It also returns
// if the state cannot be read.
func (s *scenario) waitUntil(condition func(*core.State) bool, n *node.Node) {
	for range 2000 {
		var ok bool
		if err := n.Read(func(st *core.State) { ok = condition(st) }); err != nil || ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("the condition was not met within 10 s")
}

// fault vms=NAME silent|reset|draining|refuse|cut=BYTES|work=TIME|late: sets the
// faults of upstreams; without a fault it clears them.
func (s *scenario) fault(d *datadriven.TestData) string {
	var name, work string
	var faults standin.UpstreamFaults
	d.ScanArgs(s.t, "vms", &name)
	faults.Silent = d.HasArg("silent")
	faults.Reset = d.HasArg("reset")
	faults.Draining = d.HasArg("draining")
	faults.Refuse = d.HasArg("refuse")
	faults.DuplicateResponse = d.HasArg("late")
	d.MaybeScanArgs(s.t, "cut", &faults.CutAfter)
	d.MaybeScanArgs(s.t, "work", &work)
	faults.RunTime, _ = time.ParseDuration(work)
	for vm, u := range s.in.Upstreams {
		if isVMOrInPool(vm, name) {
			u.SetFaults(faults)
		}
	}
	return ""
}

// log down|up|lose=N: sets the faults of the log; lose=N loses the responses to
// the next N appends.
func (s *scenario) log(d *datadriven.TestData) string {
	faults := standin.LogFaults{Down: d.HasArg("down")}
	d.MaybeScanArgs(s.t, "lose", &faults.LoseAnswers)
	s.in.Log.SetFaults(faults)
	if faults.Down {
		for _, n := range s.in.Nodes {
			s.waitUntil(func(st *core.State) bool { return !st.LogUp() }, n.Node)
		}
	}
	return ""
}

// vm name=VM phase=PHASE: sets the phase of a VM in the VM list; or vm list=frozen:
// the VM list shows no more changes.
func (s *scenario) vm(d *datadriven.TestData) string {
	if d.HasArg("list") {
		s.in.VMs.SetFaults(standin.VMFaults{Frozen: true})
		return ""
	}
	var name, phase string
	d.ScanArgs(s.t, "name", &name)
	d.ScanArgs(s.t, "phase", &phase)
	s.in.VMs.SetPhase(vocab.VMID(name), services.VMPhase(phase))
	return ""
}

// send queue=Q team=T method=M path=P id=ID node=N patience=TIME: sends a request
// with the timeout patience and returns its outcome.
func (s *scenario) send(d *datadriven.TestData) string {
	return s.sendRequest(s.request(d))
}

// begin id=ID and the arguments of burst: sends the requests and does not wait.
func (s *scenario) begin(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	requests := s.requests(d)
	done := make(chan string, 1)
	s.outcomes[id] = done
	go func() { done <- s.sendAll(requests) }()
	return ""
}

// answer id=ID: waits for the requests that "begin" sent and counts their outcomes.
func (s *scenario) answer(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	return <-s.outcomes[id]
}

// request returns the request that the arguments of a command describe. The header
// "Order" carries its ID.
func (s *scenario) request(d *datadriven.TestData) *http.Request {
	queue, team, method, path, id, timeout, nodeNumber := "orders", "", "GET", "/stock", "", "", 1
	d.MaybeScanArgs(s.t, "queue", &queue)
	d.MaybeScanArgs(s.t, "team", &team)
	d.MaybeScanArgs(s.t, "method", &method)
	d.MaybeScanArgs(s.t, "path", &path)
	d.MaybeScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "patience", &timeout)
	d.MaybeScanArgs(s.t, "node", &nodeNumber)
	url := "http://" + s.in.Nodes[nodeNumber-1].Address + "/v1/" + queue + path
	req, err := http.NewRequest(method, url, strings.NewReader(""))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Order", id)
	req.Header.Set("Sardinehead-Timeout", timeout)
	if team != "" {
		req.Header.Set("Authorization", "Bearer "+s.in.Keys[vocab.TeamID(team)])
	}
	return req
}

// sendRequest sends a request and describes its outcome in one line.
func (s *scenario) sendRequest(req *http.Request) string {
	resp, err := s.client.Do(req)
	if err != nil {
		return "no answer\n"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "answer cut\n"
	}
	line := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Sardinehead-Outcome"))
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		_, code, _ := strings.Cut(string(body), `"code":"`)
		code, _, _ = strings.Cut(code, `"`)
		line += " " + code
	}
	if id := req.Header.Get("Order"); resp.Header.Get("Order") != "" && resp.Header.Get("Order") != id {
		line += " answer to another request"
	}
	return line + "\n"
}

// burst n=N and the arguments of send: sends N requests at the same time, to the
// nodes in turn unless the arguments name one, and counts the outcomes.
func (s *scenario) burst(d *datadriven.TestData) string {
	return s.sendAll(s.requests(d))
}

// withoutProblemCode removes the problem code from a line of sendRequest. If a node
// has several reasons to refuse a request, timing decides which one it reports.
func withoutProblemCode(line string) string {
	words := strings.Fields(line)
	return strings.Join(words[:min(2, len(words))], " ") + "\n"
}

// requests returns the requests that the arguments of burst describe.
func (s *scenario) requests(d *datadriven.TestData) []*http.Request {
	n := 1
	d.MaybeScanArgs(s.t, "n", &n)
	out := make([]*http.Request, n)
	for i := range out {
		out[i] = s.request(d)
		if !d.HasArg("node") {
			out[i].URL.Host = s.in.Nodes[i%len(s.in.Nodes)].Address
		}
	}
	return out
}

// sendAll sends requests at the same time. It returns a line for each outcome, with
// the number of requests that had it.
func (s *scenario) sendAll(requests []*http.Request) string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[string]int{}
	for _, req := range requests {
		wg.Go(func() {
			line := s.sendRequest(req)
			mu.Lock()
			defer mu.Unlock()
			counts[withoutProblemCode(line)]++
		})
	}
	wg.Wait()
	var lines []string
	for line, count := range counts {
		lines = append(lines, fmt.Sprintf("%d x %s", count, line))
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}

// runs id=ID: returns how often upstreams ran the request.
func (s *scenario) runs(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	total := 0
	for _, u := range s.in.Upstreams {
		total += u.Runs(id)
	}
	return fmt.Sprintln(total)
}

// fresh vms=NAME id=ID: returns "none" if these upstreams ran no request with the
// ID.
func (s *scenario) fresh(d *datadriven.TestData) string {
	var name, id string
	d.ScanArgs(s.t, "vms", &name)
	d.ScanArgs(s.t, "id", &id)
	for vm, u := range s.in.Upstreams {
		if isVMOrInPool(vm, name) && u.Runs(id) > 0 {
			return fmt.Sprintf("%s ran %d\n", vm, u.Runs(id))
		}
	}
	return "none\n"
}

// most vms=NAME limit=N: returns whether one of the upstreams ever ran more than N
// requests at the same time.
func (s *scenario) most(d *datadriven.TestData) string {
	var name string
	var limit int
	d.ScanArgs(s.t, "vms", &name)
	d.ScanArgs(s.t, "limit", &limit)
	for vm, u := range s.in.Upstreams {
		if isVMOrInPool(vm, name) && u.MaxRunning() > limit {
			return fmt.Sprintf("%s ran %d\n", vm, u.MaxRunning())
		}
	}
	return "never above\n"
}

// limit team=T: returns whether more requests of the team than its upper limit ever
// ran at the same time.
func (s *scenario) limit(d *datadriven.TestData) string {
	var name string
	d.ScanArgs(s.t, "team", &name)
	team, _ := s.fleet.Team(vocab.TeamID(name))
	maxRunning := s.in.Concurrency.MaxRunning(name)
	if maxRunning == 0 {
		return "nothing of the team was counted\n"
	}
	if maxRunning > int(team.UpperLimit) {
		return fmt.Sprintf("%d ran, the limit is %d\n", maxRunning, team.UpperLimit)
	}
	return "never above\n"
}

// kill node=N: stops a node abruptly.
func (s *scenario) kill(d *datadriven.TestData) string {
	nodeNumber := 1
	d.MaybeScanArgs(s.t, "node", &nodeNumber)
	s.in.KillNode(nodeNumber - 1)
	return ""
}

// withdraw team=T node=N: withdraws the team's key at a node and waits until no
// node accepts it.
func (s *scenario) withdraw(d *datadriven.TestData) string {
	var team string
	nodeNumber := 1
	d.ScanArgs(s.t, "team", &team)
	d.MaybeScanArgs(s.t, "node", &nodeNumber)
	key := vocab.KeyID("dev-" + team)
	s.in.Nodes[nodeNumber-1].Node.Post(core.WithdrawKey{Key: key})
	for _, n := range s.in.Nodes {
		s.waitUntil(func(st *core.State) bool { return !st.KeyValid(key) }, n.Node)
	}
	return ""
}

// task name=NAME and the arguments of send: submits a task with the name as its
// idempotency key.
func (s *scenario) task(d *datadriven.TestData) string {
	var name, path string
	d.ScanArgs(s.t, "name", &name)
	d.ScanArgs(s.t, "path", &path)
	req := s.request(d)
	req.Method = http.MethodPost
	req.URL.Path = "/v1/office/tasks"
	req.Body = io.NopCloser(strings.NewReader(fmt.Sprintf(
		`{"path":%q,"idempotency_key":%q,"size":{"milli_cpu":1000,"memory_bytes":1000000},"run_time":"1s"}`, path, name)))
	req.ContentLength = -1
	view, line := s.taskView(req)
	if view.Task == "" {
		return line
	}
	if known, ok := s.tasks[name]; ok && known != view.Task {
		return "another task\n"
	}
	s.tasks[name] = view.Task
	return "accepted\n"
}

// ask name=NAME and the arguments of send: returns the state of a task, after a
// wait of up to patience=TIME for its end.
func (s *scenario) ask(d *datadriven.TestData) string {
	var name, wait string
	d.ScanArgs(s.t, "name", &name)
	d.MaybeScanArgs(s.t, "patience", &wait)
	req := s.request(d)
	req.URL.Path = "/v1/tasks/" + string(s.tasks[name])
	req.URL.RawQuery = "wait=" + wait
	view, line := s.taskView(req)
	if view.Task == "" {
		return line
	}
	return fmt.Sprintf("%s %s, attempt %d\n", view.State, view.Result, view.Attempt)
}

// taskView sends a request about a task and returns the task of the response, and a
// line that describes the status and outcome.
func (s *scenario) taskView(req *http.Request) (core.TaskView, string) {
	var view core.TaskView
	resp, err := s.client.Do(req)
	if err != nil {
		return view, "no answer\n"
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&view)
	return view, fmt.Sprintf("%d %s\n", resp.StatusCode, resp.Header.Get("Sardinehead-Outcome"))
}

// stop node=N: stops a node gracefully and waits until it has stopped.
func (s *scenario) stop(d *datadriven.TestData) string {
	nodeNumber := 1
	d.MaybeScanArgs(s.t, "node", &nodeNumber)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.in.StopNode(ctx, nodeNumber-1); err != nil {
		return err.Error() + "\n"
	}
	return "stopped\n"
}

// wait queue=Q waiting=N running=N gone=VM node=N: waits until, on one node, N
// requests wait in the queue, N attempts run, and the VM accepts no new work;
// conditions that are not given count as met.
func (s *scenario) wait(d *datadriven.TestData) string {
	queue, vm, waiting, running, nodeNumber := "orders", "", -1, -1, 1
	d.MaybeScanArgs(s.t, "gone", &vm)
	d.MaybeScanArgs(s.t, "queue", &queue)
	d.MaybeScanArgs(s.t, "waiting", &waiting)
	d.MaybeScanArgs(s.t, "running", &running)
	d.MaybeScanArgs(s.t, "node", &nodeNumber)
	s.waitUntil(func(st *core.State) bool {
		return (vm == "" || !st.AcceptsWork(vocab.VMID(vm))) && (waiting < 0 || st.Waiting(vocab.QueueID(queue)) == waiting) && (running < 0 || st.Running() == running)
	}, s.in.Nodes[nodeNumber-1].Node)
	return ""
}
