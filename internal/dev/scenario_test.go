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

// TestScenarios runs the scripts under testdata against whole installations
// over real sockets. docs/SCENARIOS.md describes the commands.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{t: t, answers: map[string]chan string{}, tasks: map[string]vocab.TaskID{}}
		defer s.close()
		datadriven.RunTest(t, path, s.run)
	})
}

// scenario is one script's installation.
type scenario struct {
	t       *testing.T
	in      *dev.Installation
	fleet   spec.Fleet
	answers map[string]chan string
	tasks   map[string]vocab.TaskID
	client  http.Client
}

// matches reports whether a VM is of the named pool, or is the named VM.
func matches(vm vocab.VMID, name string) bool {
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

// start nodes=N config=DIR
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
	s.in, err = dev.Start(dev.Options{Fleet: fleet, Nodes: nodes, Events: io.Discard})
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return s.untilReady()
}

// untilReady waits until every node has a part of every limit.
func (s *scenario) untilReady() string {
	for _, n := range s.in.Nodes {
		s.until(func(st *core.State) bool { return st.Serving() }, n.Node)
	}
	return "ready\n"
}

func (s *scenario) until(done func(*core.State) bool, n *node.Node) {
	for range 2000 {
		var ok bool
		if err := n.Read(func(st *core.State) { ok = done(st) }); err != nil || ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("the condition did not come about within 10 s")
}

// fault vms=NAME silent|reset|draining|refuse|cut=BYTES|work=TIME|late; without a kind it clears.
func (s *scenario) fault(d *datadriven.TestData) string {
	var prefix, work string
	var faults standin.UpstreamFaults
	d.ScanArgs(s.t, "vms", &prefix)
	faults.Silent = d.HasArg("silent")
	faults.Reset = d.HasArg("reset")
	faults.Draining = d.HasArg("draining")
	faults.Refuse = d.HasArg("refuse")
	faults.Late = d.HasArg("late")
	d.MaybeScanArgs(s.t, "cut", &faults.CutAfter)
	d.MaybeScanArgs(s.t, "work", &work)
	faults.Work, _ = time.ParseDuration(work)
	for vm, u := range s.in.Upstreams {
		if matches(vm, prefix) {
			u.SetFaults(faults)
		}
	}
	return ""
}

// log down|up|lose=N
func (s *scenario) log(d *datadriven.TestData) string {
	faults := standin.LogFaults{Down: d.HasArg("down")}
	d.MaybeScanArgs(s.t, "lose", &faults.LoseAnswers)
	s.in.Log.SetFaults(faults)
	if faults.Down {
		for _, n := range s.in.Nodes {
			s.until(func(st *core.State) bool { return !st.LogUp() }, n.Node)
		}
	}
	return ""
}

// vm name=VM phase=PHASE, or vm list=frozen
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

// send queue=Q team=T method=M path=P id=ID node=N patience=TIME
func (s *scenario) send(d *datadriven.TestData) string {
	return s.exchange(s.request(d))
}

// begin as burst, but does not wait; answer id=ID waits.
func (s *scenario) begin(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	requests := s.requests(d)
	done := make(chan string, 1)
	s.answers[id] = done
	go func() { done <- s.exchangeAll(requests) }()
	return ""
}

func (s *scenario) answer(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	return <-s.answers[id]
}

func (s *scenario) request(d *datadriven.TestData) *http.Request {
	queue, team, method, path, id, patience, node := "orders", "", "GET", "/stock", "", "", 1
	d.MaybeScanArgs(s.t, "queue", &queue)
	d.MaybeScanArgs(s.t, "team", &team)
	d.MaybeScanArgs(s.t, "method", &method)
	d.MaybeScanArgs(s.t, "path", &path)
	d.MaybeScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "patience", &patience)
	d.MaybeScanArgs(s.t, "node", &node)
	url := "http://" + s.in.Nodes[node-1].Address + "/v1/" + queue + path
	req, err := http.NewRequest(method, url, strings.NewReader(""))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Order", id)
	req.Header.Set("Sardinehead-Timeout", patience)
	if team != "" {
		req.Header.Set("Authorization", "Bearer "+s.in.Keys[vocab.TeamID(team)])
	}
	return req
}

// exchange sends a request and describes its end in one line.
func (s *scenario) exchange(req *http.Request) string {
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

// burst n=N and the arguments of send: sends N at once, to the nodes in turn
// unless one is named, and counts the ends.
func (s *scenario) burst(d *datadriven.TestData) string {
	return s.exchangeAll(s.requests(d))
}

// promise leaves the code out of a line: which of several true refusals comes
// first may depend on the moment.
func promise(line string) string {
	words := strings.Fields(line)
	return strings.Join(words[:min(2, len(words))], " ") + "\n"
}

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

func (s *scenario) exchangeAll(requests []*http.Request) string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[string]int{}
	for _, req := range requests {
		wg.Go(func() {
			line := s.exchange(req)
			mu.Lock()
			defer mu.Unlock()
			counts[promise(line)]++
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

// runs id=ID: how often upstreams ran the request.
func (s *scenario) runs(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	total := 0
	for _, u := range s.in.Upstreams {
		total += u.Runs(id)
	}
	return fmt.Sprintln(total)
}

// fresh vms=NAME id=ID: whether those upstreams ran none of the requests.
func (s *scenario) fresh(d *datadriven.TestData) string {
	var prefix, id string
	d.ScanArgs(s.t, "vms", &prefix)
	d.ScanArgs(s.t, "id", &id)
	for vm, u := range s.in.Upstreams {
		if matches(vm, prefix) && u.Runs(id) > 0 {
			return fmt.Sprintf("%s ran %d\n", vm, u.Runs(id))
		}
	}
	return "none\n"
}

// most vms=NAME limit=N: whether one upstream ever ran more than N at once.
func (s *scenario) most(d *datadriven.TestData) string {
	var prefix string
	var limit int
	d.ScanArgs(s.t, "vms", &prefix)
	d.ScanArgs(s.t, "limit", &limit)
	for vm, u := range s.in.Upstreams {
		if matches(vm, prefix) && u.MostRunning() > limit {
			return fmt.Sprintf("%s ran %d\n", vm, u.MostRunning())
		}
	}
	return "never above\n"
}

// limit team=T: whether the team ever had more running than its upper limit.
func (s *scenario) limit(d *datadriven.TestData) string {
	var name string
	d.ScanArgs(s.t, "team", &name)
	team, _ := s.fleet.Team(vocab.TeamID(name))
	most := s.in.Fleet.Most(name)
	if most == 0 {
		return "nothing of the team was counted\n"
	}
	if most > int(team.UpperLimit) {
		return fmt.Sprintf("%d ran, the limit is %d\n", most, team.UpperLimit)
	}
	return "never above\n"
}

// kill node=N: the node is lost at once.
func (s *scenario) kill(d *datadriven.TestData) string {
	at := 1
	d.MaybeScanArgs(s.t, "node", &at)
	s.in.KillNode(at - 1)
	return ""
}

// withdraw team=T node=N
func (s *scenario) withdraw(d *datadriven.TestData) string {
	var team string
	at := 1
	d.ScanArgs(s.t, "team", &team)
	d.MaybeScanArgs(s.t, "node", &at)
	key := vocab.KeyID("dev-" + team)
	s.in.Nodes[at-1].Node.Post(core.WithdrawKey{Key: key})
	for _, n := range s.in.Nodes {
		s.until(func(st *core.State) bool { return !st.KeyValid(key) }, n.Node)
	}
	return ""
}

// task name=NAME and the arguments of send: hands in a task under the name.
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
	view, line := s.view(req)
	if view.Task == "" {
		return line
	}
	if known, ok := s.tasks[name]; ok && known != view.Task {
		return "another task\n"
	}
	s.tasks[name] = view.Task
	return "accepted\n"
}

// ask name=NAME and the arguments of send: how a task stands, or with
// patience=TIME how it ends.
func (s *scenario) ask(d *datadriven.TestData) string {
	var name, patience string
	d.ScanArgs(s.t, "name", &name)
	d.MaybeScanArgs(s.t, "patience", &patience)
	req := s.request(d)
	req.URL.Path = "/v1/tasks/" + string(s.tasks[name])
	req.URL.RawQuery = "wait=" + patience
	view, line := s.view(req)
	if view.Task == "" {
		return line
	}
	return fmt.Sprintf("%s %s, attempt %d\n", view.State, view.Result, view.Attempt)
}

// view sends a call about a task; line describes an answer without one.
func (s *scenario) view(req *http.Request) (core.TaskView, string) {
	var view core.TaskView
	resp, err := s.client.Do(req)
	if err != nil {
		return view, "no answer\n"
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&view)
	return view, fmt.Sprintf("%d %s\n", resp.StatusCode, resp.Header.Get("Sardinehead-Outcome"))
}

// stop node=N: a graceful stop, to its end.
func (s *scenario) stop(d *datadriven.TestData) string {
	at := 1
	d.MaybeScanArgs(s.t, "node", &at)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.in.StopNode(ctx, at-1); err != nil {
		return err.Error() + "\n"
	}
	return "stopped\n"
}

// wait queue=Q waiting=N node=N: until so many requests wait, or
// wait running=N: until so many attempts run, or wait gone=VM: until the VM
// gets no new work.
func (s *scenario) wait(d *datadriven.TestData) string {
	queue, gone, waiting, running, at := "orders", "", -1, -1, 1
	d.MaybeScanArgs(s.t, "gone", &gone)
	d.MaybeScanArgs(s.t, "queue", &queue)
	d.MaybeScanArgs(s.t, "waiting", &waiting)
	d.MaybeScanArgs(s.t, "running", &running)
	d.MaybeScanArgs(s.t, "node", &at)
	s.until(func(st *core.State) bool {
		return (gone == "" || !st.AcceptsWork(vocab.VMID(gone))) && (waiting < 0 || st.Waiting(vocab.QueueID(queue)) == waiting) && (running < 0 || st.Running() == running)
	}, s.in.Nodes[at-1].Node)
	return ""
}
